"""Checks of the store: commits, manifests in force and planner writes."""

from collections import defaultdict

from magnoliapier.outcomes.check_registry import (
    EPSILON,
    Violation,
    checks,
    nothing_observed,
)


@checks.register("commits_kept")
def commits_kept(report):
    """Check that no accepted version is repeated, lost, replaced or reverted."""
    accepted = {}
    for index, observation in report.of_kind("commit"):
        if observation["version"] is None:
            continue
        if observation["version"] in accepted:
            message = f"version {observation['version']} was accepted twice"
            return Violation(message, index, "version")
        accepted[observation["version"]] = observation["digest"]
    if not accepted:
        return nothing_observed("accepted commit")
    latest = defaultdict(int)
    for index, observation in report.of_kind("manifest"):
        where, version = observation["where"], observation["version"]
        if version < latest[where]:
            message = f"{where} went back from version {latest[where]} to {version}"
            return Violation(message, index, "where")
        latest[where] = version
        if version in accepted and observation["digest"] != accepted[version]:
            message = f"{where} holds another manifest as version {version}"
            return Violation(message, index, "version")
    newest = max(accepted)
    if not latest:
        return nothing_observed("manifest in force")
    for where, version in latest.items():
        if version < newest:
            return Violation(f"{where} ends at version {version}, not {newest}")
    return None


@checks.register("one_commit_per_base")
def one_commit_per_base(report):
    """Check that exactly one of the commits on the same base version is accepted."""
    results = defaultdict(list)
    for index, observation in report.of_kind("commit"):
        results[observation["base"]].append((index, observation["version"]))
    if not any(len(pairs) > 1 for pairs in results.values()):
        return nothing_observed("two commits on one base")
    for base, pairs in results.items():
        accepted = [index for index, version in pairs if version is not None]
        if len(accepted) != 1:
            message = f"{len(accepted)} commits on base {base} were accepted"
            violation_index = accepted[-1] if accepted else pairs[0][0]
            return Violation(message, violation_index, "base")
    return None


@checks.register("in_force")
def in_force(report, limit_s: float):
    """Check that each accepted version is in force everywhere within ``limit_s``."""
    accepted = [
        pair for pair in report.of_kind("commit") if pair[1]["version"] is not None
    ]
    if not accepted:
        return nothing_observed("accepted commit")
    locations = {observation["where"] for _, observation in report.of_kind("manifest")}
    if not locations:
        return nothing_observed("manifest in force")
    for index, observation in accepted:
        reached = {
            other["where"]
            for _, other in report.of_kind("manifest")
            if other["version"] >= observation["version"]
            and other.t <= observation.t + limit_s + EPSILON
        }
        if reached != locations:
            missing = ", ".join(sorted(locations - reached))
            message = (
                f"version {observation['version']} was not in force in time "
                f"at {missing}"
            )
            return Violation(message, index, "version")
    return None


@checks.register("single_planner")
def single_planner(report):
    """Check that planner epochs never decrease and that each has only one holder."""
    writes = report.of_kind("planner_write")
    if not writes:
        return nothing_observed("planner write")
    newest, holder = 0, None
    for index, observation in writes:
        epoch = observation["epoch"]
        if epoch < newest or (epoch == newest and observation["holder"] != holder):
            message = f"{observation['holder']} wrote with epoch {epoch} after {newest}"
            return Violation(message, index, "epoch")
        newest, holder = epoch, observation["holder"]
    return None
