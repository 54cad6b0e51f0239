"""Models of the manifest and a strict parser for its JSON."""

import hashlib
import json
import math
from dataclasses import dataclass

from pydantic import Field, ValidationError, field_validator

from magnoliapier.exceptions import ManifestError
from magnoliapier.settings import StrictModel, check_address

MAX_MANIFEST_BYTES = 8_388_608
MAX_DEPTH = 16
MAX_INTEGER_DIGITS = 16
SPARE_POOL = "spare"
NAME_PATTERN = "^[a-z0-9][a-z0-9._-]{0,62}$"

Name = Field(pattern=NAME_PATTERN)


@dataclass(frozen=True)
class Problem:
    """One problem of a manifest: its JSON path, what is wrong, and the remedy."""

    path: str
    message: str
    remedy: str

    def __str__(self):
        return f"{self.path}: {self.message} {self.remedy}"


class Team(StrictModel):
    """A team of an organisation; the fields are its quotas for jobs."""

    cores: int = Field(ge=0, le=1_000_000)
    memory_gb: int = Field(ge=0, le=10_000_000)
    accelerators: int = Field(ge=0, le=100_000)


class Organisation(StrictModel):
    """A customer of the platform; ``weight`` scales its fair share."""

    weight: float = Field(default=1.0, gt=0, le=100)
    teams: dict[str, Team] = Field(default_factory=dict)


class RequestClass(StrictModel):
    """The declared run time and the deadline of a class of requests."""

    expected_ms: int = Field(ge=1, le=86_400_000)
    deadline_ms: int = Field(ge=1, le=86_400_000)


class Service(StrictModel):
    """
    A service that callers address by name.

    ``deduplicates`` declares that its endpoints drop repeats of an
    Idempotency-Key themselves. ``min_available`` is its availability budget: the
    share of its pool's wanted hosts that must be serving at any moment.
    """

    pool: str = Name
    slots_per_endpoint: int = Field(default=8, ge=1, le=1024)
    connections_per_endpoint: int = Field(default=64, ge=1, le=4096)
    deduplicates: bool = False
    min_available: float = Field(default=0.75, ge=0, le=1)
    classes: dict[str, RequestClass] = Field(
        default_factory=lambda: {
            "short": RequestClass(expected_ms=100, deadline_ms=5_000),
            "long": RequestClass(expected_ms=60_000, deadline_ms=900_000),
        }
    )

    @field_validator("classes")
    @classmethod
    def check_classes(cls, value):
        """Raise ValueError unless exactly the classes short and long are declared."""
        if set(value) != {"short", "long"}:
            raise ValueError("declare exactly the classes short and long")
        return value


class Pool(StrictModel):
    """
    A pool of hosts. The pool called ``spare`` holds the hosts in reserve.

    ``max_unavailable`` limits how many of its hosts maintenance may take out of
    service at once.
    """

    min_hosts: int = Field(default=0, ge=0, le=100_000)
    max_hosts: int = Field(default=100_000, ge=0, le=100_000)
    max_unavailable: int = Field(default=1, ge=0, le=100_000)


class HostEntry(StrictModel):
    """
    A host of the platform and its initial pool.

    ``address`` is the IP:port at which its endpoint serves the pool's service.
    """

    data_centre: str = Name
    rack: str = Name
    pool: str = Name
    address: str
    cores: int = Field(default=32, ge=1, le=4096)
    memory_gb: int = Field(default=128, ge=1, le=65_536)
    accelerators: int = Field(default=0, ge=0, le=64)

    _addresses = field_validator("address")(check_address)


class Maintenance(StrictModel):
    """
    Maintenance that operators request for the hosts of the named pools.

    ``start`` and ``end`` are in seconds since the Unix epoch. ``domain`` is the kind
    of failure domain that a wave stays within. ``work_s`` is the expected time for
    one host. A host that still drains after ``straggler_limit_s`` returns to service
    and is tried again later.
    """

    pools: list[str] = Field(min_length=1)
    start: float = Field(ge=0, le=1e11)
    end: float = Field(ge=0, le=1e11)
    domain: str = Field(default="rack", pattern="^(rack|data_centre)$")
    work_s: float = Field(default=600.0, gt=0, le=86_400)
    straggler_limit_s: float = Field(default=900.0, ge=0, le=604_800)


class CalendarEvent(StrictModel):
    """
    A recurring peak: from ``start_day`` to ``end_day`` of each month.

    Days are numbered from 1 to 31; negative numbers count from the end of the month
    (-1 is the last day). ``factor`` multiplies the mean demand of the named pools.
    """

    pools: list[str] = Field(min_length=1)
    start_day: int = Field(ge=-31, le=31)
    end_day: int = Field(ge=-31, le=31)
    factor: float = Field(gt=0, le=1000)


class Job(StrictModel):
    """
    Long-running work that is placed on a worker and counts towards a team's quota.

    ``expected_s`` is declared by its owner and may differ widely from the run time.
    """

    organisation: str = Name
    team: str = Name
    pool: str = Name
    cores: int = Field(ge=1, le=4096)
    memory_gb: int = Field(default=1, ge=1, le=65_536)
    accelerators: int = Field(default=0, ge=0, le=64)
    urgent: bool = False
    idempotent: bool = True
    expected_s: float = Field(default=600.0, gt=0, le=31_536_000)
    max_attempts: int = Field(default=3, ge=1, le=100)


class Manifest(StrictModel):
    """Everything operators declare. All maps are keyed by name."""

    organisations: dict[str, Organisation]
    services: dict[str, Service]
    pools: dict[str, Pool]
    hosts: dict[str, HostEntry]
    maintenance: dict[str, Maintenance] = Field(default_factory=dict)
    calendar: dict[str, CalendarEvent] = Field(default_factory=dict)
    jobs: dict[str, Job] = Field(default_factory=dict)


def reject_duplicate_keys(pairs):
    """Return a JSON object's pairs as a dict; raise ValueError for a repeated key."""
    result = {}
    for key, value in pairs:
        if key in result:
            raise ValueError(f"the key {key!r} is given twice in one object")
        result[key] = value
    return result


def reject_constant(name):
    """Raise ValueError for NaN and the infinities, which JSON does not allow."""
    raise ValueError(f"{name} is not a JSON number")


def parse_integer(text):
    """Return ``text`` as an integer; raise ValueError if it has too many digits."""
    if len(text.lstrip("-")) > MAX_INTEGER_DIGITS:
        raise ValueError(f"a number has more than {MAX_INTEGER_DIGITS} digits")
    return int(text)


def parse_number(text):
    """Return ``text`` as a float; raise ValueError if it is not finite."""
    value = float(text)
    if not math.isfinite(value):
        raise ValueError("a number is too large")
    return value


def nesting_depth(text):
    """Return how deeply brackets outside strings are nested, without recursion."""
    depth = deepest = 0
    in_string = escaped = False
    for char in text:
        if in_string:
            if escaped:
                escaped = False
            elif char == "\\":
                escaped = True
            elif char == '"':
                in_string = False
        elif char == '"':
            in_string = True
        elif char in "[{":
            depth += 1
            deepest = max(deepest, depth)
        elif char in "]}":
            depth -= 1
    return deepest


def parse_strict_json(data, check_depth=True):
    """
    Return the value that the JSON text in ``data`` (bytes) describes.

    Raise ValueError if it is not UTF-8 or not JSON, repeats a key, or contains NaN or
    numbers that are too large. With ``check_depth``, deep nesting raises ValueError
    too; without it, deep nesting can raise RecursionError.
    """
    text = data.decode("utf-8")
    if check_depth and nesting_depth(text) > MAX_DEPTH:
        raise ValueError(f"it is nested deeper than {MAX_DEPTH} levels")
    return json.loads(
        text,
        object_pairs_hook=reject_duplicate_keys,
        parse_constant=reject_constant,
        parse_int=parse_integer,
        parse_float=parse_number,
    )


def read_json(data):
    """
    Return the JSON object in ``data`` (bytes).

    Raise ManifestError for input that is not a JSON object, is too large or too
    deeply nested, repeats a key, or contains NaN or numbers that are too large.
    """
    if len(data) > MAX_MANIFEST_BYTES:
        raise ManifestError(
            [
                Problem(
                    "$",
                    f"The manifest has {len(data)} bytes.",
                    f"Keep it under {MAX_MANIFEST_BYTES} bytes.",
                )
            ]
        )
    try:
        values = parse_strict_json(data)
    except ValueError as error:
        raise ManifestError(
            [Problem("$", f"This is not usable JSON: {error}.", "Correct the file.")]
        ) from None
    if not isinstance(values, dict):
        raise ManifestError(
            [Problem("$", "The manifest is not an object.", "Enclose it in braces.")]
        )
    return values


def validate_manifest(values):
    """Return a :class:`Manifest`; raise ManifestError that lists all problems."""
    try:
        return Manifest.model_validate(values)
    except ValidationError as error:
        raise ManifestError(
            Problem(
                json_path(details["loc"]), f"{details['msg']}.", remedy_for(details)
            )
            for details in error.errors(include_url=False, include_input=False)
        ) from None


def json_path(location):
    """Return a pydantic location as a JSON path such as ``$.pools.wire``."""
    parts = (f"[{part}]" if isinstance(part, int) else f".{part}" for part in location)
    return "$" + "".join(parts)


def remedy_for(details):
    """Return what to do about one error that pydantic reports."""
    remedies = {
        "missing": "Add the key.",
        "extra_forbidden": "Remove the key or correct its spelling.",
        "string_pattern_mismatch": "Use lower case letters, digits, '.', '_', '-'.",
    }
    return remedies.get(details["type"], "Correct the value.")


def parse_manifest(data):
    """Parse JSON bytes into a :class:`Manifest`; raise ManifestError if invalid."""
    return validate_manifest(read_json(data))


def canonical_json(values):
    """Return ``values`` as JSON bytes with sorted keys and no spaces."""
    return json.dumps(
        values, sort_keys=True, separators=(",", ":"), allow_nan=False
    ).encode()


def digest(values):
    """Return the SHA-256 hex digest of the canonical JSON of ``values``."""
    return hashlib.sha256(canonical_json(values)).hexdigest()


def merge_patch(target, patch):
    """Return ``target`` with the RFC 7396 merge patch ``patch`` applied."""
    if not isinstance(patch, dict):
        return patch
    result = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = merge_patch(result.get(key), value)
    return result


def make_patch(old, new):
    """Return the RFC 7396 merge patch that turns ``old`` into ``new``."""
    patch = {key: None for key in old if key not in new}
    for key, value in new.items():
        previous = old.get(key)
        if isinstance(value, dict) and isinstance(previous, dict):
            inner = make_patch(previous, value)
            if inner:
                patch[key] = inner
        elif value != previous:
            patch[key] = value
    return patch
