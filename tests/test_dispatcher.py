import random
import unittest

from magnoliapier.clock import VirtualClock
from magnoliapier.dispatcher import Dispatcher
from magnoliapier.manifest import validate_manifest
from magnoliapier.metrics import Metrics
from magnoliapier.reasons import RefusalReason, RunState
from magnoliapier.request_tables import (
    Dispatch,
    EndpointEntry,
    PeerDemand,
    Refusal,
    RequestEntry,
    Retry,
    SendOutcome,
    SendResult,
    WorkClass,
)
from tests.samples import sample_manifest

OK = SendResult(SendOutcome.OK, RunState.RAN)
BUSY = SendResult(SendOutcome.BUSY, RunState.NOT_RUN)
RESET = SendResult(SendOutcome.RESET, RunState.UNKNOWN)


class DispatcherCase(unittest.TestCase):
    """A dispatcher with ``hosts`` endpoints, by default three of two slots each."""

    def setUp(self):
        self.start(hosts=3)

    def start(self, hosts, slots=2, max_queue=100):
        self.clock = VirtualClock(100.0)
        self.metrics = Metrics()
        self.dispatcher = Dispatcher(
            self.clock, random.Random(1), "entry-1", "dc-1", max_queue, self.metrics
        )
        values = sample_manifest(services=("wire",), hosts=hosts, data_centres=1)
        self.manifest = validate_manifest(values)
        self.endpoints = [
            EndpointEntry(f"wire-{n}/wire", "wire", f"wire-{n}", "dc-1", "", slots)
            for n in range(hosts)
        ]
        self.dispatcher.set_fleet(self.manifest, self.endpoints)
        self.dispatcher.set_peers({"wire": []})
        self.number = 0

    def arrive(self, organisation="desk-a", left=5.0, **options):
        self.number += 1
        now = self.clock.monotonic()
        values = {
            "request_id": f"r{self.number}",
            "service": "wire",
            "organisation": organisation,
            "kind": "short/file",
            "declared_class": WorkClass.SHORT,
            "idempotent": True,
            "arrived": now,
            "deadline": now + left,
        }
        self.request = RequestEntry(**(values | options))
        return self.dispatcher.arrive(self.request)

    def arrive_until(self, stop, limit=500):
        """Submit requests until ``stop(decisions)`` is true; return the decisions."""
        for _ in range(limit):
            decisions = self.arrive()
            if stop(decisions):
                return decisions
        self.fail("the condition was never met")

    def pass_time(self, seconds):
        self.clock.advance(seconds)
        return self.dispatcher.tick()

    def reasons(self, decisions):
        return [d.reason for d in decisions if isinstance(d, Refusal)]


class DispatcherTest(DispatcherCase):
    """The decisions of the whole request path."""

    def test_request_that_cannot_be_served_is_refused_on_arrival(self):
        """A request that no endpoint could serve must not be queued."""
        cases = [
            (RefusalReason.UNKNOWN_SERVICE, {"service": "none"}),
            (RefusalReason.UNKNOWN_ORGANISATION, {"organisation": "none"}),
            (RefusalReason.DEADLINE_PASSED, {"left": -1.0}),
        ]
        for reason, options in cases:
            decisions = self.arrive(**options)
            self.assertEqual(self.reasons(decisions), [reason])
            self.assertEqual(decisions[0].run_state, RunState.NOT_RUN)
            self.assertEqual(
                self.metrics.value("refusals_total", reason=reason.value), 1
            )
        for endpoint in self.endpoints:
            self.dispatcher.mark_leaving(endpoint.host)
        self.assertEqual(self.reasons(self.arrive()), [RefusalReason.NO_ENDPOINT])
        empty = Dispatcher(self.clock, random.Random(1), "entry-1", "dc-1")
        decisions = empty.arrive(self.request)
        self.assertEqual(self.reasons(decisions), [RefusalReason.NO_MANIFEST])

    def test_slots_are_respected_and_freed(self):
        """No more requests than slots may start, and a freed slot must be used."""
        started = [d.request for _ in range(10) for d in self.arrive()]
        self.assertEqual(len(started), 6)
        self.assertEqual(self.dispatcher.demand()["wire"], (4, 6))
        decisions = self.dispatcher.complete(started[0], OK)
        self.assertIsInstance(decisions[0], Dispatch)
        self.assertEqual(self.dispatcher.complete(started[0], OK), [])

    def test_expected_wait_beyond_deadline_is_refused_with_retry_after(self):
        """Requests that would end too late must not fill the queue."""
        decisions = self.arrive_until(self.reasons)
        self.assertEqual(self.reasons(decisions), [RefusalReason.QUEUE_FULL])
        self.start(hosts=1, max_queue=10_000)
        decisions = self.arrive_until(self.reasons)
        self.assertEqual(self.reasons(decisions), [RefusalReason.DEADLINE_UNREACHABLE])
        self.assertGreaterEqual(decisions[0].retry_after_s, 1)
        # The backlog of this organisation must not cause refusals for another.
        self.assertEqual(self.reasons(self.arrive("desk-b")), [])

    def test_full_queue_drops_a_request_of_the_largest_organisation(self):
        """An organisation that fills the queue must not cause refusals for others."""
        self.start(hosts=1, max_queue=20)
        for _ in range(22):
            self.arrive()
        decisions = self.arrive("desk-b")
        self.assertEqual(self.reasons(decisions), [RefusalReason.FAIR_SHARE])
        self.assertEqual(decisions[0].request.organisation, "desk-a")

    def test_cancelled_request_leaves_the_queue_and_is_not_retried(self):
        """Requests of callers that disconnected must not keep others waiting."""
        started = [d.request for _ in range(8) for d in self.arrive()]
        decisions = self.dispatcher.cancel("r8")
        self.assertEqual(self.reasons(decisions), [RefusalReason.CALLER_GONE])
        self.assertEqual(self.dispatcher.demand()["wire"], (1, 6))
        self.dispatcher.cancel(started[0].request_id)
        decisions = self.dispatcher.complete(started[0], BUSY)
        self.assertFalse(any(isinstance(d, Retry) for d in decisions))

    def test_retry_uses_another_endpoint_and_requires_idempotence(self):
        """A request must not return to an endpoint, nor run twice if not idempotent."""
        sends = self.arrive()
        names = set()
        while isinstance(sends[-1], Dispatch):
            names.add(sends[-1].endpoint.name)
            sends = self.dispatcher.complete(self.request, RESET)
        self.assertEqual(len(names), 3)
        self.assertEqual(sends[-1].run_state, RunState.UNKNOWN)
        self.arrive(idempotent=False, key="k")
        decisions = self.dispatcher.complete(self.request, RESET)
        self.assertEqual(self.reasons(decisions), [RefusalReason.ENDPOINT_FAILED])
        self.assertEqual(decisions[0].run_state, RunState.UNKNOWN)

    def test_run_state_remembers_earlier_sends(self):
        """A request that may have run must not later be refused as not run."""
        self.arrive()
        self.dispatcher.complete(self.request, RESET)
        first = self.request
        self.dispatcher.complete(first, BUSY)
        decisions = self.dispatcher.complete(first, BUSY)
        self.assertEqual(decisions[0].run_state, RunState.UNKNOWN)

    def test_draining_answer_and_lost_hosts_stop_new_work(self):
        """
        After a report that a host is leaving, its endpoints must get no new work.

        A report that the fleet state does not confirm must expire.
        """
        self.arrive()
        draining = SendResult(SendOutcome.DRAINING, RunState.NOT_RUN)
        host = self.dispatcher.complete(self.request, draining)[-1].request.excluded
        for _ in range(4):
            for decision in self.arrive():
                self.assertNotIn(decision.endpoint.name, host)
        self.dispatcher.set_fleet(self.manifest, self.endpoints)
        self.assertEqual(self.arrive(), [])
        late = [RefusalReason.DEADLINE_PASSED] * 2
        self.assertEqual(self.reasons(self.pass_time(10.5)), late)
        pool = self.dispatcher._services["wire"].pool
        self.assertEqual([n for n, e in pool.endpoints.items() if e.leaving], [])
        self.assertTrue(pool.has_room)

    def test_endpoint_that_fails_at_once_attracts_no_work(self):
        """An endpoint that fails everything must not get most of the requests."""
        self.start(hosts=6)
        failures = 0
        failed = SendResult(SendOutcome.FAILED, RunState.RAN)
        for _ in range(300):
            queue = self.arrive()
            while queue:
                decision = queue.pop()
                if isinstance(decision, Dispatch):
                    bad = decision.endpoint.host == "wire-0"
                    failures += bad
                    result = failed if bad else OK
                    queue += self.dispatcher.complete(decision.request, result)
            self.pass_time(0.01)
        self.assertLess(failures, 20)

    def test_timeouts_do_not_stop_an_entry_host(self):
        """Requests that reach their deadline must not keep others from starting."""
        self.start(hosts=1)
        timeout = SendResult(SendOutcome.TIMEOUT, RunState.UNKNOWN)
        for _ in range(3):
            self.arrive(left=0.2)
            self.clock.advance(0.2)
            self.dispatcher.complete(self.request, timeout)
        self.assertTrue(self.dispatcher._services["wire"].pool.has_room)

    def test_lost_peer_reports_reduce_the_share(self):
        """An entry host without peer reports must not use the slots of others."""
        peers = [PeerDemand("entry-2", "dc-1", 0, 0, 0.1)]
        self.dispatcher.set_peers({"wire": peers})
        self.pass_time(3.0)
        pool = self.dispatcher._services["wire"].pool
        self.assertEqual(pool.usable_slots, 3)

    def test_service_that_is_removed_refuses_its_queue(self):
        """Queued requests of a removed service must not wait forever."""
        started = [d.request for _ in range(8) for d in self.arrive()]
        values = sample_manifest(services=("other",), hosts=1, data_centres=1)
        decisions = self.dispatcher.set_fleet(validate_manifest(values), [])
        self.assertEqual(self.reasons(decisions), [RefusalReason.UNKNOWN_SERVICE] * 2)
        self.assertEqual(self.dispatcher.complete(started[0], OK), [])

    def test_tables_are_empty_after_any_order_of_events(self):
        """No order of ends, cancels and faults may leak a slot or a queue entry."""
        source = random.Random(3)
        running, known = [], []
        kinds = [("short/a", "short"), ("long/b", "long"), ("short/odd", "short")]
        outcomes = [r for r in SendOutcome if r is not SendOutcome.OK]
        for step in range(3000):
            kind, declared = source.choice(kinds)
            options = {"kind": kind, "declared_class": WorkClass(declared)}
            decisions = self.arrive(source.choice(("desk-a", "desk-b")), **options)
            known.append(self.request.request_id)
            if source.random() < 0.2:
                decisions += self.dispatcher.cancel(source.choice(known[-20:]))
            while running and source.random() < 0.6:
                request = running.pop(source.randrange(len(running)))
                result = OK
                if source.random() < 0.3:
                    state = source.choice((RunState.NOT_RUN, RunState.UNKNOWN))
                    result = SendResult(source.choice(outcomes), state)
                decisions += self.dispatcher.complete(request, result)
            decisions += self.pass_time(source.expovariate(5))
            if step % 100 == 0:
                decisions += self.dispatcher.set_fleet(self.manifest, self.endpoints)
            running += [d.request for d in decisions if isinstance(d, Dispatch)]
        while running:
            decisions = self.dispatcher.complete(running.pop(), OK)
            decisions += self.pass_time(1.0)
            running += [d.request for d in decisions if isinstance(d, Dispatch)]
        self.pass_time(20.0)
        queue = self.dispatcher._services["wire"].queue
        self.assertEqual(self.dispatcher.demand()["wire"], (0, 0))
        self.assertEqual(
            (queue.long_in_flight, len(self.dispatcher._in_flight)), (0, 0)
        )
        self.assertEqual(
            (self.dispatcher._queued, self.dispatcher._possible_runs), ({}, {})
        )
        for organisation in queue.organisations.values():
            self.assertEqual((organisation.in_flight, organisation.trials), (0, set()))
            self.assertAlmostEqual(organisation.pending_tag, 0.0, places=6)
            self.assertFalse(organisation.active)


if __name__ == "__main__":
    unittest.main()
