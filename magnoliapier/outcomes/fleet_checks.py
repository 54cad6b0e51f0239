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

    A host counts as a member of every pool that a view assigns it to, and of every
    pool whose work it is running.
    """
    changes = report.of_kind("assign", "run")
    if not changes:
        return nothing_observed("assignment or run")
    views = defaultdict(dict)
    running = defaultdict(dict)
    for index, observation in changes:
        host, pool = observation["host"], observation["pool"]
        if observation.kind == "assign":
            assigned_pool = pool if observation["state"] == "assigned" else None
            views[host][observation.get("view", "")] = assigned_pool
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
    """Check that budgets are missed in at most ``max_missed`` minutes."""
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
    """Check that at most ``max_moves`` host moves between pools are made."""
    if not report.of_kind("assign", "move"):
        return nothing_observed("assignment or move")
    host_moves = report.of_kind("move")
    if len(host_moves) <= max_moves:
        return None
    message = f"{len(host_moves)} moves were made, allowed {max_moves}"
    return Violation(message, host_moves[max_moves][0], "host")


@checks.register("moves_versus")
def moves_versus(report, policy: str, max_ratio: float):
    """Check that moves are at most ``max_ratio`` times those under ``policy``."""
    if not report.of_kind("assign", "move"):
        return nothing_observed("assignment or move")
    host_moves = report.of_kind("move")
    baseline_count = len(report.baseline(policy).of_kind("move"))
    if not baseline_count:
        return nothing_observed(f"move under {policy}")
    allowed = int(max_ratio * baseline_count + EPSILON)
    if len(host_moves) <= allowed:
        return None
    message = (
        f"{len(host_moves)} moves were made, "
        f"allowed {allowed} of {policy}'s {baseline_count}"
    )
    return Violation(message, host_moves[allowed][0], "host")


@checks.register("buffer_versus")
def buffer_versus(report, policy: str, max_ratio: float):
    """Check that buffer host-hours are within ``max_ratio`` times ``policy``'s."""
    own_hours = report.figures.get("buffer_host_hours")
    baseline_hours = report.baseline(policy).figures.get("buffer_host_hours")
    if own_hours is None or not baseline_hours:
        return nothing_observed(f"buffer host-hours to compare with {policy}")
    if own_hours <= max_ratio * baseline_hours + EPSILON:
        return None
    return Violation(
        f"{own_hours:.1f} buffer host-hours, allowed {max_ratio * baseline_hours:.1f} "
        f"({max_ratio:g} times {policy}'s {baseline_hours:.1f})"
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
    """Check that a maintenance is done on all its hosts by ``end_s``."""
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
    """Check that a percentile of the waits of urgent jobs is at most ``max_s``."""
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
    """Check that each started job whose name begins with ``prefix`` succeeds."""
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
    """Check that a total, such as ``double_runs``, is at most ``max_value``."""
    if name not in report.figures:
        return nothing_observed(f"figure {name}")
    if report.figures[name] <= max_value:
        return None
    return Violation(f"{name} is {report.figures[name]}, allowed {max_value}")
