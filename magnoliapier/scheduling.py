"""
The queue of one service: which request starts next.

Organisations share a service by start-time fair queueing in slot-seconds. Short
work of an organisation that uses no more than its fair share of slots for it goes
before all long work; beyond that it competes by the organisation's whole use. Long
work may not use the slots reserved for short work. docs/decisions/scheduling.md
gives the alternatives and their figures.
"""

import heapq
import itertools
import math
from collections import OrderedDict
from dataclasses import dataclass, field

from magnoliapier.request_tables import RequestEntry, WorkClass

SHORT, LONG = WorkClass.SHORT, WorkClass.LONG
# Requests of a kind not yet proven short that may be queued or run as short work
# at once per organisation; enough to learn a kind within a few run times.
MAX_TRIALS = 2
# The reserve covers the demand of short work, averaged over DEMAND_WINDOW_S, for
# this share of the time, so that it is kept through the pauses between bursts.
RESERVE_QUANTILE = 0.95
RESERVE_LEARNING_S = 4.0
RESERVE_DEVIATIONS = 1.5
# Of a sum of Poisson arrivals with decaying weights, at RESERVE_SHARE; the root of
# a half is 0.7 and the quantile 1.64, and run times vary.
NOISE_DEVIATIONS = 1.4
DEMAND_WINDOW_S = 3.0
MEAN_WINDOW_S = 30.0
MIN_WINDOW_S = 0.2
# Short work seen within this time keeps this many slots of the service in reserve.
RESERVE_MEMORY_S = 30.0
MIN_RESERVE = 2.0
# Overdue requests are charged again each time their run time doubles.
OVERDUE_CHECK_FACTOR = 2.0
# An organisation that returns keeps a claim to at most these seconds of its fair
# share, from when others had more.
MAX_CREDIT_S = 10.0
# Requests that may not borrow slots must not keep those behind them from it.
MAX_LOOK_AHEAD = 8
# What a request that was given up is taken to need in all, in parts of its time so
# far. It ends at an unknown time, on an endpoint that does not notice.
TIMED_OUT_FACTOR = 3.0


@dataclass(eq=False, slots=True)
class OrganisationQueue:
    """
    What one organisation has queued and in flight at one service.

    ``use_tag`` is its use of the service in slot-seconds over its weight so far,
    ``pending_tag`` what its requests in flight are expected to use yet, and
    ``short_tag`` its use by short work alone. ``overdue`` counts requests in flight
    that started as short work and outlived it.
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
        """The use by which organisations take turns."""
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
class InFlightRequest:
    """
    A request in flight.

    ``counted`` is the counter of its organisation that it is part of, and
    ``charged_s`` the slot-seconds charged so far, ``pending_s`` those expected yet.
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

    Three heaps hold organisations: by short_tag those whose short work has
    priority, by use_tag those with short work and those with long work. Entries
    carry the organisation's version and are skipped once it changed.
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
        self._mean_demand = 0.0
        self._high_demand = 0.0
        self._mean_short_s = 0.0

    # Organisations.

    def set_organisations(self, weights):
        """Take the weights of organisations; those without work are dropped."""
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
        """Return the slots that an organisation may use while all others want all."""
        active = self._active_weight
        if not organisation.active:
            active += organisation.weight
        return self.slots * organisation.weight / active

    def _activate(self, organisation):
        if not organisation.active:
            organisation.active = True
            self._active_weight += organisation.weight
        if not organisation.queued:
            # Nobody saves up a claim to slots from a time without work.
            credit = MAX_CREDIT_S * self.slots / self._active_weight
            floor = max(self._virtual_use, self._mean_use - credit)
            organisation.use_tag = max(organisation.use_tag, floor)
            organisation.short_tag = max(organisation.short_tag, self._virtual_short)

    def _update_heaps(self, organisation):
        """Put an organisation back into the heaps after a change of its state."""
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
        """Queue a request by its learned class; ``first`` puts it in front."""
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
        """Take a request out of its organisation's queues."""
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
        """Drop a queued request; return whether it was queued."""
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
        """Return the request that an organisation loses when the queue is full."""
        queue = organisation.long or organisation.short
        return next(reversed(queue.values()))

    def expire(self, now):
        """Drop and return the queued requests whose deadline has passed."""
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

        An organisation whose first LOOK_AHEAD ones ``allows`` rejects is passed over
        until its state changes.
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
        """Return the request that should start next, or None; it stays queued."""
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
        Return an organisation's first short request, or None.

        A request whose kind was found to be long meanwhile moves to the long queue.
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
        """Take a queued request for its start and return its :class:`Flight`."""
        organisation = self.organisations[request.organisation]
        estimate = self.estimates.find(request)
        was_short = request.request_id in organisation.short
        self._remove_from_queues(organisation, request)
        self.queued -= 1
        cost_s = estimate.mean_s
        counter = "short_in_flight" if was_short else "long_in_flight"
        flight = InFlightRequest(request, organisation, estimate, counter, now)
        if was_short:
            self._virtual_short = max(self._virtual_short, organisation.short_tag)
            flight.check_at = now + self.estimates.threshold_s
        else:
            self.long_in_flight += 1
            self._virtual_use = max(self._virtual_use, organisation.use_tag)
            flight.check_at = now + max(
                OVERDUE_CHECK_FACTOR * cost_s, self.estimates.threshold_s
            )
        heapq.heappush(
            self._overdue_checks, (flight.check_at, next(self._sequence), flight)
        )
        setattr(organisation, counter, getattr(organisation, counter) + 1)
        self._set_expected_use(flight, cost_s)
        if was_short:
            self._charge_short(flight, cost_s)
        self._update_heaps(organisation)
        return flight

    def _set_expected_use(self, flight, seconds):
        """Replace the slot-seconds that a request is expected to use yet."""
        organisation = flight.organisation
        organisation.pending_tag += (seconds - flight.pending_s) / organisation.weight
        flight.pending_s = seconds

    def _charge_short(self, flight, seconds):
        """Charge an organisation's short work up to the given slot-seconds."""
        organisation = flight.organisation
        part = (seconds - flight.short_charged_s) / organisation.weight
        flight.short_charged_s = seconds
        organisation.short_tag += part

    def _charge_use(self, flight, seconds):
        """Charge an organisation for the slot-seconds used up to now."""
        organisation = flight.organisation
        part = (seconds - flight.charged_s) / organisation.weight
        flight.charged_s = seconds
        organisation.use_tag += part
        if self._active_weight > 0:
            self._mean_use += part * organisation.weight / self._active_weight
        if flight.counter != "long_in_flight":
            self._charge_short(flight, seconds)

    # Running and ending.

    def check_overdue(self, now):
        """Reclassify and charge the requests that outlived their class."""
        while self._timed_out_ends and self._timed_out_ends[0] <= now:
            heapq.heappop(self._timed_out_ends)
            self.long_in_flight -= 1
        while self._overdue_checks and self._overdue_checks[0][0] <= now:
            _, _, flight = heapq.heappop(self._overdue_checks)
            if flight.check_at == math.inf:
                continue
            organisation = flight.organisation
            elapsed = now - flight.started
            if flight.counter == "short_in_flight":
                flight.counter = "overdue"
                organisation.short_in_flight -= 1
                organisation.overdue += 1
                self.long_in_flight += 1
                flight.estimate.add_class_sample(True)
            self._charge_use(flight, elapsed)
            # A request that outlived its estimate is taken to need as long again.
            self._set_expected_use(flight, elapsed)
            flight.check_at = now + elapsed * (OVERDUE_CHECK_FACTOR - 1)
            entry = (flight.check_at, next(self._sequence), flight)
            heapq.heappush(self._overdue_checks, entry)
            self._update_heaps(organisation)

    def end(self, flight, now, ran, timed_out=False):
        """
        Count the end of a request in flight.

        ``ran`` says that it ran to its end. One that was ``given_up`` still runs on
        its endpoint and counts as long work for some more time.
        """
        organisation, estimate = flight.organisation, flight.estimate
        flight.check_at = math.inf
        elapsed = now - flight.started
        if timed_out:
            elapsed *= TIMED_OUT_FACTOR
        self._charge_use(flight, elapsed)
        self._set_expected_use(flight, 0.0)
        counter = flight.counter
        setattr(organisation, counter, getattr(organisation, counter) - 1)
        if counter != "short_in_flight":
            self.long_in_flight -= 1
        if timed_out:
            self.long_in_flight += 1
            remaining_s = elapsed * (1 - 1 / TIMED_OUT_FACTOR)
            heapq.heappush(self._timed_out_ends, now + remaining_s)
        organisation.trials.discard(flight.request.request_id)
        if ran or timed_out:
            known_short = estimate.is_proven and estimate.work_class is SHORT
            if counter != "overdue":
                estimate.add_class_sample(elapsed > self.estimates.threshold_s)
            estimate.add_run(elapsed)
            if not known_short and estimate.is_proven:
                self._move_kind_to_short(organisation, flight.request, estimate)
        self._start_trials(organisation, flight.request, estimate)
        self._update_heaps(organisation)

    def _move_kind_to_short(self, organisation, request, estimate):
        """Move the queued requests of a kind that was found to be short."""
        if estimate.work_class is not SHORT:
            return
        kind = (request.declared_class, request.kind)
        for waiting in list(organisation.kinds.get(kind, {}).values()):
            self._remove_from_queues(organisation, waiting)
            waiting.work_class = SHORT
            waiting.estimate_s = estimate.mean_s
            self._insert(organisation, waiting, estimate)

    def _start_trials(self, organisation, request, estimate):
        """Let the next requests of a kind that is being learned run as short."""
        if estimate.is_proven or estimate.work_class is not SHORT:
            return
        kind = (request.declared_class, request.kind)
        while len(organisation.trials) < MAX_TRIALS and organisation.kinds.get(kind):
            waiting = next(iter(organisation.kinds[kind].values()))
            self._remove_from_queues(organisation, waiting)
            # It may have been queued as long before its kind had any sign; left as
            # it is, it would return to the queue that it was taken from.
            waiting.work_class = SHORT
            waiting.estimate_s = estimate.mean_s
            self._insert(organisation, waiting, estimate)

    # The reserve.

    def update_reserve(self, now):
        """Adapt the slots reserved for short work to the recent demand for it."""
        elapsed = (
            0.0 if self._reserve_updated_at is None else now - self._reserve_updated_at
        )
        self._reserve_updated_at = now
        has_recent_short_work = now - self._last_short_at < RESERVE_MEMORY_S
        # The windows fill from the start, and again after a time without short work.
        self._short_work_age_s = (
            self._short_work_age_s + elapsed if has_recent_short_work else 0.0
        )
        self._update_demand_statistics(self._measure_demand(elapsed), elapsed)
        mean = self._mean_demand
        share_count = max(self.all_slots / self.slots, 1.0) if self.slots else 1.0
        # The noise of one entry host's arrivals averages out over all of them, so
        # only what the high demand exceeds it by counts as bursts.
        noise = NOISE_DEVIATIONS * math.sqrt(
            mean * self._mean_short_s / DEMAND_WINDOW_S
        )
        reserve = max(self._high_demand - noise, mean)
        # Entry hosts share the reserve, since short work may borrow slots of others.
        reserve += RESERVE_DEVIATIONS * math.sqrt(reserve / share_count)
        if has_recent_short_work:
            reserve = max(reserve, MIN_RESERVE / share_count)
        # Rounded so that the reserves of consecutive ranks add up.
        reserved_slots = math.floor((self.rank + 1) * reserve) - math.floor(
            self.rank * reserve
        )
        self.reserve = min(reserved_slots, max(self.slots - 1, 0))

    def _measure_demand(self, elapsed):
        """Return the recent short work in slots, of each at most its fair share."""
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
        """Follow the mean and a high quantile of the demand."""
        weight = elapsed / max(min(MEAN_WINDOW_S, self._short_work_age_s), MIN_WINDOW_S)
        self._mean_demand += (demand - self._mean_demand) * min(weight, 1.0)
        step = max(self._mean_demand, 0.1) * elapsed / RESERVE_LEARNING_S
        above = demand > self._high_demand
        self._high_demand += step * (
            RESERVE_QUANTILE if above else RESERVE_QUANTILE - 1
        )
        self._high_demand = max(self._high_demand, self._mean_demand)
