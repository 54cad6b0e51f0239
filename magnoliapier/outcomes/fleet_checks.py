"""Checks of the fleet: pools, budgets, moves, maintenance, jobs and totals."""

from collections import defaultdict

from magnoliapier.measures import nearest_rank
from magnoliapier.outcomes.check_registry import (
    EPSILON,
    Violation,
    checks,
    nothing_observed,
)


@checks.register("single_pool")
def single_pool(report):
    """
    Check that a host is in one pool at any time.

    A host is in the pools that any view assigns it to, and in the pools whose
    work is in flight there.
    """
    changes = report.of_kind("assign", "run")
    if not changes:
        return nothing_observed("assignment or run")
    views = defaultdict(dict)
    running = defaultdict(dict)
    for index, observation in changes:
        host, pool = observation["host"], observation["pool"]
        if observation.kind == "assign":
            taken = pool if observation["state"] == "assigned" else None
            views[host][observation.get("view", "")] = taken
        else:
            running[host][pool] = max(
                running[host].get(pool, 0.0), observation["until"]
            )
        pools = {name for name in views[host].values() if name is not None}
        pools |= {
            name
            for name, until in running[host].items()
            if until > observation.t + EPSILON
        }
        if len(pools) > 1:
            names = " and ".join(sorted(pools))
            return Violation(f"host {host} is in {names} at once", index, "host")
    return None


@checks.register("budgets")
def budgets(report, max_missed: int = 0):
    """Check the number of minutes in which a service serves below its budget."""
    samples = report.of_kind("budget")
    if not samples:
        return nothing_observed("budget sample")
    missed = {}
    for index, observation in samples:
        if observation["serving"] < observation["required"]:
            missed.setdefault(int(observation.t // 60), index)
    if len(missed) <= max_missed:
        return None
    index = sorted(missed.values())[max_missed]
    observation = report.observations[index]
    message = (
        f"{len(missed)} minutes missed a budget; {observation['service']} served "
        f"{observation['serving']} of {observation['required']} required hosts"
    )
    return Violation(message, index, "service")


@checks.register("moves")
def moves(report, max_moves: int):
    """Check the number of host moves between pools."""
    if not report.of_kind("assign", "move"):
        return nothing_observed("assignment or move")
    made = report.of_kind("move")
    if len(made) <= max_moves:
        return None
    message = f"{len(made)} moves were made, allowed {max_moves}"
    return Violation(message, made[max_moves][0], "host")


@checks.register("moves_versus")
def moves_versus(report, policy: str, max_ratio: float):
    """Check the number of host moves against those of another policy."""
    if not report.of_kind("assign", "move"):
        return nothing_observed("assignment or move")
    made = report.of_kind("move")
    others = len(report.baseline(policy).of_kind("move"))
    if not others:
        return nothing_observed(f"move under {policy}")
    allowed = int(max_ratio * others + EPSILON)
    if len(made) <= allowed:
        return None
    message = f"{len(made)} moves were made, allowed {allowed} of {policy}'s {others}"
    return Violation(message, made[allowed][0], "host")


@checks.register("buffer_versus")
def buffer_versus(report, policy: str, max_ratio: float):
    """Check buffer host-hours against those of another policy."""
    own = report.figures.get("buffer_host_hours")
    other = report.baseline(policy).figures.get("buffer_host_hours")
    if own is None or not other:
        return nothing_observed(f"buffer host-hours to compare with {policy}")
    if own <= max_ratio * other + EPSILON:
        return None
    return Violation(
        f"{own:.1f} buffer host-hours, allowed {max_ratio * other:.1f} "
        f"({max_ratio:g} times {policy}'s {other:.1f})"
    )


@checks.register("graceful_stops")
def graceful_stops(report):
    """Check that no planned stop of a host interrupts a request."""
    stops = report.of_kind("stop")
    if not stops:
        return nothing_observed("planned stop")
    for index, observation in stops:
        if observation["in_flight"]:
            message = (
                f"stopping {observation['host']} interrupted "
                f"{observation['in_flight']} requests"
            )
            return Violation(message, index, "host")
    return None


@checks.register("wave_finished")
def wave_finished(report, name: str, end_s: float):
    """Check that a maintenance has done all its hosts by ``end_s``."""
    progress = [pair for pair in report.of_kind("wave") if pair[1]["name"] == name]
    if not progress:
        return nothing_observed(f"progress of maintenance {name}")
    for _, observation in progress:
        if observation["done"] >= observation["total"] and observation.t <= end_s:
            return None
    index, last = progress[-1]
    message = f"{last['done']} of {last['total']} hosts of {name} done by {end_s:g} s"
    return Violation(message, index, "name")


@checks.register("urgent_start")
def urgent_start(report, percentile: float, max_s: float):
    """Check a percentile of the seconds until urgent work starts."""
    starts = report.of_kind("urgent")
    if not starts:
        return nothing_observed("start of urgent work")
    measured = nearest_rank(
        [observation["wait_s"] for _, observation in starts], percentile
    )
    if measured <= max_s + EPSILON:
        return None
    index = next(
        index for index, observation in starts if observation["wait_s"] > max_s
    )
    message = f"p{percentile:g} of urgent starts is {measured:.2f} s, allowed {max_s}"
    return Violation(message, index, "job")


@checks.register("jobs_succeed")
def jobs_succeed(report, prefix: str = ""):
    """Check that each job that started, of those with a name prefix, succeeds."""
    started = [
        (index, observation)
        for index, observation in report.of_kind("job_start")
        if observation["job"].startswith(prefix)
    ]
    if not started:
        return nothing_observed("start of a matching job")
    succeeded = {
        observation["job"]
        for _, observation in report.of_kind("job_end")
        if observation["outcome"] == "succeeded"
    }
    for index, observation in started:
        if observation["job"] not in succeeded:
            message = f"job {observation['job']} started and did not succeed"
            return Violation(message, index, "job")
    return None


@checks.register("figure")
def figure(report, name: str, max_value: float):
    """Check a total that the driver counts, such as ``double_runs`` of jobs."""
    if name not in report.figures:
        return nothing_observed(f"figure {name}")
    if report.figures[name] <= max_value:
        return None
    return Violation(f"{name} is {report.figures[name]}, allowed {max_value}")
