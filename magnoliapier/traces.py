"""
Traces for replay: their event types, and how they are read, written and recorded.

A trace is a JSON Lines file: a :class:`Header`, then events in order of time.
Times and durations are in seconds; ``t`` counts from the start of the trace. A file
whose name ends in ``.jsonl.gz`` is compressed; ``.jsonl`` is plain text.

Example::

    trace = read_trace("traces/month-end.jsonl.gz")
    write_trace("copy.jsonl", trace.header, trace.events)
"""

import gzip
import hashlib
import json
import secrets
import threading
import zlib
from dataclasses import MISSING, dataclass, field, fields, replace
from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, TypeAdapter, ValidationError

from magnoliapier.clock import Clock
from magnoliapier.exceptions import ManifestError, TraceError
from magnoliapier.logs import get_logger
from magnoliapier.manifest import json_path, parse_strict_json, validate_manifest
from magnoliapier.registry import Registry

log = get_logger(__name__)

TRACE_VERSION = 1
# A trace is read into memory; the limits keep a malicious or accidentally large file
# from exhausting it. The header line contains the manifest, so its limit is higher.
MAX_TRACE_BYTES = 67_108_864
MAX_HEADER_BYTES = 8_388_608
MAX_EVENT_BYTES = 65_536
MAX_EVENTS = 500_000
MAX_NAME_LENGTH = 200

event_types = Registry("trace event")

# Strict mode is set on each field type, because a strict data class would reject a
# dict as its input.
STRICT = {"extra": "forbid", "allow_inf_nan": False}

Flag = Annotated[bool, Field(strict=True)]
Seconds = Annotated[float, Field(strict=True, ge=0, le=1e9)]
Text = Annotated[str, Field(strict=True, max_length=MAX_NAME_LENGTH)]
Identifier = Annotated[
    str, Field(strict=True, min_length=1, max_length=MAX_NAME_LENGTH)
]

FaultKind = Literal[
    "endpoint_failing",
    "endpoint_down",
    "endpoint_silent",
    "endpoint_slow",
    "store_down",
    "store_slow",
    "store_lost_answers",
    "data_centre_cut",
    "rack_lost",
    "entry_paused",
    "entry_restart",
    "planner_paused",
    "reports_lost",
]


@event_types.register("header")
@dataclass(slots=True)
class Header:
    """
    The first line of a trace: its name, entry hosts (name to data centre) and manifest.

    A recorder does not know ``duration_s`` when it writes the header and leaves
    it 0; :func:`read_trace` then sets it to the time of the last event.
    """

    __pydantic_config__ = STRICT

    name: Identifier
    description: Annotated[str, Field(strict=True, max_length=2000)]
    duration_s: Seconds
    entry_hosts: dict[Identifier, Identifier]
    manifest: dict
    seed: Annotated[int, Field(strict=True, ge=0)] = 0
    version: Annotated[int, Field(strict=True)] = TRACE_VERSION


@event_types.register("arrival")
@dataclass(slots=True)
class Arrival:
    """
    A request of a caller at one entry host.

    ``run_s`` is the true run time on an endpoint, which scheduling decisions do not
    see; ``declared_s`` is the run time that the caller declares. ``cancel_s`` is the
    time from the arrival until the caller cancels.
    """

    __pydantic_config__ = STRICT

    t: Seconds
    entry: Identifier
    request_id: Identifier
    service: Identifier
    organisation: Identifier
    kind: Identifier
    work_class: Literal["short", "long"]
    run_s: Seconds
    deadline_s: Annotated[float, Field(strict=True, gt=0, le=1e9)]
    idempotent: Flag = True
    declared_s: Seconds | None = None
    key: Identifier | None = None
    cancel_s: Seconds | None = None
    body_bytes: Annotated[int, Field(strict=True, ge=0, le=1_000_000_000)] = 0


@event_types.register("completion")
@dataclass(slots=True)
class Completion:
    """
    The true run time of an earlier arrival, which a recorder learns only later.

    :func:`read_trace` copies ``run_s`` to the arrival and drops this event.
    """

    __pydantic_config__ = STRICT

    t: Seconds
    request_id: Identifier
    run_s: Seconds


@event_types.register("fault")
@dataclass(slots=True)
class Fault:
    """
    A fault that starts at ``t`` and lasts ``duration_s``.

    Kinds and targets: endpoint_failing, endpoint_down, endpoint_silent,
    endpoint_slow (host name), data_centre_cut (data centre), rack_lost (rack),
    entry_paused, entry_restart, reports_lost (entry host); planner_paused,
    store_down, store_slow and store_lost_answers have no target. ``value`` is the
    delay in seconds for endpoint_slow and store_slow, and a share for
    endpoint_failing, endpoint_silent and store_lost_answers.
    """

    __pydantic_config__ = STRICT

    t: Seconds
    kind: FaultKind
    duration_s: Seconds
    target: Text = ""
    value: Annotated[float, Field(strict=True, ge=0, le=1e6)] = 1.0


@event_types.register("drain")
@dataclass(slots=True)
class Drain:
    """A host is drained for maintenance, or for a move to the pool ``target``."""

    __pydantic_config__ = STRICT

    t: Seconds
    host: Identifier
    target: Identifier | None = None
    duration_s: Seconds = 0.0


@event_types.register("commit")
@dataclass(slots=True)
class Commit:
    """An operator commits a merge patch that builds on manifest version ``base``."""

    __pydantic_config__ = STRICT

    t: Seconds
    operator: Identifier
    base: Annotated[int, Field(strict=True, ge=0)]
    patch: dict = field(default_factory=dict)


@event_types.register("demand")
@dataclass(slots=True)
class DemandSample:
    """
    The work that a fleet trace demands of a pool, as a number of busy hosts.

    ``hosts`` is the mean; ``burst`` is the additional demand during a burst.
    """

    __pydantic_config__ = STRICT

    t: Seconds
    pool: Identifier
    hosts: Annotated[float, Field(strict=True, ge=0, le=1e6)]
    burst: Annotated[float, Field(strict=True, ge=0, le=1e6)] = 0.0


TYPE_NAMES = {event_types.get(name): name for name in event_types.names()}
TYPE_ADAPTERS = {
    name: TypeAdapter(event_types.get(name)) for name in event_types.names()
}
FIELDS_BY_TYPE = {kind: fields(kind) for kind in TYPE_NAMES}


@dataclass(slots=True)
class Trace:
    """A trace in memory; ``events`` are in order of time."""

    header: Header
    events: list


def event_to_values(event):
    """Return an event as a dict for JSON; fields with default values are left out."""
    values = {"type": TYPE_NAMES[type(event)]}
    for item in FIELDS_BY_TYPE[type(event)]:
        value = getattr(event, item.name)
        if item.default is MISSING or value != item.default:
            values[item.name] = value
    return values


def encode_event(event):
    """Return an event as one line of JSON in bytes, including the line end."""
    text = json.dumps(event_to_values(event), separators=(",", ":"), allow_nan=False)
    return text.encode() + b"\n"


def decode_event(line, line_number):
    """
    Return the event in one line (bytes); raise TraceError if it is invalid.

    ``line_number`` is the number of the line, which the error names.
    """
    values = decode_line(line, line_number)
    name = values.pop("type", None)
    if not isinstance(name, str) or name not in event_types:
        known = ", ".join(event_types.names())
        raise line_error(
            line_number, f"unknown event type {name!r}", f"Use one of: {known}"
        )
    try:
        return TYPE_ADAPTERS[name].validate_python(values)
    except ValidationError as error:
        details = "; ".join(
            f"{json_path(problem['loc'])}: {problem['msg']}"
            for problem in error.errors(include_url=False, include_input=False)
        )
        raise line_error(
            line_number, f"invalid fields of a {name}: {details}", "Correct the fields"
        ) from None


def decode_line(line, line_number):
    """Return the JSON object in one line; raise TraceError if it is invalid."""
    try:
        values = parse_strict_json(line, check_depth=len(line) > MAX_EVENT_BYTES)
    except (ValueError, RecursionError) as error:
        raise line_error(
            line_number, f"unusable JSON: {error}", "Correct or remove the line"
        ) from None
    if not isinstance(values, dict):
        raise line_error(line_number, "not a JSON object", "Write one object per line")
    return values


def line_error(line_number, problem, remedy):
    """Return a TraceError that names the line, what is wrong and the remedy."""
    return TraceError(f"Line {line_number}: {problem}. {remedy}.")


def open_trace(path, mode):
    """
    Open a trace file in binary mode; its name says whether it is compressed.

    Raise TraceError for a name that ends in neither ``.jsonl`` nor ``.jsonl.gz``.
    """
    path = Path(path)
    if path.name.endswith(".jsonl.gz"):
        # No file name or time is stored, so the same events give the same bytes.
        return GzipTrace(path, mode)
    if path.name.endswith(".jsonl"):
        return path.open(mode)
    raise TraceError(
        f"Trace file {path.name} has an unknown ending; name it .jsonl or .jsonl.gz."
    )


class GzipTrace(gzip.GzipFile):
    """A gzip file that also closes its underlying file."""

    def __init__(self, path, mode):
        self._file = path.open(mode)
        super().__init__(filename="", mode=mode, fileobj=self._file, mtime=0)

    def close(self):
        """Close both files."""
        try:
            super().close()
        finally:
            self._file.close()


def read_trace(path):
    """
    Return the :class:`Trace` in the file at ``path``.

    Raise TraceError, which names the line and the remedy, for a file that is
    unreadable, too large or out of order, or that refers to unknown names.
    """
    try:
        with open_trace(path, "rb") as file:
            return parse_trace(file)
    except TraceError as error:
        raise TraceError(f"{Path(path).name}: {error}") from None
    except (OSError, EOFError, zlib.error) as error:
        raise TraceError(
            f"Trace file {path} cannot be read ({error}); "
            "check its name or record it again."
        ) from None


def parse_trace(file):
    """Return the :class:`Trace` in an open binary file; raise TraceError if invalid."""
    line = file.readline(MAX_HEADER_BYTES + 1)
    check_length(line, 1, MAX_HEADER_BYTES)
    header = decode_event(line, 1)
    known_names = check_header(header)
    events = []
    size_bytes = len(line)
    line_number = 1
    while line := file.readline(MAX_EVENT_BYTES + 1):
        line_number += 1
        size_bytes += len(line)
        check_length(line, line_number, MAX_EVENT_BYTES)
        if size_bytes > MAX_TRACE_BYTES or len(events) >= MAX_EVENTS:
            raise line_error(
                line_number,
                f"the trace has over {MAX_TRACE_BYTES} bytes or {MAX_EVENTS} events",
                "Split it",
            )
        event = decode_event(line, line_number)
        check_event(event, line_number, header, known_names)
        if events and event.t < events[-1].t:
            raise line_error(
                line_number, "t is before that of the line above", "Sort by t"
            )
        events.append(event)
    if not header.duration_s and events:
        header.duration_s = events[-1].t
    return Trace(header, join_completions(events))


def check_length(line, line_number, limit):
    """Raise TraceError for a line that is over ``limit`` bytes or has no line end."""
    if len(line) > limit:
        raise line_error(line_number, f"over {limit} bytes", "Shorten the line")
    if not line.endswith(b"\n"):
        raise line_error(
            line_number,
            "the file ends inside this line",
            "Remove the line or record again",
        )


@dataclass(frozen=True, slots=True)
class KnownNames:
    """The names that a header declares and that events may refer to."""

    hosts: frozenset
    racks: frozenset
    data_centres: frozenset
    entry_hosts: frozenset
    services: frozenset
    pools: frozenset

    def targets(self, fault_kind):
        """Return the names that a fault of this kind may have as its target."""
        if fault_kind.startswith("endpoint_"):
            return self.hosts
        if fault_kind.startswith("entry_") or fault_kind == "reports_lost":
            return self.entry_hosts
        if fault_kind == "rack_lost":
            return self.racks
        if fault_kind == "data_centre_cut":
            return self.data_centres
        return frozenset({""})


def check_header(header):
    """Return the :class:`KnownNames` of a header; raise TraceError if invalid."""
    if not isinstance(header, Header):
        raise line_error(1, "not a header", "Begin the file with a header line")
    if header.version != TRACE_VERSION:
        raise line_error(
            1,
            f"version {header.version} of the format is unknown",
            f"Write version {TRACE_VERSION}",
        )
    try:
        manifest = validate_manifest(header.manifest)
    except ManifestError as error:
        raise line_error(
            1, f"invalid manifest: {error}", "Correct the manifest"
        ) from None
    hosts = manifest.hosts
    return KnownNames(
        hosts=frozenset(hosts),
        racks=frozenset(host.rack for host in hosts.values()),
        data_centres=frozenset(host.data_centre for host in hosts.values())
        | frozenset(header.entry_hosts.values()),
        entry_hosts=frozenset(header.entry_hosts),
        services=frozenset(manifest.services),
        pools=frozenset(manifest.pools),
    )


def check_event(event, line_number, header, known_names):
    """Raise TraceError if an event refers to unknown names or is after the end."""
    if isinstance(event, Header):
        raise line_error(line_number, "a second header", "Remove the line")
    if header.duration_s and event.t > header.duration_s:
        raise line_error(
            line_number, f"t is after the end at {header.duration_s} s", "Correct t"
        )
    for name, known in referenced_names(event, known_names):
        if name not in known:
            expected = ", ".join(sorted(known)[:5]) or "none"
            raise line_error(
                line_number,
                f"{name!r} is not declared in the header",
                f"Use a declared name such as: {expected}",
            )


def referenced_names(event, known_names):
    """Yield (name, allowed names) for each name that ``event`` refers to."""
    if isinstance(event, Arrival):
        yield event.entry, known_names.entry_hosts
        yield event.service, known_names.services
    elif isinstance(event, Fault):
        yield event.target, known_names.targets(event.kind)
    elif isinstance(event, Drain):
        yield event.host, known_names.hosts
        if event.target is not None:
            yield event.target, known_names.pools
    elif isinstance(event, DemandSample):
        yield event.pool, known_names.pools


def join_completions(events):
    """
    Return ``events`` without completions; copy their run times to the arrivals.

    An arrival without a completion keeps its own ``run_s``.
    """
    run_times = {e.request_id: e.run_s for e in events if isinstance(e, Completion)}
    if not run_times:
        return events
    joined = [event for event in events if not isinstance(event, Completion)]
    for event in joined:
        if isinstance(event, Arrival) and event.request_id in run_times:
            event.run_s = run_times[event.request_id]
    return joined


def write_trace(path, header, events):
    """
    Write a trace sorted by time; the same events give the same bytes.

    Raise TraceError for an unknown file ending.
    """
    with open_trace(path, "wb") as file:
        file.write(encode_event(header))
        for event in sorted(events, key=lambda event: event.t):
            file.write(encode_event(event))


class TraceRecorder:
    """
    Records the events of a running process to a file of bounded size.

    The recorder is thread-safe, and :meth:`record` raises no error: beyond
    ``max_bytes`` (before compression) or after a failed write, it drops events and
    counts them. It records no request bodies. Request ids and idempotency keys are
    chosen by callers and may be secrets, so they are replaced by a digest with a
    random salt that is never stored; repeats of one key remain recognisable within
    the file.

    Example::

        recorder = TraceRecorder("entry-1.jsonl.gz", max_bytes=16_777_216)
        recorder.start(header)
        recorder.record(arrival)
        recorder.close()
    """

    def __init__(self, path, max_bytes, clock=None):
        self._path = path
        self._max_bytes = max_bytes
        self._clock = clock or Clock()
        self._salt = secrets.token_bytes(16)
        self._lock = threading.Lock()
        self._file = None
        self._started_at = 0.0
        self._written_bytes = 0
        self._dropped = 0

    @property
    def dropped(self):
        """The number of events that were not recorded."""
        return self._dropped

    def start(self, header):
        """Open the file and write ``header``; raise TraceError if that fails."""
        line = encode_event(replace(header, duration_s=0.0))
        try:
            with self._lock:
                self._file = open_trace(self._path, "wb")
                self._started_at = self._clock.monotonic()
                self._file.write(line)
                self._written_bytes = len(line)
        except OSError as error:
            raise TraceError(
                f"Trace file {self._path} cannot be written ({error.strerror}); "
                "correct trace_file in the settings or leave it empty."
            ) from None

    def record(self, event):
        """
        Write an event with ``t`` replaced by the time since :meth:`start`.

        Because ``t`` is set under the lock, the file stays in order of time when
        several threads record.
        """
        event = self._without_secrets(event)
        with self._lock:
            if self._file is None:
                self._dropped += 1
                return
            event.t = round(self._clock.monotonic() - self._started_at, 6)
            line = encode_event(event)
            if len(line) > MAX_EVENT_BYTES:
                self._dropped += 1
            elif self._written_bytes + len(line) > self._max_bytes:
                self._stop("size_limit")
            else:
                self._write(line)

    def close(self):
        """Close the file; later events are dropped. May be called twice."""
        with self._lock:
            self._close_file()

    def _write(self, line):
        try:
            self._file.write(line)
            self._written_bytes += len(line)
        except OSError as error:
            self._stop(f"write_failed: {error.strerror}")

    def _stop(self, reason):
        self._dropped += 1
        self._close_file()
        log.warning(
            "trace_recording_stopped",
            file=self._path,
            reason=reason,
            bytes=self._written_bytes,
        )

    def _close_file(self):
        file, self._file = self._file, None
        if file is not None:
            try:
                file.close()
            except OSError as error:
                log.warning("trace_close_failed", file=self._path, error=error.strerror)

    def _without_secrets(self, event):
        changes = {}
        if isinstance(event, Arrival | Completion):
            changes["request_id"] = self._pseudonym(event.request_id)
        if isinstance(event, Arrival):
            if event.key is not None:
                changes["key"] = self._pseudonym(event.key)
            for name in ("service", "organisation", "kind"):
                changes[name] = getattr(event, name)[:MAX_NAME_LENGTH]
        return replace(event, **changes)

    def _pseudonym(self, text):
        digest = hashlib.blake2b(
            text.encode("utf-8", "replace"), key=self._salt, digest_size=8
        )
        return digest.hexdigest()
