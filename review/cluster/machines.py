"""The platform's machines: it lists them, moves them and takes them down for upkeep."""

import asyncio

import msgspec
from aiohttp import web

from review.cluster.http import HttpServer, json_answer
from review.cluster.runner import CAPACITY, Runner

MOVE_S = 1.5
UPKEEP_S = 2.0


class Machine:
    """A machine and the runner that lives on it, if any."""

    def __init__(self, name, pool):
        self.name = name
        self.pool = pool
        self.state = "up"
        self.runner = None
        self.lives = 0


class Machines:
    """Serves the machine calls on a loopback port; ``pools`` maps pools to sizes."""

    def __init__(self, pools, cluster):
        self._cluster = cluster
        self._server = HttpServer(self._answer)
        self._tasks = set()
        self.machines = {}
        for pool, count in pools.items():
            for _ in range(count):
                name = f"machine-{len(self.machines)}"
                self.machines[name] = Machine(name, pool)

    @property
    def address(self):
        """Return ``host:port``."""
        return self._server.address

    def runners(self, service=None):
        """Return the runners that are up, of one service or of all."""
        return [
            m.runner
            for m in self.machines.values()
            if m.runner is not None and service in (None, m.pool)
        ]

    async def start(self):
        """Start all runners and listen."""
        for machine in self.machines.values():
            await self._start_runner(machine)
        await self._server.start()

    async def close(self):
        """End all runners and stop listening."""
        for task in list(self._tasks):
            task.cancel()
        await self._server.close()
        for runner in self.runners():
            await runner.leave()

    async def _start_runner(self, machine):
        machine.lives += 1
        runner_id = f"{machine.name}-life-{machine.lives}"
        machine.runner = Runner(runner_id, machine.name, machine.pool, self._cluster)
        await machine.runner.start()
        machine.state = "up"

    async def crash(self, runner):
        """Crash a runner for good; its machine is down from now on."""
        machine = self.machines[runner.machine]
        machine.runner, machine.state = None, "down"
        self._spawn(runner.crash())

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, request):
        if request.path == "/machines":
            rows = [list_row(machine) for machine in self.machines.values()]
            return json_answer({"machines": rows})
        body = msgspec.json.decode(await request.read())
        machine = self.machines.get(body["machine"])
        if machine is None:
            return web.Response(status=400)
        if request.path == "/machine-move" and machine.pool == body["pool"]:
            return json_answer({})
        if machine.state != "up":
            return json_answer({"reason": "busy"}, 409)
        self._cluster.record.write(f"order {request.path} {body}")
        if request.path == "/machine-move":
            machine.pool = body["pool"]
            self._spawn(self._restart(machine, "moving", MOVE_S))
        else:
            self._spawn(self._restart(machine, "upkeep", UPKEEP_S))
        return json_answer({})

    async def _restart(self, machine, state, seconds):
        runner, machine.runner, machine.state = machine.runner, None, state
        await runner.leave()
        await asyncio.sleep(seconds)
        await self._start_runner(machine)


def list_row(machine):
    """Return a machine's entry in the list."""
    return {
        "machine": machine.name,
        "pool": machine.pool,
        "state": machine.state,
        "zone": "zone-1",
        "labels": ["kind-a", "rack-1"],
        "capacity": CAPACITY,
        "id": machine.runner.runner_id if machine.runner else None,
    }
