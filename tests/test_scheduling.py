import unittest

from magnoliapier.estimates import PROVEN_RUNS, RunTimeEstimates
from magnoliapier.manifest import Service
from magnoliapier.request_tables import RequestEntry, WorkClass
from magnoliapier.scheduling import MAX_TRIALS, ServiceQueue

SECONDS = {"short": 0.1, "long": 20.0}


class ServiceQueueTest(unittest.TestCase):
    """Guards the order of starts: fairness, priority of short work, the reserve."""

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
        """Run requests one after the other; return slot-seconds by organisation."""
        used = dict.fromkeys("abc", 0.0)
        now = 0.0
        for _ in range(count):
            flight = self.start(now)
            now += seconds or SECONDS[flight.request.kind]
            self.queue.end(flight, now, ran=True)
            used[flight.organisation.name] += now - flight.started
        return used

    def test_slot_time_is_shared_by_weight(self):
        """Fails if organisations share by requests and not by slot-seconds."""
        self.add(200, "a", "short")
        self.add(60, "b", "long")
        self.add(100, "c", "long")
        self.queue.organisations["a"].short_in_flight = 99  # no priority
        used = self.serve(290)
        self.assertAlmostEqual(used["c"] / used["b"], 2.0, delta=0.2)

    def test_short_goes_before_long_of_all(self):
        """Fails if short work waits behind long work of its own or another's."""
        self.add(20, "a", "long")
        self.add(5, "b", "long")
        self.add(2, "a", "short")
        kinds = [self.start().request.kind for _ in range(4)]
        self.assertEqual(kinds, ["short", "short", "long", "long"])

    def test_flood_of_short_work_loses_priority_beyond_its_share(self):
        """Fails if a flood of short work starves the long work of others."""
        self.add(500, "a", "short")
        self.add(50, "b", "long")
        started = [self.start(now=0.0).organisation.name for _ in range(100)]
        self.assertIn("b", started[:60])

    def test_reserve_keeps_long_work_out(self):
        """Fails if long work takes the last slots and short work has to wait."""
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
        """Fails if work mislabelled as short fills the reserve before it is known."""
        self.add(30, "a", "odd", declared="short")
        self.queue.reserve = 15
        flights = []
        while (flight := self.start()) is not None:
            flights.append(flight)
        self.assertLessEqual(len(flights), MAX_TRIALS + 1)
        self.queue.check_overdue(10.0)
        self.assertEqual(self.queue.organisations["a"].overdue, MAX_TRIALS)
        self.assertGreater(self.queue.organisations["a"].use_tag, 10.0)
        for flight in flights:
            self.queue.end(flight, 20.0, ran=True)
        self.assertEqual(self.queue.organisations["a"].overdue, 0)

    def test_kind_found_short_is_promoted(self):
        """Fails if short work declared as long stays behind the long work."""
        self.add(5, "b", "long")
        self.add(PROVEN_RUNS + 5, "a", "quick", declared="long")
        self.queue.slots = 100
        for step in range(60):
            flight = self.start(now=float(step))
            if flight is not None:
                quick = flight.request.kind == "quick"
                self.queue.end(flight, step + (0.1 if quick else 20.0), ran=True)
        estimate = self.queue.estimates.find(self.request("a", "quick", "long"))
        self.assertEqual(estimate.work_class, WorkClass.SHORT)

    def test_kind_queued_as_long_before_its_first_sign_gets_trials(self):
        """Fails if requests queued as long return to that queue without an end."""
        self.add(1, "a", "new", declared="short")
        flight = self.start()
        estimate = self.queue.estimates.find(flight.request)
        estimate.work_class = WorkClass.LONG
        self.add(5, "a", "new", declared="short")
        estimate.work_class = WorkClass.SHORT
        self.queue.end(flight, 0.1, ran=True)
        self.assertEqual(len(self.queue.organisations["a"].short), MAX_TRIALS)

    def test_returning_organisation_saves_up_no_claim(self):
        """Fails if an idle time gives an organisation all slots on its return."""
        self.add(400, "a", "long")
        self.serve(100)
        self.add(100, "b", "long")
        used = self.serve(40)
        self.assertGreater(used["a"], 0.3 * used["b"])

    def test_removal_and_expiry_leave_no_trace(self):
        """Fails if cancelled or late requests keep their place in the counts."""
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
