"""
Specification of the fleet controller's orders to one host of the platform's fleet.

Hosts compete for the fleet's lease row; each takeover begins a new holder. The
platform's interface carries out every order that reaches it, compares no fencing
tokens and remembers nothing, so the holders alone keep their orders in sequence and
apart. Time passes in ticks, in which every timer counts down by one.

The rules are:

- H1. A takeover is conditional on the lease row and raises the token. A holder acts for
  ``TTL`` from when it sent its last confirmed renewal. Others take over once they have
  seen the same row version for ``TTL``, or at once after a release. A restarted process
  takes over at once from its killed predecessor.
- H2. Before a host is ordered, its name is committed to a record that is fenced by the
  lease row. After a lost answer the next commit rewrites the lease row, which bars the
  lost one. A successor reads the record after its takeover.
- H3. An order is sent only while the lease lasts longer than the order's time limit.
  This is checked when its bytes are written.
- H4. An order without an answer ends at its time limit or before. Its connection is
  reset then, so that bytes that a cut has held up never arrive. The end of a killed
  process resets its connections as well.
- H5. A successor orders a recorded host only when ``GAP`` and the time limit have
  passed since it read the record. The record is dropped, by a fenced commit, only when
  that time has passed since the read and since the last order ended.
- H6. A holder that releases the lease first ends its calls and sends nothing more.

A cut needs no state of its own: until its connection is reset, an order arrives at any
moment. Nor does a pause, except in H4: a holder that takes no step is paused, but the
reset at the time limit is assumed to come in time. The rules do not hold for a process
that is paused beyond the time limit while a cut holds up its order (mistake
``pause_outlasts_time_limit``); no rule of the successor can repair that, as the cut has
no longest length.

Not modelled: a pause between the check of H3 and the write, clocks of different rates,
several hosts or concurrent orders of one holder to the same host, orders that the
platform carries out after they arrived, a lease row that is removed, a machine that
fails without resetting its connections, and the shorter wait of a successor that finds
the end of an order recorded on the table's clock. Answers to orders say nothing that
the rules use. At most one commit of a holder waits for its answer at a time.
"""

from typing import NamedTuple

from magnoliapier.registry import Registry
from magnoliapier.specifications.specification import Specification, specifications

TTL = 3
TIME_LIMIT = 1
GAP = 2
# GAP alone would do while H3 and H6 hold. The time limit also covers an order that is
# still under way when the lease lapses or is released.
SETTLING_TIME = GAP + TIME_LIMIT

NOBODY = -1
UNREAD, ABSENT, RECORDED = range(3)


class Row(NamedTuple):
    """
    The lease row and the record of the host, which share a part.

    ``unchanged`` counts the ticks since its version changed. ``free`` marks a lease
    that may be taken at once.
    """

    token: int = 0
    unchanged: int = 0
    free: bool = True
    recorded: bool = False


class Commit(NamedTuple):
    """
    A transaction that expects the current version of the lease row.

    ``recorded`` is the record's new value, None if it stays.
    """

    renews: bool = True
    recorded: bool | None = None
    releases: bool = False


class Renewal(NamedTuple):
    """A commit that rewrites the lease row, and its age since it was sent."""

    recorded: bool | None = None
    age: int = 0
    applied: bool = False


class Takeover(NamedTuple):
    """A takeover under way, and its age since it was sent."""

    token: int
    age: int = 0


class Order(NamedTuple):
    """An order whose connection is open, and the ticks to its time limit."""

    left: int = TIME_LIMIT
    arrived: bool = False


class Holder(NamedTuple):
    """
    A host's memory while it holds the lease.

    ``left`` counts the ticks of the lease, ``settling`` those until the record may be
    dropped. ``waits`` bars orders until then, ``unknown`` follows a lost answer, and
    ``stopped`` marks a holder that does nothing any more. ``released`` marks one whose
    calls go on after its release, which only a mistake allows.
    """

    token: int
    left: int = 0
    record: int = UNREAD
    settling: int = 0
    waits: bool = False
    unknown: bool = False
    renewal: Renewal | None = None
    order: Order | None = None
    released: bool = False
    stopped: bool = False


class State(NamedTuple):
    """
    The rows, all holders in the order of their takeovers, and what is under way.

    ``late`` holds commits whose sender waits no more, ``strays`` the holders of orders
    that still arrive after their connection was closed. ``last`` is the holder whose
    order arrived last and ``since`` the ticks since then.
    """

    row: Row = Row()
    holders: tuple = ()
    takeovers: tuple = ()
    late: tuple = ()
    strays: tuple = ()
    last: int = NOBODY
    since: int = GAP
    lowered: bool = False
    crowded: bool = False


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
            "no_lower_token_after_a_higher": lambda state: not state.lowered,
            "holders_keep_the_gap": lambda state: not state.crowded,
            "tokens_are_unique": tokens_are_unique,
        }

    def witnesses(self):
        """Return what must be reachable."""
        return {
            "last_holder_orders": lambda state: (
                state.last == self.bounds["holders"] - 1
            ),
            "successor_waits": lambda state: any(
                holder.waits and self.lease_lasts(holder) for holder in state.holders
            ),
            "successor_orders_next": lambda state: any(
                holder.order and index > state.last > NOBODY
                for index, holder in enumerate(state.holders)
            ),
            "arrives_at_its_time_limit": lambda state: any(
                holder.order == Order(0, True) for holder in state.holders
            ),
            "record_is_dropped": lambda state: (
                state.last == 0 and not state.row.recorded
            ),
        }

    def takeover_token(self, row):
        """Return the token of a takeover (H1)."""
        return row.token + 1

    def takeover_is_barred(self):
        """Return whether a changed lease row bars a takeover under way (H1)."""
        return True

    def lease_after(self, age):
        """Return how long a lease lasts whose renewal was sent ``age`` ago (H1)."""
        return TTL - age

    def is_recorded(self, holder):
        """Return whether the record allows an order (H2)."""
        return holder.record == RECORDED

    def renews(self, holder):
        """Return whether a commit rewrites the lease row (H2)."""
        return holder.unknown

    def lease_lasts(self, holder):
        """Return whether the lease allows an order (H3)."""
        return holder.left > TIME_LIMIT

    def ends_in_time(self):
        """Return whether orders end at their time limit (H4)."""
        return True

    def close_delivers(self):
        """Return whether a closed connection still delivers its order (H4)."""
        return False

    def kill_delivers(self):
        """Return whether a killed process's orders are still delivered (H4)."""
        return False

    def waits(self):
        """Return whether a successor waits before it orders a recorded host (H5)."""
        return True

    def settling_time(self):
        """Return the ticks from an order's end until its record may go (H5)."""
        return SETTLING_TIME

    def stops_before_release(self):
        """Return whether calls are ended before the lease is released (H6)."""
        return True

    def successors(self, state):
        """Yield the steps of time, hosts, store and network."""
        yield from self._tick(state)
        yield from self._request_takeover(state)
        for takeover in set(state.takeovers):
            yield self._apply_takeover(state, takeover)
        for commit in set(state.late):
            rest = state._replace(late=without(state.late, commit))
            yield "a late commit applies", self._applied(rest, commit)
        for index in set(state.strays):
            rest = state._replace(strays=without(state.strays, index))
            yield f"a held-up order of h{index} arrives", arrived(rest, index)
        for index, holder in enumerate(state.holders):
            if not holder.stopped:
                yield from self._commits(state, index, holder)
                yield from self._orders(state, index, holder)
                yield from self._ends(state, index, holder)

    def _tick(self, state):
        """Let a tick pass, unless an order has reached its time limit."""
        if self.ends_in_time() and any(
            holder.order and holder.order.left == 0 for holder in state.holders
        ):
            return
        row = state.row._replace(unchanged=min(TTL, state.row.unchanged + 1))
        takeovers = tuple(
            takeover._replace(age=min(TTL, takeover.age + 1))
            for takeover in state.takeovers
        )
        after = state._replace(
            row=row,
            holders=tuple(aged_holder(holder) for holder in state.holders),
            takeovers=tuple(sorted(takeovers)),
            since=min(GAP, state.since + 1),
        )
        yield "a tick passes", self._without_idle_holders(after)

    def _request_takeover(self, state):
        row = state.row
        bounded = (
            len(state.holders) < self.bounds["holders"]
            and len(state.takeovers) < self.bounds["takeovers"]
        )
        if bounded and (row.free or row.unchanged >= TTL):
            takeover = Takeover(self.takeover_token(row))
            takeovers = tuple(sorted((*state.takeovers, takeover)))
            yield "a takeover is sent", state._replace(takeovers=takeovers)

    def _apply_takeover(self, state, takeover):
        rest = without(state.takeovers, takeover)
        state = self._changed_version(state._replace(takeovers=rest))
        holder = Holder(takeover.token, renewal=Renewal(age=takeover.age, applied=True))
        after = state._replace(
            row=state.row._replace(token=takeover.token, free=False),
            holders=(*state.holders, holder),
        )
        label = f"h{len(state.holders)} takes over"
        return label, self._without_idle_holders(after)

    def _changed_version(self, state):
        """Return the state after a write of the lease row, which bars older commits."""
        holders = tuple(
            (
                holder._replace(renewal=None)
                if holder.renewal and not holder.renewal.applied
                else holder
            )
            for holder in state.holders
        )
        return state._replace(
            row=state.row._replace(unchanged=0),
            holders=holders,
            takeovers=() if self.takeover_is_barred() else state.takeovers,
            late=(),
        )

    def _applied(self, state, commit):
        """Return the state after the store applied a commit."""
        if commit.renews:
            state = self._changed_version(state)
        row = state.row
        if commit.recorded is not None:
            row = row._replace(recorded=commit.recorded)
        return state._replace(row=row._replace(free=row.free or commit.releases))

    def _commits(self, state, index, holder):
        if holder.renewal:
            yield from self._answer_renewal(state, index, holder)
            return
        if holder.released or index != len(state.holders) - 1:
            return
        if holder.record == UNREAD:
            yield f"h{index} reads the record", self._read(state, index, holder)
        else:
            yield from self._commit_record(state, index, holder)
        renewal = Renewal()
        yield f"h{index} sends a renewal", put_holder(
            state, index, holder._replace(renewal=renewal)
        )

    def _read(self, state, index, holder):
        if not state.row.recorded:
            return put_holder(state, index, holder._replace(record=ABSENT))
        found = holder._replace(
            record=RECORDED, settling=SETTLING_TIME, waits=self.waits()
        )
        return put_holder(state, index, found)

    def _commit_record(self, state, index, holder):
        if holder.record == ABSENT:
            recorded = True
        elif holder.settling == 0 and holder.order is None:
            recorded = False
            holder = holder._replace(record=ABSENT)
        else:
            return
        verb = "records" if recorded else "drops"
        if self.renews(holder):
            sent = holder._replace(renewal=Renewal(recorded))
            yield f"h{index} {verb} the host and renews", put_holder(state, index, sent)
            return
        commit = Commit(renews=False, recorded=recorded)
        stored = holder._replace(record=RECORDED if recorded else ABSENT)
        after = put_holder(self._applied(state, commit), index, stored)
        yield f"h{index} {verb} the host", after
        unanswered = put_holder(state, index, holder._replace(unknown=True))
        for after in self._made_late(unanswered, commit):
            yield f"h{index} {verb} the host, which is late", after

    def _answer_renewal(self, state, index, holder):
        renewal = holder.renewal
        commit = Commit(recorded=renewal.recorded)
        given_up = put_holder(state, index, holder._replace(renewal=None, unknown=True))
        if not renewal.applied:
            yield f"a renewal of h{index} applies", put_holder(
                self._applied(state, commit),
                index,
                holder._replace(renewal=renewal._replace(applied=True)),
            )
            for after in self._made_late(given_up, commit):
                yield f"h{index} gives a renewal up", after
            return
        yield f"h{index} gives a renewal up", given_up
        renewed = holder._replace(
            left=max(holder.left, self.lease_after(renewal.age)),
            unknown=False,
            renewal=None,
        )
        if renewal.recorded is not None:
            record = RECORDED if renewal.recorded else ABSENT
            renewed = renewed._replace(record=record)
        yield f"h{index} has renewed", put_holder(state, index, renewed)

    def _made_late(self, state, commit):
        """Yield the state in which the commit may apply at any later moment."""
        if len(state.late) < self.bounds["late"]:
            late = tuple(sorted((*state.late, commit), key=repr))
            yield state._replace(late=late)

    def _orders(self, state, index, holder):
        order = holder.order
        if order is None:
            known = holder.record != UNREAD and not holder.waits
            if known and self.is_recorded(holder) and self.lease_lasts(holder):
                yield f"h{index} sends an order", put_holder(
                    state, index, holder._replace(order=Order())
                )
            return
        ended = put_holder(state, index, self._ended(holder))
        if order.arrived:
            yield f"h{index} has its order's answer", ended
            return
        reached = holder._replace(order=order._replace(arrived=True))
        yield f"the order of h{index} arrives", put_holder(
            arrived(state, index), index, reached
        )
        yield f"h{index} ends its order", self._closed(
            ended, index, holder, self.close_delivers()
        )

    def _ended(self, holder):
        return holder._replace(order=None, settling=self.settling_time())

    def _closed(self, state, index, holder, delivers):
        """Return the state after a connection was closed or reset."""
        if delivers and holder.order and not holder.order.arrived:
            strays = tuple(sorted((*state.strays, index)))
            state = state._replace(strays=strays)
        return state

    def _ends(self, state, index, holder):
        """Release the lease or be killed."""
        stopped = put_holder(state, index, Holder(holder.token, stopped=True))
        holds = index == len(state.holders) - 1
        if holds and holder.renewal is None and not holder.released:
            released = put_holder(state, index, holder._replace(released=True))
            if self.stops_before_release():
                released = self._closed(stopped, index, holder, self.close_delivers())
            for after in self._made_late(released, Commit(releases=True)):
                yield f"h{index} sends its release", after
        killed = self._closed(stopped, index, holder, self.kill_delivers())
        if holds:
            killed = killed._replace(row=killed.row._replace(free=True))
        if holder.renewal is None or holder.renewal.applied:
            yield f"h{index} is killed", killed
        else:
            commit = Commit(recorded=holder.renewal.recorded)
            for after in self._made_late(killed, commit):
                yield f"h{index} is killed", after

    def _without_idle_holders(self, state):
        """Return the state in which former holders that can do nothing are stopped."""
        former = tuple(
            Holder(holder.token, stopped=True) if self._is_idle(holder) else holder
            for holder in state.holders[:-1]
        )
        return state._replace(holders=former + state.holders[-1:])

    def _is_idle(self, holder):
        renewal = holder.renewal
        if renewal and renewal.age < TTL:
            return False
        return holder.order is None and not self.lease_lasts(holder)


def tokens_are_unique(state):
    """Return whether no two holders share a token."""
    tokens = [holder.token for holder in state.holders]
    return len(set(tokens)) == len(tokens)


def aged_holder(holder):
    """Return a holder's memory one tick later."""
    renewal, order = holder.renewal, holder.order
    settling = max(0, holder.settling - 1)
    return holder._replace(
        left=max(0, holder.left - 1),
        settling=settling,
        waits=holder.waits and settling > 0,
        renewal=renewal and renewal._replace(age=min(TTL, renewal.age + 1)),
        order=order and order._replace(left=max(0, order.left - 1)),
    )


def arrived(state, index):
    """Return the state after an order of a holder reached the host."""
    other = state.last not in (NOBODY, index)
    lowered = other and (state.holders[index].token < state.holders[state.last].token)
    return state._replace(
        last=index,
        since=0,
        lowered=state.lowered or lowered,
        crowded=state.crowded or (other and state.since < GAP),
    )


def put_holder(state, index, holder):
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
        """Take the row for absent."""
        return 1


@HostOrdersSpecification.mistakes.register("unconditional_takeover")
class UnconditionalTakeover(HostOrdersSpecification):
    """Drops H1: two takeovers of one row version both succeed."""

    def takeover_is_barred(self):
        """Apply every takeover."""
        return False


@HostOrdersSpecification.mistakes.register("times_lease_from_answer")
class TimesLeaseFromAnswer(HostOrdersSpecification):
    """Drops H1: a renewal that was answered late lasts beyond the takeover."""

    def lease_after(self, age):
        """Count from the answer."""
        return TTL


@HostOrdersSpecification.mistakes.register("orders_before_record")
class OrdersBeforeRecord(HostOrdersSpecification):
    """Drops H2: a successor does not know of the order."""

    def is_recorded(self, holder):
        """Order at once."""
        return True


@HostOrdersSpecification.mistakes.register("repeats_without_renewal")
class RepeatsWithoutRenewal(HostOrdersSpecification):
    """Drops H2: a lost drop of the record is applied after the host is recorded."""

    def renews(self, holder):
        """Never rewrite the lease row with the record."""
        return False


@HostOrdersSpecification.mistakes.register("orders_without_lease_check")
class OrdersWithoutLeaseCheck(HostOrdersSpecification):
    """Drops H3: a former holder orders after its successor."""

    def lease_lasts(self, holder):
        """Order at any time."""
        return True


@HostOrdersSpecification.mistakes.register("close_delivers_held_up_order")
class CloseDeliversHeldUpOrder(HostOrdersSpecification):
    """Drops H4: a graceful close lets held-up bytes arrive after the cut."""

    def close_delivers(self):
        """Deliver what was written."""
        return True


@HostOrdersSpecification.mistakes.register("kill_delivers_held_up_order")
class KillDeliversHeldUpOrder(HostOrdersSpecification):
    """Drops H4: the system closes a killed process's connections gracefully."""

    def kill_delivers(self):
        """Deliver what was written."""
        return True


@HostOrdersSpecification.mistakes.register("pause_outlasts_time_limit")
class PauseOutlastsTimeLimit(HostOrdersSpecification):
    """Drops H4: a paused process does not reset the connection of its order."""

    def ends_in_time(self):
        """Let time pass over the limit."""
        return False


@HostOrdersSpecification.mistakes.register("orders_recorded_host_at_once")
class OrdersRecordedHostAtOnce(HostOrdersSpecification):
    """Drops H5: a successor orders right after the order of a former holder."""

    def waits(self):
        """Order as soon as the record is read."""
        return False


@HostOrdersSpecification.mistakes.register("drops_record_early")
class DropsRecordEarly(HostOrdersSpecification):
    """Drops H5: a successor finds no record of an order that just ended."""

    def settling_time(self):
        """Drop the record as soon as the order has ended."""
        return 0


@HostOrdersSpecification.mistakes.register("releases_before_calls_end")
class ReleasesBeforeCallsEnd(HostOrdersSpecification):
    """Drops H6: an order is written after the lease was released."""

    def stops_before_release(self):
        """Go on with the calls that wait to be sent."""
        return False
