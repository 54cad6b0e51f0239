import tempfile
import unittest
from pathlib import Path

from magnoliapier.exceptions import TraceError
from magnoliapier.outcomes import (
    Observation,
    ReplayReport,
    checks,
    fair_shares,
    parse_outcomes,
    read_outcomes,
    run_checks,
)


def see(t, kind, **fields):
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
    return see(t, "arrival", request_id=request_id, **(values | changes))


def send(t, request_id, host="w-1"):
    return see(t, "send", request_id=request_id, host=host)


def run(t, request_id, until, host="w-1", pool="wire"):
    return see(t, "run", request_id=request_id, host=host, pool=pool, until=until)


def answer(t, request_id, outcome="ok", **fields):
    values = {"run_state": "ran" if outcome == "ok" else "unknown"}
    return see(t, "answer", request_id=request_id, outcome=outcome, **(values | fields))


def assign(t, host, pool, state="assigned", view="table"):
    return see(t, "assign", host=host, pool=pool, state=state, view=view)


def commit(t, base, version, text="d"):
    return see(t, "commit", operator="op", base=base, version=version, digest=text)


def manifest(t, where, version, text="d"):
    return see(t, "manifest", where=where, version=version, digest=text)


# One request from arrival to answer, which every request check accepts.
GOOD = [arrival(0, "a"), send(0.1, "a"), run(0.1, "a", 1.1), answer(1.1, "a")]
TWO_DESKS = [arrival(0, "a", run_s=2.0), arrival(0, "b", organisation="desk-b")]
WINDOW = {"service": "wire", "slots": 1, "start_s": 0.0, "end_s": 1.0}
BASELINE = [arrival(0, "a"), run(1.0, "a", 2), see(2, "move", host="w-1")] + [
    see(3, "move", host="w-2")
]

# For each check: parameters, observations that pass, and observations with one
# planted violation together with the place of the observation to be reported
# (None where the fault is an absence or a total).
CASES = {
    "answered_once": ({}, GOOD, [*GOOD, answer(2, "a")], 4),
    "not_run_is_true": (
        {},
        GOOD,
        [*GOOD[:3], answer(0.5, "a", "refused", run_state="not-run")],
        2,
    ),
    "at_most_once": (
        {},
        [arrival(0, "a", idempotent=False, key="k"), run(1, "a", 2)],
        [
            arrival(0, "a", idempotent=False, key="k"),
            arrival(0, "b", idempotent=False, key="k"),
            run(1, "a", 2),
            run(3, "b", 4),
        ],
        3,
    ),
    "wait_percentile": (
        {"percentile": 99, "max_s": 0.5, "each_organisation": True},
        GOOD,
        [*GOOD, arrival(2, "b", organisation="desk-b"), run(3, "b", 4)],
        5,
    ),
    "wait_versus": (
        {"policy": "fifo", "percentile": 99, "max_ratio": 0.2},
        GOOD,
        [arrival(0, "a"), send(0.1, "a"), run(0.3, "a", 1)],
        2,
    ),
    "refusals": (
        {"max_share": 0.0, "reason": "queue_full"},
        [*GOOD, answer(2, "b", "refused", reason="other")],
        [*GOOD, arrival(1.5, "b"), answer(2, "b", "refused", reason="queue_full")],
        5,
    ),
    "refused_while": (
        {"reason": "claims_unavailable", "start_s": 1, "end_s": 2},
        [answer(1, "a", "refused", reason="claims_unavailable")],
        [
            answer(1, "a", "refused", reason="claims_unavailable"),
            answer(3, "b", "refused", reason="claims_unavailable"),
        ],
        1,
    ),
    "deadlines": (
        {"min_share": 1.0},
        GOOD,
        [arrival(0, "a"), answer(5.5, "a")],
        1,
    ),
    "cancelled_dropped": (
        {},
        [arrival(0, "a"), send(1, "a"), see(2, "cancel", request_id="a")],
        [arrival(0, "a"), see(2, "cancel", request_id="a"), send(2.1, "a")],
        2,
    ),
    "leaving_respected": (
        {"limit_s": 3.0},
        [see(0, "leaving", host="w-1"), send(3, "a"), see(4, "back", host="w-1")]
        + [send(9, "a")],
        [see(0, "leaving", host="w-1"), see(1, "leaving", host="w-1"), send(3.5, "a")],
        2,
    ),
    "single_pool": (
        {},
        [assign(0, "h", "a"), assign(1, "h", "a", "draining"), assign(2, "h", "b")]
        + [run(3, "x", 4, "h", "b")],
        [assign(0, "h", "a"), run(0.5, "x", 3, "h", "a")]
        + [assign(1, "h", "a", "draining"), assign(2, "h", "b")],
        3,
    ),
    "budgets": (
        {"max_missed": 0},
        [see(0, "budget", service="wire", serving=6, required=6)],
        [
            see(0, "budget", service="wire", serving=6, required=6),
            see(60, "budget", service="wire", serving=5, required=6),
        ],
        1,
    ),
    "moves": (
        {"max_moves": 1},
        [see(0, "move", host="w-1")],
        [see(0, "move", host="w-1"), see(1, "move", host="w-2")],
        1,
    ),
    "moves_versus": (
        {"policy": "fifo", "max_ratio": 0.5},
        [see(0, "move", host="w-1")],
        [see(0, "move", host="w-1"), see(1, "move", host="w-2")],
        1,
    ),
    "fair_share": (
        {**WINDOW, "min_share": 0.95},
        [*TWO_DESKS, run(0, "a", 0.5), run(0.5, "b", 1.5, "w-2")],
        [*TWO_DESKS, run(0, "a", 0.6), run(0.6, "b", 1.6)],
        1,
    ),
    "slot_use": (
        {**WINDOW, "min_share": 0.95},
        [arrival(0, "a"), run(0, "a", 1)],
        [arrival(0, "a"), run(0.1, "a", 1.1)],
        None,
    ),
    "slots_respected": (
        {"slots": 1},
        [run(0, "a", 1), run(1, "b", 2)],
        [run(0, "a", 1), run(0.9, "b", 2)],
        1,
    ),
    "goodput": (
        {**WINDOW, "min_share": 0.95},
        [arrival(0, "a"), run(0, "a", 1), answer(1, "a")],
        [arrival(0, "a"), run(0, "a", 1), answer(6, "a")],
        None,
    ),
    "retry_amplification": (
        {"max_ratio": 1.2},
        GOOD,
        [arrival(0, "a"), send(1, "a"), send(2, "a")],
        2,
    ),
    "ejected_share": (
        {"max_share": 1 / 3},
        [see(0, "eject", service="wire", ejected=2, endpoints=8)],
        [see(0, "eject", service="wire", ejected=3, endpoints=8)],
        0,
    ),
    "graceful_stops": (
        {},
        [see(0, "stop", host="w-1", in_flight=0)],
        [see(0, "stop", host="w-1", in_flight=0)]
        + [see(1, "stop", host="w-2", in_flight=1)],
        1,
    ),
    "wave_finished": (
        {"name": "kernel", "end_s": 10},
        [see(9, "wave", name="kernel", done=8, total=8)],
        [see(9, "wave", name="kernel", done=7, total=8)],
        0,
    ),
    "urgent_start": (
        {"percentile": 99, "max_s": 4.7},
        [see(0, "urgent", job="j", wait_s=4.7)],
        [see(0, "urgent", job="j", wait_s=4.7), see(1, "urgent", job="k", wait_s=5)],
        1,
    ),
    "jobs_succeed": (
        {"prefix": "deadline"},
        [see(0, "job_start", job="archive-1"), see(0, "job_start", job="deadline-1")]
        + [see(5, "job_end", job="deadline-1", outcome="succeeded")],
        [see(0, "job_start", job="archive-1"), see(0, "job_start", job="deadline-1")]
        + [see(5, "job_end", job="deadline-1", outcome="failed")],
        1,
    ),
    "commits_kept": (
        {},
        [commit(0, 1, 2), manifest(1, "entry-1", 2)],
        [commit(0, 1, 2), manifest(1, "entry-1", 2), manifest(2, "entry-1", 1)],
        2,
    ),
    "one_commit_per_base": (
        {},
        [commit(0, 1, 2), commit(0, 1, None)],
        [commit(0, 1, 2), commit(0, 1, 3)],
        1,
    ),
    "in_force": (
        {"limit_s": 2.0},
        [commit(0, 1, 2), manifest(2, "entry-1", 2)],
        [commit(0, 1, 2), manifest(2.1, "entry-1", 2)],
        0,
    ),
    "single_planner": (
        {},
        [see(0, "planner_write", holder="a", epoch=1)]
        + [see(1, "planner_write", holder="b", epoch=2)],
        [see(0, "planner_write", holder="b", epoch=2)]
        + [see(1, "planner_write", holder="a", epoch=1)],
        1,
    ),
}


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


class PlantedViolationTests(unittest.TestCase):
    """Guards against checks that cannot fail, and so prove nothing."""

    def test_every_check_has_a_case(self):
        self.assertEqual({*CASES, "buffer_versus", "figure"}, set(checks.names()))

    def test_empty_report_fails(self):
        """Guards against a check that passes because nothing was replayed."""
        for name, (parameters, *_) in CASES.items():
            with self.subTest(check=name):
                self.assertFalse(run_one(name, parameters, make_report([])).passed)

    def test_buffer_versus(self):
        parameters = {"policy": "fifo", "max_ratio": 0.4}
        for hours, passed in ((40.0, True), (40.1, False)):
            report = make_report([], buffer_host_hours=hours)
            result = run_one("buffer_versus", parameters, report)
            self.assertEqual(result.passed, passed)

    def test_figure(self):
        parameters = {"name": "double_runs", "max_value": 0}
        for figures, passed in (
            ({"double_runs": 0}, True),
            ({"double_runs": 1}, False),
            ({}, False),
        ):
            result = run_one("figure", parameters, make_report([], **figures))
            self.assertEqual(result.passed, passed)

    def test_deadlines_of_idempotent_requests(self):
        """Guards against a filter that leaves out what it should check."""
        for idempotent, passed in ((False, True), (True, False)):
            late = [arrival(2, "b", idempotent=idempotent), answer(9, "b")]
            parameters = {"min_share": 1.0, "idempotent_only": True}
            result = run_one("deadlines", parameters, make_report([*GOOD, *late]))
            self.assertEqual(result.passed, passed)

    def test_unanswered_request(self):
        result = run_one("answered_once", {}, make_report([*GOOD, arrival(2, "b")]))
        self.assertIn("no answer", result.violation.message)

    def test_two_views_of_one_host(self):
        observations = [assign(0, "h", "a", view="dc-1"), assign(1, "h", "b")]
        self.assertFalse(run_one("single_pool", {}, make_report(observations)).passed)

    def test_lost_and_replaced_commits(self):
        for observations in (
            [commit(0, 1, 2), manifest(1, "entry-1", 1)],
            [commit(0, 1, 2), manifest(1, "entry-1", 2, "other")],
            [commit(0, 1, 2), commit(1, 1, 2)],
        ):
            result = run_one("commits_kept", {}, make_report(observations))
            self.assertFalse(result.passed)

    def test_base_without_an_accepted_commit(self):
        observations = [commit(0, 1, None), commit(0, 1, None)]
        result = run_one("one_commit_per_base", {}, make_report(observations))
        self.assertFalse(result.passed)

    def test_two_holders_of_one_epoch(self):
        observations = [
            see(0, "planner_write", holder=holder, epoch=1) for holder in "ab"
        ]
        result = run_one("single_planner", {}, make_report(observations))
        self.assertFalse(result.passed)

    def test_overfull_slots(self):
        observations = [arrival(0, "a"), run(0, "a", 1), run(0, "a", 1)]
        parameters = {**WINDOW, "min_share": 0.95}
        result = run_one("slot_use", parameters, make_report(observations))
        self.assertFalse(result.passed)


def add_case(name):
    def test_passes_and_fails(self):
        parameters, good, bad, place = CASES[name]
        result = run_one(name, parameters, make_report(good))
        self.assertTrue(result.passed, result)
        report = make_report(bad)
        result = run_one(name, parameters, report)
        self.assertFalse(result.passed)
        self.assertEqual(result.violation.index, place)
        if place is not None:
            self.assertIn(report.observations[place], result.context)

    setattr(PlantedViolationTests, f"test_{name}", test_passes_and_fails)


for case in CASES:
    add_case(case)


class ContextTests(unittest.TestCase):
    def test_context_keeps_to_the_same_request(self):
        """Guards against a report whose context is other callers' events."""
        others = [arrival(1.5, f"x{number}") for number in range(20)]
        result = run_one(
            "answered_once", {}, make_report([*GOOD, *others, answer(2, "a")])
        )
        self.assertEqual(
            [seen.kind for seen in result.context],
            ["arrival", "send", "run", "answer", "answer"],
        )


class ParseTests(unittest.TestCase):
    def test_refuses_wrong_files(self):
        """Guards against a check that is misspelt and so never runs."""
        entry = {"check": "budgets"}
        good = {"trace": "t", "drivers": ["fleet"], "checks": [entry]}
        for changes, text in (
            ({"checks": []}, "1 to"),
            ({"checks": [{"check": "mood"}]}, "unknown check"),
            ({"checks": [{**entry, "maximum": 1}]}, "no parameter"),
            ({"checks": [{**entry, "max_missed": "0"}]}, "type int"),
            ({"checks": [{**entry, "max_missed": True}]}, "type int"),
            ({"checks": [{"check": "moves"}]}, "max_moves"),
            ({"drivers": "fleet"}, "drivers"),
            ({"extra": 1}, "exactly"),
        ):
            with self.subTest(changes=changes):
                with self.assertRaises(TraceError) as caught:
                    parse_outcomes(good | changes)
                self.assertIn(text, str(caught.exception))

    def test_names_the_file(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "x.outcomes.json")
            for text in ("[]", "{", '{"trace": 1}'):
                path.write_text(text)
                with self.assertRaises(TraceError) as caught:
                    read_outcomes(path)
                self.assertIn("x.outcomes.json", str(caught.exception))


class FairSharesTests(unittest.TestCase):
    def test_rest_of_a_small_demand_goes_to_the_others(self):
        shares = fair_shares(12.0, {"a": 1.0, "b": 50.0, "c": 6.0})
        self.assertEqual(shares, {"a": 1.0, "b": 5.5, "c": 5.5})

    def test_weights_scale_the_shares(self):
        shares = fair_shares(9.0, {"a": 50.0, "b": 50.0}, {"a": 2.0})
        self.assertEqual(shares, {"a": 6.0, "b": 3.0})
