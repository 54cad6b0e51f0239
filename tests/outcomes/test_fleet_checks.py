from tests.outcomes.samples import (
    PlantedViolationTestCase,
    assign,
    make_report,
    observation,
    run,
    run_one,
)

CASES = {
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
        [observation(0, "budget", service="wire", serving=6, required=6)],
        [
            observation(0, "budget", service="wire", serving=6, required=6),
            observation(60, "budget", service="wire", serving=5, required=6),
        ],
        1,
    ),
    "moves": (
        {"max_moves": 1},
        [observation(0, "move", host="w-1")],
        [observation(0, "move", host="w-1"), observation(1, "move", host="w-2")],
        1,
    ),
    "moves_versus": (
        {"policy": "fifo", "max_ratio": 0.5},
        [observation(0, "move", host="w-1")],
        [observation(0, "move", host="w-1"), observation(1, "move", host="w-2")],
        1,
    ),
    "graceful_stops": (
        {},
        [observation(0, "stop", host="w-1", in_flight=0)],
        [observation(0, "stop", host="w-1", in_flight=0)]
        + [observation(1, "stop", host="w-2", in_flight=1)],
        1,
    ),
    "wave_finished": (
        {"name": "kernel", "end_s": 10},
        [observation(9, "wave", name="kernel", done=8, total=8)],
        [observation(9, "wave", name="kernel", done=7, total=8)],
        0,
    ),
    "urgent_start": (
        {"percentile": 99, "max_s": 4.7},
        [observation(0, "urgent", job="j", wait_s=4.7)],
        [
            observation(0, "urgent", job="j", wait_s=4.7),
            observation(1, "urgent", job="k", wait_s=5),
        ],
        1,
    ),
    "jobs_succeed": (
        {"prefix": "deadline"},
        [
            observation(0, "job_start", job="archive-1"),
            observation(0, "job_start", job="deadline-1"),
        ]
        + [observation(5, "job_end", job="deadline-1", outcome="succeeded")],
        [
            observation(0, "job_start", job="archive-1"),
            observation(0, "job_start", job="deadline-1"),
        ]
        + [observation(5, "job_end", job="deadline-1", outcome="failed")],
        1,
    ),
}


class FleetCheckTests(PlantedViolationTestCase):
    cases = CASES

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

    def test_two_views_of_one_host(self):
        """Guards against two views that assign one host to different pools."""
        observations = [assign(0, "h", "a", view="dc-1"), assign(1, "h", "b")]
        self.assertFalse(run_one("single_pool", {}, make_report(observations)).passed)
