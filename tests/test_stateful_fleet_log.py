import json

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from magnoliapier.clock import VirtualClock
from magnoliapier.exceptions import (
    ConflictError,
    ManifestConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.fleet_log import FleetLog, LogFollower, fold
from magnoliapier.fleet_state import FleetState
from magnoliapier.memory_platform import MemoryPlatform
from magnoliapier.platform_api import Platform
from tests.hostile_table import STATEFUL_SETTINGS, FaultyTable, outcome_scripts
from tests.samples import sample_manifest

WRITERS = st.integers(0, 1)
ENTRY_KEYS = ("log/0", "log/1")


class FleetLogMachine(RuleBasedStateMachine):
    """
    Two operators commit and cancel, two control processes follow.

    Guards against an accepted commit that is lost or written twice, a refused commit
    that takes effect, and a follower whose state reverts or differs from the log
    (rules M1 to M3 of specifications.manifest).
    """

    def __init__(self):
        super().__init__()
        self.clock = VirtualClock()
        platform = MemoryPlatform(self.clock)
        self.table = FaultyTable(platform.table)
        self.platform = Platform(
            self.table, platform.objects, platform.hosts, platform.tasks
        )
        self.logs = [FleetLog(self.platform, self.clock, f"op-{n}") for n in range(2)]
        self.states = [FleetState(), FleetState()]
        self.followers = [LogFollower(self.clock), LogFollower(self.clock)]
        self.highest = [0, 0]
        self.accepted, self.refused = set(), set()
        self.count = 0

    def written_ids(self):
        return [
            write.value["id"]
            for writes in self.table.applied
            for write in writes
            if write.value and write.key.startswith(ENTRY_KEYS)
        ]

    def attempt(self, name, call):
        """Record the result that the caller of an append gets."""
        try:
            result = call()
        except (ConflictError, ManifestConflictError, StoreUnavailableError):
            self.refused.add(name)
        except StoreOutcomeUnknownError:
            pass
        else:
            self.accepted.add(name)
            return result
        finally:
            self.table.script.clear()
        return None

    @rule(writer=WRITERS, script=outcome_scripts)
    def commit(self, writer, script):
        self.count += 1
        name = f"commit-{self.count}"
        values = sample_manifest()
        values["organisations"][f"org-{self.count}"] = {}
        state = self.states[writer]
        self.table.script.extend(script)
        result = self.attempt(
            name,
            lambda: self.logs[writer].commit_manifest(
                state, values, state.manifest_version, commit_id=name
            ),
        )
        if result:
            self.states[writer] = result[0]

    @rule(writer=WRITERS, script=outcome_scripts)
    def cancel(self, writer, script):
        self.count += 1
        name = f"cancel-{self.count}"
        state = self.states[writer]
        items = [("cancel", {"name": name, "what": "job"})]
        self.table.script.extend(script)
        entries = self.attempt(
            name,
            lambda: self.logs[writer].append(state, items, entry_ids=[name]),
        )
        if entries:
            self.states[writer] = fold(state, entries)

    @rule(writer=WRITERS)
    def read(self, writer):
        self.states[writer] = self.logs[writer].catch_up(self.states[writer])

    @precondition(lambda self: self.table.late)
    @rule(index=st.integers(0, 5))
    def land(self, index):
        self.table.apply_late(index)

    @rule(index=WRITERS)
    def follow(self, index):
        read = self.logs[index].read_after(self.followers[index].staged_seq)
        if read.snapshot:
            self.followers[index].offer_state(read.snapshot)
        self.followers[index].offer_entries(read.entries)

    @rule(index=WRITERS, hears=st.booleans(), seconds=st.sampled_from([0.1, 0.6]))
    def activate(self, index, hears, seconds):
        self.clock.advance(seconds)
        peer = self.followers[1 - index].staged_seq if hears else None
        self.followers[index].activate(peer)

    @rule(index=WRITERS)
    def pull(self, index):
        source, target = self.followers[1 - index], self.followers[index]
        entries = source.entries_after(target.staged_seq)
        if entries is None:
            target.offer_state(source.state)
        else:
            target.offer_entries(entries)

    @invariant()
    def accepted_entries_are_written_once(self):
        written = self.written_ids()
        assert len(written) == len(set(written)), written
        assert self.accepted <= set(written), self.accepted - set(written)

    @invariant()
    def refused_entries_are_not_written(self):
        assert not self.refused & set(self.written_ids())

    @invariant()
    def followers_never_go_back(self):
        for index, follower in enumerate(self.followers):
            assert follower.state.seq >= self.highest[index]
            assert follower.state.seq <= follower.staged_seq
            self.highest[index] = follower.state.seq

    def teardown(self):
        self.table.script.clear()
        head = self.logs[0].catch_up(FleetState())
        for follower in self.followers:
            entries = self.logs[0].read_after(0).entries[: follower.state.seq]
            expected = fold(FleetState(), entries).to_values()
            assert json.dumps(follower.state.to_values()) == json.dumps(expected)
            assert follower.staged_seq <= head.seq


class FleetLogStatefulTests(FleetLogMachine.TestCase):
    settings = STATEFUL_SETTINGS
