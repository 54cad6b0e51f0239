import contextlib
import io
import json
import shutil
import tempfile
import unittest
from pathlib import Path

from magnoliapier import replay
from magnoliapier.exceptions import OutcomeFailedError, TraceError
from magnoliapier.traces import read_trace, write_trace
from tests.test_traces import sample_arrival, sample_header

TRACES_FOLDER = Path(__file__).parent.parent / "traces"


class ReplayTestCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name, *checks, driver="requests", events=None):
        if events is None:
            events = [
                sample_arrival(0.1 * number, f"r-{number}") for number in range(20)
            ]
        path = self.folder / f"{name}.jsonl"
        write_trace(path, sample_header(), events)
        values = {"trace": name, "drivers": [driver], "checks": list(checks)}
        outcomes = self.folder / f"{name}.outcomes.json"
        outcomes.write_text(json.dumps(values))
        return [str(path), "--outcomes", str(outcomes)]

    def run_main(self, *arguments):
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            code = replay.main([str(argument) for argument in arguments])
        return code, output.getvalue() + errors.getvalue()


class CommandTests(ReplayTestCase):
    def test_exit_codes(self):
        """Guards against a failed check that a pipeline mistakes for a pass."""
        good = self.write("good", {"check": "answered_once"})
        self.assertEqual(self.run_main(*good)[0], 0)
        bad = self.write("bad", {"check": "cancelled_dropped"})
        code, text = self.run_main(*bad)
        self.assertEqual(code, OutcomeFailedError.exit_code)
        self.assertIn("FAIL cancelled_dropped", text)
        missing = ["missing.jsonl", "--outcomes", good[2]]
        self.assertEqual(self.run_main(*missing)[0], TraceError.exit_code)
        self.assertEqual(self.run_main()[0], TraceError.exit_code)

    def test_broken_check_shows_its_events(self):
        arguments = self.write("late", {"check": "refusals", "max_share": 0.0})
        events = [sample_arrival(0.0, "r-1", deadline_s=0.01, run_s=5.0)]
        write_trace(arguments[0], sample_header(), events)
        code, text = self.run_main(*arguments)
        self.assertEqual(code, OutcomeFailedError.exit_code)
        self.assertIn("arrival request_id=r-1", text)
        self.assertIn("answer request_id=r-1 outcome=refused", text)

    def test_compares_and_writes_report_and_plot(self):
        arguments = self.write("a", {"check": "answered_once"})
        report, plot = self.folder / "r.json", self.folder / "p.svg"
        extra = ["--compare", "fifo", "--report", report, "--plot", plot]
        code, text = self.run_main(*arguments, *extra)
        self.assertEqual(code, 0, text)
        values = json.loads(report.read_text())
        self.assertTrue(values["passed"])
        self.assertEqual(values["figures"]["answers"], 20)
        self.assertEqual(values["baselines"]["fifo"]["answers"], 20)
        self.assertIn("<svg", plot.read_text())

    def test_unknown_policies_are_refused(self):
        arguments = self.write("a", {"check": "answered_once"})
        code, text = self.run_main(*arguments, "--compare", "magic")
        self.assertEqual(code, 1)
        self.assertIn("fifo", text)

    def test_all_counts_and_continues_after_a_failure(self):
        """Guards against skipping the traces that follow a failed or invalid one."""
        self.write("a", {"check": "cancelled_dropped"})
        self.write("b", {"check": "answered_once"})
        (self.folder / "c.jsonl").write_text("broken\n")
        code, text = self.run_main("--all", self.folder)
        self.assertEqual(code, OutcomeFailedError.exit_code)
        self.assertIn("1 passed, 2 failed\n", text)
        self.assertIn("pass b.jsonl", text)

    def test_all_needs_traces_and_outcomes(self):
        self.assertEqual(self.run_main("--all", self.folder)[0], 8)
        self.write("a", {"check": "answered_once"})
        (self.folder / "a.outcomes.json").unlink()
        self.assertIn("0 passed, 1 failed", self.run_main("--all", self.folder)[1])

    def test_endless_decisions_fail_and_name_their_place(self):
        """Guards against a replay that hangs where the trace should fail."""
        with self.assertRaises(TraceError) as caught, replay.time_limit(0.05):
            while True:
                pass
        self.assertIn("test_replay.py:", str(caught.exception))


class DeterminismTests(ReplayTestCase):
    def test_same_seed_gives_the_same_observations(self):
        """Guards against failures that cannot be reproduced."""
        for name, driver in (("planner-paused", "store"), ("morning", "requests")):
            trace = read_trace(TRACES_FOLDER / f"{name}.jsonl.gz")
            trace.events = trace.events[:200]
            first, second = (
                replay.replay_trace(trace, [driver], 3).observations for _ in range(2)
            )
            self.assertTrue(first)
            self.assertEqual(list(map(str, first)), list(map(str, second)))


class FleetObservationTests(ReplayTestCase):
    def test_reassigning_a_busy_host_is_observed(self):
        """Guards against a driver that omits work in flight on a moved host."""
        trace = read_trace(TRACES_FOLDER / "data-centre-cut.jsonl.gz")
        report = replay.replay_trace(trace, ["fleet"], 1)
        ends = {
            run["host"]: run["until"]
            for _, run in report.of_kind("run")
            if 300 <= run.t < 900
        }
        cut = {
            name
            for name, host in trace.header.manifest["hosts"].items()
            if host["data_centre"] == "dc-2"
        }
        drained = cut & set(ends)
        self.assertTrue(drained)
        for host in drained:
            self.assertGreaterEqual(ends[host], 900.0)


class StoreReplayTests(ReplayTestCase):
    def replay(self, name, *, without=(), **changes):
        trace = read_trace(TRACES_FOLDER / f"{name}.jsonl.gz")
        trace.events = [event for event in trace.events if type(event) not in without]
        return replay.replay_trace(trace, ["store"], **changes)

    def test_resumed_planner_writes_nothing_with_its_old_epoch(self):
        """Guards against a driver that ignores planner pauses."""
        writes = [
            write for _, write in self.replay("planner-paused").of_kind("planner_write")
        ]
        self.assertEqual({write["epoch"] for write in writes}, {1, 2})
        late = [write for write in writes if write.t > 30]
        self.assertEqual({write["epoch"] for write in late}, {2})

    def test_rival_commits_interleave(self):
        """Guards against racing commits that do not overlap."""
        commits = [
            commit for _, commit in self.replay("operators-racing").of_kind("commit")
        ]
        winners = [
            commit["operator"] for commit in commits if commit["version"] is not None
        ]
        self.assertEqual((len(commits), len(winners)), (20, 10))
        first = [
            min(pair, key=lambda commit: commit.t) for pair in group_by_base(commits)
        ]
        self.assertTrue(all(commit["version"] is not None for commit in first))

    def test_store_faults_take_effect(self):
        """Guards against checks that pass because the store faults had no effect."""
        reasons = {
            answer.get("reason")
            for _, answer in self.replay("store-down").of_kind("answer")
        }
        self.assertIn("claims_unavailable", reasons)


def group_by_base(commits):
    by_base = {}
    for commit in commits:
        by_base.setdefault(commit["base"], []).append(commit)
    return by_base.values()


class PlotTests(ReplayTestCase):
    def test_all_panels_of_a_fleet_trace(self):
        from magnoliapier import plots

        trace = read_trace(TRACES_FOLDER / "rack-lost-in-wave.jsonl.gz")
        trace.header.duration_s = 400.0
        report = replay.replay_trace(trace, ["fleet"], 1)
        self.assertTrue(plots.hosts_by_pool(report)[3])
        self.assertTrue(plots.wave_progress(report)[3])
        path = self.folder / "x.png"
        plots.plot_report(report, path)
        self.assertEqual(path.read_bytes()[:4], b"\x89PNG")

    def test_refuses_unknown_formats_and_empty_reports(self):
        from magnoliapier.outcomes.observations import ReplayReport
        from magnoliapier.plots import plot_report

        for name in ("x.pdf", "x.svg"):
            with self.assertRaises(TraceError):
                plot_report(ReplayReport("empty", []), self.folder / name)


class FindTracesTests(ReplayTestCase):
    def test_plain_and_compressed_traces_are_found(self):
        shutil.copy(TRACES_FOLDER / "planner-paused.jsonl.gz", self.folder)
        self.write("a", {"check": "answered_once"})
        names = [path.name for path, _ in replay.find_traces(self.folder)]
        self.assertEqual(names, ["a.jsonl", "planner-paused.jsonl.gz"])
