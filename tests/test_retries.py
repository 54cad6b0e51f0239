import unittest

from magnoliapier.reasons import RunState
from magnoliapier.request_tables import RequestEntry, SendOutcome, SendResult, WorkClass
from magnoliapier.retries import MAX_RUNNING_ATTEMPTS, RetryBudget, may_retry


def request(idempotent=True, **options):
    return RequestEntry(
        "r", "s", "o", "short/x", WorkClass.SHORT, idempotent, 0.0, 5.0, **options
    )


class RetriesTest(unittest.TestCase):
    """Retry rules and budgets, which prevent second runs and retry storms."""

    def test_retry_depends_on_run_state_deadline_and_attempts(self):
        """A non-idempotent request that may have run must not be sent again."""
        unknown = SendResult(SendOutcome.RESET, RunState.UNKNOWN)
        not_run = SendResult(SendOutcome.BUSY, RunState.NOT_RUN)
        self.assertTrue(may_retry(request(), unknown, 1, 1.0))
        self.assertFalse(may_retry(request(False), unknown, 1, 1.0))
        self.assertTrue(may_retry(request(False), not_run, 0, 1.0))
        self.assertFalse(may_retry(request(), unknown, MAX_RUNNING_ATTEMPTS, 1.0))
        self.assertFalse(may_retry(request(), not_run, 0, 5.0))
        self.assertFalse(may_retry(request(cancelled=True), not_run, 0, 1.0))
        gone = SendResult(SendOutcome.CALLER_GONE, RunState.UNKNOWN)
        self.assertFalse(may_retry(request(), gone, 1, 1.0))

    def test_budget_bounds_retries_per_organisation(self):
        """
        Retries must not exceed a tenth of requests or use another's budget.

        The limit of a tenth applies to retries of sends that may have run.
        """
        budget = RetryBudget()
        granted = 0
        for _ in range(1000):
            budget.deposit("s", "a")
            granted += budget.withdraw("s", "a", RunState.UNKNOWN)
        self.assertLessEqual(granted, 105)
        self.assertTrue(budget.withdraw("s", "b", RunState.UNKNOWN))
        budget.forget({"s"}, {"b"})
        self.assertEqual(list(budget._tokens), [("s", "b")])


if __name__ == "__main__":
    unittest.main()
