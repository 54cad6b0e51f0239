"""
Which endpoints work badly although they answer.

An endpoint is suspect after tasks of several submissions failed there, after tasks
stood still, or while its tasks take several times as long as expected.
"""

from collections import deque

FAILURE_WINDOW_S = 6.0
FAILURES = 3  # of different submissions within the window
SUSPECT_S = 4.0
SLOW_RATIO = 3.0
RATIO_SMOOTHING = 0.25
STALL_S = 2.4  # without progress over at least two listings


class EndpointHealth:
    """
    The record of one endpoint. Times are seconds on a steady clock.

    Example::

        health = EndpointHealth()
        health.task_done(duration_ms=700, expected_ms=680)
        health.suspect(now=1.0)
    """

    def __init__(self):
        self._failures = deque()
        self._suspect_until = 0.0
        self._ratio = 1.0

    def task_done(self, duration_ms, expected_ms):
        """Take note of a task's duration against what was expected."""
        ratio = duration_ms / max(1.0, expected_ms)
        self._ratio += RATIO_SMOOTHING * (min(ratio, 10.0) - self._ratio)
        self._failures.clear()

    def task_failed(self, submission_id, now):
        """Take note of a failed task."""
        self._failures.append((now, submission_id))
        while now - self._failures[0][0] > FAILURE_WINDOW_S:
            self._failures.popleft()
        if len({name for _, name in self._failures}) >= FAILURES:
            self._suspect_until = now + SUSPECT_S

    def task_stalled(self, now):
        """Take note of a task that made no progress for ``STALL_S``."""
        self._suspect_until = now + SUSPECT_S

    def suspect(self, now):
        """Return whether tasks should go elsewhere if they can."""
        return now < self._suspect_until or self._ratio >= SLOW_RATIO


def is_stalled(live, now):
    """Return whether a short task stands still, by its last listing."""
    run = live.run
    if live.step.long_running or live.step.fills:
        return False
    return run.percent < 100 and now - run.advanced_at > STALL_S
