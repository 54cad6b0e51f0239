import unittest

from magnoliapier.ejection import UNLIMITED, Ejections, HealthState, KindFailures
from magnoliapier.reasons import RunState
from magnoliapier.request_tables import RequestEntry, SendOutcome, SendResult, WorkClass

OK = SendResult(SendOutcome.OK, RunState.RAN)
FAILED = SendResult(SendOutcome.FAILED, RunState.RAN)


class EjectionsTest(unittest.TestCase):
    """Ejection of endpoints that fail their requests."""

    def setUp(self):
        self.ejections = Ejections()
        self.ejections.set_endpoints([f"e{n}" for n in range(6)])

    def fail(self, name, times=5, now=0.0, result=FAILED):
        for _ in range(times):
            self.ejections.observe(name, result, 1.0, now)
        return self.ejections.health(name)

    def test_failing_endpoint_is_ejected_probed_and_readmitted(self):
        """A failing endpoint must lose its work, and get it back once it recovers."""
        health = self.fail("e0")
        self.assertEqual((health.state, health.limit), (HealthState.EJECTED, 0))
        self.assertEqual(self.ejections.resume_endpoints(0.5), [])
        self.assertEqual(self.ejections.resume_endpoints(1.1), ["e0"])
        self.assertEqual((health.state, health.limit), (HealthState.PROBED, 1))
        self.fail("e0", 1, now=1.2)
        self.assertEqual(self.ejections.resume_endpoints(2.3), [])
        self.assertEqual(self.ejections.resume_endpoints(3.3), ["e0"])
        limits = []
        for _ in range(3):
            self.ejections.observe("e0", OK, 0.0, 3.4)
            limits.append(health.limit)
        self.assertEqual(limits, [2, 4, UNLIMITED])
        self.assertEqual(self.ejections.ejected, 0)

    def test_no_more_than_a_third_is_ejected(self):
        """Failures of all endpoints must not leave the service without endpoints."""
        for number in range(6):
            self.fail(f"e{number}")
        states = [self.ejections.health(f"e{n}").state for n in range(6)]
        self.assertEqual(states.count(HealthState.EJECTED), 2)
        self.assertEqual(self.ejections.health("e5").limit, 1)
        self.assertGreater(self.ejections.health("e5").until, 0.0)
        self.assertIn("e5", self.ejections.resume_endpoints(2.0))

    def test_old_connections_and_always_failing_requests_eject_no_endpoint(self):
        """
        Silence on a reused connection and requests that fail everywhere must not count.

        A reused connection can go silent while its endpoint is healthy.
        """
        silent = SendResult(SendOutcome.SILENT, RunState.UNKNOWN, fresh=False)
        self.assertEqual(self.fail("e0", result=silent).state, HealthState.HEALTHY)
        failures = KindFailures()
        failing = RequestEntry(
            "r", "wire", "desk-a", "short/x", WorkClass.SHORT, True, 0.0, 5.0
        )
        blames = [failures.add(failing, True) for _ in range(200)]
        self.assertEqual(blames[0], 1.0)
        self.assertLess(blames[-1], 0.01)


if __name__ == "__main__":
    unittest.main()
