"""The HTTP client of the platform's table."""

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
FEED_GRACE_S = 0.6  # added to the requested wait
READ_TIMEOUT_S = 1.0  # without a byte; a whole page takes longer on a slow link
NO_EFFECT_STATUSES = (429, 503)
HISTORY_LOST_STATUS = 410
CONFLICT_STATUS = 412
FIRST_SERVER_ERROR_STATUS = 500
# Neither JSON nor MessagePack begins with this byte, so every decoder refuses the row.
UNREADABLE_VALUE = b"\xc1"

log = get_logger(__name__)


class TableStore:
    """
    Reads and writes rows over HTTP. Implements ``state.rows.RowStore``.

    ``session`` is a RenewableSession.

    Example::

        store = TableStore(session, "10.200.1.7:8621", boottime, metrics)
        changes = await store.read("op", "")
    """

    def __init__(self, session, address, clock, metrics):
        self._session = session
        self._base_url = f"http://{address}"
        self._clock = clock
        self._metrics = metrics
        self._adaptive_timeout = AdaptiveTimeout()
        self.last_answer_at = None  # on ``clock``; answers 429 and 503 do not count
        self.table_clock = StoreClock()

    async def commit(self, expects, puts, removes=()):
        """
        Apply a transaction and return its version.

        Raises ConflictError if a row has another version than expected.
        """
        body = wire.TransactionBody(
            [wire.RowVersion(e.table, e.part, e.key, e.version) for e in expects],
            [wire.RowPut(p.table, p.part, p.key, p.value) for p in puts],
            [wire.RowKey(r.table, r.part, r.key) for r in removes],
        )
        sent_at = self._clock()
        status, data = await self._call(
            "POST", URL(f"{self._base_url}/rows-tx"), wire.encode(body)
        )
        answer = self._decode_transaction_answer(status, data)
        if status == 200:
            self.table_clock.observe(answer.now_ms, sent_at, self._clock())
            return answer.ver
        if status == CONFLICT_STATUS:
            rows = map(decode_row, answer.rows)
            raise ConflictError({row.key: row for row in rows if row.version})
        raise self._write_error(status, data)

    def _decode_transaction_answer(self, status, data):
        if status not in (200, CONFLICT_STATUS):
            return None
        try:
            return wire.decode(wire.RowsAnswer, data)
        except MessageError as error:
            raise StoreOutcomeUnknownError(
                f"Retry with the same expected versions; unreadable answer: {error}"
            ) from error

    def _write_error(self, status, data):
        if status < FIRST_SERVER_ERROR_STATUS or status in NO_EFFECT_STATUSES:
            return self._status_error(status, data)
        return StoreOutcomeUnknownError(
            f"Retry with the same expected versions; the store answered {status}."
        )

    async def read(self, table, part, first_key="", end_key=""):
        """
        Return all rows of a key range, and the version to follow its changes from.

        Each page shows the rows of another moment, so that is the first page's version:
        what changes in a page that has been read is among the changes after it.
        """
        rows = []
        version = None
        start = first_key
        while True:
            answer = await self._read_page(table, part, start, end_key)
            version = answer.ver if version is None else version
            rows.extend(map(decode_row, answer.rows))
            if not answer.more_pages or not answer.rows:
                return Changes(rows, version)
            start = answer.rows[-1].key + "\x00"

    async def _read_page(self, table, part, start, end):
        query = {"table": table, "part": part, "limit": str(PAGE_ROWS)}
        if start:
            query["from"] = start
        if end:
            query["target"] = end
        url = URL(f"{self._base_url}/rows-get").with_query(query)
        sent_at = self._clock()
        status, data = await self._call("GET", url, read_timeout_s=READ_TIMEOUT_S)
        if status != 200:
            raise self._status_error(status, data)
        answer = wire.decode(wire.RowsAnswer, data)
        self.table_clock.observe(answer.now_ms, sent_at, self._clock())
        return answer

    async def parts(self, table):
        """Return all parts of a table, and the version to follow its changes from."""
        parts = []
        version = None
        while True:
            query = {"table": table}
            if parts:
                query["after"] = parts[-1]
            url = URL(f"{self._base_url}/rows-parts").with_query(query)
            status, data = await self._call("GET", url, read_timeout_s=READ_TIMEOUT_S)
            if status != 200:
                raise self._status_error(status, data)
            answer = wire.decode(wire.PartsAnswer, data)
            version = answer.ver if version is None else version
            parts.extend(answer.parts)
            if not answer.more_pages or not answer.parts:
                return parts, version

    async def changes(self, table, after, wait_s):
        """
        Return the changes of a table after version ``after``.

        The store waits up to ``wait_s`` for a change if there is none yet. Raises
        HistoryLostError if it no longer has the changes.
        """
        query = {
            "table": table,
            "after": str(after),
            "wait_ms": str(int(wait_s * 1000)),
        }
        url = URL(f"{self._base_url}/rows-feed").with_query(query)
        status, data = await self._call(
            "GET", url, read_timeout_s=wait_s + FEED_GRACE_S
        )
        if status == HISTORY_LOST_STATUS:
            raise HistoryLostError(
                "Read the table again in full; the store dropped its history."
            )
        if status != 200:
            raise self._status_error(status, data)
        answer = wire.decode(wire.RowsAnswer, data)
        return Changes(list(map(decode_row, answer.rows)), answer.ver)

    async def _call(self, method, url, data=None, read_timeout_s=None):
        """
        Return the status and body of the response.

        Without ``read_timeout_s``, the adaptive timeout limits the whole call. Raises
        StoreUnavailableError if no connection could be opened, and
        StoreOutcomeUnknownError if no response arrived on one.
        """
        adaptive = read_timeout_s is None
        if adaptive:
            limits = call_timeout(self._adaptive_timeout.timeout_s)
        else:
            limits = progress_timeout(read_timeout_s)
        sent_at = self._clock()
        session = self._session.current
        try:
            async with session.request(
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
            if isinstance(error, TimeoutError):
                self._session.renew(session)
            if adaptive:
                self._adaptive_timeout.record_timeout()
            raise StoreOutcomeUnknownError(
                f"Retry with the same expected versions; no answer: {error!r}"
            ) from error
        now = self._clock()
        if adaptive:
            self._adaptive_timeout.record_answer(now - sent_at)
        if status not in NO_EFFECT_STATUSES:
            self.last_answer_at = now
        self._metrics.count("store_calls_total", outcome=str(status))
        if method == "POST":
            self._metrics.observe("store_commit_seconds", now - sent_at)
        return status, body

    def _status_error(self, status, data):
        if status in NO_EFFECT_STATUSES:
            return StoreUnavailableError(f"Retry later; the store answered {status}.")
        return PlatformError(
            f"Check the request; the store answered {status}: {data[:200]}"
        )


def decode_row(body):
    """Return the Row in a RowBody; log a value that is not base64."""
    try:
        value = base64.b64decode(body.value, validate=True)
    except (binascii.Error, ValueError) as error:
        log.warning("unreadable_row", table=body.table, key=body.key, error=error)
        value = UNREADABLE_VALUE
    return Row(body.table, body.part, body.key, value, body.ver, body.removed)
