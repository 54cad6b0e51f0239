"""
The order in which submissions are served when a burst exceeds the pool.

Serving the most urgent first makes every submission of a long burst late. So those
that still have time in hand come first, by their due time; those that may just miss it
come next, the ones with most time left first; late ones come last, the smallest first.
Work that has begun goes before work of the same class that has not.
"""

from enum import IntEnum

SAFETY_SHARE = 0.2  # of the remaining chain, in hand for tasks that take longer


class Rank(IntEnum):
    """Classes of submissions, first served first."""

    SERVING = 0
    IN_TIME = 1
    AT_RISK = 2
    LATE = 3


def due_ms(progress, durations):
    """Return the Unix ms by which a submission should be complete."""
    queue = progress.queue
    chain = durations.chain_ms(queue.name, progress.submission.steps)
    begin = progress.submission.accepted_ms
    return begin + queue.stretch * chain + queue.target_ms


def order_key(progress, durations, now_ms):
    """Return the sort key of a submission; the smallest is served first."""
    submission = progress.submission
    priority = progress.queue.priority
    if submission.long_running:
        return (Rank.SERVING, priority, submission.accepted_ms)
    remaining = durations.chain_ms(
        progress.queue.name, submission.steps, progress.done_steps()
    )
    due = due_ms(progress, durations)
    spare = due - now_ms - remaining
    if spare >= SAFETY_SHARE * remaining:
        return (Rank.IN_TIME, priority, due)
    if spare >= 0 or (progress.started and due >= now_ms):
        return (Rank.AT_RISK, priority, -spare)
    return (Rank.LATE, priority, progress.size_millicores())
