from tests.request_replay.samples import ReplayTestCase, make_arrival


class ClaimTests(ReplayTestCase):
    def test_repeated_key_runs_once(self):
        """Guards against claims of the driver that let a key run twice."""
        options = {"idempotent": False, "key": "k"}
        events = [make_arrival(t, n, **options) for n, t in enumerate((0.0, 0.05, 1.0))]
        report = self.replay(events)
        ends = [r.end for r in report.records]
        self.assertEqual(ends, ["ok", "in_progress", "repeat"])
        self.assertEqual(report.double_runs, 0)
