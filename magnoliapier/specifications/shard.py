"""
Specification of a shard: one task, its starts, its end and its changing holders.

Two hosts compete for the shard's lease row and start one task on either of two
endpoints. Answers may be lost, transactions and orders may arrive late, and a holder
that takes no step any more is paused or has crashed. Times are not modelled: an
endpoint's lease lapses at any moment, and orders that were sent before then have
expired.

The rules are:

- R1. A takeover is conditional on the lease row and raises the fencing token.
- R2. Every commit expects the version of the holder's lease row.
- R3. After a lost answer the next commit rewrites the lease row, which bars the lost
  one.
- R4. A start is ordered only after its record is committed.
- R5. An end is acknowledged only after it is committed.
- R6. A new holder adopts the run that is recorded; it starts nothing beside it.
- R7. A run counts as gone if a listing omits it after its order was settled.
- R8. An unreachable run counts as gone only once its endpoint's lease has lapsed.
- R9. An endpoint refuses orders with a lower token than the highest it has seen.
- R10. A start is ordered, and its deadline set, only while the holder's lease lasts.
"""

from typing import NamedTuple

from magnoliapier.registry import Registry
from magnoliapier.specifications.specification import Specification, specifications

NOWHERE = -1
NOBODY = -1


class Row(NamedTuple):
    """The lease row and the task's progress row, which share a part."""

    version: int = 0
    holder: int = NOBODY
    token: int = 0
    last_run: int = 0
    place: int = NOWHERE
    done: bool = False


class Holder(NamedTuple):
    """
    A host's memory while it holds the shard.

    ``unsent`` marks a start that waits for its record, ``settled`` that no start order
    can arrive any more, ``changed`` that memory differs from the row.
    """

    token: int = 0
    version: int = 0
    last_run: int = 0
    place: int = NOWHERE
    done: bool = False
    changed: bool = False
    unknown: bool = False
    unsent: bool = False
    settled: bool = False


class Endpoint(NamedTuple):
    """
    What an endpoint holds.

    ``done_run`` is a ``done`` end that is still listed. After ``lapsed`` its task may
    have been given up and started elsewhere, so that the end may come too late.
    """

    token: int = 0
    running: int = 0
    barred: int = 0
    done_run: int = 0
    leased: bool = False
    lapsed: bool = False


class Commit(NamedTuple):
    """A transaction; ``version`` is what it expects of the lease row."""

    version: int
    renews: bool
    last_run: int
    place: int
    done: bool


class Order(NamedTuple):
    """A start order under way."""

    place: int
    run: int
    token: int


class State(NamedTuple):
    """
    The rows, both hosts, both endpoints, late commits and orders under way.

    ``acknowledged`` is set by the first acknowledgement of a ``done`` end, ``repeated``
    by a start after it.
    """

    row: Row = Row()
    holders: tuple = (None, None)
    endpoints: tuple = (Endpoint(), Endpoint())
    late: tuple = ()
    orders: tuple = ()
    ended: bool = False
    acknowledged: bool = False
    repeated: bool = False
    lapses: int = 0


@specifications.register("shard")
class ShardSpecification(Specification):
    """The rules R1 to R10."""

    name = "shard"
    initial = State()
    mistakes = Registry("shard mistake")
    scenarios = {
        "late commits": {
            "tokens": 2,
            "runs": 1,
            "version": 3,
            "late": 2,
            "lapses": 0,
        },
        "two runs": {"tokens": 2, "runs": 2, "version": 2, "late": 1, "lapses": 1},
    }

    def invariants(self):
        """Return the safety properties."""
        return {
            "one_run_at_a_time": one_run,
            "acknowledged_end_is_stored": lambda state: (
                not state.acknowledged or state.row.done
            ),
            "stored_end_happened": lambda state: not state.row.done or state.ended,
            "no_start_after_acknowledged_end": lambda state: not state.repeated,
        }

    def witnesses(self):
        """Return what must be reachable."""
        return {
            "acknowledged_by_a_successor": lambda state: (
                state.acknowledged and state.row.token > 1
            ),
            "ended_under_a_successor": lambda state: (
                state.ended and state.row.token > 1
            ),
        }

    def raised_token(self, row):
        """Return the token of a takeover (R1)."""
        return row.token + 1

    def applies(self, row, commit):
        """Return whether the store applies a commit (R2)."""
        return row.version == commit.version

    def renews(self, holder):
        """Return whether a commit rewrites the lease row (R3)."""
        return holder.unknown

    def may_order(self, holder):
        """Return whether the start order may be sent (R4)."""
        return not holder.changed

    def may_acknowledge(self, holder):
        """Return whether the task's end may be acknowledged (R5)."""
        return holder.done and not holder.changed

    def adopted_place(self, row):
        """Return where a new holder takes the task to run (R6)."""
        return row.place

    def proves_gone(self, holder):
        """Return whether a listing that omits the run proves it gone (R7)."""
        return holder.settled

    def lapse_proves_gone(self, endpoint):
        """Return whether an unreachable endpoint runs nothing any more (R8)."""
        return not endpoint.leased

    def refuses(self, endpoint, token):
        """Return whether an endpoint refuses a token (R9)."""
        return token < endpoint.token

    def lease_lasts(self, row, holder):
        """Return whether a holder may send orders (R10)."""
        return row.token == holder.token

    def successors(self, state):
        """Yield the steps of hosts, store, network and endpoints."""
        for index in range(2):
            yield from self._takeover(state, index)
            holder = state.holders[index]
            if holder is not None:
                yield from self._decisions(state, index, holder)
                for place in range(2):
                    if holder.place == place or state.endpoints[place].done_run:
                        yield from self._look(state, index, holder, place)
        for commit in state.late:
            yield from self._deliver_late(state, commit)
        for order in state.orders:
            yield from self._deliver_order(state, order)
        for place in range(2):
            yield from self._endpoint_steps(state, place)

    def _takeover(self, state, index):
        row = state.row
        token = self.raised_token(row)
        free = state.holders[index] is None and index == row.token % 2
        if not free or token > self.bounds["tokens"]:
            return
        new = row._replace(version=row.version + 1, holder=index, token=token)
        holder = Holder(
            token=token,
            version=new.version,
            last_run=row.last_run,
            place=self.adopted_place(row),
            done=row.done,
            settled=True,
        )
        yield f"h{index} takes over", put_holder(state._replace(row=new), index, holder)

    def _decisions(self, state, index, holder):
        free = holder.place == NOWHERE and not holder.done and not holder.changed
        if free and holder.last_run < self.bounds["runs"]:
            # The endpoints are alike, so the first run may always be on the first one.
            for place in range(2 if holder.last_run else 1):
                placed = holder._replace(
                    last_run=holder.last_run + 1,
                    place=place,
                    changed=True,
                    unsent=True,
                    settled=False,
                )
                yield f"h{index} places on e{place}", put_holder(state, index, placed)
        if holder.changed:
            yield from self._commit(state, index, holder)
        lasts = self.lease_lasts(state.row, holder)
        if holder.unsent and self.may_order(holder) and lasts:
            order = Order(holder.place, holder.last_run, holder.token)
            leased = state.endpoints[holder.place]._replace(leased=True)
            sent = put_endpoint(state, holder.place, leased)
            sent = sent._replace(orders=tuple(sorted((*sent.orders, order))))
            yield f"h{index} orders", put_holder(
                sent, index, holder._replace(unsent=False)
            )
        if holder.place != NOWHERE and not holder.unsent:
            endpoint = state.endpoints[holder.place]
            if self.lapse_proves_gone(endpoint):
                gone = holder._replace(place=NOWHERE, changed=True)
                yield f"h{index} sees the lease lapse", put_holder(state, index, gone)

    def _commit(self, state, index, holder):
        """Commit memory: with an answer, without one, or too late for one."""
        commit = Commit(
            holder.version,
            self.renews(holder),
            holder.last_run,
            holder.place,
            holder.done,
        )
        unanswered = put_holder(state, index, holder._replace(unknown=True))
        losable = state.row.version < self.bounds["version"]
        if losable and len(state.late) < self.bounds["late"]:
            late = tuple(sorted((*state.late, commit)))
            yield f"h{index} commits, which is late", unanswered._replace(late=late)
        if self.applies(state.row, commit):
            row = applied_row(state.row, commit)
            if losable:
                lost = unanswered._replace(row=row)
                yield f"h{index} commits, the answer is lost", lost
            stored = holder._replace(unknown=False, changed=False, version=row.version)
            yield f"h{index} commits", put_holder(
                state._replace(row=row), index, stored
            )
        elif state.row.token == holder.token:
            resumed = holder._replace(version=state.row.version)
            yield "a lost renewal had applied", put_holder(state, index, resumed)
        else:
            yield f"h{index} is fenced", put_holder(state, index, None)

    def _deliver_late(self, state, commit):
        rest = list(state.late)
        rest.remove(commit)
        rest = state._replace(late=tuple(rest))
        if self.applies(state.row, commit):
            row = applied_row(state.row, commit)
            yield "a late commit applies", rest._replace(row=row)
        else:
            yield "a late commit is refused", rest

    def _deliver_order(self, state, order):
        rest = list(state.orders)
        rest.remove(order)
        rest = state._replace(orders=tuple(rest))
        endpoint = state.endpoints[order.place]
        if self.refuses(endpoint, order.token):
            yield "an order is fenced", rest
            return
        endpoint = endpoint._replace(token=max(endpoint.token, order.token))
        if order.run > endpoint.barred and endpoint.running != order.run:
            endpoint = endpoint._replace(running=order.run)
            rest = rest._replace(repeated=rest.repeated or rest.acknowledged)
        after = put_endpoint(rest, order.place, endpoint)
        yield "a start begins, its answer is lost", after
        for index, holder in enumerate(state.holders):
            if holder is not None and order[1:] == (holder.last_run, holder.token):
                settled = holder._replace(settled=True)
                yield "a start begins", put_holder(after, index, settled)

    def _look(self, state, index, holder, place):
        """Look at an endpoint; a holder that is not settled stops the run as well."""
        endpoint = state.endpoints[place]
        if self.refuses(endpoint, holder.token):
            return
        endpoint = endpoint._replace(token=holder.token)
        state = put_endpoint(state, place, endpoint)
        if endpoint.done_run and not holder.done:
            here = holder.place == place
            done = holder._replace(done=True, changed=True)
            if here or holder.unsent:
                done = done._replace(place=NOWHERE, unsent=False)
            yield f"h{index} learns the end", put_holder(state, index, done)
        elif endpoint.done_run and self.may_acknowledge(holder):
            after = put_endpoint(state, place, endpoint._replace(done_run=0))
            acknowledged = state.acknowledged or not endpoint.lapsed
            yield f"h{index} acknowledges", after._replace(acknowledged=acknowledged)
        if holder.place != place or holder.unsent:
            return
        if endpoint.running != holder.last_run and not endpoint.done_run:
            if self.proves_gone(holder):
                gone = holder._replace(place=NOWHERE, changed=True)
                yield f"h{index} finds the run gone", put_holder(state, index, gone)
            else:
                barred = endpoint._replace(barred=max(endpoint.barred, holder.last_run))
                settled = holder._replace(settled=True)
                yield f"h{index} bars the run", put_holder(
                    put_endpoint(state, place, barred), index, settled
                )

    def _endpoint_steps(self, state, place):
        endpoint = state.endpoints[place]
        if endpoint.running:
            ended = endpoint._replace(
                running=0,
                barred=endpoint.running,
                done_run=endpoint.running,
                lapsed=False,
            )
            yield f"e{place} finishes", put_endpoint(state, place, ended)._replace(
                ended=True
            )
        if endpoint.leased and state.lapses < self.bounds["lapses"]:
            lapsed = endpoint._replace(
                running=0,
                barred=max(endpoint.barred, endpoint.running),
                leased=False,
                lapsed=endpoint.done_run > 0,
            )
            orders = tuple(o for o in state.orders if o.place != place)
            yield f"e{place} lapses", put_endpoint(state, place, lapsed)._replace(
                orders=orders, lapses=state.lapses + 1
            )


def applied_row(row, commit):
    """Return the row after a commit."""
    return row._replace(
        version=row.version + commit.renews,
        last_run=commit.last_run,
        place=commit.place,
        done=commit.done,
    )


def one_run(state):
    """Return whether at most one run of the task is on an endpoint."""
    return sum(endpoint.running > 0 for endpoint in state.endpoints) <= 1


def put_holder(state, index, holder):
    """Return the state with one host's memory replaced."""
    holders = list(state.holders)
    holders[index] = holder
    return state._replace(holders=tuple(holders))


def put_endpoint(state, place, endpoint):
    """Return the state with one endpoint replaced."""
    endpoints = list(state.endpoints)
    endpoints[place] = endpoint
    return state._replace(endpoints=tuple(endpoints))


@ShardSpecification.mistakes.register("takeover_keeps_token")
class TakeoverKeepsToken(ShardSpecification):
    """Drops R1: a former holder's order is not refused."""

    def raised_token(self, row):
        """Keep the token once there is one."""
        return max(1, row.token)


@ShardSpecification.mistakes.register("commits_without_fence")
class CommitsWithoutFence(ShardSpecification):
    """Drops R2: a former holder's commit brings back older progress."""

    def applies(self, row, commit):
        """Apply every commit."""
        return True


@ShardSpecification.mistakes.register("repeats_without_renewal")
class RepeatsWithoutRenewal(ShardSpecification):
    """Drops R3: a lost commit is applied after its successor."""

    def renews(self, holder):
        """Never rewrite the lease row."""
        return False


@ShardSpecification.mistakes.register("orders_before_commit")
class OrdersBeforeCommit(ShardSpecification):
    """Drops R4: a takeover does not know of the run that was ordered."""

    def may_order(self, holder):
        """Order at once."""
        return True


@ShardSpecification.mistakes.register("acknowledges_before_commit")
class AcknowledgesBeforeCommit(ShardSpecification):
    """Drops R5: an end that is forgotten by its endpoint was never stored."""

    def may_acknowledge(self, holder):
        """Acknowledge what is in memory."""
        return holder.done


@ShardSpecification.mistakes.register("starts_beside_adopted")
class StartsBesideAdopted(ShardSpecification):
    """Drops R6: a new holder starts a task that runs."""

    def adopted_place(self, row):
        """Ignore the recorded run."""
        return NOWHERE


@ShardSpecification.mistakes.register("unsettled_counts_as_gone")
class UnsettledCountsAsGone(ShardSpecification):
    """Drops R7: a start order arrives after the listing that omits its run."""

    def proves_gone(self, holder):
        """Believe any listing."""
        return True


@ShardSpecification.mistakes.register("silence_counts_as_lapse")
class SilenceCountsAsLapse(ShardSpecification):
    """Drops R8: an endpoint that cannot be reached runs on."""

    def lapse_proves_gone(self, endpoint):
        """Take silence for a lapse."""
        return True


@ShardSpecification.mistakes.register("endpoints_ignore_tokens")
class EndpointsIgnoreTokens(ShardSpecification):
    """Drops R9: an order of a former holder arrives after the takeover."""

    def refuses(self, endpoint, token):
        """Accept every token."""
        return False


@ShardSpecification.mistakes.register("orders_after_lease")
class OrdersAfterLease(ShardSpecification):
    """Drops R10: a former holder's order outlasts the wait for its lapse."""

    def lease_lasts(self, row, holder):
        """Order at any time."""
        return True
