"""
The order in which submissions are served.

Long-running work comes first, then submissions that can still meet their target, by
the time that is left, then late ones.
"""

from enum import IntEnum

from magnoliapier.submissions.model import chain_ms


class Rank(IntEnum):
    """Classes of submissions, first served first."""

    SERVING = 0
    IN_TIME = 1
    LATE = 2


def target_ms(progress):
    """Return the Unix ms by which a submission should be complete."""
    queue = progress.queue
    chain = chain_ms(progress.submission.steps)
    return progress.submission.accepted_ms + queue.stretch * chain + queue.target_ms


def order_key(progress, now_ms):
    """Return the sort key of a submission; the smallest is served first."""
    priority = progress.queue.priority
    if progress.submission.long_running:
        return (Rank.SERVING, priority, progress.submission.accepted_ms)
    due = target_ms(progress)
    if due < now_ms:
        return (Rank.LATE, priority, due)
    return (Rank.IN_TIME, priority, due - progress.remaining_steps_ms())
