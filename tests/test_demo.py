import unittest

from magnoliapier.demo import Call, DemoReport, DemoSystem, fill_report, run_demo
from magnoliapier.reasons import RunState


class DemoTests(unittest.TestCase):
    def test_whole_path(self):
        """Guards against requests lost between parts that work on their own."""
        report = run_demo(2.0, quiet=True)
        counts = (report.lost, report.cut, report.doubled, report.false_not_run)
        self.assertEqual(counts, (0, 0, 0, 0))
        self.assertEqual(report.work_after_drain, 0)
        self.assertGreater(report.calls, 50)

    def test_accounts_for_faults(self):
        """Guards against a report that passes although requests were lost or cut."""
        system = DemoSystem()
        endpoint = type("Endpoint", (), {"runs": {"k": 2, "r2": 1}})()
        system.endpoints = {"wire-0": endpoint}
        report = DemoReport()
        calls = [
            Call("r1", "desk-a", "k", "answered", RunState.RAN),
            Call("r2", "desk-a", None, "refused queue_full", RunState.NOT_RUN),
            Call("r3", "desk-b", None, "refused x", RunState.UNKNOWN),
            Call("r4", "desk-b", None, "lost ProtocolError", RunState.UNKNOWN),
        ]
        fill_report(system, calls, report)
        counts = (report.lost, report.cut, report.doubled, report.false_not_run)
        self.assertEqual(counts, (1, 1, 1, 1))
        self.assertFalse(report.passed)
