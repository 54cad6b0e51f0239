"""
How many hosts a pool needs for the work it has and the work that keeps coming.

Work is counted in host-seconds: the share of a host that a task takes, by its scarcer
resource, times how long it takes.
"""

import math
from collections import deque

PACKING = 0.85  # of a host that tasks of mixed sizes can fill
SURPLUS_HOLD_S = 1.3  # giving a host away and getting it back costs as much
ARRIVAL_WINDOW_S = 1.2
SHORTEST_WINDOW_S = 0.4
BURST_ARRIVALS = 4  # fewer in a shorter window may be chance
BURST_GAP_S = 0.3  # between two arrivals of a burst
CATCH_UP_S = 2.0  # in which work that has waited should be begun
USUAL_WAIT_S = 0.5  # of arrivals; work that waits as usual is not counted twice


def host_share(resources, capacity):
    """Return the share of a host that ``resources`` take, by the scarcer one."""
    return max(
        resources.cpu_millicores / max(1, capacity.cpu_millicores),
        resources.memory_mb / max(1, capacity.memory_mb),
    )


def min_endpoints_for(progress):
    """Return how many endpoints the long-running tasks of a submission need."""
    spread = 0
    for step in progress.submission.steps:
        if step.long_running and step.max_per_endpoint:
            spread = max(spread, math.ceil(step.task_count / step.max_per_endpoint))
    return spread


class ArrivalRate:
    """
    Host-seconds of work that arrive per second, over the last ``window_s``.

    While a burst is younger than the window, only its own time counts: a mean over the
    lull before it would ask for too few hosts when they are needed most.

    Example::

        rate = ArrivalRate()
        rate.add(2.4, now=10.0)
        assert rate.per_second(10.5) == 2.0
    """

    def __init__(self, window_s=ARRIVAL_WINDOW_S):
        self._window_s = window_s
        self._arrivals = deque()
        self._burst_began = 0.0
        self._burst_arrivals = 0

    def add(self, host_seconds, now):
        """Take note of arriving work."""
        if not self._arrivals or now - self._arrivals[-1][0] > BURST_GAP_S:
            self._burst_began = now
            self._burst_arrivals = 0
        self._burst_arrivals += 1
        self._arrivals.append((now, host_seconds))

    def per_second(self, now):
        """Return the present rate."""
        while self._arrivals and now - self._arrivals[0][0] > self._window_s:
            self._arrivals.popleft()
        window_s = self._window(now)
        since = now - window_s
        return sum(work for at, work in self._arrivals if at >= since) / window_s

    def _window(self, now):
        """Return the seconds to average over."""
        age_s = now - self._burst_began
        if self._burst_arrivals < BURST_ARRIVALS or age_s >= self._window_s:
            return self._window_s
        return max(SHORTEST_WINDOW_S, age_s)


def hosts_needed(lasting_share, arrival_rate, waiting_work, spread):
    """
    Return how many hosts a pool needs.

    ``lasting_share`` is the sum of the shares of long-running tasks, ``arrival_rate``
    the host-seconds that arrive per second, ``waiting_work`` the host-seconds that
    have not begun, and ``spread`` the hosts over which tasks must be spread.
    """
    backlog = max(0.0, waiting_work - arrival_rate * USUAL_WAIT_S)
    share = lasting_share + arrival_rate + backlog / CATCH_UP_S
    return max(1, spread, math.ceil(share / PACKING))


class SlidingMaximum:
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
