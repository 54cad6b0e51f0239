"""Measures of the requests of a report, for checks, figures and plots."""

from collections import defaultdict

from magnoliapier.measures import nearest_rank, overlap


def matching_requests(report, work_class="", organisation="", service=""):
    """Return a dict from id to arrival of the requests that match all filters."""
    return {
        observation["request_id"]: observation
        for _, observation in report.of_kind("arrival")
        if work_class in ("", observation["work_class"])
        and organisation in ("", observation["organisation"])
        and service in ("", observation["service"])
    }


def first_run_waits(report, requests):
    """
    Return a dict from request id to (index, wait in seconds) until its first run.

    A send that an endpoint refuses as busy does not end the wait. The wait of a refused
    request that never runs is its whole deadline, and its index is that of the refusal;
    otherwise a policy could shorten its waits by refusing requests.
    Cancelled requests that never ran are left out.
    """
    waits = {}
    for index, observation in report.of_kind("run"):
        request_id = observation["request_id"]
        if request_id in requests and request_id not in waits:
            waits[request_id] = (index, observation.t - requests[request_id].t)
    for index, observation in report.of_kind("answer"):
        request_id = observation["request_id"]
        if (
            observation["outcome"] == "refused"
            and request_id in requests
            and request_id not in waits
        ):
            waits[request_id] = (index, requests[request_id]["deadline_s"])
    return waits


def answered_in_time(answer, request):
    """Return whether an endpoint answered ``request`` before its deadline."""
    return answer["outcome"] == "ok" and answer.t <= request.t + request["deadline_s"]


def percentile_of_waits(waits, percent):
    """Return a percentile of the waits that :func:`first_run_waits` returns."""
    return nearest_rank([wait for _, wait in waits.values()], percent)


def slot_seconds_by(report, field_name, service, start_s, end_s):
    """Return the slot-seconds used between two instants, by a field of the requests."""
    requests = matching_requests(report, service=service)
    slot_seconds = defaultdict(float)
    for _, observation in report.of_kind("run"):
        request = requests.get(observation["request_id"])
        if request is not None:
            slot_seconds[request[field_name]] += overlap(
                observation.t, observation["until"], start_s, end_s
            )
    return slot_seconds
