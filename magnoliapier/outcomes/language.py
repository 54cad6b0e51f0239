"""
The format of outcome files: data model and parser.

An outcome file names the drivers that replay its trace and a list of checks::

    {"trace": "flood", "drivers": ["requests"], "checks": [
        {"check": "at_most_once"},
        {"check": "wait_percentile", "percentile": 99, "max_s": 1.0,
         "work_class": "short"}]}

Each check is a function in the registry ``checks``; the keys other than ``check``
are its parameters.
"""

import inspect
from dataclasses import dataclass
from pathlib import Path

from magnoliapier.exceptions import ManifestError, TraceError
from magnoliapier.manifest import read_json
from magnoliapier.outcomes.check_registry import checks

MAX_CHECKS = 100


@dataclass(frozen=True)
class Outcomes:
    """The content of an outcome file; ``checks`` are (name, parameters) pairs."""

    trace: str
    drivers: tuple
    checks: tuple

    @property
    def policies(self):
        """The names of the baseline policies that the checks compare with, sorted."""
        return sorted(
            {values["policy"] for _, values in self.checks if "policy" in values}
        )


def read_outcomes(path):
    """Return the :class:`Outcomes` in a file; raise TraceError if invalid."""
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
    """Return the :class:`Outcomes` in parsed JSON; raise TraceError if invalid."""
    if set(values) != {"trace", "drivers", "checks"}:
        raise TraceError("Give exactly the keys trace, drivers and checks.")
    drivers, entries = values["drivers"], values["checks"]
    if not is_text_list(drivers) or not drivers:
        raise TraceError("drivers: give a list of driver names.")
    if not isinstance(entries, list) or not 1 <= len(entries) <= MAX_CHECKS:
        raise TraceError(f"checks: give a list of 1 to {MAX_CHECKS} checks.")
    parsed = [parse_check(entry, position) for position, entry in enumerate(entries)]
    return Outcomes(str(values["trace"]), tuple(drivers), tuple(parsed))


def is_text_list(value):
    """Return whether ``value`` is a list of strings."""
    return isinstance(value, list) and all(isinstance(item, str) for item in value)


def parse_check(entry, position):
    """Return (name, parameters) of a check, validated against its signature."""
    location = f"checks[{position}]"
    if not isinstance(entry, dict) or not isinstance(entry.get("check"), str):
        raise TraceError(f"{location}: give an object with the key check.")
    name = entry["check"]
    if name not in checks:
        known = ", ".join(checks.names())
        raise TraceError(f"{location}: unknown check {name!r}; use one of: {known}.")
    parameters = {key: value for key, value in entry.items() if key != "check"}
    known = declared_parameters(checks.get(name))
    for key, value in parameters.items():
        if key not in known:
            raise TraceError(f"{location}: {name} has no parameter {key!r}; remove it.")
        validate_type(f"{location}.{key}", value, known[key].annotation)
    for key, parameter in known.items():
        if parameter.default is parameter.empty and key not in parameters:
            raise TraceError(f"{location}: {name} needs the parameter {key!r}; add it.")
    return name, parameters


def declared_parameters(check):
    """Return the parameters of a check by name, except the report."""
    return dict(list(inspect.signature(check).parameters.items())[1:])


def validate_type(location, value, annotation):
    """Raise TraceError unless ``value`` is of the annotated type."""
    accepted = (int, float) if annotation is float else annotation
    if not isinstance(value, accepted) or (
        isinstance(value, bool) and annotation is not bool
    ):
        raise TraceError(f"{location}: give a value of type {annotation.__name__}.")
