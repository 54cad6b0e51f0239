"""The product's processes, one for each node, and the signals they are sent."""

import asyncio
import os
import signal
import subprocess
import sys
import time

import aiohttp
import msgspec

from tests.soak.ledger import LEASE_MS
from tests.soak.proxy import LinkProxy

GRACE_S = 6.0
READY_GAP_S = 0.1
CALL_TIMEOUT_S = 0.5
PLANNED_S = 8.0  # after other disturbances, before cut requests count
READY_PORT = 8622
FRONT_PORT = 8624
PEER_PORTS = [7060, 7075]


class Node:
    """
    One node: its settings file, its process and its links to store and machines.

    Each run of the soak uses loopback addresses of its own, so that several may run on
    one machine.
    """

    def __init__(self, index, directory, store_port, machines_port):
        self.name = f"node-{index}"
        self.store_link = LinkProxy(store_port)
        self.machines_link = LinkProxy(machines_port)
        self.process = None
        self.disturbed_at = time.monotonic()
        self._directory = directory
        pid = os.getpid()
        self._ip = f"127.{1 + pid % 250}.{pid // 250 % 250}.{index + 10}"

    @property
    def front(self):
        """Return the address that callers connect to."""
        return f"{self._ip}:{FRONT_PORT}"

    @property
    def only_stopped_gracefully(self):
        """Return whether nothing but SIGTERM disturbed the node lately."""
        return time.monotonic() - self.disturbed_at > PLANNED_S

    def disturb(self):
        """Take note of an unplanned disturbance."""
        self.disturbed_at = time.monotonic()

    async def start(self):
        """Start links and process."""
        await self.store_link.start()
        await self.machines_link.start()
        self.launch()

    def launch(self):
        """Start the process; its output goes to a file of the run's directory."""
        settings = self._directory / f"{self.name}.json"
        settings.write_bytes(msgspec.json.encode(self._settings()))
        log_path = self._directory / f"{self.name}.log"
        with log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "magnoliapier.platform"],
                env=os.environ | {"MAGNOLIAPIER_BOOT": str(settings)},
                stdout=log,
                stderr=log,
            )

    def _settings(self):
        return {
            "node_name": self.name,
            "ip": self._ip,
            "listen": {
                "front": self.front,
                "ready_address": f"{self._ip}:{READY_PORT}",
            },
            "internal_ports": PEER_PORTS,
            "platform": {"address": f"127.0.0.1:{self.store_link.port}"},
            "cloud_api": {"address": f"127.0.0.1:{self.machines_link.port}"},
            "bounds": {"hold_max_ms": 6000, "lease_ms": LEASE_MS, "status_s": 120},
        }

    @property
    def running(self):
        """Return whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def ended_by(self, number):
        """Return whether a signal has ended the process."""
        return self.process is not None and self.process.poll() == -number

    def signal(self, number):
        """Send a signal to the process that this soak started."""
        if self.running:
            self.process.send_signal(number)

    async def stop(self, grace_s=GRACE_S):
        """
        Send SIGTERM, then SIGKILL after the grace; return whether that was not needed.

        Another fault may start the node again meanwhile, so only the process that was
        signalled is waited for.
        """
        process = self.process
        self.signal(signal.SIGTERM)
        until = time.monotonic() + grace_s
        while process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.05)
        graceful = process.poll() is not None
        if not graceful:
            process.kill()
            process.wait()
        return graceful

    def kill(self):
        """End the process at once."""
        if self.running:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def ready(self, session):
        """Return whether the node says that it is ready for callers."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        url = f"http://{self._ip}:{READY_PORT}/ready"
        try:
            async with session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def close(self):
        """End the process and its links."""
        self.kill()
        await self.store_link.close()
        await self.machines_link.close()


async def all_ready(nodes, limit_s):
    """Wait until all nodes are ready; return those that are not in time."""
    until = time.monotonic() + limit_s
    async with aiohttp.ClientSession() as session:
        while True:
            answers = await asyncio.gather(*(node.ready(session) for node in nodes))
            missing = [n for n, ready in zip(nodes, answers, strict=True) if not ready]
            if not missing or time.monotonic() > until:
                return missing
            await asyncio.sleep(READY_GAP_S)
