import unittest

from magnoliapier.metrics import Metrics
from magnoliapier.service.start_delays import METRIC_NAME, StartDelays, StartStage


class StartDelaysTests(unittest.TestCase):
    def setUp(self):
        self.metrics = Metrics()
        self.delays = StartDelays("desk", self.metrics)

    def longest_s(self, stage):
        return self.metrics.quantile(METRIC_NAME, 100, service="desk", stage=stage)

    def test_stages_are_told_apart(self):
        """Guards against a wait whose cause, room or store, an operator can't see."""
        self.delays.submission_known("a", accepted_ago_s=0.1, now=10.0)
        self.delays.run_placed("a", now=12.0)
        self.delays.run_stored(placed_at=12.0, now=12.5)
        self.delays.run_confirmed(sent_at=12.5, now=12.6)
        expected = {
            StartStage.INTAKE: 0.1,
            StartStage.ROOM: 2.0,
            StartStage.STORE: 0.5,
            StartStage.ORDER: 0.1,
        }
        for stage, seconds in expected.items():
            self.assertAlmostEqual(self.longest_s(stage), seconds, delta=0.05)

    def test_only_the_first_run_waits_for_room(self):
        """Guards against later steps that count as waiting since the acceptance."""
        self.delays.submission_known("a", accepted_ago_s=0.0, now=10.0)
        self.delays.run_placed("a", now=10.0)
        self.delays.run_placed("a", now=60.0)
        self.assertLess(self.longest_s(StartStage.ROOM), 1.0)
