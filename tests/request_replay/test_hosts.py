from tests.request_replay.samples import ReplayTestCase, make_arrival


class EndpointSlotTests(ReplayTestCase):
    def test_waits_and_slots_follow_true_run_times(self):
        """Guards against endpoints that run more requests than they have slots."""
        events = [make_arrival(0.0, n, run_s=1.0) for n in range(40)]
        report = self.replay(events)
        waits = report.waits()
        self.assertEqual(len(waits), 40)
        self.assertEqual(sum(wait < 0.5 for wait in waits), 32)
        self.assertAlmostEqual(waits[-1], 1.0, delta=0.05)
        self.assertEqual(max(sample.running for sample in report.samples), 32)
