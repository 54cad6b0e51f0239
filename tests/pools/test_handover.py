import unittest

from magnoliapier.pools.handover import END_UNKNOWN, RecentHostOrders

GAP_S = 4.0
NO_READING = 0


class FormerHolderTests(unittest.TestCase):
    def test_order_that_may_be_under_way_bars_its_host_for_the_gap(self):
        """Guards against an order to a host that a former holder may still order."""
        ordered = RecentHostOrders({"h1": END_UNKNOWN}, now=10.0, gap_s=GAP_S)
        self.assertEqual(ordered.barred(10.0 + GAP_S - 0.1, 10**9), {"h1"})
        self.assertEqual(ordered.barred(10.0 + GAP_S, 10**9), set())

    def test_ended_order_bars_its_host_for_the_gap_from_its_end(self):
        """
        Guards against hosts that stand idle after a takeover for no reason.

        The pattern is a holder that is cut off while a queue's turn begins: its
        successor needs the hosts that were moved some seconds ago.
        """
        ordered = RecentHostOrders({"h1": 5000}, now=10.0, gap_s=GAP_S)
        self.assertEqual(ordered.barred(10.1, 5000 + 3900), {"h1"})
        self.assertEqual(ordered.barred(10.2, 5000 + 4000), set())

    def test_table_without_clock_means_the_whole_wait(self):
        """Guards against an early order where the table tells no time."""
        ordered = RecentHostOrders({"h1": 5000}, now=10.0, gap_s=GAP_S)
        self.assertEqual(ordered.barred(10.1, NO_READING), {"h1"})
        self.assertEqual(ordered.barred(10.0 + GAP_S, NO_READING), set())

    def test_barred_hosts_stay_recorded(self):
        """Guards against a holder that loses the lease before it has ordered."""
        ordered = RecentHostOrders(
            {"h1": 5000, "h2": END_UNKNOWN}, now=10.0, gap_s=GAP_S
        )
        self.assertEqual(
            ordered.hosts_to_record(11.0, 6000), {"h1": 5000, "h2": END_UNKNOWN}
        )


class OwnOrderTests(unittest.TestCase):
    def setUp(self):
        self.ordered = RecentHostOrders(gap_s=GAP_S)
        self.ordered.record_start("h1")

    def test_own_orders_bar_nothing(self):
        """Guards against a holder that waits for its own orders."""
        self.assertEqual(self.ordered.barred(1.0, 1000), set())

    def test_order_without_end_stays_recorded(self):
        """Guards against a record that ends while an order is under way."""
        self.assertEqual(
            self.ordered.hosts_to_record(1000.0, 10**6), {"h1": END_UNKNOWN}
        )

    def test_record_ends_the_gap_after_the_order(self):
        """Guards against a record that ends with the order, or never."""
        self.ordered.record_end("h1", 20.0, 7000)
        self.assertEqual(
            self.ordered.hosts_to_record(20.0 + GAP_S - 0.1, 0), {"h1": 7000}
        )
        self.assertEqual(self.ordered.hosts_to_record(20.0 + GAP_S, 0), {})

    def test_own_order_replaces_a_former_holder_s(self):
        """Guards against a record that gives the end of an earlier order."""
        ordered = RecentHostOrders({"h1": 5000}, now=10.0, gap_s=GAP_S)
        ordered.record_start("h1")
        self.assertEqual(ordered.hosts_to_record(11.0, 6000), {"h1": END_UNKNOWN})
