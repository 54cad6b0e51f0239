import json
import unittest

from magnoliapier.exceptions import StateOrderError
from magnoliapier.fleet_state import FleetState, HostState, LogEntry
from tests.samples import commit_entry, sample_manifest, sample_state


def host_entry(state, kind, **body):
    return LogEntry(state.seq + 1, kind, body, "id", "test", 0.0)


class FleetStateTests(unittest.TestCase):
    def test_rejects_gap_and_repeat(self):
        """Guards against a follower that skips an entry or applies one twice."""
        state = sample_state()
        for seq in (state.seq, state.seq + 2):
            with self.assertRaises(StateOrderError):
                state.apply(commit_entry(state, sample_manifest(), seq=seq))

    def test_move_keeps_old_pool_until_assigned(self):
        """Guards against a host that two pools use at the same time."""
        state = sample_state()
        state.apply(
            host_entry(state, "host_drain", host="wire-0", epoch=2, target="archive")
        )
        self.assertEqual(state.assignments["wire-0"].pool, "wire")
        self.assertFalse(state.assignments["wire-0"].takes_work)
        state.apply(
            host_entry(state, "host_assign", host="wire-0", epoch=3, pool="archive")
        )
        self.assertEqual(state.assignments["wire-0"].pool, "archive")
        self.assertIn("wire-0", state.hosts_of("archive"))
        self.assertNotIn("wire-0", state.hosts_of("wire"))

    def test_rejects_old_epoch(self):
        """Guards against a planner that acts on an assignment that was replaced."""
        state = sample_state()
        with self.assertRaises(StateOrderError):
            state.apply(
                host_entry(state, "host_assign", host="wire-0", epoch=1, pool="spare")
            )
        self.assertEqual(state.assignments["wire-0"].epoch, 1)

    def test_rejects_wrong_digest(self):
        state = FleetState()
        entry = commit_entry(state, sample_manifest())
        entry.body["digest"] = "0" * 64
        with self.assertRaises(StateOrderError):
            state.apply(entry)
        self.assertEqual(state.manifest_version, 0)

    def test_commit_keeps_moved_host_in_its_pool(self):
        """Guards against a commit that moves hosts back to the pool in the manifest."""
        state = sample_state()
        state.apply(host_entry(state, "host_drain", host="wire-0", epoch=2))
        state.apply(
            host_entry(state, "host_assign", host="wire-0", epoch=3, pool="spare")
        )
        values = sample_manifest()
        values["organisations"]["desk-c"] = {}
        state.apply(commit_entry(state, values))
        self.assertEqual(state.assignments["wire-0"].pool, "spare")

    def test_snapshot_round_trip(self):
        state = sample_state()
        state.apply(host_entry(state, "host_drain", host="wire-1", epoch=2))
        values = json.loads(json.dumps(state.to_values()))
        copy = FleetState.from_values(values)
        self.assertEqual(copy.to_values(), state.to_values())
        self.assertIs(copy.assignments["wire-1"].state, HostState.DRAINING)
