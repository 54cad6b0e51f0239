"""
How fast filling tasks may work beside serving ones.

Filling tasks use the processor that others leave, and slow down serving tasks on the
same endpoint. While a serving task nears its latency target the fillers beside it are
slowed, and given back their speed when it is well below.
"""

from magnoliapier.submissions.progress import FULL_PACE

SLOW_DOWN_AT = 0.8  # of the latency target
SPEED_UP_BELOW = 0.5
SLOW_DOWN_FACTOR = 0.4
SPEED_UP_STEP = 15  # percent
LOWEST_PACE = 0


def next_pace(pace, worst_latency_ratio):
    """
    Return the next pace of the fillers of an endpoint, in percent.

    ``worst_load`` is the highest tail latency of its serving tasks as a share of the
    target, or None if it runs none.

    Example::

        fill_pace(100, 0.9) == 40
    """
    if worst_latency_ratio is None:
        return FULL_PACE
    if worst_latency_ratio >= 1.0:
        return LOWEST_PACE
    if worst_latency_ratio >= SLOW_DOWN_AT:
        return int(pace * SLOW_DOWN_FACTOR)
    if worst_latency_ratio < SPEED_UP_BELOW:
        return min(FULL_PACE, pace + SPEED_UP_STEP)
    return pace


def worst_latency_ratio(lives):
    """Return the highest load of the serving runs among ``lives``, or None."""
    loads = [
        live.run.reading / live.step.latency_target_ms for live in lives if live.serves
    ]
    return max(loads, default=None)
