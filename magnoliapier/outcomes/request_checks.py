"""Checks of requests: their answers, runs, sends and refusals."""

from collections import defaultdict

from magnoliapier.outcomes.check_registry import EPSILON, Violation, checks, nothing
from magnoliapier.outcomes.request_measures import (
    answered_in_time,
    matching_requests,
)


@checks.register("answered_once")
def answered_once(report):
    """Check that every request gets exactly one answer, refusal or cancellation."""
    arrivals = report.of_kind("arrival")
    if not arrivals:
        return nothing("arrival")
    answers = defaultdict(list)
    for index, seen in report.of_kind("answer"):
        answers[seen["request_id"]].append(index)
    known = {seen["request_id"] for _, seen in arrivals}
    for request_id, indexes in answers.items():
        if len(indexes) > 1 or request_id not in known:
            count = len(indexes) if request_id in known else "an unasked"
            message = f"request {request_id} got {count} answers"
            return Violation(message, indexes[-1], "request_id")
    for index, seen in arrivals:
        if seen["request_id"] not in answers:
            message = f"request {seen['request_id']} got no answer"
            return Violation(message, index, "request_id")
    return None


@checks.register("not_run_is_true")
def not_run_is_true(report):
    """Check that no request answered as not-run began to run, before or after."""
    if not report.of_kind("answer"):
        return nothing("answer")
    runs = {seen["request_id"]: index for index, seen in report.of_kind("run")}
    for _, seen in report.of_kind("answer"):
        request_id = seen["request_id"]
        if seen.get("run_state") == "not-run" and request_id in runs:
            message = f"request {request_id} was refused as not-run but ran"
            return Violation(message, runs[request_id], "request_id")
    return None


@checks.register("at_most_once")
def at_most_once(report):
    """Check that a non-idempotent request, or its key, runs at most once."""
    guarded = {}
    for _, seen in report.of_kind("arrival"):
        if not seen["idempotent"]:
            key = seen.get("key") or seen["request_id"]
            guarded[seen["request_id"]] = (seen["service"], seen["organisation"], key)
    if not guarded:
        return nothing("arrival of a non-idempotent request")
    ran = set()
    for index, seen in report.of_kind("run"):
        identity = guarded.get(seen["request_id"])
        if identity is None:
            continue
        if identity in ran:
            message = f"non-idempotent request {seen['request_id']} ran twice"
            return Violation(message, index, "request_id")
        ran.add(identity)
    return None


@checks.register("refusals")
def refusals(report, max_share: float, reason: str = ""):
    """Check the share of requests that are refused, for one reason or any."""
    arrivals = report.of_kind("arrival")
    if not arrivals:
        return nothing("arrival")
    refused = [
        index
        for index, seen in report.of_kind("answer")
        if seen["outcome"] == "refused" and reason in ("", seen.get("reason"))
    ]
    share = len(refused) / len(arrivals)
    if share <= max_share + EPSILON:
        return None
    message = f"{len(refused)} of {len(arrivals)} requests were refused"
    return Violation(message, refused[int(max_share * len(arrivals))], "request_id")


@checks.register("refused_while")
def refused_while(report, reason: str, start_s: float, end_s: float):
    """Check that ``reason`` is given between two instants and at no other time."""
    answers = [
        (index, seen)
        for index, seen in report.of_kind("answer")
        if seen.get("reason") == reason
    ]
    for index, seen in answers:
        if not start_s <= seen.t <= end_s:
            message = f"refused with {reason} outside {start_s:g}..{end_s:g} s"
            return Violation(message, index, "request_id")
    return None if answers else nothing(f"refusal with {reason}")


@checks.register("deadlines")
def deadlines(
    report,
    min_share: float,
    work_class: str = "",
    service: str = "",
    idempotent_only: bool = False,
):
    """Check the share of requests that are answered by an endpoint in time."""
    requests = {
        request_id: seen
        for request_id, seen in matching_requests(
            report, work_class, service=service
        ).items()
        if seen["idempotent"] or not idempotent_only
    }
    if not requests:
        return nothing("matching request")
    late = []
    in_time = 0
    for index, seen in report.of_kind("answer"):
        request = requests.get(seen["request_id"])
        if request is None:
            continue
        if answered_in_time(seen, request):
            in_time += 1
        else:
            late.append(index)
    if in_time >= min_share * len(requests) - EPSILON:
        return None
    message = f"{in_time} of {len(requests)} requests were answered in time"
    return Violation(message, late[0] if late else None, "request_id")


@checks.register("cancelled_dropped")
def cancelled_dropped(report):
    """Check that a request is not sent after its caller left."""
    left = {seen["request_id"]: seen.t for _, seen in report.of_kind("cancel")}
    if not left:
        return nothing("cancellation")
    for index, seen in report.of_kind("send"):
        gone = left.get(seen["request_id"])
        if gone is not None and seen.t > gone + EPSILON:
            message = f"request {seen['request_id']} was sent after its caller left"
            return Violation(message, index, "request_id")
    return None


@checks.register("leaving_respected")
def leaving_respected(report, limit_s: float = 3.0):
    """Check that no new work goes to a host ``limit_s`` after a sign of leaving."""
    signs = report.of_kind("leaving")
    if not signs:
        return nothing("sign that a host is leaving")
    left = {}
    for index, seen in report.of_kind("leaving", "back", "send"):
        host = seen["host"]
        if seen.kind == "leaving":
            left.setdefault(host, seen.t)
        elif seen.kind == "back":
            left.pop(host, None)
        elif host in left and seen.t > left[host] + limit_s + EPSILON:
            late = seen.t - left[host]
            message = f"work was sent to {host} {late:.3f} s after the sign"
            return Violation(message, index, "host")
    return None


@checks.register("retry_amplification")
def retry_amplification(report, max_ratio: float):
    """Check the number of sends for each request that was sent at all."""
    sends = report.of_kind("send")
    if not sends:
        return nothing("send")
    first = set()
    repeats = []
    for index, seen in sends:
        if seen["request_id"] in first:
            repeats.append(index)
        first.add(seen["request_id"])
    ratio = len(sends) / len(first)
    if ratio <= max_ratio + EPSILON:
        return None
    place = min(int((max_ratio - 1) * len(first)), len(repeats) - 1)
    message = f"{ratio:.3f} sends for each request, allowed {max_ratio}"
    return Violation(message, repeats[place], "request_id")


@checks.register("ejected_share")
def ejected_share(report, max_share: float):
    """Check the share of a service's endpoints that are ejected at once."""
    ejections = report.of_kind("eject")
    if not ejections:
        return nothing("ejection")
    for index, seen in ejections:
        if seen["ejected"] > max_share * seen["endpoints"] + EPSILON:
            message = (
                f"{seen['ejected']} of {seen['endpoints']} endpoints of "
                f"{seen['service']} are ejected"
            )
            return Violation(message, index, "service")
    return None
