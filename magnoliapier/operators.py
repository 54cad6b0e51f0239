"""
The operators' HTTP/JSON interface of a control process.

Requests carry ``Authorization: Bearer`` with a token of :mod:`magnoliapier.auth`.
Errors are ``{"error", "message"}``; errors of manifests have further keys.

=======================================  =====================================
``GET /manifest``                        manifest in force and its version
``POST /manifest/check``                 ``{"manifest"}``; problems found
``POST /manifest/diff``                  ``{"manifest"}``; changes from the one in force
``POST /manifest/commit``                ``{"manifest", "base_version", "id"?}``
``GET /history``                         commits that the log still holds
``GET /status``                          entry hosts with seq and version
``GET /hosts``                           hosts with pool and state
``POST /hosts/<name>/drain``             ``{"reason"?}``
``POST /hosts/<name>/undrain``           ``{"reason"?}``
``POST /cancel``                         ``{"kind": "job"|"maintenance", "name"}``
``POST /entry-hosts/<name>/forget``      removes the sender record
``GET /explain?subject=<kind>/<name>``   kinds: host, wave, job, refusal, planner
``GET /watch?since=<seq>``               entries in force after a seq
=======================================  =====================================
"""

from urllib.parse import parse_qs

from magnoliapier.auth import check_token
from magnoliapier.control_planning import NOTE_PREFIX
from magnoliapier.exceptions import (
    AuthenticationError,
    ConflictError,
    ControlBusyError,
    MagnoliapierError,
    ManifestConflictError,
    ManifestError,
    PlatformError,
    StateOrderError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    UnknownNameError,
)
from magnoliapier.fleet_log import list_commits
from magnoliapier.fleet_state import HostState
from magnoliapier.leases import LEASE_KEY
from magnoliapier.logs import get_logger
from magnoliapier.manifest import Problem, canonical_json, read_json, validate_manifest
from magnoliapier.manifest_checks import check_manifest
from magnoliapier.manifest_diff import diff_manifests
from magnoliapier.ownership import SENDER_PREFIX, SenderRecord, missing_consents
from magnoliapier.platform_api import Write
from magnoliapier.reasons import REFUSALS
from magnoliapier.registry import Registry

MAX_APPEND_ATTEMPTS = 10
MAX_WATCH_ENTRIES = 256

STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    401: "401 Unauthorized",
    404: "404 Not Found",
    409: "409 Conflict",
    422: "422 Unprocessable Content",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}

# The first entry whose class matches an error gives its HTTP status and name.
ERROR_STATUS = (
    (AuthenticationError, 401, "unauthorised"),
    (UnknownNameError, 404, "not_found"),
    (ManifestConflictError, 409, "manifest_conflict"),
    (ManifestError, 422, "manifest_invalid"),
    (StateOrderError, 409, "state_conflict"),
    (StoreOutcomeUnknownError, 504, "outcome_unknown"),
    (ConflictError, 409, "log_conflict"),
    (StoreUnavailableError, 503, "store_unavailable"),
    (ControlBusyError, 503, "control_busy"),
    (PlatformError, 503, "platform_error"),
    (MagnoliapierError, 400, "bad_request"),
)

operations = Registry("operation")
explanations = Registry("subject")
log = get_logger(__name__)


class BadRequestError(MagnoliapierError):
    """A field or parameter of an operator's request is missing or invalid."""


class Request:
    """A request: the operator who sent it, the name in the path, query and body."""

    def __init__(self, operator, name, query, body):
        self.operator = operator
        self.name = name
        self.query = query
        self.body = body

    def field(self, key, kind):
        """Return a body field; raise BadRequestError unless its type is ``kind``."""
        value = self.body.get(key)
        if not isinstance(value, kind) or isinstance(value, bool):
            raise BadRequestError(f"Give {key!r} as {kind.__name__} in the body.")
        return value


class OperatorApplication:
    """The WSGI application; ``node`` is the actor that owns the control node."""

    def __init__(self, settings, clock, platform, fleet_log, node, planning, health):
        self._key = settings.auth.operator_key
        self.name = settings.name
        self.data_centre = settings.data_centre
        self.clock = clock
        self.platform = platform
        self.log = fleet_log
        self.node = node
        self.planning = planning
        self.health = health

    def __call__(self, environ, start_response):
        """Handle one request."""
        status, values = self._answer(environ)
        data = canonical_json(values)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        if status == 401:
            headers.append(("WWW-Authenticate", "Bearer"))
        start_response(STATUS_LINES[status], headers)
        return [data]

    def state(self):
        """Return the fleet state in force."""
        return self.node.ask(lambda node: node.state)

    def stage_entries(self, entries):
        """Stage entries that were just written, without waiting for a poll."""
        self.node.tell(lambda node: node.offer_entries(entries))

    def append(self, build_items, operator, writes=()):
        """
        Append the items that ``build_items`` returns for the newest state of the log.

        If another writer appends first, the items are built again for the newer state.
        Raise StoreUnavailableError if that happens MAX_APPEND_ATTEMPTS times.
        """
        state = self.node.ask(lambda node: node.follower.staged)
        for _ in range(MAX_APPEND_ATTEMPTS):
            state = self.log.catch_up(state)
            try:
                entries = self.log.append(
                    state, build_items(state), author=operator, writes=writes
                )
            except ConflictError:
                continue
            self.stage_entries(entries)
            return {"seq": entries[-1].seq, "id": entries[-1].entry_id}
        raise StoreUnavailableError("Too many writers at once; try again.")

    def _answer(self, environ):
        try:
            request, operation = self._read(environ)
            return 200, operation(self, request)
        except MagnoliapierError as error:
            return describe_error(error)
        except Exception as error:
            log.error("operation_failed", error=f"{type(error).__name__}: {error}")
            return 500, {
                "error": "internal",
                "message": "See the log of the control process.",
            }

    def _read(self, environ):
        scheme, _, token = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
        if scheme.lower() != "bearer":
            raise AuthenticationError("Send a bearer token made with operator_key.")
        operator = check_token(self._key, token, self.clock.time())
        path, name = split_path(environ["PATH_INFO"])
        operation = operations.get(f"{environ['REQUEST_METHOD']} {path}")
        length = int(environ.get("CONTENT_LENGTH") or 0)
        data = environ["wsgi.input"].read(length) if length else b""
        body = read_json(data) if data else {}
        query = parse_qs(environ.get("QUERY_STRING", ""))
        return Request(operator, name, query, body), operation


def split_path(path):
    """Return the path with the name in it replaced by ``<name>``, and the name."""
    parts = path.strip("/").split("/")
    if len(parts) == 3 and parts[0] in ("hosts", "entry-hosts"):
        return f"/{parts[0]}/<name>/{parts[2]}", parts[1]
    return "/" + "/".join(parts), None


def describe_error(error):
    """Return the HTTP status and the response body for an error."""
    status, name = next(
        (status, name) for kind, status, name in ERROR_STATUS if isinstance(error, kind)
    )
    values = {"error": name, "message": str(error)}
    if isinstance(error, ManifestConflictError):
        values["version"] = error.version
        values["changes"] = error.changes
    if isinstance(error, ManifestError):
        values["problems"] = describe_problems(error.problems)
    return status, values


def describe_problems(problems):
    """Return problems as plain JSON values."""
    return [
        {"path": p.path, "message": p.message, "remedy": p.remedy} for p in problems
    ]


def find_problems(values):
    """Return all problems of a manifest that is given as plain JSON."""
    try:
        check_manifest(validate_manifest(values))
    except ManifestError as error:
        return error.problems
    return []


@operations.register("GET /manifest")
def get_manifest(application, request):
    """Return the manifest in force."""
    state = application.state()
    return {
        "version": state.manifest_version,
        "seq": state.seq,
        "manifest": state.manifest_values,
    }


@operations.register("POST /manifest/check")
def check(application, request):
    """Return the problems of a manifest."""
    problems = find_problems(request.field("manifest", dict))
    return {"problems": describe_problems(problems)}


@operations.register("POST /manifest/diff")
def diff(application, request):
    """Return the changes from the manifest in force to the given one."""
    values = request.field("manifest", dict)
    state = application.state()
    changes = diff_manifests(state.manifest_values, values)
    return {
        "base_version": state.manifest_version,
        "changes": [str(change) for change in changes],
    }


@operations.register("POST /manifest/commit")
def commit(application, request):
    """Commit a manifest on top of ``base_version``."""
    values = request.field("manifest", dict)
    base_version = request.field("base_version", int)
    problems = find_problems(values)
    if problems:
        raise ManifestError(problems)
    commit_id = request.body.get("id", "")
    if not isinstance(commit_id, str) or len(commit_id) > 64:
        raise ManifestError(
            [Problem("id", "It is not a string of up to 64 characters.", "Correct it.")]
        )
    state = application.node.ask(lambda node: node.follower.staged)
    result, entries = application.log.commit_manifest(
        state, values, base_version, request.operator, commit_id
    )
    application.stage_entries(entries)
    log.info(
        "manifest_committed",
        operator=request.operator,
        version=result.manifest_version,
        seq=result.seq,
    )
    return {"version": result.manifest_version, "seq": result.seq}


@operations.register("GET /history")
def history(application, request):
    """Return the commits still held by the log, or by memory in a store outage."""
    state = application.state()
    try:
        entries = application.log.retained_entries()
        source = "table"
    except PlatformError:
        entries = application.node.ask(lambda node: node.follower.recent_entries())
        source = "memory"
    return {"source": source, "commits": list_commits(entries, state)}


@operations.register("GET /status")
def status(application, request):
    """Return each entry host with its seq and manifest version."""
    rows = application.node.ask(lambda node: entry_host_rows(application, node))
    return {
        "entry_hosts": rows,
        "store_available": application.health.available,
        "planner": planner_holder(application),
    }


def entry_host_rows(application, node):
    """Return the rows of GET /status; runs in the thread that owns ``node``."""
    rows = [
        {
            "name": application.name,
            "data_centre": application.data_centre,
            "status": "alive",
            "seq": node.state.seq,
            "staged": node.follower.staged_seq,
            "version": node.state.manifest_version,
            "eligible": node.is_eligible(application.name),
        }
    ]
    for member in node.members.members.values():
        rows.append(
            {
                "name": member.name,
                "data_centre": member.data_centre,
                "status": member.status.value,
                "seq": member.seq,
                "staged": member.staged,
                "version": version_at(node, member.seq),
                "eligible": member.eligible,
            }
        )
    return sorted(rows, key=lambda row: row["name"])


def version_at(node, seq):
    """Return the manifest version at ``seq``, or None if it is not known here."""
    if seq >= node.state.seq:
        return node.state.manifest_version if seq == node.state.seq else None
    entries = node.follower.entries_after(seq, node.state.seq)
    if entries is None:
        return None
    commits = sum(entry.kind == "manifest_commit" for entry in entries)
    return node.state.manifest_version - commits


def planner_holder(application):
    """Return the holder of the planner lease; None if free or in a store outage."""
    try:
        row = application.platform.table.read([LEASE_KEY]).get(LEASE_KEY)
    except PlatformError:
        return None
    return row.value["holder"] or None if row else None


@operations.register("GET /hosts")
def hosts(application, request):
    """Return each host with its pool, state and reason."""
    state, leaving = application.node.ask(
        lambda node: (node.state, set(node.leaving.current()))
    )
    return {
        "seq": state.seq,
        "hosts": [
            host_row(name, assignment, name in leaving)
            for name, assignment in sorted(state.assignments.items())
        ],
    }


def host_row(name, assignment, leaving):
    """Return one host as plain JSON."""
    return {
        "name": name,
        "pool": assignment.pool,
        "state": assignment.state.value,
        "target": assignment.target,
        "epoch": assignment.epoch,
        "seq": assignment.seq,
        "reason": assignment.reason,
        "leaving": leaving,
    }


def find_assignment(state, host):
    """Return a host's assignment; raise UnknownNameError if there is none."""
    if host not in state.assignments:
        raise UnknownNameError("host", host, sorted(state.assignments)[:10])
    return state.assignments[host]


@operations.register("POST /hosts/<name>/drain")
def drain(application, request):
    """Stop new work for a host until it is undrained."""
    reason = str(request.body.get("reason", ""))[:200]

    def build_items(state):
        assignment = find_assignment(state, request.name)
        if not assignment.takes_work:
            raise StateOrderError(
                f"Host {request.name} is {assignment.state.value}; "
                "wait until that state ends."
            )
        body = {
            "host": request.name,
            "epoch": assignment.epoch + 1,
            "target": None,
            "reason": f"operator {request.operator}: {reason}",
        }
        return [("host_drain", body)]

    return application.append(build_items, request.operator)


@operations.register("POST /hosts/<name>/undrain")
def undrain(application, request):
    """
    Return a draining host to the pool that it still belongs to.

    The pool stays the same, so no sender has to consent.
    """
    reason = str(request.body.get("reason", ""))[:200]

    def build_items(state):
        assignment = find_assignment(state, request.name)
        if assignment.state is not HostState.DRAINING:
            raise StateOrderError(
                f"Host {request.name} is {assignment.state.value}, not draining."
            )
        body = {
            "host": request.name,
            "epoch": assignment.epoch + 1,
            "pool": assignment.pool,
            "reason": f"operator {request.operator}: {reason}",
        }
        return [("host_assign", body)]

    return application.append(build_items, request.operator)


@operations.register("POST /cancel")
def cancel(application, request):
    """Cancel a job or a maintenance."""
    kind, name = request.field("kind", str), request.field("name", str)
    if kind not in ("job", "maintenance"):
        raise BadRequestError("Give 'kind' as 'job' or 'maintenance'.")

    def build_items(state):
        known = {}
        if state.manifest is not None:
            known = state.manifest.jobs if kind == "job" else state.manifest.maintenance
        if name not in known:
            raise UnknownNameError(kind, name, sorted(known)[:10])
        return [("cancel", {"name": name, "what": kind})]

    return application.append(build_items, request.operator)


@operations.register("POST /entry-hosts/<name>/forget")
def forget(application, request):
    """Remove the sender record of an entry host that is permanently gone."""
    key = SENDER_PREFIX + request.name
    row = application.platform.table.read([key]).get(key)
    if row is None:
        raise UnknownNameError("entry host", request.name, ["names of GET /status"])
    body = {"name": request.name, "incarnation": row.value["incarnation"]}
    return application.append(
        lambda state: [("sender_removed", body)],
        request.operator,
        [Write(key, None, row.version)],
    )


@operations.register("GET /explain")
def explain(application, request):
    """Return the recorded reasons for a subject such as ``host/w-17``."""
    subject = request.query.get("subject", [""])[0]
    kind, _, name = subject.partition("/")
    answer = explanations.get(kind)(application, name)
    notes, source = read_notes(application, subject.rstrip("/"))
    return {"subject": subject, **answer, "notes": notes, "notes_source": source}


def read_notes(application, subject):
    """Return the planner's notes on ``subject`` or below it, and their source."""
    try:
        rows = application.platform.table.scan(NOTE_PREFIX + subject)
    except PlatformError:
        return [], "unavailable"
    prefix = NOTE_PREFIX + subject
    return [
        {"subject": row.key.removeprefix(NOTE_PREFIX), **row.value}
        for row in rows
        if row.key == prefix or row.key.startswith(prefix + "/")
    ], "table"


def matching_entries(application, matches):
    """Return the entries held in memory for whose body ``matches`` is true."""
    entries = application.node.ask(lambda node: node.follower.recent_entries())
    return [entry.to_row() for entry in entries if matches(entry.body)]


@explanations.register("host")
def explain_host(application, name):
    """Return a host's assignment, the missing consents, and its recent entries."""
    state = application.state()
    assignment = find_assignment(state, name)
    answer = {
        "assignment": host_row(name, assignment, False),
        "entries": matching_entries(application, lambda b: b.get("host") == name),
    }
    if not assignment.takes_work:
        answer["waits_for"] = read_missing_consents(application, state, name)
    return answer


def read_missing_consents(application, state, host):
    """Return the senders that keep a host in its pool, or None in a store outage."""
    try:
        rows = application.platform.table.scan(SENDER_PREFIX)
    except PlatformError:
        return None
    records = [SenderRecord.from_row(row.value) for row in rows]
    return missing_consents(state, host, records)


@explanations.register("wave")
def explain_wave(application, name):
    """Return a wave's recorded progress."""
    return {
        "wave": application.state().waves.get(name),
        "entries": matching_entries(application, lambda b: b.get("name") == name),
    }


@explanations.register("job")
def explain_job(application, name):
    """Return whether a job is declared or cancelled."""
    state = application.state()
    return {
        "declared": state.manifest is not None and name in state.manifest.jobs,
        "cancelled": state.cancelled.get(name) == "job",
    }


@explanations.register("planner")
def explain_planner(application, name):
    """Return the holder of the planner lease."""
    return {"holder": planner_holder(application)}


@explanations.register("refusal")
def explain_refusal(application, name):
    """Return the status and remedy of a refusal reason."""
    reasons = {reason.value: kind for reason, kind in REFUSALS.items()}
    if name not in reasons:
        raise UnknownNameError("refusal reason", name, sorted(reasons))
    kind = reasons[name]
    return {
        "status": kind.status,
        "remedy": kind.remedy,
        "retry_after_s": kind.retry_after_s,
    }


@operations.register("GET /watch")
def watch(application, request):
    """Return the entries in force after ``since``, at most MAX_WATCH_ENTRIES."""
    text = request.query.get("since", [""])[0]
    if not text.isdecimal():
        raise BadRequestError("Give the last seen seq, as in /watch?since=17.")
    since = int(text)
    state, entries = application.node.ask(
        lambda node: (node.state, node.follower.entries_after(since, node.state.seq))
    )
    return {
        "seq": state.seq,
        "version": state.manifest_version,
        # None: some entries are no longer held; the client has to read the state again.
        "entries": (
            None
            if entries is None
            else [entry.to_row() for entry in entries[:MAX_WATCH_ENTRIES]]
        ),
    }
