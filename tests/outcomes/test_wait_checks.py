from tests.outcomes.samples import (
    GOOD,
    PlantedViolationTestCase,
    arrival,
    run,
    send,
)

CASES = {
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
}


class WaitCheckTests(PlantedViolationTestCase):
    cases = CASES
