from tests.request_replay.samples import ReplayTestCase, make_arrival, make_header


class SendTests(ReplayTestCase):
    def test_busy_answers_and_runs_are_counted(self):
        """Guards against counting a busy answer as a run, or missing a run."""
        header = make_header(("entry-1", "entry-2"), hosts=2)
        events = [
            make_arrival(0.0, n, run_s=2.0, entry=f"entry-{n % 2 + 1}")
            for n in range(20)
        ]
        report = self.replay(events, header)
        self.assertTrue(any(r.sends > r.runs for r in report.records))
        for record in report.records:
            self.assertEqual(record.runs, record.end == "ok", record)
        self.assertEqual(report.false_not_run, 0)
