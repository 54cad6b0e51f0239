"""
An in-memory stand-in for the platform's table.

It injects the faults that the documentation of the table allows.
"""

import asyncio
import time
from collections import deque

import msgspec
from aiohttp import web

from tests.soak.serving import HttpServer, cut_connection, json_answer

MAX_HISTORY_ROWS = 20_000
LATE_APPLY_DELAY_S = 1.5
MAX_PAGE_ROWS = 500
DEFAULT_DELAY_S = 0.002


class StoreFaults(msgspec.Struct):
    """The current faults of the store; shares are between 0 and 1."""

    down: bool = False
    delay_s: float = DEFAULT_DELAY_S
    lost_share: float = 0.0
    late_share: float = 0.0


class StoreStandIn:
    """
    Serves transactions, ranges, parts and the feed of changes.

    ``faults`` affects the requests of all nodes; the proxies in front of the store cut
    off single nodes.
    """

    def __init__(self, rng):
        self.faults = StoreFaults()
        self._rng = rng
        self._rows = {}
        self._version = 0
        self._history = deque(maxlen=MAX_HISTORY_ROWS)
        self._oldest_version = 0
        self._changed = asyncio.Event()
        self._server = HttpServer(self._answer)

    async def start(self):
        """Listen; return the port."""
        return await self._server.start()

    async def close(self):
        """Stop listening."""
        await self._server.close()

    def put(self, table, part, key, value):
        """Write a row without a condition, as the platform and its operator do."""
        self._apply([], [(table, part, key, value)], [])

    def remove(self, table, part, key):
        """Remove a row, as the platform does."""
        self._apply([], [], [(table, part, key)])

    def value(self, table, part, key):
        """Return the base64 value of a row, or None."""
        row = self._rows.get((table, part, key))
        return row["value"] if row else None

    def forget_history(self):
        """Discard the change history; followers then have to read the tables again."""
        self._history.clear()
        self._oldest_version = self._version

    async def _answer(self, request):
        faults = self.faults
        if faults.down:
            return web.Response(status=503)
        await asyncio.sleep(faults.delay_s)
        if request.path == "/rows-tx":
            return await self._execute_transaction(request, faults)
        if request.path == "/rows-get":
            return self._read_range(request.query)
        if request.path == "/rows-parts":
            return self._list_parts(request.query)
        if request.path == "/rows-feed":
            return await self._read_feed(request.query)
        return web.Response(status=404)

    async def _execute_transaction(self, request, faults):
        body = msgspec.json.decode(await request.read())
        conditions = [
            (e["table"], e["part"], e["key"], e["ver"])
            for e in body.get("expected_rev", ())
        ]
        puts = [
            (p["table"], p["part"], p["key"], p["value"]) for p in body.get("puts", ())
        ]
        removes = [(r["table"], r["part"], r["key"]) for r in body.get("remove", ())]
        if self._rng.random() < faults.late_share:
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_APPLY_DELAY_S, self._apply, conditions, puts, removes)
            return await self._drop_response(request)
        conflicts = self._apply(conditions, puts, removes)
        if self._rng.random() < faults.lost_share:
            return await self._drop_response(request)
        if conflicts is not None:
            return json_answer({"rows": conflicts, **self._version_and_time()}, 412)
        return json_answer(self._version_and_time())

    async def _drop_response(self, request):
        """Wait a short random time, then cut the connection without a response."""
        await asyncio.sleep(self._rng.uniform(0.1, 0.6))
        return cut_connection(request)

    def _version_and_time(self):
        return {"ver": self._version, "now_ms": int(time.monotonic() * 1000)}

    def _apply(self, conditions, puts, removes):
        """
        Apply a transaction atomically and return None.

        If a condition fails, apply nothing and return the current rows that the
        conditions name.
        """
        for table, part, key, version in conditions:
            row = self._rows.get((table, part, key))
            if (row["ver"] if row else 0) != version:
                present = (self._rows.get(e[:3]) for e in conditions)
                return [row for row in present if row]
        self._version += 1
        for table, part, key, value in puts:
            row = {"table": table, "part": part, "key": key, "value": value}
            self._put_row(row | {"ver": self._version})
        for table, part, key in removes:
            if self._rows.pop((table, part, key), None):
                row = {"table": table, "part": part, "key": key, "removed": True}
                self._history.append(row | {"ver": self._version})
        self._changed.set()
        self._changed = asyncio.Event()
        return None

    def _put_row(self, row):
        self._rows[row["table"], row["part"], row["key"]] = row
        self._history.append(row)

    def _read_range(self, query):
        first, end = query.get("from", ""), query.get("target", "")
        keys = sorted(
            key
            for table, part, key in self._rows
            if table == query["table"]
            and part == query["part"]
            and key >= first
            and (not end or key < end)
        )
        page = keys[: int(query.get("limit", MAX_PAGE_ROWS))]
        rows = [self._rows[query["table"], query["part"], key] for key in page]
        more = len(page) < len(keys)
        return json_answer(
            {"rows": rows, "more_pages": more, **self._version_and_time()}
        )

    def _list_parts(self, query):
        parts = {part for table, part, _ in self._rows if table == query["table"]}
        later = sorted(part for part in parts if part > query.get("after", ""))
        return json_answer(
            {"parts": later, "more_pages": False, **self._version_and_time()}
        )

    async def _read_feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after < self._oldest_version:
                return web.Response(status=410)
            version = self._version
            rows = [
                row
                for row in self._history
                if row["ver"] > after and row["table"] == query["table"]
            ][:MAX_PAGE_ROWS]
            remaining_s = until - time.monotonic()
            if rows or remaining_s <= 0:
                version = rows[-1]["ver"] if len(rows) == MAX_PAGE_ROWS else version
                return json_answer({"rows": rows, "ver": version, "now_ms": 0})
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                continue
