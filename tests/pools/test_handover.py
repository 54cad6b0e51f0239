import unittest

from magnoliapier.pools.handover import END_UNKNOWN, RecentHostOrders

GAP_S = 4.0
UNKNOWN_TABLE_MS = 0


class FormerHolderTests(unittest.TestCase):
    def test_order_of_unknown_end_bars_its_host_for_the_gap(self):
        """Guards against an order while one of a former holder may still arrive."""
        orders = RecentHostOrders({"h1": END_UNKNOWN}, now=10.0, gap_s=GAP_S)
        self.assertEqual(orders.barred(10.0 + GAP_S - 0.1, 10**9), {"h1"})
        self.assertEqual(orders.barred(10.0 + GAP_S, 10**9), set())

    def test_ended_order_bars_its_host_for_the_gap_from_its_end(self):
        """
        Guards against hosts that stay idle after a takeover without need.

        This happens when a holder is cut off at the start of a burst: its successor
        needs the hosts that were moved a few seconds before.
        """
        orders = RecentHostOrders({"h1": 5000}, now=10.0, gap_s=GAP_S)
        self.assertEqual(orders.barred(10.1, 5000 + 3900), {"h1"})
        self.assertEqual(orders.barred(10.2, 5000 + 4000), set())

    def test_unknown_table_clock_bars_the_host_for_the_gap_from_the_takeover(self):
        """Guards against an early order if the time of the table is unknown."""
        orders = RecentHostOrders({"h1": 5000}, now=10.0, gap_s=GAP_S)
        self.assertEqual(orders.barred(10.1, UNKNOWN_TABLE_MS), {"h1"})
        self.assertEqual(orders.barred(10.0 + GAP_S, UNKNOWN_TABLE_MS), set())

    def test_takeovers_in_a_row_do_not_prolong_the_wait(self):
        """Guards against a host that is never ordered while hosts of ours restart."""
        former = {"h1": END_UNKNOWN}
        for taken_at in (10.0, 12.0, 13.0):
            table_ms = round(taken_at * 1000)
            orders = RecentHostOrders(former, taken_at, GAP_S, taken_ms=table_ms)
            self.assertEqual(orders.barred(taken_at, table_ms), {"h1"})
            former = orders.hosts_to_record(taken_at, table_ms)
        self.assertEqual(orders.barred(13.9, 13_900), {"h1"})
        self.assertEqual(orders.barred(14.0, 14_000), set())

    def test_barred_hosts_stay_recorded(self):
        """Guards against lost records if a holder loses the lease before it orders."""
        orders = RecentHostOrders(
            {"h1": 5000, "h2": END_UNKNOWN}, now=10.0, gap_s=GAP_S
        )
        self.assertEqual(
            orders.hosts_to_record(11.0, 6000), {"h1": 5000, "h2": END_UNKNOWN}
        )


class OwnOrderTests(unittest.TestCase):
    def setUp(self):
        self.orders = RecentHostOrders(gap_s=GAP_S)
        self.orders.record_start("h1")

    def test_own_orders_bar_no_host(self):
        """Guards against a holder that waits for its own orders."""
        self.assertEqual(self.orders.barred(1.0, 1000), set())

    def test_own_order_without_end_stays_recorded(self):
        """Guards against a record that is dropped while an order is under way."""
        self.assertEqual(
            self.orders.hosts_to_record(1000.0, 10**6), {"h1": END_UNKNOWN}
        )

    def test_record_is_dropped_once_the_gap_after_the_order_has_passed(self):
        """Guards against a record that is dropped with the order, or never."""
        self.orders.record_end("h1", 20.0, 7000)
        self.assertEqual(
            self.orders.hosts_to_record(20.0 + GAP_S - 0.1, 0), {"h1": 7000}
        )
        self.assertEqual(self.orders.hosts_to_record(20.0 + GAP_S, 0), {})

    def test_own_order_replaces_the_record_of_a_former_holder(self):
        """Guards against a record that holds the end of an earlier order."""
        orders = RecentHostOrders({"h1": 5000}, now=10.0, gap_s=GAP_S)
        orders.record_start("h1")
        self.assertEqual(orders.hosts_to_record(11.0, 6000), {"h1": END_UNKNOWN})
