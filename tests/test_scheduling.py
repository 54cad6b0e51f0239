import unittest

from magnoliapier.estimates import PROVEN_RUNS, RunTimeEstimates
from magnoliapier.manifest import Service
from magnoliapier.request_tables import RequestEntry, WorkClass
from magnoliapier.scheduling import MAX_TRIALS, ServiceQueue

SECONDS = {"short": 0.1, "long": 20.0}


class ServiceQueueTest(unittest.TestCase):
    """The order in which requests start: fairness, priority of short work, reserve."""

    def setUp(self):
        self.queue = ServiceQueue(RunTimeEstimates(Service(pool="wire")))
        self.queue.set_organisations({"a": 1.0, "b": 1.0, "c": 2.0})
        self.queue.slots = self.queue.all_slots = 16
        self.number = 0
        for organisation in "abc":
            for name, seconds in SECONDS.items():
                self.prove(self.request(organisation, name), seconds)

    def request(self, organisation, kind, declared=None, deadline=1000.0):
        self.number += 1
        declared = WorkClass(declared or kind)
        return RequestEntry(
            f"r{self.number}", "wire", organisation, kind, declared, True, 0.0, deadline
        )

    def prove(self, request, seconds):
        estimate = self.queue.estimates.find(request)
        for _ in range(PROVEN_RUNS):
            estimate.add_class_sample(seconds > self.queue.estimates.threshold_s)
            estimate.add_run(seconds)

    def add(self, count, organisation, kind, **options):
        for _ in range(count):
            self.queue.add(self.request(organisation, kind, **options), 0.0)

    def start(self, now=0.0):
        request = self.queue.next_request()
        return self.queue.start(request, now) if request else None

    def serve(self, count, seconds=None):
        """Run requests one after another; return the slot-seconds by organisation."""
        used = dict.fromkeys("abc", 0.0)
        now = 0.0
        for _ in range(count):
            attempt = self.start(now)
            now += seconds or SECONDS[attempt.request.kind]
            self.queue.end(attempt, now, ran=True)
            used[attempt.organisation.name] += now - attempt.started
        return used

    def test_slot_time_is_shared_by_weight(self):
        """Organisations must share by slot-seconds and not by number of requests."""
        self.add(200, "a", "short")
        self.add(60, "b", "long")
        self.add(100, "c", "long")
        # With so many requests in flight, the organisation has no priority.
        self.queue.organisations["a"].short_in_flight = 99
        used = self.serve(290)
        self.assertAlmostEqual(used["c"] / used["b"], 2.0, delta=0.2)

    def test_short_goes_before_long_of_all(self):
        """Short work must not wait behind long work of any organisation."""
        self.add(20, "a", "long")
        self.add(5, "b", "long")
        self.add(2, "a", "short")
        kinds = [self.start().request.kind for _ in range(4)]
        self.assertEqual(kinds, ["short", "short", "long", "long"])

    def test_excess_short_work_loses_priority_beyond_its_share(self):
        """Too much short work must not starve the long work of others."""
        self.add(500, "a", "short")
        self.add(50, "b", "long")
        started = [self.start(now=0.0).organisation.name for _ in range(100)]
        self.assertIn("b", started[:60])

    def test_reserve_keeps_long_work_out(self):
        """Long work must not take the last slots, or short work would have to wait."""
        self.queue._last_short_at = 0.0
        self.queue.update_reserve(0.1)
        self.assertGreaterEqual(self.queue.reserve, 1)
        self.add(50, "a", "long")
        started = 0
        while self.start() is not None:
            started += 1
        self.assertEqual(started, 16 - self.queue.reserve)
        self.add(1, "b", "short")
        self.assertIsNotNone(self.start())

    def test_unproven_short_work_gets_trials_only(self):
        """Long work declared as short must not fill the reserve while unproven."""
        self.add(30, "a", "odd", declared="short")
        self.queue.reserve = 15
        attempts = []
        while (attempt := self.start()) is not None:
            attempts.append(attempt)
        self.assertLessEqual(len(attempts), MAX_TRIALS + 1)
        self.queue.check_overdue(10.0)
        self.assertEqual(self.queue.organisations["a"].overdue, MAX_TRIALS)
        self.assertGreater(self.queue.organisations["a"].use_tag, 10.0)
        for attempt in attempts:
            self.queue.end(attempt, 20.0, ran=True)
        self.assertEqual(self.queue.organisations["a"].overdue, 0)

    def test_kind_found_short_is_promoted(self):
        """Short work declared as long must not stay behind the long work."""
        self.add(5, "b", "long")
        self.add(PROVEN_RUNS + 5, "a", "quick", declared="long")
        self.queue.slots = 100
        for step in range(60):
            attempt = self.start(now=float(step))
            if attempt is not None:
                quick = attempt.request.kind == "quick"
                self.queue.end(attempt, step + (0.1 if quick else 20.0), ran=True)
        estimate = self.queue.estimates.find(self.request("a", "quick", "long"))
        self.assertEqual(estimate.work_class, WorkClass.SHORT)

    def test_kind_queued_as_long_before_its_first_sample_gets_trials(self):
        """
        Requests queued as long must not return to that queue endlessly.

        This happens if a kind becomes short while its requests still have the long
        class from when they were queued.
        """
        self.add(1, "a", "new", declared="short")
        attempt = self.start()
        estimate = self.queue.estimates.find(attempt.request)
        estimate.work_class = WorkClass.LONG
        self.add(5, "a", "new", declared="short")
        estimate.work_class = WorkClass.SHORT
        self.queue.end(attempt, 0.1, ran=True)
        self.assertEqual(len(self.queue.organisations["a"].short), MAX_TRIALS)

    def test_idle_organisation_accumulates_no_claim(self):
        """An organisation that was idle must not get all slots when it returns."""
        self.add(400, "a", "long")
        self.serve(100)
        self.add(100, "b", "long")
        used = self.serve(40)
        self.assertGreater(used["a"], 0.3 * used["b"])

    def test_removal_and_expiry_update_all_counts(self):
        """Cancelled or expired requests must not remain in the counts."""
        for kind, declared in (("short", None), ("long", None), ("new", "short")):
            self.add(20, "a", kind, declared=declared, deadline=5.0)
        for request in list(self.queue.organisations["a"].short.values())[:5]:
            self.assertTrue(self.queue.remove(request))
            self.assertFalse(self.queue.remove(request))
        self.assertEqual(len(self.queue.expire(6.0)), 55)
        organisation = self.queue.organisations["a"]
        self.assertEqual((self.queue.queued, organisation.queued), (0, 0))
        self.assertEqual(organisation.trials, set())
        self.assertEqual(organisation.kinds, {})
        self.assertEqual(organisation.long_queued_s, 0.0)
        self.assertIsNone(self.queue.next_request())
        self.assertFalse(organisation.active)


if __name__ == "__main__":
    unittest.main()
