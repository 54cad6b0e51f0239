import unittest

from magnoliapier.clock import VirtualClock
from magnoliapier.exceptions import ConflictError
from magnoliapier.leases import LEASE_KEY, PlannerLease
from magnoliapier.memory_platform import MemoryPlatform
from magnoliapier.platform_api import Write


class PlannerLeaseTests(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.platform = MemoryPlatform(self.clock)
        self.first = PlannerLease(self.platform.table, self.clock, "entry-1")
        self.second = PlannerLease(self.platform.table, self.clock, "entry-2")

    def fenced_write(self, lease):
        self.platform.table.transact([Write("x", {})], [lease.check()])

    def run_both(self, seconds, *leases):
        for _ in range(seconds):
            self.clock.advance(1)
            held = [lease for lease in leases if lease.tick()]
            self.assertLessEqual(len(held), 1)

    def test_renewing_holder_keeps_the_lease(self):
        self.assertTrue(self.first.tick())
        self.run_both(30, self.first, self.second)
        self.assertTrue(self.first.held)
        self.assertEqual(self.first.epoch, 1)

    def test_paused_holder_is_fenced(self):
        """Guards against two planners that both write after a pause."""
        self.first.tick()
        self.run_both(7, self.second)
        self.assertTrue(self.second.held)
        self.assertEqual(self.second.epoch, 2)
        self.assertFalse(self.first.held)
        with self.assertRaises(ConflictError):
            self.fenced_write(self.first)
        self.fenced_write(self.second)
        self.assertFalse(self.first.tick())

    def test_lost_answers_are_read_back(self):
        """Guards against a holder that is fenced by its own renewal."""
        self.platform.faults.lose_answers = 1
        self.assertTrue(self.first.tick())
        self.clock.advance(1)
        self.platform.faults.lose_answers = 1
        self.assertTrue(self.first.tick())
        self.fenced_write(self.first)
        self.assertEqual(self.first.epoch, 1)

    def test_lost_answer_of_a_taken_over_row(self):
        """Guards against a holder that mistakes another process's write for its own."""
        self.first.tick()
        row = self.platform.table.read([LEASE_KEY])[LEASE_KEY]
        other = {**row.value, "holder": "entry-2", "epoch": 2}
        self.platform.table.transact([Write(LEASE_KEY, other, row.version)])
        self.assertFalse(self.first.tick())

    def test_outage_ends_the_hold_before_a_takeover(self):
        self.first.tick()
        self.platform.faults.down = True
        self.run_both(4, self.first, self.second)
        self.assertFalse(self.first.held)

    def test_contender_pause_is_not_a_lapse(self):
        """Guards against a takeover from a holder that renewed during the pause."""
        self.first.tick()
        self.second.tick()
        self.clock.advance(2)
        self.first.tick()
        self.clock.advance(3.5)
        self.assertFalse(self.second.tick())
        self.assertEqual(self.second.epoch, 0)

    def test_release_hands_over_at_once(self):
        self.first.tick()
        self.first.release()
        self.assertTrue(self.second.tick())
        self.assertEqual(self.second.epoch, 2)
