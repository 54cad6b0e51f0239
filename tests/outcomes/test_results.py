import unittest

from tests.outcomes.samples import (
    ANSWERED_REQUEST,
    answer,
    arrival,
    make_report,
    run_one,
)


class ContextTests(unittest.TestCase):
    def test_context_shows_only_the_same_request(self):
        """Guards against a context that shows events of unrelated requests."""
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
