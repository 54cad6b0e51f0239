"""Sample observations and reports for the tests of checks."""

import unittest

from magnoliapier.outcomes.language import parse_outcomes
from magnoliapier.outcomes.observations import Observation, ReplayReport
from magnoliapier.outcomes.results import run_checks


def observation(t, kind, **fields):
    return Observation(t, kind, fields)


def arrival(t, request_id, **changes):
    values = {
        "organisation": "desk-a",
        "service": "wire",
        "work_class": "short",
        "idempotent": True,
        "key": None,
        "run_s": 1.0,
        "deadline_s": 5.0,
    }
    return observation(t, "arrival", request_id=request_id, **(values | changes))


def send(t, request_id, host="w-1"):
    return observation(t, "send", request_id=request_id, host=host)


def run(t, request_id, until, host="w-1", pool="wire"):
    return observation(
        t, "run", request_id=request_id, host=host, pool=pool, until=until
    )


def answer(t, request_id, outcome="ok", **fields):
    values = {"run_state": "ran" if outcome == "ok" else "unknown"}
    return observation(
        t, "answer", request_id=request_id, outcome=outcome, **(values | fields)
    )


def assign(t, host, pool, state="assigned", view="table"):
    return observation(t, "assign", host=host, pool=pool, state=state, view=view)


def commit(t, base, version, digest="d"):
    return observation(
        t, "commit", operator="op", base=base, version=version, digest=digest
    )


def manifest(t, where, version, digest="d"):
    return observation(t, "manifest", where=where, version=version, digest=digest)


# One request from arrival to answer; it passes every request check that uses it.
ANSWERED_REQUEST = [
    arrival(0, "a"),
    send(0.1, "a"),
    run(0.1, "a", 1.1),
    answer(1.1, "a"),
]
WINDOW = {"service": "wire", "slots": 1, "start_s": 0.0, "end_s": 1.0}
BASELINE = [arrival(0, "a"), run(1.0, "a", 2), observation(2, "move", host="w-1")] + [
    observation(3, "move", host="w-2")
]


def make_report(observations, **figures):
    baseline = ReplayReport("base", BASELINE, {"buffer_host_hours": 100.0})
    return ReplayReport("sample", observations, figures, {"fifo": baseline})


def run_one(name, parameters, report):
    outcomes = parse_outcomes(
        {
            "trace": "t",
            "drivers": ["requests"],
            "checks": [{"check": name, **parameters}],
        }
    )
    return run_checks(report, outcomes)[0]


class PlantedViolationTestCase(unittest.TestCase):
    """
    Guards against checks that never fail and therefore detect nothing.

    A subclass defines ``cases`` and gets a test for each of them. A case maps the name
    of a check to its parameters, observations that pass, observations that violate it,
    and the index of the observation that must be reported (None if the violation is
    a missing observation or a total).
    """

    cases = {}

    def __init_subclass__(cls):
        super().__init_subclass__()
        for name in cls.cases:
            add_case(cls, name)


def add_case(test_class, name):
    def test_passes_and_fails(self):
        parameters, passing, violating, expected_index = self.cases[name]
        result = run_one(name, parameters, make_report(passing))
        self.assertTrue(result.passed, result)
        report = make_report(violating)
        result = run_one(name, parameters, report)
        self.assertFalse(result.passed)
        self.assertEqual(result.violation.index, expected_index)
        if expected_index is not None:
            self.assertIn(report.observations[expected_index], result.context)

    setattr(test_class, f"test_{name}", test_passes_and_fails)
