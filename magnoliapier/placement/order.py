"""
The order in which submissions are served when a burst exceeds the pool.

Serving the most urgent submission first would make every submission of a long burst
late. Submissions with enough slack therefore come first, by due time; those that may
just miss their due time come next, most slack first; late ones come last, smallest
first. A submission that has started counts as late only once its due time has passed.
Long-running submissions come before all others. Within each of these classes, queues
with a smaller ``priority`` number come first.
"""

from enum import IntEnum

MIN_SLACK_SHARE = 0.2  # of the remaining duration, in case tasks take longer


class Rank(IntEnum):
    """Classes of submissions, in the order in which they are served."""

    SERVING = 0
    IN_TIME = 1
    AT_RISK = 2
    LATE = 3


# After those of all ranks: a submission whose place in the order can't be computed.
LAST_KEY = (len(Rank), 0, 0)


def due_ms(progress, durations):
    """Return the time by which a submission should be complete, in Unix ms."""
    queue = progress.queue
    critical_path_ms = durations.critical_path_ms(queue.name, progress.submission.steps)
    accepted_ms = progress.submission.accepted_ms
    return accepted_ms + queue.stretch * critical_path_ms + queue.target_ms


def order_key(progress, durations, now_ms):
    """Return the sort key of a submission; the smallest key is served first."""
    submission = progress.submission
    priority = progress.queue.priority
    if submission.long_running:
        return (Rank.SERVING, priority, submission.accepted_ms)
    remaining_ms = durations.critical_path_ms(
        progress.queue.name, submission.steps, progress.done_steps()
    )
    due_at_ms = due_ms(progress, durations)
    slack_ms = due_at_ms - now_ms - remaining_ms
    if slack_ms >= MIN_SLACK_SHARE * remaining_ms:
        return (Rank.IN_TIME, priority, due_at_ms)
    if slack_ms >= 0 or (progress.started and due_at_ms >= now_ms):
        return (Rank.AT_RISK, priority, -slack_ms)
    return (Rank.LATE, priority, progress.remaining_millicores())
