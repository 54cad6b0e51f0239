import unittest
from unittest import mock

from tests.soak.ledger import LEASE_MS, Ledger, Submitted

ID = "00000000000000aa"
FIRST, SECOND, LAST = f"{ID}.0.0.0", f"{ID}.0.0.1", f"{ID}.0.1.0"
STEPS = [{"count": 2, "max_per_server": 1}, {"count": 1, "after": [0]}]


class LedgerTests(unittest.TestCase):
    """Each invariant that is broken must be seen, or the soak proves nothing."""

    def setUp(self):
        self.ledger = Ledger()
        self.submission = Submitted(ID, STEPS, max_attempts=2, accepted=True)
        self.ledger.submitted(self.submission)

    def invariants(self):
        return [violation.invariant for violation in self.ledger.violations]

    def run_once(self, name, endpoint="e1", reason="done"):
        self.ledger.started(endpoint, name, 1)
        self.ledger.ended(endpoint, name, 1, reason)

    def test_nothing_is_reported_of_a_sound_run(self):
        self.run_once(FIRST)
        self.run_once(SECOND)
        self.run_once(LAST)
        self.ledger.shown(self.submission, "completed")
        self.ledger.check_settled()
        self.assertEqual(self.invariants(), [])

    def test_two_runs_at_a_time(self):
        self.ledger.started("e1", FIRST, 1)
        self.ledger.started("e2", FIRST, 2)
        self.assertEqual(self.invariants(), ["one run at a time"])

    def test_repeat_of_an_acknowledged_end(self):
        self.run_once(FIRST)
        self.ledger.acknowledged(FIRST, "done", 0.0)
        self.ledger.started("e2", FIRST, 2)
        self.assertIn("a done task is not repeated", self.invariants())

    def test_step_out_of_order(self):
        self.run_once(FIRST)
        self.ledger.started("e1", LAST, 1)
        self.assertEqual(self.invariants(), ["steps run in order"])

    def test_spread_and_attempts(self):
        self.ledger.started("e1", FIRST, 1)
        self.ledger.started("e1", SECOND, 1)
        self.assertEqual(self.invariants(), ["spread over endpoints"])
        self.ledger.ended("e1", SECOND, 1, "failed")
        self.run_once(SECOND, "e2", "failed")
        self.ledger.started("e3", SECOND, 3)
        self.assertEqual(self.invariants()[-1], "attempts are bounded")

    def test_refused_submission_that_runs(self):
        self.submission.accepted = False
        self.ledger.started("e1", FIRST, 1)
        self.assertEqual(self.invariants(), ["a refused submission never runs"])

    def test_states_without_cause(self):
        for state in ("completed", "failed", "cancelled"):
            self.submission.shown = ""
            self.ledger.shown(self.submission, state)
        self.assertEqual(len(self.invariants()), 3)
        self.ledger.shown(self.submission, "running")
        self.assertEqual(self.invariants()[-1], "a final state stays")

    def test_work_that_is_lost_or_goes_on(self):
        self.ledger.started("e1", FIRST, 1)
        self.ledger.check_settled()
        self.submission.cancelled_at = 1.0
        self.ledger.check_settled()
        self.assertEqual(
            self.invariants(), ["accepted work is finished", "cancelled work has ended"]
        )

    def order(self, holder, token, at_ms):
        with mock.patch("time.monotonic", return_value=100 + at_ms / 1000):
            self.ledger.ordered("host-1", holder, token)

    def test_holders_of_a_host_that_succeed_each_other(self):
        """Guards against reports of a takeover after the lease, or of other hosts."""
        self.order("a", 1, 0)
        self.order("a", 2, 1)
        self.order("b", 3, LEASE_MS + 1)
        self.ledger.ordered("host-2", "a", 1)
        self.assertEqual(self.invariants(), [])

    def test_order_that_arrives_after_a_successors(self):
        """Guards against a soak that passes over held orders of a former holder."""
        self.order("a", 1, 0)
        self.order("b", 2, LEASE_MS)
        self.order("a", 1, 2 * LEASE_MS)
        self.assertEqual(self.invariants(), ["one holder orders a host"])

    def test_two_holders_of_one_token(self):
        """Guards against a token that two holders use, however far apart."""
        self.order("a", 1, 0)
        self.order("b", 1, LEASE_MS)
        self.assertEqual(self.invariants(), ["a token has one holder"])

    def test_holders_that_take_turns_within_a_lease(self):
        """Guards against a takeover sooner than the platform's bound."""
        self.order("a", 1, 0)
        self.order("b", 2, LEASE_MS - 1)
        self.assertEqual(self.invariants(), ["holders take no turns within a lease"])
