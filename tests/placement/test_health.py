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


class StalledRunTests(unittest.TestCase):
    """Runs whose progress is known only from the listings of their endpoint."""

    def setUp(self):
        task = Task(TaskName("a" * 16, 0, 0, 0), Step(1))
        self.run = Run(1, "e1", ordered_at=10.0)
        self.live = LiveRun(None, task, self.run)
        self.run.record_listing(40, now=10.0)

    def list_until(self, end, percent, interval_s=0.5):
        """List the run at regular intervals until ``end``, always with ``percent``."""
        while self.run.listed_at < end:
            self.run.record_listing(percent, self.run.listed_at + interval_s)

    def test_run_is_stalled_only_after_time_without_progress(self):
        """Guards against unnoticed hanging tasks and restarts of tasks that advance."""
        self.list_until(10.0 + STALL_S / 2, percent=40)
        self.assertFalse(is_stalled(self.live))
        self.list_until(10.5 + STALL_S, percent=40)
        self.assertTrue(is_stalled(self.live))
        self.run.record_listing(41, self.run.listed_at + 0.5)
        self.assertFalse(is_stalled(self.live))

    def test_silence_is_not_a_stall(self):
        """
        Guards against restarts of work that was only not heard of for some seconds.

        An endpoint that was cut off, or a controller that was paused, has not seen the
        run stand still: it has not seen it at all.
        """
        self.run.record_listing(40, now=10.0 + 2 * STALL_S)
        self.assertFalse(is_stalled(self.live))
        self.list_until(10.5 + 3 * STALL_S, percent=40)
        self.assertTrue(is_stalled(self.live))
