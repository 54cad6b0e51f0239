import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from magnoliapier.clock import VirtualClock
from magnoliapier.exceptions import PlatformError
from magnoliapier.leases import PlannerLease
from magnoliapier.memory_platform import MemoryPlatform
from magnoliapier.platform_api import Write
from tests.hostile_table import (
    ANSWER_LOST,
    STATEFUL_SETTINGS,
    WRITE_LATE,
    FaultyTable,
    outcome_scripts,
)

PLANNERS = st.integers(0, 1)


class LeaseMachine(RuleBasedStateMachine):
    """
    Two planners with pauses, restarts, lost answers and late writes.

    Guards against a planner that writes after its lease was taken over, and against
    two planners that hold the lease at the same time (rules of specifications.lease).
    """

    def __init__(self):
        super().__init__()
        self.clock = VirtualClock()
        self.table = FaultyTable(MemoryPlatform(self.clock).table)
        self.leases = [self.start(0), self.start(1)]

    def start(self, index):
        return PlannerLease(self.table, self.clock, f"entry-{index}")

    @rule(seconds=st.sampled_from([0.5, 1.0, 4.0, 5.0, 6.0]))
    def pass_time(self, seconds):
        self.clock.advance(seconds)

    @rule(planner=PLANNERS, script=outcome_scripts)
    def tick(self, planner, script):
        self.table.script.extend(script)
        try:
            self.leases[planner].tick()
        finally:
            self.table.script.clear()

    @rule(planner=PLANNERS)
    def take_over(self, planner):
        """Let the other planner pause for as long as the takeover needs."""
        for _ in range(7):
            self.clock.advance(1.0)
            self.leases[planner].tick()

    @rule(planner=PLANNERS)
    def restart(self, planner):
        self.leases[planner] = self.start(planner)

    @rule(planner=PLANNERS, script=outcome_scripts)
    def release(self, planner, script):
        self.table.script.extend(script)
        self.leases[planner].release()
        self.table.script.clear()

    @precondition(lambda self: any(lease.held for lease in self.leases))
    @rule(script=st.sampled_from([[], [WRITE_LATE], [ANSWER_LOST]]))
    def plan(self, script):
        lease = next(lease for lease in self.leases if lease.held)
        self.table.script.extend(script)
        value = {"epoch": lease.epoch, "process": lease._process}
        try:
            self.table.transact([Write("plan", value)], [lease.check()])
        except PlatformError:
            return
        finally:
            self.table.script.clear()

    @precondition(lambda self: self.table.late)
    @rule(index=st.integers(0, 5))
    def land(self, index):
        self.table.apply_late(index)

    @invariant()
    def planner_writes_are_fenced(self):
        plans = [
            (write.value["epoch"], write.value["process"])
            for writes in self.table.applied
            for write in writes
            if write.key == "plan"
        ]
        epochs = [epoch for epoch, _ in plans]
        assert epochs == sorted(epochs), plans
        assert len(set(plans)) == len(set(epochs)), plans

    @invariant()
    def one_holder(self):
        assert sum(lease.held for lease in self.leases) <= 1


class LeaseStatefulTests(LeaseMachine.TestCase):
    settings = STATEFUL_SETTINGS


class LateWriteTests(unittest.TestCase):
    def test_late_write_of_replaced_planner_is_refused(self):
        """Guards against the mistake writes_without_fence of specifications.lease."""
        machine = LeaseMachine()
        machine.take_over(0)
        machine.plan([WRITE_LATE])
        machine.take_over(1)
        machine.plan([])
        machine.land(0)
        plans = [w for writes in machine.table.applied for w in writes]
        self.assertEqual([w.value["epoch"] for w in plans if w.key == "plan"], [2])
