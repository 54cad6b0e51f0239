"""Builds the traces and manifests of the fleet benchmarks from a seed."""

import math
import random

from magnoliapier.traces import Commit, DemandSample, Fault, Header

DAY_S = 86_400
SAMPLE_S = 300.0
MONTH_DAYS = 31
BURST_FACTOR = 4.0  # added to the mean: demand in a burst is five times the mean
MONTH_SERVICES = {
    "wire": 0.9,
    "archive": 0.6,
    "signup": 0.8,
    "billing": 0.7,
    "help": 0.4,
}
MONTH_HOSTS = 120
DECLARED_MONTH_END_FACTOR = 10.0
ACTUAL_MONTH_END_FACTORS = {
    "wire": 10.0,
    "archive": 8.0,
    "signup": 11.0,
    "billing": 12.0,
    "help": 9.0,
}


def host_entry(number, pool, centres=4, rack_size=4, **options):
    """Return a host of a manifest; consecutive numbers get different data centres."""
    centre = number % centres
    return {
        "data_centre": f"dc-{centre + 1}",
        "rack": f"rack-{centre + 1}-{number // centres // rack_size}",
        "pool": pool,
        "address": f"127.0.{number // 250}.{number % 250 + 1}:9000",
        **options,
    }


def month_header(days=MONTH_DAYS, seed=1):
    """Return the header of the month trace: five services and a spare pool."""
    hosts = {}
    pools = [*MONTH_SERVICES, "spare"]
    for number in range(MONTH_HOSTS):
        pool = pools[number // 8] if number < 40 else "spare"
        hosts[f"w{number:03d}"] = host_entry(number, pool)
    manifest = {
        "organisations": {"consortium": {}},
        "services": {name: {"pool": name} for name in MONTH_SERVICES},
        "pools": {name: {"min_hosts": 1 if name != "spare" else 0} for name in pools},
        "hosts": hosts,
        "calendar": {
            "month-end": {
                "pools": list(MONTH_SERVICES),
                "start_day": -1,
                "end_day": -1,
                "factor": DECLARED_MONTH_END_FACTOR,
            }
        },
    }
    entries = {f"entry-{n}": f"dc-{n % 4 + 1}" for n in range(7)}
    return Header(
        "month", "a month of demand", days * DAY_S, entries, manifest, seed=seed
    )


def day_shape(pool, seconds, weekend):
    """
    Return the demand of a pool at a time of day, relative to a working day's mean.

    ``seconds`` counts from midnight. Demand on weekends is 0.4 of that on working days.
    """
    hour = seconds / 3600.0
    shape = 0.25 + 1.5 * math.exp(-(((hour - 14.0) / 4.0) ** 2))
    if pool == "signup":
        shape = 0.2 + 2.5 * math.exp(-(((hour - 7.5) / 0.8) ** 2))
    return shape * (0.4 if weekend else 1.0)


def month_events(seed=1, days=MONTH_DAYS, first_day=0, faults=True):
    """Return the demand and the faults of the month in order of time."""
    rng = random.Random(seed)
    events = []
    steps = int(days * DAY_S / SAMPLE_S)
    for index, (pool, mean) in enumerate(MONTH_SERVICES.items()):
        for step in range(steps):
            t = step * SAMPLE_S
            day = first_day + int(t // DAY_S)
            weekend = (day + 3) % 7 >= 5
            level = mean * day_shape(pool, t % DAY_S, weekend)
            level *= rng.lognormvariate(0.0, 0.08)
            if day == MONTH_DAYS - 1:
                level *= ACTUAL_MONTH_END_FACTORS[pool]
            bursting = step % len(MONTH_SERVICES) == index
            burst = BURST_FACTOR * level if bursting else 0.0
            events.append(DemandSample(t, pool, level, burst))
    if faults:
        events.extend(month_faults(rng, days))
    return sorted(events, key=lambda event: event.t)


def month_faults(rng, days):
    """
    Return the faults of the month.

    Hosts fail at the target rate of 5 a day for each 1,000 hosts. Traces of at least 20
    days also have a rack loss, a planner pause and a store outage.
    """
    faults = []
    for _ in range(round(days * 5 * MONTH_HOSTS / 1000)):
        host = f"w{rng.randrange(MONTH_HOSTS):03d}"
        t = rng.uniform(0, days * DAY_S)
        faults.append(Fault(t, "endpoint_down", 3600.0, host))
    if days >= 20:
        faults.append(Fault(14.5 * DAY_S, "rack_lost", 1800.0, "rack-1-0"))
        faults.append(Fault(16.4 * DAY_S, "planner_paused", 30.0))
        faults.append(Fault(17.4 * DAY_S, "store_down", 900.0))
    return faults


def fleet_manifest(workers, pools, teams, jobs_per_pool=0, accelerators=2.2, **options):
    """
    Return a manifest in the shape of the target fleet, with ``workers`` hosts.

    ``accelerators`` is the mean number per host. The option ``limit`` sets
    ``max_unavailable`` of the pools.
    """
    names = [f"pool-{n:02d}" for n in range(pools)]
    hosts = {}
    for number in range(workers):
        hosts[f"w{number:04d}"] = host_entry(
            number,
            # With a multiple of 8 pools, the remainder alone would place each pool in
            # a single data centre, as there are 8; the quotient spreads it over all.
            names[number % pools] if pools % 8 else names[number // 8 % pools],
            centres=8,
            accelerators=int(accelerators * (number + 1)) - int(accelerators * number),
        )
    per_org = max(1, teams // 4)
    organisations = {}
    for number in range(teams):
        organisation = organisations.setdefault(
            f"org-{number // per_org}", {"teams": {}}
        )
        organisation["teams"][f"team-{number}"] = {
            "cores": 100_000,
            "memory_gb": 1_000_000,
            "accelerators": 10_000,
        }
    values = {
        "organisations": organisations,
        "services": {
            f"svc-{n:02d}": {"pool": name}
            for n, name in enumerate(names[: max(1, pools // 2)])
        },
        "pools": {
            name: {"min_hosts": 1, "max_unavailable": options.get("limit", 2)}
            for name in names
        },
        "hosts": hosts,
        "jobs": {},
    }
    values["pools"]["spare"] = {"min_hosts": 0}
    rng = random.Random(7)
    job_pools = names[max(1, pools // 2) :] or names
    for n in range(jobs_per_pool * len(job_pools)):
        name, job = make_job(rng, n, job_pools[n % len(job_pools)], teams, per_org)
        values["jobs"][name] = job
    return values


def make_job(rng, number, pool, teams, per_org, urgent=False):
    """Return the name and declaration of one job."""
    team = number % teams
    return f"{'urgent' if urgent else 'job'}-{number}", {
        "organisation": f"org-{team // per_org}",
        "team": f"team-{team}",
        "pool": pool,
        "cores": rng.choice([2, 4, 8, 16]),
        "memory_gb": rng.choice([4, 16, 32, 64]),
        "accelerators": rng.choice([0, 0, 0, 1]),
        "urgent": urgent,
        "idempotent": rng.random() < 0.7,
        "expected_s": rng.choice([600.0, 3600.0, 14_400.0]),
    }


def urgent_events(workers, pools, teams, count, duration_s, seed=3):
    """Return commits that each add one urgent job, at random times."""
    rng = random.Random(seed)
    per_org = max(1, teams // 4)
    names = [f"pool-{n:02d}" for n in range(pools)][max(1, pools // 2) :]
    events = []
    times = sorted(rng.uniform(20.0, duration_s - 20.0) for _ in range(count))
    for number, t in enumerate(times):
        name, job = make_job(rng, number, rng.choice(names), teams, per_org, True)
        patch = {"jobs": {name: job}}
        events.append(Commit(t, "operator", number + 1, patch))
    return events
