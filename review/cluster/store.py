"""
The platform's metadata store, in memory.

It follows PROTOCOL.md: atomic transactions, pages that are each read at one moment,
and a feed whose history is limited. ``compact()`` is the only disruption: for a second
the feeds hear nothing, then the history is dropped and they are cut.
"""

import asyncio
import bisect
import time
from collections import Counter

import msgspec
from aiohttp import web

from review.cluster.http import HttpServer, json_answer

ANSWER_S = 0.004
MAX_ENTRIES = 100
MAX_TRANSACTION_BYTES = 1_000_000
MAX_ROW_BYTES = 65_536
MAX_PAGE_ROWS = 500
MAX_PAGE_BYTES = 1_000_000
MAX_PARTS = 1000
MAX_FEED_WAIT_S = 30.0
COMPACTION_SILENCE_S = 1.0
LINK_BYTES_PER_S = 125_000_000  # 1000 Mbit/s, as ``link_mbps`` of the settings says
READ_ONLY_TABLES = ("op", "servers")


class Part:
    """The rows of one part of a table, with their keys in order."""

    def __init__(self):
        self.keys = []
        self.rows = {}

    def put(self, key, row):
        """Write a row."""
        if key not in self.rows:
            bisect.insort(self.keys, key)
        self.rows[key] = row

    def remove(self, key):
        """Remove a row; return whether it existed."""
        if self.rows.pop(key, None) is None:
            return False
        self.keys.pop(bisect.bisect_left(self.keys, key))
        return True


class Table:
    """The parts of one table and the history of its changes."""

    def __init__(self):
        self.parts = {}
        self.history = []
        self.versions = []
        self.times = []
        self.forgotten_through = 0
        self.changed = asyncio.Event()

    def part(self, name):
        """Return a part, which may be empty."""
        return self.parts.setdefault(name, Part())

    def record(self, row, now):
        """Add a change to the history and wake the feeds."""
        self.history.append(row)
        self.versions.append(row["ver"])
        self.times.append(now)
        self.wake()

    def wake(self):
        """Wake the feeds."""
        self.changed.set()
        self.changed = asyncio.Event()

    def forget(self, before):
        """Drop the history from before a time."""
        self._drop(bisect.bisect_left(self.times, before))

    def forget_all(self, version):
        """Drop all history; feeds from before ``version`` get 410."""
        self._drop(len(self.history))
        self.forgotten_through = version

    def _drop(self, count):
        if count:
            self.forgotten_through = self.versions[count - 1]
            del self.history[:count], self.versions[:count], self.times[:count]


class Store:
    """Serves the store's calls on a loopback port."""

    def __init__(self, history_s=20.0):
        self.calls = Counter()
        self.busiest = Counter()
        self._history_s = history_s
        self._version = 0
        self._tables = {}
        self._server = HttpServer(self._answer)
        self._second = 0
        self._in_second = Counter()
        self._link = asyncio.Lock()
        self._silent = False
        self._silence_ended = asyncio.Event()

    @property
    def address(self):
        """Return ``host:port``."""
        return self._server.address

    async def start(self):
        """Listen."""
        await self._server.start()

    async def close(self):
        """Stop listening."""
        await self._server.close()

    def put(self, table, key, value):
        """Write a row as the platform or its operator does."""
        self._apply([], [(table, "", key, value)], [])

    def remove(self, table, key):
        """Remove a row as the platform does."""
        self._apply([], [], [(table, "", key)])

    def value(self, table, part, key):
        """Return the base64 value of a row, or None."""
        row = self._table(table).part(part).rows.get(key)
        return row["value"] if row else None

    def row_counts(self, table):
        """Return the number of rows of each part of a table."""
        parts = self._table(table).parts
        return {name: len(part.keys) for name, part in sorted(parts.items())}

    async def compact(self):
        """Keep the feeds silent for a while, then drop all history and cut them."""
        self._silent = True
        for table in self._tables.values():
            table.wake()
        await asyncio.sleep(COMPACTION_SILENCE_S)
        for table in self._tables.values():
            table.forget_all(self._version)
        self._silent = False
        ended, self._silence_ended = self._silence_ended, asyncio.Event()
        ended.set()

    def _table(self, name):
        return self._tables.setdefault(name, Table())

    def _count(self, kind):
        self.calls[kind] += 1
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._in_second.clear()
        self._in_second[kind] += 1
        self.busiest[kind] = max(self.busiest[kind], self._in_second[kind])

    async def _answer(self, request):
        self._count("writes" if request.path == "/rows-tx" else "reads")
        await asyncio.sleep(ANSWER_S)
        if request.path == "/rows-tx":
            return await self._execute(request)
        if request.path == "/rows-get":
            page, size = self._read_page(request.query)
            async with self._link:
                await asyncio.sleep(size / LINK_BYTES_PER_S)
            return json_answer(page)
        if request.path == "/rows-parts":
            return self._list_parts(request.query)
        if request.path == "/rows-feed":
            return await self._feed(request)
        return web.Response(status=404)

    async def _execute(self, request):
        data = await request.read()
        body = msgspec.json.decode(data)
        conditions = [
            (e["table"], e["part"], e["key"], e["ver"])
            for e in body.get("expected_rev", ())
        ]
        puts = [
            (p["table"], p["part"], p["key"], p["value"]) for p in body.get("puts", ())
        ]
        removes = [(r["table"], r["part"], r["key"]) for r in body.get("remove", ())]
        status = self._check(data, conditions, puts, removes)
        if status != 200:
            return web.Response(status=status)
        conflicts = self._apply(conditions, puts, removes)
        if conflicts is not None:
            return json_answer({"rows": conflicts, **self._stamp()}, 412)
        return json_answer(self._stamp())

    def _check(self, data, conditions, puts, removes):
        """Return the status for a transaction: 200 if it may be applied."""
        entries = [*conditions, *puts, *removes]
        if len(entries) > MAX_ENTRIES or len(data) > MAX_TRANSACTION_BYTES:
            return 400
        if len({part for _, part, *_ in entries}) > 1:
            return 400
        if any(len(value) > MAX_ROW_BYTES for *_, value in puts):
            return 400
        if any(table in READ_ONLY_TABLES for table, *_ in (*puts, *removes)):
            return 403
        return 200

    def _apply(self, conditions, puts, removes):
        """Apply a transaction and return None, or return the rows in conflict."""
        for table, part, key, version in conditions:
            row = self._table(table).part(part).rows.get(key)
            if (row["ver"] if row else 0) != version:
                rows = (self._table(t).part(p).rows.get(k) for t, p, k, _ in conditions)
                return [row for row in rows if row]
        self._version += 1
        now = time.monotonic()
        for table, part, key, value in puts:
            row = {
                "table": table,
                "part": part,
                "key": key,
                "value": value,
                "ver": self._version,
            }
            self._table(table).part(part).put(key, row)
            self._table(table).record(row, now)
        for table, part, key in removes:
            if self._table(table).part(part).remove(key):
                row = {"table": table, "part": part, "key": key, "removed": True}
                self._table(table).record(row | {"ver": self._version}, now)
        return None

    def _stamp(self):
        return {"ver": self._version, "now_ms": int(time.monotonic() * 1000)}

    def _read_page(self, query):
        part = self._table(query["table"]).part(query["part"])
        first = bisect.bisect_left(part.keys, query.get("from", ""))
        end = len(part.keys)
        if query.get("target"):
            end = bisect.bisect_left(part.keys, query["target"])
        limit = min(int(query.get("limit", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        rows, size = [], 0
        for key in part.keys[first:end][:limit]:
            row = part.rows[key]
            size += len(row["value"]) + 150
            if rows and size > MAX_PAGE_BYTES:
                break
            rows.append(row)
        more = first + len(rows) < end
        return {"rows": rows, "more_pages": more, **self._stamp()}, size

    def _list_parts(self, query):
        table = self._table(query["table"])
        later = sorted(
            name
            for name, part in table.parts.items()
            if part.keys and name > query.get("after", "")
        )
        page = later[:MAX_PARTS]
        more = len(page) < len(later)
        return json_answer({"parts": page, "more_pages": more, **self._stamp()})

    async def _feed(self, request):
        query = request.query
        table = self._table(query["table"])
        after = int(query["after"])
        wait_s = min(int(query["wait_ms"]) / 1000, MAX_FEED_WAIT_S)
        until = time.monotonic() + wait_s
        while True:
            if self._silent:
                await self._silence_ended.wait()
                if request.transport is not None:
                    request.transport.abort()
                return web.Response()
            table.forget(time.monotonic() - self._history_s)
            if after < table.forgotten_through:
                return web.Response(status=410)
            first = bisect.bisect_right(table.versions, after)
            rows = table.history[first : first + MAX_PAGE_ROWS]
            remaining_s = until - time.monotonic()
            if rows or remaining_s <= 0:
                return json_answer(self._feed_page(table, first, rows))
            try:
                await asyncio.wait_for(table.changed.wait(), remaining_s)
            except TimeoutError:
                continue

    def _feed_page(self, table, first, rows):
        version = self._version
        if first + len(rows) < len(table.history):
            # A transaction is not split between two pages.
            version = rows[-1]["ver"]
            end = bisect.bisect_right(table.versions, version)
            rows = table.history[first:end]
        return {"rows": rows, "ver": version, "now_ms": int(time.monotonic() * 1000)}
