"""
Specification of the incarnations of an endpoint that restarts under its id.

One holder starts tasks on an endpoint that may crash and start again. The new
incarnation runs nothing, numbers its ends from 1 and holds no lease; it accepts all
calls, since they name the id only. A task that is given up there is started on a second
endpoint, which never restarts. A call may be carried out at any time after it was sent,
also by a later incarnation than the one that the holder knew when it decided on it, and
answers may overtake each other. Each call carries the holder's fencing token of the
time when it was sent. An incarnation keeps the highest token that it has seen and does
nothing for a lower one.

The rules are:

- F1. The holder raises its token once it suspects or notices a restart: by a record of
  another incarnation, by a listing of another one, or by an answer to a start whose
  clock the known one can't have. The restart is suspected until a listing is answered
  that carried a token raised since.
- F2. The holder raises its token after a start, or an inspection that carried a
  deadline or an acknowledgement, got no answer. (Here, it does so only if the call may
  still be carried out.)
- F3. While a restart is suspected, no call carries a deadline or an acknowledgement,
  and no start is sent.
- I1. What is known of an incarnation is one object (its clock, its lease and the
  numbers of its ends), which is replaced as a whole when a listing names another
  incarnation. A commit marks ends as stored only in the incarnation that listed them.
  The answer to a start tells the clock only of the incarnation that was known when the
  start was sent.
- I2. A listing of a new incarnation shows that runs which an earlier one listed are
  gone. A run that no listing has shown stays if it is listed, and is gone if it is
  omitted by a listing that was requested after its start order was settled. An answer
  settles a start order. One without an answer is settled only when it can't be carried
  out any more: a stop bars it on the incarnation that it reached, not on a later one.
- I3. An acknowledgement is sent only for ends that are stored and not acknowledged yet,
  and only if every start was settled before the last listing was requested. A repeated
  inspection acknowledges nothing.
- I4. A listing that was requested before the known incarnation was first seen, and that
  names another one, is ignored.
- I5. The lease of a new incarnation is known only from a listing that ended the
  suspicion: from then on the incarnation refuses all older calls, and its lease lasts
  for the longest one allowed at most. A run that it listed is gone without an answer
  when that lease is over.
- I6. A run that no listing has shown counts as gone on an unreachable endpoint only
  after the longest lease allowed and the longest delay of a call. No token reaches an
  incarnation that is not listed.
- I7. No start is sent while a call that acknowledges ends waits for its answer. If it
  gets none, the starts that follow carry a higher token (F2).
- I8. A report that the endpoint's host is down ends only runs that were settled before
  the host was seen to be down.

A start order that is refused has not run. Time passes in ticks. A deadline on the clock
of the incarnation that receives it is absolute. One that was computed on an earlier
incarnation's clock may be far ahead, so the lease is then the longest one allowed,
counted from when the call is carried out.

One assumption on the delay of calls remains, ``LATE_CALL_TICKS``. I6 needs it, and I2
for a start without an answer, since nothing else tells that a call won't reach an
incarnation that has not been listed. No other rule rests on it: where calls are late
without a limit, I6 gives up no run and such a start is never settled. Without ticks a
start is settled in the step in which it gets too late.

Some parts of the rules are not needed for safety. Two only serve to act sooner or to
save calls: that a new incarnation ends the runs which an earlier one listed (I2), and
that no end is acknowledged twice (I3). Two others are covered by the rest as long as I3
and I7 hold in full: that the token is raised after other calls than acknowledgements
(F2), and that no end is acknowledged while a restart is suspected (F3).

Not modelled: changes of the holder and lost commits (see ``shard``), a second run of a
task on the endpoint that restarts, stops of listed runs, restarts that are suspected
without cause, and the rates of clocks. A task that is given up starts on the second
endpoint at once.
"""

from typing import NamedTuple

from magnoliapier.registry import Registry
from magnoliapier.specifications.specification import Specification, specifications

SHORT_LEASE_TICKS = 2
LONGEST_LEASE_TICKS = 3
# The longest time after which a call may reach an incarnation that is not listed.
LATE_CALL_TICKS = 1

NO_RUN, FIRST_RUN, SECOND_RUN = range(3)
REQUESTED, UNANSWERED, HELD, ANSWERED = range(4)


class Task(NamedTuple):
    """
    The holder's record of a task.

    ``run`` is ``FIRST_RUN`` on the endpoint that restarts or ``SECOND_RUN`` on the
    other one. ``settled`` says that the start order can't start the first run any more,
    ``unanswered`` that it may, but the holder waits no longer for the answer.
    ``ordered_to`` is the incarnation that the holder knew when it sent the order and
    ``started_by`` the one whose answer is in transit; both are 0 once the start is
    settled. ``confirmed_unseen`` says that an incarnation confirmed the start which the
    holder did not know yet. ``listed_by`` is the incarnation that listed the first run,
    0 if none did.
    """

    run: int = NO_RUN
    unanswered: bool = False
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
    again by a listing. ``fenced`` says that the incarnation refuses all calls that were
    sent before it was known. ``lease_ticks`` counts the ticks until the lease has
    lapsed, and counts only if ``fenced``.
    """

    born: int = 1
    clock: int = 1
    handled: int = 0
    stored: int = 0
    acknowledged: int = 0
    may_acknowledge: bool = False
    fenced: bool = True
    lease_ticks: int = 0


class Start(NamedTuple):
    """A start order in transit; ``clock`` is the incarnation of its deadline."""

    task: int
    clock: int
    token: int
    age_ticks: int = 0


class Inspection(NamedTuple):
    """
    An inspection under way.

    It is ``UNANSWERED`` if it may still be carried out, but the holder waits no longer.
    ``acknowledged`` is 0 if it acknowledges nothing. ``clock`` is the incarnation of
    the deadline's clock, 0 without a deadline. ``known`` is the incarnation that the
    holder knew at the request, and ``settled`` the tasks whose start was settled then.
    The last three fields are those of the answer.
    """

    stage: int
    acknowledged: int
    clock: int
    token: int
    known: int = 0
    settled: tuple = ()
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
    """
    The current incarnation; ``running`` and ``ends`` are what it lists.

    ``token`` is the highest one that it has seen. ``barred`` are the tasks whose start
    in transit it refuses after a stop.
    """

    born: int = 1
    token: int = 0
    barred: tuple = ()
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

    ``token`` is the holder's fencing token. While a restart is suspected, ``fence`` is
    the token that a listing must have carried to end the suspicion, otherwise 0.
    ``longest_ticks`` counts the ticks until a lease of any incarnation has lapsed that
    a call of the holder may have extended. ``report`` is a report in transit that the
    endpoint's host was down: the tasks whose start was settled by then, which the
    holder can tell if the report names the time. ``stored`` and ``noted`` are the tasks
    that are stored as done and whose ``done`` end was acknowledged. ``repeated`` is set
    by a start after such an end, whether it was acknowledged before or after the start.
    """

    tasks: tuple
    known: Known = Known()
    token: int = 1
    fence: int = 0
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
    """The rules F1 to F3 and I1 to I8."""

    name = "incarnations"
    mistakes = Registry("incarnations mistake")
    # The smallest scenarios come first, since a mistake is looked for in this order.
    # ``tokens`` is how many tokens may be in use at a time, ``unanswered`` whether the
    # holder may give up waiting for an answer, and ``late_ticks`` the longest delay of
    # a call, None for any.
    scenarios = {
        "reports": {
            "tasks": 1,
            "restarts": 1,
            "inspections": 1,
            "ends": 1,
            "tokens": 3,
            "unanswered": True,
            "ticks": False,
            "late_ticks": None,
            "reports": True,
        },
        "acknowledgements": {
            "tasks": 2,
            "restarts": 1,
            "inspections": 1,
            "ends": 2,
            "tokens": 2,
            "unanswered": False,
            "ticks": False,
            "late_ticks": None,
            "reports": False,
        },
        "suspicion": {
            "tasks": 1,
            "restarts": 1,
            "inspections": 2,
            "ends": 0,
            "tokens": 2,
            "unanswered": False,
            "ticks": True,
            "late_ticks": None,
            "reports": False,
        },
        "clocks": {
            "tasks": 2,
            "restarts": 1,
            "inspections": 1,
            "ends": 0,
            "tokens": 2,
            "unanswered": False,
            "ticks": True,
            "late_ticks": None,
            "reports": False,
        },
        "unlisted": {
            "tasks": 1,
            "restarts": 1,
            "inspections": 1,
            "ends": 1,
            "tokens": 2,
            "unanswered": True,
            "ticks": True,
            "late_ticks": LATE_CALL_TICKS,
            "reports": False,
        },
        "late acknowledgements": {
            "tasks": 2,
            "restarts": 1,
            "inspections": 1,
            "ends": 1,
            "tokens": 2,
            "unanswered": True,
            "ticks": False,
            "late_ticks": None,
            "reports": False,
        },
        "leases": {
            "tasks": 1,
            "restarts": 1,
            "inspections": 1,
            "ends": 1,
            "tokens": 2,
            "unanswered": True,
            "ticks": True,
            "late_ticks": None,
            "reports": False,
        },
        "several raises": {
            "tasks": 1,
            "restarts": 1,
            "inspections": 1,
            "ends": 0,
            "tokens": 3,
            "unanswered": True,
            "ticks": True,
            "late_ticks": None,
            "reports": False,
        },
        "overtaking": {
            "tasks": 1,
            "restarts": 2,
            "inspections": 2,
            "ends": 1,
            "tokens": 2,
            "unanswered": False,
            "ticks": False,
            "late_ticks": None,
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

    def suspect(self, state):
        """Return the state once a restart is suspected, with a raised token (F1)."""
        if state.fence:
            return state
        return state._replace(token=state.token + 1, fence=state.token + 1)

    def after_no_answer(self, state):
        """Return the state after a call that may do harm later got no answer (F2)."""
        return state._replace(token=state.token + 1)

    def refuses(self, endpoint, token):
        """Return whether an incarnation does nothing for a call with a token."""
        return token < endpoint.token

    def may_extend(self, state):
        """Return whether a call may carry a deadline (F3)."""
        return not state.fence

    def after_restart(self, known, born):
        """Return what is known of a new incarnation (I1, I5)."""
        return Known(born=born, clock=born, fenced=False)

    def ends_suspicion(self, state, inspection):
        """Return whether a listing ends the suspicion of a restart (F1, I5)."""
        return inspection.token >= state.fence

    def commit_counts(self, known, commit):
        """Return whether a commit's answer marks ends as stored (I1)."""
        return commit.born == known.born

    def after_reading(self, known, task):
        """Return what is known after the reading in the answer to a start (I1)."""
        if task.ordered_to == known.born == task.started_by:
            return known._replace(clock=task.started_by)
        return known

    def restart_ends_run(self, task):
        """Return whether a new incarnation shows that a run is gone (I2)."""
        return task.listed_by > 0

    def omission_ends_run(self, task, index, inspection):
        """Return whether a listing that omits a run shows that it is gone (I2)."""
        return index in inspection.settled

    def acknowledged_number(self, state):
        """Return the number that an inspection acknowledges, 0 for none (F3, I3)."""
        known = state.known
        if state.fence or not known.may_acknowledge:
            return 0
        return known.stored if known.stored > known.acknowledged else 0

    def stop_settles_start(self):
        """Return whether a stop settles a start that is still in transit (I2)."""
        return False

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

    def restarted_lease_ticks(self):
        """Return the ticks until the lease of a new incarnation has lapsed (I5)."""
        return LONGEST_LEASE_TICKS

    def unreachable_run_is_gone(self, state, task):
        """Return whether a run counts as gone without an answer (I5, I6)."""
        if task.listed_by:
            return state.known.fenced and state.known.lease_ticks == 0
        return self.bounds["late_ticks"] is not None and state.longest_ticks == 0

    def longest_wait_ticks(self):
        """Return the ticks after a call until no lease that it extended lasts (I6)."""
        return LONGEST_LEASE_TICKS + LATE_CALL_TICKS

    def report_ends_run(self, report, index):
        """Return whether a report that the host was down shows a run gone (I8)."""
        return index in report

    def may_start(self, state):
        """Return whether a start may be sent (F3, I7)."""
        return not state.fence and not self.waits_for_acknowledgement(state)

    def waits_for_acknowledgement(self, state):
        """Return whether a call that acknowledges ends waits for its answer (I7)."""
        return any(
            inspection.acknowledged and inspection.stage == REQUESTED
            for inspection in state.inspections
        )

    def successors(self, state):
        """Yield the steps of the holder, the network, the endpoint and time."""
        if nothing_can_run(state):
            return
        for label, after in self._steps(state):
            yield label, renumber_tokens(self._without_refused(after))

    def _without_refused(self, state):
        """Return the state without late calls that no incarnation will carry out."""
        endpoint = state.endpoint
        if endpoint.born <= self.bounds["restarts"]:
            return state
        for start in state.starts:
            if self.refuses(endpoint, start.token):
                state = drop_start(state, start.task)
        for call in state.inspections:
            if call.stage == UNANSWERED and self.refuses(endpoint, call.token):
                rest = without(state.inspections, call)
                state = state._replace(inspections=rest)
        return state

    def _steps(self, state):
        for index, task in enumerate(state.tasks):
            yield from self._task_steps(state, index, task)
        for start in state.starts:
            yield f"the start of t{start.task} arrives", self._after_start(state, start)
        restarted = state.endpoint.born > state.known.born
        if restarted and not state.fence and self._may_raise(state):
            yield "a record of another incarnation arrives", self.suspect(state)
        yield from self._request_inspection(state)
        for inspection in set(state.inspections):
            yield from self._inspection_steps(state, inspection)
        yield from self._commit_steps(state)
        if state.report is not None:
            yield "a report that the host was down arrives", self._after_report(state)
        yield from self._endpoint_steps(state)
        if self.bounds["ticks"]:
            yield "a tick passes", after_tick(state, self.bounds["late_ticks"])

    def _may_raise(self, state):
        return state.token < self.bounds["tokens"]

    def _may_wait_no_more(self, state):
        """Return whether the holder may stop to wait for a call in transit."""
        late = [call for call in state.inspections if call.stage == UNANSWERED]
        may_raise = self._may_raise(state) and len(late) < self.bounds["tokens"] - 1
        return self.bounds["unanswered"] and may_raise

    def _task_steps(self, state, index, task):
        if task.run == NO_RUN:
            # The tasks are interchangeable, so they are ordered in sequence.
            is_next = index == 0 or state.tasks[index - 1].run != NO_RUN
            if is_next and self.may_start(state):
                yield f"t{index} is ordered", self._order_start(state, index, task)
        elif task.run == FIRST_RUN and not task.done:
            if task.unanswered:
                yield from self._unanswered_steps(state, index, task)
            elif not task.settled:
                yield from self._answer_steps(state, index, task)
            if self.bounds["ticks"] and self.unreachable_run_is_gone(state, task):
                yield f"t{index} is given up without an answer", give_up(state, index)

    def _order_start(self, state, index, task):
        start = Start(index, state.known.clock, state.token)
        state = state._replace(
            starts=tuple(sorted((*state.starts, start))),
            known=state.known._replace(may_acknowledge=False),
        )
        ordered = task._replace(run=FIRST_RUN, ordered_to=state.known.born)
        state = replace_task(state, index, ordered)
        return self._after_deadline_sent(state)

    def _answer_steps(self, state, index, task):
        """Yield the steps of a start whose answer the holder waits for."""
        unanswered = replace_task(
            state, index, task._replace(unanswered=True, ordered_to=0, started_by=0)
        )
        label = f"the start of t{index} gets no answer"
        if is_in_transit(state, index):
            if self._may_wait_no_more(state):
                yield label, self.after_no_answer(unanswered)
            return
        if self.bounds["unanswered"]:
            yield label, unanswered
        if not task.started_by:
            yield f"the start of t{index} is refused", give_up(state, index)
            return
        unseen = task.started_by > state.known.born
        confirmed = task._replace(
            settled=True,
            ordered_to=0,
            started_by=0,
            confirmed_unseen=self.bounds["ends"] > 0 and unseen,
        )
        answered = replace_task(state, index, confirmed)._replace(
            known=self.after_reading(state.known, task)
        )
        label = f"the start of t{index} is answered"
        yield label, answered
        other = task.ordered_to == state.known.born != task.started_by
        if other and not state.fence and self._may_raise(state):
            yield f"{label} by another incarnation", self.suspect(answered)

    def _unanswered_steps(self, state, index, task):
        """Yield the steps of a start whose answer the holder waits for no more."""
        in_transit = is_in_transit(state, index)
        settled_task = task._replace(unanswered=False, settled=True)
        settled = replace_task(state, index, settled_task)
        if not in_transit:
            yield f"the start of t{index} is settled", settled
        elif not self.bounds["ticks"]:
            yield f"the start of t{index} gets too late", drop_start(settled, index)
        after = settled if self.stop_settles_start() else state
        yield f"t{index} is stopped", after_stop(after, index, in_transit)

    def _after_deadline_sent(self, state):
        """Return the state after a call was sent that extends the lease."""
        if not self.bounds["ticks"]:
            return state
        lease_ticks = max(state.known.lease_ticks, SHORT_LEASE_TICKS)
        state = state._replace(known=state.known._replace(lease_ticks=lease_ticks))
        if self.bounds["late_ticks"] is None:
            return state
        return state._replace(longest_ticks=self.longest_wait_ticks())

    def _after_start(self, state, start):
        endpoint = state.endpoint
        barred = start.task in endpoint.barred
        state = drop_start(state, start.task)
        if self.refuses(endpoint, start.token):
            return state
        endpoint = self._after_call(state.endpoint, start)
        state = state._replace(endpoint=endpoint)
        if barred or not granted_lease_ticks(endpoint, start):
            return state
        running = tuple(sorted((*endpoint.running, start.task)))
        state = state._replace(endpoint=endpoint._replace(running=running))
        task = state.tasks[start.task]
        if task.run == FIRST_RUN and not (task.settled or task.unanswered):
            task = task._replace(started_by=endpoint.born)
            state = replace_task(state, start.task, task)
        return after_run_begins(state, start.task)

    def _after_call(self, endpoint, call):
        """Return the endpoint after it saw the token and the deadline of a call."""
        endpoint = endpoint._replace(token=max(endpoint.token, call.token))
        if not self.bounds["ticks"]:
            return endpoint
        lease_ticks = max(endpoint.lease_ticks, granted_lease_ticks(endpoint, call))
        return endpoint._replace(lease_ticks=lease_ticks)

    def _request_inspection(self, state):
        awaited = [
            inspection
            for inspection in state.inspections
            if inspection.stage != UNANSWERED
        ]
        if len(awaited) == self.bounds["inspections"]:
            return
        acknowledged = self.acknowledged_number(state)
        extends = self.bounds["ticks"] and self.may_extend(state)
        inspection = Inspection(
            REQUESTED,
            acknowledged,
            state.known.clock if extends else 0,
            state.token,
            state.known.born,
            settled_tasks(state),
        )
        if acknowledged:
            state = state._replace(known=state.known._replace(may_acknowledge=False))
        state = state._replace(
            inspections=tuple(sorted((*state.inspections, inspection)))
        )
        label = f"inspects, acknowledges {acknowledged}"
        yield label, self._after_deadline_sent(state) if extends else state

    def _inspection_steps(self, state, inspection):
        rest = without(state.inspections, inspection)
        endpoint = state.endpoint
        if inspection.stage in (REQUESTED, UNANSWERED):
            yield (
                f"an inspection arrives at i{endpoint.born}",
                self._after_inspection(state, inspection, rest),
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
        elif (
            inspection.born == state.known.born or state.fence or self._may_raise(state)
        ):
            yield f"the listing of i{inspection.born} is received", self._after_listing(
                state._replace(inspections=rest), inspection
            )
        label = "an inspection gets no answer"
        harmful = inspection.clock or inspection.acknowledged
        if inspection.stage == REQUESTED and harmful:
            if self._may_wait_no_more(state):
                late = inspection._replace(stage=UNANSWERED, known=0, settled=())
                after = state._replace(inspections=tuple(sorted((*rest, late))))
                yield label, self.after_no_answer(after)
        elif inspection.stage in (REQUESTED, ANSWERED):
            yield label, state._replace(inspections=rest)

    def _after_inspection(self, state, inspection, rest):
        """Return the state after an inspection was carried out or refused."""
        if self.refuses(state.endpoint, inspection.token):
            return state._replace(inspections=rest)
        after = after_acknowledgement(state, inspection.acknowledged)
        endpoint = self._after_call(after.endpoint, inspection)
        if inspection.stage == REQUESTED:
            held = inspection._replace(stage=HELD, clock=0, age_ticks=0)
            rest = tuple(sorted((*rest, held)))
        return after._replace(endpoint=endpoint, inspections=rest)

    def _after_listing(self, state, inspection):
        known = state.known
        if inspection.born != known.born:
            if self.ignores_listing(known, inspection):
                return state
            state = self.suspect(state)
            state = state._replace(known=self.after_restart(known, inspection.born))
            for index, task in enumerate(state.tasks):
                live = task.run == FIRST_RUN and not task.done
                if live and self.restart_ends_run(task):
                    state = give_up(state, index)
        elif inspection.known == known.born:
            acknowledged = max(known.acknowledged, inspection.acknowledged)
            state = state._replace(known=known._replace(acknowledged=acknowledged))
        if state.fence and self.ends_suspicion(state, inspection):
            state = self._after_suspicion(state)
        for number, index in inspection.ends:
            if number > state.known.handled:
                task = state.tasks[index]
                done = Task(
                    task.run,
                    settled=True,
                    confirmed_unseen=task.confirmed_unseen,
                    done=True,
                )
                state = replace_task(state, index, done)
                state = state._replace(known=state.known._replace(handled=number))
        for index, task in enumerate(state.tasks):
            if task.run != FIRST_RUN or task.done:
                continue
            if index in inspection.running:
                listed = task._replace(
                    unanswered=False,
                    settled=True,
                    ordered_to=0,
                    started_by=0,
                    listed_by=inspection.born,
                )
                state = replace_task(state, index, listed)
            elif self.omission_ends_run(task, index, inspection):
                state = give_up(state, index)
        may_acknowledge = self.bounds["ends"] > 0 and (
            self.listing_allows_acknowledgement(state, inspection)
        )
        return state._replace(
            known=state.known._replace(may_acknowledge=may_acknowledge)
        )

    def _after_suspicion(self, state):
        """Return the state after the known incarnation answered a raised token."""
        known = state.known
        if not known.fenced:
            lease_ticks = self.restarted_lease_ticks() if self.bounds["ticks"] else 0
            known = known._replace(fenced=True, lease_ticks=lease_ticks)
        return state._replace(known=known, fence=0)

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
            after = state._replace(
                endpoint=Endpoint(born=endpoint.born + 1),
                inspections=inspections,
                report=settled_tasks(state) if self.bounds["reports"] else None,
            )
            if self.bounds["late_ticks"] is None:
                after = limit_ages(after)
            yield f"i{endpoint.born} crashes and starts again", after


def settled_tasks(state):
    """Return the tasks whose first run is settled and not known to have ended."""
    return tuple(
        index
        for index, task in enumerate(state.tasks)
        if task.run == FIRST_RUN and task.settled and not task.done
    )


def nothing_can_run(state):
    """Return whether all runs were given up and no first one runs, begins or ended."""
    endpoint = state.endpoint
    return not (state.starts or endpoint.running or endpoint.ends) and all(
        task.run == SECOND_RUN for task in state.tasks
    )


def renumber_tokens(state):
    """
    Return the state with its tokens in sequence, as only their order matters.

    An incarnation that has seen none above the lowest counts as one that has seen none.
    """
    endpoint = state.endpoint
    if state.token == 1:
        if endpoint.token:
            return state._replace(endpoint=endpoint._replace(token=0))
        return state
    calls = (*state.starts, *state.inspections)
    tokens = {state.token, state.fence, *(call.token for call in calls)} - {0}
    if endpoint.token > min(tokens):
        tokens.add(endpoint.token)
    elif endpoint.token:
        state = state._replace(endpoint=endpoint._replace(token=0))
    if max(tokens) == len(tokens):
        return state
    numbers = {token: number for number, token in enumerate(sorted(tokens), 1)}
    numbers[0] = 0

    def renumbered(call):
        return call._replace(token=numbers[call.token])

    return state._replace(
        token=numbers[state.token],
        fence=numbers[state.fence],
        endpoint=state.endpoint._replace(token=numbers[state.endpoint.token]),
        starts=tuple(renumbered(start) for start in state.starts),
        inspections=tuple(sorted(renumbered(call) for call in state.inspections)),
    )


def is_in_transit(state, index):
    """Return whether the start of a task may still be carried out."""
    return any(start.task == index for start in state.starts)


def drop_start(state, index):
    """Return the state without the start of a task in transit."""
    return state._replace(
        starts=tuple(start for start in state.starts if start.task != index),
        endpoint=state.endpoint._replace(barred=without(state.endpoint.barred, index)),
    )


def granted_lease_ticks(endpoint, call):
    """Return the ticks of lease that a call's deadline grants, 0 if it has passed."""
    if call.clock == endpoint.born:
        return max(0, SHORT_LEASE_TICKS - call.age_ticks)
    return LONGEST_LEASE_TICKS if call.clock else 0


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


def after_stop(state, index, bars):
    """Return the state after a stop, which may bar a start from being carried out."""
    endpoint = state.endpoint
    barred = without(endpoint.barred, index)
    return state._replace(
        endpoint=endpoint._replace(
            token=state.token,
            running=without(endpoint.running, index),
            barred=tuple(sorted((*barred, index))) if bars else barred,
        ),
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


def after_tick(state, late_ticks):
    """Return the state after a tick; calls later than ``late_ticks`` are lost."""
    for start in state.starts:
        if start.age_ticks == late_ticks:
            state = drop_start(state, start.task)
    endpoint = state.endpoint
    if endpoint.lease_ticks == 1:
        ends = tuple(end._replace(lapsed=True) for end in endpoint.ends)
        endpoint = endpoint._replace(running=(), ends=ends)
    state = state._replace(
        known=state.known._replace(lease_ticks=max(0, state.known.lease_ticks - 1)),
        longest_ticks=max(0, state.longest_ticks - 1),
        endpoint=endpoint._replace(lease_ticks=max(0, endpoint.lease_ticks - 1)),
        starts=tuple(
            start._replace(age_ticks=start.age_ticks + 1) for start in state.starts
        ),
        inspections=tuple(
            (
                inspection._replace(age_ticks=inspection.age_ticks + 1)
                if inspection.stage in (REQUESTED, UNANSWERED)
                else inspection
            )
            for inspection in state.inspections
            if inspection.age_ticks != late_ticks
        ),
    )
    return state if late_ticks is not None else limit_ages(state)


def limit_ages(state):
    """Return the state with ages as far as they make a difference to a deadline."""

    def limited(call):
        expires = call.clock == state.endpoint.born
        age_ticks = min(call.age_ticks, SHORT_LEASE_TICKS) if expires else 0
        return call._replace(age_ticks=age_ticks)

    return state._replace(
        starts=tuple(sorted(limited(start) for start in state.starts)),
        inspections=tuple(sorted(limited(call) for call in state.inspections)),
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


def only(scenario):
    """Return the one scenario that a mistake is looked for in, to save time."""
    return {scenario: IncarnationsSpecification.scenarios[scenario]}


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
        return known._replace(born=born, clock=born, fenced=False)


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

    scenarios = only("overtaking")

    def ignores_listing(self, known, inspection):
        """Apply every listing."""
        return False


@IncarnationsSpecification.mistakes.register("stop_settles_start")
class StopSettlesStart(IncarnationsSpecification):
    """Drops I2: the start reaches an incarnation that began after the stop."""

    def stop_settles_start(self):
        """Expect that a stopped start can't be carried out."""
        return True


@IncarnationsSpecification.mistakes.register("short_lease_after_restart")
class ShortLeaseAfterRestart(IncarnationsSpecification):
    """Drops I5: the new incarnation took a deadline of the earlier clock."""

    scenarios = only("suspicion")

    def restarted_lease_ticks(self):
        """Expect the lease that the clock of the new incarnation would give."""
        return SHORT_LEASE_TICKS


@IncarnationsSpecification.mistakes.register("trusts_listing_with_old_token")
class TrustsListingWithOldToken(IncarnationsSpecification):
    """Drops I5: a call extends the lease after the new incarnation was seen."""

    scenarios = only("suspicion")

    def ends_suspicion(self, state, inspection):
        """Expect that a listed incarnation refuses older calls."""
        return True


@IncarnationsSpecification.mistakes.register("keeps_token_after_restart")
class KeepsTokenAfterRestart(IncarnationsSpecification):
    """Drops F1: a call extends the lease after a listing that was requested later."""

    scenarios = only("suspicion")

    def suspect(self, state):
        """Suspect the restart with the present token."""
        return state if state.fence else state._replace(fence=state.token)

    def ends_suspicion(self, state, inspection):
        """Wait for a listing that was requested after the restart was seen."""
        return inspection.known == state.known.born


@IncarnationsSpecification.mistakes.register("keeps_token_after_unanswered_call")
class KeepsTokenAfterUnansweredCall(IncarnationsSpecification):
    """Drops F2: a late acknowledgement reaches an unseen incarnation after a start."""

    scenarios = only("late acknowledgements")

    def after_no_answer(self, state):
        """Send all further calls with the token of the one without an answer."""
        return state


@IncarnationsSpecification.mistakes.register("endpoint_ignores_tokens")
class EndpointIgnoresTokens(IncarnationsSpecification):
    """Drops what I5 rests on: a fenced incarnation carries out an older call."""

    scenarios = only("suspicion")

    def refuses(self, endpoint, token):
        """Refuse no call."""
        return False


@IncarnationsSpecification.mistakes.register("extends_while_restart_is_suspected")
class ExtendsWhileRestartIsSuspected(IncarnationsSpecification):
    """Drops F3: a call with the raised token and a deadline of the earlier clock."""

    scenarios = only("suspicion")

    def may_extend(self, state):
        """Send a deadline with every inspection."""
        return True


@IncarnationsSpecification.mistakes.register("starts_while_restart_is_suspected")
class StartsWhileRestartIsSuspected(IncarnationsSpecification):
    """Drops F3: a start with the raised token and a deadline of the earlier clock."""

    scenarios = only("suspicion")

    def may_start(self, state):
        """Send starts unless an acknowledgement waits for its answer."""
        return not self.waits_for_acknowledgement(state)


@IncarnationsSpecification.mistakes.register("short_lease_for_unlisted_run")
class ShortLeaseForUnlistedRun(IncarnationsSpecification):
    """Drops I6: only an unseen incarnation has confirmed the run."""

    scenarios = only("unlisted")

    def unreachable_run_is_gone(self, state, task):
        """Expect the lease of the known incarnation."""
        return state.known.fenced and state.known.lease_ticks == 0


@IncarnationsSpecification.mistakes.register("longest_lease_without_delay")
class LongestLeaseWithoutDelay(IncarnationsSpecification):
    """Drops I6: a call that is carried out late extends the lease after the wait."""

    scenarios = only("unlisted")

    def longest_wait_ticks(self):
        """Count the longest lease from the time at which the call was sent."""
        return LONGEST_LEASE_TICKS


@IncarnationsSpecification.mistakes.register("starts_while_acknowledging")
class StartsWhileAcknowledging(IncarnationsSpecification):
    """Drops I7: an acknowledgement reaches an unseen incarnation after a start."""

    def may_start(self, state):
        """Send starts unless a restart is suspected."""
        return not state.fence


@IncarnationsSpecification.mistakes.register("reads_clock_of_former_incarnation")
class ReadsClockOfFormerIncarnation(IncarnationsSpecification):
    """Drops I1: an answer of the former incarnation sets the clock of the new one."""

    scenarios = only("clocks")

    def after_reading(self, known, task):
        """Apply the reading to whichever incarnation is known."""
        return known._replace(clock=task.started_by)


@IncarnationsSpecification.mistakes.register("report_ends_settled_runs")
class ReportEndsSettledRuns(IncarnationsSpecification):
    """Drops I8: a report of the former incarnation's crash arrives late."""

    def report_ends_run(self, report, index):
        """Give up all runs that are settled when the report arrives."""
        return True
