"""The client of the platform's table."""

import base64
import binascii

import aiohttp
from yarl import URL

from magnoliapier.exceptions import (
    ConflictError,
    HistoryLostError,
    MessageError,
    PlatformError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.logs import get_logger
from magnoliapier.platform import wire
from magnoliapier.platform.http import call_timeout, progress_timeout
from magnoliapier.service.clock import StoreClock
from magnoliapier.state.adaptive_timeout import AdaptiveTimeout
from magnoliapier.state.rows import Changes, Row

PAGE_ROWS = 500
FEED_GRACE_S = 0.6  # beyond the wait that was asked for
READ_SILENCE_S = 1.0  # without a byte; a page takes a while on a slow link
NOTHING_DONE = (429, 503)
HISTORY_LOST = 410
CONFLICT = 412
SERVER_ERROR = 500

log = get_logger(__name__)


class TableStore:
    """
    Reads and writes rows over HTTP. Implements ``state.rows.RowStore``.

    Example::

        store = TableStore(session, "10.200.1.7:8621", loop.time)
        changes = await store.read("op", "")
    """

    def __init__(self, session, address, clock, metrics):
        self._session = session
        self._base = f"http://{address}"
        self._clock = clock
        self._metrics = metrics
        self._adaptive_timeout = AdaptiveTimeout()
        self.last_answer_at = None
        self.table_clock = StoreClock()

    async def commit(self, expects, puts, removes=()):
        """Apply a transaction and return its version."""
        body = wire.TransactionBody(
            [wire.RowVersion(e.table, e.part, e.key, e.version) for e in expects],
            [wire.RowPut(p.table, p.part, p.key, p.value) for p in puts],
            [wire.RowKey(r.table, r.part, r.key) for r in removes],
        )
        sent_at = self._clock()
        status, data = await self._call(
            "POST", URL(f"{self._base}/rows-tx"), wire.encode(body)
        )
        answer = self._transaction_answer(status, data)
        if status == 200:
            self.table_clock.observe(answer.now_ms, sent_at, self._clock())
            return answer.ver
        if status == CONFLICT:
            rows = [decode_row(row) for row in answer.rows]
            raise ConflictError({row.key: row for row in rows if row and row.version})
        raise self._write_failure(status, data)

    def _transaction_answer(self, status, data):
        if status not in (200, CONFLICT):
            return None
        try:
            return wire.decode(wire.RowsAnswer, data)
        except MessageError as error:
            raise StoreOutcomeUnknownError(
                f"Retry under the same condition; unreadable answer: {error}"
            ) from error

    def _write_failure(self, status, data):
        if status < SERVER_ERROR or status in NOTHING_DONE:
            return self._failure(status, data)
        return StoreOutcomeUnknownError(
            f"Retry under the same condition; the store answered {status}."
        )

    async def read(self, table, part, first_key="", end_key=""):
        """Return all rows of a key range."""
        rows = []
        start = first_key
        while True:
            answer = await self._read_page(table, part, start, end_key)
            rows.extend(row for row in map(decode_row, answer.rows) if row)
            if not answer.more_pages or not answer.rows:
                return Changes(rows, answer.ver)
            start = answer.rows[-1].key + "\x00"

    async def _read_page(self, table, part, start, end):
        query = {"table": table, "part": part, "limit": str(PAGE_ROWS)}
        if start:
            query["from"] = start
        if end:
            query["target"] = end
        url = URL(f"{self._base}/rows-get").with_query(query)
        sent_at = self._clock()
        status, data = await self._call("GET", url, silence_s=READ_SILENCE_S)
        if status != 200:
            raise self._failure(status, data)
        answer = wire.decode(wire.RowsAnswer, data)
        self.table_clock.observe(answer.now_ms, sent_at, self._clock())
        return answer

    async def parts(self, table):
        """Return all parts of a table, and a version to follow it from."""
        parts = []
        version = None
        while True:
            query = {"table": table}
            if parts:
                query["after"] = parts[-1]
            url = URL(f"{self._base}/rows-parts").with_query(query)
            status, data = await self._call("GET", url, silence_s=READ_SILENCE_S)
            if status != 200:
                raise self._failure(status, data)
            answer = wire.decode(wire.PartsAnswer, data)
            version = answer.ver if version is None else version
            parts.extend(answer.parts)
            if not answer.more_pages or not answer.parts:
                return parts, version

    async def changes(self, table, after, wait_s):
        """Return the changes of a table after a version, waiting for one."""
        query = {
            "table": table,
            "after": str(after),
            "wait_ms": str(int(wait_s * 1000)),
        }
        url = URL(f"{self._base}/rows-feed").with_query(query)
        status, data = await self._call("GET", url, silence_s=wait_s + FEED_GRACE_S)
        if status == HISTORY_LOST:
            raise HistoryLostError("Read the table anew; its history is gone.")
        if status != 200:
            raise self._failure(status, data)
        answer = wire.decode(wire.RowsAnswer, data)
        rows = [row for row in map(decode_row, answer.rows) if row]
        return Changes(rows, answer.ver)

    async def _call(self, method, url, data=None, silence_s=None):
        """Return status and body; raise a StoreUnavailableError or unknown outcome."""
        adaptive = silence_s is None
        if adaptive:
            limits = call_timeout(self._adaptive_timeout.timeout_s)
        else:
            limits = progress_timeout(silence_s)
        sent_at = self._clock()
        try:
            async with self._session.request(
                method, url, data=data, timeout=limits
            ) as response:
                body = await response.read()
                status = response.status
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self._metrics.count("store_calls_total", outcome="unreachable")
            raise StoreUnavailableError(
                f"Retry later; no connection: {error}"
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._metrics.count("store_calls_total", outcome="no_answer")
            if adaptive:
                self._adaptive_timeout.record_timeout()
            raise StoreOutcomeUnknownError(
                f"Retry under the same condition; no answer: {error!r}"
            ) from error
        now = self._clock()
        if adaptive:
            self._adaptive_timeout.record_answer(now - sent_at)
        if status not in NOTHING_DONE:
            self.last_answer_at = now
        self._metrics.count("store_calls_total", outcome=str(status))
        if method == "POST":
            self._metrics.observe("store_commit_seconds", now - sent_at)
        return status, body

    def _failure(self, status, data):
        if status in NOTHING_DONE:
            return StoreUnavailableError(f"Retry later; the store answered {status}.")
        return PlatformError(
            f"Check the call; the store answered {status}: {data[:200]}"
        )


def decode_row(body):
    """Return a Row, or None with a log line if its value cannot be read."""
    try:
        value = base64.b64decode(body.value, validate=True)
    except (binascii.Error, ValueError) as error:
        log.warning("unreadable_row", table=body.table, key=body.key, error=error)
        return None
    return Row(body.table, body.part, body.key, value, body.ver, body.removed)
