import unittest

from magnoliapier.pools.hosts import Host, HostState, Wave
from magnoliapier.pools.need import HostNeed
from magnoliapier.pools.order_retries import OrderRetries
from magnoliapier.pools.orders import ORDER_TIMEOUT_S, Maintain, Move
from magnoliapier.pools.planner import EMPTYING_TURN_S, FleetPlanner
from magnoliapier.pools.report import PoolReport
from magnoliapier.submissions.model import Resources

STANDBY = "standby"


def host(number, service, state=HostState.UP):
    return Host(f"h{number}", service, state, endpoint_id=f"e{number}")


class FleetPlannerTests(unittest.TestCase):
    def setUp(self):
        self.planner = FleetPlanner()

    def update(self, hosts, reports=None, waves=(), now=0.0):
        self.planner.update(hosts, reports or {}, waves, STANDBY, now)

    def test_released_host_goes_to_standby(self):
        """Guards against paying for hosts that their pool has released."""
        self.update([host(1, "a")], {"a": PoolReport({"e1": "h1"})})
        self.assertEqual(self.planner.orders(), [Move("h1", STANDBY)])

    def test_host_that_is_not_released_stays(self):
        """Guards against moving a host under running work."""
        self.update([host(1, "a")], {"a": PoolReport({"e0": "h1"})})
        self.assertEqual(self.planner.orders(), [])

    def test_pool_that_wants_a_host_gets_only_one(self):
        """Guards against a second host while the move of the first is pending."""
        hosts = [host(1, STANDBY), host(2, STANDBY)]
        reports = {"a": PoolReport(wanted=1)}
        self.update(hosts, reports)
        order = self.planner.orders()[0]
        self.assertEqual(order.service, "a")
        self.planner.record_order(order, 0.0)
        self.update(hosts, reports, now=0.5)
        self.assertEqual(self.planner.orders(), [])

    def test_need_for_a_label_moves_only_hosts_with_it(self):
        """Guards against all hosts in the pool of work that none of them can run."""
        hosts = [host(1, STANDBY), host(2, STANDBY), host(3, STANDBY)]
        hosts[1].labels = ("b", "r1")
        need = HostNeed("b", Resources(), 5)
        reports = {"a": PoolReport(further_needs=(need,)), "c": PoolReport(wanted=1)}
        self.update(hosts, reports)
        orders = self.planner.orders()
        self.assertIn(Move("h2", "a"), orders)
        self.assertEqual(len(orders), 2)
        self.assertIn("c", {order.service for order in orders})

    def test_need_for_a_host_is_met_once(self):
        """Guards against a second host while the move of the first is pending."""
        hosts = [host(1, STANDBY), host(2, STANDBY)]
        for item in hosts:
            item.capacity = Resources(64_000, 1000)
        need = HostNeed("", Resources(40_000, 10), 1)
        reports = {"a": PoolReport(further_needs=(need,))}
        self.update(hosts, reports)
        [order] = self.planner.orders()
        self.planner.record_order(order, 0.0)
        self.update(hosts, reports, now=0.5)
        self.assertEqual(self.planner.orders(), [])

    def test_hosts_that_stay_occupied_keep_no_others_from_maintenance(self):
        """Guards against a wave that waits for two hosts which nothing can empty."""
        wave = Wave(1, ("h1", "h2", "h3"), 20.0, 3)
        hosts = [host(1, "a"), host(2, "a"), host(3, "a")]
        chosen = set()
        for now in range(60):
            self.update(hosts, {"a": PoolReport()}, [wave], float(now))
            chosen.update(self.planner.hosts_to_empty())
        self.assertIn("h3", chosen)

    def test_successor_begins_with_hosts_that_had_no_turn(self):
        """Guards against the same where each holder begins with the first hosts."""
        wave = Wave(1, ("h1", "h2", "h3"), 20.0, 3)
        hosts = [host(1, "a"), host(2, "a"), host(3, "a")]
        for now in (0.0, EMPTYING_TURN_S):
            self.update(hosts, {"a": PoolReport()}, [wave], now)
        stored = self.planner.failed_orders()
        self.planner = FleetPlanner(retries=OrderRetries(stored, 100.0))
        self.update(hosts, {"a": PoolReport()}, [wave], 101.0)
        self.assertEqual(self.planner.hosts_to_empty(), ("h3", "h1"))

    def test_host_keeps_its_turn_if_no_other_waits(self):
        """Guards against a host that is emptied in part again and again."""
        wave = Wave(1, ("h1", "h2"), 20.0, 2)
        for now in range(60):
            hosts = [host(1, "a"), host(2, "a")]
            self.update(hosts, {"a": PoolReport()}, [wave], float(now))
            self.assertEqual(self.planner.hosts_to_empty(), ("h1", "h2"))

    def test_barred_hosts_count_as_down(self):
        """Guards against a wave that exceeds its limit after a takeover."""
        wave = Wave(1, ("h1", "h2"), 20.0, 1)
        hosts = [host(1, STANDBY), host(2, STANDBY)]
        self.planner.update(hosts, {}, [wave], STANDBY, 0.0, barred={"h1"})
        self.assertEqual(self.planner.orders(), [])
        self.planner.update(hosts, {}, [wave], STANDBY, 4.0)
        self.assertEqual(self.planner.orders(), [Maintain("h1", 1)])

    def test_restart_during_an_unanswered_order_is_not_maintenance(self):
        """
        Guards against a wave that is reported complete without a host's maintenance.

        The host may have crashed and come back with another endpoint, while the order
        had no effect. Repeating an order that was carried out does nothing.
        """
        wave = Wave(1, ("h1",), 20.0, 1)
        self.update([host(1, STANDBY)], waves=[wave])
        self.planner.record_order(self.planner.orders()[0], 0.0)
        after = Host("h1", STANDBY, HostState.UP, endpoint_id="e2")
        self.update([after], waves=[wave], now=3.0)
        self.assertFalse(self.planner.wave_completed(wave))
        self.assertEqual(self.planner.orders(), [Maintain("h1", 1)])

    def test_maintenance_that_is_seen_to_run_counts_as_started(self):
        """Guards against emptying a host a second time after an answer was lost."""
        wave = Wave(1, ("h1",), 20.0, 1)
        self.update([host(1, STANDBY)], waves=[wave])
        self.planner.record_order(self.planner.orders()[0], 0.0)
        self.update([host(1, STANDBY, HostState.UPKEEP)], waves=[wave], now=1.0)
        self.update([host(1, STANDBY)], waves=[wave], now=9.0)
        self.assertEqual(self.planner.orders(), [])

    def test_pool_with_fewest_hosts_comes_first(self):
        """Guards against a pool that takes all spare hosts before others get any."""
        reports = {
            "a": PoolReport(wanted=1, hosts=9),
            "b": PoolReport(wanted=1, hosts=2),
        }
        self.update([host(1, STANDBY)], reports)
        self.assertEqual(self.planner.orders(), [Move("h1", "b")])

    def test_wave_never_exceeds_its_limit(self):
        """Guards against more hosts down for a wave than the operator allows."""
        wave = Wave(1, ("h1", "h2", "h3"), 20, max_down=2)
        hosts = [host(n, STANDBY) for n in (1, 2, 3)]
        self.update(hosts, waves=[wave])
        orders = self.planner.orders()
        self.assertEqual(len(orders), 2)
        for order in orders:
            self.planner.record_order(order, 0.0)
            self.planner.record_maintenance_start(order)
        self.update(hosts, waves=[wave], now=1.0)
        self.assertNotIn(Maintain("h3", 1), self.planner.orders())

    def test_wave_is_complete_when_maintenance_of_every_host_has_started(self):
        """Guards against a wave that is reported complete without one of its hosts."""
        wave = Wave(1, ("h1", "gone"), 20, max_down=2)
        self.update([host(1, STANDBY)], waves=[wave])
        self.assertFalse(self.planner.wave_completed(wave))
        self.planner.record_maintenance_start(Maintain("h1", 1))
        self.assertTrue(self.planner.wave_completed(wave))

    def test_host_with_an_unreadable_entry_is_not_forgotten(self):
        """Guards against a wave that counts as complete without one of its hosts."""
        wave = Wave(1, ("h1", "h2"), 60.0, max_down=1)
        unreadable = Host("h1", "", HostState.UNKNOWN)
        released = {STANDBY: PoolReport({"e2": "h2"})}
        self.update([unreadable, host(2, STANDBY)], released, [wave])
        # It may be down for its maintenance, which a former holder may have ordered.
        self.assertEqual(self.planner.orders(), [])
        self.planner.record_maintenance_start(Maintain("h2", 1))
        self.assertFalse(self.planner.wave_completed(wave))

    def test_successor_continues_a_wave(self):
        """Guards against maintaining hosts twice after a change of the holder."""
        wave = Wave(1, ("h1",), 20, max_down=1)
        self.planner = FleetPlanner({1: ("h1",)})
        self.update([host(1, STANDBY)], waves=[wave])
        self.assertEqual(self.planner.orders(), [])


class FailedOrderTests(unittest.TestCase):
    """Orders that take no effect, whatever the reason."""

    def setUp(self):
        self.planner = FleetPlanner()

    def orders(self, hosts, reports, now=0.0):
        self.planner.update(hosts, reports, (), STANDBY, now)
        return self.planner.orders()

    def fail_order(self, order, now=0.0):
        self.planner.record_order(order, now)
        self.planner.record_failure(order, now)

    def test_need_gets_another_host_than_the_one_refused(self):
        """Guards against a need that waits for a host which can't be moved."""
        hosts = [host(1, STANDBY), host(2, STANDBY)]
        reports = {"a": PoolReport(wanted=1)}
        [order] = self.orders(hosts, reports)
        self.fail_order(order)
        [other] = self.orders(hosts, reports, now=0.1)
        self.assertNotEqual(other.host, order.host)

    def test_host_that_one_pool_can_not_get_goes_to_another(self):
        """Guards against a released host that is returned though others want it."""
        hosts = [host(1, "a")]
        reports = {"a": PoolReport({"e1": "h1"})}
        [order] = self.orders(hosts, reports)
        self.fail_order(order)
        reports["b"] = PoolReport(wanted=1)
        self.assertEqual(self.orders(hosts, reports, now=0.1), [Move("h1", "b")])
        self.assertEqual(self.planner.kept(), ())

    def test_pool_keeps_a_host_that_can_be_moved_nowhere(self):
        """Guards against a host that is released and returned in turn."""
        hosts = [host(1, "a"), host(2, "a")]
        reports = {"a": PoolReport({"e1": "h1"})}
        [order] = self.orders(hosts, reports)
        self.fail_order(order)
        self.assertEqual(self.orders(hosts, reports, now=0.1), [])
        self.assertEqual(self.planner.kept(), ("e1",))
        self.orders(hosts, reports, now=1.0)
        self.assertEqual(self.planner.kept(), ())

    def order_without_answer(self, hosts, reports, waves=()):
        """Send the only order, whose call ends after 1 s without an answer."""
        self.planner.update(hosts, reports, waves, STANDBY, 0.0)
        [order] = self.planner.orders()
        self.planner.record_order(order, 0.0)
        self.planner.record_unanswered(order, 1.0)
        return order

    def test_need_gets_another_host_once_an_order_is_lost(self):
        """Guards against a need that waits for an order that shows no effect."""
        hosts = [host(1, STANDBY), host(2, STANDBY)]
        reports = {"a": PoolReport(wanted=1)}
        order = self.order_without_answer(hosts, reports)
        self.planner.update(hosts, reports, (), STANDBY, 1.6, listed_at=1.4)
        self.assertEqual(self.planner.orders(), [])
        self.planner.update(hosts, reports, (), STANDBY, 1.7, listed_at=1.6)
        [other] = self.planner.orders()
        self.assertNotEqual(other.host, order.host)

    def test_lost_order_for_maintenance_counts_for_its_full_time(self):
        """Guards against more hosts down than a wave allows, by a late order."""
        wave = Wave(1, ("h1", "h2"), 20.0, 1)
        hosts = [host(1, STANDBY), host(2, STANDBY)]
        self.order_without_answer(hosts, {}, [wave])
        self.planner.update(hosts, {}, [wave], STANDBY, ORDER_TIMEOUT_S)
        self.assertEqual(self.planner.orders(), [])
        self.planner.update(hosts, {}, [wave], STANDBY, ORDER_TIMEOUT_S + 0.1)
        self.assertEqual(self.planner.orders(), [Maintain("h2", 1)])

    def test_order_that_is_answered_without_effect_is_held_back(self):
        """Guards against a host that is ordered in vain for good."""
        reports = {"a": PoolReport({"e1": "h1"})}
        [order] = self.orders([host(1, "a")], reports)
        self.planner.record_order(order, 0.0)
        self.assertEqual(self.orders([host(1, "a")], reports, ORDER_TIMEOUT_S), [])
        after_s = ORDER_TIMEOUT_S + 0.1
        self.assertEqual(self.orders([host(1, "a")], reports, after_s), [])
        self.assertEqual(self.planner.returned, {"e1": 0})

    def test_endpoint_that_left_with_its_host_is_not_returned(self):
        """Guards against work on an endpoint that ended, whose row is still there."""
        released = PoolReport({"e1": "h1"}, released_ms={"e1": 1000})
        left = [
            Host("h1", "a", HostState.MOVING),
            Host("h1", "a", HostState.DOWN, endpoint_id="e1"),
            Host("h1", STANDBY, HostState.UP),
            Host("h1", "a", HostState.UP, endpoint_id="e2"),
        ]
        for now, listed in enumerate(left):
            self.planner.update([listed], {"a": released}, (), STANDBY, float(now))
            self.planner.return_overdue(9000)
            self.assertEqual(self.planner.returned, {})
        self.planner.update([host(1, "a")], {"a": released}, (), STANDBY, 9.0)
        self.planner.return_overdue(9000)
        self.assertEqual(self.planner.returned, {"e1": 0})

    def test_order_that_takes_effect_is_not_held_back_later(self):
        """Guards against a delay that outlasts its cause."""
        reports = {"a": PoolReport({"e1": "h1"})}
        [order] = self.orders([host(1, "a")], reports)
        self.fail_order(order)
        [order] = self.orders([host(1, "a")], {"a": PoolReport({"e1": "h1"})}, 0.6)
        self.planner.record_order(order, 0.6)
        self.orders([Host("h1", STANDBY, HostState.UP, endpoint_id="e2")], reports, 2.0)
        self.assertEqual(self.planner.failed_orders(), {})

    def test_wave_goes_on_without_a_host_whose_order_fails(self):
        """Guards against a wave that waits for one host, which is kept empty."""
        wave = Wave(1, ("h1", "h2", "h3"), 20.0, 1)
        hosts = [host(1, "a"), host(2, "a"), host(3, "a")]
        ordered = set()
        used_at = []
        for tenth in range(200):
            now = tenth / 10
            # The pool releases the hosts that it is asked to empty.
            released = {f"e{name[1:]}": name for name in self.planner.hosts_to_empty()}
            numbers = dict.fromkeys(released, tenth)
            reports = {"a": PoolReport(released, release_numbers=numbers)}
            self.planner.update(hosts, reports, [wave], None, now)
            for order in self.planner.orders():
                ordered.add(order.host)
                if order.host == "h1":
                    self.fail_order(order, now)
                else:
                    self.planner.record_maintenance_start(order)
            if "h1" not in self.planner.hosts_to_empty():
                used_at.append(now)
        self.assertEqual(ordered, {"h1", "h2", "h3"})
        self.assertGreater(len(used_at), 150)

    def test_host_that_was_emptied_in_vain_goes_back_to_its_pool(self):
        """Guards against a host that goes to standby though its pool needs it."""
        wave = Wave(1, ("h1",), 20.0, 1)
        hosts = [host(1, "a")]
        orders = set()
        for tenth in range(60):
            reports = {"a": PoolReport({"e1": "h1"}, release_numbers={"e1": tenth})}
            self.planner.update(hosts, reports, [wave], STANDBY, tenth / 10)
            for order in self.planner.orders():
                orders.add(order)
                self.fail_order(order, tenth / 10)
        self.assertEqual(orders, {Maintain("h1", 1)})
        self.assertIn("e1", self.planner.returned)

    def test_empty_host_waits_for_an_order_that_is_repeated_soon(self):
        """Guards against a host that is emptied twice after one refusal."""
        wave = Wave(1, ("h1",), 20.0, 1)
        reports = {"a": PoolReport({"e1": "h1"})}
        self.planner.update([host(1, "a")], reports, [wave], None, 0.0)
        [order] = self.planner.orders()
        self.fail_order(order)
        self.planner.update([host(1, "a")], reports, [wave], None, 0.1)
        self.assertEqual(self.planner.orders(), [])
        self.assertEqual(self.planner.hosts_to_empty(), ("h1",))
        self.planner.update([host(1, "a")], reports, [wave], None, 0.6)
        self.assertEqual(self.planner.orders(), [order])

    def test_need_that_a_host_does_not_meet_does_not_free_it(self):
        """Guards against the same while another pool wants hosts of another kind."""
        need = HostNeed("fast", Resources(), 1)
        reports = {
            "a": PoolReport({"e1": "h1"}),
            "b": PoolReport(further_needs=(need,)),
        }
        [order] = self.orders([host(1, "a")], reports)
        self.fail_order(order)
        self.orders([host(1, "a")], reports, now=0.1)
        self.assertEqual(self.planner.kept(), ("e1",))


class WithoutStandbyTests(unittest.TestCase):
    """A fleet without a standby pool, whose hosts all belong to pools with queues."""

    def setUp(self):
        self.planner = FleetPlanner()
        self.hosts = [host(1, "a"), host(2, "a")]
        self.released = PoolReport({"e1": "h1", "e2": "h2"}, 0, 0, (), {"e1": 4}, 4)

    def orders(self, wanted=0, released=None, waves=()):
        reports = {"a": released or self.released, "b": PoolReport(wanted=wanted)}
        self.planner.update(self.hosts, reports, waves, None, 0.0)
        return self.planner.orders()

    def test_released_hosts_that_nobody_wants_are_returned(self):
        """Guards against hosts that are released and stay out of use for good."""
        self.assertEqual(self.orders(wanted=1), [Move("h1", "b")])
        self.assertEqual(self.planner.returned, {"e2": 0})

    def test_returned_release_is_never_used(self):
        """Guards against a move of a host that its pool uses again."""
        self.orders()
        self.assertEqual(self.planner.returned, {"e1": 4, "e2": 0})
        self.assertEqual(self.orders(wanted=2), [])
        successor = FleetPlanner(returned=self.planner.returned)
        self.planner = successor
        self.assertEqual(self.orders(wanted=2), [])

    def test_later_release_of_a_returned_host_is_used(self):
        """Guards against a host that is never moved after it was returned once."""
        self.orders()
        again = PoolReport({"e1": "h1"}, 0, 0, (), {"e1": 5}, 5)
        self.assertEqual(self.orders(wanted=1, released=again), [Move("h1", "b")])

    def test_hosts_due_for_maintenance_are_not_returned(self):
        """Guards against a wave that waits for hosts which were empty already."""
        self.orders(waves=[Wave(1, ("h1", "h2"), 20.0, 1)])
        self.assertEqual(self.planner.returned, {})

    def test_returns_of_endpoints_that_left_are_forgotten(self):
        """Guards against a plan that grows without bound."""
        self.orders()
        self.hosts = [host(3, "a")]
        self.orders(released=PoolReport())
        self.assertEqual(self.planner.returned, {})
