"""Entry processes, endpoints and callers over real sockets, for several tests."""

import http.client
import io
import socket
import time
import unittest

from magnoliapier.clock import Clock
from magnoliapier.entry import EntryProcess, build_dispatcher
from magnoliapier.manifest import canonical_json
from magnoliapier.memory_platform import MemoryPlatform
from magnoliapier.messages import PeerView, StateUpdate
from magnoliapier.metrics import Metrics
from magnoliapier.settings import build_settings
from magnoliapier.standin_endpoint import StandinEndpoint
from magnoliapier.transport import parse_address
from tests.samples import commit_entry, sample_manifest, sample_state

WAIT_S = 10


def wait_until(condition, limit_s=WAIT_S):
    """Wait for a condition that another thread or process brings about."""
    until = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > until:
            raise AssertionError("The condition did not come true.")
        time.sleep(0.005)


def head(method="GET", path="/wire/x", **headers):
    """Return the lines of a request without its body."""
    named = {"Host": "h", "X_Organisation": "desk-a", **headers}
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in named.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class AnswerFile(io.BufferedReader):
    """Outlives an HTTPResponse, because it may hold the start of the next answer."""

    def makefile(self, _mode):
        return self

    def close(self):
        pass


class Caller:
    """One connection of a caller that reads answers one by one."""

    def __init__(self, address):
        self.socket = socket.create_connection(parse_address(address), WAIT_S)
        self._answers = AnswerFile(self.socket.makefile("rb", buffering=0))

    def send(self, data):
        self.socket.sendall(data)
        return self

    def answer(self, method="GET"):
        """Return (status, headers, body) of the next answer."""
        response = http.client.HTTPResponse(self._answers, method=method)
        response.begin()
        return response.status, response.headers, response.read()

    def close(self):
        self._answers.raw.close()
        self.socket.close()


class EntryTestCase(unittest.TestCase):
    """Starts endpoints for the service ``wire`` and entry processes before them."""

    endpoints = 2
    entry = {}
    service = {}

    def setUp(self):
        self.platform = MemoryPlatform(Clock())
        self.hosts = [StandinEndpoint().start() for _ in range(self.endpoints)]
        for host in self.hosts:
            self.addCleanup(host.close)
        self.manifest = sample_manifest(("wire",), self.endpoints, data_centres=1)
        self.manifest["services"]["wire"].update(self.service)
        for number, host in enumerate(self.hosts):
            self.manifest["hosts"][f"wire-{number}"]["address"] = host.address
        self.process = self.start_entry()

    def start_entry(self, name="entry-1", **options):
        settings = build_settings(
            {
                "name": name,
                "entry": {
                    "address": "127.0.0.1:0",
                    "metrics_address": "127.0.0.1:0",
                    "threads": 16,
                    **self.entry,
                    **options,
                },
                "control": {"address": "127.0.0.1:1"},
            }
        )
        self.metrics = Metrics()
        process = EntryProcess(
            settings,
            build_dispatcher(settings, Clock(), self.metrics),
            self.platform.table,
            Clock(),
            self.metrics,
        ).start()
        self.addCleanup(process.close)
        state = sample_state()
        state.apply(commit_entry(state, self.manifest))
        data = canonical_json(state.to_values())
        process.view.apply_view(PeerView(), time.monotonic(), eligible=True)
        process.view.apply_update(StateUpdate(snapshot=data))
        return process

    def connect(self, process=None):
        caller = Caller((process or self.process).address)
        self.addCleanup(caller.close)
        return caller

    def send_request(self, data, process=None, method="GET"):
        return self.connect(process).send(data).answer(method)

    def demand(self, process=None):
        """Return the queued and in-flight requests."""
        return (process or self.process).path.current_load()[0].get("wire", (0, 0))

    def run_count(self):
        return sum(sum(host.runs.values()) for host in self.hosts)
