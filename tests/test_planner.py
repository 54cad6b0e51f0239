import unittest

from magnoliapier.clock import VirtualClock
from magnoliapier.fleet_state import FleetState, HostState, LogEntry
from magnoliapier.memory_platform import MemoryPlatform
from magnoliapier.planner import Planner, PlannerInputs, SenderRow
from magnoliapier.platform_api import HostStatus, ListedHost
from tests.samples import sample_state


def list_hosts(state, boots=0):
    return [
        ListedHost(name, HostStatus.LIVE, host.address, boots)
        for name, host in sorted(state.manifest.hosts.items())
    ]


def apply_all(state, entries):
    for kind, body in entries:
        state.apply(LogEntry(state.seq + 1, kind, body, "id", "planner", 0.0, 1))


def make_inputs(state, senders=(), demand=None, now=0.0):
    rows = [SenderRow(*row) for row in senders]
    return PlannerInputs(state, demand or {}, rows, list_hosts(state), 1, now)


class PlannerTests(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.platform = MemoryPlatform(self.clock)
        self.planner = Planner(self.clock, self.platform)
        self.state = sample_state()

    def drain(self, host="spare-0", target="wire"):
        body = {"host": host, "epoch": 2, "target": target, "reason": "test"}
        apply_all(self.state, [("host_drain", body)])

    def test_no_manifest_is_explained(self):
        inputs = PlannerInputs(FleetState(), {}, [], [], 1, 0.0)
        output = self.planner.tick(inputs)
        self.assertEqual(output.entries, [])
        self.assertIn("commit", output.notes[0].reason)

    def test_move_waits_for_consent_of_own_data_centre(self):
        """Guards against a host that senders use for two pools at once."""
        self.drain()
        seq = self.state.seq
        waiting = (
            [("e1", "dc-1", seq - 1, frozenset())],
            [("e1", "dc-1", seq, frozenset({"spare-0"}))],
            [("e1", "dc-1", seq, frozenset()), ("e2", "dc-1", 0, frozenset())],
            [("e9", "dc-2", seq, frozenset())],
        )
        for senders in waiting:
            output = self.planner.tick(make_inputs(self.state, senders))
            kinds = [kind for kind, body in output.entries if body["host"] == "spare-0"]
            self.assertEqual(kinds, [])
            self.assertIn("host/spare-0", [note.subject for note in output.notes])

    def test_consented_move_is_assigned_by_a_new_planner(self):
        """Guards against a drain that is forgotten when the lease moves."""
        self.drain()
        senders = [
            ("e1", "dc-1", self.state.seq, frozenset()),
            ("e2", "dc-2", 0, frozenset({"spare-0"})),
        ]
        planner = Planner(self.clock, self.platform)
        apply_all(self.state, planner.tick(make_inputs(self.state, senders)).entries)
        assignment = self.state.assignments["spare-0"]
        self.assertEqual(assignment.pool, "wire")
        self.assertIs(assignment.state, HostState.ASSIGNED)

    def test_unreadable_senders_hold_the_move(self):
        """Guards against taking missing records for consent."""
        self.drain()
        inputs = PlannerInputs(self.state, {}, None, list_hosts(self.state), 1, 0.0)
        output = self.planner.tick(inputs)
        self.assertNotIn("host_assign", [kind for kind, body in output.entries])
