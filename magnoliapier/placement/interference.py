"""
Throttling of best-effort tasks beside latency-sensitive ones.

Best-effort tasks use the CPU that others leave idle, and slow down latency-sensitive
tasks on the same endpoint. When such a task comes close to its latency target, the
best-effort tasks on its endpoint are throttled; they are sped up again once its latency
is well below the target.

Where it is known which best-effort tasks slow the latency-sensitive one down, they are
throttled first, and the others go on as long as the target is met.
"""

from magnoliapier.submissions.progress import FULL_PERCENT

SLOW_DOWN_AT = 0.8  # of the latency target
# Of the latency target: from here on all best-effort tasks are throttled, as there is
# no time left to correct a wrong choice among them.
THROTTLE_ALL_AT = 0.9
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


def next_paces(live_runs, neighbours):
    """
    Return (live run, next pace) for each best-effort run on an endpoint.

    ``neighbours`` are the Neighbours that know which image to throttle first. All are
    throttled alike if none is known, or none of a known image runs any more, and once
    a target is almost missed.
    """
    best_effort = [live for live in live_runs if live.step.fills]
    worst = worst_slowed_down(live_runs) if best_effort else None
    ratio = None if worst is None else latency_ratio(worst)
    throttled_image = ""
    if ratio is not None and ratio < THROTTLE_ALL_AT:
        throttled_image = _image_to_throttle(worst, ratio, best_effort, neighbours)
    return [
        (
            live,
            (
                next_pace(live.run.pace, ratio)
                if not throttled_image or live.step.image == throttled_image
                else _pace_of_other_image(live.run.pace, ratio)
            ),
        )
        for live in best_effort
    ]


def _image_to_throttle(worst, ratio, best_effort, neighbours):
    """
    Return the image that slows a task down most, or an empty string if unknown.

    It is a single one so that the paces of images differ: while all are throttled and
    sped up together, no sample tells their effects apart.
    """
    effects = {
        live.step.image: neighbours.effect(worst.step.image, live.step.image)
        for live in best_effort
        if live.run.pace > MIN_PACE or ratio < SLOW_DOWN_AT
    }
    throttled_image = max(effects, key=effects.get, default="")
    return throttled_image if effects.get(throttled_image) else ""


def _pace_of_other_image(pace, ratio):
    """Return the next pace of a task while only another image is throttled."""
    if ratio >= SLOW_DOWN_AT:
        return pace
    return min(FULL_PERCENT, pace + SPEED_UP_STEP_PERCENT)


def latency_ratio(live):
    """Return the ratio of tail latency to target of a latency-sensitive run."""
    return live.run.reading / live.step.latency_target_ms


def worst_slowed_down(live_runs):
    """Return the run with the highest ratio of latency to target, or None."""
    sensitive = (live for live in live_runs if live.latency_sensitive)
    return max(sensitive, key=latency_ratio, default=None)
