"""The run of a trace's requests, faults and drains in virtual time."""

import heapq
import itertools
import math
import random
from collections import defaultdict

from magnoliapier.clock import VirtualClock
from magnoliapier.manifest import validate_manifest
from magnoliapier.request_replay.callers import CallersMixin
from magnoliapier.request_replay.drains import DrainsMixin
from magnoliapier.request_replay.entries import EntriesMixin
from magnoliapier.request_replay.fault_starters import fault_starters
from magnoliapier.request_replay.hosts import ReplayEndpoint, ReplayEntry
from magnoliapier.request_replay.records import RequestReport, ServiceSample
from magnoliapier.request_replay.sends import SendsMixin
from magnoliapier.traces import Arrival, Drain, Fault

SAMPLE_S = 0.25


class RequestReplay(CallersMixin, EntriesMixin, SendsMixin, DrainsMixin):
    """
    Runs one trace; see :func:`replay_requests`.

    The mixins work on the state that is set here.
    """

    def __init__(self, header, events, decisions_factory, seed):
        self.clock = VirtualClock()
        self.header = header
        self.manifest = validate_manifest(header.manifest)
        self.report = RequestReport(header.name, header.duration_s)
        self.faults = defaultdict(list)
        self.cut = {}
        self._factory = decisions_factory
        self._seed = seed
        self._random = random.Random(seed)
        self._heap = []
        self._numbers = itertools.count()
        self._records = {}
        self._open_requests = 0
        self._events = events
        self._claims = {}
        self._seen_keys = set()
        self._endpoints = {}
        self._leaving = {}
        self._away = set()
        self._pools = {name: host.pool for name, host in self.manifest.hosts.items()}
        self._entries = {
            name: ReplayEntry(name, data_centre)
            for name, data_centre in header.entry_hosts.items()
        }

    @property
    def now(self):
        """The virtual time in seconds."""
        return self.clock.monotonic()

    def run(self):
        """Run the trace until every request has ended and return the report."""
        for entry in self._entries.values():
            self._start_entry(entry)
        self.schedule(0.0, self._sample)
        self._feed_next(iter(self._events))
        while self._heap:
            instant, _, call, arguments = heapq.heappop(self._heap)
            self.clock.advance_to(instant)
            call(*arguments)
        return self.report

    def schedule(self, instant, call, *arguments):
        """Call ``call`` at the given virtual time."""
        heapq.heappush(self._heap, (instant, next(self._numbers), call, arguments))

    def _running(self):
        return self.now <= self.header.duration_s or self._open_requests > 0

    def _feed_next(self, events):
        """Schedule the next event; one at a time keeps the heap small."""
        event = next(events, None)
        if event is not None:
            self.schedule(max(event.t, self.now), self._play, event, events)

    def _play(self, event, events):
        if isinstance(event, Arrival):
            self._arrive(event)
        elif isinstance(event, Fault) and event.kind in fault_starters:
            fault_starters.get(event.kind)(self, event)
        elif isinstance(event, Drain):
            self._drain(event)
        self._feed_next(events)

    def _present_endpoints(self):
        for service, declared in sorted(self.manifest.services.items()):
            for name, host in sorted(self.manifest.hosts.items()):
                if self._pools[name] != declared.pool or name in self._away:
                    continue
                key = (service, name)
                if key not in self._endpoints:
                    self._endpoints[key] = ReplayEndpoint(
                        service,
                        name,
                        host.data_centre,
                        host.rack,
                        host.address,
                        declared.slots_per_endpoint,
                    )
                yield self._endpoints[key]

    def is_cut(self, one, other, longer_than=0.0):
        """Return whether two data centres have been cut off for some seconds."""
        if one == other:
            return False
        since = min(self.cut.get(one, math.inf), self.cut.get(other, math.inf))
        return self.now - since >= longer_than

    def fault_values(self, kind, endpoint):
        """Return the values of the faults of a kind that act on an endpoint."""
        return [
            fault.value
            for fault in self.faults[kind]
            if fault.target in (endpoint.host, endpoint.name)
        ]

    def is_down(self, endpoint):
        """Return whether an endpoint refuses connections."""
        return (
            endpoint.host in self._away
            or bool(self.fault_values("endpoint_down", endpoint))
            or any(fault.target == endpoint.rack for fault in self.faults["rack_lost"])
        )

    def begin_fault(self, fault):
        """Put a fault in force for its duration."""
        active = self.faults[fault.kind]
        active.append(fault)
        self.schedule(self.now + fault.duration_s, active.remove, fault)

    def endpoints_where(self, predicate):
        """Return the endpoints that match, including those of absent hosts."""
        return [e for e in self._endpoints.values() if predicate(e)]

    def _sample(self):
        if not self._running():
            return
        totals = {service: [0, 0, 0] for service in self.manifest.services}
        for endpoint in self._present_endpoints():
            total = totals[endpoint.service]
            total[0] += endpoint.slots
            total[1] += endpoint.running(self.now)
        for entry in self._entries.values():
            if entry.up:
                for service, (queued, _) in entry.decisions.demand().items():
                    totals[service][2] += queued
        for service, total in totals.items():
            self.report.samples.append(ServiceSample(self.now, service, *total))
        self.schedule(self.now + SAMPLE_S, self._sample)


def replay_requests(header, events, decisions_factory, seed=0):
    """
    Replay a trace's Arrival, Fault and Drain events and return a RequestReport.

    ``decisions_factory`` is called as ``factory(clock, random, name, data_centre)``
    for each entry host of ``header`` and returns an implementation of
    RequestDecisions, such as ``Dispatcher``. Equal arguments give equal reports.
    Each request carries its Arrival as ``payload``, which only an oracle may read.
    """
    return RequestReplay(header, events, decisions_factory, seed).run()
