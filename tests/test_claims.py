import threading
from unittest import mock

from magnoliapier import claims as claims_module
from magnoliapier.claims import (
    CLAIM_KEPT_S,
    CLAIM_VALID_S,
    EXPIRY_PREFIX,
    Claim,
    ClaimRefused,
    Claims,
    request_digest,
)
from magnoliapier.clock import VirtualClock
from magnoliapier.memory_platform import MemoryPlatform
from magnoliapier.metrics import Metrics
from magnoliapier.reasons import RefusalReason
from magnoliapier.request_tables import RequestEntry, WorkClass
from tests.entry_harness import EntryTestCase, head, wait_until


def filing(key, body=b"abc", **headers):
    return head("POST", Idempotency_Key=key, Content_Length=len(body), **headers) + body


class RepeatTests(EntryTestCase):
    """Guards against a non-idempotent request that runs twice."""

    def setUp(self):
        super().setUp()
        self.other = self.start_entry("entry-2")
        self.faults = self.platform.faults

    def reason(self, data, process=None):
        status, headers, _ = self.send_request(data, process)
        return status, headers["X-Refusal-Reason"], headers["X-Run-State"]

    def recorded(self):
        rows = self.platform.table.scan("claim/")
        return all(row.value["state"] != "claimed" for row in rows)

    def test_repeats_get_the_first_answer(self):
        first = self.send_request(filing("k", X_Request_Id="r"))
        wait_until(self.recorded)
        for process in (self.process, self.other, self.start_entry("entry-1")):
            status, headers, body = self.send_request(
                filing("k", X_Request_Id="s"), process
            )
            self.assertEqual((status, body), (200, first[2]))
            self.assertEqual(headers.get_all("X-Request-Id"), ["s"])
        self.assertEqual(sum(host.runs.get("k", 0) for host in self.hosts), 1)

    def test_key_of_another_request(self):
        self.send_request(filing("k"))
        for process in (self.process, self.other):
            refused = self.reason(filing("k", b"other"), process)
            self.assertEqual(refused, (422, "key_reused", "not-run"))
        # Another organisation's key is another key.
        self.assertEqual(
            self.send_request(filing("k", X_Organisation="desk-b"))[0], 200
        )

    def test_repeat_during_the_run_and_after_a_restart(self):
        caller = self.connect().send(filing("k", X_Standin_Run_Ms=500))
        wait_until(self.run_count)
        running = (409, "in_progress", "unknown")
        self.assertEqual(self.reason(filing("k")), running)
        self.assertEqual(self.reason(filing("k"), self.other), running)
        restarted = self.start_entry("entry-1")
        unknown = (409, "outcome_unknown", "unknown")
        self.assertEqual(self.reason(filing("k"), restarted), unknown)
        self.assertEqual(caller.answer()[0], 200)
        self.assertEqual(self.run_count(), 1)

    def test_caller_that_left_gets_the_answer_by_repeating(self):
        caller = self.connect().send(filing("k", X_Standin_Run_Ms=200))
        wait_until(self.run_count)
        caller.close()
        wait_until(self.recorded)
        self.assertEqual(self.send_request(filing("k"), self.other)[0], 200)
        self.assertEqual(self.run_count(), 1)

    def test_run_without_an_answer_is_unknown_to_repeats(self):
        for host in self.hosts:
            host.faults.reset_before_answer = True
        self.assertEqual(self.reason(filing("k"))[2], "unknown")
        wait_until(self.recorded)
        for process in (self.process, self.other):
            refused = self.reason(filing("k"), process)
            self.assertEqual(refused, (409, "outcome_unknown", "unknown"))
        self.assertEqual(self.run_count(), 1)

    def test_store_away(self):
        """What was refused as not run while the store was away may run later."""
        self.faults.down = True
        refused = self.reason(filing("k"))
        self.assertEqual(refused, (503, "claims_unavailable", "not-run"))
        self.assertEqual(self.send_request(head())[0], 200)
        self.faults.down = False
        wait_until(lambda: self.send_request(filing("k"))[0] == 200)
        self.assertEqual(sum(host.runs.get("k", 0) for host in self.hosts), 1)

    def test_slow_store_holds_no_slots(self):
        """Requests that wait for a claim must not keep idempotent ones out."""
        returned, transact = threading.Event(), self.platform.table.transact
        self.platform.table.transact = lambda writes: (
            returned.wait() and transact(writes)
        )
        callers = [self.connect().send(filing(f"k{n}")) for n in range(20)]
        wait_until(lambda: self.process.path.open_requests == 20)
        self.assertEqual(self.demand(), (0, 0))
        self.assertEqual(self.send_request(head())[0], 200)
        returned.set()
        self.assertEqual([caller.answer()[0] for caller in callers], [200] * 20)

    def test_lost_answer_then_store_away(self):
        """The row exists although its request was refused; a repeat takes it over."""
        read = self.platform.table.read
        self.faults.lose_answers = 1

        def fail_once(keys):
            self.platform.table.read = read
            raise claims_module.StoreOutcomeUnknownError("lost")

        self.platform.table.read = fail_once
        refused = self.reason(filing("k"))
        self.assertEqual(refused, (503, "claims_unavailable", "not-run"))
        self.assertEqual(len(self.platform.table.scan("claim/")), 1)
        wait_until(lambda: self.send_request(filing("k"))[0] == 200)
        self.assertEqual(self.run_count(), 1)

    def test_answer_recorded_after_the_store_returns(self):
        caller = self.connect().send(filing("k", X_Standin_Run_Ms=100))
        wait_until(self.run_count)
        self.faults.down = True
        self.assertEqual(caller.answer()[0], 200)
        self.assertEqual(self.send_request(filing("k"))[0], 200)
        self.faults.down = False
        wait_until(self.recorded)
        self.assertEqual(self.send_request(filing("k"), self.other)[0], 200)
        self.assertEqual(self.run_count(), 1)

    def test_refused_request_gives_its_key_back(self):
        for host in self.hosts:
            host.close()
        self.assertEqual(self.reason(filing("k"))[2], "not-run")
        wait_until(lambda: not self.platform.table.scan("claim/"))

    def test_pause_longer_than_the_claim(self):
        with mock.patch.object(claims_module, "CLAIM_VALID_S", 0.0):
            self.assertEqual(self.reason(filing("k"))[2], "not-run")
        self.assertEqual(self.run_count(), 0)

    def test_many_repeats_with_lost_answers(self):
        """Each key runs once whatever is lost and whoever repeats it."""
        refused = []

        def repeat(key, process):
            for round_number in range(4):
                if round_number % 2:
                    self.faults.lose_answers += 1
                status, headers, _ = self.send_request(filing(key), process)
                if headers["X-Run-State"] == "not-run":
                    refused.append((key, headers["X-Refusal-Reason"]))

        threads = [
            threading.Thread(target=repeat, args=(f"k{n % 12}", process))
            for n in range(24)
            for process in (self.process, self.other)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        runs = [host.runs.get(f"k{n}", 0) for n in range(12) for host in self.hosts]
        self.assertEqual(sum(runs), 12)
        self.assertEqual(max(runs), 1)
        # Refusals of keys that another caller's request ran are not expected here.
        self.assertEqual({reason for _, reason in refused} - {"queue_full"}, set())


class DeduplicatingServiceTests(EntryTestCase):
    service = {"deduplicates": True}

    def test_served_while_the_store_is_away(self):
        """Guards against refusing what the endpoint itself runs only once."""
        self.platform.faults.down = True
        self.assertEqual(self.send_request(filing("k"))[0], 200)
        self.assertEqual(sum(host.runs.get("k", 0) for host in self.hosts), 1)


class ClaimWriterTests(EntryTestCase):
    endpoints = 0

    def start_entry(self, **_):
        self.clock = VirtualClock(10 * CLAIM_KEPT_S)
        self.platform = MemoryPlatform(self.clock)
        self.claims = Claims(self.platform.table, self.clock, Metrics(), "entry-1", 1)
        self.addCleanup(self.claims.close)

    def claim(self, key, done):
        entry = RequestEntry(
            key, "wire", "desk-a", "short/x", WorkClass.SHORT, False, 0.0, 0.0, key=key
        )
        self.claims.claim(entry, request_digest("POST", "/", b""), 5.0, done)

    def test_groups(self):
        """Guards against one transaction for each claim."""
        results, submitted = [], threading.Event()
        transact = self.platform.table.transact
        self.platform.table.transact = lambda writes: (
            submitted.wait() and transact(writes)
        )
        for number in range(500):
            self.claim(f"k{number}", results.append)
        submitted.set()
        wait_until(lambda: len(results) == 500)
        self.assertTrue(all(isinstance(result, Claim) for result in results))
        # One that began before the others came, and 64 in each of the rest.
        self.assertLessEqual(self.platform.table.write_count, 9)
        elapsed = self.clock.monotonic() - 10 * CLAIM_KEPT_S
        self.assertLessEqual(self.platform.table.write_count, 30 * elapsed + 2)

    def test_conflicts_do_not_fail_the_group(self):
        results, repeats = [], []
        self.claim("k", results.append)
        wait_until(lambda: results)
        other = Claims(self.platform.table, self.clock, Metrics(), "entry-2", 1)
        self.addCleanup(other.close)
        self.claims = other
        for key in ("a", "k", "b"):
            self.claim(key, repeats.append)
        wait_until(lambda: len(repeats) == 3)
        refused = [r.reason for r in repeats if isinstance(r, ClaimRefused)]
        self.assertEqual(refused, [RefusalReason.IN_PROGRESS])

    def test_sendable(self):
        """Guards against a send after a suspension that one clock does not show."""
        claim = Claim("k", "i", "r", 5.0, self.clock.time(), self.clock.monotonic())
        self.assertTrue(claim.sendable(self.clock))
        claim.made -= 6
        self.assertFalse(claim.sendable(self.clock))
        self.assertLess(CLAIM_VALID_S, CLAIM_KEPT_S)

    def test_expiry(self):
        """Guards against a table that grows forever, and against early deletion."""
        results = []
        self.claim("old", results.append)
        self.claim("again", results.append)
        wait_until(lambda: len(results) == 2)
        self.claims.release(results[1])
        wait_until(lambda: len(self.platform.table.scan("claim/")) == 1)
        self.clock.advance(CLAIM_KEPT_S / 2)
        self.claim("again", results.append)
        wait_until(lambda: len(results) == 3)
        self.clock.advance(CLAIM_KEPT_S / 2 + 120)
        with mock.patch.object(claims_module, "EXPIRY_LOOKBACK_S", 180):
            for _ in range(10):
                self.clock.advance(1)
                self.claims.tick()
            wait_until(lambda: len(self.platform.table.scan("claim/")) == 1)
        left = self.platform.table.scan("claim/")[0]
        self.assertEqual(left.key, results[2].key)
        wait_until(lambda: len(self.platform.table.scan(EXPIRY_PREFIX)) == 1)
