"""Stand-ins for the platform: its metadata store and its list of machines."""

import asyncio
import base64
import json
import time
from collections import deque

from aiohttp import web

LOOPBACK = "127.0.0.1"
TX_MS = 4
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
ROW_BYTES = 65_536
PAGE_ROWS = 500
HISTORY_ROWS = 200_000
MOVE_S = 1.5


def json_response(body, status=200):
    """Return a response with a JSON body."""
    return web.Response(
        status=status, body=json.dumps(body).encode(), content_type="application/json"
    )


class HttpServer:
    """An HTTP server on a loopback port that can be stopped and started again."""

    def __init__(self, handler):
        self._handler = handler
        self._runner = None
        self._transports = set()
        self.port = 0

    async def start(self):
        """Listen, on the same port as before if there was one."""
        server = web.Server(self._answer, access_log=None, keepalive_timeout=60)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.01)
        await self._runner.setup()
        site = web.TCPSite(
            self._runner, LOOPBACK, self.port, backlog=512, reuse_address=True
        )
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def close(self):
        """Reset all connections and stop listening."""
        for transport in list(self._transports):
            transport.abort()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _answer(self, request):
        if request.transport is not None:
            self._transports.add(request.transport)
        try:
            return await self._handler(request)
        except ConnectionResetError:
            return web.Response()


class Store:
    """
    The platform's table: transactions under conditions, ranges, parts and the feed.

    ``down`` makes the store refuse every call with 503, which has no effect.
    """

    def __init__(self, record):
        self.down = False
        self._record = record
        self._rows = {}
        self._version = 0
        self._history = deque(maxlen=HISTORY_ROWS)
        self._changed = asyncio.Event()
        self._server = HttpServer(self._answer)
        self._refused_sizes = set()

    async def start(self):
        """Listen; return the address."""
        await self._server.start()
        return f"{LOOPBACK}:{self._server.port}"

    async def close(self):
        """Stop listening."""
        await self._server.close()

    def put(self, table, key, body):
        """Write a row as the platform, a runner or the operator does."""
        value = base64.b64encode(json.dumps(body).encode()).decode()
        self._apply([], [(table, "", key, value)], [])

    def remove(self, table, key):
        """Remove a row as the platform does; return whether it was there."""
        if (table, "", key) not in self._rows:
            return False
        self._apply([], [], [(table, "", key)])
        return True

    def holder(self, shard):
        """Return the text of a shard's lease row, or None; to find its holder."""
        row = self._rows.get(("control", shard, "lease"))
        return base64.b64decode(row["value"]) if row else None

    async def _answer(self, request):
        if self.down:
            return web.Response(status=503)
        if request.path == "/rows-tx":
            return await self._transaction(request)
        if request.path == "/rows-get":
            await asyncio.sleep(TX_MS / 1000)
            return self._range(request.query)
        if request.path == "/rows-parts":
            await asyncio.sleep(TX_MS / 1000)
            return self._parts(request.query)
        if request.path == "/rows-feed":
            return await self._feed(request.query)
        return web.Response(status=404)

    async def _transaction(self, request):
        data = await request.read()
        body = json.loads(data)
        puts = [
            (p["table"], p["part"], p["key"], p["value"]) for p in body.get("puts", ())
        ]
        removes = [(r["table"], r["part"], r["key"]) for r in body.get("remove", ())]
        conditions = [
            (e["table"], e["part"], e["key"], e["ver"])
            for e in body.get("expected_rev", ())
        ]
        entries = len(puts) + len(removes) + len(conditions)
        if entries > MAX_ENTRIES or len(data) > MAX_CALL_BYTES:
            self._record.add(
                "store", f"refused a call: {entries} entries, {len(data)} B"
            )
            return web.Response(status=400)
        for table, part, key, value in puts:
            size = len(base64.b64decode(value))
            if size > ROW_BYTES:
                if (table, key) not in self._refused_sizes:
                    self._refused_sizes.add((table, key))
                    self._record.add(
                        "store", f"refused row {table}/{part}/{key}: {size} bytes"
                    )
                return web.Response(status=400)
        await asyncio.sleep(TX_MS / 1000)
        conflicts = self._apply(conditions, puts, removes)
        if conflicts is not None:
            return json_response({"rows": conflicts, **self._now()}, 412)
        return json_response(self._now())

    def _now(self):
        return {"ver": self._version, "now_ms": int(time.monotonic() * 1000)}

    def _apply(self, conditions, puts, removes):
        for table, part, key, version in conditions:
            row = self._rows.get((table, part, key))
            if (row["ver"] if row else 0) != version:
                present = (self._rows.get(c[:3]) for c in conditions)
                return [row for row in present if row]
        self._version += 1
        for table, part, key, value in puts:
            row = {"table": table, "part": part, "key": key, "value": value}
            row["ver"] = self._version
            self._rows[table, part, key] = row
            self._history.append(row)
        for table, part, key in removes:
            if self._rows.pop((table, part, key), None) is not None:
                row = {"table": table, "part": part, "key": key, "removed": True}
                self._history.append(row | {"ver": self._version})
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return None

    def _range(self, query):
        first, end = query.get("from", ""), query.get("target", "")
        keys = sorted(
            key
            for table, part, key in self._rows
            if table == query["table"]
            and part == query["part"]
            and key >= first
            and (not end or key < end)
        )
        page = keys[: min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))]
        rows = [self._rows[query["table"], query["part"], key] for key in page]
        more = len(page) < len(keys)
        return json_response({"rows": rows, "more_pages": more, **self._now()})

    def _parts(self, query):
        parts = {part for table, part, _ in self._rows if table == query["table"]}
        later = sorted(part for part in parts if part > query.get("after", ""))
        return json_response({"parts": later, "more_pages": False, **self._now()})

    async def _feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if self.down:
                return web.Response(status=503)
            rows = []
            for row in reversed(self._history):
                if row["ver"] <= after:
                    break
                if row["table"] == query["table"]:
                    rows.append(row)
            left = until - time.monotonic()
            if rows or left <= 0:
                return json_response({"rows": rows[::-1], **self._now()})
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue


class Machines:
    """The platform's list of machines, which also moves them between pools."""

    def __init__(self, runners, record):
        self._runners = runners
        self._record = record
        self._moves = set()
        self._server = HttpServer(self._answer)

    async def start(self):
        """Listen; return the address."""
        await self._server.start()
        return f"{LOOPBACK}:{self._server.port}"

    async def close(self):
        """Stop listening and give up the moves under way."""
        for move in self._moves:
            move.cancel()
        await self._server.close()

    async def _answer(self, request):
        if request.path == "/machines":
            entries = [runner.machine_entry() for runner in self._runners]
            return json_response({"machines": entries, "next_page_token": None})
        body = json.loads(await request.read())
        self._record.add("platform", f"{request.path} {body}")
        named = [r for r in self._runners if r.machine == body["machine"]]
        if not named or request.path != "/machine-move":
            return json_response({}, 400)
        runner, pool = named[0], body["pool"]
        if runner.service == pool:
            return json_response({})
        if runner.state != "up":
            return json_response({"reason": "busy"}, 409)
        await runner.leave(pool)
        move = asyncio.create_task(self._finish_move(runner))
        self._moves.add(move)
        move.add_done_callback(self._moves.discard)
        return json_response({})

    async def _finish_move(self, runner):
        await asyncio.sleep(MOVE_S)
        await runner.arrive()
