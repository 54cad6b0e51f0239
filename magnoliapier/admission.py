"""
Admission control: refuse a request at once if it cannot be served in time.

The expected wait of a request depends on the work that its own organisation has
queued and on the slots that the organisation gets. So an organisation that sends too
much causes refusals only for itself.
"""

import math

from magnoliapier.reasons import REFUSALS, RefusalReason, RunState
from magnoliapier.request_tables import Refusal, WorkClass
from magnoliapier.scheduling import MAX_TRIALS

# The expected wait and run time together may use at most this share of the time to
# the deadline. Run times are estimates, and a request that ends too late wastes its
# slot. The share is smaller for short work, which has less time to make up for an
# error.
MAX_WAIT_SHARE_SHORT = 0.4
MAX_WAIT_SHARE_LONG = 0.7
# On a busy entry host, a queued request is refused instead of started if the time
# left is less than this share of its mean run time.
MIN_TIME_LEFT_SHARE = 1.0
# Completed runs after which the mean run time is used to refuse a queued request. It
# is less than PROVEN_RUNS because each request that starts but cannot end in time
# wastes a slot for a long time.
MIN_RUNS_TO_REFUSE = 3
MAX_RETRY_AFTER_S = 60


def expected_wait_s(queue, organisation, estimate, has_room):
    """
    Return the expected wait in seconds of a new request of an organisation.

    ``has_room`` tells whether an endpoint has a free slot in this entry host's share.
    """
    ahead_s = organisation.short_queued_s
    # Beyond MAX_TRIALS, requests whose kind is not proven short wait in the long queue.
    is_trial = not estimate.is_proven and len(organisation.trials) < MAX_TRIALS
    if estimate.work_class is WorkClass.LONG or not (estimate.is_proven or is_trial):
        ahead_s += organisation.long_queued_s
    if ahead_s <= 0.0 or (has_room and queue.queued == 0):
        return 0.0
    slots = max(queue.fair_slots(organisation), organisation.in_flight)
    return ahead_s / slots if slots > 0 else math.inf


def check_arrival(queue, request, has_room, now, random):
    """
    Return a Refusal if a new request cannot be served in time, or None.

    Retry-After is the time by which the wait is too long, plus a random part.
    """
    time_left_s = request.deadline - now
    if time_left_s <= 0:
        return refuse(request, RefusalReason.DEADLINE_PASSED)
    organisation = queue.organisations[request.organisation]
    estimate = queue.estimates.find(request)
    wait_s = expected_wait_s(queue, organisation, estimate, has_room)
    if wait_s <= 0.0:
        return None
    run_s = estimate.mean_s if estimate.is_proven else 0.0
    is_long = estimate.work_class is WorkClass.LONG
    share = MAX_WAIT_SHARE_LONG if is_long else MAX_WAIT_SHARE_SHORT
    excess_s = wait_s - max(share * time_left_s - run_s, 0.0)
    if excess_s <= 0.0:
        return None
    # The random part prevents refused callers from all repeating at the same time.
    seconds = min(excess_s, MAX_RETRY_AFTER_S) * (1 + random.random())
    retry_after_s = max(1, min(math.ceil(seconds), MAX_RETRY_AFTER_S))
    return refuse(request, RefusalReason.DEADLINE_UNREACHABLE, retry_after_s)


def lacks_time_to_run(queue, request, busy, now):
    """
    Return whether a queued request has too little time left to run.

    An entry host that is not ``busy`` starts it anyway, so that an estimate that is
    too long is corrected.
    """
    if not busy:
        return False
    estimate = queue.estimates.find(request)
    time_left_s = request.deadline - now
    return (
        estimate.runs >= MIN_RUNS_TO_REFUSE
        and time_left_s < MIN_TIME_LEFT_SHARE * estimate.mean_s
    )


def choose_request_to_drop(queues, request):
    """
    Return the request to refuse when the entry host's queue is full.

    At the service with the longest queue, it is the newest request of the organisation
    that has the most queued requests relative to its weight. It is ``request`` itself
    if its own organisation would then have at least as many.
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
    """Return a Refusal; Retry-After defaults to that of the reason."""
    if retry_after_s is None:
        retry_after_s = REFUSALS[reason].retry_after_s
    return Refusal(request, reason, run_state, retry_after_s)
