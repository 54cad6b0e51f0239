import unittest
from unittest import mock

from magnoliapier import fleet_log
from magnoliapier.clock import VirtualClock
from magnoliapier.exceptions import (
    ConflictError,
    FencedError,
    ManifestConflictError,
    StateOrderError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.fleet_log import FleetLog, LogFollower
from magnoliapier.fleet_state import FleetState
from magnoliapier.leases import PlannerLease
from magnoliapier.memory_platform import MemoryPlatform
from tests.samples import commit_entry, sample_manifest, sample_state


def cancel(name):
    return ("cancel", {"name": name, "what": "job"})


class FleetLogTests(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.platform = MemoryPlatform(self.clock)
        self.log = FleetLog(self.platform, self.clock, "entry-1")
        self.state, _ = self.log.commit_manifest(FleetState(), sample_manifest(), 0)

    def test_two_writers_never_share_a_seq(self):
        self.log.append(self.state, [cancel("a"), cancel("b")])
        with self.assertRaises(ConflictError):
            self.log.append(self.state, [cancel("c")])
        self.assertEqual(set(self.log.catch_up(self.state).cancelled), {"a", "b"})

    def test_lost_answer_is_reported_as_written_once(self):
        """
        Guards against an entry that is written twice or is reported as not written.

        The answer to its first write is lost.
        """
        self.platform.faults.lose_answers = 1
        entries = self.log.append(self.state, [cancel("a")])
        self.assertEqual(self.log.retained_entries()[1:], entries)

    def test_write_that_never_arrived_is_written_again(self):
        """Guards against a commit reported as written that never reached the store."""
        real = self.platform.table.transact
        losses = iter([StoreOutcomeUnknownError("lost")])

        def lose_first(*arguments):
            for error in losses:
                raise error
            return real(*arguments)

        with mock.patch.object(self.platform.table, "transact", lose_first):
            self.log.append(self.state, [cancel("a")])
        self.assertEqual(len(self.log.retained_entries()), 2)

    def test_outcome_stays_unknown_while_the_store_is_down(self):
        """Guards against a success or refusal reported while the outcome is unknown."""
        real = self.platform.table.transact

        def lose(*arguments):
            real(*arguments)
            self.platform.faults.down = True
            raise StoreOutcomeUnknownError("lost")

        with (
            mock.patch.object(self.platform.table, "transact", lose),
            self.assertRaises(StoreOutcomeUnknownError),
        ):
            self.log.append(self.state, [cancel("a")], entry_ids=["mine"])
        self.platform.faults.down = False
        self.assertEqual(self.log.retained_entries()[-1].entry_id, "mine")

    def test_outage_writes_nothing(self):
        self.platform.faults.down = True
        with self.assertRaises(StoreUnavailableError):
            self.log.append(self.state, [cancel("a")])

    def test_entry_that_followers_refuse_is_not_written(self):
        """Guards against an entry that stops every follower of the log."""
        body = {"host": "wire-0", "epoch": 7, "target": "archive"}
        with self.assertRaises(StateOrderError):
            self.log.append(self.state, [("host_drain", body)])
        self.assertEqual(len(self.log.retained_entries()), 1)

    def test_fenced_planner_writes_nothing(self):
        first = PlannerLease(self.platform.table, self.clock, "entry-1")
        second = PlannerLease(self.platform.table, self.clock, "entry-2")
        first.tick()
        for _ in range(7):
            self.clock.advance(1)
            second.tick()
        with self.assertRaises(FencedError):
            self.log.append(self.state, [cancel("a")], lease=first)
        entries = self.log.append(self.state, [cancel("a")], lease=second)
        self.assertEqual(entries[0].planner_epoch, 2)

    def test_second_of_two_operators_is_told_what_changed(self):
        """Guards against a commit that silently undoes another."""
        ours, theirs = sample_manifest(), sample_manifest()
        theirs["pools"]["wire"]["min_hosts"] = 2
        ours["organisations"]["desk-c"] = {}
        self.log.commit_manifest(self.state, theirs, 1, author="ada")
        with self.assertRaises(ManifestConflictError) as caught:
            self.log.commit_manifest(self.state, ours, 1, author="bo")
        self.assertEqual(caught.exception.version, 2)
        self.assertEqual(caught.exception.changes[0]["author"], "ada")
        self.assertEqual(caught.exception.changes[0]["changed"], ["pools.wire"])

    def test_other_entries_do_not_conflict_with_a_commit(self):
        values = sample_manifest()
        values["organisations"]["desk-c"] = {}
        self.log.append(self.state, [cancel("a")])
        state, _ = self.log.commit_manifest(self.state, values, 1, commit_id="x")
        self.assertEqual((state.seq, state.manifest_version), (3, 2))
        again, _ = self.log.commit_manifest(self.state, values, 1, commit_id="x")
        self.assertEqual(again.manifest_version, 2)

    def test_snapshot_replaces_older_entries(self):
        """Guards against a new process that cannot rebuild the state."""
        lease = PlannerLease(self.platform.table, self.clock, "entry-1")
        lease.tick()
        state = self.state
        with mock.patch.multiple(fleet_log, ENTRIES_BEFORE_SNAPSHOT=2, READ_BATCH=3):
            for number in range(10):
                entries = self.log.append(state, [cancel(f"job-{number}")])
                state = fleet_log.fold(state, entries)
            self.platform.faults.lose_answers = 1
            self.log.write_snapshot(state, lease)
            self.log.append(state, [cancel("last")])
            self.assertEqual(self.log.retained_entries()[0].seq, state.seq - 2)
            rebuilt = self.log.catch_up(FleetState())
        self.assertEqual(rebuilt.seq, state.seq + 1)
        self.assertIn("job-0", rebuilt.cancelled)


class LogFollowerTests(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.follower = LogFollower(self.clock)
        self.entry = commit_entry(FleetState(), sample_manifest())

    def test_entry_waits_for_a_second_process(self):
        """Guards against a seq that is in force on a single host and lost with it."""
        self.follower.offer_entries([self.entry])
        self.clock.advance(60)
        self.assertFalse(self.follower.activate(0))
        self.assertEqual(self.follower.state.seq, 0)
        self.assertTrue(self.follower.activate(1))
        self.assertEqual(self.follower.state.manifest_version, 1)

    def test_follower_without_peers_waits_half_a_second(self):
        self.follower.offer_entries([self.entry])
        self.assertFalse(self.follower.activate(None))
        self.clock.advance(0.5)
        self.assertTrue(self.follower.activate(None))

    def test_older_offers_change_nothing(self):
        """Guards against a peer or entry process that reverts the state."""
        state = sample_state()
        newer = fleet_log.fold(
            state, [commit_entry(state, sample_manifest(services=("wire",)))]
        )
        self.assertTrue(self.follower.offer_state(newer))
        self.follower.activate_up_to(2)
        self.assertFalse(self.follower.offer_state(state))
        self.assertFalse(self.follower.activate_up_to(1))
        self.assertFalse(self.follower.offer_entries([self.entry]))
        self.assertEqual(self.follower.state.seq, 2)

    def test_gap_and_unusable_entry_are_not_staged(self):
        gap = commit_entry(FleetState(), sample_manifest(), seq=3)
        wrong = commit_entry(FleetState(), sample_manifest())
        wrong.body["digest"] = "0" * 64
        self.assertFalse(self.follower.offer_entries([gap]))
        self.assertFalse(self.follower.offer_entries([wrong]))
        self.assertEqual(self.follower.staged_seq, 0)
        self.assertTrue(self.follower.offer_entries([self.entry]))
        self.assertEqual(self.follower.entries_after(0), [self.entry])
        self.assertIsNone(self.follower.entries_after(-3))
