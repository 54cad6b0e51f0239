from tests.outcomes.samples import (
    ANSWERED_REQUEST,
    PlantedViolationTestCase,
    arrival,
    run,
    send,
)

CASES = {
    "wait_percentile": (
        {"percentile": 99, "max_s": 0.5, "each_organisation": True},
        ANSWERED_REQUEST,
        [*ANSWERED_REQUEST, arrival(2, "b", organisation="desk-b"), run(3, "b", 4)],
        5,
    ),
    "wait_versus": (
        {"policy": "fifo", "percentile": 99, "max_ratio": 0.2},
        ANSWERED_REQUEST,
        [arrival(0, "a"), send(0.1, "a"), run(0.3, "a", 1)],
        2,
    ),
}


class WaitCheckTests(PlantedViolationTestCase):
    cases = CASES
