"""
Provide the request policies that replays compare with the Dispatcher, by name.

Each policy is called as ``policy(clock, random, name, data_centre)`` and returns an
implementation of RequestDecisions.
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
FAILED_OUTCOMES = frozenset(SendOutcome) - {SendOutcome.OK, SendOutcome.CALLER_GONE}


@policies.register("uncoordinated")
class UncoordinatedPolicy:
    """
    One FIFO queue per service, with round robin over endpoints that have a free slot.

    Each entry host counts only its own requests, so several entry hosts together can
    exceed an endpoint's slots. A request that an endpoint rejects as busy returns to
    the front of the queue.
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
        self._next_index = 0

    def arrive(self, request):
        """Queue the request; refuse it if its service is unknown."""
        if request.service not in self._queues:
            reason = RefusalReason.UNKNOWN_SERVICE
            return [Refusal(request, reason, RunState.NOT_RUN)]
        self._enqueue(request)
        return self._dispatch_queued(request.service)

    def cancel(self, request_id):
        """Mark a queued request as cancelled; it is dropped when it is taken."""
        for queue in self._queues.values():
            for request in queue:
                if request.request_id == request_id:
                    request.cancelled = True
        return []

    def complete(self, request, result):
        """
        Free the slot of a request that ended.

        A failed request returns to the front of the queue if it certainly did not run,
        is not cancelled and has an endpoint left to try. Otherwise it is refused.
        """
        endpoint = self._in_flight.pop(request.request_id)
        endpoint.in_flight -= 1
        decisions = []
        if result.outcome in FAILED_OUTCOMES:
            decisions = self._handle_failure(request, result)
        return decisions + self._dispatch_queued(request.service)

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
        """Dispatch the queued requests that can start."""
        return [d for service in self._queues for d in self._dispatch_queued(service)]

    def set_fleet(self, manifest, endpoints):
        """Replace the endpoints, keeping the in-flight counts of those that remain."""
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
        """Store the demand of the peers."""
        self._peers = demand
        return []

    def mark_leaving(self, host):
        """Send no new requests to the endpoints of a host."""
        for endpoints in self._endpoints.values():
            for endpoint in endpoints:
                if endpoint.host == host:
                    endpoint.leaving = True
        return []

    def demand(self):
        """Return the numbers of queued and in-flight requests of each service."""
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

    def _pop_next(self, service):
        return self._queues[service].popleft()

    def _slot_limit(self, endpoint):
        """Return how many requests this entry host may run on an endpoint at once."""
        return endpoint.slots

    def _choose_endpoint(self, request):
        endpoints = self._endpoints[request.service]
        for offset in range(len(endpoints)):
            endpoint = endpoints[(self._next_index + offset) % len(endpoints)]
            if (
                endpoint.in_flight < self._slot_limit(endpoint)
                and not endpoint.leaving
                and endpoint.name not in request.excluded
            ):
                self._next_index += offset + 1
                return endpoint
        return None

    def _dispatch_queued(self, service):
        decisions = []
        now = self._clock.monotonic()
        queue = self._queues[service]
        while queue:
            request = self._pop_next(service)
            if request.cancelled:
                continue
            if request.deadline <= now:
                state = RunState.UNKNOWN if request.attempts else RunState.NOT_RUN
                reason = RefusalReason.DEADLINE_PASSED
                decisions.append(Refusal(request, reason, state))
                continue
            endpoint = self._choose_endpoint(request)
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


class RoundRobinQueue:
    """A queue that serves organisations in turn, one request each."""

    def __init__(self):
        self._queues = OrderedDict()
        self._length = 0

    def __len__(self):
        return self._length

    def __iter__(self):
        for queue in self._queues.values():
            yield from queue

    def append(self, request):
        """Add a request behind the others of its organisation."""
        self._queues.setdefault(request.organisation, deque()).append(request)
        self._length += 1

    def appendleft(self, request):
        """Add a request in front and give its organisation the next turn."""
        self._queues.setdefault(request.organisation, deque()).appendleft(request)
        self._queues.move_to_end(request.organisation, last=False)
        self._length += 1

    def popleft(self):
        """Remove and return the first request of the organisation whose turn it is."""
        name, queue = next(iter(self._queues.items()))
        request = queue.popleft()
        self._length -= 1
        if queue:
            self._queues.move_to_end(name)
        else:
            del self._queues[name]
        return request


@policies.register("static_split")
class StaticSplitPolicy(UncoordinatedPolicy):
    """FIFO queues, with each endpoint's slots divided evenly among the entry hosts."""

    def _slot_limit(self, endpoint):
        names = {peer.name for peers in self._peers.values() for peer in peers}
        return max(endpoint.slots // (len(names) + 1), 1)


@policies.register("round_robin")
class RoundRobinPolicy(StaticSplitPolicy):
    """Serves the organisations of a service in turn, regardless of run times."""

    def _make_queue(self):
        return RoundRobinQueue()


@policies.register("unlimited_retries")
class UnlimitedRetriesPolicy(StaticSplitPolicy):
    """
    FIFO queues, with retries of failed requests until every endpoint was tried.

    Only idempotent requests and those that certainly did not run are retried.
    """

    def _handle_failure(self, request, result):
        request.excluded.add(request.endpoint)
        allowed = request.idempotent or result.run_state is RunState.NOT_RUN
        untried_left = len(request.excluded) < len(self._endpoints[request.service])
        if allowed and untried_left and not request.cancelled:
            self._queues[request.service].appendleft(request)
            return []
        state = RunState.UNKNOWN
        return [Refusal(request, RefusalReason.ENDPOINT_FAILED, state)]


class TrueRunTimes(RunTimeEstimates):
    """Run time estimates taken from the true run time in the request's Arrival."""

    def find(self, request):
        """Return an estimate with the true run time and class of this request."""
        seconds = request.payload.run_s
        long = seconds > self.threshold_s
        work_class = WorkClass.LONG if long else WorkClass.SHORT
        return KindEstimate(seconds, work_class, float(long), PROVEN_RUNS)


@policies.register("oracle")
class OraclePolicy(Dispatcher):
    """The Dispatcher, knowing the true run time and class of each request."""

    estimates_class = TrueRunTimes


class FifoQueue(ServiceQueue):
    """A queue in order of arrival, without classes, reserved slots or fair shares."""

    def __init__(self, estimates):
        super().__init__(estimates)
        self._order = deque()

    def add(self, request, now, first=False):
        """Add a request at the end of the queue, or in front if ``first`` is set."""
        super().add(request, now, first)
        if first:
            self._order.appendleft(request)
        else:
            self._order.append(request)

    def next_priority_request(self, allows=None):
        """Return None, because no request has priority."""

    def next_request(self):
        """Return the first request that is still queued, or None."""
        while self._order:
            if self._is_queued(self._order[0]):
                return self._order[0]
            self._order.popleft()
        return None


@policies.register("fifo")
class FifoPolicy(Dispatcher):
    """The Dispatcher's slots, routing and retries with one FIFO queue per service."""

    queue_class = FifoQueue


@policies.register("dispatcher")
class DispatcherPolicy(Dispatcher):
    """The Dispatcher as entry processes use it in production."""
