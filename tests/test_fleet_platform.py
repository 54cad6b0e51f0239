import unittest

from magnoliapier.clock import VirtualClock
from magnoliapier.exceptions import StoreUnavailableError
from magnoliapier.fleet_platform import ReplayPlatform
from magnoliapier.platform_api import HostStatus, ListedHost, TaskRequest, TaskStatus


class ReplayPlatformTests(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.platform = ReplayPlatform(self.clock, 1, lag_s=10.0, reboot_s=60.0)
        for name in ("w1", "w2"):
            self.platform.hosts.add_initial(
                ListedHost(name, HostStatus.LIVE, "127.0.0.1:1")
            )

    def start(self, task_id, host):
        request = TaskRequest(task_id, host, 1, 1, 0, fence=1, lease_s=30.0)
        self.platform.tasks.start(request)

    def advance(self, seconds):
        self.clock.advance(seconds)
        return self.platform.tasks.advance(seconds, self.platform.hosts.is_up)

    def test_down_host_does_not_come_back_from_a_reboot(self):
        """Guards against a replay in which no host can fail its verification."""
        hosts = self.platform.hosts
        hosts.reboot("w1", 1)
        self.clock.advance(30)
        hosts.fail("w1")
        self.clock.advance(100)
        self.assertEqual([host.name for host in hosts.hosts()], ["w2"])
        hosts.recover("w1")
        self.clock.advance(20)
        listed = {host.name: host for host in hosts.hosts()}
        self.assertEqual(listed["w1"].boots, 1)

    def test_second_run_beside_an_unseen_one_is_counted(self):
        """Guards against a count of double runs that misses unreachable hosts."""
        tasks = self.platform.tasks
        self.start("a/1/0", "w1")
        tasks.unreachable_hosts.add("w1")
        self.advance(31.0)
        self.assertIs(tasks.tasks()[0].status, TaskStatus.STOPPED)
        with self.assertRaises(StoreUnavailableError):
            tasks.stop("a/1/0", 1)
        self.start("a/2/0", "w2")
        self.assertEqual(tasks.double_runs, 1)

    def test_checkpoint_takes_time_and_keeps_the_task(self):
        self.start("a/1/0", "w1")
        self.platform.tasks.checkpoint("a/1/0", 1)
        self.assertIs(self.platform.tasks.tasks()[0].status, TaskStatus.RUNNING)
        self.advance(2.0)
        self.assertIs(self.platform.tasks.tasks()[0].status, TaskStatus.CHECKPOINTED)
