import unittest
from types import SimpleNamespace

from magnoliapier.service.clock import SLOWEST_CLOCK_RATE
from magnoliapier.service.endpoint_lease import (
    CALL_LIMIT_S,
    LAPSE_MARGIN_S,
    LATE_CALL_LIMIT_S,
    EndpointLease,
)
from magnoliapier.service.incarnation import EndpointIncarnation, LeaseTerms

TERMS = LeaseTerms(extend_ms=5500, longest_ms=10_000)
BEGAN_AT = 100.0
LONGEST_S = 10.0 / SLOWEST_CLOCK_RATE
EXTEND_S = 5.5 / SLOWEST_CLOCK_RATE


class EndpointLeaseTests(unittest.TestCase):
    def setUp(self):
        self.lease = EndpointLease(TERMS, BEGAN_AT)
        self.incarnation = EndpointIncarnation()

    def list_runs(self, clock_ms, now):
        self.incarnation.clock.observe(clock_ms, now, now)

    def assert_lapses_at(self, seconds, opened, listed=True):
        for later, expected in ((-0.05, False), (0.05, True)):
            now = seconds + LAPSE_MARGIN_S + later
            lapsed = self.lease.lapsed(self.incarnation, opened, listed, now)
            self.assertEqual(lapsed, expected)
        self.assertAlmostEqual(
            self.lease.end(self.incarnation, opened, listed, ()), seconds, delta=0.01
        )

    def test_unopened_endpoint_may_have_the_longest_lease(self):
        """Guards against a second run beside one of a former holder (TWICE)."""
        late_end = BEGAN_AT + LATE_CALL_LIMIT_S + LONGEST_S
        self.assert_lapses_at(late_end, opened=False)

    def test_unopened_endpoint_that_has_ended_carries_nothing_out_late(self):
        """Guards against tasks of endpoints that left, which wait too long (LOST)."""
        end = BEGAN_AT + CALL_LIMIT_S + LONGEST_S
        self.assert_lapses_at(end, opened=False, listed=False)

    def test_recorded_end_is_used_until_the_endpoint_is_opened(self):
        """Guards against a wait for the longest lease in each holder (LOST)."""
        self.lease.expect_end(BEGAN_AT + 2.0)
        self.assert_lapses_at(BEGAN_AT + 2.0, opened=False)

    def test_recorded_end_never_lengthens_the_wait(self):
        """Guards against a row that keeps tasks from starting for good."""
        self.lease.expect_end(BEGAN_AT + 9999.0)
        late_end = BEGAN_AT + LATE_CALL_LIMIT_S + LONGEST_S
        self.assert_lapses_at(late_end, opened=False)

    def test_extended_lease_ends_on_the_slowest_clock(self):
        """Guards against a lease that is taken for lapsed too early."""
        self.list_runs(1000, BEGAN_AT + 20.0)
        self.lease.extend(self.incarnation, BEGAN_AT + 20.0)
        self.assert_lapses_at(BEGAN_AT + 20.0 + EXTEND_S, opened=True)

    def test_run_that_nobody_has_listed_may_have_the_longest_lease(self):
        """Guards against a second run beside one on an unknown incarnation (TWICE)."""
        self.list_runs(1000, BEGAN_AT + 20.0)
        self.lease.extend(self.incarnation, BEGAN_AT + 20.0)
        live = SimpleNamespace(incarnation=None, sent_at=BEGAN_AT + 20.0)
        self.assert_may_run_until(live, LATE_CALL_LIMIT_S + LONGEST_S, listed=True)
        self.assert_may_run_until(live, CALL_LIMIT_S + LONGEST_S, listed=False)

    def test_run_on_an_incarnation_that_is_not_fenced_may_have_the_longest_lease(self):
        """Guards against late calls that extend the lease of a listed one (TWICE)."""
        self.list_runs(1000, BEGAN_AT + 20.0)
        self.lease.extend(self.incarnation, BEGAN_AT + 20.0)
        live = SimpleNamespace(incarnation=self.incarnation, sent_at=BEGAN_AT + 20.0)
        self.assert_may_run_until(live, LATE_CALL_LIMIT_S + LONGEST_S, listed=True)
        self.incarnation.fenced = True
        self.assertFalse(
            self.lease.may_run_on_unknown(live, self.incarnation, True, BEGAN_AT)
        )

    def assert_may_run_until(self, live, seconds, listed):
        """Assert how long after the last extension a run may last."""
        end = self.lease.end(self.incarnation, True, listed, [live])
        self.assertAlmostEqual(end, BEGAN_AT + 20.0 + seconds)
        for later, expected in ((-0.05, True), (0.05, False)):
            now = end + LAPSE_MARGIN_S + later
            may_run = self.lease.may_run_on_unknown(live, self.incarnation, listed, now)
            self.assertEqual(may_run, expected)
