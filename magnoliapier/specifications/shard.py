"""
Specification of a shard: one task, its starts, its end and its changing holders.

Two hosts compete for the shard's lease row and start one task on either of two
endpoints. Answers may be lost, transactions and orders may arrive late, and a holder
that takes no further step is paused or has crashed. Times are not modelled: an
endpoint's lease may lapse at any moment, and orders sent to the endpoint before that
have then expired.

The rules are:

- R1. A takeover is conditional on the lease row and raises the fencing token.
- R2. Every commit expects the version of the holder's lease row.
- R3. After a lost answer the next commit rewrites the lease row, so that the commit
  whose answer was lost can no longer be applied.
- R4. A start is ordered only after its record is committed.
- R5. An end is acknowledged only after it is committed.
- R6. A new holder adopts the recorded run and starts no second run beside it.
- R7. A run counts as gone if the endpoint's listing omits it after its start order was
  settled, which means that the order can no longer start the run.
- R8. An unreachable run counts as gone only once its endpoint's lease has lapsed.
- R9. An endpoint refuses orders with a lower token than the highest it has seen.
- R10. A start is ordered, and its deadline set, only while the holder's lease lasts.
"""

from typing import NamedTuple

from magnoliapier.registry import Registry
from magnoliapier.specifications.specification import Specification, specifications

NO_ENDPOINT = -1
NO_HOLDER = -1


class Row(NamedTuple):
    """The lease row and the task's progress row, which are in one part of the table."""

    version: int = 0
    holder: int = NO_HOLDER
    token: int = 0
    last_run: int = 0
    endpoint_index: int = NO_ENDPOINT
    done: bool = False


class Holder(NamedTuple):
    """
    A host's memory while it holds the shard.

    ``endpoint_index`` is the endpoint of the run ``last_run``. ``changed`` says that
    memory differs from the row and ``unknown`` that the answer to a commit was lost.
    ``unsent`` marks a start that waits until its record is committed, and ``settled``
    says that no start order of this holder can start the run any more.
    """

    token: int = 0
    version: int = 0
    last_run: int = 0
    endpoint_index: int = NO_ENDPOINT
    done: bool = False
    changed: bool = False
    unknown: bool = False
    unsent: bool = False
    settled: bool = False


class Endpoint(NamedTuple):
    """
    The state of an endpoint.

    ``running`` is the current run, 0 if there is none. Runs up to ``barred`` are not
    started any more. ``done_run`` is a finished run that is still listed. ``lapsed``
    says that the lease lapsed after that end: the task may have been given up and
    started elsewhere meanwhile, so the end may come too late.
    """

    token: int = 0
    running: int = 0
    barred: int = 0
    done_run: int = 0
    leased: bool = False
    lapsed: bool = False


class Commit(NamedTuple):
    """A transaction; ``version`` is the version of the lease row that it expects."""

    version: int
    renews: bool
    last_run: int
    endpoint_index: int
    done: bool


class Order(NamedTuple):
    """A start order in transit."""

    endpoint_index: int
    run: int
    token: int


class State(NamedTuple):
    """
    The rows, both hosts, both endpoints, late commits and orders in transit.

    ``acknowledged`` is set by the first acknowledgement of a ``done`` end, ``repeated``
    by a start after that. ``lapses`` counts the lapses of endpoints' leases.
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
            "one_run_at_a_time": at_most_one_run,
            "acknowledged_end_is_stored": lambda state: (
                not state.acknowledged or state.row.done
            ),
            "stored_end_happened": lambda state: not state.row.done or state.ended,
            "no_start_after_acknowledged_end": lambda state: not state.repeated,
        }

    def witnesses(self):
        """Return the states that must be reachable."""
        return {
            "acknowledged_by_a_successor": lambda state: (
                state.acknowledged and state.row.token > 1
            ),
            "ended_under_a_successor": lambda state: (
                state.ended and state.row.token > 1
            ),
        }

    def takeover_token(self, row):
        """Return the token of a takeover (R1)."""
        return row.token + 1

    def accepts_commit(self, row, commit):
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

    def adopted_endpoint(self, row):
        """Return the endpoint whose run a new holder adopts (R6)."""
        return row.endpoint_index

    def omitted_run_is_gone(self, holder):
        """Return whether a run counts as gone once a listing omits it (R7)."""
        return holder.settled

    def unreachable_run_is_gone(self, endpoint):
        """Return whether the run of an unreachable endpoint counts as gone (R8)."""
        return not endpoint.leased

    def refuses_token(self, endpoint, token):
        """Return whether an endpoint refuses orders with ``token`` (R9)."""
        return token < endpoint.token

    def lease_lasts(self, row, holder):
        """Return whether the holder's lease lasts, so that it may send orders (R10)."""
        return row.token == holder.token

    def successors(self, state):
        """Yield the steps of hosts, store, network and endpoints."""
        for index in range(2):
            yield from self._takeover(state, index)
            holder = state.holders[index]
            if holder is not None:
                yield from self._holder_steps(state, index, holder)
                for endpoint_index in range(2):
                    if (
                        holder.endpoint_index == endpoint_index
                        or state.endpoints[endpoint_index].done_run
                    ):
                        yield from self._inspect_endpoint(
                            state, index, holder, endpoint_index
                        )
        for commit in state.late:
            yield from self._deliver_late_commit(state, commit)
        for order in state.orders:
            yield from self._deliver_order(state, order)
        for endpoint_index in range(2):
            yield from self._endpoint_steps(state, endpoint_index)

    def _takeover(self, state, index):
        row = state.row
        token = self.takeover_token(row)
        may_take_over = state.holders[index] is None and index == row.token % 2
        if not may_take_over or token > self.bounds["tokens"]:
            return
        new_row = row._replace(version=row.version + 1, holder=index, token=token)
        holder = Holder(
            token=token,
            version=new_row.version,
            last_run=row.last_run,
            endpoint_index=self.adopted_endpoint(row),
            done=row.done,
            settled=True,
        )
        yield f"h{index} takes over", replace_holder(
            state._replace(row=new_row), index, holder
        )

    def _holder_steps(self, state, index, holder):
        may_place = (
            holder.endpoint_index == NO_ENDPOINT
            and not holder.done
            and not holder.changed
        )
        if may_place and holder.last_run < self.bounds["runs"]:
            # The endpoints are interchangeable, so the first run is always placed on
            # the first one.
            for endpoint_index in range(2 if holder.last_run else 1):
                placed = holder._replace(
                    last_run=holder.last_run + 1,
                    endpoint_index=endpoint_index,
                    changed=True,
                    unsent=True,
                    settled=False,
                )
                yield f"h{index} places on e{endpoint_index}", replace_holder(
                    state, index, placed
                )
        if holder.changed:
            yield from self._commit(state, index, holder)
        lease_valid = self.lease_lasts(state.row, holder)
        if holder.unsent and self.may_order(holder) and lease_valid:
            order = Order(holder.endpoint_index, holder.last_run, holder.token)
            leased = state.endpoints[holder.endpoint_index]._replace(leased=True)
            sent = replace_endpoint(state, holder.endpoint_index, leased)
            sent = sent._replace(orders=tuple(sorted((*sent.orders, order))))
            yield f"h{index} orders", replace_holder(
                sent, index, holder._replace(unsent=False)
            )
        if holder.endpoint_index != NO_ENDPOINT and not holder.unsent:
            endpoint = state.endpoints[holder.endpoint_index]
            if self.unreachable_run_is_gone(endpoint):
                gone = holder._replace(endpoint_index=NO_ENDPOINT, changed=True)
                yield f"h{index} sees the lease lapse", replace_holder(
                    state, index, gone
                )

    def _commit(self, state, index, holder):
        """Yield a commit of the holder's memory: answered, answer lost, or late."""
        commit = Commit(
            holder.version,
            self.renews(holder),
            holder.last_run,
            holder.endpoint_index,
            holder.done,
        )
        unanswered = replace_holder(state, index, holder._replace(unknown=True))
        may_lose_answer = state.row.version < self.bounds["version"]
        if may_lose_answer and len(state.late) < self.bounds["late"]:
            late = tuple(sorted((*state.late, commit)))
            yield f"h{index} sends a commit that is late", unanswered._replace(
                late=late
            )
        if self.accepts_commit(state.row, commit):
            row = row_after_commit(state.row, commit)
            if may_lose_answer:
                lost = unanswered._replace(row=row)
                yield f"h{index} commits, the answer is lost", lost
            stored = holder._replace(unknown=False, changed=False, version=row.version)
            yield f"h{index} commits", replace_holder(
                state._replace(row=row), index, stored
            )
        elif state.row.token == holder.token:
            resumed = holder._replace(version=state.row.version)
            yield "a renewal whose answer was lost had applied", replace_holder(
                state, index, resumed
            )
        else:
            yield f"h{index} is fenced", replace_holder(state, index, None)

    def _deliver_late_commit(self, state, commit):
        rest = list(state.late)
        rest.remove(commit)
        rest = state._replace(late=tuple(rest))
        if self.accepts_commit(state.row, commit):
            row = row_after_commit(state.row, commit)
            yield "a late commit applies", rest._replace(row=row)
        else:
            yield "a late commit is refused", rest

    def _deliver_order(self, state, order):
        rest = list(state.orders)
        rest.remove(order)
        rest = state._replace(orders=tuple(rest))
        endpoint = state.endpoints[order.endpoint_index]
        if self.refuses_token(endpoint, order.token):
            yield "an order is fenced", rest
            return
        endpoint = endpoint._replace(token=max(endpoint.token, order.token))
        if order.run > endpoint.barred and endpoint.running != order.run:
            endpoint = endpoint._replace(running=order.run)
            rest = rest._replace(repeated=rest.repeated or rest.acknowledged)
        after = replace_endpoint(rest, order.endpoint_index, endpoint)
        yield "a start begins, its answer is lost", after
        for index, holder in enumerate(state.holders):
            if holder is not None and order[1:] == (holder.last_run, holder.token):
                settled = holder._replace(settled=True)
                yield "a start begins", replace_holder(after, index, settled)

    def _inspect_endpoint(self, state, index, holder, endpoint_index):
        """
        Yield the steps of a holder that lists an endpoint's runs.

        It may learn of an end, acknowledge one, or find that its own run is missing.
        In the last case a holder whose start order is not settled bars the run, so
        that a late order cannot start it.
        """
        endpoint = state.endpoints[endpoint_index]
        if self.refuses_token(endpoint, holder.token):
            return
        endpoint = endpoint._replace(token=holder.token)
        state = replace_endpoint(state, endpoint_index, endpoint)
        if endpoint.done_run and not holder.done:
            is_here = holder.endpoint_index == endpoint_index
            done = holder._replace(done=True, changed=True)
            if is_here or holder.unsent:
                done = done._replace(endpoint_index=NO_ENDPOINT, unsent=False)
            yield f"h{index} learns the end", replace_holder(state, index, done)
        elif endpoint.done_run and self.may_acknowledge(holder):
            after = replace_endpoint(
                state, endpoint_index, endpoint._replace(done_run=0)
            )
            acknowledged = state.acknowledged or not endpoint.lapsed
            yield f"h{index} acknowledges", after._replace(acknowledged=acknowledged)
        if holder.endpoint_index != endpoint_index or holder.unsent:
            return
        if endpoint.running != holder.last_run and not endpoint.done_run:
            if self.omitted_run_is_gone(holder):
                gone = holder._replace(endpoint_index=NO_ENDPOINT, changed=True)
                yield f"h{index} finds the run gone", replace_holder(state, index, gone)
            else:
                barred = endpoint._replace(barred=max(endpoint.barred, holder.last_run))
                settled = holder._replace(settled=True)
                yield f"h{index} bars the run", replace_holder(
                    replace_endpoint(state, endpoint_index, barred), index, settled
                )

    def _endpoint_steps(self, state, endpoint_index):
        endpoint = state.endpoints[endpoint_index]
        if endpoint.running:
            ended = endpoint._replace(
                running=0,
                barred=endpoint.running,
                done_run=endpoint.running,
                lapsed=False,
            )
            yield f"e{endpoint_index} finishes", replace_endpoint(
                state, endpoint_index, ended
            )._replace(ended=True)
        if endpoint.leased and state.lapses < self.bounds["lapses"]:
            lapsed = endpoint._replace(
                running=0,
                barred=max(endpoint.barred, endpoint.running),
                leased=False,
                lapsed=endpoint.done_run > 0,
            )
            orders = tuple(
                order
                for order in state.orders
                if order.endpoint_index != endpoint_index
            )
            yield f"e{endpoint_index} lapses", replace_endpoint(
                state, endpoint_index, lapsed
            )._replace(orders=orders, lapses=state.lapses + 1)


def row_after_commit(row, commit):
    """Return the row after the commit was applied."""
    return row._replace(
        version=row.version + commit.renews,
        last_run=commit.last_run,
        endpoint_index=commit.endpoint_index,
        done=commit.done,
    )


def at_most_one_run(state):
    """Return whether at most one run of the task is on an endpoint."""
    return sum(endpoint.running > 0 for endpoint in state.endpoints) <= 1


def replace_holder(state, index, holder):
    """Return the state with one host's memory replaced."""
    holders = list(state.holders)
    holders[index] = holder
    return state._replace(holders=tuple(holders))


def replace_endpoint(state, endpoint_index, endpoint):
    """Return the state with one endpoint replaced."""
    endpoints = list(state.endpoints)
    endpoints[endpoint_index] = endpoint
    return state._replace(endpoints=tuple(endpoints))


@ShardSpecification.mistakes.register("takeover_keeps_token")
class TakeoverKeepsToken(ShardSpecification):
    """Drops R1: an order of a former holder is not refused."""

    def takeover_token(self, row):
        """Keep the token once there is one."""
        return max(1, row.token)


@ShardSpecification.mistakes.register("commits_without_fence")
class CommitsWithoutFence(ShardSpecification):
    """Drops R2: a former holder's commit overwrites newer progress with older."""

    def accepts_commit(self, row, commit):
        """Apply every commit."""
        return True


@ShardSpecification.mistakes.register("repeats_without_renewal")
class RepeatsWithoutRenewal(ShardSpecification):
    """Drops R3: a commit whose answer was lost is applied after the next commit."""

    def renews(self, holder):
        """Never rewrite the lease row."""
        return False


@ShardSpecification.mistakes.register("orders_before_commit")
class OrdersBeforeCommit(ShardSpecification):
    """Drops R4: a new holder does not know of the run that was ordered."""

    def may_order(self, holder):
        """Order before the record is committed."""
        return True


@ShardSpecification.mistakes.register("acknowledges_before_commit")
class AcknowledgesBeforeCommit(ShardSpecification):
    """Drops R5: the endpoint forgets an end that was never stored."""

    def may_acknowledge(self, holder):
        """Acknowledge an end that is only in memory."""
        return holder.done


@ShardSpecification.mistakes.register("starts_beside_adopted")
class StartsBesideAdopted(ShardSpecification):
    """Drops R6: a new holder starts a task that is already running."""

    def adopted_endpoint(self, row):
        """Ignore the recorded run."""
        return NO_ENDPOINT


@ShardSpecification.mistakes.register("unsettled_counts_as_gone")
class UnsettledCountsAsGone(ShardSpecification):
    """Drops R7: a start order arrives after the listing that omits its run."""

    def omitted_run_is_gone(self, holder):
        """Trust a listing even if the start order is not settled."""
        return True


@ShardSpecification.mistakes.register("silence_counts_as_lapse")
class SilenceCountsAsLapse(ShardSpecification):
    """Drops R8: an endpoint that cannot be reached continues its run."""

    def unreachable_run_is_gone(self, endpoint):
        """Treat an unreachable endpoint as one whose lease has lapsed."""
        return True


@ShardSpecification.mistakes.register("endpoints_ignore_tokens")
class EndpointsIgnoreTokens(ShardSpecification):
    """Drops R9: an order of a former holder arrives after the takeover."""

    def refuses_token(self, endpoint, token):
        """Accept every token."""
        return False


@ShardSpecification.mistakes.register("orders_after_lease")
class OrdersAfterLease(ShardSpecification):
    """Drops R10: a former holder orders after the lapse that its successor awaited."""

    def lease_lasts(self, row, holder):
        """Send orders after the lease has ended too."""
        return True
