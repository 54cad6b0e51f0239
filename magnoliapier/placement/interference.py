"""
Throttling of best-effort tasks beside latency-sensitive ones.

Best-effort tasks use the CPU that others leave idle, and slow down latency-sensitive
tasks on the same endpoint. When such a task comes close to its latency target, the
best-effort tasks on its endpoint are throttled; they are sped up again once its latency
is well below the target.
"""

from magnoliapier.submissions.progress import FULL_PERCENT

SLOW_DOWN_AT = 0.8  # of the latency target
SPEED_UP_BELOW = 0.5  # of the latency target
SLOW_DOWN_FACTOR = 0.4
SPEED_UP_STEP_PERCENT = 15
MIN_PACE = 0  # percent


def next_pace(pace, latency_ratio):
    """
    Return the next pace of a best-effort task, in percent of full speed.

    ``pace`` is its present pace. ``latency_ratio`` is the highest ratio of tail latency
    to target among the latency-sensitive tasks on its endpoint, or None without any.

    Example::

        next_pace(100, 0.9) == 40
    """
    if latency_ratio is None:
        return FULL_PERCENT
    if latency_ratio >= 1.0:
        return MIN_PACE
    if latency_ratio >= SLOW_DOWN_AT:
        return int(pace * SLOW_DOWN_FACTOR)
    if latency_ratio < SPEED_UP_BELOW:
        return min(FULL_PERCENT, pace + SPEED_UP_STEP_PERCENT)
    return pace


def worst_latency_ratio(live_runs):
    """Return the highest ratio of latency to target among ``live_runs``, or None."""
    ratios = [
        live.run.reading / live.step.latency_target_ms
        for live in live_runs
        if live.latency_sensitive
    ]
    return max(ratios, default=None)
