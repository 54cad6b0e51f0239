import unittest

from magnoliapier.fleet_replay import DemandTable, ReplayOptions, replay_fleet
from magnoliapier.traces import Commit, DemandSample, Drain, Fault, Header
from tests.samples import sample_manifest


def make_header(duration_s=600.0, **options):
    entry_hosts = {"entry-1": "dc-1", "entry-2": "dc-2"}
    manifest = sample_manifest(**options)
    return Header("test", "test", duration_s, entry_hosts, manifest)


class FleetReplayTests(unittest.TestCase):
    def test_operator_move_and_drain(self):
        events = [Drain(10.0, "wire-0", "archive"), Drain(20.0, "wire-1", None, 60.0)]
        report = replay_fleet(make_header(), events, "static_peak", 1)
        held = {s.pool: s.held for s in report.series}
        self.assertEqual(report.rejected_entries, 0)
        self.assertEqual(set(held), {"wire", "archive"})

    def test_same_seed_gives_equal_reports(self):
        """Guards against a replay that cannot be reproduced."""
        events = [
            DemandSample(0.0, "wire", 2.0, 6.0),
            DemandSample(300.0, "wire", 6.0),
            Fault(100.0, "rack_lost", 60.0, "rack-1-0-0"),
            Fault(200.0, "planner_paused", 30.0),
        ]
        first = replay_fleet(make_header(), events, "threshold", 3)
        second = replay_fleet(make_header(), events, "threshold", 3)
        self.assertEqual(first, second)
        self.assertEqual(first.planner_takeovers, 1)

    def test_lost_rack_misses_budget(self):
        """Guards against counting hosts that are down as serving."""
        events = [
            DemandSample(0.0, "wire", 6.0),
            Fault(120.0, "rack_lost", 60.0, "rack-1-0-0"),
            Fault(120.0, "rack_lost", 60.0, "rack-2-0-0"),
        ]
        report = replay_fleet(make_header(), events, "static_peak", 1)
        self.assertIn((2, "wire"), report.missed_minutes)

    def test_commit_needs_its_base(self):
        """Guards against accepting a commit whose base version is outdated."""
        patch = {"pools": {"wire": {"min_hosts": 2}}}
        events = [Commit(5.0, "op", 1, patch), Commit(6.0, "op", 1, patch)]
        report = replay_fleet(make_header(), events, "static_peak", 1)
        self.assertEqual(report.rejected_commits, 1)

    def test_burst_keeps_the_mean(self):
        rows = [DemandSample(0.0, "wire", 2.0, 8.0), DemandSample(60.0, "wire", 2.0)]
        table = DemandTable(rows, 120.0)
        self.assertAlmostEqual(table.observed("wire", 0.0, 60.0), 2.0, delta=0.2)
        self.assertGreater(table.observed("wire", 0.0, 10.0), 9.0)

    def test_static_peak_holds_no_fewer_hosts_than_the_peak(self):
        events = [DemandSample(0.0, "wire", 1.0), DemandSample(300.0, "wire", 4.0)]
        options = ReplayOptions(tick_s=1.0)
        report = replay_fleet(make_header(), events, "static_peak", options=options)
        self.assertEqual(report.missed_minutes, [])
