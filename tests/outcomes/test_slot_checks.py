from tests.outcomes.samples import (
    WINDOW,
    PlantedViolationTestCase,
    answer,
    arrival,
    make_report,
    run,
    run_one,
)

TWO_DESKS = [arrival(0, "a", run_s=2.0), arrival(0, "b", organisation="desk-b")]

CASES = {
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
}


class SlotCheckTests(PlantedViolationTestCase):
    cases = CASES

    def test_more_requests_than_slots(self):
        """Guards against a share above 1 that passes as full use."""
        observations = [arrival(0, "a"), run(0, "a", 1), run(0, "a", 1)]
        parameters = {**WINDOW, "min_share": 0.95}
        result = run_one("slot_use", parameters, make_report(observations))
        self.assertFalse(result.passed)
