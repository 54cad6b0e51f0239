"""A stand-in for the platform's machine API and for the hosts that it manages."""

import asyncio
from enum import StrEnum

import msgspec
from aiohttp import web

from tests.soak.endpoints import CAPACITY, EndpointStandIn
from tests.soak.serving import HttpServer, json_answer

PLANNED_OUTAGE_S = 0.6
HOLDER_HEADER = "X-Magnoliapier-Lease-Holder"
TOKEN_HEADER = "X-Magnoliapier-Fencing-Token"
CRASH_OUTAGE_S = 1.0
SILENCE_S = 2.0  # longer than a holder waits for an answer


class OrderTrouble(StrEnum):
    """What the platform does with orders for some hosts."""

    NONE = "none"
    REFUSED = "refused"  # 400: as for a pool of other hosts
    BUSY = "busy"  # 409
    TOO_MANY = "too_many"  # 429
    AWAY = "away"  # 503
    LOST = "lost"  # no answer, and nothing is done
    UNANSWERED = "unanswered"  # no answer, but the order is carried out
    IGNORED = "ignored"  # moves are answered with success, and nothing is done


STATUSES = {
    OrderTrouble.REFUSED: 400,
    OrderTrouble.BUSY: 409,
    OrderTrouble.TOO_MANY: 429,
    OrderTrouble.AWAY: 503,
}


class FleetHost(msgspec.Struct):
    """A host of the fleet and its current endpoint, if it has one."""

    name: str
    pool: str
    state: str = "up"
    endpoint: object = None
    boots: int = 0
    maintained: bool = False


class MachinesStandIn:
    """Lists hosts, moves them between pools and takes them down for maintenance."""

    def __init__(self, pools, rng, store, ledger):
        self.hosts = {}
        self._rng = rng
        self._store = store
        self._ledger = ledger
        self._tasks = set()
        self._server = HttpServer(self._answer)
        self.last_holder = ""
        self.trouble = OrderTrouble.NONE
        self.troubled_hosts = ()
        for pool, count in pools.items():
            for _ in range(count):
                name = f"host-{len(self.hosts)}"
                self.hosts[name] = FleetHost(name, pool)

    async def start(self):
        """Start all endpoints and listen; return the port."""
        for host in self.hosts.values():
            await self._start_endpoint(host)
        return await self._server.start()

    async def close(self):
        """Stop the server and all endpoints."""
        for task in list(self._tasks):
            task.cancel()
        await self._server.close()
        for host in self.hosts.values():
            if host.endpoint is not None:
                await host.endpoint.close()

    def endpoints(self):
        """Return the endpoints that are up."""
        hosts = self.hosts.values()
        return [host.endpoint for host in hosts if host.endpoint is not None]

    async def _start_endpoint(self, host):
        host.boots += 1
        endpoint_id = f"{host.name}-{host.boots}"
        host.endpoint = EndpointStandIn(
            endpoint_id, host.name, host.pool, self._rng, self._store, self._ledger
        )
        host.state = "up"
        await host.endpoint.start()

    async def crash(self, name):
        """Crash a host's endpoint and start a new one later."""
        host = self.hosts[name]
        endpoint, host.endpoint, host.state = host.endpoint, None, "down"
        if endpoint is None:
            return
        await endpoint.crash()
        await asyncio.sleep(CRASH_OUTAGE_S)
        self._store.remove("servers", "", endpoint.endpoint_id)
        await self._start_endpoint(host)

    async def restart_endpoint(self, endpoint, outage_s, entry_delay_s, shown_down):
        """
        Crash an endpoint and start it again under its id after ``outage_s``.

        Its entry in the store is that of before until ``entry_delay_s`` later. The host
        is listed as down meanwhile if ``shown_down``. If it is moved or maintained or
        crashes in the meantime, the endpoint stays down.
        """
        host = self.hosts[endpoint.host]
        if host.endpoint is not endpoint or not endpoint.up:
            return
        if shown_down:
            host.state = "down"
        await asyncio.gather(endpoint.halt(), asyncio.sleep(outage_s))
        successor = EndpointStandIn(
            endpoint.endpoint_id,
            host.name,
            host.pool,
            self._rng,
            self._store,
            self._ledger,
            endpoint,
        )
        await successor.start(entry_delay_s)
        if host.endpoint is endpoint:
            host.endpoint, host.state = successor, "up"
            self._ledger.count("restarts")
        else:
            await successor.crash()

    async def _answer(self, request):
        if request.path == "/machines":
            return json_answer(
                {"machines": [list_entry(h) for h in self.hosts.values()]}
            )
        body = msgspec.json.decode(await request.read())
        host = self.hosts.get(body["machine"])
        if host is None:
            return web.Response(status=400)
        self.last_holder = request.headers[HOLDER_HEADER]
        token = int(request.headers[TOKEN_HEADER])
        self._ledger.record_order(host.name, self.last_holder, token)
        if host.state != "up":
            return json_answer({"reason": "busy"}, 409)
        if host.name in self.troubled_hosts:
            return await self._answer_in_trouble(request, host, body)
        return await self._carry_out(request, host, body)

    async def _answer_in_trouble(self, request, host, body):
        self._ledger.count("troubled_orders")
        if self.trouble in STATUSES:
            return json_answer({"reason": "busy"}, STATUSES[self.trouble])
        if self.trouble == OrderTrouble.IGNORED and "pool" in body:
            return json_answer({})
        if self.trouble != OrderTrouble.LOST:
            await self._carry_out(request, host, body)
        if self.trouble in (OrderTrouble.LOST, OrderTrouble.UNANSWERED):
            await asyncio.sleep(SILENCE_S)
        return json_answer({})

    async def _carry_out(self, request, host, body):
        if request.path == "/machine-move":
            return await self._move(host, body["pool"])
        return await self._maintain(host)

    async def _move(self, host, pool):
        if host.pool != pool:
            host.pool = pool
            self._ledger.count("moves")
            await self._restart(host, "moving")
        return json_answer({})

    async def _maintain(self, host):
        down = sum(h.state == "upkeep" for h in self.hosts.values())
        if down >= 1:
            self._ledger.report("one host of the wave is down at a time", host.name)
        host.maintained = True
        self._ledger.count("maintained")
        await self._restart(host, "upkeep")
        return json_answer({})

    async def _restart(self, host, state):
        endpoint, host.endpoint, host.state = host.endpoint, None, state
        await endpoint.close()
        task = asyncio.create_task(self._start_endpoint_after_outage(host))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start_endpoint_after_outage(self, host):
        await asyncio.sleep(PLANNED_OUTAGE_S)
        await self._start_endpoint(host)


def list_entry(host):
    """Return a host's entry in the response to ``/machines``."""
    endpoint = host.endpoint
    return {
        "machine": host.name,
        "pool": host.pool,
        "state": host.state,
        "zone": "zone-1",
        "labels": ["kind-a", "rack-1"],
        "capacity": CAPACITY,
        "id": endpoint.endpoint_id if endpoint else None,
    }
