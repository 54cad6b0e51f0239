"""How many hosts a pool needs for the work that it has now."""

import math
from collections import deque

PACKING = 0.85  # of a host's resources that tasks of mixed sizes can fill
SURPLUS_HOLD_S = 0.8  # a host is given away after it was needless for so long


def hosts_for(needs, capacity):
    """
    Return how many hosts of a capacity hold tasks that need ``needs`` together.

    ``needs`` is a list of ``Resources``.
    """
    cpu = sum(need.cpu_millicores for need in needs)
    memory = sum(need.memory_mb for need in needs)
    shares = (
        cpu / max(1, capacity.cpu_millicores),
        memory / max(1, capacity.memory_mb),
    )
    return math.ceil(max(shares) / PACKING)


def spread_of(progress):
    """Return how many endpoints the long-running tasks of a submission need."""
    spread = 0
    for step in progress.submission.steps:
        if step.long_running and step.max_per_endpoint:
            spread = max(spread, math.ceil(step.task_count / step.max_per_endpoint))
    return spread


class NeedWindow:
    """
    The highest need of the last ``SURPLUS_HOLD_S`` seconds.

    Example::

        window = NeedWindow()
        window.observe(4, now=0.0)
        window.observe(2, now=0.5)
        assert window.highest == 4
    """

    def __init__(self, hold_s=SURPLUS_HOLD_S):
        self._hold_s = hold_s
        self._samples = deque()

    def observe(self, need, now):
        """Take note of the present need."""
        while self._samples and self._samples[-1][1] <= need:
            self._samples.pop()
        self._samples.append((now, need))
        while now - self._samples[0][0] > self._hold_s:
            self._samples.popleft()

    @property
    def highest(self):
        """Return the highest need in the window."""
        return self._samples[0][1] if self._samples else 0
