"""
Detection of endpoints that respond but run tasks badly.

An endpoint is suspect for a while after tasks of several submissions failed on it or
after a task stalled, and as long as its tasks take several times as long as expected.
"""

from collections import deque

from magnoliapier.submissions.progress import FULL_PERCENT

FAILURE_WINDOW_S = 6.0
SUSPECT_FAILURES = 3  # failures of different submissions within the window
SUSPECT_S = 4.0  # after the last failure or stall
SLOW_RATIO = 3.0  # of actual to expected duration
RATIO_SMOOTHING = 0.25
STALL_S = 2.2  # without progress; covers at least two listings of the runs


class EndpointHealth:
    """
    The health of one endpoint. Times are seconds on a monotonic clock.

    Example::

        health = EndpointHealth()
        health.task_done(duration_ms=700, expected_ms=680)
        health.is_suspect(now=1.0)
    """

    def __init__(self):
        self._failures = deque()
        self._suspect_until = 0.0
        self._ratio = 1.0

    def task_done(self, duration_ms, expected_ms):
        """Record the actual and the expected duration of a completed task."""
        ratio = duration_ms / max(1.0, expected_ms)
        self._ratio += RATIO_SMOOTHING * (min(ratio, 10.0) - self._ratio)
        self._failures.clear()

    def task_failed(self, submission_id, now):
        """Record the failure of a task."""
        self._failures.append((now, submission_id))
        while now - self._failures[0][0] > FAILURE_WINDOW_S:
            self._failures.popleft()
        if len({failed_id for _, failed_id in self._failures}) >= SUSPECT_FAILURES:
            self._suspect_until = now + SUSPECT_S

    def task_stalled(self, now):
        """Record that a task made no progress for ``STALL_S``."""
        self._suspect_until = now + SUSPECT_S

    def is_suspect(self, now):
        """Return whether tasks should be placed elsewhere if possible."""
        return now < self._suspect_until or self._ratio >= SLOW_RATIO


def is_stalled(live):
    """
    Return whether listings have shown no progress of a run for ``STALL_S``.

    Long-running and best-effort tasks never count as stalled.
    """
    run = live.run
    if live.step.long_running or live.step.fills:
        return False
    return run.percent < FULL_PERCENT and run.unchanged_s > STALL_S
