"""
Outcomes: checks of what a replay observed, stated in a small JSON language.

An outcome file names the drivers that replay its trace and a list of checks::

    {"trace": "flood", "drivers": ["requests"], "checks": [
        {"check": "at_most_once"},
        {"check": "wait_percentile", "percentile": 99, "max_s": 1.0,
         "work_class": "short"}]}

Each check is a function in the registry ``checks``; the keys next to ``check``
are its parameters. A check returns None, or a :class:`Violation` that points at
the first observation that breaks it. A check that finds nothing to look at is a
violation too, because it would otherwise pass for any behaviour.
"""

import inspect
import json
import math
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from magnoliapier.exceptions import ManifestError, TraceError
from magnoliapier.manifest import read_json
from magnoliapier.registry import Registry

checks = Registry("check")

CONTEXT_EVENTS = 5
MAX_CHECKS = 100
# Waits below this count as no wait, so that a ratio of two tiny waits means
# nothing. It is the added median latency that the design page allows, doubled.
WAIT_FLOOR_S = 0.001
EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class Observation:
    """
    Something that happened in a replay at ``t`` seconds.

    ``docs/replay.md`` lists the kinds and their fields.
    """

    t: float
    kind: str
    fields: dict

    def __getitem__(self, name):
        return self.fields[name]

    def get(self, name, default=None):
        """Return a field, or ``default``."""
        return self.fields.get(name, default)

    def __str__(self):
        pairs = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"t={self.t:.4f} {self.kind} {pairs}"


@dataclass
class ReplayReport:
    """
    The observations of one replay, in order of time.

    ``figures`` holds totals such as buffer host-hours. ``baselines`` maps names of
    policies to reports of the same trace under that policy.
    """

    name: str
    observations: list
    figures: dict = field(default_factory=dict)
    baselines: dict = field(default_factory=dict)

    def __post_init__(self):
        self.observations = sorted(self.observations, key=lambda seen: seen.t)
        self._by_kind = defaultdict(list)
        for index, seen in enumerate(self.observations):
            self._by_kind[seen.kind].append((index, seen))

    def of(self, *kinds):
        """Return (index, observation) pairs of the given kinds in order of time."""
        if len(kinds) == 1:
            return self._by_kind.get(kinds[0], [])
        return sorted(
            (pair for kind in kinds for pair in self._by_kind.get(kind, [])),
            key=lambda pair: pair[0],
        )

    def baseline(self, policy):
        """Return the report under ``policy``; raise TraceError if it was not run."""
        if policy not in self.baselines:
            raise TraceError(
                f"Trace {self.name} was not replayed with policy {policy!r}; "
                "name it in the check or give --compare."
            )
        return self.baselines[policy]

    def around(self, index, focus=None, count=CONTEXT_EVENTS):
        """
        Return the observations around ``index``, itself included.

        With ``focus``, the name of a field, only those with the same value in
        that field are returned.
        """
        centre = self.observations[index]
        value = centre.get(focus) if focus else None
        if value is None:
            return self.observations[max(0, index - count) : index + count + 1]
        related = [
            (number, seen)
            for number, seen in enumerate(self.observations)
            if seen.get(focus) == value
        ]
        place = next(i for i, (number, _) in enumerate(related) if number == index)
        return [seen for _, seen in related[max(0, place - count) : place + count + 1]]


@dataclass(frozen=True, slots=True)
class Violation:
    """
    Why a check failed.

    ``index`` is the first observation that breaks it, None if the check concerns
    something that is missing. ``focus`` names the field that relates others to it.
    """

    message: str
    index: int | None = None
    focus: str | None = None


@dataclass(frozen=True, slots=True)
class CheckResult:
    """The result of one check; ``violation`` is None if it passed."""

    name: str
    parameters: dict
    violation: Violation | None
    context: tuple = ()

    @property
    def passed(self):
        """Whether the check passed."""
        return self.violation is None

    def __str__(self):
        shown = " ".join(f"{key}={value}" for key, value in self.parameters.items())
        title = f"{self.name} {shown}".rstrip()
        if self.violation is None:
            return f"pass {title}"
        lines = [f"FAIL {title}: {self.violation.message}"]
        lines.extend(f"    {seen}" for seen in self.context)
        return "\n".join(lines)


@dataclass(frozen=True)
class Outcomes:
    """The content of an outcome file; ``checks`` are (name, parameters) pairs."""

    trace: str
    drivers: tuple
    checks: tuple

    @property
    def policies(self):
        """The baseline policies that the checks compare with, sorted."""
        return sorted(
            {values["policy"] for _, values in self.checks if "policy" in values}
        )


def read_outcomes(path):
    """Return :class:`Outcomes` of a file; raise TraceError if it is invalid."""
    path = Path(path)
    try:
        values = read_json(path.read_bytes())
    except OSError as error:
        raise TraceError(
            f"Outcome file {path} cannot be read ({error.strerror}); check its name."
        ) from None
    except ManifestError as error:
        raise TraceError(f"{path.name}: {error}") from None
    try:
        return parse_outcomes(values)
    except TraceError as error:
        raise TraceError(f"{path.name}: {error}") from None


def parse_outcomes(values):
    """Return :class:`Outcomes` of plain JSON; raise TraceError if it is invalid."""
    if set(values) != {"trace", "drivers", "checks"}:
        raise TraceError("Give exactly the keys trace, drivers and checks.")
    drivers, entries = values["drivers"], values["checks"]
    if not is_text_list(drivers) or not drivers:
        raise TraceError("drivers: give a list of driver names.")
    if not isinstance(entries, list) or not 1 <= len(entries) <= MAX_CHECKS:
        raise TraceError(f"checks: give a list of 1 to {MAX_CHECKS} checks.")
    parsed = [parse_check(entry, place) for place, entry in enumerate(entries)]
    return Outcomes(str(values["trace"]), tuple(drivers), tuple(parsed))


def is_text_list(value):
    """Return whether ``value`` is a list of strings."""
    return isinstance(value, list) and all(isinstance(item, str) for item in value)


def parse_check(entry, place):
    """Return (name, parameters) of one check after matching its signature."""
    where = f"checks[{place}]"
    if not isinstance(entry, dict) or not isinstance(entry.get("check"), str):
        raise TraceError(f"{where}: give an object with the key check.")
    name = entry["check"]
    if name not in checks:
        known = ", ".join(checks.names())
        raise TraceError(f"{where}: unknown check {name!r}; use one of: {known}.")
    parameters = {key: value for key, value in entry.items() if key != "check"}
    known = parameters_of(checks.get(name))
    for key, value in parameters.items():
        if key not in known:
            raise TraceError(f"{where}: {name} has no parameter {key!r}; remove it.")
        check_type(f"{where}.{key}", value, known[key].annotation)
    for key, parameter in known.items():
        if parameter.default is parameter.empty and key not in parameters:
            raise TraceError(f"{where}: {name} needs the parameter {key!r}; add it.")
    return name, parameters


def parameters_of(check):
    """Return a check's parameters by name, without the report."""
    return dict(list(inspect.signature(check).parameters.items())[1:])


def check_type(where, value, annotation):
    """Raise TraceError unless ``value`` is of the annotated type."""
    accepted = (int, float) if annotation is float else annotation
    if not isinstance(value, accepted) or (
        isinstance(value, bool) and annotation is not bool
    ):
        raise TraceError(f"{where}: give a value of type {annotation.__name__}.")


def run_checks(report, outcomes):
    """Run all checks of ``outcomes`` and return a list of :class:`CheckResult`."""
    results = []
    for name, parameters in outcomes.checks:
        violation = checks.get(name)(report, **parameters)
        context = ()
        if violation is not None and violation.index is not None:
            context = tuple(report.around(violation.index, violation.focus))
        results.append(CheckResult(name, parameters, violation, context))
    return results


def results_to_values(results):
    """Return check results as plain JSON."""
    return [
        {
            "check": result.name,
            "parameters": result.parameters,
            "passed": result.passed,
            "message": result.violation.message if result.violation else "",
            "events": [str(seen) for seen in result.context],
        }
        for result in results
    ]


def dump_json(path, values):
    """Write ``values`` as JSON to a file."""
    Path(path).write_text(json.dumps(values, indent=2) + "\n", encoding="utf-8")


def nothing(what):
    """Return the violation of a check that found nothing to look at."""
    return Violation(f"the replay observed no {what}, so nothing was checked")


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


@checks.register("answered_once")
def answered_once(report):
    """Check that every request gets exactly one answer, refusal or cancellation."""
    arrivals = report.of("arrival")
    if not arrivals:
        return nothing("arrival")
    answers = defaultdict(list)
    for index, seen in report.of("answer"):
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
    if not report.of("answer"):
        return nothing("answer")
    runs = {seen["request_id"]: index for index, seen in report.of("run")}
    for _, seen in report.of("answer"):
        request_id = seen["request_id"]
        if seen.get("run_state") == "not-run" and request_id in runs:
            message = f"request {request_id} was refused as not-run but ran"
            return Violation(message, runs[request_id], "request_id")
    return None


@checks.register("at_most_once")
def at_most_once(report):
    """Check that a non-idempotent request, or its key, runs at most once."""
    guarded = {}
    for _, seen in report.of("arrival"):
        if not seen["idempotent"]:
            key = seen.get("key") or seen["request_id"]
            guarded[seen["request_id"]] = (seen["service"], seen["organisation"], key)
    if not guarded:
        return nothing("arrival of a non-idempotent request")
    ran = set()
    for index, seen in report.of("run"):
        identity = guarded.get(seen["request_id"])
        if identity is None:
            continue
        if identity in ran:
            message = f"non-idempotent request {seen['request_id']} ran twice"
            return Violation(message, index, "request_id")
        ran.add(identity)
    return None


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


def wait_violation(report, requests, percent, max_s, who=""):
    """Return a violation if the waits of ``requests`` exceed ``max_s``."""
    waits = first_runs(report, requests)
    if not waits:
        return nothing(f"run of a matching request {who}".rstrip())
    measured = nearest_rank([wait for _, wait in waits.values()], percent)
    if measured <= max_s + EPSILON:
        return None
    first = min(index for index, wait in waits.values() if wait > max_s)
    message = f"p{percent:g} wait {who} is {measured:.4f} s, allowed {max_s:.4f} s"
    return Violation(" ".join(message.split()), first, "request_id")


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
    """Check a percentile of the wait from arrival to first run, in seconds."""
    requests = matching_requests(report, work_class, organisation, service)
    if not each_organisation:
        return wait_violation(report, requests, percentile, max_s)
    groups = defaultdict(dict)
    for request_id, seen in requests.items():
        groups[seen["organisation"]][request_id] = seen
    if not groups:
        return nothing("matching request")
    for name in sorted(groups):
        found = wait_violation(report, groups[name], percentile, max_s, f"of {name}")
        if found:
            return found
    return None


@checks.register("wait_versus")
def wait_versus(
    report, policy: str, percentile: float, max_ratio: float, work_class: str = ""
):
    """Check a percentile of the waits against the same under another policy."""
    other = report.baseline(policy)
    waits = first_runs(other, matching_requests(other, work_class))
    if not waits:
        return nothing(f"run of a matching request under {policy}")
    reference = percentile_of_waits(waits, percentile)
    limit = max(max_ratio * reference, WAIT_FLOOR_S)
    requests = matching_requests(report, work_class)
    found = wait_violation(report, requests, percentile, limit)
    if found:
        note = f"{found.message} ({max_ratio:g} times {policy}'s {reference:.4f} s)"
        return Violation(note, found.index, found.focus)
    return None


def percentile_of_waits(waits, percent):
    """Return a percentile of the waits that :func:`first_runs` returns."""
    return nearest_rank([wait for _, wait in waits.values()], percent)


@checks.register("refusals")
def refusals(report, max_share: float, reason: str = ""):
    """Check the share of requests that are refused, for one reason or any."""
    arrivals = report.of("arrival")
    if not arrivals:
        return nothing("arrival")
    refused = [
        index
        for index, seen in report.of("answer")
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
        for index, seen in report.of("answer")
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
    for index, seen in report.of("answer"):
        request = requests.get(seen["request_id"])
        if request is None:
            continue
        if seen["outcome"] == "ok" and seen.t <= request.t + request["deadline_s"]:
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
    left = {seen["request_id"]: seen.t for _, seen in report.of("cancel")}
    if not left:
        return nothing("cancellation")
    for index, seen in report.of("send"):
        gone = left.get(seen["request_id"])
        if gone is not None and seen.t > gone + EPSILON:
            message = f"request {seen['request_id']} was sent after its caller left"
            return Violation(message, index, "request_id")
    return None


@checks.register("leaving_respected")
def leaving_respected(report, limit_s: float = 3.0):
    """Check that no new work goes to a host ``limit_s`` after a sign of leaving."""
    signs = report.of("leaving")
    if not signs:
        return nothing("sign that a host is leaving")
    left = {}
    for index, seen in report.of("leaving", "back", "send"):
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


@checks.register("single_pool")
def single_pool(report):
    """
    Check that a host is in one pool at any time.

    A host is in the pools that any view assigns it to, and in the pools whose
    work is in flight there.
    """
    changes = report.of("assign", "run")
    if not changes:
        return nothing("assignment or run")
    views = defaultdict(dict)
    running = defaultdict(dict)
    for index, seen in changes:
        host, pool = seen["host"], seen["pool"]
        if seen.kind == "assign":
            taken = pool if seen["state"] == "assigned" else None
            views[host][seen.get("view", "")] = taken
        else:
            running[host][pool] = max(running[host].get(pool, 0.0), seen["until"])
        pools = {name for name in views[host].values() if name is not None}
        pools |= {
            name for name, until in running[host].items() if until > seen.t + EPSILON
        }
        if len(pools) > 1:
            names = " and ".join(sorted(pools))
            return Violation(f"host {host} is in {names} at once", index, "host")
    return None


@checks.register("budgets")
def budgets(report, max_missed: int = 0):
    """Check the number of minutes in which a service serves below its budget."""
    samples = report.of("budget")
    if not samples:
        return nothing("budget sample")
    missed = {}
    for index, seen in samples:
        if seen["serving"] < seen["required"]:
            missed.setdefault(int(seen.t // 60), index)
    if len(missed) <= max_missed:
        return None
    index = sorted(missed.values())[max_missed]
    seen = report.observations[index]
    message = (
        f"{len(missed)} minutes missed a budget; {seen['service']} served "
        f"{seen['serving']} of {seen['required']} required hosts"
    )
    return Violation(message, index, "service")


@checks.register("moves")
def moves(report, max_moves: int):
    """Check the number of host moves between pools."""
    if not report.of("assign", "move"):
        return nothing("assignment or move")
    made = report.of("move")
    if len(made) <= max_moves:
        return None
    message = f"{len(made)} moves were made, allowed {max_moves}"
    return Violation(message, made[max_moves][0], "host")


@checks.register("moves_versus")
def moves_versus(report, policy: str, max_ratio: float):
    """Check the number of host moves against those of another policy."""
    if not report.of("assign", "move"):
        return nothing("assignment or move")
    made = report.of("move")
    others = len(report.baseline(policy).of("move"))
    if not others:
        return nothing(f"move under {policy}")
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
        return nothing(f"buffer host-hours to compare with {policy}")
    if own <= max_ratio * other + EPSILON:
        return None
    return Violation(
        f"{own:.1f} buffer host-hours, allowed {max_ratio * other:.1f} "
        f"({max_ratio:g} times {policy}'s {other:.1f})"
    )


def busy_by(report, field_name, service, start_s, end_s):
    """Return slot-seconds in use between two instants, by a field of the request."""
    requests = matching_requests(report, service=service)
    busy = defaultdict(float)
    for _, seen in report.of("run"):
        request = requests.get(seen["request_id"])
        if request is not None:
            busy[request[field_name]] += overlap(seen.t, seen["until"], start_s, end_s)
    return busy


@checks.register("fair_share")
def fair_share(
    report, service: str, slots: int, start_s: float, end_s: float, min_share: float
):
    """
    Check each organisation's use of a service against its max-min fair share.

    Demand is the work that would be running if every request ran on arrival.
    """
    demands = defaultdict(float)
    for seen in matching_requests(report, service=service).values():
        demands[seen["organisation"]] += overlap(
            seen.t, seen.t + seen["run_s"], start_s, end_s
        )
    if len(demands) < 2:
        return nothing("second organisation")
    fair = fair_shares(slots * (end_s - start_s), demands)
    served = busy_by(report, "organisation", service, start_s, end_s)
    ratios = {
        name: served[name] / share for name, share in fair.items() if share > EPSILON
    }
    worst = min(ratios, key=ratios.get)
    if ratios[worst] >= min_share - EPSILON:
        return None
    index = next(
        index
        for index, seen in report.of("arrival")
        if seen["organisation"] == worst
        and seen["service"] == service
        and seen.t + seen["run_s"] > start_s
    )
    message = f"{worst} got {ratios[worst]:.3f} of its fair share, allowed {min_share}"
    return Violation(message, index, "organisation")


@checks.register("slot_use")
def slot_use(
    report, service: str, slots: int, start_s: float, end_s: float, min_share: float
):
    """Check the share of a service's slots in use between two instants."""
    busy = sum(busy_by(report, "service", service, start_s, end_s).values())
    if not report.of("run"):
        return nothing("run")
    share = busy / (slots * (end_s - start_s))
    if share > 1 + EPSILON:
        return Violation(f"{share:.3f} of the slots were in use, over the limit")
    if share >= min_share - EPSILON:
        return None
    return Violation(f"{share:.3f} of the slots were in use, allowed {min_share}")


@checks.register("slots_respected")
def slots_respected(report, slots: int):
    """Check that no host runs more requests at once than it has slots."""
    runs = report.of("run")
    if not runs:
        return nothing("run")
    ends = defaultdict(list)
    for index, seen in runs:
        host = ends[seen["host"]]
        host[:] = [until for until in host if until > seen.t + EPSILON]
        host.append(seen["until"])
        if len(host) > slots:
            message = f"host {seen['host']} runs {len(host)} requests in {slots} slots"
            return Violation(message, index, "host")
    return None


@checks.register("goodput")
def goodput(
    report, service: str, slots: int, start_s: float, end_s: float, min_share: float
):
    """Check the slot-seconds spent on requests that were answered in time."""
    requests = matching_requests(report, service=service)
    in_time = {
        seen["request_id"]
        for _, seen in report.of("answer")
        if seen["outcome"] == "ok"
        and (request := requests.get(seen["request_id"])) is not None
        and seen.t <= request.t + request["deadline_s"]
    }
    if not requests:
        return nothing(f"request of {service}")
    useful = sum(
        overlap(seen.t, seen["until"], start_s, end_s)
        for _, seen in report.of("run")
        if seen["request_id"] in in_time
    )
    share = useful / (slots * (end_s - start_s))
    if share >= min_share - EPSILON:
        return None
    return Violation(f"goodput is {share:.3f} of capacity, allowed {min_share}")


@checks.register("retry_amplification")
def retry_amplification(report, max_ratio: float):
    """Check the number of sends for each request that was sent at all."""
    sends = report.of("send")
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
    ejections = report.of("eject")
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


@checks.register("graceful_stops")
def graceful_stops(report):
    """Check that no planned stop of a host interrupts a request."""
    stops = report.of("stop")
    if not stops:
        return nothing("planned stop")
    for index, seen in stops:
        if seen["in_flight"]:
            message = f"stopping {seen['host']} broke {seen['in_flight']} requests"
            return Violation(message, index, "host")
    return None


@checks.register("wave_finished")
def wave_finished(report, name: str, end_s: float):
    """Check that a maintenance has done all its hosts by ``end_s``."""
    progress = [pair for pair in report.of("wave") if pair[1]["name"] == name]
    if not progress:
        return nothing(f"progress of maintenance {name}")
    for _, seen in progress:
        if seen["done"] >= seen["total"] and seen.t <= end_s:
            return None
    index, last = progress[-1]
    message = f"{last['done']} of {last['total']} hosts of {name} done by {end_s:g} s"
    return Violation(message, index, "name")


@checks.register("urgent_start")
def urgent_start(report, percentile: float, max_s: float):
    """Check a percentile of the seconds until urgent work starts."""
    starts = report.of("urgent")
    if not starts:
        return nothing("start of urgent work")
    measured = nearest_rank([seen["wait_s"] for _, seen in starts], percentile)
    if measured <= max_s + EPSILON:
        return None
    index = next(index for index, seen in starts if seen["wait_s"] > max_s)
    message = f"p{percentile:g} of urgent starts is {measured:.2f} s, allowed {max_s}"
    return Violation(message, index, "job")


@checks.register("jobs_succeed")
def jobs_succeed(report, prefix: str = ""):
    """Check that each job that started, of those with a name prefix, succeeds."""
    started = [
        (index, seen)
        for index, seen in report.of("job_start")
        if seen["job"].startswith(prefix)
    ]
    if not started:
        return nothing("start of a matching job")
    succeeded = {
        seen["job"]
        for _, seen in report.of("job_end")
        if seen["outcome"] == "succeeded"
    }
    for index, seen in started:
        if seen["job"] not in succeeded:
            message = f"job {seen['job']} started and did not succeed"
            return Violation(message, index, "job")
    return None


@checks.register("figure")
def figure(report, name: str, max_value: float):
    """Check a total that the driver counts, such as ``double_runs`` of jobs."""
    if name not in report.figures:
        return nothing(f"figure {name}")
    if report.figures[name] <= max_value:
        return None
    return Violation(f"{name} is {report.figures[name]}, allowed {max_value}")


@checks.register("commits_kept")
def commits_kept(report):
    """Check that accepted versions only grow and none is lost or reverted."""
    accepted = {}
    for index, seen in report.of("commit"):
        if seen["version"] is None:
            continue
        if seen["version"] in accepted:
            message = f"version {seen['version']} was accepted twice"
            return Violation(message, index, "version")
        accepted[seen["version"]] = seen["digest"]
    if not accepted:
        return nothing("accepted commit")
    latest = defaultdict(int)
    for index, seen in report.of("manifest"):
        where, version = seen["where"], seen["version"]
        if version < latest[where]:
            message = f"{where} went back from version {latest[where]} to {version}"
            return Violation(message, index, "where")
        latest[where] = version
        if version in accepted and seen["digest"] != accepted[version]:
            message = f"{where} holds another manifest as version {version}"
            return Violation(message, index, "version")
    newest = max(accepted)
    if not latest:
        return nothing("manifest in force")
    for where, version in latest.items():
        if version < newest:
            return Violation(f"{where} ends at version {version}, not {newest}")
    return None


@checks.register("one_commit_per_base")
def one_commit_per_base(report):
    """Check that of commits that build on one version exactly one is accepted."""
    results = defaultdict(list)
    for index, seen in report.of("commit"):
        results[seen["base"]].append((index, seen["version"]))
    if not any(len(pairs) > 1 for pairs in results.values()):
        return nothing("two commits on one base")
    for base, pairs in results.items():
        accepted = [index for index, version in pairs if version is not None]
        if len(accepted) != 1:
            message = f"{len(accepted)} commits on base {base} were accepted"
            place = accepted[-1] if accepted else pairs[0][0]
            return Violation(message, place, "base")
    return None


@checks.register("in_force")
def in_force(report, limit_s: float):
    """Check that each accepted version is in force everywhere within ``limit_s``."""
    accepted = [pair for pair in report.of("commit") if pair[1]["version"] is not None]
    if not accepted:
        return nothing("accepted commit")
    places = {seen["where"] for _, seen in report.of("manifest")}
    if not places:
        return nothing("manifest in force")
    for index, seen in accepted:
        reached = {
            other["where"]
            for _, other in report.of("manifest")
            if other["version"] >= seen["version"]
            and other.t <= seen.t + limit_s + EPSILON
        }
        if reached != places:
            missing = ", ".join(sorted(places - reached))
            message = f"version {seen['version']} is late at {missing}"
            return Violation(message, index, "version")
    return None


@checks.register("single_planner")
def single_planner(report):
    """Check that accepted planner writes never carry an older epoch than before."""
    writes = report.of("planner_write")
    if not writes:
        return nothing("planner write")
    newest, holder = 0, None
    for index, seen in writes:
        epoch = seen["epoch"]
        if epoch < newest or (epoch == newest and seen["holder"] != holder):
            message = f"{seen['holder']} wrote with epoch {epoch} after {newest}"
            return Violation(message, index, "epoch")
        newest, holder = epoch, seen["holder"]
    return None
