import unittest

from magnoliapier.pools.order_rate import WINDOW_S, OrderRate


class OrderRateTests(unittest.TestCase):
    def test_no_second_has_more_orders_than_the_platform_accepts(self):
        """Guards against orders that are refused as too many."""
        rate = OrderRate(per_second=20.0)
        sent_at = []
        for hundredth in range(500):
            now = hundredth / 100
            count = min(7, rate.available(now))
            rate.record(count, now)
            sent_at += [now] * count
        for start in sent_at:
            count = sum(start <= now < start + 1.0 for now in sent_at)
            self.assertLessEqual(count, 20)
        self.assertGreaterEqual(len(sent_at), 20 * 4)

    def test_an_order_may_be_sent_at_any_rate(self):
        """Guards against a platform's rate below one that stops all orders."""
        rate = OrderRate(per_second=0.5)
        self.assertEqual(rate.available(10.0), 1)
        rate.record(1, 10.0)
        self.assertEqual(rate.available(10.1 + WINDOW_S), 1)
