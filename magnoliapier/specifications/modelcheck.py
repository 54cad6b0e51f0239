"""
Explores all reachable states of the protocol specifications and writes a summary.

Run as ``python -m magnoliapier.specifications.modelcheck --output FILE``. The exit
status is 1 if an invariant fails, a witness is unreachable, an exploration is cut
off, or a seeded mistake is not found.
"""

import importlib
import json
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import typer
from minicheck import Protocol, check_safety

from magnoliapier.specifications.specification import specifications

SPECIFICATION_MODULES = (
    "ownership",
    "manifest",
    "claims",
    "lease",
    "shard",
    "host_orders",
    "incarnations",
    "allowances",
)

# Stops an exploration that does not end; the largest specification stays well below.
MAX_STATES = 2_000_000


class StateProtocol(Protocol):
    """
    A protocol whose predicates take the state itself.

    This avoids building a dict for each state.
    """

    def d(self, s):
        """Return the state unchanged."""
        return s


@dataclass
class Exploration:
    """
    The result of one exploration.

    ``violations`` maps each broken invariant to its shortest counterexample, a
    list of ``{"label", "state"}``. ``unreached`` names the missing witnesses.
    """

    states: int
    complete: bool
    violations: dict = field(default_factory=dict)
    unreached: list = field(default_factory=list)

    @property
    def holds(self):
        """Whether the exploration was complete and found nothing wrong."""
        return self.complete and not self.violations and not self.unreached


def explore(specification):
    """Explore a specification in full and return an :class:`Exploration`."""
    invariants = specification.invariants()
    unreached = {
        name: (lambda state, reached=reached: not reached(state))
        for name, reached in specification.witnesses().items()
    }
    result = run_checker(
        specification, specification.successors, {**invariants, **unreached}
    )
    properties = result["properties"]
    return Exploration(
        result["reachable_states"],
        result["exhaustive"],
        {
            name: properties[name]["counterexample"]
            for name in invariants
            if properties[name]["holds"] is False
        },
        [name for name in unreached if properties[name]["holds"] is not False],
    )


def find_violation(specification):
    """Return the shortest counterexample of any invariant, or None."""
    violating = []

    def record_violations(predicate):
        def checked(state):
            holds = predicate(state)
            if not holds:
                violating.append(state)
            return holds

        return checked

    def successors(state):
        # minicheck cannot be stopped early, but it ends if no state has successors.
        return () if violating else specification.successors(state)

    result = run_checker(
        specification,
        successors,
        {
            name: record_violations(check)
            for name, check in specification.invariants().items()
        },
    )
    traces = [
        outcome["counterexample"]
        for outcome in result["properties"].values()
        if outcome["holds"] is False
    ]
    return min(traces, key=len, default=None)


def run_checker(specification, successors, invariants):
    """Return minicheck's result for one specification with the given functions."""
    return check_safety(
        StateProtocol(
            name=specification.name,
            candidate=False,
            fields=(),
            initial=specification.initial,
            transitions=successors,
            invariants=invariants,
        ),
        max_states=MAX_STATES,
    )


def find_mistake(mistake):
    """Return ``(scenario, counterexample)`` of a seeded mistake, or None."""
    for scenario in mistake.scenarios:
        trace = find_violation(mistake(scenario))
        if trace:
            return scenario, trace
    return None


def check(name, write=print):
    """
    Check one specification and its seeded mistakes, and print the results.

    Return its summary and whether everything passed.
    """
    specification = specifications.get(name)
    states, complete, passed = 0, True, True
    for scenario, bounds in specification.scenarios.items():
        started_at = time.perf_counter()
        result = explore(specification(scenario))
        states += result.states
        complete = complete and result.complete
        passed = passed and result.holds
        write(
            f"{name}/{scenario}: {result.states} states, "
            f"{'complete' if result.complete else 'CUT OFF'}, "
            f"{time.perf_counter() - started_at:.1f} s, bounds {bounds}"
        )
        for broken, trace in result.violations.items():
            write(f"  {broken} FAILS:\n{format_trace(trace)}")
        for missing in result.unreached:
            write(f"  {missing} IS NEVER REACHED")
    killed = 0
    for label in specification.mistakes.names():
        found = find_mistake(specification.mistakes.get(label))
        killed += found is not None
        write(
            f"  mistake {label}: found in {found[0]} after {len(found[1]) - 1} steps"
            if found
            else f"  mistake {label}: NOT FOUND"
        )
    mutants = len(specification.mistakes.names())
    summary = {
        "states": states,
        "complete": complete,
        "mutants": mutants,
        "killed": killed,
    }
    return summary, passed and killed == mutants


def format_trace(trace):
    """Return a counterexample as one line for each step."""
    return "\n".join(f"    {step['label']}: {step['state']}" for step in trace)


def load_specifications():
    """Import the specification modules, which register themselves."""
    for module in SPECIFICATION_MODULES:
        importlib.import_module(f"magnoliapier.specifications.{module}")
    return specifications.names()


def main(output: Path = Path("build/model.json"), only: str = ""):
    """Check all specifications, or the one named by ``--only``."""
    summaries, verdicts = {}, []
    for name in load_specifications():
        if not only or only == name:
            summaries[name], passed = check(name)
            verdicts.append(passed)
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps(summaries, indent=2) + "\n", encoding="utf-8")
    sys.exit(0 if all(verdicts) else 1)


if __name__ == "__main__":
    typer.run(main)
