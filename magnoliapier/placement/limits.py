"""Limits on the tasks that may start, apart from the room on endpoints."""

import math


class NoLimits:
    """
    Admits every task, and shows the methods that all limits have.

    In a pass, the pool first calls ``count_waiting`` for all waiting tasks. Then the
    scheduler calls ``admits`` and ``places``, and ``reserve`` for each run it places.
    """

    def admits(self, progress, step):
        """Return whether one more task of a step may start."""
        return True

    def places(self, progress, step):
        """Return how many more tasks of a step may start, possibly infinity."""
        return math.inf

    def reserve(self, progress, step):
        """Count a run of a step that has been placed."""

    def count_waiting(self, progress, step, count):
        """Count waiting tasks of a step; return for how many hosts may be needed."""
        return count

    def may_need_hosts(self, progress, step):
        """Return whether one more waiting task of a step may need a host."""
        return True


NO_LIMITS = NoLimits()
