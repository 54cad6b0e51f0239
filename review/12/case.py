"""A pool gives up machines that the platform does not move to the standby pool."""

import asyncio
import os
import sys
import time

from review.rig.cluster import Cluster
from review.rig.runners import CAPACITY

ROUTE = {
    "name": "photo-archive",
    "host": "padma.example",
    "path_prefix": "/archive/",
    "service": "padma-desk",
    "max_attempts": 4,
    "stretch": 2.2,
    "target_completion_ms": 2000,
}
OTHER = {
    "name": "market-index",
    "host": "haat.example",
    "path_prefix": "/index/",
    "service": "haat-desk",
    "max_attempts": 4,
    "stretch": 2.2,
    "target_completion_ms": 2000,
}
CONFIG = {
    "version": 3,
    "routes": [ROUTE, OTHER],
    "services": [
        {"name": "padma-desk", "rejects_overload": True},
        {"name": "haat-desk", "rejects_overload": True},
        {"name": "common-desk", "rejects_overload": True, "standby": True},
    ],
}
POOLS = {"padma-desk": 8, "haat-desk": 3, "common-desk": 2}
OTHER_KINDS = {"haat-desk": "b", "common-desk": "b"}
STEP = {
    "count": 5,
    "cpu": 3000,
    "mem_mb": 17_000,
    "max_per_server": 1,
    "long_running": True,
    "estimated_ms": 700,
}
ID = "5c0e7a21d94b36f8"
LULL_S = 24.0
WATCH_S = 40.0
AFTER_ACCEPTANCE_S = 6.0
WAIT_S = 3.0  # LOST: for 3 s


class Watch:
    """Measures for how long each subtask has waited beside free capacity."""

    def __init__(self, cluster, since):
        self._cluster = cluster
        self._since = {}
        self._from = since
        self.longest_s = 0.0

    def sample(self):
        """Look at the runners of the service."""
        now = time.monotonic()
        runners = self._cluster.machines.runners_of("padma-desk")
        running = {run.task for runner in runners for run in runner.running.values()}
        free = [
            runner
            for runner in runners
            if not runner.running and CAPACITY["cpu"] >= 2 * STEP["cpu"]
        ]
        for index in range(STEP["count"]):
            task = f"{ID}.0.0.{index}"
            if task in running or len(free) < 2 or now < self._from:
                self._since.pop(task, None)
                continue
            waited = now - self._since.setdefault(task, now)
            self.longest_s = max(self.longest_s, waited)
        return len(running), len(free)


async def run(trouble):
    kinds = OTHER_KINDS if trouble else {}
    cluster = Cluster(__file__, POOLS, CONFIG, standby="common-desk", kinds=kinds)
    try:
        if not await cluster.start():
            return 2
        await asyncio.sleep(LULL_S)
        if not await cluster.submit(ROUTE, ID, [STEP]):
            return 2
        accepted = time.monotonic()
        watch = Watch(cluster, accepted + AFTER_ACCEPTANCE_S)
        while time.monotonic() < accepted + WATCH_S:
            await asyncio.sleep(0.5)
            running, free = watch.sample()
            cluster.record.write("look", running=running, idle_runners=free)
        await cluster.state(ROUTE, ID)
        cluster.record.write(
            "result", running=running, longest_wait_s=round(watch.longest_s, 1)
        )
        return 1 if watch.longest_s >= WAIT_S else 0
    finally:
        await cluster.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(run(os.environ.get("TROUBLE", "1") != "0")))
