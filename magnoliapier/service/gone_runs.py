"""
Decides which runs of an endpoint are certainly gone, and why.

A run counts as gone only when that is certain: the endpoint leaves it out of a listing
that was requested after the run was settled, the endpoint has restarted, its host is
down and it does not answer, or its lease has lapsed on the slowest clock that the
platform allows. A run is settled once its start order cannot take effect any more.

The functions do no I/O and read no clock; the endpoint's session acts on what they
return. ``runs`` are LiveRuns, and ``incarnation`` is the EndpointIncarnation that the
session knows. Times are seconds on the monotonic clock.

Example::

    for live, reason in unlisted(runs, inspection, sent_at, incarnation, suspected):
        owner.run_gone(session, live, reason)
"""

import math

from magnoliapier.submissions.progress import RunState

# By how much the state in the platform's host list may be older than the list.
HOST_LIST_LAG_S = 2.0
START_SENDING_LIMIT_S = 10.0  # after a run is stored, its start is sent or given up


def unlisted(runs, inspection, sent_at, incarnation, restart_suspected):
    """
    Return (LiveRun, reason) of the runs that a listing proves to be gone.

    ``runs`` maps tasks and run numbers to the runs that are live after the ends in the
    listing were applied. The listing was requested at ``sent_at``. With
    ``restart_suspected``, calls that were sent before it may still be carried out.
    """
    if not inspection.lists_all_ends or restart_suspected:
        return []  # the run, or the end of one that is not listed, may come later
    listed = {(listed_run.task, listed_run.run) for listed_run in inspection.running}
    return [
        (live, _reason_unlisted(live, incarnation))
        for key, live in runs.items()
        if key not in listed and _was_settled(live, sent_at)
    ]


def _was_settled(live, sent_at):
    return live.settled_at is not None and live.settled_at < sent_at


def _reason_unlisted(live, incarnation):
    """Return why the endpoint does not list a run any more."""
    if live.incarnation not in (None, incarnation):
        return "endpoint_restarted"
    return live.run.stop_reason or "unlisted"


def crashed(runs, report, incarnation):
    """Return the runs that have certainly ended with a crash; see ended_with_crash."""
    return [
        live for live in runs.values() if ended_with_crash(live, report, incarnation)
    ]


def ended_with_crash(live, report, incarnation):
    """
    Return whether a run was there when its endpoint was last known to be up.

    ``report`` is a CrashReport and ``incarnation`` the one that is known. The endpoint
    may be up again under its id, with runs that began after the crash.
    """
    if live.incarnation is not None:
        first_listed_at = incarnation.first_listed_at
        return (
            live.incarnation is incarnation
            and first_listed_at is not None
            and first_listed_at <= report.last_up_at - HOST_LIST_LAG_S
        )
    if live.sent_at is not None or not live.run.ordered_ms:
        return False
    sent_by_ms = live.run.ordered_ms + START_SENDING_LIMIT_S * 1000
    return sent_by_ms <= report.last_up_ms - HOST_LIST_LAG_S * 1000


def lapsed(runs, lease, incarnation, listed, now):
    """
    Return the runs that have ended with the lease of the known incarnation.

    ``lease`` is the EndpointLease of an endpoint that does not answer, whose lease of
    that incarnation has lapsed; ``listed`` is whether the directory lists the endpoint.
    """
    return [
        live
        for live in runs.values()
        if not lease.may_run_on_unknown(live, incarnation, listed, now)
    ]


def began_after_its_stop(live, incarnation):
    """Return whether an incarnation lists a run that only another one stopped."""
    stopped = live.run.state == RunState.STOPPING and live.settled_at is not None
    return stopped and live.incarnation is not incarnation


def late_start_ends_s(live, now, unix_now_ms):
    """
    Return until when the start of a gone run may still be carried out.

    The time is in Unix seconds, rounded up; it is None if the start can't be carried
    out any more.
    """
    late_s = live.late_until - now
    if late_s <= 0:
        return None
    return math.ceil(unix_now_ms / 1000 + late_s)


def start_may_come_late(until, now, lease, failing):
    """
    Return whether a start that may be carried out late may still run on an endpoint.

    It may be carried out before ``until``. ``lease`` is the EndpointLease, ``failing``
    whether the endpoint does not answer.
    """
    if failing:
        until += lease.longest_s  # nobody can tell whether it was
    return now < until
