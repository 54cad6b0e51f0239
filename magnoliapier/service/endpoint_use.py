"""What keeps the endpoints of a shard from getting new runs, for metrics."""

from collections import Counter
from enum import StrEnum


class EndpointUse(StrEnum):
    """Whether new runs may be placed on an endpoint, and why not."""

    USABLE = "usable"
    ROOM_MISCOUNTED = (
        "room_miscounted"  # runs nothing, yet not all of it counts as free
    )
    UNOPENED = "unopened"  # it has not answered this holder yet
    UNLISTED = "unlisted"
    RESTART_SUSPECTED = "restart_suspected"
    RECORD_OUTDATED = "record_outdated"  # it is of another incarnation
    DRAINING = "draining"
    RELEASED = "released"
    LEAVING = "leaving"
    FAILING = "failing"  # it does not answer
    BLOCKED = "blocked"  # for a moment, after a refused or unanswered start


def count_uses(sessions, now):
    """
    Return how many of the sessions' endpoints have each EndpointUse, 0 included.

    ``now`` is a monotonic time in seconds.
    """
    counts = Counter(dict.fromkeys(EndpointUse, 0))
    counts.update(_use_of(session, now) for session in sessions)
    return counts


def _use_of(session, now):
    use = session.use(now)
    if use != EndpointUse.USABLE or session.live:
        return use
    if session.room.as_resources() != session.record.capacity:
        return EndpointUse.ROOM_MISCOUNTED
    return use
