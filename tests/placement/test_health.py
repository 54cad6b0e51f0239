import unittest

from magnoliapier.placement.health import FAILURES, STALL_S, EndpointHealth, is_stalled
from magnoliapier.submissions.model import Step, TaskName
from magnoliapier.submissions.progress import LiveRun, Run, Task


class EndpointHealthTests(unittest.TestCase):
    def test_failures_of_one_submission_are_not_the_endpoints(self):
        """Guards against a poisoned submission that empties the pool."""
        health = EndpointHealth()
        for _ in range(10):
            health.task_failed("one", now=1.0)
        self.assertFalse(health.suspect(1.0))

    def test_endpoint_that_fails_everything_is_avoided_for_a_while(self):
        """Guards against a grey endpoint that uses up attempts of many submissions."""
        health = EndpointHealth()
        for number in range(FAILURES):
            health.task_failed(f"s{number}", now=1.0)
        self.assertTrue(health.suspect(2.0))
        self.assertFalse(health.suspect(60.0))

    def test_slow_endpoint_is_avoided(self):
        """Guards against work placed where tasks take several times as long."""
        health = EndpointHealth()
        for _ in range(10):
            health.task_done(6000, 1000)
        self.assertTrue(health.suspect(1.0))

    def test_stall_needs_time_without_progress(self):
        """Guards against hanging tasks, and against restarting ones that advance."""
        task = Task(TaskName("a" * 16, 0, 0, 0), Step(1))
        run = Run(1, "e1", ordered_at=10.0)
        run.percent = 40
        live = LiveRun(None, task, run)
        self.assertFalse(is_stalled(live, 10.0 + STALL_S / 2))
        self.assertTrue(is_stalled(live, 10.1 + STALL_S))
