"""
Virtual-time driver of the request decisions.

The driver plays the callers, the entry hosts' I/O and the endpoints of a trace's
manifest around any implementation of RequestDecisions. Endpoints run a request to
its end even when the caller has left or the deadline has passed, as most HTTP
servers do, so a request that was given up keeps its slot on the endpoint.

Faults act as follows; those of the store only affect claims. ``endpoint_failing``
answers 5xx at once to the share ``value`` of requests, ``endpoint_slow`` adds
``value`` seconds to each run, ``endpoint_down`` and ``rack_lost`` refuse
connections and reset the open ones. ``endpoint_silent`` silences the connections
that are open when it starts, and the share ``value`` of those opened while it
lasts; silence is noticed after SILENCE_TIMEOUT_S. ``reports_lost`` stops the
demand reports of the entry host ``target``.
"""

import heapq
import itertools
import math
import random
from collections import defaultdict
from dataclasses import dataclass, field

from magnoliapier.clock import VirtualClock
from magnoliapier.manifest import validate_manifest
from magnoliapier.measures import nearest_rank
from magnoliapier.reasons import RefusalReason, RunState
from magnoliapier.registry import Registry
from magnoliapier.request_tables import (
    Dispatch,
    EndpointEntry,
    PeerDemand,
    Refusal,
    RequestEntry,
    SendOutcome,
    SendResult,
    WorkClass,
)
from magnoliapier.traces import Arrival, Drain, Fault

LOCAL_DELAY_S = 0.0002
REMOTE_DELAY_S = 0.001
CONNECT_TIMEOUT_S = 1.0
SILENCE_TIMEOUT_S = 5.0
TICK_S = 0.1
VIEW_S = 0.25
REPORT_S = 0.5
REPORT_DELAY_S = (0.05, 0.35)
PEER_DEAD_S = 5.0
GRANT_S = 3.0
DRAIN_NOTICE_S = (0.2, 1.5)
DRAIN_LIMIT_S = 3.0
MAX_IDLE_CONNECTIONS = 64
SAMPLE_S = 0.25

fault_starters = Registry("request fault")


@dataclass(slots=True)
class RequestRecord:
    """
    What became of one request.

    ``end`` is ``ok``, ``cancelled``, ``entry_lost``, ``repeat`` or the value of a
    RefusalReason, and ``run_state`` what its caller was told. ``wait_s`` lasts from
    the arrival to the last send, or to the end if nothing was sent. ``runs`` counts
    the endpoints on which the request ran, ``sends`` all sends to endpoints.
    """

    request_id: str
    entry: str
    service: str
    organisation: str
    kind: str
    work_class: str
    idempotent: bool
    key: str | None
    arrived: float
    run_s: float
    deadline_s: float
    ended: float | None = None
    end: str = ""
    run_state: RunState = RunState.NOT_RUN
    wait_s: float = 0.0
    runs: int = 0
    sends: int = 0
    retry_after_s: int | None = None
    endpoints: list = field(default_factory=list)


@dataclass(slots=True)
class ServiceSample:
    """Slots of one service at an instant: all, in use, and requests that wait."""

    t: float
    service: str
    slots: int
    running: int
    queued: int


@dataclass
class RequestReport:
    """
    The result of a replay: a record for each request, in order of arrival.

    ``late_sends`` lists (time, request_id, host) of sends to a host more than
    DRAIN_LIMIT_S after its drain began.
    """

    name: str
    duration_s: float
    records: list = field(default_factory=list)
    samples: list = field(default_factory=list)
    late_sends: list = field(default_factory=list)

    def waits(
        self,
        work_class=None,
        organisation=None,
        ends=("ok",),
        longest_run_s=math.inf,
        start=0.0,
    ):
        """
        Return the sorted waits in seconds of the records that match.

        ``ends`` is None for all ends, and ``longest_run_s`` bounds the true run time.
        """
        return sorted(
            record.wait_s
            for record in self.records
            if (work_class is None or record.work_class == work_class)
            and (organisation is None or record.organisation == organisation)
            and (ends is None or record.end in ends)
            and record.run_s <= longest_run_s
            and record.arrived >= start
        )

    def goodput_s(self, organisation=None, start=0.0, end=math.inf):
        """Return the slot-seconds of requests answered in time, by their arrival."""
        return sum(
            record.run_s
            for record in self.records
            if record.end == "ok"
            and (organisation is None or record.organisation == organisation)
            and start <= record.arrived < end
        )

    def slot_use(self, service=None, start=0.0, end=math.inf):
        """Return the mean share of slots in use while requests wait, or None."""
        chosen = [
            sample
            for sample in self.samples
            if start <= sample.t < end
            and sample.queued > 0
            and service in (None, sample.service)
        ]
        slots = sum(sample.slots for sample in chosen)
        return sum(sample.running for sample in chosen) / slots if slots else None

    @property
    def double_runs(self):
        """The number of non-idempotent requests or keys that ran more than once."""
        runs = defaultdict(int)
        for record in self.records:
            if not record.idempotent:
                name = record.key or f"\0{record.request_id}"
                runs[(record.service, record.organisation, name)] += record.runs
        return sum(count > 1 for count in runs.values())

    @property
    def false_not_run(self):
        """The number of requests refused as "not run" that ran."""
        return sum(
            record.end not in ("ok", "repeat")
            and record.run_state is RunState.NOT_RUN
            and record.runs > 0
            for record in self.records
        )

    @property
    def repeated_endpoints(self):
        """The number of requests that were sent to one endpoint more than once."""
        return sum(
            len(set(record.endpoints)) < len(record.endpoints)
            for record in self.records
        )


def percentile(values, percent):
    """Return the nearest-rank percentile of ``values``, 0.0 if empty."""
    return nearest_rank(values, percent) if values else 0.0


class ReplayEndpoint:
    """One endpoint: its slots, and the requests that run or answer on it."""

    def __init__(self, service, host, data_centre, rack, address, slots):
        self.name = f"{host}/{service}"
        self.service = service
        self.host = host
        self.data_centre = data_centre
        self.rack = rack
        self.address = address
        self.slots = slots
        self.sends = set()
        self.silent_before = -1.0
        self._finishes = []

    def running(self, now):
        """Return the number of slots in use."""
        while self._finishes and self._finishes[0] <= now:
            heapq.heappop(self._finishes)
        return len(self._finishes)

    def occupy(self, until):
        """Take a slot until the given time."""
        heapq.heappush(self._finishes, until)

    def clear(self):
        """Forget what runs, after the host was lost."""
        self._finishes.clear()


@dataclass(eq=False, slots=True)
class Send:
    """One send of a request; ``fresh`` tells whether its connection is new."""

    entry: "ReplayEntry"
    incarnation: int
    request: RequestEntry
    endpoint: ReplayEndpoint
    fresh: bool
    opened: float
    silent: bool = False
    started: bool = False
    ended: bool = False


class ReplayEntry:
    """One entry host: its decisions, connections and view of its peers."""

    def __init__(self, name, data_centre):
        self.name = name
        self.data_centre = data_centre
        self.incarnation = 0
        self.decisions = None
        self.up = True
        self.paused_until = 0.0
        self.reports_stopped_until = 0.0
        self.open = {}
        self.idle = defaultdict(list)
        self.reports = {}
        self.known_leaving = set()


def make_request(arrival, arrived, deadline):
    """Return the RequestEntry of an Arrival; both instants are virtual seconds."""
    return RequestEntry(
        request_id=arrival.request_id,
        service=arrival.service,
        organisation=arrival.organisation,
        kind=arrival.kind,
        declared_class=WorkClass(arrival.work_class),
        idempotent=arrival.idempotent,
        arrived=arrived,
        deadline=deadline,
        body_bytes=arrival.body_bytes,
        declared_s=arrival.declared_s,
        key=arrival.key,
        payload=arrival,
    )


class RequestReplay:
    """Runs one trace; see :func:`replay_requests`."""

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

    # Entry hosts and what they know.

    def _start_entry(self, entry):
        seed = f"{self._seed}/{entry.name}/{entry.incarnation}"
        entry.decisions = self._factory(
            self.clock, random.Random(seed), entry.name, entry.data_centre
        )
        entry.up = True
        self.send_fleet(entry)
        now = self.now
        loops = ((TICK_S, self._tick), (VIEW_S, self._view), (REPORT_S, self._report))
        for period, call in loops:
            phase = self._random.uniform(0, period)
            self.schedule(now + phase, call, entry, entry.incarnation)

    def restart_entry(self, entry, duration):
        """Lose all requests of an entry host and start it again later."""
        entry.up = False
        entry.incarnation += 1
        for request_id in list(entry.open):
            self._end(request_id, "entry_lost", RunState.UNKNOWN)
        entry.idle.clear()
        entry.reports.clear()
        self.schedule(self.now + duration, self._start_entry, entry)

    def entries(self):
        """Return all entry hosts."""
        return list(self._entries.values())

    def entry(self, name):
        """Return an entry host by name."""
        return self._entries[name]

    def send_fleet(self, entry):
        """Tell an entry host the endpoints that it may use."""
        if not entry.up:
            return
        views = [
            EndpointEntry(
                name=endpoint.name,
                service=endpoint.service,
                host=endpoint.host,
                data_centre=endpoint.data_centre,
                address=endpoint.address,
                slots=endpoint.slots,
                leaving=endpoint.host in entry.known_leaving,
            )
            for endpoint in self._present_endpoints()
            if not self.is_cut(entry.data_centre, endpoint.data_centre, GRANT_S)
        ]
        self._carry_out(entry, entry.decisions.set_fleet(self.manifest, views))

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

    def _defer(self, entry, call, *arguments):
        """Postpone a call while the entry host is paused; return whether it is."""
        if self.now < entry.paused_until:
            self.schedule(entry.paused_until, call, *arguments)
            return True
        return False

    def _is_current(self, entry, incarnation):
        return entry.up and entry.incarnation == incarnation and self._running()

    def _tick(self, entry, incarnation):
        if not self._is_current(entry, incarnation):
            return
        if not self._defer(entry, self._tick, entry, incarnation):
            self._carry_out(entry, entry.decisions.tick())
            self.schedule(self.now + TICK_S, self._tick, entry, incarnation)

    def _view(self, entry, incarnation):
        if not self._is_current(entry, incarnation):
            return
        if self._defer(entry, self._view, entry, incarnation):
            return
        demand = {service: [] for service in self.manifest.services}
        for name, (received, data_centre, report) in sorted(entry.reports.items()):
            age = self.now - received
            if age > PEER_DEAD_S:
                continue
            for service, (queued, in_flight) in report.items():
                demand[service].append(
                    PeerDemand(name, data_centre, queued, in_flight, age)
                )
        self._carry_out(entry, entry.decisions.set_peers(demand))
        self.schedule(self.now + VIEW_S, self._view, entry, incarnation)

    def _report(self, entry, incarnation, beat=0):
        if not self._is_current(entry, incarnation):
            return
        if self._defer(entry, self._report, entry, incarnation, beat):
            return
        if self.now >= entry.reports_stopped_until:
            report = entry.decisions.demand()
            for peer in self._entries.values():
                local = peer.data_centre == entry.data_centre
                # Heartbeats across data centres go at half the rate.
                if peer is entry or (beat % 2 and not local):
                    continue
                if not self.is_cut(entry.data_centre, peer.data_centre):
                    delay = self._random.uniform(*REPORT_DELAY_S)
                    self.schedule(self.now + delay, self._receive, peer, entry, report)
        self.schedule(self.now + REPORT_S, self._report, entry, incarnation, beat + 1)

    def _receive(self, peer, sender, report):
        peer.reports[sender.name] = (self.now, sender.data_centre, report)

    # Callers.

    def _arrive(self, arrival):
        record = RequestRecord(
            request_id=arrival.request_id,
            entry=arrival.entry,
            service=arrival.service,
            organisation=arrival.organisation,
            kind=arrival.kind,
            work_class=arrival.work_class,
            idempotent=arrival.idempotent,
            key=arrival.key,
            arrived=self.now,
            run_s=arrival.run_s,
            deadline_s=arrival.deadline_s,
        )
        self.report.records.append(record)
        self._records[arrival.request_id] = record
        self._open_requests += 1
        self._admit(arrival, record)
        if arrival.cancel_s is not None:
            self.schedule(self.now + arrival.cancel_s, self._cancel, arrival.request_id)

    def _balance(self, name):
        """Return the entry host that the load balancer picks in place of ``name``."""
        entry = self._entries[name]
        if entry.up:
            return entry
        others = [other for other in self._entries.values() if other.up]
        near = [other for other in others if other.data_centre == entry.data_centre]
        return self._random.choice(near or others) if others else None

    def _admit(self, arrival, record):
        entry = self._balance(arrival.entry)
        if entry is None:
            self._end(arrival.request_id, "entry_lost", RunState.NOT_RUN)
            return
        if record.ended is not None:
            return
        if self._defer(entry, self._admit, arrival, record):
            return
        record.entry = entry.name
        entry.open[arrival.request_id] = None
        if not self._claim(arrival, record):
            return
        deadline = record.arrived + arrival.deadline_s
        request = make_request(arrival, self.now, deadline)
        self._carry_out(entry, entry.decisions.arrive(request))

    def _claim(self, arrival, record):
        """Claim the key of a non-idempotent request; return whether it may go on."""
        if arrival.idempotent or arrival.key is None:
            return True
        name = (arrival.service, arrival.organisation, arrival.key)
        service = self.manifest.services.get(arrival.service)
        if self.faults["store_down"]:
            if service is not None and service.deduplicates:
                return True
            self._refuse(record, RefusalReason.CLAIMS_UNAVAILABLE, RunState.NOT_RUN)
            return False
        holder = self._claims.setdefault(name, record)
        if holder is record:
            return True
        if holder.end == "ok":
            self._end(record.request_id, "repeat", RunState.RAN)
        elif holder.ended is None:
            self._refuse(record, RefusalReason.IN_PROGRESS, RunState.UNKNOWN)
        else:
            self._refuse(record, RefusalReason.OUTCOME_UNKNOWN, RunState.UNKNOWN)
        return False

    def _cancel(self, request_id):
        record = self._records[request_id]
        if record.ended is not None:
            return
        entry = self._entries[record.entry]
        if self._defer(entry, self._cancel, request_id):
            return
        state = RunState.UNKNOWN if record.sends else RunState.NOT_RUN
        self._end(request_id, "cancelled", state)
        if entry.up:
            self._carry_out(entry, entry.decisions.cancel(request_id))

    def _refuse(self, record, reason, run_state, retry_after_s=None):
        record.retry_after_s = retry_after_s
        self._end(record.request_id, reason.value, run_state)

    def _end(self, request_id, end, run_state):
        record = self._records[request_id]
        if record.ended is not None:
            return
        self._open_requests -= 1
        record.ended = self.now
        record.end = end
        record.run_state = run_state
        if record.sends == 0:
            record.wait_s = self.now - record.arrived
        self._entries[record.entry].open.pop(request_id, None)
        if run_state is RunState.NOT_RUN and end != "repeat":
            name = (record.service, record.organisation, record.key)
            if self._claims.get(name) is record:
                del self._claims[name]

    # Sends to endpoints.

    def _carry_out(self, entry, decisions):
        for decision in decisions:
            if isinstance(decision, Dispatch):
                self._send(entry, decision)
            elif isinstance(decision, Refusal):
                self._refuse(
                    self._records[decision.request.request_id],
                    decision.reason,
                    decision.run_state,
                    decision.retry_after_s,
                )

    def _send(self, entry, dispatch):
        request = dispatch.request
        host = dispatch.endpoint.host
        endpoint = self._endpoints[(dispatch.endpoint.service, host)]
        record = self._records[request.request_id]
        record.sends += 1
        record.wait_s = self.now - record.arrived
        record.endpoints.append(endpoint.name)
        drained = self._leaving.get(host)
        if drained is not None and self.now > drained + DRAIN_LIMIT_S:
            self.report.late_sends.append((self.now, request.request_id, host))
        idle = entry.idle[endpoint.name]
        # Non-idempotent requests always use a new connection.
        reuse = bool(idle) and request.idempotent
        opened = idle.pop() if reuse else self.now
        send = Send(entry, entry.incarnation, request, endpoint, not reuse, opened)
        endpoint.sends.add(send)
        self.schedule(self.now + self._delay(send), self._reach, send)
        self.schedule(
            max(request.deadline, self.now),
            self._finish,
            send,
            SendOutcome.TIMEOUT,
            RunState.UNKNOWN,
        )

    def _delay(self, send):
        local = send.entry.data_centre == send.endpoint.data_centre
        return LOCAL_DELAY_S if local else REMOTE_DELAY_S

    def _later(self, send, seconds, outcome, run_state):
        instant = self.now + seconds + self._delay(send)
        self.schedule(instant, self._finish, send, outcome, run_state)

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

    def _reach(self, send):
        """Let a request arrive at its endpoint."""
        endpoint, request = send.endpoint, send.request
        if send.ended:
            return
        if self.is_cut(send.entry.data_centre, endpoint.data_centre):
            timeout = CONNECT_TIMEOUT_S if send.fresh else SILENCE_TIMEOUT_S
            outcome = SendOutcome.CONNECT_FAILED if send.fresh else SendOutcome.SILENT
            state = RunState.NOT_RUN if send.fresh else RunState.UNKNOWN
            self._later(send, timeout, outcome, state)
        elif self.is_down(endpoint):
            self._later(send, 0.0, SendOutcome.CONNECT_FAILED, RunState.NOT_RUN)
        elif self._is_silent(send):
            send.silent = True
            self._later(send, SILENCE_TIMEOUT_S, SendOutcome.SILENT, RunState.UNKNOWN)
        elif endpoint.running(self.now) >= endpoint.slots:
            self._later(send, 0.0, SendOutcome.BUSY, RunState.NOT_RUN)
        else:
            self._run(send, request)

    def _is_silent(self, send):
        if send.opened <= send.endpoint.silent_before:
            return True
        shares = self.fault_values("endpoint_silent", send.endpoint)
        return any(self._random.random() < share for share in shares)

    def _run(self, send, request):
        endpoint = send.endpoint
        send.started = True
        key = (request.service, request.organisation, request.key)
        repeated = request.key is not None and key in self._seen_keys
        deduplicates = self.manifest.services[request.service].deduplicates
        if not (deduplicates and repeated):
            self._records[request.request_id].runs += 1
        self._seen_keys.add(key)
        failing = self.fault_values("endpoint_failing", endpoint)
        if any(self._random.random() < share for share in failing):
            self._later(send, 0.0, SendOutcome.FAILED, RunState.RAN)
            return
        seconds = request.payload.run_s
        seconds += sum(self.fault_values("endpoint_slow", endpoint))
        endpoint.occupy(self.now + seconds)
        self._later(send, seconds, SendOutcome.OK, RunState.RAN)

    def _finish(self, send, outcome, run_state):
        """Report the end of a send to its entry host, once."""
        if send.ended:
            return
        if send.silent and outcome not in (SendOutcome.SILENT, SendOutcome.TIMEOUT):
            return
        entry, request = send.entry, send.request
        if entry.incarnation != send.incarnation:
            send.ended = True
            send.endpoint.sends.discard(send)
            return
        if self._defer(entry, self._finish, send, outcome, run_state):
            return
        send.ended = True
        send.endpoint.sends.discard(send)
        idle = entry.idle[send.endpoint.name]
        if outcome in (SendOutcome.OK, SendOutcome.BUSY, SendOutcome.FAILED):
            if len(idle) < MAX_IDLE_CONNECTIONS:
                idle.append(send.opened)
        elif outcome is SendOutcome.SILENT:
            # The whole generation opened before the silence is retired.
            idle.clear()
        if outcome is SendOutcome.OK:
            self._end(request.request_id, "ok", RunState.RAN)
        result = SendResult(outcome, run_state, send.fresh)
        self._carry_out(entry, entry.decisions.complete(request, result))

    # Faults and drains.

    def begin_fault(self, fault):
        """Put a fault in force for its duration."""
        active = self.faults[fault.kind]
        active.append(fault)
        self.schedule(self.now + fault.duration_s, active.remove, fault)

    def endpoints_where(self, predicate):
        """Return the endpoints that match, including those of absent hosts."""
        return [e for e in self._endpoints.values() if predicate(e)]

    def lose_sends(self, endpoint):
        """Reset the open connections of an endpoint and end what runs on it."""
        for send in sorted(endpoint.sends, key=lambda s: s.request.request_id):
            self.schedule(
                self.now, self._finish, send, SendOutcome.RESET, RunState.UNKNOWN
            )
        endpoint.clear()
        for entry in self._entries.values():
            entry.idle.pop(endpoint.name, None)

    def _drain(self, drain):
        self._leaving[drain.host] = self.now
        for entry in self._entries.values():
            delay = self._random.uniform(*DRAIN_NOTICE_S)
            self.schedule(self.now + delay, self._notice_drain, entry, drain.host)
        self.schedule(self.now + DRAIN_NOTICE_S[1], self._check_drained, drain)

    def _notice_drain(self, entry, host):
        if not entry.up or self._defer(entry, self._notice_drain, entry, host):
            return
        entry.known_leaving.add(host)
        self._carry_out(entry, entry.decisions.mark_leaving(host))
        # The fleet view of a real entry host confirms the sign at once; a sign alone
        # expires after some seconds.
        self.send_fleet(entry)

    def _check_drained(self, drain):
        busy = any(
            endpoint.sends or endpoint.running(self.now)
            for endpoint in self.endpoints_where(lambda e: e.host == drain.host)
        )
        told = all(drain.host in e.known_leaving for e in self._entries.values())
        if (busy or not told) and self._running():
            self.schedule(self.now + REPORT_S, self._check_drained, drain)
            return
        self._away.add(drain.host)
        self.schedule(self.now + drain.duration_s, self._return_host, drain)

    def _return_host(self, drain):
        self._away.discard(drain.host)
        self._leaving.pop(drain.host, None)
        if drain.target is not None:
            self._pools[drain.host] = drain.target
        for entry in self._entries.values():
            entry.known_leaving.discard(drain.host)
            self.send_fleet(entry)

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


@fault_starters.register("endpoint_failing")
@fault_starters.register("endpoint_slow")
@fault_starters.register("store_down")
def start_plain_fault(replay, fault):
    """Put a fault in force that acts on requests as they come."""
    replay.begin_fault(fault)


@fault_starters.register("endpoint_down")
@fault_starters.register("rack_lost")
def start_loss(replay, fault):
    """Reset the connections of the endpoints that are lost."""
    replay.begin_fault(fault)
    for endpoint in replay.endpoints_where(replay.is_down):
        replay.lose_sends(endpoint)


@fault_starters.register("endpoint_silent")
def start_silence(replay, fault):
    """Silence the connections that are open now."""
    replay.begin_fault(fault)
    for endpoint in replay.endpoints_where(lambda e: e.host == fault.target):
        endpoint.silent_before = replay.now
        for send in sorted(endpoint.sends, key=lambda s: s.request.request_id):
            send.silent = True
            replay._later(send, SILENCE_TIMEOUT_S, SendOutcome.SILENT, RunState.UNKNOWN)


@fault_starters.register("data_centre_cut")
def start_cut(replay, fault):
    """Cut a data centre off; grants across the cut expire after GRANT_S."""
    replay.cut[fault.target] = replay.now
    end = replay.now + fault.duration_s

    def reconnect():
        replay.cut.pop(fault.target, None)
        for entry in replay.entries():
            replay.send_fleet(entry)

    def expire():
        for entry in replay.entries():
            replay.send_fleet(entry)

    replay.schedule(replay.now + GRANT_S, expire)
    replay.schedule(end, reconnect)


@fault_starters.register("entry_paused")
def start_pause(replay, fault):
    """Pause an entry host."""
    replay.entry(fault.target).paused_until = replay.now + fault.duration_s


@fault_starters.register("entry_restart")
def start_restart(replay, fault):
    """Restart an entry host, which loses its requests."""
    replay.restart_entry(replay.entry(fault.target), fault.duration_s)


@fault_starters.register("reports_lost")
def start_report_loss(replay, fault):
    """Stop the demand reports of an entry host."""
    end = replay.now + fault.duration_s
    replay.entry(fault.target).reports_stopped_until = end


def replay_requests(header, events, decisions_factory, seed=0):
    """
    Replay a trace's Arrival, Fault and Drain events and return a RequestReport.

    ``decisions_factory`` is called as ``factory(clock, random, name, data_centre)``
    for each entry host of ``header`` and returns an implementation of
    RequestDecisions, such as ``Dispatcher``. Equal arguments give equal reports.
    Each request carries its Arrival as ``payload``, which only an oracle may read.
    """
    return RequestReplay(header, events, decisions_factory, seed).run()
