"""Seeded request loads for the benchmarks in virtual time."""

import heapq
import math
import random
from dataclasses import dataclass, field

from magnoliapier.traces import Arrival, Drain, Fault, Header

DATA_CENTRE_COUNT = 4
ORGANISATIONS = ("desk-a", "desk-b", "desk-c", "desk-d", "support")
HOSTS = 8
SLOTS = 8
CAPACITY_SLOTS = HOSTS * SLOTS
SHORT_RUN_S = 0.1
LONG_RUN_S = 20.0
SHORT_DEADLINE_S = 5.0
# A shorter deadline would cap the waits of the policies that are compared.
MONTH_END_DEADLINE_S = 30.0
LONG_DEADLINE_S = 300.0


def make_header(name, duration_s, entries=7, hosts=HOSTS, services=("wire",)):
    """Return a trace header for the present fleet, with one pool per service."""
    manifest = {
        "organisations": {name: {} for name in ORGANISATIONS},
        "services": {name: {"pool": name} for name in services},
        "pools": {name: {} for name in services},
        "hosts": {
            f"{service}-{n}": {
                "data_centre": f"dc-{n % DATA_CENTRE_COUNT + 1}",
                "rack": f"{service}-rack-{n // 4}",
                "pool": service,
                "address": f"127.0.0.1:{20000 + n}",
            }
            for service in services
            for n in range(hosts)
        },
    }
    entry_hosts = {
        f"entry-{n + 1}": f"dc-{n % DATA_CENTRE_COUNT + 1}" for n in range(entries)
    }
    return Header(name, "", duration_s, entry_hosts, manifest)


@dataclass
class Stream:
    """
    Requests of one organisation and kind, arriving at random.

    ``slots`` is the mean number of slots that the work occupies, in slot-seconds per
    second. If ``burst_s`` is not 0, the rate is five times the mean during bursts of
    that many seconds and a twentieth of the mean between them; ``burst_phase``, from
    0 to 1, shifts the bursts within their period and is random if None.
    ``straggler_share`` of the requests run ``straggler_factor`` times longer.
    ``sigma`` is the standard deviation of the logarithm of run times.
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
    burst_phase: float | None = None
    sigma: float = 0.6
    straggler_share: float = 0.0
    straggler_factor: float = 50.0
    idempotent: bool = True
    cancel_share: float = 0.0

    def arrivals(self, rng, duration_s, entries, number):
        """Yield the arrivals in order of time; ``number`` starts their request ids."""
        mean_run = self.run_s * math.exp(self.sigma**2 / 2)
        mean_run *= 1 + self.straggler_share * (self.straggler_factor - 1)
        rate = self.slots / mean_run
        end = min(self.end_s, duration_s)
        t = self.start_s
        # The share of time in bursts that keeps the mean rate as given.
        burst_share = (1 - 1 / 20) / (5 - 1 / 20)
        burst_phase = rng.random() if self.burst_phase is None else self.burst_phase
        burst_offset_s = burst_phase * self.burst_s / burst_share
        count = 0
        while True:
            t += rng.expovariate(5 * rate if self.burst_s else rate)
            if t >= end:
                return
            if self.burst_s:
                position = (t + burst_offset_s) % (self.burst_s / burst_share)
                if position > self.burst_s and rng.random() > 0.01:
                    continue
            count += 1
            yield self.make_arrival(rng, t, entries, f"{number}-{count}")

    def make_arrival(self, rng, t, entries, request_id):
        """Return an arrival at time ``t`` through a random entry host."""
        run_s = self.run_s * rng.lognormvariate(0, self.sigma)
        if rng.random() < self.straggler_share:
            run_s *= self.straggler_factor
        cancelled = rng.random() < self.cancel_share
        return Arrival(
            t=t,
            entry=rng.choice(entries),
            request_id=request_id,
            service="wire",
            organisation=self.organisation,
            kind=self.kind,
            work_class=self.work_class,
            run_s=run_s,
            deadline_s=self.deadline_s,
            idempotent=self.idempotent,
            # Declared run times are wrong by up to a factor of 10 in either direction.
            declared_s=run_s * 10 ** rng.uniform(-1, 1),
            key=None if self.idempotent else f"key-{request_id}",
            cancel_s=rng.uniform(0, 2) if cancelled else None,
        )


@dataclass
class Load:
    """
    A load of several streams, with faults.

    Figures leave out the first ``warm_up_s`` seconds. ``flooder`` is the organisation
    that floods the service, if any.
    """

    name: str
    duration_s: float
    streams: list
    warm_up_s: float = 0.0
    entries: int = 7
    hosts: int = HOSTS
    faults: list = field(default_factory=list)
    flooder: str = ""

    @property
    def header(self):
        """The trace header."""
        return make_header(self.name, self.duration_s, self.entries, self.hosts)

    def events(self, seed):
        """Return an iterator over all events in order of time."""
        entries = list(self.header.entry_hosts)
        event_streams = [sorted(self.faults, key=lambda fault: fault.t)]
        for number, stream in enumerate(self.streams):
            rng = random.Random(f"{seed}/{self.name}/{number}")
            event_streams.append(stream.arrivals(rng, self.duration_s, entries, number))
        return heapq.merge(*event_streams, key=lambda event: event.t)


def short_stream(organisation, slots, kind="short/filing", **options):
    """Return a stream of short work."""
    values = {"run_s": SHORT_RUN_S, "deadline_s": SHORT_DEADLINE_S} | options
    return Stream(organisation, kind, "short", slots=slots, **values)


def long_stream(organisation, slots, kind="long/archive", **options):
    """Return a stream of long work."""
    values = {"run_s": LONG_RUN_S, "deadline_s": LONG_DEADLINE_S} | options
    return Stream(organisation, kind, "long", slots=slots, **values)


def month_end_load(faults=False, coinciding=False, deadline_s=MONTH_END_DEADLINE_S):
    """
    Return the month-end load.

    It has bursts of short work, more long work than the slots can run, and requests
    declared with the wrong class. Organisations burst one after another, or at random
    times if ``coinciding``. Short work takes about a fifth of the slots, and long work
    needs more than the rest. One organisation declares archive runs as short, another
    declares filings as long, and one in 200 short requests is a straggler.
    """
    streams = []
    for number, name in enumerate(ORGANISATIONS):
        burst_phase = None if coinciding else number / len(ORGANISATIONS)
        options = {"burst_s": 5.0, "burst_phase": burst_phase, "deadline_s": deadline_s}
        streams.append(short_stream(name, 2.0, straggler_share=0.005, **options))
        streams.append(long_stream(name, 10.0))
    index = {"run_s": LONG_RUN_S, "deadline_s": LONG_DEADLINE_S}
    streams.append(short_stream("desk-c", 6.0, "short/index", **index))
    filing = {"burst_s": 5.0, "deadline_s": deadline_s}
    streams.append(short_stream("desk-d", 0.5, "long/filing", **filing))
    streams[-1].work_class = "long"
    payment = {"idempotent": False, "cancel_share": 0.05, "deadline_s": deadline_s}
    streams.append(short_stream("desk-a", 0.5, "short/payment", **payment))
    load = Load("month-end", 180.0, streams, warm_up_s=30.0)
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
    """
    Return work of ``factor`` times the capacity.

    Half of it is short and half long, as on days other than month-end.
    """
    organisation_slots = factor * CAPACITY_SLOTS / len(ORGANISATIONS)
    streams = []
    for name in ORGANISATIONS:
        streams.append(short_stream(name, 0.5 * organisation_slots))
        streams.append(
            long_stream(name, 0.5 * organisation_slots, run_s=4.0, deadline_s=60.0)
        )
    return Load("overload", 120.0, streams, warm_up_s=40.0)


def flood_load(kind):
    """
    Return a flood of requests by desk-a beside the normal work of the others.

    ``kind`` is "short", "mislabelled" (long work declared as short), "long" or None
    for no flood. Each of the others needs nine tenths of its fair share of all slots.
    """
    organisation_slots = CAPACITY_SLOTS / len(ORGANISATIONS)
    streams = []
    for name in ORGANISATIONS[1:]:
        streams.append(short_stream(name, 0.3 * organisation_slots))
        streams.append(
            long_stream(name, 0.6 * organisation_slots, run_s=4.0, deadline_s=60.0)
        )
    floods = {
        "short": short_stream("desk-a", 10 * organisation_slots, start_s=20.0),
        "mislabelled": short_stream(
            "desk-a", 10 * organisation_slots, run_s=LONG_RUN_S, start_s=20.0
        ),
        "long": long_stream("desk-a", 10 * organisation_slots, start_s=20.0),
    }
    if kind is not None:
        streams.append(floods[kind])
    return Load(f"flood-{kind}", 120.0, streams, warm_up_s=30.0, flooder="desk-a")


def saturation_load():
    """Return short work for a fifth of the slots and long work for 1.5 times all."""
    streams = []
    for name in ORGANISATIONS:
        streams.append(short_stream(name, 0.2 * CAPACITY_SLOTS / len(ORGANISATIONS)))
        streams.append(long_stream(name, 1.5 * CAPACITY_SLOTS / len(ORGANISATIONS)))
    return Load("saturation", 120.0, streams, warm_up_s=40.0)


def long_only_load():
    """Return the long work of the saturation load alone."""
    load = saturation_load()
    load.streams = [s for s in load.streams if s.work_class == "long"]
    return load
