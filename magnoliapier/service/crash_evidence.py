"""Tells which runs have certainly ended with the crash of an endpoint."""

# By how much the state in the platform's host list may be older than the list.
HOST_LIST_LAG_S = 2.0
START_SENDING_LIMIT_S = 10.0  # after a run is stored, its start is sent or given up


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
