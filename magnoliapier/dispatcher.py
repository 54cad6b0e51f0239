"""
Decide what happens to each request at one entry host: queue, send, retry or refuse.

The Dispatcher has no threads and does no I/O.
"""

from collections import OrderedDict
from dataclasses import replace

from magnoliapier.admission import (
    check_arrival,
    choose_request_to_drop,
    lacks_time_to_run,
    refuse,
)
from magnoliapier.ejection import FAILURE_WEIGHTS, Ejections, KindFailures
from magnoliapier.estimates import RunTimeEstimates
from magnoliapier.reasons import RefusalReason, RunState
from magnoliapier.request_tables import Dispatch, Retry, SendOutcome
from magnoliapier.retries import (
    REFUSAL_REASONS,
    RETRY_REASONS,
    RetryBudget,
    may_retry,
)
from magnoliapier.routing import EndpointPool
from magnoliapier.scheduling import ServiceQueue
from magnoliapier.slots import STALE_REPORT_S, SlotShares

# A report that a host is leaving counts for this long without confirmation by the fleet
# state, which the design allows to lag by seconds.
LEAVING_REPORT_TTL_S = 10.0
# At most this many deferred requests are queued again each time a request ends. A
# request is deferred if no endpoint with room may take it, mostly because it was sent
# there already.
REQUEUED_PER_END = 2
# A request may borrow slots of other entry hosts only while fewer endpoints than this
# are excluded for it. Each busy answer excludes one.
MAX_EXCLUDED_TO_BORROW = 6


class ServiceState:
    """
    The queue, endpoints and slot shares of one service at this entry host.

    ``deferred`` holds requests that no endpoint with room may take, by request id.
    ``peers`` is the last list of PeerDemand, and ``reported_demand`` the demand that
    was last reported to the peers.
    """

    def __init__(self, name, queue, entry_host, data_centre, random):
        self.name = name
        self.queue = queue
        self.ejections = Ejections()
        self.pool = EndpointPool(data_centre, random, self.ejections)
        self.shares = SlotShares(entry_host, data_centre)
        self.deferred = OrderedDict()
        self.peers = []
        self.reported_demand = None

    @property
    def demand(self):
        """The numbers of queued and in-flight requests."""
        return (self.queue.queued + len(self.deferred), self.pool.in_flight)

    def set_endpoints(self, endpoints):
        """Replace the endpoints; those that remain keep their counts and health."""
        kept = {}
        for endpoint in endpoints:
            entry = self.pool.endpoints.get(endpoint.name)
            if entry is None:
                # Copied because the caller's entry describes the fleet state and must
                # not change.
                entry = replace(endpoint, share=0, in_flight=0, ejected=False)
            else:
                entry.address = endpoint.address
                entry.slots = endpoint.slots
            kept[entry.name] = entry
        self.ejections.set_endpoints(kept)
        self.shares.set_endpoints(kept.values())
        self.pool.replace(kept)

    def update_shares(self, peers_age_s):
        """
        Recompute this entry host's share of each endpoint's slots.

        ``peers_age_s`` is the number of seconds since the peers' demand was set.
        """
        demand = sum(
            self.demand if self.reported_demand is None else self.reported_demand
        )
        stopped = frozenset(
            endpoint.name
            for endpoint in self.pool.endpoints.values()
            if endpoint.ejected or endpoint.leaving
        )
        shares = self.shares.shares(self.peers, demand, peers_age_s, stopped)
        self.queue.rank = self.shares.rank(self.peers)
        for endpoint in self.pool.endpoints.values():
            share = shares.get(endpoint.name, 0)
            if share != endpoint.share:
                endpoint.share = share
                self.pool.refresh(endpoint)

    def resume_endpoints(self, now):
        """End the pauses and ejections that are due, and raise busy limits."""
        for name in self.ejections.resume_endpoints(now):
            self.pool.refresh(self.pool.endpoints[name])
        self.pool.raise_busy_limits(now)


class Dispatcher:
    """
    Decides what happens to each request; implements RequestDecisions.

    ``random`` is a seeded ``random.Random``. ``max_queue`` is the greatest number of
    queued requests of all services together. Calls must not overlap.

    Example::

        dispatcher = Dispatcher(clock, random.Random(1), "entry-1", "dc-1")
        dispatcher.set_fleet(manifest, endpoints)
        decisions = dispatcher.arrive(request)
    """

    estimates_class = RunTimeEstimates
    queue_class = ServiceQueue

    def __init__(self, clock, random, name, data_centre, max_queue=2000, metrics=None):
        self._clock = clock
        self._random = random
        self._name = name
        self._data_centre = data_centre
        self._max_queue = max_queue
        self._metrics = metrics
        self._services = {}
        self._organisations = {}
        self._queues = {}
        self._queued = {}
        self._in_flight = {}
        self._possible_runs = {}
        self._retry_budget = RetryBudget()
        self._kind_failures = KindFailures()
        self._leaving_reports = {}
        self._leaving_in_fleet_state = set()
        self._peers_set_at = None

    # Requests.

    def arrive(self, request):
        """
        Admit or refuse a request, and start requests that can start.

        A request whose ``request_id`` is that of a queued or in-flight request is
        refused as a bad request.
        """
        now = self._clock.monotonic()
        service = self._services.get(request.service)
        refusal = self._check_request(service, request)
        if refusal is None:
            service.queue.slots = service.pool.usable_slots
            refusal = check_arrival(
                service.queue, request, service.pool.has_room, now, self._random
            )
        if refusal is not None:
            return [self._count_refusal(refusal)]
        decisions = []
        if len(self._queued) >= self._max_queue:
            dropped = choose_request_to_drop(self._queues, request)
            if dropped is request:
                return [self._refuse(request, RefusalReason.QUEUE_FULL)]
            self._remove_queued(dropped)
            decisions.append(self._refuse(dropped, RefusalReason.FAIR_SHARE))
        self._retry_budget.deposit(request.service, request.organisation)
        self._queued[request.request_id] = request
        service.queue.add(request, now)
        decisions.extend(self._start(service, now))
        return decisions

    def _check_request(self, service, request):
        """Return a Refusal if the request cannot be served at any load, or None."""
        if not self._services:
            return refuse(request, RefusalReason.NO_MANIFEST)
        if service is None:
            return refuse(request, RefusalReason.UNKNOWN_SERVICE)
        if request.organisation not in self._organisations:
            return refuse(request, RefusalReason.UNKNOWN_ORGANISATION)
        if request.request_id in self._queued or request.request_id in self._in_flight:
            return refuse(request, RefusalReason.BAD_REQUEST)
        if not service.pool.has_remaining_endpoint:
            return refuse(request, RefusalReason.NO_ENDPOINT)
        return None

    def cancel(self, request_id):
        """
        Handle that a request's caller disconnected.

        Refuse the request if it is queued. If it is in flight, do not retry it.
        """
        attempt = self._in_flight.get(request_id)
        if attempt is not None:
            attempt.request.cancelled = True
            return []
        request = self._queued.get(request_id)
        if request is None:
            return []
        request.cancelled = True
        self._remove_queued(request)
        return [self._refuse(request, RefusalReason.CALLER_GONE)]

    def complete(self, request, result):
        """Free the slot, record the result, retry or refuse, and start others."""
        attempt = self._in_flight.get(request.request_id)
        if attempt is None or attempt.request is not request:
            return []
        del self._in_flight[request.request_id]
        now = self._clock.monotonic()
        service = attempt.service
        outcome = result.outcome
        service.pool.end(attempt.endpoint)
        service.queue.end(
            attempt,
            now,
            ran=outcome is SendOutcome.OK,
            timed_out=outcome is SendOutcome.TIMEOUT,
        )
        self._update_endpoint_health(service, attempt.endpoint, request, result, now)
        decisions = []
        if outcome is SendOutcome.OK:
            self._possible_runs.pop(request.request_id, None)
        else:
            decisions.append(self._retry_or_refuse(service, attempt, result, now))
        for _ in range(min(len(service.deferred), REQUEUED_PER_END)):
            self._requeue_deferred(service, now)
        if outcome is SendOutcome.OK:
            decisions.extend(self._start_in_freed_slot(service, attempt.endpoint, now))
        decisions.extend(self._start(service, now))
        return decisions

    def _start_in_freed_slot(self, service, endpoint, now):
        """
        Start short work in a freed slot that is beyond this entry host's share.

        Other borrowed slots are only assumed to be free; this one is known to be.
        """
        if not service.queue.queued or not service.pool.has_free_slot_beyond_share(
            endpoint
        ):
            return []

        def allows(request):
            return (
                service.pool.allows(endpoint, request)
                and self._deadline_refusal(service, request, now) is None
            )

        request = service.queue.next_priority_request(allows)
        if request is None:
            return []
        return [self._dispatch(service, request, endpoint, now)]

    def _update_endpoint_health(self, service, endpoint, request, result, now):
        outcome = result.outcome
        if service.pool.endpoints.get(endpoint.name) is not endpoint:
            return
        if outcome is SendOutcome.BUSY:
            service.pool.limit_busy_endpoint(endpoint, now)
        elif outcome is SendOutcome.DRAINING:
            self._record_leaving(endpoint.host, now)
        elif outcome is SendOutcome.OK:
            self._kind_failures.add(request, False)
            if service.ejections.observe(endpoint.name, result, 0.0, now):
                service.pool.refresh(endpoint)
        elif outcome in FAILURE_WEIGHTS:
            blame = self._kind_failures.add(request, True)
            if service.ejections.observe(endpoint.name, result, blame, now):
                service.pool.refresh(endpoint)

    def _retry_or_refuse(self, service, attempt, result, now):
        """Return the Retry or Refusal for a request whose send failed."""
        request = attempt.request
        request.excluded.add(attempt.endpoint.name)
        if result.run_state is not RunState.NOT_RUN:
            self._possible_runs[request.request_id] = (
                self._possible_runs.get(request.request_id, 0) + 1
            )
        if request.cancelled:
            return self._refuse(request, RefusalReason.CALLER_GONE)
        reason = REFUSAL_REASONS[result.outcome]
        attempts = self._possible_runs.get(request.request_id, 0)
        if may_retry(request, result, attempts, now) and service.pool.has_alternative(
            request
        ):
            if self._retry_budget.withdraw(
                request.service, request.organisation, result.run_state
            ):
                return self._retry(service, request, result, now)
            reason = RefusalReason.RETRY_BUDGET
        return self._refuse(request, reason)

    def _retry(self, service, request, result, now):
        self._queued[request.request_id] = request
        service.queue.add(request, now, first=True)
        reason = RETRY_REASONS[result.outcome]
        if self._metrics is not None:
            self._metrics.count("retries_total", reason=reason.value)
        return Retry(request, reason)

    def _refuse(self, request, reason):
        """Return a Refusal with run state UNKNOWN if an earlier send may have run."""
        ran = self._possible_runs.pop(request.request_id, None)
        state = RunState.UNKNOWN if ran else RunState.NOT_RUN
        return self._count_refusal(refuse(request, reason, run_state=state))

    def _count_refusal(self, refusal):
        if self._metrics is not None:
            self._metrics.count("refusals_total", reason=refusal.reason.value)
        return refusal

    def _remove_queued(self, request):
        del self._queued[request.request_id]
        service = self._services[request.service]
        if service.deferred.pop(request.request_id, None) is None:
            service.queue.remove(request)

    # Starting.

    def _start(self, service, now):
        """Start queued requests while endpoints have room."""
        queue, pool = service.queue, service.pool
        queue.slots = pool.usable_slots
        queue.all_slots = pool.slots
        queue.check_overdue(now)
        decisions = []
        while queue.queued:
            borrow = not pool.has_room
            request = None if borrow else queue.next_request()
            if request is None:
                borrow = True
                request = self._next_request_to_borrow(service)
            if request is None:
                break
            reason = self._deadline_refusal(service, request, now)
            if reason is not None:
                self._remove_queued(request)
                decisions.append(self._refuse(request, reason))
                continue
            endpoint = (
                pool.choose_to_borrow(request) if borrow else pool.choose(request)
            )
            if endpoint is None:
                queue.remove(request)
                service.deferred[request.request_id] = request
                continue
            decisions.append(self._dispatch(service, request, endpoint, now))
        return decisions

    def _next_request_to_borrow(self, service):
        """
        Return a request to send beyond this entry host's share, or None.

        Short work with priority may try any slot; the endpoint answers busy if it has
        none free.
        """
        if not service.pool.has_room_to_borrow:
            return None
        return service.queue.next_priority_request(self._may_borrow)

    def _may_borrow(self, request):
        """Return whether a busy answer would leave enough endpoints and tokens."""
        known = len(self._services[request.service].pool.endpoints)
        return len(request.excluded) < min(
            MAX_EXCLUDED_TO_BORROW, known // 2
        ) and self._retry_budget.allows_borrowing(request.service, request.organisation)

    def _deadline_refusal(self, service, request, now):
        if request.deadline <= now:
            return RefusalReason.DEADLINE_PASSED
        if lacks_time_to_run(service.queue, request, service.pool.is_busy, now):
            return RefusalReason.DEADLINE_UNREACHABLE
        return None

    def _dispatch(self, service, request, endpoint, now):
        del self._queued[request.request_id]
        attempt = service.queue.start(request, now)
        attempt.endpoint = endpoint
        attempt.service = service
        self._in_flight[request.request_id] = attempt
        service.pool.begin(endpoint)
        request.started = now
        request.endpoint = endpoint.name
        request.attempts += 1
        return Dispatch(request, endpoint)

    def _requeue_deferred(self, service, now):
        _, request = service.deferred.popitem(last=False)
        service.queue.add(request, now, first=True)

    # Time, fleet and peers.

    def tick(self):
        """
        Drop requests whose deadline has passed, resume endpoints and start requests.

        Also expire reports of leaving hosts, update the reserves and, if the peer
        reports are stale, recompute the slot shares.
        """
        now = self._clock.monotonic()
        self._expire_leaving_reports(now)
        decisions = []
        for service in self._services.values():
            for _ in range(len(service.deferred)):
                self._requeue_deferred(service, now)
            for request in service.queue.expire(now):
                del self._queued[request.request_id]
                reason = RefusalReason.DEADLINE_PASSED
                decisions.append(self._refuse(request, reason))
            service.resume_endpoints(now)
            service.queue.update_reserve(now)
            if (
                self._peers_set_at is not None
                and now - self._peers_set_at > STALE_REPORT_S
            ):
                service.update_shares(now - self._peers_set_at)
            decisions.extend(self._start(service, now))
        return decisions

    def set_fleet(self, manifest, endpoints):
        """
        Replace services, organisations and endpoints.

        ``endpoints`` is a list of EndpointEntry that this entry host may send to now,
        according to rules R1 and R2 of the design. It is not changed.
        """
        now = self._clock.monotonic()
        self._organisations = {
            name: declared.weight for name, declared in manifest.organisations.items()
        }
        decisions = self._remove_services(manifest.services)
        self._retry_budget.forget(manifest.services, manifest.organisations)
        groups = {name: [] for name in manifest.services}
        for endpoint in endpoints:
            if endpoint.service in groups:
                groups[endpoint.service].append(endpoint)
        leaving = {endpoint.host for endpoint in endpoints if endpoint.leaving}
        for host in self._leaving_in_fleet_state - leaving:
            self._leaving_reports.pop(host, None)
        self._leaving_in_fleet_state = leaving
        for name, declared in manifest.services.items():
            decisions.extend(self._set_service(name, declared, groups[name], now))
        return decisions

    def _set_service(self, name, declared, endpoints, now):
        service = self._services.get(name)
        if service is None:
            queue = self.queue_class(self.estimates_class(declared))
            service = ServiceState(
                name, queue, self._name, self._data_centre, self._random
            )
            self._services[name] = service
            self._queues[name] = service.queue
        service.queue.estimates.set_service(declared)
        service.queue.estimates.forget_organisations(self._organisations)
        service.queue.set_organisations(self._organisations)
        service.set_endpoints(endpoints)
        for endpoint in service.pool.endpoints.values():
            self._set_leaving(service, endpoint)
        age = 0.0 if self._peers_set_at is None else now - self._peers_set_at
        service.update_shares(age)
        return self._start(service, now)

    def _remove_services(self, kept):
        decisions = []
        removed = [name for name in self._services if name not in kept]
        for name in removed:
            waiting = [r for r in self._queued.values() if r.service == name]
            for request in waiting:
                self._remove_queued(request)
                decisions.append(self._refuse(request, RefusalReason.UNKNOWN_SERVICE))
            del self._services[name]
            del self._queues[name]
        return decisions

    def set_peers(self, demand):
        """Replace the peers' demand and recompute the slot shares."""
        now = self._clock.monotonic()
        self._peers_set_at = now
        decisions = []
        for name, service in self._services.items():
            service.peers = demand.get(name, [])
            service.update_shares(0.0)
            decisions.extend(self._start(service, now))
        return decisions

    def mark_leaving(self, host):
        """
        Stop new work for all endpoints of a host.

        This ends after LEAVING_REPORT_TTL_S unless the fleet state confirms it.
        """
        self._record_leaving(host, self._clock.monotonic())
        return []

    def _record_leaving(self, host, now):
        self._leaving_reports[host] = now
        self._refresh_host(host)

    def _expire_leaving_reports(self, now):
        old = [
            h
            for h, t in self._leaving_reports.items()
            if now - t > LEAVING_REPORT_TTL_S
        ]
        for host in old:
            del self._leaving_reports[host]
            self._refresh_host(host)

    def _refresh_host(self, host):
        for service in self._services.values():
            for endpoint in service.pool.endpoints_on(host):
                self._set_leaving(service, endpoint)

    def _set_leaving(self, service, endpoint):
        host = endpoint.host
        leaving = host in self._leaving_in_fleet_state or host in self._leaving_reports
        service.pool.set_leaving(endpoint, leaving)

    def demand(self):
        """Return {service: (queued, in_flight)} and keep it as the reported demand."""
        result = {name: service.demand for name, service in self._services.items()}
        for name, service in self._services.items():
            service.reported_demand = result[name]
        return result
