"""Observations and reports that the tests of checks share."""

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


def commit(t, base, version, text="d"):
    return observation(
        t, "commit", operator="op", base=base, version=version, digest=text
    )


def manifest(t, where, version, text="d"):
    return observation(t, "manifest", where=where, version=version, digest=text)


# One request from arrival to answer, which every request check accepts.
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
    Guards against checks that cannot fail, and so prove nothing.

    A subclass gives ``cases``, and gets a test for each of them. A case holds, for
    the name of a check: parameters, observations that pass, and observations with
    one planted violation together with the place of the observation to be reported
    (None where the fault is an absence or a total).
    """

    cases = {}

    def __init_subclass__(cls):
        super().__init_subclass__()
        for name in cls.cases:
            add_case(cls, name)


def add_case(test_class, name):
    def test_passes_and_fails(self):
        parameters, good, bad, place = self.cases[name]
        result = run_one(name, parameters, make_report(good))
        self.assertTrue(result.passed, result)
        report = make_report(bad)
        result = run_one(name, parameters, report)
        self.assertFalse(result.passed)
        self.assertEqual(result.violation.index, place)
        if place is not None:
            self.assertIn(report.observations[place], result.context)

    setattr(test_class, f"test_{name}", test_passes_and_fails)
