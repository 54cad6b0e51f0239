import unittest

from magnoliapier.reasons import RunState
from magnoliapier.request_policies import policies
from magnoliapier.request_replay import replay_requests
from magnoliapier.traces import Arrival, Drain, Fault, Header
from tests.samples import sample_manifest


def header(entries=("entry-1",), **options):
    """Return a trace header with entry hosts in dc-1."""
    manifest = sample_manifest(data_centres=1, **options)
    return Header("test", "", 10.0, dict.fromkeys(entries, "dc-1"), manifest)


def arrival(t, number, **options):
    """Return an arrival of a short request that runs 0.1 s."""
    values = {
        "entry": "entry-1",
        "service": "wire",
        "organisation": "desk-a",
        "kind": "short/file",
        "work_class": "short",
        "run_s": 0.1,
        "deadline_s": 20.0,
    }
    return Arrival(t, request_id=f"r{number}", **(values | options))


class RequestReplayTest(unittest.TestCase):
    """Guards the driver: wrong records would hide faults of every policy."""

    def replay(self, events, head=None, policy="uncoordinated"):
        return replay_requests(head or header(), events, policies.get(policy), seed=1)

    def test_waits_and_slots_follow_true_run_times(self):
        """Fails if endpoints run more requests at once than they have slots."""
        events = [arrival(0.0, n, run_s=1.0) for n in range(40)]
        report = self.replay(events)
        waits = report.waits()
        self.assertEqual(len(waits), 40)
        self.assertEqual(sum(wait < 0.5 for wait in waits), 32)
        self.assertAlmostEqual(waits[-1], 1.0, delta=0.05)
        self.assertEqual(max(sample.running for sample in report.samples), 32)

    def test_busy_answers_and_runs_are_counted(self):
        """Fails if a busy answer counts as a run, or a run goes uncounted."""
        head = header(("entry-1", "entry-2"), hosts=2)
        events = [
            arrival(0.0, n, run_s=2.0, entry=f"entry-{n % 2 + 1}") for n in range(20)
        ]
        report = self.replay(events, head)
        self.assertTrue(any(r.sends > r.runs for r in report.records))
        for record in report.records:
            self.assertEqual(record.runs, record.end == "ok", record)
        self.assertEqual(report.false_not_run, 0)

    def test_failed_and_lost_sends_end_with_their_run_state(self):
        """Fails if a lost answer is presented as "not run"."""
        faults = [Fault(0.0, "endpoint_failing", 1.0, f"wire-{n}") for n in range(4)]
        loss = [Fault(3.0, "endpoint_down", 1.0, f"wire-{n}") for n in range(4)]
        events = [*faults, arrival(0.1, 1), arrival(2.0, 2, run_s=5.0), *loss]
        report = self.replay(events)
        self.assertEqual([r.run_state for r in report.records], [RunState.UNKNOWN] * 2)
        self.assertEqual([r.runs for r in report.records], [1, 1])

    def test_repeated_key_runs_once(self):
        """Fails if the claims of the driver let a key run twice."""
        options = {"idempotent": False, "key": "k"}
        events = [arrival(t, n, **options) for n, t in enumerate((0.0, 0.05, 1.0))]
        report = self.replay(events)
        ends = [r.end for r in report.records]
        self.assertEqual(ends, ["ok", "in_progress", "repeat"])
        self.assertEqual(report.double_runs, 0)

    def test_silence_cancel_restart_and_drain_end_every_request(self):
        """Fails if a request is lost by the driver and never ends."""
        head = header(("entry-1", "entry-2"))
        events = [
            arrival(0.0, 1),
            Fault(1.0, "endpoint_silent", 4.0, "wire-0"),
            Drain(1.0, "wire-1", duration_s=2.0),
            *(arrival(1.5 + n / 10, 10 + n, cancel_s=5.0) for n in range(20)),
            arrival(4.0, 50, entry="entry-2", run_s=6.0),
            Fault(5.0, "entry_restart", 1.0, "entry-2"),
        ]
        report = self.replay(events, head)
        self.assertTrue(all(record.end for record in report.records))
        self.assertEqual(report.records[-1].end, "entry_lost")
        self.assertEqual(report.late_sends, [])
        self.assertIn("cancelled", {record.end for record in report.records})


if __name__ == "__main__":
    unittest.main()
