"""
Specification of the planner's lease with its fencing epoch.

Two planners compete for one row. Any request may arrive after its sender has stopped
waiting for the answer, and any answer may be lost. Pauses are not modelled as a state:
a planner that takes no step for a while is paused. The 5 s that a contender waits are
not modelled either, because safety must not depend on them.

The rules are:

- L1. A takeover is conditional on the row as read and increments the epoch.
- L2. A renewal is conditional on the version of the holder's last write.
- L3. Every planner write checks that version of the lease row.
- L4. After a lost answer the row is read back; the planner holds the lease only if
  the row holds its own write.
- L5. A restarted planner never resumes an epoch, even if the row names it.
"""

from typing import NamedTuple

from magnoliapier.registry import Registry
from magnoliapier.specifications.specification import Specification, specifications

IDLE, TAKING, HOLDING, RENEWING = range(4)
TAKE, RENEW, WRITE = "take", "renew", "write"


class Row(NamedTuple):
    """The lease row. ``owner`` is the (planner, incarnation) that took the epoch."""

    owner: tuple = (-1, 0)
    epoch: int = 0
    version: int = 0


class Planner(NamedTuple):
    """
    A planner's memory.

    ``epoch`` and ``version`` are those of its own last write of the lease row.
    """

    incarnation: int = 1
    mode: int = IDLE
    epoch: int = 0
    version: int = 0


class Request(NamedTuple):
    """A request in transit to the table; ``version`` is the row version it expects."""

    kind: str
    owner: tuple
    epoch: int
    version: int


class State(NamedTuple):
    """
    The row, both planners and the requests in transit.

    ``last_write`` is (epoch, owner) of the last accepted planner write and
    ``broken`` is set by a write that fencing should have refused.
    """

    row: Row = Row()
    planners: tuple = (Planner(), Planner())
    requests: tuple = ()
    last_write: tuple = (0, (-1, 0))
    broken: bool = False


@specifications.register("lease")
class LeaseSpecification(Specification):
    """The lease rules L1 to L5."""

    name = "lease"
    initial = State()
    mistakes = Registry("lease mistake")
    scenarios = {
        "two planners": {
            "planners": 2,
            "version": 3,
            "incarnations": 2,
            "requests": 2,
        }
    }

    def invariants(self):
        """Return the safety properties."""
        return {
            "writes_are_fenced": lambda state: not state.broken,
            "one_holder_for_each_epoch": self.one_holder,
        }

    def witnesses(self):
        """Return the states that must be reachable."""
        return {
            "takeover_after_write": lambda state: (
                state.last_write[0] == 1 and state.row.epoch == 2
            ),
            "both_planners_wrote": lambda state: state.last_write[0] >= 2,
        }

    @staticmethod
    def one_holder(state):
        """Return whether no two planners act under one epoch."""
        first, second = state.planners
        return not (
            first.mode >= HOLDING
            and second.mode >= HOLDING
            and first.epoch == second.epoch
        )

    def takeover_epoch(self, row):
        """Return the epoch of a takeover (L1)."""
        return row.epoch + 1

    def accepts_lease_write(self, row, request):
        """Return whether the table accepts a takeover or renewal (L1, L2)."""
        return row.version == request.version

    def accepts_planner_write(self, row, request):
        """Return whether the table accepts a planner write (L3)."""
        return row.version == request.version

    def holds_after_lost_answer(self, row, owner, planner):
        """Return whether the row read back holds the planner's own write (L4)."""
        return row.owner == owner and row.epoch == planner.epoch

    def resumes_epoch(self, row, owner):
        """Return whether a restarted planner resumes the epoch of the row (L5)."""
        return False

    def successors(self, state):
        """Yield the steps of both planners and of the table."""
        for index in range(2):
            yield from self.planner_steps(state, index)
        for position, request in enumerate(state.requests):
            rest = state.requests[:position] + state.requests[position + 1 :]
            yield f"lose {request}", state._replace(requests=rest)
            yield from self.deliver(state._replace(requests=rest), request)

    def planner_steps(self, state, index):
        """Yield the steps that planner ``index`` may take."""
        planner = state.planners[index]
        owner = (index, planner.incarnation)
        row = state.row
        can_send = len(state.requests) < self.bounds["requests"]
        if planner.mode == IDLE and can_send and row.version < self.bounds["version"]:
            epoch = self.takeover_epoch(row)
            taking = planner._replace(mode=TAKING, epoch=epoch, version=row.version + 1)
            yield f"p{index} takes over", send(
                state, index, taking, Request(TAKE, owner, epoch, row.version)
            )
        if planner.mode == HOLDING and can_send:
            write = Request(WRITE, owner, planner.epoch, planner.version)
            yield f"p{index} writes", send(state, index, planner, write)
            if planner.version < self.bounds["version"]:
                renewing = planner._replace(mode=RENEWING, version=planner.version + 1)
                renewal = write._replace(kind=RENEW)
                yield f"p{index} renews", send(state, index, renewing, renewal)
        if planner.mode in (TAKING, RENEWING):
            yield f"p{index} reads back", replace_planner(
                state, index, self.read_back(row, owner, planner)
            )
        if planner.mode == HOLDING and row.epoch != planner.epoch:
            yield f"p{index} sees a newer epoch", replace_planner(
                state, index, planner._replace(mode=IDLE)
            )
        if planner.incarnation < self.bounds["incarnations"]:
            started = Planner(planner.incarnation + 1)
            if self.resumes_epoch(row, owner):
                started = started._replace(
                    mode=HOLDING, epoch=row.epoch, version=row.version
                )
            yield f"p{index} restarts", replace_planner(state, index, started)

    def read_back(self, row, owner, planner):
        """Return the planner after it read the row because the answer was lost."""
        if self.holds_after_lost_answer(row, owner, planner):
            return planner._replace(mode=HOLDING, version=row.version)
        return Planner(planner.incarnation)

    def deliver(self, state, request):
        """Yield the states after ``request`` reached the table, answered or not."""
        row = state.row
        if request.kind == WRITE:
            if self.accepts_planner_write(row, request):
                yield "table accepts write", apply_planner_write(state, request)
            return
        if not self.accepts_lease_write(row, request):
            return
        new_row = Row(request.owner, request.epoch, row.version + 1)
        lost = state._replace(row=new_row)
        yield f"table accepts {request.kind}, answer lost", lost
        index, incarnation = request.owner
        planner = lost.planners[index]
        awaits_answer = (
            planner.mode in (TAKING, RENEWING) and planner.epoch == request.epoch
        )
        if awaits_answer and planner.incarnation == incarnation:
            yield f"table accepts {request.kind}", replace_planner(
                lost, index, planner._replace(mode=HOLDING, version=new_row.version)
            )


def replace_planner(state, index, planner):
    """Return the state with one planner replaced."""
    planners = list(state.planners)
    planners[index] = planner
    return state._replace(planners=tuple(planners))


def send(state, index, planner, request):
    """Return the state with ``request`` in transit and the planner replaced."""
    requests = tuple(sorted((*state.requests, request)))
    return replace_planner(state, index, planner)._replace(requests=requests)


def apply_planner_write(state, request):
    """Return the state after a planner write, setting ``broken`` if fencing failed."""
    epoch, owner = state.last_write
    out_of_order = request.epoch < epoch or (
        request.epoch == epoch and request.owner != owner
    )
    return state._replace(
        last_write=(request.epoch, request.owner),
        broken=state.broken or out_of_order or request.epoch < state.row.epoch,
    )


@LeaseSpecification.mistakes.register("writes_without_fence")
class WritesWithoutFence(LeaseSpecification):
    """Drops L3: a paused holder's write is accepted after a takeover."""

    def accepts_planner_write(self, row, request):
        """Accept every write."""
        return True


@LeaseSpecification.mistakes.register("takeover_keeps_epoch")
class TakeoverKeepsEpoch(LeaseSpecification):
    """Drops the increment of L1, so two holders share an epoch."""

    def takeover_epoch(self, row):
        """Keep the epoch once there is one."""
        return max(1, row.epoch)


@LeaseSpecification.mistakes.register("unconditional_takeover")
class UnconditionalTakeover(LeaseSpecification):
    """Drops the conditions of L1 and L2, so a delayed request overwrites the row."""

    def accepts_lease_write(self, row, request):
        """Accept every takeover and renewal."""
        return True


@LeaseSpecification.mistakes.register("unconditional_renewal")
class UnconditionalRenewal(LeaseSpecification):
    """Drops L2: a paused holder's renewal overwrites the takeover."""

    def accepts_lease_write(self, row, request):
        """Check takeovers only."""
        return request.kind == RENEW or row.version == request.version


@LeaseSpecification.mistakes.register("trusts_lost_answer")
class TrustsLostAnswer(LeaseSpecification):
    """Drops L4: a takeover whose answer was lost counts as successful."""

    def holds_after_lost_answer(self, row, owner, planner):
        """Treat a lost answer as success."""
        return True


@LeaseSpecification.mistakes.register("reads_back_epoch_only")
class ReadsBackEpochOnly(LeaseSpecification):
    """Weakens L4: a planner mistakes the other planner's takeover for its own."""

    def holds_after_lost_answer(self, row, owner, planner):
        """Compare the epoch but not the owner."""
        return row.epoch == planner.epoch


@LeaseSpecification.mistakes.register("resumes_after_restart")
class ResumesAfterRestart(LeaseSpecification):
    """Drops L5: two incarnations of one planner write under one epoch."""

    def resumes_epoch(self, row, owner):
        """Resume if the row names the planner, in any incarnation."""
        return row.owner[0] == owner[0]
