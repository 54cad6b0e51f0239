"""
Measures the planner's figures and compares them with their targets.

Run as ``python -m benchmarks.fleet --output build/bench-fleet.json``. Each figure is
measured by a function in the registry :data:`figures`, to which other benchmark
modules can add theirs.
"""

import functools
import json
import math
import time
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer

from benchmarks import rollout, slopes
from benchmarks.fleet_traces import (
    DAY_S,
    fleet_manifest,
    month_events,
    month_header,
    urgent_events,
)
from magnoliapier.clock import VirtualClock
from magnoliapier.fleet_replay import ReplayOptions, replay_fleet
from magnoliapier.fleet_state import FleetState, LogEntry
from magnoliapier.manifest import digest
from magnoliapier.measures import nearest_rank
from magnoliapier.memory_platform import MemoryPlatform
from magnoliapier.planner import Planner, PlannerInputs, SenderRow
from magnoliapier.platform_api import HostStatus, ListedHost
from magnoliapier.registry import Registry
from magnoliapier.traces import DemandSample, Header

SEED = 1
URGENT_JOBS = 150
URGENT_SEEDS = (3, 4)
PLAN_TICKS = 12
TEAMS = 52
POOLS = 62
WAVE_REBOOT_S = 180.0
WAVE_DRAIN_S = 4.0
MONTH_VARIANTS = {
    "planner": ("planner", {}),
    "static": ("static_peak", {}),
    "threshold": ("threshold", {}),
    "oracle": ("offline", {}),
    "oracle_without_reserve": ("offline", {"reserve": False}),
    "no_n_hit": ("planner", {"capacity": {"n_hit": False}}),
    "no_learning": ("planner", {"forecast": {"learned": False}}),
    "hysteresis_1": ("planner", {"capacity": {"hysteresis": 1}}),
    "no_margin": ("planner", {"forecast": {"margin": 0.0}}),
}

figures = Registry("benchmark figure")


@dataclass
class Figure:
    """A measured value and its upper limit; without ``at_most`` it has no target."""

    value: float
    at_most: float | None = None
    detail: dict | None = None

    def to_values(self):
        """Return the figure as plain JSON."""
        met = None if self.at_most is None else self.value <= self.at_most
        values = {"value": self.value, "target": self.at_most, "met": met}
        return {**values, "detail": self.detail} if self.detail else values


@functools.cache
def month_report(variant):
    """Return the report of the month trace under one variant; each is run once."""
    policy, options = MONTH_VARIANTS[variant]
    return replay_fleet(
        month_header(),
        month_events(SEED),
        policy,
        SEED,
        options=ReplayOptions(policy_options=options),
    )


def month_detail(*variants):
    """Return the buffer, moves and budget misses of some variants."""
    return {
        name: {
            "buffer_host_hours": round(month_report(name).buffer_host_hours, 1),
            "moves": month_report(name).moves,
            "budget_misses": month_report(name).budget_misses,
        }
        for name in variants
    }


@figures.register("buffer_vs_static")
def measure_buffer_vs_static():
    """Measure buffer host-hours relative to static peak provisioning."""
    ratio = (
        month_report("planner").buffer_host_hours
        / month_report("static").buffer_host_hours
    )
    return Figure(round(ratio, 3), 0.4, month_detail("planner", "static"))


@figures.register("buffer_vs_oracle")
def measure_buffer_vs_oracle():
    """Measure buffer host-hours relative to a plan that knows the month's demand."""
    ratio = (
        month_report("planner").buffer_host_hours
        / month_report("oracle").buffer_host_hours
    )
    detail = month_detail("oracle", "oracle_without_reserve")
    return Figure(round(ratio, 3), 1.25, detail)


@figures.register("moves_vs_threshold")
def measure_moves_vs_threshold():
    """Measure host moves relative to a threshold autoscaler."""
    ratio = month_report("planner").moves / month_report("threshold").moves
    return Figure(round(ratio, 3), 0.5, month_detail("threshold"))


@figures.register("budget_misses")
def measure_budget_misses():
    """Count the minutes of the month in which any budget is missed."""
    detail = month_detail("no_n_hit", "no_learning", "hysteresis_1", "no_margin")
    return Figure(month_report("planner").budget_misses, 0, detail)


@figures.register("shortage_shares")
def measure_shortage_shares():
    """
    Measure the lowest share of a pool's demand that is served in a shortage.

    The trace runs with and without the split of hosts in proportion to demand.
    """
    results = {}
    for shares in (True, False):
        header, events = shortage_trace()
        report = replay_fleet(
            header,
            events,
            "planner",
            SEED,
            options=ReplayOptions(
                tick_s=60.0, policy_options={"capacity": {"shares": shares}}
            ),
        )
        served = [
            min(1.0, sample.serving / sample.demand)
            for sample in report.series
            if sample.t >= DAY_S + 1800.0
        ]
        results["on" if shares else "off"] = {
            "worst_share": round(min(served), 3),
            "moves": report.moves,
            "missed_pool_minutes": len(report.missed_minutes),
        }
    return Figure(results["on"]["worst_share"], None, results)


def shortage_trace():
    """Return a trace in which the pools together need more hosts than the fleet has."""
    header = month_header(days=1)
    hosts = header.manifest["hosts"]
    for name in sorted(hosts)[80:]:
        del hosts[name]
    header.duration_s = DAY_S + 4 * 3600.0
    header.manifest["calendar"]["month-end"].update(start_day=2, end_day=2)
    events = []
    for index, pool in enumerate(header.manifest["services"]):
        events.append(DemandSample(0.0, pool, 1.0 + 0.5 * index))
        events.append(DemandSample(DAY_S, pool, 10.0 + 5.0 * index))
    return header, sorted(events, key=lambda event: event.t)


def wave_header(workers=1000, pools=POOLS, limit=2, domain="data_centre"):
    """Return the header of one maintenance wave over the whole fleet."""
    manifest = fleet_manifest(workers, pools, TEAMS, limit=limit)
    manifest["maintenance"] = {
        "kernel": {
            "pools": sorted(p for p in manifest["pools"] if p != "spare"),
            "start": 0,
            "end": 3600,
            "domain": domain,
            "work_s": WAVE_REBOOT_S,
        }
    }
    entries = {f"entry-{n}": f"dc-{n + 1}" for n in range(8)}
    return Header("wave", "one wave over the fleet", 3600.0, entries, manifest)


def wave_bound_s(header, demand, limit):
    """
    Return the shortest time in seconds in which the budgets permit all reboots.

    In each pool, ``limit`` hosts are out of service at any time, or fewer if its demand
    needs the others, and the next host starts as soon as one is done. The bound ignores
    the failure domain.
    """
    sizes = defaultdict(int)
    for host in header.manifest["hosts"].values():
        sizes[host["pool"]] += 1
    rounds = max(
        math.ceil(size / max(1, min(limit, size - math.ceil(demand.get(pool, 1)))))
        for pool, size in sizes.items()
    )
    return rounds * (WAVE_REBOOT_S + WAVE_DRAIN_S)


@functools.cache
def wave_report(policy="planner", domain="data_centre"):
    """Return the report of a maintenance wave over 1,000 hosts."""
    header = wave_header(domain=domain)
    services = header.manifest["services"].values()
    events = [DemandSample(0.0, s["pool"], 8.0) for s in services]
    options = ReplayOptions(
        tick_s=1.0, reboot_s=WAVE_REBOOT_S, drain_mean_s=WAVE_DRAIN_S
    )
    return replay_fleet(header, events, policy, SEED, options=options)


@figures.register("wave_vs_bound")
def measure_wave_vs_bound():
    """Measure the duration of a wave over 1,000 hosts relative to its lower bound."""
    header = wave_header()
    report = wave_report()
    demand = {s["pool"]: 8.0 for s in header.manifest["services"].values()}
    bound = wave_bound_s(header, demand, 2)
    ends = [wave.t_end for wave in report.waves.values()]
    finished = all(end is not None for end in ends)
    duration = max(ends) if finished else header.duration_s
    done = sum(wave.done for wave in report.waves.values())
    detail = {
        "duration_s": duration,
        "bound_s": bound,
        "hosts_done": done,
        "finished": finished,
        "budget_misses": report.budget_misses,
        "moves": report.moves,
    }
    return Figure(round(duration / bound, 3), 1.2, detail)


def build_plan_setup(workers, jobs_per_pool=100):
    """Return (planner, clock, platform, state) for a fleet of ``workers`` hosts."""
    pools = max(4, round(POOLS * workers / 1000))
    teams = max(4, round(TEAMS * workers / 1000))
    values = fleet_manifest(workers, pools, teams, jobs_per_pool)
    values["maintenance"] = {
        "kernel": {
            "pools": sorted(p for p in values["pools"] if p != "spare"),
            "start": 0,
            "end": 1_000_000,
        }
    }
    clock = VirtualClock(100.0)
    platform = MemoryPlatform(clock)
    state = FleetState()
    body = {"patch": values, "digest": digest(values)}
    state.apply(LogEntry(1, "manifest_commit", body, "id", "operator", 0.0))
    return Planner(clock, platform), clock, platform, state


def measure_tick_times(workers):
    """Return the real duration in seconds of each tick while waves and jobs run."""
    planner, clock, platform, state = build_plan_setup(workers)
    listed = [
        ListedHost(name, HostStatus.LIVE, host.address)
        for name, host in state.manifest.hosts.items()
    ]
    for host in listed:
        platform.hosts.set_host(host)
    demand = dict.fromkeys(state.manifest.services, 8 * 6.0)
    times = []
    for number in range(PLAN_TICKS):
        clock.advance(1.0)
        senders = [SenderRow(f"e{n}", f"dc-{n + 1}", state.seq) for n in range(8)]
        inputs = PlannerInputs(state, demand, senders, listed, 1, clock.time())
        started = time.perf_counter()
        output = planner.tick(inputs)
        times.append(time.perf_counter() - started)
        for kind, body in output.entries:
            row = LogEntry(state.seq + 1, kind, body, "id", "planner", 0.0, 1)
            state.apply(row)
        # Alternating demand makes the capacity planning move hosts as well.
        demand = dict.fromkeys(demand, 8 * (4.0 + 4.0 * (number % 2)))
    return times


@figures.register("plan_s_1000")
def measure_plan_s():
    """Measure the slowest planning tick at the target size, and how it grows."""
    times = {
        workers: sorted(measure_tick_times(workers)) for workers in (40, 200, 1000)
    }
    slowest = {workers: ticks[-1] for workers, ticks in times.items()}
    # The growth exponents use the median tick, because a single slow tick on a busy
    # machine says nothing about growth.
    median = {workers: ticks[len(ticks) // 2] for workers, ticks in times.items()}
    detail = {
        "slowest_tick_s": {str(n): round(s, 4) for n, s in slowest.items()},
        "median_tick_s": {str(n): round(s, 4) for n, s in median.items()},
        "exponent_40_to_200": round(math.log(median[200] / median[40], 5), 2),
        "exponent_200_to_1000": round(math.log(median[1000] / median[200], 5), 2),
    }
    return Figure(round(slowest[1000], 4), 0.5, detail)


def urgent_waits(seed, preempt=True):
    """
    Run urgent jobs on a fleet that is full of other work.

    Return (waits until the start in seconds, number of job runs that failed or were
    stopped, report).
    """
    manifest = fleet_manifest(1000, POOLS, TEAMS, jobs_per_pool=120)
    duration_s = 600.0
    events = urgent_events(1000, POOLS, TEAMS, URGENT_JOBS, duration_s, seed)
    entries = {f"entry-{n}": f"dc-{n + 1}" for n in range(8)}
    header = Header("urgent", "urgent jobs on a full fleet", duration_s, entries, {})
    header.manifest = manifest
    options = ReplayOptions(tick_s=1.0, policy_options={"jobs": {"preempt": preempt}})
    report = replay_fleet(header, events, "planner", seed, options=options)
    starts = report.first_starts(urgent=True)
    waits = [start.wait_s for start in starts]
    # A job that never started counts as having waited for the whole trace.
    waits += [duration_s] * (URGENT_JOBS - len(waits))
    lost = sum(end.outcome in ("failed", "stopped") for end in report.job_ends)
    return waits, lost, report


@figures.register("urgent_p99_s")
def measure_urgent_p99():
    """Measure the p99 wait until an urgent job starts on 1,000 workers."""
    waits, lost = [], 0
    for seed in URGENT_SEEDS:
        seed_waits, seed_lost, _ = urgent_waits(seed)
        waits += seed_waits
        lost += seed_lost
    without_preemption, _, _ = urgent_waits(URGENT_SEEDS[0], preempt=False)
    detail = {
        "jobs": len(waits),
        "p50_s": round(nearest_rank(waits, 50), 2),
        "max_s": round(max(waits), 2),
        "work_lost": lost,
        "p99_s_without_preemption": round(nearest_rank(without_preemption, 99), 2),
    }
    return Figure(round(nearest_rank(waits, 99), 2), 4.7, detail)


@figures.register("rollout_p99_s")
def measure_rollout_p99():
    """Measure the p99 time until a commit is in force on 7 control processes."""
    result = rollout.measure()
    return Figure(round(result["rollout_p99_s"], 3), 2.0, result)


@functools.cache
def control_figures():
    """Return the control process figures at the target size, from measured slopes."""
    return slopes.compute(slopes.measure())


@figures.register("control_core_pct")
def measure_control_core():
    """Measure the percentage of a core that a control process uses."""
    return Figure(round(control_figures()["core_pct"], 2), 3.1)


@figures.register("control_mb")
def measure_control_memory():
    """Measure the resident MB of a process that runs two control processes."""
    return Figure(round(control_figures()["mb"], 1), 256)


@figures.register("control_kb_s")
def measure_control_traffic():
    """Measure the kB/s of a control process, its platform traffic included."""
    values = control_figures()
    detail = {key: round(values[key], 2) for key in ("kb_s_fewest", "kb_s_sent")}
    return Figure(round(values["kb_s"], 2), 6, detail)


def measure_figures(names):
    """Measure and print the figures with the given names; return them as plain JSON."""
    results = {}
    for name in names:
        started = time.perf_counter()
        results[name] = figures.get(name)().to_values()
        row = results[name]
        verdict = {True: "met", False: "MISSED", None: "no target"}[row["met"]]
        print(
            f"{name}={row['value']} target={row['target']} {verdict} "
            f"seconds={time.perf_counter() - started:.1f} "
            f"detail={json.dumps(row.get('detail'))}",
            flush=True,
        )
    return results


def main(
    output: Annotated[Path, typer.Option(help="File for the figures as JSON.")],
    only: Annotated[list[str] | None, typer.Option(help="Names of figures.")] = None,
):
    """Measure the planner's figures, print them and write them to a file."""
    results = measure_figures(only or figures.names())
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps(results, indent=2) + "\n", encoding="utf-8")


if __name__ == "__main__":
    # Other modules register their figures with the imported module, not __main__.
    from benchmarks import fleet

    typer.run(fleet.main)
