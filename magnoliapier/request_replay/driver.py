"""Runs the requests, faults and drains of a trace in virtual time."""

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

SAMPLE_INTERVAL_S = 0.25


class RequestReplay(CallersMixin, EntriesMixin, SendsMixin, DrainsMixin):
    """
    Runs one trace; see :func:`replay_requests`.

    The mixins share the state that is initialised here.
    """

    def __init__(self, header, events, decisions_factory, seed):
        self.clock = VirtualClock()
        self.header = header
        self.manifest = validate_manifest(header.manifest)
        self.report = RequestReport(header.name, header.duration_s)
        self.faults = defaultdict(list)
        self.cut_since = {}
        self._decisions_factory = decisions_factory
        self._seed = seed
        self._random = random.Random(seed)
        self._scheduled_calls = []
        self._sequence = itertools.count()
        self._records = {}
        self._open_requests = 0
        self._events = events
        self._claims = {}
        self._seen_keys = set()
        self._endpoints = {}
        self._drain_started = {}
        self._absent_hosts = set()
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
        self._schedule_next_event(iter(self._events))
        while self._scheduled_calls:
            instant, _, callback, arguments = heapq.heappop(self._scheduled_calls)
            self.clock.advance_to(instant)
            callback(*arguments)
        return self.report

    def schedule(self, instant, callback, *arguments):
        """Call ``callback`` at the given virtual time."""
        heapq.heappush(
            self._scheduled_calls, (instant, next(self._sequence), callback, arguments)
        )

    def _is_running(self):
        return self.now <= self.header.duration_s or self._open_requests > 0

    def _schedule_next_event(self, events):
        """Schedule the next event; scheduling one at a time keeps the heap small."""
        event = next(events, None)
        if event is not None:
            self.schedule(max(event.t, self.now), self._handle_event, event, events)

    def _handle_event(self, event, events):
        if isinstance(event, Arrival):
            self._arrive(event)
        elif isinstance(event, Fault) and event.kind in fault_starters:
            fault_starters.get(event.kind)(self, event)
        elif isinstance(event, Drain):
            self._drain(event)
        self._schedule_next_event(events)

    def _present_endpoints(self):
        for service, declared in sorted(self.manifest.services.items()):
            for name, host in sorted(self.manifest.hosts.items()):
                if self._pools[name] != declared.pool or name in self._absent_hosts:
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

    def is_cut(self, first, second, longer_than_s=0.0):
        """
        Return whether the link between two data centres is cut.

        With ``longer_than_s``, the cut must have lasted at least that long.
        """
        if first == second:
            return False
        since = min(
            self.cut_since.get(first, math.inf), self.cut_since.get(second, math.inf)
        )
        return self.now - since >= longer_than_s

    def fault_values(self, kind, endpoint):
        """Return the values of the active faults of a kind that affect an endpoint."""
        return [
            fault.value
            for fault in self.faults[kind]
            if fault.target in (endpoint.host, endpoint.name)
        ]

    def is_down(self, endpoint):
        """Return whether an endpoint refuses connections."""
        return (
            endpoint.host in self._absent_hosts
            or bool(self.fault_values("endpoint_down", endpoint))
            or any(fault.target == endpoint.rack for fault in self.faults["rack_lost"])
        )

    def begin_fault(self, fault):
        """Activate a fault for its duration."""
        active = self.faults[fault.kind]
        active.append(fault)
        self.schedule(self.now + fault.duration_s, active.remove, fault)

    def endpoints_where(self, predicate):
        """Return the endpoints that match, including those of absent hosts."""
        return [e for e in self._endpoints.values() if predicate(e)]

    def _sample(self):
        if not self._is_running():
            return
        totals = {service: [0, 0, 0] for service in self.manifest.services}
        for endpoint in self._present_endpoints():
            counts = totals[endpoint.service]
            counts[0] += endpoint.slots
            counts[1] += endpoint.slots_in_use(self.now)
        for entry in self._entries.values():
            if entry.up:
                for service, (queued, _) in entry.decisions.demand().items():
                    totals[service][2] += queued
        for service, counts in totals.items():
            self.report.samples.append(ServiceSample(self.now, service, *counts))
        self.schedule(self.now + SAMPLE_INTERVAL_S, self._sample)


def replay_requests(header, events, decisions_factory, seed=0):
    """
    Replay a trace's Arrival, Fault and Drain events and return a RequestReport.

    ``decisions_factory`` is called as ``factory(clock, random, name, data_centre)``
    for each entry host of ``header`` and returns an implementation of
    RequestDecisions, such as ``Dispatcher``. Equal arguments give equal reports.
    Each request carries its Arrival as ``payload``, which only an oracle policy may
    read.
    """
    return RequestReplay(header, events, decisions_factory, seed).run()
