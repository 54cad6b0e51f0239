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
    Check that each organisation gets at least ``min_share`` of its fair share.

    The slot-seconds between ``start_s`` and ``end_s`` are shared max-min fairly. The
    demand of an organisation is the work that would run in that time if every
    request started on arrival.
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
    message = f"{worst} got {ratios[worst]:.3f} of its fair share, required {min_share}"
    return Violation(message, index, "organisation")


@checks.register("slot_use")
def slot_use(
    report, service: str, slots: int, start_s: float, end_s: float, min_share: float
):
    """
    Check the share of a service's slots in use between two instants.

    It must be at least ``min_share``, and at most 1.
    """
    used_slot_seconds = sum(
        slot_seconds_by(report, "service", service, start_s, end_s).values()
    )
    if not report.of_kind("run"):
        return nothing_observed("run")
    share = used_slot_seconds / (slots * (end_s - start_s))
    if share > 1 + EPSILON:
        return Violation(f"{share:.3f} of the slots were in use, more than exist")
    if share >= min_share - EPSILON:
        return None
    return Violation(f"{share:.3f} of the slots were in use, required {min_share}")


@checks.register("slots_respected")
def slots_respected(report, slots: int):
    """Check that no host runs more requests at once than it has slots."""
    runs = report.of_kind("run")
    if not runs:
        return nothing_observed("run")
    ends_by_host = defaultdict(list)
    for index, observation in runs:
        running_until = ends_by_host[observation["host"]]
        running_until[:] = [
            until for until in running_until if until > observation.t + EPSILON
        ]
        running_until.append(observation["until"])
        if len(running_until) > slots:
            message = (
                f"host {observation['host']} runs {len(running_until)} requests "
                f"in {slots} slots"
            )
            return Violation(message, index, "host")
    return None


@checks.register("goodput")
def goodput(
    report, service: str, slots: int, start_s: float, end_s: float, min_share: float
):
    """Check that ``min_share`` of slot-seconds goes to requests answered in time."""
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
    return Violation(f"goodput is {share:.3f} of capacity, required {min_share}")
