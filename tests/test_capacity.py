import unittest

from magnoliapier.capacity import HitCounter, largest_remainder
from magnoliapier.fleet_replay import ReplayOptions, replay_fleet
from magnoliapier.traces import DemandSample, Fault
from tests.test_fleet_replay import make_header


class CapacityTests(unittest.TestCase):
    def test_acts_on_the_hit_after_n_within_the_interval(self):
        """Guards against moves for a single burst."""
        hits = HitCounter(ignored_hits=2, interval_s=300.0)
        self.assertEqual(
            [hits.hit("wire", t) for t in (0, 1, 60, 400, 460, 500)],
            [False, False, False, False, False, True],
        )

    def test_shares_are_whole_and_within_limits(self):
        """Guards against one pool that takes the whole spare in a shortage."""
        parts = largest_remainder(
            {"a": 6.0, "b": 3.0, "c": 1.0}, {"a": 3, "b": 9, "c": 9}, 8
        )
        self.assertEqual(sum(parts.values()), 8)
        self.assertEqual(parts["a"], 3)
        self.assertGreaterEqual(parts["c"], 1)

    def test_lost_host_is_replaced_from_the_spare(self):
        events = [
            DemandSample(0.0, "wire", 3.0),
            Fault(60.0, "endpoint_down", 3000.0, "wire-0"),
            Fault(400.0, "endpoint_down", 3000.0, "wire-1"),
        ]
        report = replay_fleet(make_header(900.0), events, "planner", 1)
        self.assertEqual(report.missed_minutes, [])
        self.assertGreater(report.moves, 0)

    def test_hosts_of_a_cut_data_centre_are_not_waited_for(self):
        """Guards against a pool that counts on hosts that cannot move."""
        events = [
            DemandSample(0.0, "wire", 2.0),
            DemandSample(900.0, "wire", 4.0),
            Fault(100.0, "data_centre_cut", 4000.0, "dc-1"),
        ]
        header = make_header(3600.0, hosts=8)
        for name in ("wire-4", "wire-5", "wire-6", "wire-7"):
            del header.manifest["hosts"][name]
        for name in ("wire-0", "wire-1", "wire-2", "wire-3"):
            # One failure domain, so that the planner keeps four hosts in reserve.
            header.manifest["hosts"][name]["rack"] = "rack-w"
        report = replay_fleet(header, events, "planner", 1)
        last = [s for s in report.series if s.pool == "wire"][-1]
        self.assertGreaterEqual(last.serving, 8)

    def test_takeovers_change_no_outcome(self):
        """Guards against plans that live only in the memory of one process."""
        events = [DemandSample(0.0, "wire", 1.0), DemandSample(600.0, "wire", 4.0)]
        pauses = [Fault(t, "planner_paused", 10.0) for t in range(30, 1800, 45)]
        options = ReplayOptions(tick_s=1.0)
        report = replay_fleet(
            make_header(1800.0), events + pauses, "planner", 1, options=options
        )
        self.assertEqual(report.rejected_entries, 0)
        self.assertGreater(report.planner_takeovers, 20)
        last = [s for s in report.series if s.pool == "wire"][-1]
        self.assertGreaterEqual(last.serving, 4)
