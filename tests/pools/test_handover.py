import unittest

from magnoliapier.pools.handover import OrderedHosts

GAP_S = 4.0


class OrderedHostsTests(unittest.TestCase):
    def test_recorded_hosts_are_barred_for_the_gap(self):
        """Guards against an order to a host that a former holder may still order."""
        ordered = OrderedHosts(("h1",), now=10.0, gap_s=GAP_S)
        self.assertEqual(ordered.barred(10.0 + GAP_S - 0.1), {"h1"})
        self.assertEqual(ordered.barred(10.0 + GAP_S), set())

    def test_own_orders_bar_nothing(self):
        """Guards against a holder that waits for its own orders."""
        ordered = OrderedHosts(gap_s=GAP_S)
        ordered.begin("h1")
        self.assertEqual(ordered.barred(1.0), set())

    def test_order_without_end_stays_recorded(self):
        """Guards against a record that ends while an order is under way."""
        ordered = OrderedHosts(gap_s=GAP_S)
        ordered.begin("h1")
        self.assertEqual(ordered.recorded(1000.0), ("h1",))

    def test_record_ends_the_gap_after_the_order(self):
        """Guards against a record that ends with the order, or never."""
        ordered = OrderedHosts(gap_s=GAP_S)
        ordered.begin("h1")
        ordered.end("h1", 20.0)
        self.assertEqual(ordered.recorded(20.0 + GAP_S - 0.1), ("h1",))
        self.assertEqual(ordered.recorded(20.0 + GAP_S), ())

    def test_barred_hosts_stay_recorded(self):
        """Guards against a holder that loses the lease before it has ordered."""
        ordered = OrderedHosts(("h1",), now=10.0, gap_s=GAP_S)
        self.assertEqual(ordered.recorded(11.0), ("h1",))
