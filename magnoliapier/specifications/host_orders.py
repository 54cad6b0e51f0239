"""
Specification of the fleet controller's orders to one host of the platform's fleet.

Processes compete for the fleet's lease row; each takeover adds a new holder. The
platform's interface executes every order that reaches it, compares no fencing tokens
and keeps no state. The holders alone must therefore keep their orders in sequence and a
minimum time apart. Time passes in ticks; each tick decrements every timer by one.

The rules are:

- H1. A takeover is conditional on the lease row and raises the token. A holder acts for
  ``LEASE_TTL_TICKS`` from when it sent its last confirmed renewal. Others take over
  once they have seen the same row version for that time, or at once after a release. A
  restarted process takes over at once from its killed predecessor.
- H2. Before an order is sent to a host, the host's name is committed to a record that
  is fenced by the lease row. After a lost answer the next commit rewrites the lease
  row, so that the commit whose answer was lost can no longer be applied. A successor
  reads the record after its takeover.
- H3. An order is sent only while the lease lasts longer than the order's time limit.
  This is checked when its bytes are written.
- H4. An order without an answer ends at its time limit or before. Its connection is
  then reset, so that bytes held up by a network partition never arrive. The end of a
  killed process resets its connections as well.
- H5. A successor sends an order to a recorded host only when ``ORDER_GAP_TICKS`` and
  the time limit have passed since it read the record. The record is dropped, by a
  fenced commit, only when that time has passed since the read and since the last order
  ended.
- H6. A holder that releases the lease first ends its calls and sends nothing more.

Partitions and pauses are not modelled as states: an order may arrive at any moment
until its connection is reset, and a holder that takes no step is paused. H4 is the
exception, because the reset at the time limit is assumed to come in time. The rules do
not hold for a process that is paused beyond the time limit while a partition holds up
its order (mistake ``pause_outlasts_time_limit``). No rule for the successor can prevent
that, because a partition can last for any length of time.

Not modelled: a pause between the check of H3 and the write, clocks of different rates,
several hosts or concurrent orders of one holder to the same host, orders that the
platform executes some time after they arrived, a lease row that is removed, a machine
that fails without resetting its connections, and the shorter wait of a successor that
finds the end of an order recorded on the table's clock, which may also be the takeover
of the holder before it. The rules do not depend on the content of answers to orders. At
most one commit of a holder waits for its answer at a time.
"""

from typing import NamedTuple

from magnoliapier.registry import Registry
from magnoliapier.specifications.specification import Specification, specifications

LEASE_TTL_TICKS = 3
ORDER_LIMIT_TICKS = 1
ORDER_GAP_TICKS = 2
# ORDER_GAP_TICKS alone would suffice while H3 and H6 hold. The time limit also covers
# an order that is still in transit when the lease lapses or is released.
SETTLING_TICKS = ORDER_GAP_TICKS + ORDER_LIMIT_TICKS

NO_HOLDER = -1
UNREAD, ABSENT, RECORDED = range(3)


class Row(NamedTuple):
    """
    The lease row and the record of the host, which are in one part of the table.

    ``unchanged_ticks`` counts the ticks since the version of the lease row changed.
    ``free`` marks a lease that may be taken over at once.
    """

    token: int = 0
    unchanged_ticks: int = 0
    free: bool = True
    recorded: bool = False


class Commit(NamedTuple):
    """
    A transaction that expects the current version of the lease row.

    ``recorded`` is the record's new value, or None to leave it unchanged.
    """

    renews: bool = True
    recorded: bool | None = None
    releases: bool = False


class Renewal(NamedTuple):
    """A commit that rewrites the lease row, and the ticks since it was sent."""

    recorded: bool | None = None
    age_ticks: int = 0
    applied: bool = False


class Takeover(NamedTuple):
    """A pending takeover, and the ticks since it was sent."""

    token: int
    age_ticks: int = 0


class Order(NamedTuple):
    """An order whose connection is open, and the ticks left to its time limit."""

    ticks_left: int = ORDER_LIMIT_TICKS
    arrived: bool = False


class Holder(NamedTuple):
    """
    A process's memory while it holds the lease.

    ``lease_ticks_left`` counts the ticks until the lease ends, ``settling_ticks_left``
    those until the record may be dropped. No order is sent while ``waits`` is set.
    ``unknown`` says that the answer to a commit was lost. ``stopped`` marks a holder
    that takes no further steps. ``released`` marks one whose calls continue after its
    release, which only a mistake allows.
    """

    token: int
    lease_ticks_left: int = 0
    record: int = UNREAD
    settling_ticks_left: int = 0
    waits: bool = False
    unknown: bool = False
    renewal: Renewal | None = None
    order: Order | None = None
    released: bool = False
    stopped: bool = False


class State(NamedTuple):
    """
    The rows, all holders in the order of their takeovers, and pending messages.

    ``late`` contains commits whose sender no longer waits for the answer.
    ``held_up_orders`` contains the holders of orders that may still arrive after their
    connection was closed. ``last_sender`` is the holder whose order arrived last and
    ``since`` the number of ticks since then. ``token_decreased`` is set if an order
    arrives with a lower token than the previous one, ``gap_violated`` if it arrives too
    soon after another holder's order.
    """

    row: Row = Row()
    holders: tuple = ()
    takeovers: tuple = ()
    late: tuple = ()
    held_up_orders: tuple = ()
    last_sender: int = NO_HOLDER
    since: int = ORDER_GAP_TICKS
    token_decreased: bool = False
    gap_violated: bool = False


@specifications.register("host_orders")
class HostOrdersSpecification(Specification):
    """The rules H1 to H6."""

    name = "host_orders"
    initial = State()
    mistakes = Registry("host orders mistake")
    scenarios = {
        "racing takeovers": {"holders": 2, "takeovers": 2, "late": 1},
        "late commits": {"holders": 2, "takeovers": 1, "late": 2},
        "three holders": {"holders": 3, "takeovers": 1, "late": 1},
    }

    def invariants(self):
        """Return the safety properties."""
        return {
            "no_lower_token_after_a_higher": lambda state: not state.token_decreased,
            "holders_keep_the_gap": lambda state: not state.gap_violated,
            "tokens_are_unique": tokens_are_unique,
        }

    def witnesses(self):
        """Return the states that must be reachable."""
        return {
            "last_holder_orders": lambda state: (
                state.last_sender == self.bounds["holders"] - 1
            ),
            "successor_waits": lambda state: any(
                holder.waits and self.lease_lasts(holder) for holder in state.holders
            ),
            "successor_orders_next": lambda state: any(
                holder.order and index > state.last_sender > NO_HOLDER
                for index, holder in enumerate(state.holders)
            ),
            "arrives_at_its_time_limit": lambda state: any(
                holder.order == Order(0, True) for holder in state.holders
            ),
            "record_is_dropped": lambda state: (
                state.last_sender == 0 and not state.row.recorded
            ),
        }

    def takeover_token(self, row):
        """Return the token of a takeover (H1)."""
        return row.token + 1

    def takeover_is_conditional(self):
        """Return whether a takeover fails if the lease row has changed (H1)."""
        return True

    def lease_ticks_after(self, age_ticks):
        """Return the ticks left of a lease renewed ``age_ticks`` ago (H1)."""
        return LEASE_TTL_TICKS - age_ticks

    def is_recorded(self, holder):
        """Return whether the record allows an order (H2)."""
        return holder.record == RECORDED

    def renews(self, holder):
        """Return whether a commit rewrites the lease row (H2)."""
        return holder.unknown

    def lease_lasts(self, holder):
        """Return whether the lease allows an order (H3)."""
        return holder.lease_ticks_left > ORDER_LIMIT_TICKS

    def orders_end_in_time(self):
        """Return whether orders end at their time limit (H4)."""
        return True

    def close_delivers_order(self):
        """Return whether an order may arrive after its connection was closed (H4)."""
        return False

    def kill_delivers_order(self):
        """Return whether an order may arrive after its process was killed (H4)."""
        return False

    def waits(self):
        """Return whether a successor waits before an order to a recorded host (H5)."""
        return True

    def settling_ticks(self):
        """Return the ticks from an order's end until its record may be dropped (H5)."""
        return SETTLING_TICKS

    def ends_calls_before_release(self):
        """Return whether a holder ends its calls before it releases the lease (H6)."""
        return True

    def successors(self, state):
        """Yield the steps of time, holders, store and network."""
        yield from self._tick(state)
        yield from self._request_takeover(state)
        for takeover in set(state.takeovers):
            yield self._apply_takeover(state, takeover)
        for commit in set(state.late):
            rest = state._replace(late=without(state.late, commit))
            yield "a late commit applies", self._after_commit(rest, commit)
        for index in set(state.held_up_orders):
            rest = state._replace(held_up_orders=without(state.held_up_orders, index))
            yield f"a held-up order of h{index} arrives", after_order_arrival(
                rest, index
            )
        for index, holder in enumerate(state.holders):
            if not holder.stopped:
                yield from self._commit_steps(state, index, holder)
                yield from self._order_steps(state, index, holder)
                yield from self._stop_steps(state, index, holder)

    def _tick(self, state):
        """Yield the next tick, unless an order has reached its time limit."""
        if self.orders_end_in_time() and any(
            holder.order and holder.order.ticks_left == 0 for holder in state.holders
        ):
            return
        row = state.row._replace(
            unchanged_ticks=min(LEASE_TTL_TICKS, state.row.unchanged_ticks + 1)
        )
        takeovers = tuple(
            takeover._replace(age_ticks=min(LEASE_TTL_TICKS, takeover.age_ticks + 1))
            for takeover in state.takeovers
        )
        after = state._replace(
            row=row,
            holders=tuple(holder_after_tick(holder) for holder in state.holders),
            takeovers=tuple(sorted(takeovers)),
            since=min(ORDER_GAP_TICKS, state.since + 1),
        )
        yield "a tick passes", self._without_idle_holders(after)

    def _request_takeover(self, state):
        row = state.row
        may_request = (
            len(state.holders) < self.bounds["holders"]
            and len(state.takeovers) < self.bounds["takeovers"]
        )
        if may_request and (row.free or row.unchanged_ticks >= LEASE_TTL_TICKS):
            takeover = Takeover(self.takeover_token(row))
            takeovers = tuple(sorted((*state.takeovers, takeover)))
            yield "a takeover is sent", state._replace(takeovers=takeovers)

    def _apply_takeover(self, state, takeover):
        rest = without(state.takeovers, takeover)
        state = self._after_lease_write(state._replace(takeovers=rest))
        holder = Holder(
            takeover.token, renewal=Renewal(age_ticks=takeover.age_ticks, applied=True)
        )
        after = state._replace(
            row=state.row._replace(token=takeover.token, free=False),
            holders=(*state.holders, holder),
        )
        label = f"h{len(state.holders)} takes over"
        return label, self._without_idle_holders(after)

    def _after_lease_write(self, state):
        """Return the state after a lease row write, which discards pending commits."""
        holders = tuple(
            (
                holder._replace(renewal=None)
                if holder.renewal and not holder.renewal.applied
                else holder
            )
            for holder in state.holders
        )
        return state._replace(
            row=state.row._replace(unchanged_ticks=0),
            holders=holders,
            takeovers=() if self.takeover_is_conditional() else state.takeovers,
            late=(),
        )

    def _after_commit(self, state, commit):
        """Return the state after the store applied a commit."""
        if commit.renews:
            state = self._after_lease_write(state)
        row = state.row
        if commit.recorded is not None:
            row = row._replace(recorded=commit.recorded)
        return state._replace(row=row._replace(free=row.free or commit.releases))

    def _commit_steps(self, state, index, holder):
        if holder.renewal:
            yield from self._renewal_steps(state, index, holder)
            return
        if holder.released or index != len(state.holders) - 1:
            return
        if holder.record == UNREAD:
            yield f"h{index} reads the record", self._after_record_read(
                state, index, holder
            )
        else:
            yield from self._commit_record(state, index, holder)
        renewal = Renewal()
        yield f"h{index} sends a renewal", replace_holder(
            state, index, holder._replace(renewal=renewal)
        )

    def _after_record_read(self, state, index, holder):
        if not state.row.recorded:
            return replace_holder(state, index, holder._replace(record=ABSENT))
        found = holder._replace(
            record=RECORDED, settling_ticks_left=SETTLING_TICKS, waits=self.waits()
        )
        return replace_holder(state, index, found)

    def _commit_record(self, state, index, holder):
        if holder.record == ABSENT:
            recorded = True
        elif holder.settling_ticks_left == 0 and holder.order is None:
            recorded = False
            holder = holder._replace(record=ABSENT)
        else:
            return
        verb = "records" if recorded else "drops"
        if self.renews(holder):
            sent = holder._replace(renewal=Renewal(recorded))
            yield f"h{index} {verb} the host and renews", replace_holder(
                state, index, sent
            )
            return
        commit = Commit(renews=False, recorded=recorded)
        stored = holder._replace(record=RECORDED if recorded else ABSENT)
        after = replace_holder(self._after_commit(state, commit), index, stored)
        yield f"h{index} {verb} the host", after
        unanswered = replace_holder(state, index, holder._replace(unknown=True))
        for after in self._with_late_commit(unanswered, commit):
            yield f"h{index} {verb} the host, the commit is late", after

    def _renewal_steps(self, state, index, holder):
        renewal = holder.renewal
        commit = Commit(recorded=renewal.recorded)
        given_up = replace_holder(
            state, index, holder._replace(renewal=None, unknown=True)
        )
        if not renewal.applied:
            yield f"a renewal of h{index} applies", replace_holder(
                self._after_commit(state, commit),
                index,
                holder._replace(renewal=renewal._replace(applied=True)),
            )
            for after in self._with_late_commit(given_up, commit):
                yield f"h{index} stops waiting for its renewal", after
            return
        yield f"h{index} stops waiting for its renewal", given_up
        renewed = holder._replace(
            lease_ticks_left=max(
                holder.lease_ticks_left, self.lease_ticks_after(renewal.age_ticks)
            ),
            unknown=False,
            renewal=None,
        )
        if renewal.recorded is not None:
            record = RECORDED if renewal.recorded else ABSENT
            renewed = renewed._replace(record=record)
        yield f"h{index} has its renewal's answer", replace_holder(
            state, index, renewed
        )

    def _with_late_commit(self, state, commit):
        """Yield the state in which the commit may be applied at any later moment."""
        if len(state.late) < self.bounds["late"]:
            late = tuple(sorted((*state.late, commit), key=repr))
            yield state._replace(late=late)

    def _order_steps(self, state, index, holder):
        order = holder.order
        if order is None:
            may_order = holder.record != UNREAD and not holder.waits
            if may_order and self.is_recorded(holder) and self.lease_lasts(holder):
                yield f"h{index} sends an order", replace_holder(
                    state, index, holder._replace(order=Order())
                )
            return
        ended = replace_holder(state, index, self._after_order_end(holder))
        if order.arrived:
            yield f"h{index} has its order's answer", ended
            return
        reached = holder._replace(order=order._replace(arrived=True))
        yield f"the order of h{index} arrives", replace_holder(
            after_order_arrival(state, index), index, reached
        )
        yield f"h{index} ends its order", self._after_close(
            ended, index, holder, self.close_delivers_order()
        )

    def _after_order_end(self, holder):
        return holder._replace(order=None, settling_ticks_left=self.settling_ticks())

    def _after_close(self, state, index, holder, delivers):
        """Return the state after a connection was closed or reset."""
        if delivers and holder.order and not holder.order.arrived:
            held_up_orders = tuple(sorted((*state.held_up_orders, index)))
            state = state._replace(held_up_orders=held_up_orders)
        return state

    def _stop_steps(self, state, index, holder):
        """Yield the release of the lease by the holder, and its kill."""
        stopped = replace_holder(state, index, Holder(holder.token, stopped=True))
        is_current = index == len(state.holders) - 1
        if is_current and holder.renewal is None and not holder.released:
            released = replace_holder(state, index, holder._replace(released=True))
            if self.ends_calls_before_release():
                released = self._after_close(
                    stopped, index, holder, self.close_delivers_order()
                )
            for after in self._with_late_commit(released, Commit(releases=True)):
                yield f"h{index} sends its release", after
        killed = self._after_close(stopped, index, holder, self.kill_delivers_order())
        if is_current:
            killed = killed._replace(row=killed.row._replace(free=True))
        if holder.renewal is None or holder.renewal.applied:
            yield f"h{index} is killed", killed
        else:
            commit = Commit(recorded=holder.renewal.recorded)
            for after in self._with_late_commit(killed, commit):
                yield f"h{index} is killed", after

    def _without_idle_holders(self, state):
        """Return the state in which idle former holders are stopped."""
        former = tuple(
            Holder(holder.token, stopped=True) if self._is_idle(holder) else holder
            for holder in state.holders[:-1]
        )
        return state._replace(holders=former + state.holders[-1:])

    def _is_idle(self, holder):
        renewal = holder.renewal
        if renewal and renewal.age_ticks < LEASE_TTL_TICKS:
            return False
        return holder.order is None and not self.lease_lasts(holder)


def tokens_are_unique(state):
    """Return whether no two holders share a token."""
    tokens = [holder.token for holder in state.holders]
    return len(set(tokens)) == len(tokens)


def holder_after_tick(holder):
    """Return a holder's memory one tick later."""
    renewal, order = holder.renewal, holder.order
    settling_ticks_left = max(0, holder.settling_ticks_left - 1)
    return holder._replace(
        lease_ticks_left=max(0, holder.lease_ticks_left - 1),
        settling_ticks_left=settling_ticks_left,
        waits=holder.waits and settling_ticks_left > 0,
        renewal=renewal
        and renewal._replace(age_ticks=min(LEASE_TTL_TICKS, renewal.age_ticks + 1)),
        order=order and order._replace(ticks_left=max(0, order.ticks_left - 1)),
    )


def after_order_arrival(state, index):
    """Return the state after an order of holder ``index`` reached the host."""
    sender_changed = state.last_sender not in (NO_HOLDER, index)
    token_decreased = sender_changed and (
        state.holders[index].token < state.holders[state.last_sender].token
    )
    return state._replace(
        last_sender=index,
        since=0,
        token_decreased=state.token_decreased or token_decreased,
        gap_violated=state.gap_violated
        or (sender_changed and state.since < ORDER_GAP_TICKS),
    )


def replace_holder(state, index, holder):
    """Return the state with one holder's memory replaced."""
    holders = list(state.holders)
    holders[index] = holder
    return state._replace(holders=tuple(holders))


def without(items, item):
    """Return the items without one that equals ``item``."""
    rest = list(items)
    rest.remove(item)
    return tuple(rest)


@HostOrdersSpecification.mistakes.register("restarts_token")
class RestartsToken(HostOrdersSpecification):
    """Drops H1: a takeover that cannot read the lease row begins at token 1."""

    def takeover_token(self, row):
        """Treat the row as absent."""
        return 1


@HostOrdersSpecification.mistakes.register("unconditional_takeover")
class UnconditionalTakeover(HostOrdersSpecification):
    """Drops H1: two takeovers of one row version both succeed."""

    def takeover_is_conditional(self):
        """Accept every takeover."""
        return False


@HostOrdersSpecification.mistakes.register("times_lease_from_answer")
class TimesLeaseFromAnswer(HostOrdersSpecification):
    """Drops H1: a lease whose renewal was answered late outlasts a takeover."""

    def lease_ticks_after(self, age_ticks):
        """Count from the answer."""
        return LEASE_TTL_TICKS


@HostOrdersSpecification.mistakes.register("orders_before_record")
class OrdersBeforeRecord(HostOrdersSpecification):
    """Drops H2: a successor does not know of the order."""

    def is_recorded(self, holder):
        """Send an order whether or not the host is recorded."""
        return True


@HostOrdersSpecification.mistakes.register("repeats_without_renewal")
class RepeatsWithoutRenewal(HostOrdersSpecification):
    """Drops H2: a drop whose answer was lost is applied after the host is recorded."""

    def renews(self, holder):
        """Never rewrite the lease row with the record."""
        return False


@HostOrdersSpecification.mistakes.register("orders_without_lease_check")
class OrdersWithoutLeaseCheck(HostOrdersSpecification):
    """Drops H3: a former holder sends an order after its successor did."""

    def lease_lasts(self, holder):
        """Send orders after the lease has ended too."""
        return True


@HostOrdersSpecification.mistakes.register("close_delivers_held_up_order")
class CloseDeliversHeldUpOrder(HostOrdersSpecification):
    """Drops H4: a graceful close lets held-up bytes arrive after the partition."""

    def close_delivers_order(self):
        """Deliver what was written."""
        return True


@HostOrdersSpecification.mistakes.register("kill_delivers_held_up_order")
class KillDeliversHeldUpOrder(HostOrdersSpecification):
    """Drops H4: the kernel closes a killed process's connections gracefully."""

    def kill_delivers_order(self):
        """Deliver what was written."""
        return True


@HostOrdersSpecification.mistakes.register("pause_outlasts_time_limit")
class PauseOutlastsTimeLimit(HostOrdersSpecification):
    """Drops H4: a paused process does not reset the connection of its order."""

    def orders_end_in_time(self):
        """Let time pass beyond the limit."""
        return False


@HostOrdersSpecification.mistakes.register("orders_recorded_host_at_once")
class OrdersRecordedHostAtOnce(HostOrdersSpecification):
    """Drops H5: a successor sends an order right after one of a former holder."""

    def waits(self):
        """Send an order as soon as the record is read."""
        return False


@HostOrdersSpecification.mistakes.register("drops_record_early")
class DropsRecordEarly(HostOrdersSpecification):
    """Drops H5: a successor finds no record of an order that just ended."""

    def settling_ticks(self):
        """Drop the record as soon as the order has ended."""
        return 0


@HostOrdersSpecification.mistakes.register("releases_before_calls_end")
class ReleasesBeforeCallsEnd(HostOrdersSpecification):
    """Drops H6: an order is written after the lease was released."""

    def ends_calls_before_release(self):
        """Continue with the calls that wait to be sent."""
        return False
