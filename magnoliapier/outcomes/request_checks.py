"""Checks of requests: their answers, runs, sends and refusals."""

from collections import defaultdict

from magnoliapier.outcomes.check_registry import (
    EPSILON,
    Violation,
    checks,
    nothing_observed,
)
from magnoliapier.outcomes.request_measures import (
    answered_in_time,
    matching_requests,
)


@checks.register("answered_once")
def answered_once(report):
    """Check that every request gets exactly one answer, refusal or cancellation."""
    arrivals = report.of_kind("arrival")
    if not arrivals:
        return nothing_observed("arrival")
    answers = defaultdict(list)
    for index, observation in report.of_kind("answer"):
        answers[observation["request_id"]].append(index)
    known = {observation["request_id"] for _, observation in arrivals}
    for request_id, indexes in answers.items():
        if len(indexes) > 1 or request_id not in known:
            count = len(indexes) if request_id in known else "unexpected"
            message = f"request {request_id} got {count} answers"
            return Violation(message, indexes[-1], "request_id")
    for index, observation in arrivals:
        if observation["request_id"] not in answers:
            message = f"request {observation['request_id']} got no answer"
            return Violation(message, index, "request_id")
    return None


@checks.register("not_run_is_true")
def not_run_is_true(report):
    """Check that no request that is answered as ``not-run`` runs, before or after."""
    if not report.of_kind("answer"):
        return nothing_observed("answer")
    runs = {
        observation["request_id"]: index for index, observation in report.of_kind("run")
    }
    for _, observation in report.of_kind("answer"):
        request_id = observation["request_id"]
        if observation.get("run_state") == "not-run" and request_id in runs:
            message = f"request {request_id} was refused as not-run but ran"
            return Violation(message, runs[request_id], "request_id")
    return None


@checks.register("at_most_once")
def at_most_once(report):
    """
    Check that a non-idempotent request runs at most once.

    Requests of the same service, organisation and idempotency key count as one.
    """
    identities = {}
    for _, observation in report.of_kind("arrival"):
        if not observation["idempotent"]:
            key = observation.get("key") or observation["request_id"]
            identities[observation["request_id"]] = (
                observation["service"],
                observation["organisation"],
                key,
            )
    if not identities:
        return nothing_observed("arrival of a non-idempotent request")
    ran = set()
    for index, observation in report.of_kind("run"):
        identity = identities.get(observation["request_id"])
        if identity is None:
            continue
        if identity in ran:
            message = f"non-idempotent request {observation['request_id']} ran twice"
            return Violation(message, index, "request_id")
        ran.add(identity)
    return None


@checks.register("refusals")
def refusals(report, max_share: float, reason: str = ""):
    """
    Check that at most ``max_share`` of the requests are refused.

    Only refusals for ``reason`` count, or all refusals if it is empty.
    """
    arrivals = report.of_kind("arrival")
    if not arrivals:
        return nothing_observed("arrival")
    refused = [
        index
        for index, observation in report.of_kind("answer")
        if observation["outcome"] == "refused"
        and reason in ("", observation.get("reason"))
    ]
    share = len(refused) / len(arrivals)
    if share <= max_share + EPSILON:
        return None
    message = f"{len(refused)} of {len(arrivals)} requests were refused"
    return Violation(message, refused[int(max_share * len(arrivals))], "request_id")


@checks.register("refused_while")
def refused_while(report, reason: str, start_s: float, end_s: float):
    """Check that ``reason`` refusals occur, all between ``start_s`` and ``end_s``."""
    answers = [
        (index, observation)
        for index, observation in report.of_kind("answer")
        if observation.get("reason") == reason
    ]
    for index, observation in answers:
        if not start_s <= observation.t <= end_s:
            message = f"refused with {reason} outside {start_s:g}..{end_s:g} s"
            return Violation(message, index, "request_id")
    return None if answers else nothing_observed(f"refusal with {reason}")


@checks.register("deadlines")
def deadlines(
    report,
    min_share: float,
    work_class: str = "",
    service: str = "",
    idempotent_only: bool = False,
):
    """Check that endpoints answer at least ``min_share`` of the requests in time."""
    requests = {
        request_id: observation
        for request_id, observation in matching_requests(
            report, work_class, service=service
        ).items()
        if observation["idempotent"] or not idempotent_only
    }
    if not requests:
        return nothing_observed("matching request")
    late = []
    in_time = 0
    for index, observation in report.of_kind("answer"):
        request = requests.get(observation["request_id"])
        if request is None:
            continue
        if answered_in_time(observation, request):
            in_time += 1
        else:
            late.append(index)
    if in_time >= min_share * len(requests) - EPSILON:
        return None
    message = f"{in_time} of {len(requests)} requests were answered in time"
    return Violation(message, late[0] if late else None, "request_id")


@checks.register("cancelled_dropped")
def cancelled_dropped(report):
    """Check that a request is not sent after its caller cancelled it."""
    cancel_times = {
        observation["request_id"]: observation.t
        for _, observation in report.of_kind("cancel")
    }
    if not cancel_times:
        return nothing_observed("cancellation")
    for index, observation in report.of_kind("send"):
        cancelled_at = cancel_times.get(observation["request_id"])
        if cancelled_at is not None and observation.t > cancelled_at + EPSILON:
            message = (
                f"request {observation['request_id']} was sent "
                "after its caller cancelled it"
            )
            return Violation(message, index, "request_id")
    return None


@checks.register("leaving_respected")
def leaving_respected(report, limit_s: float = 3.0):
    """
    Check that no work is sent to a leaving host.

    Work may still be sent until ``limit_s`` after the first sign that the host leaves.
    """
    signs = report.of_kind("leaving")
    if not signs:
        return nothing_observed("sign that a host is leaving")
    leaving_since = {}
    for index, observation in report.of_kind("leaving", "back", "send"):
        host = observation["host"]
        if observation.kind == "leaving":
            leaving_since.setdefault(host, observation.t)
        elif observation.kind == "back":
            leaving_since.pop(host, None)
        elif (
            host in leaving_since
            and observation.t > leaving_since[host] + limit_s + EPSILON
        ):
            delay_s = observation.t - leaving_since[host]
            message = (
                f"work was sent to {host} {delay_s:.3f} s after the sign that it leaves"
            )
            return Violation(message, index, "host")
    return None


@checks.register("retry_amplification")
def retry_amplification(report, max_ratio: float):
    """Check that there are at most ``max_ratio`` sends for each request sent."""
    sends = report.of_kind("send")
    if not sends:
        return nothing_observed("send")
    sent = set()
    repeats = []
    for index, observation in sends:
        if observation["request_id"] in sent:
            repeats.append(index)
        sent.add(observation["request_id"])
    ratio = len(sends) / len(sent)
    if ratio <= max_ratio + EPSILON:
        return None
    position = min(int((max_ratio - 1) * len(sent)), len(repeats) - 1)
    message = f"{ratio:.3f} sends for each request, allowed {max_ratio}"
    return Violation(message, repeats[position], "request_id")


@checks.register("ejected_share")
def ejected_share(report, max_share: float):
    """Check that at most ``max_share`` of a service's endpoints are ejected at once."""
    ejections = report.of_kind("eject")
    if not ejections:
        return nothing_observed("ejection")
    for index, observation in ejections:
        if observation["ejected"] > max_share * observation["endpoints"] + EPSILON:
            message = (
                f"{observation['ejected']} of {observation['endpoints']} endpoints of "
                f"{observation['service']} are ejected"
            )
            return Violation(message, index, "service")
    return None
