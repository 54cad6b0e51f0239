"""
Measures the dispatcher's decisions, mostly in virtual time over seeded loads.

Run as ``python -m benchmarks.request --output FILE``. Each function in the registry
``figures`` measures one group of figures and returns a dict from key to
:class:`Figure`.
"""

import argparse
import json
import random
import statistics
import sys
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path

from benchmarks import forwarder
from benchmarks.request_load import (
    CAPACITY_SLOTS,
    flood_load,
    month_end_load,
    overload_load,
    saturation_load,
)
from magnoliapier.clock import VirtualClock
from magnoliapier.dispatcher import Dispatcher
from magnoliapier.manifest import validate_manifest
from magnoliapier.measures import percentile
from magnoliapier.reasons import RunState
from magnoliapier.registry import Registry
from magnoliapier.request_policies import policies
from magnoliapier.request_replay.driver import replay_requests
from magnoliapier.request_tables import (
    Dispatch,
    EndpointEntry,
    RequestEntry,
    SendOutcome,
    SendResult,
    WorkClass,
)
from magnoliapier.traces import Fault

figures = Registry("benchmark figure")
SEEDS = (1, 2, 3)
# Requests up to this run time count as short: about the geometric mean of the expected
# run times of both classes in the manifest.
SHORT_LIMIT_S = 2.4


@dataclass
class Figure:
    """
    A measured value with its target.

    The target is an upper limit if ``at_most``, otherwise a lower one. ``detail`` holds
    the values that the figure was computed from.
    """

    value: float
    target: float
    at_most: bool
    detail: dict = field(default_factory=dict)

    @property
    def met(self):
        """Whether the target is met."""
        if self.at_most:
            return self.value <= self.target
        return self.value >= self.target


def replay_load(policy, load, seed):
    """Replay a load with a policy of the registry; return the report."""
    factory = policies.get(policy)
    return replay_requests(load.header, load.events(seed), factory, seed)


# Decision cost.


def decision_manifest(endpoints, organisations):
    """Return a manifest with one service on ``endpoints`` hosts."""
    return validate_manifest(
        {
            "organisations": {f"org-{n}": {} for n in range(organisations)},
            "services": {"wire": {"pool": "wire"}},
            "pools": {"wire": {}},
            "hosts": {
                f"host-{n}": {
                    "data_centre": f"dc-{n % 4 + 1}",
                    "rack": f"rack-{n // 4}",
                    "pool": "wire",
                    "address": f"127.0.0.1:{1024 + n}",
                }
                for n in range(endpoints)
            },
        }
    )


class DecisionLoop:
    """Drives a dispatcher at a constant queue length: one arrival per completion."""

    def __init__(self, queued, endpoints=1000, organisations=52):
        self.clock = VirtualClock()
        self.rng = random.Random(1)
        manifest = decision_manifest(endpoints, organisations)
        self.dispatcher = Dispatcher(
            self.clock, random.Random(2), "entry-1", "dc-1", max_queue=2 * queued + 100
        )
        self.dispatcher.set_fleet(
            manifest,
            [
                EndpointEntry(
                    f"{name}/wire", "wire", name, host.data_centre, host.address, 8
                )
                for name, host in manifest.hosts.items()
            ],
        )
        self.dispatcher.set_peers({"wire": []})
        self.organisations = list(manifest.organisations)
        self.request_count = 0
        self.running = []
        slots = self.dispatcher._services["wire"].pool.usable_slots
        while len(self.running) < slots or self.queued < queued:
            before = len(self.running)
            self.arrive()
            if self.request_count > 10 * (slots + queued):
                raise RuntimeError("The queue does not fill; check the admission.")
            if len(self.running) == before and self.queued == 0:
                raise RuntimeError("No request starts; check the shares.")

    @property
    def queued(self):
        """The number of queued requests."""
        return self.dispatcher.demand()["wire"][0]

    def make_request(self):
        """Return a new request of a random organisation and kind."""
        self.request_count += 1
        long = self.rng.random() < 0.2
        name = "long" if long else "short"
        return RequestEntry(
            request_id=f"r{self.request_count}",
            service="wire",
            organisation=self.rng.choice(self.organisations),
            kind=f"{name}/{self.rng.randrange(4)}",
            declared_class=WorkClass(name),
            idempotent=True,
            arrived=self.clock.monotonic(),
            deadline=self.clock.monotonic() + 100_000.0,
        )

    def arrive(self):
        """Let a request arrive and record the requests that start."""
        self.record_started(self.dispatcher.arrive(self.make_request()))

    def record_started(self, decisions):
        """Record the requests that start as running."""
        self.running.extend(d.request for d in decisions if isinstance(d, Dispatch))

    def step(self):
        """
        Complete a random running request and let another arrive.

        Return the seconds that the dispatcher took for both calls.
        """
        index = self.rng.randrange(len(self.running))
        self.running[index], self.running[-1] = self.running[-1], self.running[index]
        completed = self.running.pop()
        result = SendResult(SendOutcome.OK, RunState.RAN)
        request = self.make_request()
        self.clock.advance(0.0001)
        started = time.perf_counter()
        decisions = self.dispatcher.complete(completed, result)
        decisions += self.dispatcher.arrive(request)
        seconds = time.perf_counter() - started
        self.record_started(decisions)
        return seconds

    def cost_us(self, steps=20_000):
        """
        Return the cost of one call, arrive or complete, in microseconds.

        It is the median over ten rounds of the mean cost. ``steps`` unmeasured steps
        come first, so that the dispatcher has proven estimates of the run times of all
        kinds, as in production.
        """
        for _ in range(steps):
            self.step()
        rounds = [
            sum(self.step() for _ in range(steps // 10)) * 10 / steps / 2
            for _ in range(10)
        ]
        return statistics.median(rounds) * 1e6


@figures.register("decision_us")
def measure_decision_cost():
    """Measure the cost of arrive and complete at two queue lengths."""
    costs = {queued: DecisionLoop(queued).cost_us() for queued in (100, 10_000)}
    ratio = costs[10_000] / costs[100]
    detail = {"us_at_100": costs[100], "us_at_10000": costs[10_000]}
    return {
        "decision_us": Figure(costs[10_000], 40.0, True, detail),
        "decision_us_growth": Figure(ratio, 1.5, True, detail),
    }


# Waits of short work.


def short_p99(report, load):
    """
    Return the p99 wait of requests whose actual run time is short.

    A request without a response counts as if it had waited until its deadline, so
    that refusing short work does not lower the figure.
    """
    waits = sorted(
        record.wait_s if record.end == "ok" else record.deadline_s
        for record in report.records
        if record.run_s <= SHORT_LIMIT_S
        and record.arrived >= load.warm_up_s
        and record.end != "cancelled"
    )
    return percentile(waits, 99)


@figures.register("short_waits")
def measure_short_waits():
    """Compare the p99 wait of short work with FIFO and with the oracle."""
    waits = {}
    for policy in ("fifo", "oracle", "dispatcher"):
        values = []
        for seed in SEEDS:
            load = month_end_load()
            values.append(short_p99(replay_load(policy, load, seed), load))
        waits[policy] = statistics.median(values)
    detail = {f"{policy}_p99_s": value for policy, value in waits.items()}
    return {
        "short_p99_vs_fifo": Figure(
            waits["dispatcher"] / waits["fifo"], 0.05, True, detail
        ),
        "short_p99_vs_oracle": Figure(
            waits["dispatcher"] / waits["oracle"], 1.5, True, detail
        ),
    }


# Overload and fairness.


@figures.register("overload_goodput")
def measure_overload():
    """Compare the goodput at ten times the capacity with that at capacity."""
    shares = []
    detail = {}
    for seed in SEEDS:
        goodput = {}
        for factor in (1, 10):
            load = overload_load(factor)
            report = replay_load("dispatcher", load, seed)
            window = (load.warm_up_s, load.duration_s)
            goodput[factor] = report.goodput_s(start=window[0], end=window[1])
        shares.append(goodput[10] / goodput[1])
        seconds = load.duration_s - load.warm_up_s
        detail[f"seed_{seed}"] = {
            f"use_at_{factor}": value / seconds / CAPACITY_SLOTS
            for factor, value in goodput.items()
        }
    return {"overload_goodput": Figure(statistics.median(shares), 0.95, False, detail)}


@figures.register("fair_share_min")
def measure_fair_share():
    """Measure the lowest share that an organisation gets while another floods."""
    worst, waits = {}, {}
    for kind in ("short", "mislabelled", "long"):
        for seed in SEEDS:
            load = flood_load(kind)
            report = replay_load("dispatcher", load, seed)
            worst[f"{kind}_{seed}"] = min(served_shares(report, load).values())
            waits[f"{kind}_{seed}"] = others_p99(report, load)
    for seed in SEEDS:
        load = flood_load(None)
        waits[f"none_{seed}"] = others_p99(replay_load("dispatcher", load, seed), load)
    value = min(worst.values())
    detail = {"shares": worst, "others_short_p99_s": waits}
    return {"fair_share_min": Figure(value, 0.95, False, detail)}


def others_p99(report, load):
    """Return the p99 wait of short requests of all but the flooding organisation."""
    waits = sorted(
        record.wait_s if record.end == "ok" else record.deadline_s
        for record in report.records
        if record.organisation != load.flooder
        and record.work_class == "short"
        and record.arrived >= load.warm_up_s
    )
    return percentile(waits, 99)


def served_shares(report, load):
    """
    Return the served work of each organisation divided by its fair share.

    The flooding organisation is left out. The fair share is the smaller of the
    organisation's demand and an equal part of the slot-seconds that were in use.
    Slots left unused are measured by slot_use.
    """
    window = load.duration_s - load.warm_up_s
    demands = {}
    for record in report.records:
        if load.warm_up_s <= record.arrived:
            demands.setdefault(record.organisation, 0.0)
            demands[record.organisation] += record.run_s
    running = [
        sample.running
        for sample in report.samples
        if load.warm_up_s <= sample.t < load.duration_s
    ]
    fair_share = statistics.mean(running) * window / len(demands)
    return {
        name: report.goodput_s(name, load.warm_up_s) / min(demand, fair_share)
        for name, demand in demands.items()
        if name != load.flooder
    }


@figures.register("slot_use")
def measure_slot_use():
    """Measure the share of slots in use on seven entry hosts while requests wait."""
    uses = {}
    for seed in SEEDS:
        load = saturation_load()
        report = replay_load("dispatcher", load, seed)
        uses[f"seed_{seed}"] = report.slot_use(
            start=load.warm_up_s, end=load.duration_s
        )
    return {"slot_use": Figure(min(uses.values()), 0.95, False, uses)}


# Faults.


@figures.register("retry_amplification")
def measure_retries():
    """
    Measure the sends for each request sent while a third of the endpoints fail.

    The third is rounded down, to 2 of 8 hosts.
    """
    values = {}
    for policy in ("dispatcher", "unlimited_retries"):
        load = overload_load(0.6)
        load.faults = [
            Fault(load.warm_up_s, "endpoint_failing", load.duration_s, f"wire-{n}")
            for n in range(load.hosts // 3)
        ]
        sends = []
        for seed in SEEDS:
            records = replay_load(policy, load, seed).records
            chosen = [r for r in records if r.sends and r.arrived >= load.warm_up_s]
            sends.append(sum(r.sends for r in chosen) / len(chosen))
        values[policy] = statistics.median(sends)
    return {
        "retry_amplification": Figure(values["dispatcher"], 1.2, True, values),
    }


@figures.register("run_states")
def measure_run_states():
    """Count double runs and false "not run" refusals under all kinds of faults."""
    double_runs = false_refusals = requests = repeated = 0
    for seed in SEEDS:
        load = month_end_load(faults=True)
        report = replay_load("dispatcher", load, seed)
        requests += len(report.records)
        double_runs += report.double_runs
        false_refusals += report.false_not_run
        repeated += report.repeated_endpoints
    detail = {"requests": requests, "repeated_endpoints": repeated}
    return {
        "double_runs": Figure(double_runs, 0, True, detail),
        "false_not_run": Figure(false_refusals, 0, True, detail),
    }


@figures.register("sockets")
def measure_sockets():
    """Compare throughput and latency with a bare forwarder over real sockets."""
    result = forwarder.measure()
    return {
        "forwarder_ratio": Figure(result["forwarder_ratio"], 0.85, False, result),
        "added_p50_ms": Figure(result["added_p50_ms"], 0.5, True),
    }


def main(arguments=None):
    """Measure the figures, print them and write them to a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=Path)
    parser.add_argument("--only", action="append", choices=figures.names())
    options = parser.parse_args(arguments)
    result = {}
    for name in options.only or figures.names():
        for key, figure in figures.get(name)().items():
            result[key] = asdict(figure) | {"met": figure.met}
            sign = "<=" if figure.at_most else ">="
            verdict = "met" if figure.met else "missed"
            print(f"{key}: {figure.value:.4g} ({sign} {figure.target:g}) {verdict}")
            print(f"  {json.dumps(figure.detail)}", flush=True)
    if options.output:
        options.output.parent.mkdir(parents=True, exist_ok=True)
        options.output.write_text(json.dumps(result, indent=2) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
