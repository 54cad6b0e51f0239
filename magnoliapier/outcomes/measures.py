"""Measures that several checks, the figures of a replay and the plots share."""

import math
from collections import defaultdict


def nearest_rank(values, percent):
    """Return the nearest-rank percentile of a non-empty list."""
    ordered = sorted(values)
    rank = math.ceil(percent / 100 * len(ordered))
    return ordered[max(rank, 1) - 1]


def overlap(start, end, low, high):
    """Return the length of the part of start..end that lies inside low..high."""
    return max(0.0, min(end, high) - max(start, low))


def fair_shares(capacity, demands, weights=None):
    """
    Return the max-min fair part of ``capacity`` for each name in ``demands``.

    Nobody gets more than demanded; what one leaves is shared by the others in
    proportion to their weights.
    """
    weights = weights or {}
    shares = {}
    remaining = capacity
    open_names = set(demands)
    while open_names:
        total = sum(weights.get(name, 1.0) for name in open_names)
        level = remaining / total
        met = [n for n in open_names if demands[n] <= level * weights.get(n, 1.0)]
        if not met:
            shares.update({n: level * weights.get(n, 1.0) for n in open_names})
            break
        for name in met:
            shares[name] = demands[name]
            remaining -= demands[name]
            open_names.discard(name)
    return shares


def matching_requests(report, work_class="", organisation="", service=""):
    """Return a dict from id to arrival of the requests that match all filters."""
    return {
        seen["request_id"]: seen
        for _, seen in report.of("arrival")
        if work_class in ("", seen["work_class"])
        and organisation in ("", seen["organisation"])
        and service in ("", seen["service"])
    }


def first_runs(report, requests):
    """
    Return a dict from request id to (index, wait in seconds) until its first run.

    A send that an endpoint refuses as busy does not end the wait. A request that
    never runs counts as waiting for its whole deadline from its refusal on;
    otherwise a policy would shorten its waits by refusing. Cancelled requests that
    never ran are left out.
    """
    waits = {}
    for index, seen in report.of("run"):
        request_id = seen["request_id"]
        if request_id in requests and request_id not in waits:
            waits[request_id] = (index, seen.t - requests[request_id].t)
    for index, seen in report.of("answer"):
        request_id = seen["request_id"]
        if (
            seen["outcome"] == "refused"
            and request_id in requests
            and request_id not in waits
        ):
            waits[request_id] = (index, requests[request_id]["deadline_s"])
    return waits


def percentile_of_waits(waits, percent):
    """Return a percentile of the waits that :func:`first_runs` returns."""
    return nearest_rank([wait for _, wait in waits.values()], percent)


def busy_by(report, field_name, service, start_s, end_s):
    """Return slot-seconds in use between two instants, by a field of the request."""
    requests = matching_requests(report, service=service)
    busy = defaultdict(float)
    for _, seen in report.of("run"):
        request = requests.get(seen["request_id"])
        if request is not None:
            busy[request[field_name]] += overlap(seen.t, seen["until"], start_s, end_s)
    return busy
