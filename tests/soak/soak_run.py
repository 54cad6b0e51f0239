"""Runs one soak: processes, stand-ins around them, a load and a series of faults."""

import asyncio
import base64
import random
import tempfile
from pathlib import Path

import msgspec

from tests.soak.callers import MAX_ATTEMPTS, Callers
from tests.soak.faults import (
    FAULTS,
    RESTARTS,
    recut_endpoints,
    trouble_orders,
)
from tests.soak.ledger import Ledger
from tests.soak.machines import MachinesStandIn
from tests.soak.nodes import Node, wait_until_ready
from tests.soak.store import StoreStandIn

READY_LIMIT_S = 20.0
WARM_UP_S = 2.0
FAULT_INTERVAL_S = 1.6  # mean of an exponential distribution
FAULT_DURATION_RANGE_S = (0.5, 4.0)
SETTLE_S = 25.0  # several times as long as a takeover or a shard or endpoint lease
SETTLE_POLL_S = 1.0
POOLS = {"alpha": 4, "beta": 4, "idle": 2}


class QueueRoute(msgspec.Struct):
    """The address of a queue for callers and the service behind it."""

    host: str
    path_prefix: str
    service: str

    def to_config(self):
        """Return the queue's route in the configuration."""
        return {
            "name": f"queue-{self.service}",
            "host": self.host,
            "path_prefix": self.path_prefix,
            "service": self.service,
            "max_attempts": MAX_ATTEMPTS,
            "stretch": 2.0,
            "target_completion_ms": 2000,
        }


class SoakResult(msgspec.Struct):
    """The faults that one soak injected, its event counts and its violations."""

    seed: int
    faults: list
    counts: dict
    violations: list
    directory: str


def shuffled_rounds(rng):
    """Yield the names of all restarts in random order, again and again."""
    while True:
        yield from rng.sample(sorted(RESTARTS), len(RESTARTS))


class SoakRun:
    """
    One soak: everything that runs for one seed.

    Example::

        result = asyncio.run(SoakRun(seed=7, nodes=3, directory=path).run(15.0))
        assert not result.violations
    """

    def __init__(self, seed, nodes, directory=None):
        self.seed = seed
        self.waves = []
        self._rng = random.Random(seed)
        self._directory = Path(directory or tempfile.mkdtemp(prefix="soak-"))
        self.ledger = Ledger(self._directory / "endpoints.log")
        self.store = StoreStandIn(self._child_rng())
        self.machines = MachinesStandIn(
            POOLS, self._child_rng(), self.store, self.ledger
        )
        self._node_count = nodes
        self.nodes = []
        self.queues = [
            QueueRoute(f"{service}.example", "/jobs/", service)
            for service in ("alpha", "beta")
        ]
        self._config_version = 1
        self.callers = None
        self._injected = []

    def _child_rng(self):
        return random.Random(self._rng.getrandbits(64))

    def endpoints(self):
        """Return the endpoints that are up."""
        return self.machines.endpoints()

    def record_disturbance_of_all_nodes(self):
        """Record a disturbance of all nodes."""
        for node in self.nodes:
            node.record_disturbance()

    def configure(self, extra_routes):
        """Write a newer configuration, as the operator does."""
        self._config_version += 3
        services = [{"name": name, "standby": name == "idle"} for name in POOLS]
        routes = [queue.to_config() for queue in self.queues] + extra_routes
        body = {"version": self._config_version, "routes": routes, "services": services}
        value = base64.b64encode(msgspec.json.encode(body)).decode()
        self.store.put("op", "", "config", value)

    async def run(self, seconds):
        """Run the soak and return its result."""
        try:
            await self._start()
            await asyncio.sleep(WARM_UP_S)
            await self._inject_all(seconds)
            await self._settle()
        finally:
            await self._close()
        return SoakResult(
            self.seed,
            self._injected,
            self.ledger.counts,
            self.ledger.violations,
            str(self._directory),
        )

    async def _start(self):
        store_port = await self.store.start()
        self.configure([])
        machines_port = await self.machines.start()
        for index in range(self._node_count):
            node = Node(index, self._directory, store_port, machines_port)
            self.nodes.append(node)
            await node.start()
        missing = await wait_until_ready(self.nodes, READY_LIMIT_S)
        if missing:
            names = [node.name for node in missing]
            self.ledger.report("all nodes become ready", str(names))
        self.callers = Callers(self.nodes, self.queues, self._child_rng(), self.ledger)
        await self.callers.start()

    async def _inject_all(self, seconds):
        """Inject four series of faults; three draw from streams of their own."""
        rng = self._child_rng()
        names = iter(lambda: rng.choice(sorted(FAULTS)), None)
        restart_rng = random.Random(f"restarts {self.seed}")
        await asyncio.gather(
            self._inject(FAULTS, names, rng, seconds),
            self._inject(RESTARTS, shuffled_rounds(restart_rng), restart_rng, seconds),
            self._inject_recuts(random.Random(f"recuts {self.seed}"), seconds),
            self._trouble_orders(random.Random(f"orders {self.seed}"), seconds),
        )

    async def _trouble_orders(self, rng, seconds):
        """Trouble the orders for some hosts, one time after the other."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await trouble_orders(self, self._fault_rng(rng))

    async def _inject_recuts(self, rng, seconds):
        """Cut restarted endpoints off, one time after the other; each takes 14 s."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            self._injected.append("recut_endpoints")
            await recut_endpoints(self, self._fault_rng(rng))

    async def _inject(self, faults, names, rng, seconds):
        """Start faults at random intervals, often overlapping, and await their end."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        running = []
        while loop.time() < until:
            name = next(names)
            duration_s = rng.uniform(*FAULT_DURATION_RANGE_S)
            self._injected.append(f"{name} {duration_s:.1f}")
            fault = faults[name](self, self._fault_rng(rng), duration_s)
            running.append(asyncio.create_task(fault))
            await asyncio.sleep(rng.expovariate(1 / FAULT_INTERVAL_S))
        await asyncio.gather(*running)

    def _fault_rng(self, rng):
        return random.Random(rng.getrandbits(64))

    async def _settle(self):
        """Wait for work to finish without faults, then check the final invariants."""
        missing = await wait_until_ready(self.nodes, READY_LIMIT_S)
        for node in missing:
            self.ledger.report("all nodes become ready again", node.name)
        finishing = asyncio.create_task(self.callers.stop_submitting())
        for _ in range(int(SETTLE_S / SETTLE_POLL_S)):
            if finishing.done():
                break
            await asyncio.sleep(SETTLE_POLL_S)
        await asyncio.sleep(3 * SETTLE_POLL_S)
        finishing.cancel()
        self.ledger.check_settled()
        self._check_wave()

    def _check_wave(self):
        if not self.waves:
            return
        value = self.store.value("status", "", "wave/1")
        state = msgspec.json.decode(base64.b64decode(value))["state"] if value else ""
        hosts = [self.machines.hosts[name] for name in self.waves[0]]
        maintained = all(host.maintained for host in hosts)
        if state == "completed" and not maintained:
            self.ledger.report("a completed wave has maintained all hosts", state)
        if not maintained:
            missing = [host.name for host in hosts if not host.maintained]
            self.ledger.report("a wave is carried out", str(missing))

    async def _close(self):
        if self.callers is not None:
            await self.callers.close()
        for node in self.nodes:
            await node.close()
        await self.machines.close()
        await self.store.close()
