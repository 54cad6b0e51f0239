import unittest

from magnoliapier.placement.health import (
    STALL_S,
    SUSPECT_FAILURES,
    EndpointHealth,
    is_stalled,
)
from magnoliapier.submissions.model import Step, TaskName
from magnoliapier.submissions.progress import LiveRun, Run, Task


class EndpointHealthTests(unittest.TestCase):
    def test_failures_of_one_submission_do_not_make_an_endpoint_suspect(self):
        """Guards against one faulty submission that makes every endpoint suspect."""
        health = EndpointHealth()
        for _ in range(10):
            health.task_failed("one", now=1.0)
        self.assertFalse(health.is_suspect(1.0))

    def test_failures_of_several_submissions_make_an_endpoint_suspect(self):
        """Guards against a faulty endpoint that uses up many submissions' attempts."""
        health = EndpointHealth()
        for number in range(SUSPECT_FAILURES):
            health.task_failed(f"s{number}", now=1.0)
        self.assertTrue(health.is_suspect(2.0))
        self.assertFalse(health.is_suspect(60.0))

    def test_slow_endpoint_is_suspect(self):
        """Guards against work placed where tasks take several times as long."""
        health = EndpointHealth()
        for _ in range(10):
            health.task_done(6000, 1000)
        self.assertTrue(health.is_suspect(1.0))

    def test_run_is_stalled_only_after_time_without_progress(self):
        """Guards against missed hanging tasks and restarts of tasks that advance."""
        task = Task(TaskName("a" * 16, 0, 0, 0), Step(1))
        run = Run(1, "e1", ordered_at=10.0)
        run.percent = 40
        live = LiveRun(None, task, run)
        self.assertFalse(is_stalled(live, 10.0 + STALL_S / 2))
        self.assertTrue(is_stalled(live, 10.1 + STALL_S))
