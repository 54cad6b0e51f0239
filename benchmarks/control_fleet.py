"""Runs several control processes with real sockets inside one process."""

import json
import time

import urllib3

from magnoliapier.auth import make_token
from magnoliapier.clock import Clock
from magnoliapier.control import Control
from magnoliapier.memory_platform import MemoryPlatform
from magnoliapier.platform_http import connect_platform
from magnoliapier.settings import build_settings
from magnoliapier.standin import StandinServer

ANY_PORT = "127.0.0.1:0"
AUTH_KEYS = {"peer_key": "peers", "operator_key": "operators"}


def make_manifest(hosts, pools, services=None, data_centres=8):
    """Return a manifest of the given size as plain JSON."""
    services = pools if services is None else services
    names = [f"pool-{number:02}" for number in range(pools)]
    values = {
        "organisations": {"org": {}},
        "services": {f"s-{n:02}": {"pool": names[n % pools]} for n in range(services)},
        "pools": {name: {} for name in (*names, "spare")},
        "hosts": {},
    }
    for number in range(hosts):
        centre = number % data_centres + 1
        values["hosts"][f"w-{number:04}"] = {
            "data_centre": f"dc-{centre}",
            "rack": f"rack-{centre}-{number // (4 * data_centres)}",
            "pool": names[number % pools],
            "address": f"10.{number // 250}.{number % 250}.1:8000",
        }
    return values


class ControlFleet:
    """
    Several control processes that share one stand-in platform over HTTP.

    ``centres`` is a list with the data centre of each process.
    """

    def __init__(self, centres, planner=True):
        self._server = StandinServer(MemoryPlatform(Clock())).start()
        self.platforms = []
        self.controls = []
        for number, centre in enumerate(centres):
            settings = build_settings(
                {
                    "name": f"entry-{number}",
                    "data_centre": centre,
                    "auth": AUTH_KEYS,
                    "platform": {"url": f"http://{self._server.address}"},
                    "control": {
                        "address": ANY_PORT,
                        "operator_address": ANY_PORT,
                        "metrics_address": ANY_PORT,
                        "planner": planner,
                    },
                }
            )
            self.platforms.append(connect_platform(settings.platform))
            self.controls.append(Control(settings, self.platforms[-1]))
        for control in self.controls:
            for number, other in enumerate(self.controls):
                control.add_peer(f"entry-{number}", centres[number], other.address)
        for control in self.controls:
            control.start()
        self._pool = urllib3.PoolManager(retries=False, timeout=30)

    def commit(self, values, base_version, number=0):
        """
        Commit a manifest through one process and return the JSON response.

        Raise RuntimeError if the commit is refused.
        """
        token = make_token(AUTH_KEYS["operator_key"], "benchmark", time.time())
        address = self.controls[number].operator_address
        answer = self._pool.request(
            "POST",
            f"http://{address}/manifest/commit",
            body=json.dumps({"manifest": values, "base_version": base_version}),
            headers={"Authorization": f"Bearer {token}"},
        )
        if answer.status != 200:
            raise RuntimeError(
                f"The commit failed with status {answer.status}: {answer.data[:300]}"
            )
        return answer.json()

    def wait_for_version(self, version, limit_s=60.0):
        """
        Wait until the manifest version is in force at every process.

        Raise RuntimeError if it is not after ``limit_s`` seconds.
        """
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all(
                control.node.ask(lambda node: node.state.manifest_version) >= version
                for control in self.controls
            ):
                return
            time.sleep(0.002)
        raise RuntimeError(f"version {version} is not in force after {limit_s} s")

    def close(self):
        """Stop all processes and the platform."""
        self._pool.clear()
        for control in self.controls:
            control.close()
        self._server.close()
