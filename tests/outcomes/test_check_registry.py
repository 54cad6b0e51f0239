import unittest

from magnoliapier.outcomes.check_registry import checks
from tests.outcomes import (
    test_fleet_checks,
    test_request_checks,
    test_slot_checks,
    test_store_checks,
    test_wait_checks,
)
from tests.outcomes.samples import make_report, run_one

CASES = {
    **test_fleet_checks.CASES,
    **test_request_checks.CASES,
    **test_slot_checks.CASES,
    **test_store_checks.CASES,
    **test_wait_checks.CASES,
}


class RegisteredCheckTests(unittest.TestCase):
    """Guards against checks that never fail and therefore detect nothing."""

    def test_every_check_has_a_case(self):
        self.assertEqual({*CASES, "buffer_versus", "figure"}, set(checks.names()))

    def test_empty_report_fails(self):
        """Guards against a check that passes because nothing was replayed."""
        for name, (parameters, *_) in CASES.items():
            with self.subTest(check=name):
                self.assertFalse(run_one(name, parameters, make_report([])).passed)
