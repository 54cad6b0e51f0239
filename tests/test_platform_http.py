import unittest

import urllib3

from magnoliapier.clock import Clock
from magnoliapier.exceptions import (
    ConflictError,
    FencedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.memory_platform import MemoryPlatform
from magnoliapier.platform_api import HostStatus, ListedHost, TaskRequest, Write
from magnoliapier.platform_http import connect_platform
from magnoliapier.settings import build_settings
from magnoliapier.standin import StandinServer
from magnoliapier.standin_endpoint import StandinEndpoint


class PlatformHttpTests(unittest.TestCase):
    """Guards against an adapter that reports a write of unknown outcome as not done."""

    def setUp(self):
        self.memory = MemoryPlatform(Clock())
        self.server = StandinServer(self.memory).start()
        self.addCleanup(self.server.close)
        settings = build_settings(
            {"platform": {"url": f"http://{self.server.address}"}}
        )
        self.platform = connect_platform(settings.platform)

    def test_table(self):
        self.platform.table.transact([Write("a/1", {"n": 1}, 0)])
        with self.assertRaises(ConflictError) as caught:
            self.platform.table.transact([Write("a/1", {}, 0)])
        self.assertEqual(caught.exception.rows["a/1"].value, {"n": 1})
        self.assertEqual([r.key for r in self.platform.table.scan("a/")], ["a/1"])

    def test_lost_answer(self):
        self.memory.faults.lose_answers = 1
        with self.assertRaises(StoreOutcomeUnknownError):
            self.platform.table.transact([Write("a", {"n": 1}, 0)])
        self.assertEqual(self.platform.table.read(["a"])["a"].value, {"n": 1})

    def test_down(self):
        self.memory.faults.down = True
        with self.assertRaises(StoreUnavailableError):
            self.platform.table.transact([Write("a", {}, 0)])

    def test_unreachable(self):
        settings = build_settings({"platform": {"url": "http://127.0.0.1:1"}})
        with self.assertRaises(StoreUnavailableError):
            connect_platform(settings.platform).table.transact([Write("a", {}, 0)])

    def test_objects_hosts_and_tasks(self):
        self.platform.objects.put("snapshot/1", b"\x00data")
        self.assertEqual(self.platform.objects.get("snapshot/1"), b"\x00data")
        self.assertIsNone(self.platform.objects.get("other"))
        self.memory.hosts.set_host(ListedHost("w", HostStatus.LIVE, "127.0.0.1:1"))
        self.assertEqual(self.platform.hosts.hosts()[0].name, "w")
        self.platform.tasks.start(TaskRequest("t", "w", 1, 1, 0, 2, 5.0))
        with self.assertRaises(FencedError):
            self.platform.tasks.checkpoint("t", 1)
        self.assertEqual(self.platform.tasks.tasks()[0].task_id, "t")


class StandinEndpointTests(unittest.TestCase):
    def setUp(self):
        self.endpoint = StandinEndpoint(slots=1).start()
        self.addCleanup(self.endpoint.close)
        self.pool = urllib3.HTTPConnectionPool(
            *self.endpoint.address.split(":"), retries=False
        )
        self.addCleanup(self.pool.close)

    def test_counts_runs(self):
        for _ in range(2):
            self.pool.request("POST", "/wire/x", headers={"Idempotency-Key": "k"})
        self.assertEqual(self.endpoint.runs, {"k": 2})

    def test_silent_connection_and_new_one(self):
        self.pool.request("GET", "/wire/x")
        self.endpoint.silence_connections()
        with self.assertRaises(urllib3.exceptions.ReadTimeoutError):
            self.pool.request("GET", "/wire/x", timeout=0.05)
        self.assertEqual(self.pool.request("GET", "/wire/x").status, 200)

    def test_cut_answer_is_detected(self):
        self.endpoint.faults.cut_answers = True
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.pool.request("GET", "/wire/x")
