"""Runs the checks of an outcome file and formats their results."""

import json
from dataclasses import dataclass
from pathlib import Path

from magnoliapier.outcomes.check_registry import Violation, checks


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
        lines.extend(f"    {observation}" for observation in self.context)
        return "\n".join(lines)


def run_checks(report, outcomes):
    """Run all checks of ``outcomes`` and return a list of :class:`CheckResult`."""
    results = []
    for name, parameters in outcomes.checks:
        violation = checks.get(name)(report, **parameters)
        context = ()
        if violation is not None and violation.index is not None:
            context = tuple(
                report.observations_around(violation.index, violation.context_field)
            )
        results.append(CheckResult(name, parameters, violation, context))
    return results


def results_to_values(results):
    """Return check results as values that can be written as JSON."""
    return [
        {
            "check": result.name,
            "parameters": result.parameters,
            "passed": result.passed,
            "message": result.violation.message if result.violation else "",
            "events": [str(observation) for observation in result.context],
        }
        for result in results
    ]


def dump_json(path, values):
    """Write ``values`` as JSON to a file."""
    Path(path).write_text(json.dumps(values, indent=2) + "\n", encoding="utf-8")
