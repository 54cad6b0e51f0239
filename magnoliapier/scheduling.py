"""
Queue the requests of one service and decide which one starts next.

Organisations share a service by start-time fair queueing in slot-seconds. Short work
has priority over all long work as long as its organisation uses no more than its fair
share of slots for short work. Beyond that it competes by the organisation's total use.
Long work may not use the slots reserved for short work. docs/decisions/scheduling.md
compares the alternatives with figures.
"""

import heapq
import itertools
import math
from collections import OrderedDict
from dataclasses import dataclass, field

from magnoliapier.request_tables import RequestEntry, WorkClass

SHORT, LONG = WorkClass.SHORT, WorkClass.LONG
# Requests whose kind is not yet proven short that each organisation may have queued or
# in flight as short work at once. Two are enough to learn a kind within a few run
# times.
MAX_TRIALS = 2
# The reserve covers this quantile of the demand for short work, averaged over
# DEMAND_WINDOW_S, so that slots stay reserved during the pauses between bursts.
RESERVE_QUANTILE = 0.95
# Time scale in seconds on which the quantile is learned.
RESERVE_LEARNING_S = 4.0
# Standard deviations that are added to the reserve.
RESERVE_DEVIATIONS = 1.5
# By how many standard deviations random arrivals alone raise the RESERVE_QUANTILE of
# the demand. For a sum of Poisson arrivals with exponentially decaying weights this is
# sqrt(1/2) = 0.7 times the normal quantile 1.64. The value used here is higher because
# run times vary.
NOISE_DEVIATIONS = 1.4
# Averaging windows of the recent demand and of its mean, and the lower limit of both
# while they fill.
DEMAND_WINDOW_S = 3.0
MEAN_WINDOW_S = 30.0
MIN_WINDOW_S = 0.2
# For RESERVE_MEMORY_S after short work was queued, all entry hosts together reserve at
# least MIN_RESERVE slots of the service.
RESERVE_MEMORY_S = 30.0
MIN_RESERVE = 2.0
# A request that runs longer than expected is charged each time its run time has grown
# by this factor.
OVERDUE_CHECK_FACTOR = 2.0
# An organisation whose queue was empty starts again with a use that is at most this
# many seconds of its fair share below the mean of all organisations.
MAX_CREDIT_S = 10.0
# At most this many short requests of an organisation are tried when a slot can be
# borrowed, so that a request that may not borrow does not block those behind it.
MAX_LOOK_AHEAD = 8
# Total run time assumed for a request that timed out, as a multiple of its time so far.
# The endpoint does not notice the timeout and ends the request at an unknown time.
TIMED_OUT_FACTOR = 3.0


@dataclass(eq=False, slots=True)
class OrganisationQueue:
    """
    The queued and in-flight requests of one organisation at one service.

    ``short`` and ``long`` are its queues by request id, and ``kinds`` holds the
    requests of the long queue by kind. ``short_queued_s`` and ``long_queued_s`` are the
    sums of the estimated run times of the queued requests.

    The tags are slot-seconds divided by the weight: ``use_tag`` is the use of the
    service so far, ``pending_tag`` the further use expected of requests in flight, and
    ``short_tag`` the use by short work alone. ``short_demand`` is the recent short work
    in slot-seconds, decaying over time.

    ``overdue`` counts requests in flight that started as short work and exceeded the
    run time ``threshold_s`` of the estimates. ``trials`` holds the ids of requests that
    are queued or run as short work although their kind is not proven. ``version``
    changes with every update of the heaps.
    """

    name: str
    weight: float
    short: OrderedDict = field(default_factory=OrderedDict)
    long: OrderedDict = field(default_factory=OrderedDict)
    kinds: dict = field(default_factory=dict)
    use_tag: float = 0.0
    pending_tag: float = 0.0
    short_tag: float = 0.0
    short_in_flight: int = 0
    long_in_flight: int = 0
    overdue: int = 0
    trials: set = field(default_factory=set)
    short_queued_s: float = 0.0
    long_queued_s: float = 0.0
    short_demand: float = 0.0
    version: int = 0
    active: bool = False

    @property
    def order_tag(self):
        """The use that decides the order of organisations; the lowest comes first."""
        return self.use_tag + self.pending_tag

    @property
    def queued(self):
        """The number of queued requests."""
        return len(self.short) + len(self.long)

    @property
    def in_flight(self):
        """The number of requests in flight."""
        return self.short_in_flight + self.long_in_flight + self.overdue


@dataclass(eq=False, slots=True)
class Attempt:
    """
    One attempt to serve a request: the request is in flight to an endpoint.

    ``counter`` names the counter of its organisation that includes it:
    ``short_in_flight``, ``long_in_flight`` or ``overdue``. ``charged_s`` is the
    slot-seconds charged so far, ``short_charged_s`` those charged as short work, and
    ``pending_s`` the further ones that are expected. ``check_at`` is the next time at
    which it is checked for running longer than expected, or infinity once it has ended.
    """

    request: RequestEntry
    organisation: OrganisationQueue
    estimate: object
    counter: str
    started: float
    charged_s: float = 0.0
    short_charged_s: float = 0.0
    pending_s: float = 0.0
    check_at: float = math.inf
    endpoint: object = None
    service: object = None


class ServiceQueue:
    """
    The queue of one service, with constant or logarithmic cost per request.

    Three heaps hold organisations. The first holds those whose short work has priority,
    ordered by ``short_tag``. The others hold those with short work and those with long
    work, both ordered by ``order_tag``. Each entry carries the organisation's version
    and is skipped once the version has changed.

    ``slots`` is the number of slots that this entry host may use and ``all_slots`` the
    number of slots of the service. ``rank`` is the number of entry hosts whose names
    sort before this one's. ``reserve`` is the number of slots that only short work may
    use.
    """

    def __init__(self, estimates):
        self.estimates = estimates
        self.organisations = {}
        self.queued = 0
        self.slots = 0
        self.all_slots = 0
        self.rank = 0
        self.reserve = 0
        self.long_in_flight = 0
        self._active_weight = 0.0
        # Virtual times of start-time fair queueing: the highest ``use_tag`` at which
        # long work started, and the highest ``short_tag`` at which short work started.
        self._virtual_use = 0.0
        self._mean_use = 0.0
        self._virtual_short = 0.0
        self._priority_heap = []
        self._short_heap = []
        self._long_heap = []
        self._overdue_checks = []
        self._timed_out_ends = []
        self._deadline_heap = []
        self._sequence = itertools.count()
        self._last_short_at = -math.inf
        self._reserve_updated_at = None
        self._short_work_age_s = 0.0
        self._mean_short_demand = 0.0
        self._high_short_demand = 0.0
        self._mean_short_s = 0.0

    # Organisations.

    def set_organisations(self, weights):
        """
        Set the weights of organisations.

        An organisation that is not in ``weights`` is dropped once it has no work.
        """
        for name, weight in weights.items():
            organisation = self.organisations.get(name)
            if organisation is None:
                self.organisations[name] = OrganisationQueue(name, weight)
            else:
                if organisation.active:
                    self._active_weight += weight - organisation.weight
                organisation.weight = weight
        for name in list(self.organisations):
            organisation = self.organisations[name]
            if name not in weights and not organisation.active:
                del self.organisations[name]

    def fair_slots(self, organisation):
        """
        Return an organisation's fair share of the slots, which may be fractional.

        The slots are divided by weight among the active organisations and this one.
        """
        active = self._active_weight
        if not organisation.active:
            active += organisation.weight
        return self.slots * organisation.weight / active

    def _activate(self, organisation):
        if not organisation.active:
            organisation.active = True
            self._active_weight += organisation.weight
        if not organisation.queued:
            # An organisation must not accumulate credit while it has no work.
            credit = MAX_CREDIT_S * self.slots / self._active_weight
            floor = max(self._virtual_use, self._mean_use - credit)
            organisation.use_tag = max(organisation.use_tag, floor)
            organisation.short_tag = max(organisation.short_tag, self._virtual_short)

    def _update_heaps(self, organisation):
        """Push an organisation to the heaps again after its state changed."""
        organisation.version += 1
        if not organisation.queued:
            if organisation.active and not organisation.in_flight:
                organisation.active = False
                self._active_weight -= organisation.weight
            return
        version, sequence = organisation.version, next(self._sequence)
        if organisation.short:
            if self._has_priority(organisation):
                entry = (organisation.short_tag, sequence, version, organisation)
                heapq.heappush(self._priority_heap, entry)
            entry = (organisation.order_tag, sequence, version, organisation)
            heapq.heappush(self._short_heap, entry)
        if organisation.long:
            entry = (organisation.order_tag, sequence, version, organisation)
            heapq.heappush(self._long_heap, entry)
        limit = 4 * len(self.organisations) + 64
        for heap in (self._priority_heap, self._short_heap, self._long_heap):
            if len(heap) > limit:
                heap[:] = [entry for entry in heap if entry[2] == entry[3].version]
                heapq.heapify(heap)

    def _has_priority(self, organisation):
        used = organisation.short_in_flight + organisation.overdue
        return used < max(self.fair_slots(organisation), 1.0)

    def _first_current(self, heap):
        while heap and heap[0][2] != heap[0][3].version:
            heapq.heappop(heap)
        return heap[0][3] if heap else None

    # Queueing.

    def add(self, request, now, first=False):
        """Queue a request by its learned class, at the front if ``first`` is true."""
        organisation = self.organisations[request.organisation]
        self._activate(organisation)
        estimate = self.estimates.find(request)
        request.estimate_s = estimate.mean_s
        request.work_class = estimate.work_class
        self._insert(organisation, request, estimate, first)
        self.queued += 1
        if request.work_class is SHORT:
            self._last_short_at = now
            if request.attempts == 0:
                organisation.short_demand += request.estimate_s
                self._mean_short_s += 0.01 * (request.estimate_s - self._mean_short_s)
        entry = (request.deadline, next(self._sequence), request)
        heapq.heappush(self._deadline_heap, entry)
        if len(self._deadline_heap) > 2 * self.queued + 1024:
            self._deadline_heap = [
                e for e in self._deadline_heap if self._is_queued(e[2])
            ]
            heapq.heapify(self._deadline_heap)
        self._update_heaps(organisation)

    def _insert(self, organisation, request, estimate, first=False):
        short = request.work_class is SHORT
        if short and not estimate.is_proven:
            short = len(organisation.trials) < MAX_TRIALS
            if short:
                organisation.trials.add(request.request_id)
        queue = organisation.short if short else organisation.long
        queue[request.request_id] = request
        if first:
            queue.move_to_end(request.request_id, last=False)
        if short:
            organisation.short_queued_s += request.estimate_s
        else:
            organisation.long_queued_s += request.estimate_s
            kind = (request.declared_class, request.kind)
            organisation.kinds.setdefault(kind, {})[request.request_id] = request

    def _is_queued(self, request):
        organisation = self.organisations.get(request.organisation)
        if organisation is None:
            return False
        name = request.request_id
        return (
            organisation.short.get(name) is request
            or organisation.long.get(name) is request
        )

    def _remove_from_queues(self, organisation, request):
        """Remove a request from its organisation's queues."""
        name = request.request_id
        if organisation.short.pop(name, None) is not None:
            organisation.short_queued_s -= request.estimate_s
            if not organisation.short:
                organisation.short_queued_s = 0.0
            return
        del organisation.long[name]
        organisation.long_queued_s -= request.estimate_s
        if not organisation.long:
            organisation.long_queued_s = 0.0
        kind = (request.declared_class, request.kind)
        waiting = organisation.kinds[kind]
        del waiting[name]
        if not waiting:
            del organisation.kinds[kind]

    def remove(self, request):
        """Remove a request; return whether it was queued."""
        if not self._is_queued(request):
            return False
        organisation = self.organisations[request.organisation]
        self._discard(organisation, request)
        self._update_heaps(organisation)
        return True

    def _discard(self, organisation, request):
        organisation.trials.discard(request.request_id)
        self._remove_from_queues(organisation, request)
        self.queued -= 1

    def newest(self, organisation):
        """
        Return the request that an organisation loses when the queue is full.

        It is the newest of its long queue, or of its short queue if that is empty.
        """
        queue = organisation.long or organisation.short
        return next(reversed(queue.values()))

    def expire(self, now):
        """Remove and return the queued requests whose deadline has passed."""
        expired = []
        while self._deadline_heap and self._deadline_heap[0][0] <= now:
            request = heapq.heappop(self._deadline_heap)[2]
            if self.remove(request):
                expired.append(request)
        return expired

    # Starting.

    def long_may_start(self):
        """Return whether a slot outside the reserve is free for long work."""
        return self.long_in_flight < max(self.slots - self.reserve, min(self.slots, 1))

    def next_priority_request(self, allows=None):
        """
        Return the next short request with priority, or None.

        If ``allows`` is given, it must return true for the request. An organisation is
        skipped until its state changes if ``allows`` rejects its first MAX_LOOK_AHEAD
        short requests.
        """
        while (organisation := self._first_current(self._priority_heap)) is not None:
            if not self._has_priority(organisation):
                heapq.heappop(self._priority_heap)
                continue
            request = self._first_short(organisation)
            if request is None:
                continue
            if allows is None:
                return request
            for candidate in itertools.islice(
                organisation.short.values(), MAX_LOOK_AHEAD
            ):
                if allows(candidate):
                    return candidate
            heapq.heappop(self._priority_heap)
        return None

    def next_request(self):
        """Return the request that should start next, or None. It remains queued."""
        request = self.next_priority_request()
        if request is not None:
            return request
        long = self._first_current(self._long_heap) if self.long_may_start() else None
        while (short := self._first_current(self._short_heap)) is not None:
            if long is not None and long.order_tag < short.order_tag:
                break
            request = self._first_short(short)
            if request is not None:
                return request
            long = (
                self._first_current(self._long_heap) if self.long_may_start() else None
            )
        if long is None:
            return None
        return next(iter(long.long.values()))

    def _first_short(self, organisation):
        """
        Return the first request of an organisation's short queue if it is still short.

        If its kind was found to be long in the meantime, move it to the long queue and
        return None.
        """
        request = next(iter(organisation.short.values()))
        estimate = self.estimates.find(request)
        if estimate.work_class is SHORT:
            return request
        organisation.trials.discard(request.request_id)
        self._remove_from_queues(organisation, request)
        request.work_class = LONG
        request.estimate_s = estimate.mean_s
        self._insert(organisation, request, estimate)
        self._update_heaps(organisation)
        return None

    def start(self, request, now):
        """Move a request from the queue to in flight; return its :class:`Attempt`."""
        organisation = self.organisations[request.organisation]
        estimate = self.estimates.find(request)
        was_short = request.request_id in organisation.short
        self._remove_from_queues(organisation, request)
        self.queued -= 1
        cost_s = estimate.mean_s
        counter = "short_in_flight" if was_short else "long_in_flight"
        attempt = Attempt(request, organisation, estimate, counter, now)
        if was_short:
            self._virtual_short = max(self._virtual_short, organisation.short_tag)
            attempt.check_at = now + self.estimates.threshold_s
        else:
            self.long_in_flight += 1
            self._virtual_use = max(self._virtual_use, organisation.use_tag)
            attempt.check_at = now + max(
                OVERDUE_CHECK_FACTOR * cost_s, self.estimates.threshold_s
            )
        heapq.heappush(
            self._overdue_checks, (attempt.check_at, next(self._sequence), attempt)
        )
        setattr(organisation, counter, getattr(organisation, counter) + 1)
        self._set_expected_use(attempt, cost_s)
        if was_short:
            self._charge_short(attempt, cost_s)
        self._update_heaps(organisation)
        return attempt

    def _set_expected_use(self, attempt, seconds):
        """Set the further slot-seconds that a request is expected to use."""
        organisation = attempt.organisation
        organisation.pending_tag += (seconds - attempt.pending_s) / organisation.weight
        attempt.pending_s = seconds

    def _charge_short(self, attempt, seconds):
        """Charge short work of a request up to ``seconds`` slot-seconds in total."""
        organisation = attempt.organisation
        part = (seconds - attempt.short_charged_s) / organisation.weight
        attempt.short_charged_s = seconds
        organisation.short_tag += part

    def _charge_use(self, attempt, seconds):
        """Charge a request up to ``seconds`` slot-seconds in total."""
        organisation = attempt.organisation
        part = (seconds - attempt.charged_s) / organisation.weight
        attempt.charged_s = seconds
        organisation.use_tag += part
        if self._active_weight > 0:
            self._mean_use += part * organisation.weight / self._active_weight
        if attempt.counter != "long_in_flight":
            self._charge_short(attempt, seconds)

    # Running and ending.

    def check_overdue(self, now):
        """
        Charge requests that run longer than expected, and count short ones as overdue.

        Timed-out requests stop counting as long work once their assumed run time ends.
        """
        while self._timed_out_ends and self._timed_out_ends[0] <= now:
            heapq.heappop(self._timed_out_ends)
            self.long_in_flight -= 1
        while self._overdue_checks and self._overdue_checks[0][0] <= now:
            _, _, attempt = heapq.heappop(self._overdue_checks)
            if attempt.check_at == math.inf:
                continue
            organisation = attempt.organisation
            elapsed = now - attempt.started
            if attempt.counter == "short_in_flight":
                attempt.counter = "overdue"
                organisation.short_in_flight -= 1
                organisation.overdue += 1
                self.long_in_flight += 1
                attempt.estimate.add_class_sample(True)
            self._charge_use(attempt, elapsed)
            # A request that exceeds its estimate is expected to need as long again.
            self._set_expected_use(attempt, elapsed)
            attempt.check_at = now + elapsed * (OVERDUE_CHECK_FACTOR - 1)
            entry = (attempt.check_at, next(self._sequence), attempt)
            heapq.heappush(self._overdue_checks, entry)
            self._update_heaps(organisation)

    def end(self, attempt, now, ran, timed_out=False):
        """
        Record the end of a request in flight and learn its run time.

        ``ran`` tells whether it ran to its end. A request that ``timed_out`` may still
        run on its endpoint, so it counts as long work for some more time.
        """
        organisation, estimate = attempt.organisation, attempt.estimate
        attempt.check_at = math.inf
        elapsed = now - attempt.started
        if timed_out:
            elapsed *= TIMED_OUT_FACTOR
        self._charge_use(attempt, elapsed)
        self._set_expected_use(attempt, 0.0)
        counter = attempt.counter
        setattr(organisation, counter, getattr(organisation, counter) - 1)
        if counter != "short_in_flight":
            self.long_in_flight -= 1
        if timed_out:
            self.long_in_flight += 1
            remaining_s = elapsed * (1 - 1 / TIMED_OUT_FACTOR)
            heapq.heappush(self._timed_out_ends, now + remaining_s)
        organisation.trials.discard(attempt.request.request_id)
        if ran or timed_out:
            known_short = estimate.is_proven and estimate.work_class is SHORT
            if counter != "overdue":
                estimate.add_class_sample(elapsed > self.estimates.threshold_s)
            estimate.add_run(elapsed)
            if not known_short and estimate.is_proven:
                self._move_kind_to_short(organisation, attempt.request, estimate)
        self._start_trials(organisation, attempt.request, estimate)
        self._update_heaps(organisation)

    def _move_kind_to_short(self, organisation, request, estimate):
        """Move the queued requests of a kind found to be short to the short queue."""
        if estimate.work_class is not SHORT:
            return
        kind = (request.declared_class, request.kind)
        for waiting in list(organisation.kinds.get(kind, {}).values()):
            self._remove_from_queues(organisation, waiting)
            waiting.work_class = SHORT
            waiting.estimate_s = estimate.mean_s
            self._insert(organisation, waiting, estimate)

    def _start_trials(self, organisation, request, estimate):
        """Move requests of a kind that is not proven to the short queue as trials."""
        if estimate.is_proven or estimate.work_class is not SHORT:
            return
        kind = (request.declared_class, request.kind)
        while len(organisation.trials) < MAX_TRIALS and organisation.kinds.get(kind):
            waiting = next(iter(organisation.kinds[kind].values()))
            self._remove_from_queues(organisation, waiting)
            # The request may have been queued as long before its kind had any class
            # sample. With its class unchanged it would return to the long queue, and
            # this loop would not end.
            waiting.work_class = SHORT
            waiting.estimate_s = estimate.mean_s
            self._insert(organisation, waiting, estimate)

    # The reserve.

    def update_reserve(self, now):
        """Set the slots reserved for short work from the recent demand for it."""
        elapsed = (
            0.0 if self._reserve_updated_at is None else now - self._reserve_updated_at
        )
        self._reserve_updated_at = now
        has_recent_short_work = now - self._last_short_at < RESERVE_MEMORY_S
        # The averaging windows start empty, also after RESERVE_MEMORY_S without short
        # work.
        self._short_work_age_s = (
            self._short_work_age_s + elapsed if has_recent_short_work else 0.0
        )
        self._update_demand_statistics(self._measure_demand(elapsed), elapsed)
        mean = self._mean_short_demand
        share_count = max(self.all_slots / self.slots, 1.0) if self.slots else 1.0
        # Random variation of one entry host's arrivals averages out over all entry
        # hosts, so only the part of the high demand above it counts as bursts.
        noise = NOISE_DEVIATIONS * math.sqrt(
            mean * self._mean_short_s / DEMAND_WINDOW_S
        )
        reserve = max(self._high_short_demand - noise, mean)
        # Entry hosts share the reserve, because short work may borrow slots of others.
        reserve += RESERVE_DEVIATIONS * math.sqrt(reserve / share_count)
        if has_recent_short_work:
            reserve = max(reserve, MIN_RESERVE / share_count)
        # Round so that the reserves of entry hosts with consecutive ranks add up.
        reserved_slots = math.floor((self.rank + 1) * reserve) - math.floor(
            self.rank * reserve
        )
        self.reserve = min(reserved_slots, max(self.slots - 1, 0))

    def _measure_demand(self, elapsed):
        """
        Return the recent demand for short work in slots.

        Each organisation counts with at most its fair share of slots.
        """
        decay = math.exp(-elapsed / DEMAND_WINDOW_S)
        window = DEMAND_WINDOW_S * (
            1 - math.exp(-self._short_work_age_s / DEMAND_WINDOW_S)
        )
        demand = 0.0
        for organisation in self.organisations.values():
            recent = organisation.short_demand
            if recent > 0.0:
                slots = recent / max(window, MIN_WINDOW_S)
                demand += min(slots, self.fair_slots(organisation))
                organisation.short_demand = recent * decay if slots > 0.001 else 0.0
        return demand

    def _update_demand_statistics(self, demand, elapsed):
        """Update the mean and the RESERVE_QUANTILE of the demand for short work."""
        weight = elapsed / max(min(MEAN_WINDOW_S, self._short_work_age_s), MIN_WINDOW_S)
        self._mean_short_demand += (demand - self._mean_short_demand) * min(weight, 1.0)
        step = max(self._mean_short_demand, 0.1) * elapsed / RESERVE_LEARNING_S
        above = demand > self._high_short_demand
        self._high_short_demand += step * (
            RESERVE_QUANTILE if above else RESERVE_QUANTILE - 1
        )
        self._high_short_demand = max(self._high_short_demand, self._mean_short_demand)
