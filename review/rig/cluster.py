"""Starts the project's processes with the command of the deploy file, and calls them."""

import asyncio
import json
import os
import signal
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

import aiohttp

from review.rig.runners import Machines, World
from review.rig.server import Record
from review.rig.store import Store

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "hold_max_ms": 6000,
    "stop_grace_ms": 200,
    "gang_timeout_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "move_s": 1.5,
    "upkeep_s": 2,
    "lease_ms": 3000,
    "fencing_required": False,
}
CALL_TIMEOUT_S = 3.0  # the time limit on the sheets


def _exit(number, frame):
    raise SystemExit(2)


class Node:
    """One process of the project on an address of its own."""

    def __init__(self, index, directory, store_address, machines_address):
        pid = os.getpid()
        self.name = f"front-{index}"
        self._ip = f"127.{10 + pid % 200}.{pid // 200 % 250}.{index + 10}"
        self.front = f"{self._ip}:8624"
        self.ready = f"{self._ip}:8622"
        self.process = None
        self._directory = directory
        self._settings = {
            "node_name": self.name,
            "role": "node",
            "machine_class": "front",
            "serves": ["front"],
            "ip": self._ip,
            "zone": "zone-1",
            "region": "region-1",
            "zones": {"zone-1": "region-1"},
            "listen": {"front": self.front, "ready_address": self.ready},
            "internal_ports": [7060, 7075],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "discovery": "platform",
            "heartbeat_ms": 1500,
            "bounds": BOUNDS,
            "orders": "call",
            "platform": {"address": store_address, "form": "table", "across": True},
            "cloud_api": {"address": machines_address, "rate_per_s": 64.0},
        }

    def launch(self):
        """Start the process; its log goes to the temporary folder."""
        path = self._directory / f"{self.name}.json"
        path.write_text(json.dumps(self._settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["MAGNOLIAPIER_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self._directory / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def kill(self):
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Cluster:
    """The project's processes with the stand-ins around them."""

    def __init__(self, case, pools, config, nodes=3, standby=None, kinds=()):
        # So that the processes are ended if the script's time limit ends the case.
        signal.signal(signal.SIGTERM, _exit)
        self.record = Record(Path(case).resolve().parent / "record.txt")
        self._folder = tempfile.TemporaryDirectory(prefix="case-")
        self.directory = Path(self._folder.name)
        self.store = Store(self.record)
        self.world = World(self.store, self.record)
        self.machines = Machines(self.world, pools, standby, kinds)
        self._config = config
        self._node_count = nodes
        self.nodes = []
        self._turn = 0

    async def start(self):
        """Start all; return whether every process is ready."""
        store_address = await self.store.start()
        self.store.put("op", "config", self._config)
        machines_address = await self.machines.start()
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        )
        for index in range(self._node_count):
            node = Node(index, self.directory, store_address, machines_address)
            self.nodes.append(node)
            node.launch()
        return await self.wait_ready(30.0)

    async def wait_ready(self, limit_s):
        """Wait until all processes are ready; return whether they are."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            states = [await self._ready(node) for node in self.nodes]
            if all(states):
                self.record.write("ready")
                return True
            await asyncio.sleep(0.2)
        return False

    async def _ready(self, node):
        try:
            async with self.session.get(f"http://{node.ready}/ready") as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def close(self):
        """End the processes and the stand-ins."""
        for node in self.nodes:
            node.kill()
        await self.session.close()
        await self.machines.close()
        await self.store.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in self.directory.iterdir():
                Path(keep, path.name).write_bytes(path.read_bytes())
        self._folder.cleanup()
        self.record.close()

    async def call(self, method, route, name="", body=None, node=None, quiet=False):
        """Call a process as a consumer; return (status or None, body)."""
        if node is None:
            node = self.nodes[self._turn % len(self.nodes)]
            self._turn += 1
        url = f"http://{node.front}{route['path_prefix']}{name}"
        headers = {"Host": route["host"], "Content-Type": "application/json"}
        if route.get("key"):  # of the consumer's tenant
            headers["Authorization"] = f"Bearer {route['key']}"
        data = json.dumps(body).encode() if body is not None else None
        try:
            async with self.session.request(
                method, url, data=data, headers=headers
            ) as response:
                status, text = response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            status, text = None, repr(error).encode()
        if not quiet:
            self.record.write(
                method, id=name, at=node.name, status=status, body=text.decode()[:80]
            )
        return status, text

    async def submit(self, route, submission_id, steps, quiet=False):
        """Hand a submission in, as a consumer with retries; return if it was accepted."""
        self.world.steps[submission_id] = steps
        wire = [{k: v for k, v in s.items() if k != "work_s"} for s in steps]
        for _ in range(5):
            status, _ = await self.call(
                "POST", route, submission_id, {"spec": "case", "steps": wire}, quiet=quiet
            )
            if status is not None and 200 <= status < 300:
                return True
            await asyncio.sleep(0.5)
        return False

    def holder(self, shard):
        """Return the process whose name stands in a lease row of the store."""
        value = self.store.raw("control", shard, "lease")
        for node in self.nodes:
            if value is not None and node.name.encode() in value:
                return node
        return None

    async def state(self, route, submission_id):
        """Return the state that a GET shows, or None."""
        status, text = await self.call("GET", route, submission_id)
        return json.loads(text)["state"] if status == 200 else status
