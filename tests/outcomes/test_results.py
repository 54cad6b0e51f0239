import unittest

from tests.outcomes.samples import (
    ANSWERED_REQUEST,
    answer,
    arrival,
    make_report,
    run_one,
)


class ContextTests(unittest.TestCase):
    def test_context_keeps_to_the_same_request(self):
        """Guards against a report whose context is other callers' events."""
        others = [arrival(1.5, f"x{number}") for number in range(20)]
        result = run_one(
            "answered_once",
            {},
            make_report([*ANSWERED_REQUEST, *others, answer(2, "a")]),
        )
        self.assertEqual(
            [observation.kind for observation in result.context],
            ["arrival", "send", "run", "answer", "answer"],
        )
