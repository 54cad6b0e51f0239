import unittest

from magnoliapier.clock import VirtualClock
from magnoliapier.exceptions import (
    ConflictError,
    FencedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.memory_platform import MemoryPlatform
from magnoliapier.platform_api import (
    Check,
    HostStatus,
    ListedHost,
    TaskRequest,
    TaskStatus,
    Write,
)


class MemoryPlatformTests(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.platform = MemoryPlatform(self.clock)
        self.table = self.platform.table

    def test_transaction_is_all_or_nothing(self):
        self.table.transact([Write("a", {"n": 1}, 0)])
        with self.assertRaises(ConflictError) as caught:
            self.table.transact([Write("b", {}, 0), Write("a", {}, 0)])
        self.assertEqual(caught.exception.rows["a"].value, {"n": 1})
        self.assertEqual(self.table.read(["b"]), {})

    def test_check_guards_write(self):
        with self.assertRaises(ConflictError):
            self.table.transact([Write("a", {}, 0)], [Check("lease", 3)])

    def test_lost_answer_takes_effect(self):
        self.platform.faults.lose_answers = 1
        with self.assertRaises(StoreOutcomeUnknownError):
            self.table.transact([Write("a", {"n": 1}, 0)])
        self.assertEqual(self.table.read(["a"])["a"].value, {"n": 1})

    def test_down_has_no_effect(self):
        self.platform.faults.down = True
        with self.assertRaises(StoreUnavailableError):
            self.table.transact([Write("a", {}, 0)])
        self.platform.faults.down = False
        self.assertEqual(self.table.scan(""), [])

    def test_deleted_row_gets_new_version(self):
        """Guards against a write to a new row under the version of a deleted one."""
        first = self.table.transact([Write("a", {}, 0)])["a"]
        self.table.transact([Write("a", None)])
        self.assertGreater(self.table.transact([Write("a", {}, 0)])["a"], first)

    def test_host_list_lags(self):
        hosts = self.platform.hosts
        hosts.lag_s = 10.0
        hosts.set_host(ListedHost("w", HostStatus.LIVE, "127.0.0.1:1"))
        self.assertEqual(hosts.hosts(), [])
        self.clock.advance(10)
        self.assertEqual([host.name for host in hosts.hosts()], ["w"])

    def test_task_fence_and_lease(self):
        tasks = self.platform.tasks
        tasks.start(TaskRequest("t", "w", 1, 1, 0, fence=2, lease_s=5))
        with self.assertRaises(FencedError):
            tasks.stop("t", 1)
        self.clock.advance(6)
        self.assertIs(tasks.tasks()[0].status, TaskStatus.STOPPED)
