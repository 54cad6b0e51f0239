"""A small first-come first-served implementation of RequestDecisions for tests."""

from collections import deque

from magnoliapier.reasons import RefusalReason, RetryReason, RunState
from magnoliapier.request_tables import Dispatch, Refusal, Retry, SendOutcome

ENDED = {SendOutcome.OK, SendOutcome.FAILED, SendOutcome.CALLER_GONE}


class FirstComeDecisions:
    def __init__(self, max_queue=100, max_attempts=2):
        self.max_queue = max_queue
        self.max_attempts = max_attempts
        self.queue = deque()
        self.endpoints = []
        self.running = {}

    def arrive(self, request):
        if len(self.queue) >= self.max_queue:
            return [Refusal(request, RefusalReason.QUEUE_FULL, RunState.NOT_RUN)]
        self.queue.append(request)
        return self._start()

    def cancel(self, request_id):
        self.queue = deque(r for r in self.queue if r.request_id != request_id)
        return []

    def complete(self, request, result):
        name = self.running.pop(request.request_id)
        for endpoint in self.endpoints:
            endpoint.in_flight -= endpoint.name == name
        safe = request.idempotent or result.run_state is RunState.NOT_RUN
        more = request.attempts < self.max_attempts
        if result.outcome in ENDED or not safe or not more:
            return self._start()
        self.queue.appendleft(request)
        return [Retry(request, RetryReason.CONNECTION_RESET), *self._start()]

    def tick(self):
        return self._start()

    def set_fleet(self, manifest, endpoints):
        used = {e.name: e.in_flight for e in self.endpoints}
        for endpoint in endpoints:
            endpoint.in_flight = used.get(endpoint.name, 0)
        self.endpoints = endpoints
        return self._start()

    def set_peers(self, demand):
        return []

    def mark_leaving(self, host):
        for endpoint in self.endpoints:
            endpoint.leaving = endpoint.leaving or endpoint.host == host
        return []

    def demand(self):
        return {"wire": (len(self.queue), len(self.running))}

    def _start(self):
        started = []
        for request in list(self.queue):
            for endpoint in self.endpoints:
                if (
                    endpoint.service == request.service
                    and not endpoint.leaving
                    and endpoint.in_flight < endpoint.slots
                    and endpoint.name not in request.excluded
                ):
                    endpoint.in_flight += 1
                    request.attempts += 1
                    request.excluded.add(endpoint.name)
                    self.queue.remove(request)
                    self.running[request.request_id] = endpoint.name
                    started.append(Dispatch(request, endpoint))
                    break
        return started
