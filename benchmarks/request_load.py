"""Seeded loads of requests for the benchmark, built in virtual time."""

import heapq
import math
import random
from dataclasses import dataclass, field

from magnoliapier.traces import Arrival, Drain, Fault, Header

DATA_CENTRES = 4
ORGANISATIONS = ("desk-a", "desk-b", "desk-c", "desk-d", "support")
HOSTS = 8
SLOTS = 8
CAPACITY_SLOTS = HOSTS * SLOTS
SHORT_S = 0.1
LONG_S = 20.0
SHORT_DEADLINE_S = 5.0
# The default deadline of the settings. Shorter ones would cut off the waits of the
# policies that are compared.
MONTH_END_DEADLINE_S = 30.0
LONG_DEADLINE_S = 300.0


def make_header(name, duration_s, entries=7, hosts=HOSTS, services=("wire",)):
    """Return a trace header with the sizes of today, and one pool per service."""
    manifest = {
        "organisations": {name: {} for name in ORGANISATIONS},
        "services": {name: {"pool": name} for name in services},
        "pools": {name: {} for name in services},
        "hosts": {
            f"{service}-{n}": {
                "data_centre": f"dc-{n % DATA_CENTRES + 1}",
                "rack": f"{service}-rack-{n // 4}",
                "pool": service,
                "address": f"127.0.0.1:{20000 + n}",
            }
            for service in services
            for n in range(hosts)
        },
    }
    places = {f"entry-{n + 1}": f"dc-{n % DATA_CENTRES + 1}" for n in range(entries)}
    return Header(name, "", duration_s, places, manifest)


@dataclass
class Stream:
    """
    Requests of one organisation and kind, arriving at random.

    ``slots`` is the mean work per second in slots. During a burst of ``burst_s``
    the rate is five times the mean, in between a twentieth; ``turn``, 0 to 1, is its
    place in the period, random if None. ``straggler_share`` of
    the requests run ``straggler_factor`` times longer. ``sigma`` is the spread of
    the logarithm of run times.
    """

    organisation: str
    kind: str
    work_class: str
    run_s: float
    slots: float
    deadline_s: float
    start_s: float = 0.0
    end_s: float = math.inf
    burst_s: float = 0.0
    turn: float | None = None
    sigma: float = 0.6
    straggler_share: float = 0.0
    straggler_factor: float = 50.0
    idempotent: bool = True
    cancel_share: float = 0.0

    def arrivals(self, source, duration_s, entries, number):
        """Yield the arrivals of the stream in order of time."""
        mean_run = self.run_s * math.exp(self.sigma**2 / 2)
        mean_run *= 1 + self.straggler_share * (self.straggler_factor - 1)
        rate = self.slots / mean_run
        end = min(self.end_s, duration_s)
        t = self.start_s
        # Share of time in bursts so that the mean rate stays as given.
        share = (1 - 1 / 20) / (5 - 1 / 20)
        turn = source.random() if self.turn is None else self.turn
        phase = turn * self.burst_s / share
        count = 0
        while True:
            t += source.expovariate(5 * rate if self.burst_s else rate)
            if t >= end:
                return
            if self.burst_s:
                position = (t + phase) % (self.burst_s / share)
                if position > self.burst_s and source.random() > 0.01:
                    continue
            count += 1
            yield self.make(source, t, entries, f"{number}-{count}")

    def make(self, source, t, entries, request_id):
        """Return one arrival."""
        run_s = self.run_s * source.lognormvariate(0, self.sigma)
        if source.random() < self.straggler_share:
            run_s *= self.straggler_factor
        cancelled = source.random() < self.cancel_share
        return Arrival(
            t=t,
            entry=source.choice(entries),
            request_id=request_id,
            service="wire",
            organisation=self.organisation,
            kind=self.kind,
            work_class=self.work_class,
            run_s=run_s,
            deadline_s=self.deadline_s,
            idempotent=self.idempotent,
            # Declared run times are wrong by an order of magnitude either way.
            declared_s=run_s * 10 ** source.uniform(-1, 1),
            key=None if self.idempotent else f"key-{request_id}",
            cancel_s=source.uniform(0, 2) if cancelled else None,
        )


@dataclass
class Load:
    """A load: its header and streams. Figures leave out the first ``warm_s``."""

    name: str
    duration_s: float
    streams: list
    warm_s: float = 0.0
    entries: int = 7
    hosts: int = HOSTS
    faults: list = field(default_factory=list)
    flooder: str = ""

    @property
    def header(self):
        """The trace header."""
        return make_header(self.name, self.duration_s, self.entries, self.hosts)

    def events(self, seed):
        """Yield all events in order of time."""
        entries = list(self.header.entry_hosts)
        parts = [sorted(self.faults, key=lambda fault: fault.t)]
        for number, stream in enumerate(self.streams):
            source = random.Random(f"{seed}/{self.name}/{number}")
            parts.append(stream.arrivals(source, self.duration_s, entries, number))
        return heapq.merge(*parts, key=lambda event: event.t)


def short(organisation, slots, kind="short/filing", **options):
    """Return a stream of short work."""
    values = {"run_s": SHORT_S, "deadline_s": SHORT_DEADLINE_S} | options
    return Stream(organisation, kind, "short", slots=slots, **values)


def long(organisation, slots, kind="long/archive", **options):
    """Return a stream of long work."""
    values = {"run_s": LONG_S, "deadline_s": LONG_DEADLINE_S} | options
    return Stream(organisation, kind, "long", slots=slots, **values)


def month_end_load(faults=False, coinciding=False, deadline_s=MONTH_END_DEADLINE_S):
    """
    Return month-end: bursts of short work, more long work than fits, wrong labels.

    Organisations burst in turn, or at random times if ``coinciding``.
    Short work takes about a fifth of the slots, long work wants more than the
    rest. One desk declares archive runs as short, another its filings as long, and
    one in 200 short requests is a straggler.
    """
    streams = []
    for number, name in enumerate(ORGANISATIONS):
        turn = None if coinciding else number / len(ORGANISATIONS)
        options = {"burst_s": 5.0, "turn": turn, "deadline_s": deadline_s}
        streams.append(short(name, 2.0, straggler_share=0.005, **options))
        streams.append(long(name, 10.0))
    index = {"run_s": LONG_S, "deadline_s": LONG_DEADLINE_S}
    streams.append(short("desk-c", 6.0, "short/index", **index))
    filing = {"burst_s": 5.0, "deadline_s": deadline_s}
    streams.append(short("desk-d", 0.5, "long/filing", **filing))
    streams[-1].work_class = "long"
    payment = {"idempotent": False, "cancel_share": 0.05, "deadline_s": deadline_s}
    streams.append(short("desk-a", 0.5, "short/payment", **payment))
    load = Load("month-end", 180.0, streams, warm_s=30.0)
    if faults:
        load.faults = fault_events()
    return load


def fault_events():
    """Return one fault of each kind, and a drain."""
    return [
        Fault(30.0, "endpoint_failing", 15.0, "wire-0"),
        Fault(35.0, "endpoint_failing", 15.0, "wire-1", 0.5),
        Fault(50.0, "endpoint_silent", 10.0, "wire-2", 0.5),
        Fault(60.0, "endpoint_slow", 10.0, "wire-3", 1.0),
        Fault(70.0, "endpoint_down", 10.0, "wire-4"),
        Fault(85.0, "data_centre_cut", 15.0, "dc-2"),
        Fault(105.0, "entry_paused", 3.0, "entry-1"),
        Fault(110.0, "entry_restart", 5.0, "entry-2"),
        Drain(120.0, "wire-5", duration_s=10.0),
        Fault(130.0, "rack_lost", 10.0, "wire-rack-0"),
        Fault(145.0, "store_down", 5.0),
        Fault(150.0, "reports_lost", 15.0, "entry-3"),
    ]


def overload_load(factor):
    """Return work of ``factor`` times the capacity, mixed as on other days."""
    part = factor * CAPACITY_SLOTS / len(ORGANISATIONS)
    streams = []
    for name in ORGANISATIONS:
        streams.append(short(name, 0.5 * part))
        streams.append(long(name, 0.5 * part, run_s=4.0, deadline_s=60.0))
    return Load("overload", 120.0, streams, warm_s=40.0)


def flood_load(kind):
    """
    Return a flood by desk-a of one kind, or of none, against work of the others.

    Each of the others wants nine tenths of its fair share of all slots.
    """
    part = CAPACITY_SLOTS / len(ORGANISATIONS)
    streams = []
    for name in ORGANISATIONS[1:]:
        streams.append(short(name, 0.3 * part))
        streams.append(long(name, 0.6 * part, run_s=4.0, deadline_s=60.0))
    floods = {
        "short": short("desk-a", 10 * part, start_s=20.0),
        "mislabelled": short("desk-a", 10 * part, run_s=LONG_S, start_s=20.0),
        "long": long("desk-a", 10 * part, start_s=20.0),
    }
    if kind is not None:
        streams.append(floods[kind])
    return Load(f"flood-{kind}", 120.0, streams, warm_s=30.0, flooder="desk-a")


def saturation_load():
    """Return more long work than fits beside a fifth of short work."""
    streams = []
    for name in ORGANISATIONS:
        streams.append(short(name, 0.2 * CAPACITY_SLOTS / len(ORGANISATIONS)))
        streams.append(long(name, 1.5 * CAPACITY_SLOTS / len(ORGANISATIONS)))
    return Load("saturation", 120.0, streams, warm_s=40.0)


def long_only_load():
    """Return the long work of the saturation load alone."""
    load = saturation_load()
    load.streams = [s for s in load.streams if s.work_class == "long"]
    return load
