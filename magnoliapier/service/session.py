"""
The connection of a shard's controller to one endpoint.

A session extends the endpoint's lease, sends orders to it, and reports to the
controller which runs the endpoint lists, which have ended and which are gone;
``gone_runs`` decides the latter.
"""

import asyncio
import math

from magnoliapier.exceptions import (
    EndpointNotReachedError,
    EndpointUnreachableError,
    OrderRefusedError,
)
from magnoliapier.logs import get_logger
from magnoliapier.service import gone_runs
from magnoliapier.service.background import (
    cancel_tasks,
    report_failure,
    supervise,
)
from magnoliapier.service.clock import unix_ms
from magnoliapier.service.endpoint_lease import LATE_CALL_LIMIT_S, EndpointLease
from magnoliapier.service.endpoint_runs import EndpointRuns
from magnoliapier.service.endpoint_use import EndpointUse
from magnoliapier.service.gone_runs import START_SENDING_LIMIT_S
from magnoliapier.service.incarnation import EndpointIncarnation
from magnoliapier.service.order_slots import OrderSlots
from magnoliapier.service.orders import OrderRefusal, StartOrder
from magnoliapier.service.run_control import RETRY_DELAY_S, RunControl
from magnoliapier.submissions.progress import RunState

INSPECT_WAIT_MS = 1000  # how long the endpoint may hold back its answer
INSPECT_GAP_S = 0.14  # groups ends, so that many of them need few calls
ACKNOWLEDGE_DELAY_S = 1.2  # before an idle endpoint is called to acknowledge ends
# Longer after a listing, only starts that were settled before it rule out that a new
# incarnation has ended a run and would forget that end unread.
ACKNOWLEDGE_LISTING_AGE_S = 0.3
# A start follows a listing of at most this age, so that a restart is noticed first. It
# is longer than a listing that is held back, and the gap after it.
START_LISTING_AGE_S = 1.5
LOST_RETRY_DELAY_S = 1.0  # for an endpoint that does not answer and runs nothing
UNHEALTHY_BACKOFF_S = 0.6
NO_ROOM_BACKOFF_S = 0.15
# Below the connections that the client opens to one address: an order that waits for a
# connection uses up its time limit, and a listing must not have to wait for one.
MAX_CONCURRENT_ORDERS = 20
LEAVES_SOON_S = 1.0  # enough to stop what runs there

log = get_logger(__name__)


class EndpointSession:
    """
    Controls one endpoint under the tokens of ``fencing``, an EndpointFencing.

    ``owner`` is the ``RunEvents`` of the shard's controller: it is notified of listed,
    ended and gone runs, and its ``may_act()`` tells whether the shard's lease still
    allows orders.

    ``opened`` is whether the endpoint has answered an inspection, ``listed`` whether
    the directory lists it. ``failing_since`` is when it stopped answering, or None.
    ``blocked_until`` is when new runs may be placed here again after a refused or
    unanswered start. ``leaving`` is set once the pool places nothing new here, and
    ``released`` once its host may be moved or maintained. While
    ``lease_end_recorded``, the lease is not extended: LeaseEnds has told others when it
    ends. Times are seconds on the monotonic clock. ``lease`` holds the LeaseTerms of
    endpoints.
    """

    def __init__(self, record, client, owner, fencing, lease, clock):
        self.record = record
        self.opened = False
        self.listed = True
        self.failing_since = None
        self.blocked_until = 0.0
        self.released = False
        self.leaving = False
        self._last_answer_at = None
        self._last_start_at = 0.0
        self._last_call_at = 0.0
        self._last_listing_at = None
        self._listing_requested_at = 0.0
        self._checked_crash_at = None
        self._leaves_at = clock() + record.leaves_in_s
        self._client = client
        self._owner = owner
        self._fencing = fencing
        self._clock = clock
        self._lease = EndpointLease(lease, clock())
        self.lease_end_recorded = False
        self._incarnation = EndpointIncarnation(record.started_ms)
        self._wake = asyncio.Event()
        self._listing_lock = asyncio.Lock()
        self._order_slots = OrderSlots(MAX_CONCURRENT_ORDERS)
        self._control = RunControl(self, client, owner, fencing, self._order_slots)
        self._runs = EndpointRuns(record.capacity)
        self._task = None
        self._orders = set()

    @property
    def endpoint_id(self):
        """Return the endpoint's id."""
        return self.record.endpoint_id

    @property
    def incarnation(self):
        """Return the EndpointIncarnation that the last listing named."""
        return self._incarnation

    @property
    def health(self):
        """Return the EndpointHealth of the known incarnation."""
        return self._incarnation.health

    @property
    def live(self):
        """Return the live runs by task and run number."""
        return self._runs.by_key

    @property
    def room(self):
        """Return the FreeResources that the live runs leave."""
        return self._runs.room

    @property
    def last_token(self):
        """Return the highest token of the calls so far."""
        return self._fencing.token

    @property
    def tokens_used_up(self):
        """Return whether only another holder can still use the endpoint safely."""
        return self._fencing.used_up

    @property
    def has_long_running(self):
        """Return whether the endpoint runs a long-running task."""
        return self._runs.any_long_running

    @property
    def draining(self):
        """Return whether the endpoint has announced that it leaves."""
        return self.listed and self.record.draining

    def leaves_soon(self, now):
        """Return whether a draining endpoint may leave within ``LEAVES_SOON_S``."""
        return self.draining and now >= self._leaves_at - LEAVES_SOON_S

    def left_by_long_running(self):
        """Return the Resources that long-running tasks leave of the endpoint."""
        return self._runs.left_by_long_running(self.record.capacity)

    def usable(self, now):
        """Return whether new runs may be placed on the endpoint."""
        return self.use(now) is EndpointUse.USABLE

    def use(self, now):
        """Return the EndpointUse that tells whether new runs may be placed here."""
        if not self.opened:
            return EndpointUse.UNOPENED
        if not self.listed:
            return EndpointUse.UNLISTED
        if self.record.draining:
            return EndpointUse.DRAINING
        if self.released:
            return EndpointUse.RELEASED
        if self.leaving:
            return EndpointUse.LEAVING
        if self.failing_since is not None or self.lease_end_recorded:
            return EndpointUse.FAILING
        if self._fencing.pending:
            return EndpointUse.RESTART_SUSPECTED
        if not self._record_is_current():
            return EndpointUse.RECORD_OUTDATED
        if now < self.blocked_until:
            return EndpointUse.BLOCKED
        return EndpointUse.USABLE

    def _record_is_current(self):
        """Return whether the record is that of the incarnation listed last."""
        return self.record.started_ms in (0, self._incarnation.started_ms)

    @property
    def stays(self):
        """Return whether the endpoint is listed and nothing makes it leave the pool."""
        leaves = self.record.draining or self.leaving or self.released
        return self.listed and not leaves

    def may_run_late(self, until, now):
        """Return whether a start that may be carried out until then may run here."""
        failing = self.failing_since is not None
        return gone_runs.start_may_come_late(until, now, self._lease, failing)

    def belongs_to_pool(self):
        """Return whether the endpoint counts as part of the pool, opened or not."""
        return (
            self.listed
            and not self.record.draining
            and not self.released
            and self.failing_since is None
        )

    def start(self):
        """Start to inspect the endpoint."""
        self._task = supervise("session", self._run)

    async def close(self):
        """Cancel all calls to the endpoint."""
        await cancel_tasks(self._task, *self._orders)

    def adopt(self, live):
        """Take over a run that an earlier holder of the shard recorded."""
        live.settled_at = 0.0  # the higher fencing token blocks its start order
        live.late_until = self._clock() + LATE_CALL_LIMIT_S
        live.run.pace_known = False
        self._add(live)

    def reserve(self, live):
        """Reserve resources for a run whose start is ordered after the commit."""
        live.placed_on = self._incarnation
        self._runs.reserve(live)
        self._wake.set()

    def unsent_runs(self, submission_id):
        """Return how many runs of a submission wait for their orders to be sent."""
        return self._runs.unsent(submission_id)

    def holds(self, live):
        """Return whether a run is live."""
        return self._runs.holds(live)

    def _add(self, live):
        self._runs.add(live)
        self._wake.set()

    def drop(self, live):
        """Remove a run that is not on the endpoint any more and free its resources."""
        self._runs.drop(live)

    def mark_ends_stored(self, incarnation, end_number):
        """Record that all ends of an incarnation up to ``end_number`` are stored."""
        incarnation.mark_ends_stored(end_number)
        self._wake.set()

    def check_host_down(self, report):
        """
        Check an endpoint that crashed, by a CrashReport.

        It may be up again under its id, so the report only counts if the endpoint does
        not answer a call that was sent after it.
        """
        learned_at = report.learned_at
        if self._answered_since(learned_at) or self._checked_crash_at == learned_at:
            return
        self._checked_crash_at = learned_at
        self._spawn(self._confirm_host_down(report))

    async def _confirm_host_down(self, report):
        sent_at = self._last_call_at = self._clock()
        try:
            await self._client.inspect(self.record, self._fencing.token, None, 0, 0)
        except OrderRefusedError as error:
            log.info("host_not_down", endpoint=self.endpoint_id, reason=error.reason)
        except EndpointUnreachableError:
            if not self._answered_since(sent_at):
                self._drop_runs_of_crashed(report)
        else:
            log.info("host_not_down", endpoint=self.endpoint_id, reason="answered")

    def _answered_since(self, since):
        return self._last_answer_at is not None and self._last_answer_at >= since

    def _drop_runs_of_crashed(self, report):
        """
        Treat the runs as gone whose incarnation has certainly ended with the crash.

        All others stay live until a stop settles them or the lease lapses: they may run
        on an incarnation that began after the crash and can't be reached.
        """
        self._mark_failing("host_down")
        for live in gone_runs.crashed(self.live, report, self._incarnation):
            self._owner.run_gone(self, live, "host_down")

    def order_start(self, live):
        """Send the start order of a reserved run."""
        self._spawn(self._start_or_resolve(live))

    def order_stop(self, live, reason):
        """Send a stop order; the run stays live until it has ended or is gone."""
        if live.run.state != RunState.STOPPING:
            log.routine(
                "run_stop_ordered",
                task=live.task.name,
                run=live.run.number,
                endpoint=self.endpoint_id,
                reason=reason,
            )
            live.run.state = RunState.STOPPING
            live.run.stop_reason = reason
            self._spawn(self._control.stop(live))

    def order_pace(self, live, percent):
        """Throttle a run to ``percent`` of its full speed."""
        self._spawn(self._control.set_pace(live, percent))

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._orders.add(task)
        task.add_done_callback(self._order_ended)

    def _order_ended(self, task):
        self._orders.discard(task)
        if not task.cancelled() and task.exception() is not None:
            report_failure("order", task.exception())

    def update(self, record):
        """Apply a new directory record of the endpoint."""
        self.listed = True
        if record is not self.record:
            self._leaves_at = self._clock() + record.leaves_in_s
        if record.capacity != self.record.capacity:
            self._runs.set_capacity(record.capacity)
        known = (self.record.started_ms, self._incarnation.started_ms)
        self.record = record
        if record.started_ms not in known:
            self._suspect_restart("other_record")

    def _suspect_restart(self, cause):
        """
        Place, start, extend and acknowledge nothing before another listing.

        It is requested from now on, and outdates all calls that were sent before.
        """
        self._fencing.expect_restart()
        log.routine(
            "restart_suspected",
            endpoint=self.endpoint_id,
            token=self._fencing.token,
            cause=cause,
        )
        self._wake.set()

    async def _start_or_resolve(self, live):
        try:
            await self._start(live)
        except Exception as error:
            report_failure("start_order", error)
            await self._resolve_unanswered_start(live)

    async def _start(self, live):
        ordered_at = self._clock()
        async with self._order_slots.slot(live.progress.submission_id):
            await self._start_in_turn(live, ordered_at)

    async def _start_in_turn(self, live, ordered_at):
        kept = self.may_run_late(live.task.kept_until, ordered_at)
        listed = await self._ensure_listed(anew=kept)
        if not self._runs.holds(live):
            return  # given up while its commit was under way
        if not listed or not self._may_start(live):
            self._owner.run_gone(self, live, "not_sent")
            return
        incarnation = self._incarnation
        order = self._start_order(live)
        try:
            clock_ms = await self._client.start(self.record, order)
        except OrderRefusedError as error:
            self._handle_start_refusal(live, error.reason, order.token)
        except EndpointNotReachedError as error:
            self._handle_unsent_start(live, error)
        except EndpointUnreachableError as error:
            log.warning("start_unanswered", task=order.task, run=order.run, error=error)
            self.blocked_until = self._clock() + UNHEALTHY_BACKOFF_S
            self._spawn(self._resolve_unanswered_start(live))
        else:
            self._last_answer_at = self._clock()
            self._owner.start_confirmed(ordered_at, self._last_answer_at)
            clock = incarnation.clock
            same = clock.may_read(clock_ms, live.sent_at, self._last_answer_at)
            self._handle_confirmation(live, incarnation if same else None, clock_ms)

    def _may_start(self, live):
        """
        Return whether the start of a run may be sent now.

        Its placement holds for the incarnation that was known then: another one may be
        of another kind. A successor assumes that it was sent, if at all, within
        ``START_SENDING_LIMIT_S``.
        """
        placed_s_ago = self._clock() - live.run.ordered_at
        return (
            self._owner.may_act()
            and live.run.state == RunState.ORDERED
            and live.placed_on is self._incarnation
            and self._record_is_current()
            and not self._fencing.pending
            and not self.lease_end_recorded
            and placed_s_ago <= START_SENDING_LIMIT_S
        )

    def _start_order(self, live):
        """Return the StartOrder of a run that is to be sent at once."""
        sent_at = self._clock()
        self._runs.mark_sent(live)
        self._last_start_at = live.sent_at = sent_at
        live.late_until = sent_at + LATE_CALL_LIMIT_S
        return StartOrder(
            str(live.task.name),
            live.run.number,
            live.progress.submission.spec,
            self._lease.extend(self._incarnation, sent_at),
            self._fencing.bind_start(),
            live.checkpoint,
        )

    def _handle_confirmation(self, live, incarnation, clock_ms):
        """
        Record that an incarnation confirmed a start at ``clock_ms`` on its clock.

        ``incarnation`` is None if the clock of the known one does not read that: then a
        later one has confirmed the start.
        """
        live.incarnation = incarnation
        live.late_until = 0.0
        if incarnation is None:
            self._suspect_restart("other_clock")
            self._spawn(self._try_inspection(wait_ms=0))
        log.routine(
            "run_confirmed",
            task=live.task.name,
            run=live.run.number,
            endpoint=self.endpoint_id,
            born=incarnation.started_ms if incarnation else "unknown",
            token=self._fencing.token,
            clock_ms=clock_ms,
        )
        live.settled_at = self._clock()
        if live.run.state == RunState.ORDERED:
            live.run.state = RunState.CONFIRMED
        self._wake.set()

    async def _ensure_listed(self, anew=False):
        """
        List the runs of an endpoint that has not been listed lately, or ``anew``.

        Return whether it answers. Concurrent callers wait for one call.
        """
        async with self._listing_lock:
            if self.failing_since is not None:
                return False
            listed = self._listed_lately() and not anew
            return listed or await self._try_inspection(wait_ms=0)

    def _listed_lately(self):
        if self._last_listing_at is None or self._fencing.pending:
            return False
        return self._clock() - self._last_listing_at <= START_LISTING_AGE_S

    def _handle_start_refusal(self, live, reason, token):
        now = self._clock()
        if reason != OrderRefusal.WRONG_INSTANCE:
            self.record_answer()
        self._owner.count_refusal(reason)
        if self._fenced_by_another(reason, token):
            self._owner.fenced(self)
            return
        if reason == OrderRefusal.NO_ROOM:
            self.blocked_until = now + NO_ROOM_BACKOFF_S
        elif reason in (OrderRefusal.UNHEALTHY, OrderRefusal.WRONG_INSTANCE):
            self.blocked_until = now + UNHEALTHY_BACKOFF_S
        log.info(
            "start_refused",
            task=live.task.name,
            run=live.run.number,
            endpoint=self.endpoint_id,
            reason=reason,
        )
        self._owner.run_gone(self, live, str(reason))

    def _handle_unsent_start(self, live, error):
        log.info(
            "start_not_sent", task=live.task.name, run=live.run.number, error=error
        )
        self.blocked_until = self._clock() + UNHEALTHY_BACKOFF_S
        self._owner.run_gone(self, live, "not_sent")

    def _fenced_by_another(self, reason, token):
        """Return whether a refusal shows a call of another holder to the endpoint."""
        return reason == OrderRefusal.FENCED and not self._fencing.is_outdated(token)

    async def _resolve_unanswered_start(self, live):
        """
        Keep a run whose start order got no answer if it runs; stop it otherwise.

        The order may have been carried out, so that only its answer was lost. A run
        that is not listed may still start later, which a stop order prevents.
        """
        self._suspect_restart("start_unanswered")
        try:
            async with self._listing_lock:
                await self._inspect(wait_ms=0)
        except Exception as error:  # whatever it is, the run has to be settled
            log.info("start_unresolved", task=live.task.name, error=repr(error))
        if not self._runs.holds(live) or live.run.state != RunState.ORDERED:
            return
        live.run.state = RunState.STOPPING
        live.run.stop_reason = "start_unanswered"
        await self._control.stop(live)

    def settle(self, live):
        """Record that the endpoint has answered a stop, which bars the start too."""
        live.settled_at = self._last_answer_at = self._clock()
        self._wake.set()

    def record_answer(self):
        """Record that the endpoint has answered a call."""
        self._last_answer_at = self._clock()

    async def _run(self):
        while True:
            delay_s = self._idle_delay()
            if delay_s is None or delay_s > 0:
                await self._sleep(delay_s)
                continue
            if not self.record.address or not self._owner.may_act():
                await asyncio.sleep(RETRY_DELAY_S)
                self._check_lease_lapse()
                continue
            if self._listed_lately():
                answered = await self._try_inspection()
            else:
                async with self._listing_lock:
                    answered = await self._try_inspection(wait_ms=0)
            await asyncio.sleep(INSPECT_GAP_S if answered else RETRY_DELAY_S)

    def _idle_delay(self):
        """Return the seconds until the next inspection, or None if none is needed."""
        if not self.opened or self.live:
            return 0
        if self.failing_since is not None and not self.released:
            return max(0.0, self._last_call_at + LOST_RETRY_DELAY_S - self._clock())
        if self._fencing.pending:
            return 0
        incarnation = self._incarnation
        if incarnation.end_to_acknowledge:
            due_at = incarnation.last_end_at + ACKNOWLEDGE_DELAY_S
            return max(0.0, due_at - self._clock())
        return None

    async def _sleep(self, delay_s):
        self._wake.clear()
        try:
            await asyncio.wait_for(self._wake.wait(), delay_s)
        except TimeoutError:
            return

    async def _try_inspection(self, wait_ms=None):
        """
        Inspect the endpoint; return whether it answered.

        After an unexpected error it counts as unreachable, so that its runs are given
        up once their lease has lapsed.
        """
        token = self._fencing.token
        try:
            await self._inspect(wait_ms)
        except OrderRefusedError as error:
            self._handle_inspection_refusal(error.reason, token)
        except EndpointUnreachableError as error:
            self._handle_inspection_failure(error)
        except Exception as error:
            report_failure("inspection", error)
            self._handle_inspection_failure(repr(error))
        else:
            return True
        return False

    async def _inspect(self, wait_ms=None):
        """
        List the endpoint's runs and apply the answer.

        ``wait_ms`` is how long the endpoint may hold back its answer, by default as
        long as nothing ends there.
        """
        sent_at = self._last_call_at = self._clock()
        incarnation = self._incarnation
        deadline_ms = None
        if self._may_extend():
            deadline_ms = self._lease.extend(incarnation, sent_at)
        if wait_ms is None:
            can_wait = self.live and self.opened and deadline_ms
            wait_ms = INSPECT_WAIT_MS if can_wait else 0
        acknowledged = self._end_to_acknowledge(sent_at)
        bound = deadline_ms is not None or acknowledged > 0
        token = self._inspection_token(deadline_ms, acknowledged)
        try:
            inspection = await self._client.inspect(
                self.record, token, deadline_ms, acknowledged, wait_ms
            )
        except EndpointNotReachedError:
            raise
        except EndpointUnreachableError:
            if bound:
                self._log_unanswered_inspection(token, deadline_ms, acknowledged)
                self._suspect_restart("inspection_unanswered")
            raise
        now = self._clock()
        if not self._recognise_incarnation(inspection, sent_at, now):
            return
        self._record_listing(inspection, token, sent_at, now)
        if self._incarnation is incarnation:
            incarnation.mark_ends_acknowledged(acknowledged)
        self._incarnation.clock.observe(inspection.clock_ms, sent_at, now)
        self._apply_inspection(inspection, sent_at, now)
        if not self.opened:
            self.opened = True
            self._owner.session_opened(self)

    def _inspection_token(self, deadline_ms, acknowledged):
        """Return the token of an inspection, which is bound if it changes anything."""
        if acknowledged:
            return self._fencing.bind_acknowledgement()
        if deadline_ms is not None:
            return self._fencing.bind()
        return self._fencing.token

    def _log_unanswered_inspection(self, token, deadline_ms, acknowledged):
        """Log a call that may still extend a lease, or make an endpoint forget ends."""
        log.info(
            "inspection_unanswered",
            endpoint=self.endpoint_id,
            born=self._incarnation.started_ms,
            token=token,
            deadline_ms=deadline_ms,
            acknowledged=acknowledged,
        )

    def _may_extend(self):
        """Return whether a call may extend the endpoint's lease."""
        known = self._incarnation.clock.known and not self._fencing.pending
        return known and self.failing_since is None and not self.lease_end_recorded

    def _record_listing(self, inspection, token, sent_at, now):
        """Record that the known incarnation answered a call that was sent then."""
        self._last_answer_at = self._last_listing_at = now
        self._listing_requested_at = sent_at
        self._fencing.record_listing(token)
        if not self._incarnation.fenced and not self._fencing.pending:
            self._incarnation.fenced = True
            self._lease.assume_longest(self._incarnation, inspection.clock_ms)
            log.routine(
                "incarnation_fenced",
                endpoint=self.endpoint_id,
                born=self._incarnation.started_ms,
                token=token,
                clock_ms=inspection.clock_ms,
            )
        self._mark_reachable()

    def _end_to_acknowledge(self, now):
        """
        Return the number of the last end to acknowledge, 0 for none.

        The endpoint forgets all ends up to the number, also if it has started again and
        counts them anew. An incarnation that has not been listed must not get a number
        once it may have ended a run.
        """
        if self._fencing.pending or self._last_listing_at is None:
            return 0
        recent = now - self._last_listing_at <= ACKNOWLEDGE_LISTING_AGE_S
        settled_by = now if recent else self._listing_requested_at
        if self._starts_were_settled(settled_by):
            return self._incarnation.end_to_acknowledge
        return 0

    def _starts_were_settled(self, at):
        """Return whether all starts were settled at a time, and none was sent since."""
        if self._last_start_at > at:
            return False
        return all(
            live.sent_at is None
            or (live.settled_at is not None and live.settled_at <= at)
            for live in self.live.values()
        )

    def _mark_reachable(self):
        if self.failing_since is not None:
            log.info("endpoint_regained", endpoint=self.endpoint_id)
        self.failing_since = None

    def _recognise_incarnation(self, inspection, sent_at, now):
        """
        Update the known incarnation from an inspection; return whether to apply it.

        An answer that was requested before the known incarnation was first listed, and
        names another one, may have been overtaken. The next listing decides.
        """
        known = self._incarnation
        if not known.started_ms:
            known.started_ms = inspection.started_ms
        if inspection.started_ms not in (0, known.started_ms):
            first_listed_at = known.first_listed_at
            if first_listed_at is not None and sent_at < first_listed_at:
                log.info(
                    "outdated_listing",
                    endpoint=self.endpoint_id,
                    born=inspection.started_ms,
                    known=known.started_ms,
                )
                return False
            self._begin_incarnation(inspection, now)
        elif known.first_listed_at is None:
            known.first_listed_at = now
        return True

    def _begin_incarnation(self, inspection, now):
        """
        Replace what is known of an endpoint that started again under its id.

        The new incarnation may have confirmed runs already, so that its listings decide
        which of them it runs.
        """
        log.warning(
            "endpoint_restarted",
            endpoint=self.endpoint_id,
            born=inspection.started_ms,
            previous=self._incarnation.started_ms,
            clock_ms=inspection.clock_ms,
            previous_clock_ms=self._incarnation.clock.lower_bound_ms(now),
            runs=len(self.live),
            listed=len(inspection.running),
        )
        self._owner.count_restart()
        self._incarnation = EndpointIncarnation(inspection.started_ms, now)
        self._fencing.begin_incarnation()

    def _apply_inspection(self, inspection, sent_at, now):
        for end in inspection.ended:
            if self._incarnation.handle_end(end.number, now):
                self._owner.run_ended(self, end)
        for listed_run in inspection.running:
            live = self.live.get((listed_run.task, listed_run.run))
            if live is None:
                self._owner.unknown_run(self, listed_run)
            else:
                if gone_runs.began_after_its_stop(live, self._incarnation):
                    self._spawn(self._control.stop(live))
                live.incarnation = self._incarnation
                live.late_until = 0.0
                self._owner.run_listed(self, live, listed_run, now)
        for live, reason in gone_runs.unlisted(
            self.live, inspection, sent_at, self._incarnation, self._fencing.pending
        ):
            self._keep_task_here(live, now)
            self._owner.run_gone(self, live, reason)

    def _keep_task_here(self, live, now):
        """Keep a task on the endpoint while its start may still be carried out."""
        until_s = gone_runs.late_start_ends_s(live, now, unix_ms())
        if until_s is not None:
            live.task.keep_on(self.endpoint_id, live.late_until, until_s)

    def stop_found_run(self, live):
        """Stop a listed run of which the shard had no record until now."""
        live.settled_at = self._clock()
        live.incarnation = self._incarnation
        self._add(live)
        self.order_stop(live, "unknown")

    def stop_unknown_run(self, listed_run):
        """
        Send one stop order for a listed run whose task the shard does not know.

        Nothing is sent without the lease, as the run may be a successor's. It takes
        room until it has ended, so nothing is placed beside it.
        """
        self.blocked_until = self._clock() + START_LISTING_AGE_S
        self._spawn(self._control.stop_once(listed_run.task, listed_run.run))

    def _handle_inspection_refusal(self, reason, token):
        if reason == OrderRefusal.FENCED:
            if self._fenced_by_another(reason, token):
                self._owner.fenced(self)
            return
        if reason != OrderRefusal.WRONG_INSTANCE:
            self.record_answer()
        self._mark_failing(reason)
        self._check_lease_lapse()

    def _handle_inspection_failure(self, error):
        self._mark_failing(error)
        self._check_lease_lapse()

    def _mark_failing(self, cause):
        if self.failing_since is None:
            self.failing_since = self._clock()
            self._wake.set()
            # The host of a released endpoint is moved or maintained.
            report = log.routine if self.released else log.warning
            report(
                "endpoint_lost",
                endpoint=self.endpoint_id,
                born=self._incarnation.started_ms,
                token=self._fencing.token,
                lease_left_ms=self._lease_left_ms(),
                cause=cause,
            )

    def _lease_left_ms(self):
        """Return in how many ms all runs have lapsed, or None if that is unknown."""
        left_s = self.lease_end() - self._clock()
        return round(left_s * 1000) if math.isfinite(left_s) else None

    @property
    def lease_lapsed(self):
        """Return whether the lease has lapsed, so that nothing runs on the endpoint."""
        return self._lease.lapsed(
            self._incarnation, self.opened, self.listed, self._clock()
        )

    def expect_lease_end(self, ends_at):
        """Use the recorded end of a lease that nobody has extended since."""
        self._lease.expect_end(ends_at)

    def lease_end(self):
        """Return when all runs have lapsed if no further call extends the lease."""
        return self._lease.end(
            self._incarnation, self.opened, self.listed, self.live.values()
        )

    def _check_lease_lapse(self):
        now = self._clock()
        if self.live and self.failing_since is not None and self.lease_lapsed:
            for live in gone_runs.lapsed(
                self.live, self._lease, self._incarnation, self.listed, now
            ):
                self._owner.run_gone(self, live, "lease_lapsed")
        if not self.live and not self.listed and self.lease_lapsed:
            self._owner.endpoint_gone(self)
