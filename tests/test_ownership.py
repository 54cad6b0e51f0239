import unittest

from magnoliapier.clock import VirtualClock
from magnoliapier.fleet_state import LogEntry
from magnoliapier.messages import EntryReport
from magnoliapier.ownership import (
    Gap,
    GapDetector,
    HeldGrant,
    HeldGrants,
    IssuedGrants,
    PauseMeter,
    Registration,
    SenderRecord,
    SenderTable,
    allowed_hosts,
    consent_record,
    missing_consents,
)
from tests.samples import sample_state


def drained_state(host="wire-0"):
    state = sample_state()
    body = {"host": host, "epoch": 2, "target": "archive"}
    state.apply(LogEntry(state.seq + 1, "host_drain", body, "d", "test", 0.0))
    return state


class AllowedHostsTests(unittest.TestCase):
    def test_own_centre_needs_eligibility_and_others_a_grant(self):
        """Guards against sends that the host's data centre does not know about."""
        state = drained_state()
        own = allowed_hosts(state, "dc-1", True, {}, 0.0)
        self.assertIn("wire-2", own)
        self.assertNotIn("wire-0", own)
        self.assertNotIn("wire-1", own)
        self.assertEqual(allowed_hosts(state, "dc-1", False, {}, 0.0), set())
        grants = {"dc-2": HeldGrant("e", "dc-2", state.seq, 3.0)}
        self.assertIn("wire-1", allowed_hosts(state, "dc-1", True, grants, 2.9))
        self.assertNotIn("wire-1", allowed_hosts(state, "dc-1", True, grants, 3.0))
        ahead = {"dc-2": HeldGrant("e", "dc-2", state.seq + 1, 3.0)}
        self.assertNotIn("wire-1", allowed_hosts(state, "dc-1", True, ahead, 0.0))


class ConsentTests(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock(100.0)
        self.issued_grants = IssuedGrants(self.clock, "dc-1")
        self.state = drained_state()

    def missing(self, busy=()):
        report = EntryReport("entry-1", 1, self.state.seq, busy_hosts=list(busy))
        record = consent_record(
            "entry-1", "dc-1", report, self.state, self.issued_grants
        )
        return missing_consents(self.state, "wire-0", [record])

    def test_busy_or_behind_sender_withholds_consent(self):
        """Guards against a move of a host while a request still runs on it."""
        self.assertEqual(self.missing(), [])
        self.assertEqual(self.missing(busy=["wire-0"]), ["entry-1"])
        behind = SenderRecord("entry-1", "dc-1", 1, self.state.seq - 1)
        self.assertEqual(missing_consents(self.state, "wire-0", [behind]), ["entry-1"])

    def test_holder_of_earlier_grant_blocks_until_it_reports(self):
        """Guards against a remote sender that still uses a drained host."""
        self.issued_grants.issue("entry-9", 5, self.state.seq - 1, 50_000)
        self.assertEqual(self.missing(), ["entry-1"])
        self.clock.advance(60)
        self.assertEqual(self.missing(), ["entry-1"])
        self.issued_grants.observe("entry-9", 5, self.state.seq, ["wire-0"], 51_000)
        self.assertEqual(self.missing(), ["entry-1"])
        self.issued_grants.observe("entry-9", 5, self.state.seq, [], 52_000)
        self.assertEqual(self.missing(), [])

    def test_report_from_before_the_drain_proves_nothing(self):
        """Guards against a report that does not show a later send under the grant."""
        self.issued_grants.issue("entry-9", 5, self.state.seq - 1, 50_000)
        self.clock.advance(60)
        self.issued_grants.observe("entry-9", 5, self.state.seq - 1, [], 110_000)
        self.assertEqual(self.missing(), ["entry-1"])

    def test_settled_grants_are_dropped(self):
        """Guards against memory that grows with every change of the fleet."""
        for seq in range(1, 50):
            self.issued_grants.issue("entry-9", 5, seq, 50_000)
            self.issued_grants.observe("entry-9", 5, seq, [], 50_000 + seq)
        self.assertEqual(len(self.issued_grants), 1)

    def test_later_incarnation_blocks_until_it_is_not_busy(self):
        """
        Guards against a move of a host while a request of a stale process runs on it.

        The process changes its incarnation while its requests go on.
        """
        self.issued_grants.issue("entry-9", 5, self.state.seq - 1, 50_000)
        self.issued_grants.observe("entry-9", 6, 0, [], 10)
        self.clock.advance(60)
        self.assertEqual(self.missing(), ["entry-1"])
        self.issued_grants.observe("entry-9", 6, self.state.seq, ["wire-0"], 20)
        self.assertEqual(self.missing(), ["entry-1"])
        self.issued_grants.observe("entry-9", 6, self.state.seq, [], 30)
        self.assertEqual(self.missing(), [])

    def test_grant_of_removed_sender_blocks_until_it_expires(self):
        """Guards against a removed sender that is alive and holds a grant."""
        self.issued_grants.issue("entry-9", 5, self.state.seq - 1, 50_000)
        self.issued_grants.forget("entry-9")
        self.clock.advance(3.9)
        self.assertEqual(self.missing(), ["entry-1"])
        self.clock.advance(0.2)
        self.assertEqual(self.missing(), [])

    def test_restarts_of_a_holder_keep_one_grant(self):
        """Guards against memory that grows with every restart of a peer."""
        for incarnation in range(1, 50):
            self.issued_grants.issue("entry-9", incarnation, 1, 50_000)
        self.assertEqual(len(self.issued_grants), 1)

    def test_unknown_grants_of_earlier_process_block(self):
        """Guards against a restarted granter that forgot what it granted."""
        self.issued_grants.assume_unknown_grants(["entry-8", "entry-9"])
        self.clock.advance(60)
        self.issued_grants.observe("entry-9", 5, self.state.seq, ["wire-0"], 10)
        self.issued_grants.forget("entry-8")
        self.assertEqual(self.missing(), ["entry-1"])
        self.issued_grants.observe("entry-9", 5, self.state.seq, [], 20)
        self.assertEqual(self.missing(), [])


class HeldGrantTests(unittest.TestCase):
    def test_grant_is_timed_from_the_request(self):
        """Guards against a delayed grant that outlasts the granter's record of it."""
        clock = VirtualClock(10.0)
        held = HeldGrants(clock, "entry-9", 5)
        issued_grants = IssuedGrants(clock, "dc-2")
        grant = issued_grants.issue("entry-9", 5, 4, held.request_time_ms())
        clock.advance(2.9)
        held.receive("entry-1", grant)
        self.assertIn("dc-2", held.usable(4))
        self.assertEqual(held.usable(3), {})
        clock.advance(0.1)
        self.assertEqual(held.usable(4), {})

    def test_dropped_grants_stay_dropped(self):
        """Guards against accepting a grant requested before the pause (R5)."""
        clock = VirtualClock(10.0)
        held = HeldGrants(clock, "entry-9", 5)
        grant = IssuedGrants(clock, "dc-2").issue(
            "entry-9", 5, 4, held.request_time_ms()
        )
        held.drop()
        held.receive("entry-1", grant)
        self.assertEqual(held.usable(4), {})


class SenderTests(unittest.TestCase):
    def test_order_of_registration(self):
        """Guards against a sender that becomes eligible without having read a drain."""
        registration = Registration()
        registration.begin(7)
        registration.record_log_read(7, 5)
        self.assertFalse(registration.eligible(7, 5))
        registration.record_written(7)
        registration.record_log_read(7, 6)
        self.assertFalse(registration.eligible(7, 5))
        self.assertTrue(registration.eligible(7, 6))
        self.assertFalse(registration.eligible(8, 6))

    def test_gap_since_last_tick(self):
        clock = VirtualClock()
        gaps = GapDetector(clock)
        for seconds, gap in ((0.1, Gap.NONE), (2, Gap.DROP_GRANTS), (21, Gap.STALE)):
            clock.advance(seconds)
            self.assertIs(gaps.tick(), gap)

    def test_pauses_add_up_until_the_host_list_was_read(self):
        """Guards against a stale sender whose pauses were each too short to count."""
        clock = VirtualClock()
        meter = PauseMeter(clock)
        for expected_s in (15, 30):
            clock.advance(15)
            self.assertEqual(meter.tick(), expected_s)
        for _ in range(6):
            clock.advance(1)
            meter.tick()
        clock.advance(15)
        self.assertEqual(meter.tick(), 15)

    def test_record_is_removed_only_after_the_lag(self):
        """Guards against removal of a sender only because the list was not read."""
        clock = VirtualClock()
        table = SenderTable(clock)
        table.update([SenderRecord("entry-1", "dc-1", 1)])
        table.observe_host_list([])
        clock.advance(60)
        table.observe_host_list([])
        self.assertEqual(table.removable(), [])
        for _ in range(31):
            clock.advance(1)
            table.observe_host_list([])
        self.assertEqual(table.removable(), ["entry-1"])
        table.observe_host_list(["entry-1"])
        self.assertEqual(table.removable(), [])
