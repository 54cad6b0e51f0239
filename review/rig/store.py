"""The platform's store: tables of rows with transactions and a feed of changes."""

import asyncio
import base64
import json
import time
from collections import deque

from aiohttp import web

from review.rig.server import HttpServer, answer

PAGE_ROWS = 500
MAX_ENTRIES = 100
MAX_BYTES = 1_000_000
ROW_BYTES = 65_536
CALL_DELAY_S = 0.002
HISTORY = 100_000


class Store:
    """Loses nothing that it has acknowledged; its answers are linearizable."""

    def __init__(self, record):
        self._record = record
        self._rows = {}
        self._version = 0
        self._history = deque(maxlen=HISTORY)
        self._changed = asyncio.Event()
        self._server = HttpServer(self._answer)

    async def start(self):
        """Listen; return the address."""
        return await self._server.start()

    async def close(self):
        """Stop listening."""
        await self._server.close()

    def put(self, table, key, body):
        """Write a row as the operator or a runner does."""
        value = base64.b64encode(json.dumps(body).encode()).decode()
        self._apply([], [(table, "", key, value)], [])

    def remove(self, table, key):
        """Remove a row as the platform does."""
        self._apply([], [], [(table, "", key)])

    def read(self, table, key, part=""):
        """Return the body of a row, or None."""
        row = self._rows.get((table, part, key))
        return json.loads(base64.b64decode(row["value"])) if row else None

    def raw(self, table, part, key):
        """Return the bytes of a row, or None."""
        row = self._rows.get((table, part, key))
        return base64.b64decode(row["value"]) if row else None

    async def _answer(self, request):
        await asyncio.sleep(CALL_DELAY_S)
        query = request.query
        if request.path == "/rows-tx":
            return await self._transact(request)
        if request.path == "/rows-get":
            return self._get(query)
        if request.path == "/rows-parts":
            parts = {p for t, p, _ in self._rows if t == query["table"]}
            later = sorted(p for p in parts if p > query.get("after", ""))
            more = len(later) > 1000
            return answer({"parts": later[:1000], "more_pages": more, **self._stamp()})
        if request.path == "/rows-feed":
            return await self._feed(query)
        return web.Response(status=404)

    def _stamp(self):
        return {"ver": self._version, "now_ms": int(time.monotonic() * 1000)}

    async def _transact(self, request):
        data = await request.read()
        body = json.loads(data)
        expected = [
            (e["table"], e["part"], e["key"], e["ver"])
            for e in body.get("expected_rev", ())
        ]
        puts = [
            (p["table"], p["part"], p["key"], p["value"]) for p in body.get("puts", ())
        ]
        removes = [(r["table"], r["part"], r["key"]) for r in body.get("remove", ())]
        entries = len(expected) + len(puts) + len(removes)
        if entries > MAX_ENTRIES or len(data) > MAX_BYTES:
            self._record.write("store_400", entries=entries, size=len(data))
            return answer({"error": "too many entries or bytes"}, 400)
        if any(len(base64.b64decode(p[3])) > ROW_BYTES for p in puts):
            self._record.write("store_400", reason="row")
            return answer({"error": "row too long"}, 400)
        conflicts = self._apply(expected, puts, removes)
        if conflicts is not None:
            return answer({"rows": conflicts, **self._stamp()}, 412)
        return answer(self._stamp())

    def _apply(self, expected, puts, removes):
        """Apply all or nothing; return the present rows if a condition fails."""
        for table, part, key, version in expected:
            row = self._rows.get((table, part, key))
            if (row["ver"] if row else 0) != version:
                present = (self._rows.get(each[:3]) for each in expected)
                return [row for row in present if row]
        self._version += 1
        for table, part, key, value in puts:
            row = {"table": table, "part": part, "key": key, "value": value}
            row["ver"] = self._version
            self._rows[table, part, key] = row
            self._history.append(row)
        for table, part, key in removes:
            if self._rows.pop((table, part, key), None):
                row = {"table": table, "part": part, "key": key, "removed": True}
                self._history.append(row | {"ver": self._version})
        self._changed.set()
        self._changed = asyncio.Event()
        return None

    def _get(self, query):
        first, end = query.get("from", ""), query.get("target", "")
        keys = sorted(
            key
            for table, part, key in self._rows
            if table == query["table"]
            and part == query.get("part", "")
            and key >= first
            and (not end or key < end)
        )
        page = keys[: min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))]
        rows = [self._rows[query["table"], query.get("part", ""), k] for k in page]
        more = len(page) < len(keys)
        return answer({"rows": rows, "more_pages": more, **self._stamp()})

    async def _feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if self._history and len(self._history) == HISTORY:
                if after < self._history[0]["ver"]:
                    return web.Response(status=410)
            version = self._version
            rows = []
            for row in reversed(self._history):
                if row["ver"] <= after:
                    break
                if row["table"] == query["table"]:
                    rows.append(row)
            left = until - time.monotonic()
            if rows or left <= 0:
                rows.reverse()
                return answer(
                    {"rows": rows, "ver": version, "now_ms": self._stamp()["now_ms"]}
                )
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
