import unittest

from magnoliapier.pools.handover import UNDER_WAY, OrderedHosts

GAP_S = 4.0
NO_READING = 0


class FormerHolderTests(unittest.TestCase):
    def test_order_that_may_be_under_way_bars_its_host_for_the_gap(self):
        """Guards against an order to a host that a former holder may still order."""
        ordered = OrderedHosts({"h1": UNDER_WAY}, now=10.0, gap_s=GAP_S)
        self.assertEqual(ordered.barred(10.0 + GAP_S - 0.1, 10**9), {"h1"})
        self.assertEqual(ordered.barred(10.0 + GAP_S, 10**9), set())

    def test_ended_order_bars_its_host_for_the_gap_from_its_end(self):
        """
        Guards against hosts that stand idle after a takeover for no reason.

        The pattern is a holder that is cut off while a queue's turn begins: its
        successor needs the hosts that were moved some seconds ago.
        """
        ordered = OrderedHosts({"h1": 5000}, now=10.0, gap_s=GAP_S)
        self.assertEqual(ordered.barred(10.1, 5000 + 3900), {"h1"})
        self.assertEqual(ordered.barred(10.2, 5000 + 4000), set())

    def test_table_without_clock_means_the_whole_wait(self):
        """Guards against an early order where the table tells no time."""
        ordered = OrderedHosts({"h1": 5000}, now=10.0, gap_s=GAP_S)
        self.assertEqual(ordered.barred(10.1, NO_READING), {"h1"})
        self.assertEqual(ordered.barred(10.0 + GAP_S, NO_READING), set())

    def test_barred_hosts_stay_recorded(self):
        """Guards against a holder that loses the lease before it has ordered."""
        ordered = OrderedHosts({"h1": 5000, "h2": UNDER_WAY}, now=10.0, gap_s=GAP_S)
        self.assertEqual(ordered.recorded(11.0, 6000), {"h1": 5000, "h2": UNDER_WAY})


class OwnOrderTests(unittest.TestCase):
    def setUp(self):
        self.ordered = OrderedHosts(gap_s=GAP_S)
        self.ordered.begin("h1")

    def test_own_orders_bar_nothing(self):
        """Guards against a holder that waits for its own orders."""
        self.assertEqual(self.ordered.barred(1.0, 1000), set())

    def test_order_without_end_stays_recorded(self):
        """Guards against a record that ends while an order is under way."""
        self.assertEqual(self.ordered.recorded(1000.0, 10**6), {"h1": UNDER_WAY})

    def test_record_ends_the_gap_after_the_order(self):
        """Guards against a record that ends with the order, or never."""
        self.ordered.end("h1", 20.0, 7000)
        self.assertEqual(self.ordered.recorded(20.0 + GAP_S - 0.1, 0), {"h1": 7000})
        self.assertEqual(self.ordered.recorded(20.0 + GAP_S, 0), {})

    def test_own_order_replaces_a_former_holder_s(self):
        """Guards against a record that gives the end of an earlier order."""
        ordered = OrderedHosts({"h1": 5000}, now=10.0, gap_s=GAP_S)
        ordered.begin("h1")
        self.assertEqual(ordered.recorded(11.0, 6000), {"h1": UNDER_WAY})
