"""Checks of the waits from the arrival of requests to their first runs."""

from collections import defaultdict

from magnoliapier.outcomes.check_registry import (
    EPSILON,
    Violation,
    checks,
    nothing_observed,
)
from magnoliapier.outcomes.request_measures import (
    first_run_waits,
    matching_requests,
    percentile_of_waits,
)

# Lowest limit of ``wait_versus``, because the ratio of two very short waits means
# nothing. It is twice the added median latency that the design page allows.
WAIT_FLOOR_S = 0.001


def wait_violation(report, requests, percent, max_s, group=""):
    """Return a violation if a percentile of the waits exceeds ``max_s`` seconds."""
    waits = first_run_waits(report, requests)
    if not waits:
        return nothing_observed(f"run of a matching request {group}".rstrip())
    measured = percentile_of_waits(waits, percent)
    if measured <= max_s + EPSILON:
        return None
    first_index = min(index for index, wait in waits.values() if wait > max_s)
    message = f"p{percent:g} wait {group} is {measured:.4f} s, allowed {max_s:.4f} s"
    return Violation(" ".join(message.split()), first_index, "request_id")


@checks.register("wait_percentile")
def wait_percentile(
    report,
    percentile: float,
    max_s: float,
    work_class: str = "",
    organisation: str = "",
    service: str = "",
    each_organisation: bool = False,
):
    """Check that a percentile of the waits until the first run is at most ``max_s``."""
    requests = matching_requests(report, work_class, organisation, service)
    if not each_organisation:
        return wait_violation(report, requests, percentile, max_s)
    groups = defaultdict(dict)
    for request_id, observation in requests.items():
        groups[observation["organisation"]][request_id] = observation
    if not groups:
        return nothing_observed("matching request")
    for name in sorted(groups):
        violation = wait_violation(
            report, groups[name], percentile, max_s, f"of {name}"
        )
        if violation:
            return violation
    return None


@checks.register("wait_versus")
def wait_versus(
    report, policy: str, percentile: float, max_ratio: float, work_class: str = ""
):
    """
    Check that a percentile of the waits is at most ``max_ratio`` times a baseline's.

    The baseline is the same percentile under ``policy``.
    """
    baseline = report.baseline(policy)
    waits = first_run_waits(baseline, matching_requests(baseline, work_class))
    if not waits:
        return nothing_observed(f"run of a matching request under {policy}")
    reference = percentile_of_waits(waits, percentile)
    limit = max(max_ratio * reference, WAIT_FLOOR_S)
    requests = matching_requests(report, work_class)
    violation = wait_violation(report, requests, percentile, limit)
    if violation:
        full_message = (
            f"{violation.message} ({max_ratio:g} times {policy}'s {reference:.4f} s)"
        )
        return Violation(full_message, violation.index, violation.context_field)
    return None
