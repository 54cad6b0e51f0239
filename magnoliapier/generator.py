"""
Generates short traces and their expected outcomes from a seed.

Run as ``python -m magnoliapier.generator --output traces --seed 1``; the same
seed gives the same bytes. Each scenario writes ``<name>.jsonl.gz`` and
``<name>.outcomes.json``. The outcomes state the invariants and targets of
``docs/design.md``; they are never derived from the results of a run.

The numbers follow from the section "Sizes today" of the design page:

- 4 data centres; 5 services, one of which is the shared ``support``; 8 endpoints
  with 8 slots each per service, so 64 slots per service (``POOL_SLOTS``).
- A pool of 8 hosts has 2 hosts in each data centre, because each data centre has
  its own endpoints. With 2 spare hosts, a data centre then has 12 hosts, which is
  3 racks of 4. The page does not give the number of spare hosts; 8 fill the racks.
  No rack contains two hosts of one pool.
- 32 cores per host, with 128 GB at the consortium and 64 GB at Frokostkassa.
- 7 entry hosts at the consortium and 6 at Frokostkassa; the page gives 6 to 7.
- A burst demands 5 times the mean and more slots than the pool has, so the mean is
  above 64 / 5 = 12.8 slots; ``MONTH_END_SLOTS`` is 16, with bursts of 80 slots. Between
  bursts a service demands a twentieth of the mean, 0.8 slots. Five services that
  burst in turn demand 5 / 5 + 4 / 5 / 20 = 1.04 times the mean on average, so the
  two ratios are consistent.
- Month-end has ten times the load of any other day: ``NORMAL_SLOTS`` is 1.6.
- Bursts last "some seconds"; ``BURST_S`` is 8, four times the run time of long
  work, because a shorter burst ends before its work fills the slots.
- The one-way network delays of 1 ms are not part of a trace; the request driver adds
  delays of its own.

Run times are not on the page. Short work takes 0.1 s (the manifest's default
expectation); long work takes 2 s instead of the expected 60 s, so that each service
bursts once within a trace of a minute. One request in a hundred is a straggler
that takes 20 times its run time. Declared run times differ from the true ones by a
factor of 3 in either direction (one standard deviation of a lognormal).
"""

import argparse
import json
import math
import random
from dataclasses import dataclass
from pathlib import Path

from magnoliapier.registry import Registry
from magnoliapier.traces import (
    Arrival,
    Commit,
    DemandSample,
    Drain,
    Fault,
    Header,
    write_trace,
)

scenarios = Registry("scenario")

DATA_CENTRES = ("dc-1", "dc-2", "dc-3", "dc-4")
ENDPOINTS_PER_SERVICE = 8
SLOTS_PER_ENDPOINT = 8
POOL_SLOTS = ENDPOINTS_PER_SERVICE * SLOTS_PER_ENDPOINT
CORES_PER_HOST = 32
MONTH_END_SLOTS = 16.0
NORMAL_SLOTS = MONTH_END_SLOTS / 10
BURST_FACTOR = 5.0
QUIET_FACTOR = 1 / 20
BURST_S = 8.0
SHORT_RUN_S = 0.1
LONG_RUN_S = 2.0
SHORT_DEADLINE_S = 5.0
LONG_DEADLINE_S = 120.0
STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 20.0
DECLARED_LOG_SIGMA = math.log(3)
DAY_S = 86_400.0
# The driver ticks once per simulated minute; 30 days would take over 8 s per policy.
MONTH_DAYS = 10
# For each rack of a data centre, the indexes of its hosts' pools; a pool occurs at
# most once in a rack.
POOL_INDEXES_BY_RACK = ((0, 1, 2, 5), (0, 3, 4, 5), (1, 2, 3, 4))


@dataclass(frozen=True)
class Deployment:
    """
    A deployment of the platform: its services, organisations and hosts.

    ``kinds`` maps each work class to pairs of a request kind and its share of
    requests that are not idempotent.
    """

    name: str
    services: tuple
    organisations: tuple
    entry_hosts: int
    memory_gb: int
    kinds: dict

    def pools(self):
        """Return the pool names; a service's pool has the service's name."""
        return (*self.services, "spare")


CONSORTIUM = Deployment(
    "sundarban",
    ("desk-a", "desk-b", "desk-c", "desk-d", "support"),
    ("desk-a", "desk-b", "desk-c", "desk-d", "support"),
    entry_hosts=7,
    memory_gb=128,
    kinds={
        "short": (("short/filings", 0.5), ("short/calls", 0.0)),
        "long": (("long/archive", 0.0), ("long/index", 0.0), ("long/transcribe", 0.0)),
    },
)
FROKOSTKASSA = Deployment(
    "frokostkassa",
    ("registers", "check-ins", "billing", "reports", "support"),
    tuple(f"club-{number}" for number in range(1, 9)),
    entry_hosts=6,
    memory_gb=64,
    kinds={
        "short": (("short/check-ins", 0.5), ("short/sign-ups", 0.5)),
        "long": (("long/billing", 0.0), ("long/reports", 0.0)),
    },
)


@dataclass
class Scenario:
    """A generated trace with its outcomes."""

    header: Header
    events: list
    outcomes: dict


def build_manifest(deployment):
    """Return the manifest of a deployment as a dict for JSON."""
    pools = deployment.pools()
    hosts = {}
    for centre_index, data_centre in enumerate(DATA_CENTRES):
        for rack_index, pool_indexes in enumerate(POOL_INDEXES_BY_RACK):
            for position, pool_index in enumerate(pool_indexes):
                number = centre_index * 12 + rack_index * 4 + position
                hosts[f"w-{centre_index + 1}{rack_index + 1}{position + 1}"] = {
                    "data_centre": data_centre,
                    "rack": f"rack-{centre_index + 1}-{rack_index + 1}",
                    "pool": pools[pool_index],
                    "address": f"127.0.0.1:{20_000 + number}",
                    "cores": CORES_PER_HOST,
                    "memory_gb": deployment.memory_gb,
                }
    return {
        "organisations": {name: {} for name in deployment.organisations},
        "services": {name: {"pool": name} for name in deployment.services},
        "pools": {
            name: {"min_hosts": 0 if name == "spare" else 2, "max_unavailable": 1}
            for name in pools
        },
        "hosts": hosts,
        "calendar": {
            "month-end": {
                "pools": list(deployment.services),
                "start_day": -1,
                "end_day": -1,
                "factor": 10.0,
            }
        },
    }


def build_header(deployment, name, description, duration_s, seed, **changes):
    """Return a header; ``changes`` replace sections of the manifest."""
    entry_hosts = {
        f"entry-{number + 1}": DATA_CENTRES[number % len(DATA_CENTRES)]
        for number in range(deployment.entry_hosts)
    }
    manifest = build_manifest(deployment) | changes
    return Header(name, description, duration_s, entry_hosts, manifest, seed)


def initial_hosts(header, pool):
    """Return the names of the hosts that start in ``pool``, sorted."""
    hosts = header.manifest["hosts"]
    return sorted(name for name, host in hosts.items() if host["pool"] == pool)


class ArrivalGenerator:
    """Draws random arrivals of one deployment from a seed."""

    def __init__(self, deployment, header, seed):
        self._deployment = deployment
        self._entries = sorted(header.entry_hosts)
        self._random = random.Random(f"{header.name}/{seed}")
        self._count = 0
        self.events = []

    def add_demand(self, service, start_s, end_s, slots, long_share=0.5, **options):
        """
        Add arrivals that demand ``slots`` of a service from ``start_s`` to ``end_s``.

        ``long_share`` is the share of slot-seconds that is long work.
        """
        for work_class, share, run_s in (
            ("short", 1 - long_share, SHORT_RUN_S),
            ("long", long_share, LONG_RUN_S),
        ):
            # Stragglers lengthen the mean run time and lower the rate.
            mean_s = run_s * (1 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1))
            rate = slots * share / mean_s
            self.add_arrivals(service, work_class, start_s, end_s, rate, **options)

    def add_arrivals(self, service, work_class, start_s, end_s, rate, **options):
        """Add Poisson arrivals of one class at ``rate`` per second."""
        arrival_s = start_s
        while rate > 0:
            arrival_s += self._random.expovariate(rate)
            if arrival_s >= end_s:
                return
            self._add_arrival(arrival_s, service, work_class, **options)

    def add_rotating_bursts(self, mean_slots, start_s, end_s, long_share=0.5):
        """Add bursts of one service after the other; the rest demand a twentieth."""
        services = self._deployment.services
        turn = 0
        while start_s < end_s:
            stop_s = min(start_s + BURST_S, end_s)
            for index, service in enumerate(services):
                bursting = index == turn % len(services)
                factor = BURST_FACTOR if bursting else QUIET_FACTOR
                self.add_demand(
                    service, start_s, stop_s, mean_slots * factor, long_share
                )
            start_s = stop_s
            turn += 1

    def _add_arrival(
        self, arrival_s, service, work_class, organisation=None, max_cancel_s=None
    ):
        rng = self._random
        kind, non_idempotent_share = rng.choice(self._deployment.kinds[work_class])
        mean_s = SHORT_RUN_S if work_class == "short" else LONG_RUN_S
        # With shape 4, the standard deviation is half the mean.
        run_s = rng.gammavariate(4, mean_s / 4)
        if rng.random() < STRAGGLER_SHARE:
            run_s *= STRAGGLER_FACTOR
        self._count += 1
        idempotent = rng.random() >= non_idempotent_share
        self.events.append(
            Arrival(
                t=round(arrival_s, 4),
                entry=rng.choice(self._entries),
                request_id=f"r{self._count}",
                service=service,
                organisation=organisation or self._draw_organisation(service),
                kind=kind,
                work_class=work_class,
                run_s=round(run_s, 4),
                deadline_s=(
                    SHORT_DEADLINE_S if work_class == "short" else LONG_DEADLINE_S
                ),
                idempotent=idempotent,
                declared_s=round(run_s * rng.lognormvariate(0, DECLARED_LOG_SIGMA), 3),
                key=None if idempotent else f"k{self._count}",
                cancel_s=(
                    round(rng.uniform(0, max_cancel_s), 3) if max_cancel_s else None
                ),
            )
        )

    def _draw_organisation(self, service):
        # A service named after an organisation gets most requests from it, and the rest
        # from all organisations.
        names = self._deployment.organisations
        if service in names and service != "support" and self._random.random() < 0.6:
            return service
        return self._random.choice(names)


REQUEST_INVARIANTS = [
    {"check": "answered_once"},
    {"check": "not_run_is_true"},
    {"check": "at_most_once"},
]


def request_outcomes(*checks):
    """Return the outcomes of a request trace: the invariants and ``checks``."""
    return {"drivers": ["requests"], "checks": [*REQUEST_INVARIANTS, *checks]}


def fleet_outcomes(*checks, drivers=("fleet",)):
    """Return the outcomes of a fleet trace: ``single_pool`` and ``checks``."""
    return {"drivers": list(drivers), "checks": [{"check": "single_pool"}, *checks]}


@scenarios.register("morning")
def normal_morning(name, seed):
    """A normal day's load, and check-ins at five times their mean before the bell."""
    header = build_header(FROKOSTKASSA, name, normal_morning.__doc__, 60.0, seed)
    arrivals = ArrivalGenerator(FROKOSTKASSA, header, seed)
    for service in FROKOSTKASSA.services:
        if service != "check-ins":
            arrivals.add_demand(service, 0, 60, NORMAL_SLOTS)
    arrivals.add_demand("check-ins", 0, 20, NORMAL_SLOTS, long_share=0)
    arrivals.add_demand("check-ins", 20, 45, NORMAL_SLOTS * BURST_FACTOR, long_share=0)
    arrivals.add_demand("check-ins", 45, 60, NORMAL_SLOTS * QUIET_FACTOR, long_share=0)
    # The peak demands 8 of 64 slots, so no refusal is justified.
    outcomes = request_outcomes(
        {"check": "refusals", "max_share": 0.0},
        {"check": "deadlines", "work_class": "short", "min_share": 1.0},
        {
            "check": "wait_percentile",
            "work_class": "short",
            "percentile": 99.0,
            "max_s": SHORT_DEADLINE_S,
            "each_organisation": True,
        },
    )
    return Scenario(header, arrivals.events, outcomes)


@scenarios.register("month-end")
def month_end(name, seed):
    """Ten times a normal day: the desks burst in turn, mostly with archive runs."""
    header = build_header(CONSORTIUM, name, month_end.__doc__, 60.0, seed)
    arrivals = ArrivalGenerator(CONSORTIUM, header, seed)
    arrivals.add_rotating_bursts(MONTH_END_SLOTS, 0, 60, long_share=0.9)
    short = {"work_class": "short", "percentile": 99}
    outcomes = request_outcomes(
        {"check": "wait_versus", "policy": "fifo", "max_ratio": 0.05, **short},
        {"check": "wait_versus", "policy": "oracle", "max_ratio": 1.5, **short},
    )
    return Scenario(header, arrivals.events, outcomes)


@scenarios.register("saturation")
def saturation(name, seed):
    """One desk's service is asked for one and a quarter of its slots without pause."""
    header = build_header(CONSORTIUM, name, saturation.__doc__, 40.0, seed)
    arrivals = ArrivalGenerator(CONSORTIUM, header, seed)
    burst = MONTH_END_SLOTS * BURST_FACTOR
    arrivals.add_demand("desk-a", 0, 40, burst, long_share=0.9)
    # The demand is 80 slots and 64 exist, so the queue is full long before 10 s.
    outcomes = request_outcomes(
        {
            "check": "slot_use",
            "service": "desk-a",
            "slots": POOL_SLOTS,
            "start_s": 10.0,
            "end_s": 40.0,
            "min_share": 0.95,
        }
    )
    return Scenario(header, arrivals.events, outcomes)


@scenarios.register("flood")
def flood(name, seed):
    """One desk floods the shared support at ten times its burst; others carry on."""
    header = build_header(CONSORTIUM, name, flood.__doc__, 40.0, seed)
    arrivals = ArrivalGenerator(CONSORTIUM, header, seed)
    others = [name for name in CONSORTIUM.organisations if name != "desk-d"]
    for organisation in others:
        # 4 x 12 = 48 slots are below the pool's 64, and 12 slots are below the share
        # of one of five organisations (64 / 5 = 12.8).
        arrivals.add_demand("support", 0, 40, 12.0, 0.9, organisation=organisation)
    arrivals.add_demand("support", 10, 30, 160.0, 0.9, organisation="desk-d")
    outcomes = request_outcomes(
        {
            "check": "fair_share",
            "service": "support",
            "slots": POOL_SLOTS,
            "start_s": 12.0,
            "end_s": 30.0,
            "min_share": 0.95,
        }
    )
    return Scenario(header, arrivals.events, outcomes)


@scenarios.register("overload")
def overload(name, seed):
    """All clubs ask the check-ins for ten times its capacity."""
    header = build_header(FROKOSTKASSA, name, overload.__doc__, 12.0, seed)
    arrivals = ArrivalGenerator(FROKOSTKASSA, header, seed)
    # 640 slots of 0.1 s work would make the trace too large, so most work is long.
    arrivals.add_demand("check-ins", 0, 12, POOL_SLOTS * 10, long_share=0.95)
    outcomes = request_outcomes(
        {
            "check": "goodput",
            "service": "check-ins",
            "slots": POOL_SLOTS,
            "start_s": 2.0,
            "end_s": 12.0,
            "min_share": 0.95,
        }
    )
    return Scenario(header, arrivals.events, outcomes)


@scenarios.register("cancellations")
def cancellations(name, seed):
    """Nine callers in ten leave within two seconds during one burst."""
    header = build_header(CONSORTIUM, name, cancellations.__doc__, 30.0, seed)
    arrivals = ArrivalGenerator(CONSORTIUM, header, seed)
    burst = MONTH_END_SLOTS * BURST_FACTOR
    arrivals.add_demand("desk-b", 0, 30, NORMAL_SLOTS * BURST_FACTOR)
    arrivals.add_demand("desk-b", 8, 16, 9 * burst, 0.9, max_cancel_s=2.0)
    arrivals.add_demand("desk-b", 8, 16, burst, 0.9)
    outcomes = request_outcomes({"check": "cancelled_dropped"})
    return Scenario(header, arrivals.events, outcomes)


@scenarios.register("third-failing")
def third_failing(name, seed):
    """A third of the workers (13 of 40) fail everything they start for 25 s."""
    header = build_header(CONSORTIUM, name, third_failing.__doc__, 40.0, seed)
    arrivals = ArrivalGenerator(CONSORTIUM, header, seed)
    for service in CONSORTIUM.services:
        arrivals.add_demand(service, 0, 40, MONTH_END_SLOTS / 2)
    failing = [
        host
        for pool, count in zip(CONSORTIUM.services, (3, 3, 3, 2, 2), strict=True)
        for host in initial_hosts(header, pool)[:count]
    ]
    faults = [Fault(10.0, "endpoint_failing", 25.0, host) for host in failing]
    outcomes = request_outcomes(
        {"check": "retry_amplification", "max_ratio": 1.2},
        {"check": "ejected_share", "max_share": 1 / 3},
    )
    return Scenario(header, arrivals.events + faults, outcomes)


@scenarios.register("silent")
def silent(name, seed):
    """Open connections of two endpoints fall silent; new connections work."""
    header = build_header(FROKOSTKASSA, name, silent.__doc__, 40.0, seed)
    arrivals = ArrivalGenerator(FROKOSTKASSA, header, seed)
    arrivals.add_demand("billing", 0, 40, MONTH_END_SLOTS, long_share=0.5)
    hosts = initial_hosts(header, "billing")[:2]
    faults = [Fault(10.0, "endpoint_silent", 15.0, host) for host in hosts]
    outcomes = request_outcomes({"check": "retry_amplification", "max_ratio": 1.2})
    return Scenario(header, arrivals.events + faults, outcomes)


@scenarios.register("leaving")
def leaving(name, seed):
    """Two endpoints of a loaded service leave, one drained and one gone at once."""
    header = build_header(FROKOSTKASSA, name, leaving.__doc__, 30.0, seed)
    arrivals = ArrivalGenerator(FROKOSTKASSA, header, seed)
    arrivals.add_demand("billing", 0, 30, MONTH_END_SLOTS * 2)
    first, second = initial_hosts(header, "billing")[:2]
    events = [Drain(8.0, first, None, 15.0), Fault(12.0, "endpoint_down", 10.0, second)]
    outcomes = request_outcomes({"check": "leaving_respected", "limit_s": 3.0})
    return Scenario(header, arrivals.events + events, outcomes)


def store_arrivals(header, seed, rate):
    """Return arrivals, with and without keys, over a long trace at a low rate."""
    arrivals = ArrivalGenerator(FROKOSTKASSA, header, seed)
    for service in ("registers", "billing"):
        arrivals.add_arrivals(service, "short", 0, header.duration_s, rate / 2)
    return arrivals.events


STORE_CHECKS = (
    {"check": "answered_once"},
    {"check": "not_run_is_true"},
    {"check": "at_most_once"},
    {"check": "commits_kept"},
    {"check": "single_planner"},
    {"check": "single_pool"},
)


def store_scenario(name, seed, description, duration_s, faults, *checks):
    """
    Return a scenario of the store driver.

    Commits and moves happen before, during and after the faults. The driver runs all
    processes on one clock, so the trace has only 600 requests: more would exceed what
    a slow store can process.
    """
    header = build_header(FROKOSTKASSA, name, description, duration_s, seed)
    arrivals = store_arrivals(header, seed, 600 / duration_s)
    # Callers repeat a request that has a key with the same key, as Retry-After asks.
    repeats = [
        repeat_arrival(arrival, 30.0)
        for arrival in arrivals
        if arrival.key and arrival.t + 30 < duration_s
    ]
    commits = [
        Commit(duration_s * fraction, "op-1", base, weight_patch("club-1", base + 1.0))
        for base, fraction in enumerate((0.05, 0.5, 0.95), 1)
    ]
    spare = initial_hosts(header, "spare")
    drains = [
        Drain(duration_s * fraction, host, "billing")
        for host, fraction in zip(spare, (0.1, 0.45, 0.9), strict=False)
    ]
    return Scenario(
        header,
        [*arrivals, *repeats, *commits, *drains, *faults],
        {"drivers": ["store"], "checks": [*STORE_CHECKS, *checks]},
    )


def repeat_arrival(arrival, delay_s):
    """Return the arrival of the same request, repeated after ``delay_s``."""
    values = {name: getattr(arrival, name) for name in Arrival.__slots__}
    values["t"] = round(arrival.t + delay_s, 4)
    values["request_id"] = f"{arrival.request_id}-again"
    return Arrival(**values)


def weight_patch(organisation, weight):
    """Return a merge patch that sets an organisation's weight."""
    return {"organisations": {organisation: {"weight": weight}}}


@scenarios.register("store-down")
def store_down(name, seed):
    """The store is down for an hour; the registers deduplicate by themselves."""
    scenario = store_scenario(
        name,
        seed,
        store_down.__doc__,
        7200.0,
        [Fault(1800.0, "store_down", 3600.0)],
        {
            "check": "refused_while",
            "reason": "claims_unavailable",
            "start_s": 1800.0,
            "end_s": 5400.0,
        },
        {"check": "deadlines", "min_share": 1.0, "idempotent_only": True},
        {"check": "deadlines", "min_share": 1.0, "service": "registers"},
    )
    scenario.header.manifest["services"]["registers"]["deduplicates"] = True
    return scenario


@scenarios.register("store-slow")
def store_slow(name, seed):
    """Each call to the store takes 0.25 s for ten minutes."""
    faults = [Fault(300.0, "store_slow", 600.0, value=0.25)]
    return store_scenario(name, seed, store_slow.__doc__, 1200.0, faults)


@scenarios.register("store-lost-answers")
def store_lost_answers(name, seed):
    """A third of the store's writes take effect but lose their answer."""
    faults = [Fault(300.0, "store_lost_answers", 600.0, value=1 / 3)]
    return store_scenario(name, seed, store_lost_answers.__doc__, 1200.0, faults)


@scenarios.register("operators-racing")
def operators_racing(name, seed):
    """Two operators commit changes that build on the same version, ten times."""
    header = build_header(CONSORTIUM, name, operators_racing.__doc__, 120.0, seed)
    rng = random.Random(f"{name}/{seed}")
    events = []
    for turn in range(10):
        for operator, organisation in (("op-1", "desk-a"), ("op-2", "desk-b")):
            commit_s = round(5.0 + turn * 10 + rng.uniform(0, 0.2), 3)
            patch = weight_patch(organisation, 1.0 + turn)
            # The manifest of the header is version 1; each turn accepts one commit.
            events.append(Commit(commit_s, operator, turn + 1, patch))
    checks = (
        {"check": "commits_kept"},
        {"check": "one_commit_per_base"},
        {"check": "in_force", "limit_s": 2.0},
    )
    return Scenario(header, events, {"drivers": ["store"], "checks": list(checks)})


@scenarios.register("planner-paused")
def planner_paused(name, seed):
    """The planner is paused past its lease while it moves hosts, and resumes."""
    header = build_header(CONSORTIUM, name, planner_paused.__doc__, 120.0, seed)
    hosts = initial_hosts(header, "spare")[:4]
    events = [Fault(20.0, "planner_paused", 30.0), Fault(70.0, "planner_paused", 4.0)]
    events += [
        Drain(15.0 + 10 * number, host, "desk-a") for number, host in enumerate(hosts)
    ]
    checks = (
        {"check": "single_planner"},
        {"check": "single_pool"},
        {"check": "commits_kept"},
    )
    events.append(Commit(60.0, "op-1", 1, weight_patch("desk-a", 2.0)))
    return Scenario(header, events, {"drivers": ["store"], "checks": list(checks)})


def constant_demand(header, services, mean_hosts, step_s=60.0):
    """Return demand samples with a constant mean and bursts for each pool."""
    count = int(header.duration_s // step_s)
    burst = mean_hosts * (BURST_FACTOR - 1)
    return [
        DemandSample(step * step_s, pool, mean_hosts, burst)
        for step in range(count)
        for pool in services
    ]


@scenarios.register("rack-lost-in-wave")
def rack_lost_in_wave(name, seed):
    """A rack is lost while a maintenance wave runs over all pools."""
    maintenance = {
        "kernel": {
            "pools": list(CONSORTIUM.pools()),
            "start": 60.0,
            "end": 3600.0,
            "domain": "rack",
            "work_s": 60.0,
        }
    }
    header = build_header(
        CONSORTIUM,
        name,
        rack_lost_in_wave.__doc__,
        3600.0,
        seed,
        maintenance=maintenance,
    )
    # The mean of one host is 8 slots, which is half of the month-end mean.
    events = constant_demand(header, CONSORTIUM.services, 1.0)
    events.append(Fault(200.0, "rack_lost", 900.0, "rack-3-1"))
    outcomes = fleet_outcomes(
        {"check": "budgets", "max_missed": 0},
        {"check": "graceful_stops"},
        {"check": "wave_finished", "name": "kernel", "end_s": 3600.0},
    )
    return Scenario(header, events, outcomes)


@scenarios.register("data-centre-cut")
def data_centre_cut(name, seed):
    """A data centre is cut off for ten minutes during moves, and comes back."""
    header = build_header(CONSORTIUM, name, data_centre_cut.__doc__, 1800.0, seed)
    events = constant_demand(header, CONSORTIUM.services, 1.0)
    events.append(Fault(300.0, "data_centre_cut", 600.0, "dc-2"))
    # The spare hosts of dc-2 are drained at 360 and 400 s, during the cut.
    spare = initial_hosts(header, "spare")
    events += [
        Drain(280.0 + 40 * number, host, "desk-c") for number, host in enumerate(spare)
    ]
    outcomes = fleet_outcomes({"check": "budgets", "max_missed": 0})
    return Scenario(header, events, outcomes)


@scenarios.register("urgent-jobs")
def urgent_jobs(name, seed):
    """Urgent jobs arrive at a pool full of long ones, a part of which then fails."""
    jobs = {
        f"archive-{number}": build_job(7200.0)
        for number in range(ENDPOINTS_PER_SERVICE)
    }
    header = build_header(CONSORTIUM, name, urgent_jobs.__doc__, 900.0, seed, jobs=jobs)
    # The team may use the whole pool: 8 hosts of 32 cores and 128 GB.
    team = {"cores": 256, "memory_gb": 1024, "accelerators": 0}
    header.manifest["organisations"]["desk-a"]["teams"] = {"archive": team}
    events = constant_demand(header, CONSORTIUM.services, 0.2)
    for number in range(12):
        urgent = build_job(20.0, urgent=True, cores=CORES_PER_HOST // 4)
        patch = {"jobs": {f"deadline-{number}": urgent}}
        events.append(Commit(60.0 + 60 * number, "op-1", number + 1, patch))
    failing = initial_hosts(header, "desk-a")[: ENDPOINTS_PER_SERVICE // 3]
    events += [Fault(400.0, "endpoint_failing", 200.0, host) for host in failing]
    outcomes = fleet_outcomes(
        {"check": "urgent_start", "percentile": 99.0, "max_s": 4.7},
        {"check": "figure", "name": "double_runs", "max_value": 0},
        {"check": "jobs_succeed", "prefix": "deadline-"},
        {"check": "budgets", "max_missed": 0},
    )
    return Scenario(header, events, outcomes)


def build_job(expected_s, urgent=False, cores=CORES_PER_HOST):
    """Return a non-idempotent job of ``desk-a``, which must not run twice at once."""
    return {
        "organisation": "desk-a",
        "team": "archive",
        "pool": "desk-a",
        "cores": cores,
        "memory_gb": 16,
        "urgent": urgent,
        "idempotent": False,
        "expected_s": expected_s,
    }


@scenarios.register("month")
def month(name, seed):
    """A month of ten days in hours, with ten times the load on the last day."""
    header = build_header(FROKOSTKASSA, name, month.__doc__, MONTH_DAYS * DAY_S, seed)
    manifest = header.manifest
    manifest["calendar"]["month-end"].update(start_day=MONTH_DAYS, end_day=MONTH_DAYS)
    for pool in FROKOSTKASSA.services:
        # A normal day needs a fifth of a host. With a minimum of two hosts, not even
        # an offline plan could stay within the buffer that the target allows.
        manifest["pools"][pool]["min_hosts"] = 1
    rng = random.Random(f"{name}/{seed}")
    events = []
    for hour in range(MONTH_DAYS * 24):
        day, hour_of_day = divmod(hour, 24)
        load_factor = 1.5 if 6 <= hour_of_day < 18 else 0.5
        slots = (
            MONTH_END_SLOTS if day == MONTH_DAYS - 1 else NORMAL_SLOTS
        ) * load_factor
        for pool in FROKOSTKASSA.services:
            mean = slots / SLOTS_PER_ENDPOINT * rng.uniform(0.9, 1.1)
            burst = mean * (BURST_FACTOR - 1)
            events.append(
                DemandSample(hour * 3600.0, pool, round(mean, 3), round(burst, 3))
            )
    outcomes = fleet_outcomes(
        {"check": "budgets", "max_missed": 0},
        {"check": "moves_versus", "policy": "threshold", "max_ratio": 0.5},
        {"check": "buffer_versus", "policy": "static_peak", "max_ratio": 0.4},
        {"check": "buffer_versus", "policy": "offline", "max_ratio": 1.25},
    )
    return Scenario(header, events, outcomes)


def write_scenario(folder, name, seed):
    """Generate one scenario and write its trace and outcomes to ``folder``."""
    scenario = scenarios.get(name)(name, seed)
    write_trace(folder / f"{name}.jsonl.gz", scenario.header, scenario.events)
    text = json.dumps({"trace": name} | scenario.outcomes, indent=2) + "\n"
    (folder / f"{name}.outcomes.json").write_text(text, encoding="utf-8")


def main(arguments=None):
    """Write the scenarios named on the command line, or all of them."""
    parser = argparse.ArgumentParser(prog="magnoliapier.generator")
    parser.add_argument("--output", type=Path, required=True, metavar="DIR")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("names", nargs="*", metavar="NAME")
    options = parser.parse_args(arguments)
    options.output.mkdir(parents=True, exist_ok=True)
    for name in options.names or scenarios.names():
        write_scenario(options.output, name, options.seed)


if __name__ == "__main__":
    main()
