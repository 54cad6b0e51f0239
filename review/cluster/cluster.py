"""A small deployment: the platform, its runners, the product's processes, consumers."""

import asyncio
import base64
import os
import signal
import sys
import tempfile
import time
import traceback
from pathlib import Path

import aiohttp
import msgspec

from review.cluster.machines import Machines
from review.cluster.node import Node
from review.cluster.record import Record
from review.cluster.runner import Gangs
from review.cluster.store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 115.0
READY_LIMIT_S = 20.0
CALL_TIMEOUT_S = 3.0


class RunSpan(msgspec.Struct):
    """A run of a subtask, from its start on a runner to its end. Monotonic seconds."""

    name: str
    run: int
    runner: str
    checkpoint: str
    started_at: float
    ended_at: float | None = None
    how: str = ""


class Runs:
    """All runs that runners have begun."""

    def __init__(self):
        self.spans = []

    def started(self, name, run, runner, checkpoint):
        """Record a start."""
        span = RunSpan(name, run, runner, checkpoint, time.monotonic())
        self.spans.append(span)

    def ended(self, name, run, how):
        """Record an end."""
        for span in self.spans:
            if (span.name, span.run) == (name, run) and span.ended_at is None:
                span.ended_at, span.how = time.monotonic(), how
                return

    def of(self, submission_id):
        """Return the runs of a submission."""
        return [s for s in self.spans if s.name.startswith(submission_id + ".")]

    def open(self, submission_id):
        """Return the runs of a submission that have not ended."""
        return [s for s in self.of(submission_id) if s.ended_at is None]


class Cluster:
    """
    Everything of one case.

    ``pools`` maps services to numbers of machines; ``routes`` is the first
    configuration. ``TROUBLE=0`` in the environment leaves the disruption out.
    """

    def __init__(self, pools, routes, nodes=3, standby="spare"):
        self.record = Record()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.runs = Runs()
        self.gangs = Gangs()
        self.machines = Machines(pools, self)
        self.nodes = []
        self.submissions = {}
        self._pools = pools
        self._routes = routes
        self._standby = standby
        self._node_count = nodes
        self._config_version = 0
        self._session = None

    def step_of(self, name):
        """Return the step of a subtask and its seconds of work."""
        submission_id, _, step, _ = name.split(".")
        body = self.submissions[submission_id]
        step = body["steps"][int(step)]
        return step, max(0.001, step.get("estimated_ms", 1000) / 1000)

    async def start(self, directory):
        """Start everything and wait until all processes are ready."""
        await self.store.start()
        await self.machines.start()
        self.configure(self._routes)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
        )
        for index in range(self._node_count):
            node = Node(index, directory, self)
            self.nodes.append(node)
            node.start()
        await self.wait_until_ready()

    async def wait_until_ready(self):
        """Wait until all processes are ready for consumers."""
        until = time.monotonic() + READY_LIMIT_S
        for node in self.nodes:
            while not await self._is_ready(node):
                if time.monotonic() > until:
                    raise RuntimeError(f"{node.name} does not become ready")
                await asyncio.sleep(0.1)

    async def _is_ready(self, node):
        try:
            async with self._session.get(node.ready_url) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def close(self):
        """End all processes and stand-ins."""
        for node in self.nodes:
            node.kill()
        if self._session is not None:
            await self._session.close()
        await self.machines.close()
        await self.store.close()

    def configure(self, routes):
        """Write a new version of the configuration, as the operator does."""
        self._config_version += 3
        body = {
            "version": self._config_version,
            "routes": [
                {"max_attempts": 4, "stretch": 2.0, "target_completion_ms": 1000,
                 "timeout_ms": 3000, "priority": 0} | route
                for route in routes
            ],
            "services": [
                {"name": n, "rejects_overload": True, "standby": n == self._standby}
                for n in self._pools
            ],
            "limits": {"max_body_bytes": 262144},
        }  # fmt: skip
        value = base64.b64encode(msgspec.json.encode(body)).decode()
        self.store.put("op", "config", value)
        targets = {route["name"]: route["service"] for route in routes}
        self.record.write(f"operator: config {self._config_version} routes {targets}")

    async def call(self, node, method, route, name, body=None, quiet=False):
        """Send a consumer's request; return (status, body), status 0 for no answer."""
        url = f"http://{node.front}{route['path_prefix']}{name}"
        headers = {
            "Host": route["host"],
            "Content-Type": "application/json",
            "X-Magnoliapier-Deadline-Ms": "3000",
        }
        data = msgspec.json.encode(body) if body is not None else None
        try:
            async with self._session.request(
                method, url, data=data, headers=headers
            ) as response:
                status, content = response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            status, content = 0, repr(error).encode()
        if not quiet:
            text = content.decode(errors="replace")[:120]
            path = f"{route['path_prefix']}{name}"
            self.record.write(f"{method} {path} at {node.name} -> {status} {text}")
        return status, content

    async def submit(self, node, route, submission_id, body, quiet=False):
        """Submit; return whether it was accepted."""
        self.submissions[submission_id] = body
        status, _ = await self.call(node, "POST", route, submission_id, body, quiet)
        return 200 <= status < 300

    async def state(self, node, route, submission_id, quiet=False):
        """Return the shown state of a submission, or the status as a text."""
        status, content = await self.call(
            node, "GET", route, submission_id, quiet=quiet
        )
        if status != 200:
            return str(status)
        return msgspec.json.decode(content)["state"]

    async def wait_for(self, condition, limit_s):
        """Wait until ``condition()`` holds; return whether it did within the limit."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if condition():
                return True
            await asyncio.sleep(0.05)
        return False


def run_case(make_cluster, check):
    """
    Run ``check(cluster)``, write record.txt beside the script, and exit.

    ``check`` returns HELD or BROKEN; any exception means that the case couldn't run.
    """
    folder = Path(sys.argv[0]).resolve().parent
    with tempfile.TemporaryDirectory(prefix="review-") as directory:
        code, record = asyncio.run(_run(make_cluster, check, Path(directory)))
        if os.environ.get("KEEP_LOGS"):
            for path in Path(directory).glob("*.log"):
                target = Path(os.environ["KEEP_LOGS"]) / path.name
                target.write_bytes(path.read_bytes())
    record.write(f"exit {code}: {('rule held', 'rule broken', 'not run')[code]}")
    record.save(folder / "record.txt")
    print(record.lines[-1])
    sys.exit(code)


async def _run(make_cluster, check, directory):
    cluster = make_cluster()
    cluster.record.write(f"trouble: {'on' if cluster.trouble else 'off'}")
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(LIMIT_S):
            await cluster.start(directory)
            code = await check(cluster)
    except (Exception, asyncio.CancelledError):
        for line in traceback.format_exc().splitlines():
            cluster.record.write(line)
        code = NOT_RUN
    finally:
        await cluster.close()
    return code, cluster.record
