"""Checks of how the slots of services and hosts are used and shared."""

from collections import defaultdict

from magnoliapier.measures import fair_shares, overlap
from magnoliapier.outcomes.check_registry import (
    EPSILON,
    Violation,
    checks,
    nothing_observed,
)
from magnoliapier.outcomes.request_measures import (
    answered_in_time,
    matching_requests,
    slot_seconds_by,
)


@checks.register("fair_share")
def fair_share(
    report, service: str, slots: int, start_s: float, end_s: float, min_share: float
):
    """
    Check each organisation's use of a service against its max-min fair share.

    Demand is the work that would be running if every request ran on arrival.
    """
    demands = defaultdict(float)
    for observation in matching_requests(report, service=service).values():
        demands[observation["organisation"]] += overlap(
            observation.t, observation.t + observation["run_s"], start_s, end_s
        )
    if len(demands) < 2:
        return nothing_observed("second organisation")
    fair = fair_shares(slots * (end_s - start_s), demands)
    served = slot_seconds_by(report, "organisation", service, start_s, end_s)
    ratios = {
        name: served[name] / share for name, share in fair.items() if share > EPSILON
    }
    worst = min(ratios, key=ratios.get)
    if ratios[worst] >= min_share - EPSILON:
        return None
    index = next(
        index
        for index, observation in report.of_kind("arrival")
        if observation["organisation"] == worst
        and observation["service"] == service
        and observation.t + observation["run_s"] > start_s
    )
    message = f"{worst} got {ratios[worst]:.3f} of its fair share, allowed {min_share}"
    return Violation(message, index, "organisation")


@checks.register("slot_use")
def slot_use(
    report, service: str, slots: int, start_s: float, end_s: float, min_share: float
):
    """Check the share of a service's slots in use between two instants."""
    busy = sum(slot_seconds_by(report, "service", service, start_s, end_s).values())
    if not report.of_kind("run"):
        return nothing_observed("run")
    share = busy / (slots * (end_s - start_s))
    if share > 1 + EPSILON:
        return Violation(f"{share:.3f} of the slots were in use, over the limit")
    if share >= min_share - EPSILON:
        return None
    return Violation(f"{share:.3f} of the slots were in use, allowed {min_share}")


@checks.register("slots_respected")
def slots_respected(report, slots: int):
    """Check that no host runs more requests at once than it has slots."""
    runs = report.of_kind("run")
    if not runs:
        return nothing_observed("run")
    ends = defaultdict(list)
    for index, observation in runs:
        host = ends[observation["host"]]
        host[:] = [until for until in host if until > observation.t + EPSILON]
        host.append(observation["until"])
        if len(host) > slots:
            message = (
                f"host {observation['host']} runs {len(host)} requests in {slots} slots"
            )
            return Violation(message, index, "host")
    return None


@checks.register("goodput")
def goodput(
    report, service: str, slots: int, start_s: float, end_s: float, min_share: float
):
    """Check the slot-seconds spent on requests that were answered in time."""
    requests = matching_requests(report, service=service)
    in_time = {
        observation["request_id"]
        for _, observation in report.of_kind("answer")
        if (request := requests.get(observation["request_id"])) is not None
        and answered_in_time(observation, request)
    }
    if not requests:
        return nothing_observed(f"request of {service}")
    useful = sum(
        overlap(observation.t, observation["until"], start_s, end_s)
        for _, observation in report.of_kind("run")
        if observation["request_id"] in in_time
    )
    share = useful / (slots * (end_s - start_s))
    if share >= min_share - EPSILON:
        return None
    return Violation(f"goodput is {share:.3f} of capacity, allowed {min_share}")
