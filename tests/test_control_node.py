import random
import unittest

from magnoliapier.fleet_state import FleetState
from magnoliapier.messages import EntryReport
from magnoliapier.ownership import SENDER_PREFIX, SenderRecord, missing_consents
from magnoliapier.platform_api import Write
from tests.control_harness import Fleet
from tests.samples import sample_manifest

CENTRES = {"a": "dc-1", "b": "dc-1", "c": "dc-2", "d": "dc-2"}


class NodeTests(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(CENTRES)
        self.fleet.log.commit_manifest(FleetState(), sample_manifest(), 0)
        self.fleet.run(5)

    def drain(self, host="wire-0", epoch=2):
        body = {"host": host, "epoch": epoch, "target": "archive"}
        return self.fleet.append(("host_drain", body))[0].seq

    def missing(self, host="wire-0"):
        state = self.fleet.log.catch_up(FleetState())
        rows = self.fleet.platform.table.scan(SENDER_PREFIX)
        records = [SenderRecord.from_row(row.value) for row in rows]
        return missing_consents(state, host, records)

    def seqs(self, *names):
        return [self.fleet.hosts[name].node.state.seq for name in names or CENTRES]

    def test_all_send_everywhere_and_drains_end(self):
        """Guards against rules so strict that no host is served or drained."""
        for host in self.fleet.hosts.values():
            self.assertEqual(len(host.allowed()), 12)
        self.drain()
        self.fleet.run(6)
        self.assertEqual(self.missing(), [])
        self.assertNotIn("wire-0", self.fleet.hosts["d"].allowed())

    def test_cut_off_data_centre_converges_inside(self):
        """Guards against different seqs that persist inside a cut-off data centre."""
        self.fleet.hosts["c"].store_cut = self.fleet.hosts["d"].store_cut = True
        self.fleet.cuts = {(a, b) for a in "ab" for b in "cd"} | {
            (b, a) for a in "ab" for b in "cd" if (a, b) != ("a", "c")
        }
        self.fleet.cuts -= {("a", "c"), ("c", "a")}
        self.drain()
        self.fleet.run(3)
        self.fleet.isolate("dc-2")
        self.assertEqual(self.seqs(), [2, 2, 2, 2])
        self.fleet.run(20)
        self.fleet.hosts["d"].start_control()
        self.fleet.run(5)
        self.assertEqual(self.seqs("c", "d"), [2, 2])

    def test_cut_off_centre_keeps_its_hosts_and_serves_them(self):
        """Guards against a host that moves while its own senders cannot consent."""
        self.fleet.isolate("dc-1")
        self.drain()
        self.fleet.run(60)
        self.assertEqual(self.missing(), ["a", "b"])
        cut = self.fleet.hosts["a"].allowed()
        self.assertIn("wire-0", cut)
        self.assertEqual(len(cut), 6)
        self.assertNotIn("wire-0", self.fleet.hosts["c"].allowed())
        self.fleet.heal()
        self.fleet.run(15)
        self.assertEqual(self.missing(), [])

    def test_holder_with_request_in_flight_keeps_the_host(self):
        """Guards against moving a host that runs a request of another data centre."""
        self.fleet.hosts["c"].busy = {"wire-0"}
        self.drain()
        self.fleet.run(10)
        self.assertEqual(self.missing(), ["a", "b"])
        self.fleet.hosts["c"].busy = set()
        self.fleet.run(3)
        self.assertEqual(self.missing(), [])

    def test_restarted_entry_without_table_needs_grants(self):
        """Guards against a restarted process that uses its predecessor's record."""
        host = self.fleet.hosts["a"]
        host.store_cut = True
        host.start_entry()
        self.fleet.run(0.5)
        self.assertFalse(host.eligible)
        self.fleet.run(4)
        self.assertFalse(host.eligible)
        self.assertIn("wire-0", host.allowed())
        self.fleet.hosts["b"].paused = True
        self.fleet.run(4)
        self.assertNotIn("wire-0", host.allowed())

    def test_leaving_host_gets_no_work_within_three_seconds(self):
        """Guards against a leaving host that other entry processes do not learn of."""
        self.fleet.hosts["a"].leaving = ["wire-1"]
        self.fleet.run(3)
        for host in self.fleet.hosts.values():
            self.assertNotIn("wire-1", host.allowed())

    def test_paused_sender_registers_again(self):
        """Guards against sends after a pause in which the record may be gone."""
        host = self.fleet.hosts["a"]
        host.paused = True
        self.fleet.run(25)
        host.paused = False
        host.store_cut = True
        self.fleet.run(1)
        self.assertFalse(host.eligible)
        host.store_cut = False
        self.fleet.run(2)
        self.assertTrue(host.eligible)

    def test_adopted_entry_process_stays_eligible_and_consents(self):
        """Guards against hosts that cannot move while one control process is down."""
        lost, adopter = self.fleet.hosts["a"], self.fleet.hosts["b"].node
        lost.paused = True
        busy = ["wire-0"]

        def report():
            seq = adopter.state.seq
            adopter.on_report(EntryReport("a", lost.incarnation, seq, busy_hosts=busy))

        self.fleet.run(2, report)
        self.assertTrue(adopter.is_eligible("a"))
        self.drain()
        self.fleet.run(8, report)
        self.assertIn("a", self.missing())
        busy.clear()
        self.fleet.run(2, report)
        self.assertEqual(self.missing(), [])

    def remove_sender(self, name):
        """Remove the record of a sender, as an operator's forget does."""
        key = SENDER_PREFIX + name
        row = self.fleet.platform.table.read([key])[key]
        body = {"name": name, "incarnation": row.value["incarnation"]}
        state = self.fleet.log.catch_up(FleetState())
        delete = Write(row.key, None, row.version)
        self.fleet.log.append(state, [("sender_removed", body)], writes=[delete])

    def test_removal_that_came_with_a_snapshot_is_not_missed(self):
        """Guards against a removed sender that goes on sending without the table."""
        host = self.fleet.hosts["a"]
        host.store_cut = True
        host.node._follower.entries_after = lambda first, last=None: None
        self.assertTrue(host.eligible)
        self.remove_sender("a")
        self.fleet.run(2)
        self.assertFalse(host.eligible)

    def test_removed_sender_no_longer_counts(self):
        """Guards against a dead entry host whose missing consent blocks every drain."""
        self.fleet.hosts["b"].paused = True
        self.drain()
        self.fleet.run(40)
        self.assertIn("b", self.missing())
        self.remove_sender("b")
        self.fleet.run(3)
        self.assertEqual(self.missing(), [])


class RestartTests(unittest.TestCase):
    """Guards against a process that returns to an older seq."""

    def setUp(self):
        self.fleet = Fleet(CENTRES)
        self.fleet.log.commit_manifest(FleetState(), sample_manifest(), 0)
        self.fleet.run(3)

    def test_all_control_processes_restart_at_once(self):
        self.fleet.append(("cancel", {"name": "x", "what": "job"}))
        self.fleet.run(3)
        for host in self.fleet.hosts.values():
            host.start_control()
            host.start_entry()
        self.fleet.run(4)
        self.assertEqual({h.node.state.seq for h in self.fleet.hosts.values()}, {2})

    def test_restart_without_table_takes_the_highest_seq(self):
        host = self.fleet.hosts["a"]
        self.fleet.append(("cancel", {"name": "x", "what": "job"}))
        self.fleet.run(3)
        self.assertEqual(host.node.state.seq, 2)
        host.start_control()
        host.store_cut = True
        seen = set()
        self.fleet.run(6, lambda: seen.add(host.node.state.seq))
        self.assertEqual(seen, {0, 2})

    def test_emptied_table_changes_nothing(self):
        """Guards against a fleet that is reset when the platform loses its data."""
        table = self.fleet.platform.table
        table.transact([Write(row.key, None) for row in table.scan("log/")])
        self.fleet.hosts["a"].start_control()
        self.fleet.run(5)
        self.assertEqual({h.node.state.seq for h in self.fleet.hosts.values()}, {1})


class RandomFaultTests(unittest.TestCase):
    """
    Guards against a host used for two pools under any mix of faults.

    Drains, assignments, requests in flight, cuts, pauses and restarts follow a
    seeded sequence; after each step all senders are compared.
    """

    def check(self):
        users = {}
        for host in self.fleet.hosts.values():
            for name, pool in host.pools_in_use():
                users.setdefault(name, {}).setdefault(pool, []).append(host.name)
        for name, pools in users.items():
            self.assertEqual(len(pools), 1, f"{name}: {pools} seed {self.seed}")

    def drain_or_assign(self):
        rows = self.fleet.platform.table.scan(SENDER_PREFIX)
        state = self.fleet.log.catch_up(FleetState())
        records = [SenderRecord.from_row(row.value) for row in rows]
        name = self.rng.choice(sorted(state.assignments))
        assignment = state.assignments[name]
        body = {"host": name, "epoch": assignment.epoch + 1}
        if assignment.takes_work:
            target = "archive" if assignment.pool == "wire" else "wire"
            self.fleet.append(("host_drain", {**body, "target": target}))
        elif not missing_consents(state, name, records):
            self.fleet.append(("host_assign", {**body, "pool": assignment.target}))
            self.moves += 1

    def inject_fault(self):
        host = self.rng.choice(list(self.fleet.hosts.values()))
        action = self.rng.randrange(10)
        if action == 0:
            self.fleet.isolate(self.rng.choice(["dc-1", "dc-2"]))
        elif action == 1:
            self.fleet.cuts.add(tuple(self.rng.sample(sorted(CENTRES), 2)))
        elif action == 2:
            host.paused = not host.paused
        elif action == 3:
            host.start_control()
        elif action == 4:
            host.start_entry()
        elif action == 5:
            self.fleet.platform.faults.lose_answers = 1
        elif action == 6:
            host.control_down = True
        else:
            self.fleet.heal()

    def use_hosts(self):
        for host in self.fleet.hosts.values():
            if host.paused:
                continue
            host.busy -= {h for h in sorted(host.busy) if self.rng.random() < 0.3}
            allowed = sorted(host.allowed())
            if allowed:
                host.busy.add(self.rng.choice(allowed))

    def test_host_belongs_to_one_pool(self):
        moves = 0
        for self.seed in range(10):
            self.rng = random.Random(self.seed)
            self.moves = 0
            self.fleet = Fleet(CENTRES)
            self.fleet.log.commit_manifest(FleetState(), sample_manifest(), 0)
            self.fleet.run(3)
            for turn in range(120):
                if turn % 12 == 0:
                    self.inject_fault()
                self.drain_or_assign()
                self.use_hosts()
                self.fleet.run(0.5, self.check)
            moves += self.moves
        self.assertGreater(moves, 20)
