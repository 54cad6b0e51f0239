"""
Admission: refuse at once what would wait beyond its deadline.

The expected wait of a request follows from the work that its own organisation has
queued and the slots that the organisation gets, so an organisation's flood only
brings refusals to itself.
"""

import math

from magnoliapier.reasons import REFUSALS, RefusalReason, RunState
from magnoliapier.request_tables import Refusal, WorkClass
from magnoliapier.scheduling import MAX_TRIALS

# Waits are planned to use at most this share of the time to the deadline. Run
# times are estimates, and a request that ends too late wastes its slot. Short work
# has less time to make up for an error.
MAX_WAIT_SHARE_SHORT = 0.4
MAX_WAIT_SHARE_LONG = 0.7
# On a busy entry host a queued request is given up at its start if less than this
# share of its mean run time is left.
MIN_TIME_LEFT_SHARE = 1.0
# Fewer runs than prove a class, since each hopeless start wastes a slot for long.
MIN_RUNS_TO_REFUSE = 3
MAX_RETRY_AFTER_S = 60


def expected_wait_s(queue, organisation, estimate, has_room):
    """Return the expected wait in seconds of a new request of an organisation."""
    ahead = organisation.short_queued_s
    # Beyond a few trials, short work that is not proven short queues with the long
    # work.
    is_trial = not estimate.is_proven and len(organisation.trials) < MAX_TRIALS
    if estimate.work_class is WorkClass.LONG or not (estimate.is_proven or is_trial):
        ahead += organisation.long_queued_s
    if ahead <= 0.0 or (has_room and queue.queued == 0):
        return 0.0
    slots = max(queue.fair_slots(organisation), organisation.in_flight)
    return ahead / slots if slots > 0 else math.inf


def check_arrival(queue, request, has_room, now, random):
    """Return a Refusal of a request that cannot be served in time, or None."""
    left = request.deadline - now
    if left <= 0:
        return refuse(request, RefusalReason.DEADLINE_PASSED)
    organisation = queue.organisations[request.organisation]
    estimate = queue.estimates.find(request)
    wait = expected_wait_s(queue, organisation, estimate, has_room)
    if wait <= 0.0:
        return None
    run = estimate.mean_s if estimate.is_proven else 0.0
    long = estimate.work_class is WorkClass.LONG
    share = MAX_WAIT_SHARE_LONG if long else MAX_WAIT_SHARE_SHORT
    excess = wait - max(share * left - run, 0.0)
    if excess <= 0.0:
        return None
    # The random part spreads the callers who come back.
    seconds = min(excess, MAX_RETRY_AFTER_S) * (1 + random.random())
    retry_after = max(1, min(math.ceil(seconds), MAX_RETRY_AFTER_S))
    return refuse(request, RefusalReason.DEADLINE_UNREACHABLE, retry_after)


def lacks_time_to_run(queue, request, busy, now):
    """
    Return whether a request has too little time left to run.

    An entry host that is not ``busy`` lets it try, so that an estimate that is too
    long can be corrected.
    """
    if not busy:
        return False
    estimate = queue.estimates.find(request)
    left = request.deadline - now
    return (
        estimate.runs >= MIN_RUNS_TO_REFUSE
        and left < MIN_TIME_LEFT_SHARE * estimate.mean_s
    )


def choose_victim(queues, request):
    """
    Return the request that makes room for ``request`` in a full entry host.

    It is the newest of the organisation with the most queued requests for its
    weight at the service with the longest queue, or ``request`` itself.
    """
    queue = max(queues.values(), key=lambda queue: queue.queued)
    organisation = max(
        queue.organisations.values(), key=lambda entry: entry.queued / entry.weight
    )
    own_queue = queues[request.service]
    own = own_queue.organisations[request.organisation]
    if organisation.queued / organisation.weight <= (own.queued + 1) / own.weight:
        return request
    return queue.newest(organisation)


def refuse(request, reason, retry_after_s=None, run_state=RunState.NOT_RUN):
    """Return a Refusal with the reason's own Retry-After unless one is given."""
    if retry_after_s is None:
        retry_after_s = REFUSALS[reason].retry_after_s
    return Refusal(request, reason, run_state, retry_after_s)
