import unittest

from magnoliapier.pools.demand import (
    ArrivalRate,
    SlidingMaximum,
    host_share,
    hosts_needed,
)
from magnoliapier.submissions.model import Resources

CAPACITY = Resources(32_000, 128_000)


class DemandTests(unittest.TestCase):
    def test_scarcer_resource_determines_the_host_share(self):
        """Guards against pools sized by CPU while memory is scarce."""
        self.assertEqual(host_share(Resources(3200, 64_000), CAPACITY), 0.5)

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
