import unittest
from itertools import pairwise

from magnoliapier.pools.order_retries import (
    FIRST_DELAY_S,
    FORGET_AFTER_S,
    MAX_AWAY_DELAY_S,
    MAX_DELAY_S,
    MAX_STORED,
    OrderRetries,
)
from magnoliapier.pools.orders import Maintain, Move

MOVE = Move("h1", "desk")


class OrderRetriesTests(unittest.TestCase):
    def setUp(self):
        self.retries = OrderRetries()

    def fail_until(self, limit_s, max_delay_s):
        """Send the order whenever that is allowed; return the times in seconds."""
        sent_at = []
        for tenth in range(limit_s * 10):
            now = tenth / 10
            if not self.retries.holds_back(MOVE, now):
                sent_at.append(now)
                self.retries.record_failure(MOVE, now, max_delay_s)
        return sent_at

    def test_order_is_held_back_longer_each_time(self):
        """Guards against an order that is repeated in every cycle."""
        sent_at = self.fail_until(60, MAX_DELAY_S)
        self.assertEqual(sent_at, [0.0, 0.5, 1.5, 3.5, 7.5, 15.5, 31.5, 47.5])

    def test_order_is_repeated_soon_once_the_platform_is_back(self):
        """Guards against a need that waits for long after a short outage."""
        sent_at = self.fail_until(20, MAX_AWAY_DELAY_S)
        gaps = [after - before for before, after in pairwise(sent_at)]
        self.assertEqual(max(gaps), MAX_AWAY_DELAY_S)

    def test_only_the_failing_order_is_held_back(self):
        """Guards against orders that wait for one which takes no effect."""
        self.retries.record_failure(MOVE, 0.0)
        for other in (Move("h1", "else"), Move("h2", "desk"), Maintain("h1", 1)):
            self.assertFalse(self.retries.holds_back(other, 0.1))

    def test_effect_ends_the_count(self):
        """Guards against a long delay after a failure of long ago."""
        self.fail_until(10, MAX_DELAY_S)
        self.retries.record_effect(MOVE)
        self.retries.record_failure(MOVE, 20.0)
        self.assertFalse(self.retries.holds_back(MOVE, 20.0 + FIRST_DELAY_S))

    def test_successor_comes_to_the_same(self):
        """Guards against delays that begin anew with each holder."""
        retries = OrderRetries(table_ms=lambda now: 7000)
        for _ in range(4):
            retries.record_failure(MOVE, 10.0)
        stored = retries.to_store()
        for takeover in range(3):
            # Another local clock, and a later time on the table's.
            now, table_ms = 500.0 + takeover, 8000 + takeover * 1000
            successor = OrderRetries(stored, now, lambda now, ms=table_ms: ms)
            self.assertEqual(successor.to_store(), stored)
            self.assertAlmostEqual(successor.failing_for_s(MOVE, now), 1.0 + takeover)
            left_s = 3.0 - takeover
            self.assertTrue(successor.holds_back(MOVE, now + left_s - 0.01))
            self.assertFalse(successor.holds_back(MOVE, now + left_s + 0.01))
            stored = successor.to_store()

    def test_what_is_stored_is_bounded(self):
        """Guards against a plan that no row holds."""
        retries = OrderRetries(table_ms=lambda now: round(now * 1000))
        for number in range(MAX_STORED + 50):
            retries.record_failure(Move(f"h{number}", "desk"), 1.0 + number)
        stored = retries.to_store()
        self.assertEqual(len(stored), MAX_STORED)
        self.assertNotIn("h0", stored)

    def test_hosts_that_left_are_forgotten(self):
        """Guards against a table that grows without bound."""
        self.retries.record_failure(MOVE, 0.0)
        self.retries.forget({"h1"}, 1.0)
        self.assertEqual(self.retries.hosts, ["h1"])
        self.retries.forget({"h2"}, 1.0)
        self.assertEqual(self.retries.hosts, [])
        self.retries.record_failure(MOVE, 0.0)
        self.retries.forget({"h1"}, FIRST_DELAY_S + FORGET_AFTER_S + 0.1)
        self.assertEqual(self.retries.hosts, [])
