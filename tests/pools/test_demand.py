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
    def test_scarcer_resource_decides(self):
        """Guards against pools sized by processor while memory is what is short."""
        self.assertEqual(host_share(Resources(3200, 64_000), CAPACITY), 0.5)

    def test_spread_is_a_lower_bound(self):
        """Guards against giving away hosts that spread-out tasks need."""
        self.assertEqual(hosts_needed(0.1, 0.0, 0.0, spread=5), 5)

    def test_turn_of_a_queue_asks_for_hosts_within_half_a_second(self):
        """
        Guards against a pool that grows only once work has waited.

        The pattern is a queue's turn: from a twentieth of its mean to five times it.
        """
        rate = ArrivalRate()
        for tick in range(10):
            rate.add(0.33, now=10 + tick * 0.05)  # 6.6 host-seconds a second
        needed = hosts_needed(0.4, rate.per_second(10.5), waiting_work=1.0, spread=3)
        self.assertGreaterEqual(needed, 4)

    def test_young_burst_is_not_averaged_with_the_lull_before(self):
        """
        Guards against half of the hosts for the first second of a queue's turn.

        The pattern is a turn that begins at 10 s after a lull, 20 submissions a second.
        """
        rate = ArrivalRate()
        for tick in range(10):
            rate.add(5.0, now=10 + tick * 0.05)
        self.assertGreaterEqual(rate.per_second(10.5), 80.0)

    def test_single_submissions_make_no_burst(self):
        """Guards against hosts that are moved back and forth for a chance cluster."""
        rate = ArrivalRate()
        for now in (10.0, 10.1, 10.2):
            rate.add(1.2, now)
        self.assertAlmostEqual(rate.per_second(10.2), 3.0)

    def test_need_is_held_for_a_while(self):
        """Guards against hosts that leave and come back within one lull."""
        window = SlidingMaximum(hold_s=2.0)
        window.observe(8, 0.0)
        window.observe(3, 1.0)
        self.assertEqual(window.highest, 8)
        window.observe(3, 2.5)
        self.assertEqual(window.highest, 3)
