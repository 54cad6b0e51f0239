import unittest

from magnoliapier.pools.demand import (
    ArrivalRate,
    SlidingMaximum,
    WaitingTasks,
    host_share,
    hosts_for_wide_tasks,
    hosts_needed,
)
from magnoliapier.submissions.model import Resources

CAPACITY = Resources(32_000, 128_000)


class DemandTests(unittest.TestCase):
    def test_scarcer_resource_determines_the_host_share(self):
        """Guards against pools sized by CPU while memory is scarce."""
        self.assertEqual(host_share(Resources(3200, 64_000), CAPACITY), 0.5)

    def test_accelerators_count_where_hosts_have_them(self):
        """Guards against tasks that only need accelerators and wait for no host."""
        with_accelerators = Resources(32_000, 128_000, 4)
        self.assertEqual(host_share(Resources(0, 0, 2), with_accelerators), 0.5)
        self.assertEqual(host_share(Resources(0, 0, 2), CAPACITY), 0.0)

    def test_min_hosts_is_a_lower_bound(self):
        """Guards against releasing hosts over which tasks must be spread."""
        self.assertEqual(hosts_needed(0.1, 0.0, 0.0, min_hosts=5), 5)

    def test_burst_requests_hosts_within_half_a_second(self):
        """
        Guards against a pool that grows only after work has waited.

        The load of the queue rises from a twentieth of its mean to five times its mean.
        """
        rate = ArrivalRate()
        for tick in range(10):
            rate.add(0.33, now=10 + tick * 0.05)  # 6.6 host-seconds per second
        needed = hosts_needed(
            0.4, rate.per_second(10.5), waiting_host_seconds=1.0, min_hosts=3
        )
        self.assertGreaterEqual(needed, 4)

    def test_new_burst_is_not_averaged_with_the_lull_before(self):
        """
        Guards against a pool with half of its hosts in the first second of a burst.

        The burst starts at 10 s, after a lull, with 20 submissions per second.
        """
        rate = ArrivalRate()
        for tick in range(10):
            rate.add(5.0, now=10 + tick * 0.05)
        self.assertGreaterEqual(rate.per_second(10.5), 80.0)

    def test_few_submissions_in_a_row_are_no_burst(self):
        """Guards against hosts moved back and forth because of a chance cluster."""
        rate = ArrivalRate()
        for now in (10.0, 10.1, 10.2):
            rate.add(1.2, now)
        self.assertAlmostEqual(rate.per_second(10.2), 3.0)

    def test_maximum_is_held_for_the_window(self):
        """Guards against hosts that are released and requested again within a lull."""
        window = SlidingMaximum(window_s=2.0)
        window.observe(8, 0.0)
        window.observe(3, 1.0)
        self.assertEqual(window.highest, 8)
        window.observe(3, 2.5)
        self.assertEqual(window.highest, 3)


class WideTaskTests(unittest.TestCase):
    """
    Tasks of most of a host wait beside long-running tasks that hold a part of each.

    The pattern is the end of a queue's turn: the pool has shrunk to the hosts that
    long-running tasks keep, and a last step needs more of a host than these have free.
    """

    wide = WaitingTasks(Resources(26_400, 28_400), count=1, duration_s=1.0)
    occupied = [Resources(20_000, 80_000)] * 4

    def test_wide_task_gets_a_host_beside_the_occupied_ones(self):
        """Guards against a task that waits for good while hosts stand by."""
        self.assertEqual(hosts_for_wide_tasks([self.wide], self.occupied, CAPACITY), 5)

    def test_task_that_fits_beside_long_running_ones_needs_no_host(self):
        """Guards against hosts that are asked for and stay empty."""
        narrow = WaitingTasks(Resources(4000, 8000), count=30, duration_s=0.5)
        self.assertEqual(hosts_for_wide_tasks([narrow], self.occupied, CAPACITY), 0)

    def test_many_wide_tasks_are_not_run_one_after_another(self):
        """Guards against one host for a step of many wide tasks."""
        step = WaitingTasks(Resources(26_400, 28_400), count=24, duration_s=1.0)
        needed = hosts_for_wide_tasks([step], self.occupied, CAPACITY)
        self.assertGreaterEqual(needed, 4 + 12)

    def test_task_that_no_host_can_hold_gets_none(self):
        """Guards against hosts moved in vain for work that can never run."""
        giant = WaitingTasks(Resources(64_000, 1000), count=1, duration_s=1.0)
        self.assertEqual(hosts_for_wide_tasks([giant], self.occupied, CAPACITY), 0)

    def test_tasks_that_request_neither_cpu_nor_memory(self):
        """Guards against one submission that stops its service (LOST)."""
        capacity = Resources(32_000, 128_000, 2)
        for requested, expected in ((Resources(0, 0, 1), 3), (Resources(), 1)):
            tasks = WaitingTasks(requested, count=12, duration_s=1.0)
            with self.subTest(requested):
                self.assertEqual(hosts_for_wide_tasks([tasks], [], capacity), expected)
