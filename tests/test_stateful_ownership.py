import random
import unittest
from types import SimpleNamespace

from hypothesis import seed, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from magnoliapier.clock import VirtualClock
from magnoliapier.control_link import FleetView
from magnoliapier.control_node import Node
from magnoliapier.control_store import LogReader, Registrar, StoreHealth
from magnoliapier.fleet_log import FleetLog
from magnoliapier.fleet_state import FleetState, HostState
from magnoliapier.memory_platform import MemoryPlatform
from magnoliapier.messages import EntryReport, PullRequest
from magnoliapier.metrics import Metrics
from magnoliapier.ownership import (
    SENDER_PREFIX,
    STALE_GAP_S,
    PauseMeter,
    SenderRecord,
    SenderTable,
    missing_consents,
)
from magnoliapier.platform_api import Platform, Write
from tests.hostile_table import ANSWER_LOST, STATEFUL_SETTINGS, WRITE_LOST, FaultyTable
from tests.hypothesis_seeds import OWNERSHIP_SEED
from tests.samples import sample_manifest

HOST = "wire-0"
CENTRES = {"a1": "dc-1", "a2": "dc-1", "b1": "dc-2"}
NAMES = st.sampled_from(sorted(CENTRES))
STEP_S = 0.5
UP, CUT, SLOW = "up", "cut", "slow"


class DirectActor:
    """Replaces the actor that owns a node; runs calls synchronously."""

    def __init__(self, node):
        self._node = node

    def ask(self, call):
        return call(self._node)

    tell = ask


class EntryHost:
    """The control process and the entry process of one host, without sockets."""

    def __init__(self, machine, name):
        self.machine = machine
        self.name = name
        self.incarnation = 0
        self.requests = []
        self.paused = False
        self.table = FaultyTable(machine.platform.table)
        self.platform = Platform(
            self.table,
            machine.platform.objects,
            machine.platform.hosts,
            machine.platform.tasks,
        )
        self.start_entry()
        self.start_control()

    def start_entry(self):
        self.incarnation += 1
        self.requests = []
        self.view = FleetView(CENTRES[self.name], self.machine.clock, Metrics())
        self.pauses = PauseMeter(self.machine.clock)
        ignore = lambda *values: None  # noqa: E731
        self.view.attach(
            SimpleNamespace(set_fleet=ignore, set_peers=ignore, mark_leaving=ignore)
        )

    def start_control(self):
        self.machine.control_starts += 1
        seeds = [
            SimpleNamespace(name=name, data_centre=centre, address=name)
            for name, centre in CENTRES.items()
        ]
        self.node = Node(
            self.machine.clock,
            self.name,
            CENTRES[self.name],
            seeds,
            random.Random(self.machine.control_starts),
            incarnation=self.machine.control_starts * 1000,
        )
        log = FleetLog(self.platform, self.machine.clock, self.name)
        owner, health = DirectActor(self.node), StoreHealth()
        self.reader = LogReader(log, owner, health)
        self.registrar = Registrar(self.table, log, owner, health)

    def sync(self):
        """Exchange a report, an update and a view, as the control link does."""
        asked = self.machine.clock.monotonic()
        self.node.on_report(
            EntryReport(
                name=self.name,
                incarnation=self.incarnation,
                applied_seq=self.view.seq,
                busy_hosts=[HOST] if self.requests else [],
            )
        )
        update = self.node.state_update(self.name, self.view.seq)
        if update:
            self.view.apply_update(update)
        view = self.node.peer_view(self.name)
        self.view.apply_view(view, asked, view.eligible)

    def tick_entry(self):
        """Do what the entry process does at each tick."""
        gap_s = self.pauses.tick()
        if gap_s > STALE_GAP_S:
            self.incarnation += 1
        self.view.refresh(gap_s)


@seed(OWNERSHIP_SEED)
class OwnershipMachine(RuleBasedStateMachine):
    """
    Three entry hosts in two data centres, and one host that moves between two pools.

    Guards against a request sent for a pool that the host does not belong to, and
    against a move that interrupts a request (rules R1 to R5 of
    specifications.ownership).
    """

    def __init__(self):
        super().__init__()
        self.clock = VirtualClock(1000.0)
        self.platform = MemoryPlatform(self.clock)
        self.control_starts = 0
        self.log = FleetLog(self.platform, self.clock, "planner")
        values = sample_manifest(hosts=1)
        self.state, _ = self.log.commit_manifest(FleetState(), values, 0)
        self.links, self.late, self.removed = {}, [], set()
        self.senders = SenderTable(self.clock)
        # The last entry host is unknown to the others when they register.
        self.entries = {}
        for name in CENTRES:
            self.entries[name] = EntryHost(self, name)
            self.run_for(4)

    def latest_state(self):
        self.state = self.log.catch_up(self.state)
        return self.state

    def run_for(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for entry in self.entries.values():
                if not entry.paused:
                    self.step(entry)
            live = [name for name, entry in self.entries.items() if not entry.paused]
            self.senders.update(self.records())
            self.senders.observe_host_list(live)
            self.remove_senders()
            self.assign()
            self.sends_are_for_the_owner()

    def step(self, entry):
        entry.tick_entry()
        actions = entry.node.tick()
        for address, heartbeat in actions.heartbeats:
            self.deliver_heartbeat(entry.name, address, heartbeat)
        entry.sync()
        entry.reader.poll()
        entry.registrar.poll()
        if actions.pull:
            self.pull(entry, *actions.pull)
        entry.sync()

    def deliver_heartbeat(self, source, target, heartbeat):
        link = self.links.get(frozenset((source, target)), UP)
        if target not in self.entries:
            return
        if link == SLOW:
            self.late.append((target, heartbeat, source))
        elif link == UP and not self.entries[target].paused:
            self.entries[target].node.on_heartbeat(heartbeat, source)

    def pull(self, entry, address, seq):
        link = self.links.get(frozenset((entry.name, address)), UP)
        if link == CUT or self.entries[address].paused:
            entry.node.on_pull_failed()
        else:
            reply = self.entries[address].node.on_pull(PullRequest(entry.name, seq))
            entry.node.on_pull_reply(reply)

    def records(self):
        rows = self.platform.table.scan(SENDER_PREFIX)
        return [SenderRecord.from_row(row.value) for row in rows]

    @rule(seconds=st.sampled_from([0.5, 1, 2, 4]))
    def run(self, seconds):
        self.run_for(seconds)

    @rule(one=NAMES, other=NAMES, link=st.sampled_from([UP, CUT, SLOW]))
    def change_link(self, one, other, link):
        self.links[frozenset((one, other))] = link

    @precondition(lambda self: self.late)
    @rule(index=st.integers(0, 20))
    def deliver_late(self, index):
        target, heartbeat, source = self.late.pop(index % len(self.late))
        if not self.entries[target].paused:
            self.entries[target].node.on_heartbeat(heartbeat, source)

    @rule(name=NAMES, away=st.booleans())
    def change_store(self, name, away):
        self.entries[name].table.unavailable = away

    @rule(name=NAMES, script=st.sampled_from([[ANSWER_LOST], [WRITE_LOST]]))
    def lose_answer(self, name, script):
        self.entries[name].table.script.extend(script)

    @rule(name=NAMES, seconds=st.sampled_from([2, 15, 25, 40]), drains=st.booleans())
    def pause(self, name, seconds, drains):
        entry = self.entries[name]
        entry.paused = True
        if drains:
            self.drain()
        self.run_for(seconds)
        entry.paused = False
        entry.tick_entry()

    @rule(name=NAMES)
    def restart_control(self, name):
        self.entries[name].start_control()

    @rule(name=NAMES)
    def restart_entry(self, name):
        self.entries[name].start_entry()

    @invariant()
    def sends_are_for_the_owner(self):
        owner = self.latest_state().assignments[HOST].pool
        for name, entry in self.entries.items():
            if not entry.paused and entry.view.allows(HOST):
                pool = entry.view.state.assignments[HOST].pool
                assert pool == owner, f"{name} would send for {pool}, not {owner}"

    @rule(name=NAMES)
    def send(self, name):
        entry = self.entries[name]
        if entry.view.allows(HOST):
            entry.requests.append(entry.view.state.assignments[HOST].pool)
            self.removed.discard(name)

    @rule(name=NAMES)
    def finish(self, name):
        if self.entries[name].requests:
            self.entries[name].requests.pop()

    @rule()
    def drain(self):
        state = self.latest_state()
        current = state.assignments[HOST]
        if current.takes_work:
            body = {"host": HOST, "epoch": current.epoch + 1, "target": "archive"}
            self.log.append(state, [("host_drain", body)])

    def assign(self):
        """Advance a drain as the planner does."""
        state = self.latest_state()
        current = state.assignments[HOST]
        if current.state is not HostState.DRAINING:
            return
        if missing_consents(state, HOST, self.records()):
            return
        for name, entry in self.entries.items():
            interrupted = current.pool in entry.requests and name not in self.removed
            assert not interrupted, f"the move interrupts a request of {name}"
        pool = "archive" if current.pool == "wire" else "wire"
        body = {"host": HOST, "epoch": current.epoch + 1, "pool": pool}
        self.log.append(state, [("host_assign", body)])

    @rule()
    def cancel(self):
        state = self.latest_state()
        current = state.assignments[HOST]
        if current.state is HostState.DRAINING:
            body = {"host": HOST, "epoch": current.epoch + 1, "pool": current.pool}
            self.log.append(state, [("host_assign", body)])

    def remove_senders(self):
        for name in self.senders.removable():
            record = self.senders.records[name]
            body = {"name": name, "incarnation": record.incarnation}
            delete = Write(record.key, None)
            self.log.append(
                self.latest_state(), [("sender_removed", body)], writes=[delete]
            )
            self.removed.add(name)


class OwnershipStatefulTests(OwnershipMachine.TestCase):
    settings = settings(STATEFUL_SETTINGS, max_examples=100, stateful_step_count=30)


class StalePauseTests(unittest.TestCase):
    def test_request_outlives_change_of_incarnation(self):
        """Guards against the shortest known move that interrupts a stale process."""
        machine = OwnershipMachine()
        machine.send("b1")
        machine.pause("b1", 25, True)
        machine.run_for(6)
        self.assertEqual(machine.latest_state().assignments[HOST].pool, "wire")
        machine.finish("b1")
        machine.run_for(6)
        self.assertEqual(machine.latest_state().assignments[HOST].pool, "archive")


class NoSenderTests(unittest.TestCase):
    def test_no_registered_sender_is_no_consent(self):
        """Guards against a move while a request runs that no sender accounts for."""
        machine = OwnershipMachine()
        machine.send("b1")
        machine.change_store("a1", True)
        machine.pause("a1", 40, False)
        machine.pause("a2", 40, True)
        self.assertEqual(machine.records()[0].name, "b1")
        self.assertEqual(machine.latest_state().assignments[HOST].pool, "wire")


class ReplacedHostTests(unittest.TestCase):
    # Listed in KNOWN-RED.txt; an unexpected success as soon as the fault is fixed.
    @unittest.expectedFailure
    def test_replaced_host_does_not_revert(self):
        """Guards against a peer that was partitioned and serves an older state (M6)."""
        machine = OwnershipMachine()
        machine.change_link("a1", "a2", CUT)
        machine.change_link("b1", "a2", CUT)
        machine.change_store("a2", True)
        body = {"name": "job-7", "what": "job"}
        machine.log.append(machine.latest_state(), [("cancel", body)])
        machine.run_for(4)
        served = machine.entries["a1"].view.seq
        self.assertEqual(served, 2)
        machine.change_store("a1", True)
        machine.change_link("a1", "b1", CUT)
        machine.change_link("a1", "a2", UP)
        machine.restart_entry("a1")
        machine.restart_control("a1")
        machine.run_for(6)
        self.assertIn(machine.entries["a1"].view.seq, (0, served))


class RepeatedPauseTests(unittest.TestCase):
    def test_pauses_in_a_row_do_not_keep_a_stale_view(self):
        """Guards against pauses that are each shorter than STALE_GAP_S but add up."""
        machine = OwnershipMachine()
        machine.pause("a2", 15, True)
        machine.sends_are_for_the_owner()
        machine.pause("a2", 15, False)
        machine.sends_are_for_the_owner()
        machine.pause("a2", 15, False)
        machine.sends_are_for_the_owner()
