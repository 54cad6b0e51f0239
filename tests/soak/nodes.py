"""Runs the product's processes, one for each node, and sends them signals."""

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

STOP_GRACE_S = 6.0
READY_POLL_S = 0.1
READY_TIMEOUT_S = 0.5
# For this long after a disturbance, cut requests and slow stops break no invariant.
DISTURBANCE_EFFECT_S = 8.0
READY_PORT = 8622
FRONT_PORT = 8624
PEER_PORTS = [7060, 7075]


class Node:
    """
    One node: settings file, process, and links to the store and the machine API.

    Each soak uses loopback addresses of its own, so that several can run on one
    machine.
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
    def is_undisturbed(self):
        """Return whether no disturbance was recorded within DISTURBANCE_EFFECT_S."""
        return time.monotonic() - self.disturbed_at > DISTURBANCE_EFFECT_S

    def record_disturbance(self):
        """Record a disturbance other than a graceful stop."""
        self.disturbed_at = time.monotonic()

    async def start(self):
        """Start the links and the process."""
        await self.store_link.start()
        await self.machines_link.start()
        self.launch()

    def launch(self):
        """Start the process; its output goes to a log file in the soak's directory."""
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

    def ended_by(self, signal_number):
        """Return whether a signal has ended the process."""
        return self.process is not None and self.process.poll() == -signal_number

    def send_signal(self, signal_number):
        """Send a signal to the process that this soak started."""
        if self.running:
            self.process.send_signal(signal_number)

    async def stop(self, grace_s=STOP_GRACE_S):
        """
        Send SIGTERM, then SIGKILL after ``grace_s``; return whether SIGTERM was enough.

        Another fault may start the node again meanwhile, so this waits only for the
        process that got the signal.
        """
        process = self.process
        self.send_signal(signal.SIGTERM)
        until = time.monotonic() + grace_s
        while process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.05)
        graceful = process.poll() is not None
        if not graceful:
            process.kill()
            process.wait()
        return graceful

    def kill(self):
        """Kill the process and wait until it has ended."""
        if self.running:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def is_ready(self, session):
        """Return whether the node reports that it is ready for callers."""
        timeout = aiohttp.ClientTimeout(total=READY_TIMEOUT_S)
        url = f"http://{self._ip}:{READY_PORT}/ready"
        try:
            async with session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def close(self):
        """Kill the process and close its links."""
        self.kill()
        await self.store_link.close()
        await self.machines_link.close()


async def wait_until_ready(nodes, limit_s):
    """Wait up to ``limit_s`` for all nodes to be ready; return those that are not."""
    until = time.monotonic() + limit_s
    async with aiohttp.ClientSession() as session:
        while True:
            answers = await asyncio.gather(*(node.is_ready(session) for node in nodes))
            missing = [n for n, ready in zip(nodes, answers, strict=True) if not ready]
            if not missing or time.monotonic() > until:
                return missing
            await asyncio.sleep(READY_POLL_S)
