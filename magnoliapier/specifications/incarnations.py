"""
Specification of the incarnations of an endpoint that restarts under its id.

One holder starts tasks on an endpoint that may crash and start again. The new
incarnation runs nothing, numbers its ends from 1 and holds no lease; it accepts all
calls, since they name the id only. A task that is given up there is started on a second
endpoint, which never restarts. Calls in transit may reach a later incarnation than the
one that the holder knew when it decided on them, and answers may overtake each other.

The rules are:

- I1. What is known of an incarnation is one object (its clock, its lease and the
  numbers of its ends), which is replaced as a whole when a listing names another
  incarnation. A commit marks ends as stored only in the incarnation that listed them.
  The answer to a start tells the clock only of the incarnation that was known when the
  start was sent.
- I2. A listing of a new incarnation shows that runs which an earlier one listed are
  gone. A run that no listing has shown stays if it is listed, and is gone if it is
  omitted by a listing that was requested after its start order was settled.
- I3. An acknowledgement is sent only for ends that are stored and not acknowledged yet,
  and only if every start was settled before the last listing was requested. A repeated
  inspection acknowledges nothing.
- I4. A listing that was requested before the known incarnation was first seen, and that
  names another one, is ignored.
- I5. After a new incarnation was seen, its lease is taken to last for the longest lease
  allowed and the longest delay of a call.
- I6. A run that no listing has shown counts as gone on an unreachable endpoint only
  after the longest lease allowed and the longest delay of a call.
- I7. No start is sent while a call that acknowledges ends may still be carried out.
- I8. A report that the endpoint's host is down ends only runs that were settled before
  the host was seen to be down.

A start order that is stopped is settled: it cannot start its run any more. Time passes
in ticks. A deadline on the clock of the incarnation that receives it is absolute. One
that was computed on an earlier incarnation's clock may be far ahead, so the lease is
then the longest one allowed, counted from when the call is carried out.

Two parts of the rules are not needed for safety, only to act sooner or to save calls:
that a new incarnation ends the runs which an earlier one listed (I2), and that no end
is acknowledged twice (I3).

Not modelled: changes of the holder and lost commits (see ``shard``), a second run of a
task on the endpoint that restarts, stops of listed runs, and the rates of clocks. A
task that is given up starts on the second endpoint at once.
"""

from typing import NamedTuple

from magnoliapier.registry import Registry
from magnoliapier.specifications.specification import Specification, specifications

SHORT_LEASE_TICKS = 2
LONGEST_LEASE_TICKS = 3
CALL_DELAY_TICKS = 1  # the longest time from a call's dispatch until it is carried out

NO_RUN, FIRST_RUN, SECOND_RUN = range(3)
REQUESTED, HELD, ANSWERED = range(3)


class Task(NamedTuple):
    """
    The holder's record of a task.

    ``run`` is ``FIRST_RUN`` on the endpoint that restarts or ``SECOND_RUN`` on the
    other one. ``settled`` says that the start order can't start the first run any more.
    ``ordered_to`` is the incarnation that the holder knew when it sent the order and
    ``started_by`` the one whose answer is in transit; both are 0 once the start is
    settled. ``confirmed_unseen`` says that an incarnation confirmed the start which the
    holder did not know yet. ``listed_by`` is the incarnation that listed the first run,
    0 if none did.
    """

    run: int = NO_RUN
    settled: bool = False
    ordered_to: int = 0
    started_by: int = 0
    confirmed_unseen: bool = False
    listed_by: int = 0
    done: bool = False


class Known(NamedTuple):
    """
    What the holder knows of an incarnation.

    ``clock`` is the incarnation whose readings the estimate of the endpoint's clock
    rests on. ``handled``, ``stored`` and ``acknowledged`` are numbers of ends.
    ``may_acknowledge`` is cleared by each start and by each acknowledgement, and set
    again by a listing. ``lease_ticks`` counts the ticks until the lease has lapsed.
    """

    born: int = 1
    clock: int = 1
    handled: int = 0
    stored: int = 0
    acknowledged: int = 0
    may_acknowledge: bool = False
    lease_ticks: int = 0


class Start(NamedTuple):
    """A start order in transit; ``clock`` is the incarnation of its deadline."""

    task: int
    clock: int
    age_ticks: int = 0


class Inspection(NamedTuple):
    """
    An inspection under way.

    ``acknowledged`` is 0 if it acknowledges nothing. ``known`` is the incarnation that
    the holder knew at the request, ``clock`` the one of the deadline's clock, and
    ``settled`` the tasks whose start was settled then. The last three fields are those
    of the answer.
    """

    stage: int
    acknowledged: int
    known: int
    clock: int
    settled: tuple
    age_ticks: int = 0
    born: int = 0
    running: tuple = ()
    ends: tuple = ()


class End(NamedTuple):
    """
    A ``done`` end that the endpoint lists.

    ``repeated`` is set if the task was started after it, ``lapsed`` if the lease
    lapsed, so that its acknowledgement does not count.
    """

    number: int
    task: int
    repeated: bool = False
    lapsed: bool = False


class Endpoint(NamedTuple):
    """The current incarnation; ``running`` and ``ends`` are what it lists."""

    born: int = 1
    running: tuple = ()
    ends: tuple = ()
    last_number: int = 0
    lease_ticks: int = 0


class Commit(NamedTuple):
    """An applied commit whose answer is in transit."""

    born: int
    handled: int


class State(NamedTuple):
    """
    The holder, the endpoint, the store and what is in transit.

    ``longest_ticks`` counts the ticks until a lease of any incarnation has lapsed that
    a call of the holder may have extended. ``report`` is a report in transit that the
    endpoint's host was down: the tasks whose start was settled by then, which the
    holder can tell if the report names the time. ``stored`` and ``noted`` are the tasks
    that are stored as done and whose ``done`` end was acknowledged. ``repeated`` is set
    by a start after such an end, whether it was acknowledged before or after the start.
    """

    tasks: tuple
    known: Known = Known()
    longest_ticks: int = 0
    endpoint: Endpoint = Endpoint()
    starts: tuple = ()
    inspections: tuple = ()
    report: tuple | None = None
    commit: Commit | None = None
    stored: tuple = ()
    noted: tuple = ()
    repeated: bool = False


@specifications.register("incarnations")
class IncarnationsSpecification(Specification):
    """The rules I1 to I8."""

    name = "incarnations"
    mistakes = Registry("incarnations mistake")
    # The smallest scenarios come first, since a mistake is looked for in this order.
    scenarios = {
        "reports": {
            "tasks": 1,
            "restarts": 1,
            "inspections": 1,
            "ends": 1,
            "ticks": False,
            "reports": True,
        },
        "leases": {
            "tasks": 1,
            "restarts": 1,
            "inspections": 1,
            "ends": 1,
            "ticks": True,
            "reports": False,
        },
        "acknowledgements": {
            "tasks": 2,
            "restarts": 1,
            "inspections": 1,
            "ends": 2,
            "ticks": False,
            "reports": False,
        },
        "overtaking": {
            "tasks": 1,
            "restarts": 2,
            "inspections": 2,
            "ends": 1,
            "ticks": False,
            "reports": False,
        },
        "clocks": {
            "tasks": 2,
            "restarts": 1,
            "inspections": 1,
            "ends": 0,
            "ticks": True,
            "reports": False,
        },
    }

    def __init__(self, scenario):
        super().__init__(scenario)
        self.initial = State(tasks=(Task(),) * self.bounds["tasks"])

    def invariants(self):
        """Return the safety properties."""
        return {
            "one_run_at_a_time": at_most_one_run,
            "no_start_after_noted_end": lambda state: not state.repeated,
            "noted_end_is_stored": lambda state: set(state.noted) <= set(state.stored),
        }

    def witnesses(self):
        """Return the states that must be reachable, as far as runs may end."""
        witnesses = {
            "lost_run_is_started_again": lambda state: (
                state.known.born > 1
                and any(task.run == SECOND_RUN for task in state.tasks)
            ),
        }
        if self.bounds["ends"]:
            witnesses["unseen_incarnation_completes_run"] = lambda state: any(
                task.confirmed_unseen and task.run == FIRST_RUN and task.done
                for task in state.tasks
            )
            witnesses["new_incarnation_is_acknowledged"] = lambda state: (
                state.known.born > 1 and state.known.acknowledged > 0
            )
        return witnesses

    def after_restart(self, known, born):
        """Return what is known of a new incarnation (I1, I5)."""
        return Known(
            born=born, clock=born, lease_ticks=self.restarted_lease_ticks(known)
        )

    def commit_counts(self, known, commit):
        """Return whether a commit's answer marks ends as stored (I1)."""
        return commit.born == known.born

    def after_reading(self, known, task):
        """Return what is known after the reading in the answer to a start (I1)."""
        if task.started_by and task.ordered_to == known.born:
            return known._replace(clock=task.started_by)
        return known

    def restart_ends_run(self, task):
        """Return whether a new incarnation shows that a run is gone (I2)."""
        return task.listed_by > 0

    def omission_ends_run(self, task, index, inspection):
        """Return whether a listing that omits a run shows that it is gone (I2)."""
        return index in inspection.settled

    def acknowledged_number(self, state):
        """Return the number that an inspection acknowledges, 0 for none (I3)."""
        known = state.known
        may_acknowledge = known.may_acknowledge and known.stored > known.acknowledged
        return known.stored if may_acknowledge else 0

    def listing_allows_acknowledgement(self, state, inspection):
        """Return whether the next inspection may acknowledge ends (I3)."""
        return all(
            index in inspection.settled
            for index, task in enumerate(state.tasks)
            if task.run == FIRST_RUN and not task.done
        )

    def ignores_listing(self, known, inspection):
        """Return whether a listing of another incarnation is ignored (I4)."""
        return inspection.known != known.born

    def restarted_lease_ticks(self, known):
        """Return the ticks until the lease of a new incarnation has lapsed (I5)."""
        return LONGEST_LEASE_TICKS + CALL_DELAY_TICKS

    def unreachable_run_is_gone(self, state, task):
        """Return whether a run counts as gone without an answer (I5, I6)."""
        if task.listed_by:
            return state.known.lease_ticks == 0
        return state.longest_ticks == 0

    def longest_wait_ticks(self):
        """Return the ticks after a call until no lease that it extended lasts (I6)."""
        return LONGEST_LEASE_TICKS + CALL_DELAY_TICKS

    def report_ends_run(self, report, index):
        """Return whether a report that the host was down shows a run gone (I8)."""
        return index in report

    def may_start(self, state):
        """Return whether a start may be sent (I7)."""
        return not any(
            inspection.acknowledged and inspection.stage == REQUESTED
            for inspection in state.inspections
        )

    def successors(self, state):
        """Yield the steps of the holder, the network, the endpoint and time."""
        for index, task in enumerate(state.tasks):
            yield from self._task_steps(state, index, task)
        for start in state.starts:
            yield f"the start of t{start.task} arrives", self._after_start(state, start)
        yield from self._request_inspection(state)
        for inspection in set(state.inspections):
            yield from self._inspection_steps(state, inspection)
        yield from self._commit_steps(state)
        if state.report is not None:
            yield "a report that the host was down arrives", self._after_report(state)
        yield from self._endpoint_steps(state)
        if self.bounds["ticks"]:
            yield "a tick passes", after_tick(state)

    def _task_steps(self, state, index, task):
        in_transit = any(start.task == index for start in state.starts)
        if task.run == NO_RUN:
            # The tasks are interchangeable, so they are ordered in sequence.
            is_next = index == 0 or state.tasks[index - 1].run != NO_RUN
            if is_next and self.may_start(state):
                yield f"t{index} is ordered", self._order_start(state, index, task)
        elif task.run == FIRST_RUN and not task.done:
            if not task.settled:
                settled = task._replace(settled=True, ordered_to=0, started_by=0)
                if not in_transit:
                    confirmed = settled._replace(
                        confirmed_unseen=task.started_by > state.known.born
                    )
                    answered = replace_task(state, index, confirmed)
                    yield f"the start of t{index} is answered", answered._replace(
                        known=self.after_reading(state.known, task)
                    )
                yield f"t{index} is stopped", after_stop(
                    replace_task(state, index, settled), index
                )
            if self.bounds["ticks"] and self.unreachable_run_is_gone(state, task):
                yield f"t{index} is given up without an answer", give_up(state, index)

    def _order_start(self, state, index, task):
        start = Start(index, state.known.clock)
        state = state._replace(
            starts=tuple(sorted((*state.starts, start))),
            known=state.known._replace(may_acknowledge=False),
        )
        ordered = task._replace(run=FIRST_RUN, ordered_to=state.known.born)
        state = replace_task(state, index, ordered)
        return self._after_deadline_sent(state)

    def _after_deadline_sent(self, state):
        """Return the state after a call was sent that extends the lease."""
        if not self.bounds["ticks"]:
            return state
        lease_ticks = max(state.known.lease_ticks, SHORT_LEASE_TICKS)
        return state._replace(
            known=state.known._replace(lease_ticks=lease_ticks),
            longest_ticks=self.longest_wait_ticks(),
        )

    def _after_start(self, state, start):
        state = state._replace(starts=without(state.starts, start))
        endpoint = state.endpoint
        lease_ticks = granted_lease_ticks(endpoint, start.clock, start.age_ticks)
        if lease_ticks <= 0:
            return state
        endpoint = endpoint._replace(
            running=tuple(sorted((*endpoint.running, start.task))),
            lease_ticks=self._extended_lease(endpoint, lease_ticks),
        )
        task = state.tasks[start.task]
        if task.run == FIRST_RUN and not task.settled:
            task = task._replace(started_by=endpoint.born)
            state = replace_task(state, start.task, task)
        return after_run_begins(state._replace(endpoint=endpoint), start.task)

    def _extended_lease(self, endpoint, lease_ticks):
        return max(endpoint.lease_ticks, lease_ticks) if self.bounds["ticks"] else 0

    def _request_inspection(self, state):
        if len(state.inspections) == self.bounds["inspections"]:
            return
        acknowledged = self.acknowledged_number(state)
        inspection = Inspection(
            REQUESTED,
            acknowledged,
            state.known.born,
            state.known.clock,
            settled_tasks(state),
        )
        if acknowledged:
            state = state._replace(known=state.known._replace(may_acknowledge=False))
        state = state._replace(
            inspections=tuple(sorted((*state.inspections, inspection)))
        )
        label = f"inspects, acknowledges {acknowledged}"
        yield label, self._after_deadline_sent(state)

    def _inspection_steps(self, state, inspection):
        rest = without(state.inspections, inspection)
        endpoint = state.endpoint
        if inspection.stage == REQUESTED:
            held = inspection._replace(stage=HELD, clock=0, age_ticks=0)
            after = after_acknowledgement(state, inspection.acknowledged)
            lease_ticks = granted_lease_ticks(
                endpoint, inspection.clock, inspection.age_ticks
            )
            endpoint = after.endpoint._replace(
                lease_ticks=self._extended_lease(after.endpoint, lease_ticks)
            )
            yield f"an inspection arrives at i{endpoint.born}", after._replace(
                endpoint=endpoint, inspections=tuple(sorted((*rest, held)))
            )
        elif inspection.stage == HELD:
            answered = inspection._replace(
                stage=ANSWERED,
                born=endpoint.born,
                running=endpoint.running,
                ends=tuple((end.number, end.task) for end in endpoint.ends),
            )
            yield f"i{endpoint.born} lists", state._replace(
                inspections=tuple(sorted((*rest, answered)))
            )
        else:
            yield f"the listing of i{inspection.born} is received", self._after_listing(
                state._replace(inspections=rest), inspection
            )
        if inspection.stage != HELD:
            yield "an inspection is lost", state._replace(inspections=rest)

    def _after_listing(self, state, inspection):
        known = state.known
        if inspection.born != known.born:
            if self.ignores_listing(known, inspection):
                return state
            state = state._replace(known=self.after_restart(known, inspection.born))
            for index, task in enumerate(state.tasks):
                live = task.run == FIRST_RUN and not task.done
                if live and self.restart_ends_run(task):
                    state = give_up(state, index)
        elif inspection.known == known.born:
            acknowledged = max(known.acknowledged, inspection.acknowledged)
            state = state._replace(known=known._replace(acknowledged=acknowledged))
        for number, index in inspection.ends:
            if number > state.known.handled:
                task = state.tasks[index]
                done = Task(
                    task.run, True, confirmed_unseen=task.confirmed_unseen, done=True
                )
                state = replace_task(state, index, done)
                state = state._replace(known=state.known._replace(handled=number))
        for index, task in enumerate(state.tasks):
            if task.run != FIRST_RUN or task.done:
                continue
            if index in inspection.running:
                listed = task._replace(
                    settled=True, ordered_to=0, started_by=0, listed_by=inspection.born
                )
                state = replace_task(state, index, listed)
            elif self.omission_ends_run(task, index, inspection):
                state = give_up(state, index)
        may_acknowledge = self.listing_allows_acknowledgement(state, inspection)
        return state._replace(
            known=state.known._replace(may_acknowledge=may_acknowledge)
        )

    def _after_report(self, state):
        report = state.report
        state = state._replace(report=None)
        for index in settled_tasks(state):
            if self.report_ends_run(report, index):
                state = give_up(state, index)
        return state

    def _commit_steps(self, state):
        known, commit = state.known, state.commit
        done = tuple(index for index, task in enumerate(state.tasks) if task.done)
        if commit is None and (done != state.stored or known.handled > known.stored):
            yield "commits", state._replace(
                stored=done, commit=Commit(known.born, known.handled)
            )
        if commit is not None:
            after = state._replace(commit=None)
            if self.commit_counts(known, commit):
                stored = max(known.stored, commit.handled)
                after = after._replace(known=known._replace(stored=stored))
            yield "the commit is answered", after

    def _endpoint_steps(self, state):
        endpoint = state.endpoint
        number = endpoint.last_number + 1
        for index in endpoint.running if number <= self.bounds["ends"] else ():
            yield f"t{index} ends as number {number}", state._replace(
                endpoint=endpoint._replace(
                    running=without(endpoint.running, index),
                    ends=(*endpoint.ends, End(number, index)),
                    last_number=number,
                )
            )
        if endpoint.born <= self.bounds["restarts"]:
            inspections = tuple(
                inspection
                for inspection in state.inspections
                if inspection.stage != HELD
            )
            yield f"i{endpoint.born} crashes and starts again", state._replace(
                endpoint=Endpoint(born=endpoint.born + 1),
                inspections=inspections,
                report=settled_tasks(state) if self.bounds["reports"] else None,
            )


def settled_tasks(state):
    """Return the tasks whose first run is settled and not known to have ended."""
    return tuple(
        index
        for index, task in enumerate(state.tasks)
        if task.run == FIRST_RUN and task.settled and not task.done
    )


def granted_lease_ticks(endpoint, clock, age_ticks):
    """Return the ticks of lease that a call's deadline grants, 0 if it has passed."""
    if clock == endpoint.born:
        return max(0, SHORT_LEASE_TICKS - age_ticks)
    return LONGEST_LEASE_TICKS


def at_most_one_run(state):
    """Return whether no task runs on both endpoints."""
    return not any(
        state.tasks[index].run == SECOND_RUN for index in state.endpoint.running
    )


def after_run_begins(state, index):
    """Return the state after a run of a task begins, on either endpoint."""
    ends = tuple(
        end._replace(repeated=True) if end.task == index else end
        for end in state.endpoint.ends
    )
    return state._replace(
        endpoint=state.endpoint._replace(ends=ends),
        repeated=state.repeated or index in state.noted,
    )


def after_stop(state, index):
    """Return the state after a stop, which bars the run from starting later."""
    endpoint = state.endpoint
    return state._replace(
        starts=tuple(start for start in state.starts if start.task != index),
        endpoint=endpoint._replace(running=without(endpoint.running, index)),
    )


def after_acknowledgement(state, number):
    """Return the state after the endpoint forgot its ends up to ``number``."""
    ends = state.endpoint.ends
    forgotten = [end for end in ends if end.number <= number and not end.lapsed]
    noted = {*state.noted, *(end.task for end in forgotten)}
    return state._replace(
        endpoint=state.endpoint._replace(
            ends=tuple(end for end in ends if end.number > number)
        ),
        noted=tuple(sorted(noted)),
        repeated=state.repeated or any(end.repeated for end in forgotten),
    )


def after_tick(state):
    """Return the state after a tick; calls past the longest delay are lost."""
    endpoint = state.endpoint
    if endpoint.lease_ticks == 1:
        ends = tuple(end._replace(lapsed=True) for end in endpoint.ends)
        endpoint = endpoint._replace(running=(), ends=ends)
    inspections = tuple(
        (
            inspection._replace(age_ticks=inspection.age_ticks + 1)
            if inspection.stage == REQUESTED
            else inspection
        )
        for inspection in state.inspections
        if inspection.age_ticks < CALL_DELAY_TICKS
    )
    return state._replace(
        known=state.known._replace(lease_ticks=max(0, state.known.lease_ticks - 1)),
        longest_ticks=max(0, state.longest_ticks - 1),
        endpoint=endpoint._replace(lease_ticks=max(0, endpoint.lease_ticks - 1)),
        starts=tuple(
            start._replace(age_ticks=start.age_ticks + 1)
            for start in state.starts
            if start.age_ticks < CALL_DELAY_TICKS
        ),
        inspections=tuple(sorted(inspections)),
    )


def give_up(state, index):
    """
    Return the state after a run counts as gone and its task is started again.

    The second run begins at once and does not end, which leaves out no violation: a run
    on the first endpoint that follows it is always one too many.
    """
    return after_run_begins(
        replace_task(state, index, Task(run=SECOND_RUN, settled=True)), index
    )


def replace_task(state, index, task):
    """Return the state with the holder's record of one task replaced."""
    tasks = list(state.tasks)
    tasks[index] = task
    return state._replace(tasks=tuple(tasks))


def without(items, item):
    """Return a tuple without one occurrence of an item, if it has one."""
    rest = list(items)
    if item in rest:
        rest.remove(item)
    return tuple(rest)


@IncarnationsSpecification.mistakes.register("restart_ends_settled_runs")
class RestartEndsSettledRuns(IncarnationsSpecification):
    """Drops I2: a run that the new incarnation confirmed is given up."""

    def restart_ends_run(self, task):
        """Give up all settled runs."""
        return task.settled


@IncarnationsSpecification.mistakes.register("trusts_early_listing")
class TrustsEarlyListing(IncarnationsSpecification):
    """Drops I2: a start arrives after the listing that omits its run."""

    def omission_ends_run(self, task, index, inspection):
        """Give up all runs that a listing omits."""
        return True


@IncarnationsSpecification.mistakes.register("keeps_end_numbers")
class KeepsEndNumbers(IncarnationsSpecification):
    """Drops I1: an end of the new incarnation is taken for one already handled."""

    def after_restart(self, known, born):
        """Keep the numbers of the earlier incarnation."""
        restarted = super().after_restart(known, born)
        return known._replace(born=born, clock=born, lease_ticks=restarted.lease_ticks)


@IncarnationsSpecification.mistakes.register("late_commit_counts")
class LateCommitCounts(IncarnationsSpecification):
    """Drops I1: ends of the new incarnation are acknowledged before they are stored."""

    def commit_counts(self, known, commit):
        """Apply the answer to whichever incarnation is known."""
        return True


@IncarnationsSpecification.mistakes.register("acknowledges_always")
class AcknowledgesAlways(IncarnationsSpecification):
    """Drops I3: each inspection repeats the number, also to an unseen incarnation."""

    def acknowledged_number(self, state):
        """Acknowledge all stored ends again."""
        return state.known.stored


@IncarnationsSpecification.mistakes.register("acknowledges_after_overtaken_listing")
class AcknowledgesAfterOvertakenListing(IncarnationsSpecification):
    """Drops I3: the last listing was requested before a start was settled."""

    def listing_allows_acknowledgement(self, state, inspection):
        """Allow an acknowledgement after every listing."""
        return True


@IncarnationsSpecification.mistakes.register("takes_old_listing_for_new")
class TakesOldListingForNew(IncarnationsSpecification):
    """Drops I4: a listing of the former incarnation arrives late."""

    def ignores_listing(self, known, inspection):
        """Apply every listing."""
        return False


@IncarnationsSpecification.mistakes.register("short_lease_after_restart")
class ShortLeaseAfterRestart(IncarnationsSpecification):
    """Drops I5: the new incarnation took a deadline of the earlier clock."""

    def restarted_lease_ticks(self, known):
        """Expect the lease that the clock of the new incarnation would give."""
        return SHORT_LEASE_TICKS


@IncarnationsSpecification.mistakes.register(
    "longest_lease_without_delay_after_restart"
)
class LongestLeaseWithoutDelayAfterRestart(IncarnationsSpecification):
    """Drops I5: a call extends the lease after the new incarnation was seen."""

    def restarted_lease_ticks(self, known):
        """Expect no call to be carried out late."""
        return LONGEST_LEASE_TICKS


@IncarnationsSpecification.mistakes.register("short_lease_for_unlisted_run")
class ShortLeaseForUnlistedRun(IncarnationsSpecification):
    """Drops I6: only an unseen incarnation has confirmed the run."""

    def unreachable_run_is_gone(self, state, task):
        """Expect the lease of the known incarnation."""
        return state.known.lease_ticks == 0


@IncarnationsSpecification.mistakes.register("longest_lease_without_delay")
class LongestLeaseWithoutDelay(IncarnationsSpecification):
    """Drops I6: a call that is carried out late extends the lease after the wait."""

    def longest_wait_ticks(self):
        """Count the longest lease from the time at which the call was sent."""
        return LONGEST_LEASE_TICKS


@IncarnationsSpecification.mistakes.register("starts_while_acknowledging")
class StartsWhileAcknowledging(IncarnationsSpecification):
    """Drops I7: an acknowledgement reaches an unseen incarnation after a start."""

    def may_start(self, state):
        """Send starts at any time."""
        return True


@IncarnationsSpecification.mistakes.register("reads_clock_of_former_incarnation")
class ReadsClockOfFormerIncarnation(IncarnationsSpecification):
    """Drops I1: an answer of the former incarnation sets the clock of the new one."""

    def after_reading(self, known, task):
        """Apply the reading to whichever incarnation is known."""
        return known._replace(clock=task.started_by) if task.started_by else known


@IncarnationsSpecification.mistakes.register("report_ends_settled_runs")
class ReportEndsSettledRuns(IncarnationsSpecification):
    """Drops I8: a report of the former incarnation's crash arrives late."""

    def report_ends_run(self, report, index):
        """Give up all runs that are settled when the report arrives."""
        return True
