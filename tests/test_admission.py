import random
import unittest

from magnoliapier.admission import (
    check_arrival,
    choose_request_to_drop,
    lacks_time_to_run,
)
from magnoliapier.estimates import PROVEN_RUNS, RunTimeEstimates
from magnoliapier.manifest import Service
from magnoliapier.reasons import RefusalReason
from magnoliapier.request_tables import RequestEntry, WorkClass
from magnoliapier.scheduling import ServiceQueue


class AdmissionTest(unittest.TestCase):
    """Refusals under overload, and which organisation gets them."""

    def setUp(self):
        self.queue = ServiceQueue(RunTimeEstimates(Service(pool="wire")))
        self.queue.set_organisations({"a": 1.0, "b": 1.0})
        self.queue.slots = 4
        self.number = 0
        for organisation in "ab":
            estimate = self.queue.estimates.find(self.request(organisation))
            for _ in range(PROVEN_RUNS):
                estimate.add_class_sample(False)
                estimate.add_run(1.0)

    def request(self, organisation, deadline=10.0):
        self.number += 1
        return RequestEntry(
            f"r{self.number}",
            "wire",
            organisation,
            "short/x",
            WorkClass.SHORT,
            True,
            0.0,
            deadline,
        )

    def check(self, request):
        return check_arrival(self.queue, request, False, 0.0, random.Random(1))

    def test_expected_wait_depends_on_own_backlog_and_share(self):
        """One organisation's backlog must not cause refusals for another."""
        admitted = 0
        while (refusal := self.check(self.request("a"))) is None:
            self.queue.add(self.request("a"), 0.0)
            admitted += 1
        # Four slots run at most 40 requests of 1 s each within the deadline of 10 s.
        self.assertLess(admitted, 40)
        self.assertEqual(refusal.reason, RefusalReason.DEADLINE_UNREACHABLE)
        self.assertGreaterEqual(refusal.retry_after_s, 1)
        self.assertIsNone(self.check(self.request("b")))
        self.assertIsNone(self.check(self.request("a", deadline=200.0)))

    def test_requests_without_time_to_run_start_only_when_slots_are_idle(self):
        """
        Requests that cannot end in time must not take slots from others.

        Idle slots still run them; otherwise a wrong estimate would never be corrected.
        """
        request = self.request("a", deadline=0.4)
        self.assertTrue(lacks_time_to_run(self.queue, request, True, 0.0))
        self.assertFalse(lacks_time_to_run(self.queue, request, False, 0.0))
        self.assertFalse(lacks_time_to_run(self.queue, self.request("a"), True, 0.0))

    def test_full_queue_drops_the_newest_of_the_largest_organisation(self):
        """A full queue must not drop the request that has waited longest."""
        queues = {"wire": self.queue}
        for _ in range(5):
            self.queue.add(self.request("a"), 0.0)
        small = self.request("b")
        self.assertEqual(
            choose_request_to_drop(queues, small).request_id, f"r{self.number - 1}"
        )
        large = self.request("a")
        self.assertIs(choose_request_to_drop(queues, large), large)


if __name__ == "__main__":
    unittest.main()
