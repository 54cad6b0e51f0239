"""
Estimate of the hosts that a pool needs for present and arriving work.

Work is counted in host-seconds: the share of a host that a task takes, by the scarcest
resource (its dominant share), times its duration.
"""

import math
from collections import deque

import msgspec

from magnoliapier.submissions.model import Resources, fits, tasks_that_fit

USABLE_HOST_SHARE = 0.85  # of each host; tasks of mixed sizes cannot fill it all
# Keeping a host for so long costs as much as releasing it and getting it back.
SURPLUS_HOLD_S = 1.3
ARRIVAL_WINDOW_S = 1.2
MIN_WINDOW_S = 0.4
MIN_BURST_ARRIVALS = 4  # fewer in a shorter window may be chance
MAX_BURST_GAP_S = 0.3  # between two arrivals of the same burst
CATCH_UP_S = 2.0  # time in which to start the work that has waited too long
NORMAL_WAIT_S = 0.5  # work that waits less is already in the arrival rate


def host_share(resources, capacity):
    """
    Return the share of a host that ``resources`` take, by the scarcest resource.

    Accelerators only count if the host has any: no number of hosts without them helps.
    """
    share = max(
        resources.cpu_millicores / max(1, capacity.cpu_millicores),
        resources.memory_mb / max(1, capacity.memory_mb),
    )
    if not capacity.accelerators:
        return share
    return max(share, resources.accelerators / capacity.accelerators)


def min_endpoints_for(step):
    """Return how many endpoints the tasks of a step need at least."""
    if step.long_running and step.max_per_endpoint:
        return math.ceil(step.task_count / step.max_per_endpoint)
    return 1


class ArrivalRate:
    """
    The host-seconds of work that arrive per second, over the last ``window_s``.

    While a burst is younger than the window, only the time since its start counts: a
    mean that includes the lull before it would yield too few hosts when they are needed
    most.

    Example::

        rate = ArrivalRate()
        rate.add(2.4, now=10.0)
        assert rate.per_second(10.5) == 2.0
    """

    def __init__(self, window_s=ARRIVAL_WINDOW_S):
        self._window_s = window_s
        self._arrivals = deque()
        self._burst_started_at = 0.0
        self._burst_arrivals = 0

    def add(self, host_seconds, now):
        """Record work that arrives at ``now``."""
        if not self._arrivals or now - self._arrivals[-1][0] > MAX_BURST_GAP_S:
            self._burst_started_at = now
            self._burst_arrivals = 0
        self._burst_arrivals += 1
        self._arrivals.append((now, host_seconds))

    def per_second(self, now):
        """Return the present rate in host-seconds per second."""
        while self._arrivals and now - self._arrivals[0][0] > self._window_s:
            self._arrivals.popleft()
        window_s = self._averaging_window_s(now)
        since = now - window_s
        return (
            sum(
                host_seconds
                for arrived_at, host_seconds in self._arrivals
                if arrived_at >= since
            )
            / window_s
        )

    def _averaging_window_s(self, now):
        """Return the length of the window to average over."""
        age_s = now - self._burst_started_at
        if self._burst_arrivals < MIN_BURST_ARRIVALS or age_s >= self._window_s:
            return self._window_s
        return max(MIN_WINDOW_S, age_s)


def hosts_needed(long_running_share, arrival_rate, waiting_host_seconds, min_hosts):
    """
    Return how many hosts a pool needs.

    ``long_running_share`` is the sum of the host shares of long-running tasks,
    ``arrival_rate`` the host-seconds of work that arrive per second,
    ``waiting_host_seconds`` the work that has not started, and ``min_hosts`` the number
    of hosts over which tasks must be spread.
    """
    backlog = max(0.0, waiting_host_seconds - arrival_rate * NORMAL_WAIT_S)
    share = long_running_share + arrival_rate + backlog / CATCH_UP_S
    return max(1, min_hosts, math.ceil(share / USABLE_HOST_SHARE))


class WaitingTasks(msgspec.Struct, frozen=True):
    """Waiting tasks of one kind; ``duration_s`` is the expected duration of each."""

    resources: Resources
    count: int
    duration_s: float


def hosts_for_wide_tasks(waiting, free, capacity):
    """
    Return how many hosts a pool needs so that its widest waiting tasks fit.

    ``waiting`` holds WaitingTasks. ``free`` holds, for each host of the pool, what
    long-running tasks leave of it. A task that fits on none of the hosts where these
    run would wait for good, however much is free in all. The result counts those hosts
    and the ones that the wide tasks need besides; it is 0 if every task fits.
    """
    occupied = [resources for resources in free if resources != capacity]
    wide = [
        tasks
        for tasks in waiting
        if fits(tasks.resources, capacity)
        and not any(fits(tasks.resources, resources) for resources in occupied)
    ]
    if not wide:
        return 0
    host_seconds = 0.0
    for tasks in wide:
        per_host = tasks_that_fit(tasks.resources, capacity)
        host_seconds += tasks.count * tasks.duration_s / per_host
    return len(occupied) + max(1, math.ceil(host_seconds / CATCH_UP_S))


class SlidingMaximum:
    """
    The highest of the values that were observed in the last ``window_s`` seconds.

    Example::

        maximum = SlidingMaximum()
        maximum.observe(4, now=0.0)
        maximum.observe(2, now=0.5)
        assert maximum.highest == 4
    """

    def __init__(self, window_s=SURPLUS_HOLD_S):
        self._window_s = window_s
        self._samples = deque()

    def observe(self, value, now):
        """Add the present value and drop the values that are too old."""
        while self._samples and self._samples[-1][1] <= value:
            self._samples.pop()
        self._samples.append((now, value))
        while now - self._samples[0][0] > self._window_s:
            self._samples.popleft()

    @property
    def highest(self):
        """Return the highest value in the window, or 0 without any."""
        return self._samples[0][1] if self._samples else 0
