"""
Request policies to compare the Dispatcher with, by name.

Each is a factory ``policy(clock, random, name, data_centre)`` that returns an
implementation of RequestDecisions for the replay.
"""

from collections import OrderedDict, deque

from magnoliapier.dispatcher import Dispatcher
from magnoliapier.estimates import PROVEN_RUNS, KindEstimate, RunTimeEstimates
from magnoliapier.reasons import RefusalReason, RunState
from magnoliapier.registry import Registry
from magnoliapier.request_tables import (
    Dispatch,
    Refusal,
    SendOutcome,
    WorkClass,
)
from magnoliapier.scheduling import ServiceQueue

policies = Registry("request policy")
FAILURES = frozenset(SendOutcome) - {SendOutcome.OK, SendOutcome.CALLER_GONE}


@policies.register("uncoordinated")
class UncoordinatedPolicy:
    """
    One FIFO queue for each service, round robin over endpoints with a free slot.

    Each entry host counts only its own requests, so several entry hosts together
    can exceed an endpoint's slots; a busy answer queues the request again first.
    """

    def __init__(self, clock, random, name, data_centre):
        self._clock = clock
        self._random = random
        self._name = name
        self._data_centre = data_centre
        self._queues = {}
        self._endpoints = {}
        self._peers = {}
        self._in_flight = {}
        self._next = 0

    def arrive(self, request):
        """Queue the request."""
        if request.service not in self._queues:
            reason = RefusalReason.UNKNOWN_SERVICE
            return [Refusal(request, reason, RunState.NOT_RUN)]
        self._enqueue(request)
        return self._start(request.service)

    def cancel(self, request_id):
        """Mark a queued request, which is dropped when its turn comes."""
        for queue in self._queues.values():
            for request in queue:
                if request.request_id == request_id:
                    request.cancelled = True
        return []

    def complete(self, request, result):
        """Free the slot; retry what provably did not run, refuse other failures."""
        endpoint = self._in_flight.pop(request.request_id)
        endpoint.in_flight -= 1
        decisions = []
        if result.outcome in FAILURES:
            decisions = self._handle_failure(request, result)
        return decisions + self._start(request.service)

    def _handle_failure(self, request, result):
        if result.run_state is RunState.NOT_RUN and not request.cancelled:
            request.excluded.add(request.endpoint)
            if len(request.excluded) < len(self._endpoints[request.service]):
                self._queues[request.service].appendleft(request)
                return []
        state = result.run_state
        if request.attempts > 1 or state is not RunState.NOT_RUN:
            state = RunState.UNKNOWN
        return [Refusal(request, RefusalReason.ENDPOINT_FAILED, state)]

    def tick(self):
        """Start what can start."""
        return [d for service in self._queues for d in self._start(service)]

    def set_fleet(self, manifest, endpoints):
        """Replace the endpoints; keep the counts of those that stay."""
        known = {e.name: e for group in self._endpoints.values() for e in group}
        self._endpoints = {service: [] for service in manifest.services}
        for endpoint in endpoints:
            previous = known.get(endpoint.name)
            if previous is not None:
                previous.leaving = endpoint.leaving
                endpoint = previous
            self._endpoints[endpoint.service].append(endpoint)
        for service in manifest.services:
            self._queues.setdefault(service, self._make_queue())
        return self.tick()

    def set_peers(self, demand):
        """Keep the peers' demand."""
        self._peers = demand
        return []

    def mark_leaving(self, host):
        """Stop new work for a host."""
        for group in self._endpoints.values():
            for endpoint in group:
                if endpoint.host == host:
                    endpoint.leaving = True
        return []

    def demand(self):
        """Return queued and in-flight requests of each service."""
        return {
            service: (
                len(queue),
                sum(e.in_flight for e in self._endpoints[service]),
            )
            for service, queue in self._queues.items()
        }

    def _make_queue(self):
        return deque()

    def _enqueue(self, request):
        self._queues[request.service].append(request)

    def _take(self, service):
        return self._queues[service].popleft()

    def _limit(self, endpoint):
        """Return how many requests this entry host may have on an endpoint."""
        return endpoint.slots

    def _choose(self, request):
        group = self._endpoints[request.service]
        for step in range(len(group)):
            endpoint = group[(self._next + step) % len(group)]
            if (
                endpoint.in_flight < self._limit(endpoint)
                and not endpoint.leaving
                and endpoint.name not in request.excluded
            ):
                self._next += step + 1
                return endpoint
        return None

    def _start(self, service):
        decisions = []
        now = self._clock.monotonic()
        queue = self._queues[service]
        while queue:
            request = self._take(service)
            if request.cancelled:
                continue
            if request.deadline <= now:
                state = RunState.UNKNOWN if request.attempts else RunState.NOT_RUN
                reason = RefusalReason.DEADLINE_PASSED
                decisions.append(Refusal(request, reason, state))
                continue
            endpoint = self._choose(request)
            if endpoint is None:
                self._put_back(request)
                break
            request.attempts += 1
            request.started = now
            request.endpoint = endpoint.name
            endpoint.in_flight += 1
            self._in_flight[request.request_id] = endpoint
            decisions.append(Dispatch(request, endpoint))
        return decisions

    def _put_back(self, request):
        self._queues[request.service].appendleft(request)


class OrganisationTurns:
    """A queue that serves organisations in turn, one request each."""

    def __init__(self):
        self._turns = OrderedDict()
        self._length = 0

    def __len__(self):
        return self._length

    def __iter__(self):
        for queue in self._turns.values():
            yield from queue

    def append(self, request):
        """Queue a request last."""
        self._turns.setdefault(request.organisation, deque()).append(request)
        self._length += 1

    def appendleft(self, request):
        """Queue a request first."""
        self._turns.setdefault(request.organisation, deque()).appendleft(request)
        self._turns.move_to_end(request.organisation, last=False)
        self._length += 1

    def popleft(self):
        """Take the next organisation's first request."""
        name, queue = next(iter(self._turns.items()))
        request = queue.popleft()
        self._length -= 1
        if queue:
            self._turns.move_to_end(name)
        else:
            del self._turns[name]
        return request


@policies.register("static_split")
class StaticSplitPolicy(UncoordinatedPolicy):
    """FIFO, with the slots of each endpoint divided evenly among entry hosts."""

    def _limit(self, endpoint):
        names = {peer.name for peers in self._peers.values() for peer in peers}
        return max(endpoint.slots // (len(names) + 1), 1)


@policies.register("round_robin")
class RoundRobinPolicy(StaticSplitPolicy):
    """Organisations in turn by number of requests, whatever their run times."""

    def _make_queue(self):
        return OrganisationTurns()


@policies.register("unlimited_retries")
class UnlimitedRetriesPolicy(StaticSplitPolicy):
    """FIFO, repeating idempotent requests on other endpoints until none is left."""

    def _handle_failure(self, request, result):
        request.excluded.add(request.endpoint)
        allowed = request.idempotent or result.run_state is RunState.NOT_RUN
        left = len(request.excluded) < len(self._endpoints[request.service])
        if allowed and left and not request.cancelled:
            self._queues[request.service].appendleft(request)
            return []
        state = RunState.UNKNOWN
        return [Refusal(request, RefusalReason.ENDPOINT_FAILED, state)]


class TrueRunTimes(RunTimeEstimates):
    """Estimates that read the true run time from the request's Arrival."""

    def find(self, request):
        """Return an estimate that is the truth about this one request."""
        seconds = request.payload.run_s
        long = seconds > self.threshold_s
        work_class = WorkClass.LONG if long else WorkClass.SHORT
        return KindEstimate(seconds, work_class, float(long), PROVEN_RUNS)


@policies.register("oracle")
class OraclePolicy(Dispatcher):
    """The Dispatcher with the true run time and class of each request."""

    estimates_class = TrueRunTimes


class FifoQueue(ServiceQueue):
    """A queue in order of arrival, without classes, reserve or fair shares."""

    def __init__(self, estimates):
        super().__init__(estimates)
        self._order = deque()

    def add(self, request, now, first=False):
        """Queue a request last, or first."""
        super().add(request, now, first)
        if first:
            self._order.appendleft(request)
        else:
            self._order.append(request)

    def next_priority_request(self, allows=None):
        """Return None: no request has priority."""

    def next_request(self):
        """Return the oldest request."""
        while self._order:
            if self._is_queued(self._order[0]):
                return self._order[0]
            self._order.popleft()
        return None


@policies.register("fifo")
class FifoPolicy(Dispatcher):
    """The Dispatcher's slots, routing and retries with one FIFO per service."""

    queue_class = FifoQueue


@policies.register("dispatcher")
class DispatcherPolicy(Dispatcher):
    """The decisions that are in service."""
