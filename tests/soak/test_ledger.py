import time
import unittest
from unittest import mock

from tests.soak.ledger import LEASE_MS, UNCALLED_START, Ledger, SubmissionRecord

ID = "00000000000000aa"
FIRST, SECOND, LAST = f"{ID}.0.0.0", f"{ID}.0.0.1", f"{ID}.0.1.0"
STEPS = [{"count": 2, "max_per_server": 1}, {"count": 1, "after": [0]}]


class LedgerTests(unittest.TestCase):
    """Each broken invariant must be reported, or the soak proves nothing."""

    def setUp(self):
        self.ledger = Ledger()
        self.submission = SubmissionRecord(ID, STEPS, max_attempts=2, accepted=True)
        self.ledger.record_submission(self.submission)

    def invariants(self):
        return [violation.invariant for violation in self.ledger.violations]

    def run_once(self, name, endpoint="e1", reason="done"):
        self.ledger.record_start(endpoint, name, 1)
        self.ledger.record_end(endpoint, name, 1, reason)

    def test_correct_run_reports_nothing(self):
        self.run_once(FIRST)
        self.run_once(SECOND)
        self.run_once(LAST)
        self.ledger.record_state(self.submission, "completed")
        self.ledger.check_settled()
        self.assertEqual(self.invariants(), [])

    def test_two_concurrent_runs_of_a_task(self):
        self.ledger.record_start("e1", FIRST, 1)
        self.ledger.record_start("e2", FIRST, 2)
        self.assertEqual(self.invariants(), ["one run at a time"])

    def kinds(self):
        return [violation.kind for violation in self.ledger.violations]

    def test_late_start_before_any_call_is_known(self):
        """Guards against a soak that reports a listed failure as another one."""
        self.ledger.record_start("e1", FIRST, 2)
        self.ledger.record_start("e2", FIRST, 1, uncalled=True)
        self.assertEqual(self.kinds(), [UNCALLED_START])
        self.ledger.record_end("e1", FIRST, 2, "done")
        ended_at = time.monotonic()
        self.ledger.record_end("e2", FIRST, 1, "stopped")
        self.ledger.record_start("e2", FIRST, 1, uncalled=True)
        self.ledger.record_acknowledgement(FIRST, "done", ended_at)
        self.ledger.record_start("e3", FIRST, 1, uncalled=True)
        self.assertEqual(set(self.kinds()), {UNCALLED_START})

    def test_only_such_starts_are_known(self):
        """Guards against a listed failure that hides others."""
        self.ledger.record_start("e2", FIRST, 1, uncalled=True)
        self.ledger.record_first_call("e2")
        self.ledger.record_start("e1", FIRST, 2)
        self.assertEqual(self.kinds(), [""])
        self.ledger.record_start("e3", FIRST, 3, uncalled=True)
        self.ledger.record_start("e4", FIRST, 4)
        self.assertEqual(self.kinds(), ["", "", ""])

    def test_repeat_of_a_task_whose_end_was_acknowledged(self):
        self.run_once(FIRST)
        self.ledger.record_acknowledgement(FIRST, "done", 0.0)
        self.ledger.record_start("e2", FIRST, 2)
        self.assertIn("a done task is not repeated", self.invariants())

    def test_run_beside_one_that_a_restarted_endpoint_began_again(self):
        """Guards against a crash that hides the runs of the next incarnation."""
        self.ledger.record_start("e1", FIRST, 1)
        self.ledger.record_crash("e1")
        self.ledger.record_start("e1", FIRST, 1)
        self.assertEqual(self.invariants(), [])
        self.ledger.record_start("e2", FIRST, 2)
        self.assertEqual(self.invariants(), ["one run at a time"])

    def test_end_that_is_acknowledged_after_the_repeat_began(self):
        """Guards against a soak that misses a number that reaches an end later."""
        self.run_once(FIRST)
        self.ledger.record_start("e1", FIRST, 2)
        self.assertEqual(self.invariants(), [])
        self.ledger.record_acknowledgement(FIRST, "done", 0.0)
        self.assertEqual(self.invariants(), ["a done task is not repeated"])

    def test_acknowledgement_outlasts_the_crash_of_the_endpoint(self):
        """Guards against a crash that hides what was taken note of before."""
        self.run_once(FIRST)
        self.ledger.record_acknowledgement(FIRST, "done", time.monotonic())
        self.ledger.record_crash("e1")
        self.ledger.record_start("e1", FIRST, 1)
        self.assertEqual(self.invariants(), ["a done task is not repeated"])

    def test_step_out_of_order(self):
        self.run_once(FIRST)
        self.ledger.record_start("e1", LAST, 1)
        self.assertEqual(self.invariants(), ["steps run in order"])

    def test_too_many_tasks_on_an_endpoint_and_too_many_attempts(self):
        self.ledger.record_start("e1", FIRST, 1)
        self.ledger.record_start("e1", SECOND, 1)
        self.assertEqual(self.invariants(), ["a step is spread over endpoints"])
        self.ledger.record_end("e1", SECOND, 1, "failed")
        self.run_once(SECOND, "e2", "failed")
        self.ledger.record_start("e3", SECOND, 3)
        self.assertEqual(self.invariants()[-1], "attempts are bounded")

    def test_refused_submission_that_runs(self):
        self.submission.accepted = False
        self.ledger.record_start("e1", FIRST, 1)
        self.assertEqual(self.invariants(), ["a refused submission never runs"])

    def test_states_without_a_cause_and_change_of_a_final_state(self):
        for state in ("completed", "failed", "cancelled"):
            self.submission.shown_state = ""
            self.ledger.record_state(self.submission, state)
        self.assertEqual(len(self.invariants()), 3)
        self.ledger.record_state(self.submission, "running")
        self.assertEqual(self.invariants()[-1], "a final state does not change")

    def test_unfinished_work_and_cancelled_work_that_still_runs(self):
        self.ledger.record_start("e1", FIRST, 1)
        self.ledger.check_settled()
        self.submission.cancelled_at = 1.0
        self.ledger.check_settled()
        self.assertEqual(
            self.invariants(), ["accepted work is finished", "cancelled work has ended"]
        )

    def order(self, holder, token, at_ms):
        with mock.patch("time.monotonic", return_value=100 + at_ms / 1000):
            self.ledger.record_order("host-1", holder, token)

    def test_takeover_of_a_host_after_the_lease(self):
        """Guards against false reports of orders a lease apart or for other hosts."""
        self.order("a", 1, 0)
        self.order("a", 2, 1)
        self.order("b", 3, LEASE_MS + 1)
        self.ledger.record_order("host-2", "a", 1)
        self.assertEqual(self.invariants(), [])

    def test_order_that_arrives_after_a_successors(self):
        """Guards against a soak that misses delayed orders of a previous holder."""
        self.order("a", 1, 0)
        self.order("b", 2, LEASE_MS)
        self.order("a", 1, 2 * LEASE_MS)
        self.assertEqual(
            self.invariants(), ["fencing tokens of a host's orders never decrease"]
        )

    def test_two_holders_of_one_token(self):
        """Guards against a soak that misses two holders of a token a lease apart."""
        self.order("a", 1, 0)
        self.order("b", 1, LEASE_MS)
        self.assertEqual(self.invariants(), ["a fencing token has one holder"])

    def test_orders_of_two_holders_within_a_lease(self):
        """Guards against a soak that misses a takeover before the lease has ended."""
        self.order("a", 1, 0)
        self.order("b", 2, LEASE_MS - 1)
        self.assertEqual(self.invariants(), ["orders of two holders are a lease apart"])
