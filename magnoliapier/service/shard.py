"""
Controls one shard: all submissions and endpoints of one service.

One host at a time holds a shard. Its controller reads submissions from the store and
places their tasks on endpoints. It stores each decision before acting on it and each
end before acknowledging it, so that another host can take over at any moment.
"""

import asyncio
from operator import itemgetter

from magnoliapier.exceptions import (
    FencedError,
    MagnoliapierError,
    MessageError,
    PlatformError,
)
from magnoliapier.logs import get_logger
from magnoliapier.organisations.limits import HELD_BACK
from magnoliapier.placement.durations import DurationModel
from magnoliapier.placement.health import is_stalled
from magnoliapier.placement.limits import NO_LIMITS
from magnoliapier.placement.order import LAST_KEY, order_key
from magnoliapier.placement.scheduler import Scheduler
from magnoliapier.placement.shares import Shares
from magnoliapier.pools.report import (
    REPORT_KEY,
    decode_report,
    encode as encode_report,
)
from magnoliapier.service.background import (
    cancel_tasks,
    report_failure,
    supervise,
)
from magnoliapier.service.cleanup import FinishedRows
from magnoliapier.service.clock import unix_ms
from magnoliapier.service.fencing import EndpointFencing
from magnoliapier.service.intake import Intake
from magnoliapier.service.lease_ends import LeaseEnds
from magnoliapier.service.organisation_limits import OrganisationLimits
from magnoliapier.service.pacing import PaceControl
from magnoliapier.service.pool import (
    PoolManager,
    long_running_to_evacuate,
    long_running_to_save,
    runs_to_evacuate,
)
from magnoliapier.service.progress_rows import ProgressRows
from magnoliapier.service.run_events import RunEvents
from magnoliapier.service.session import EndpointSession
from magnoliapier.service.shard_gauges import ShardGauges
from magnoliapier.service.shard_tables import ShardTables
from magnoliapier.service.share_gauges import ShareGauges
from magnoliapier.service.start_delays import StartDelays
from magnoliapier.state.commit import FencedCommitter
from magnoliapier.state.lease import CONTROL_TABLE, FIRST_TOKEN
from magnoliapier.state.rows import Put
from magnoliapier.submissions.progress import LiveRun, RunState

TICK_S = 0.15
COMMIT_RETRY_S = 0.06
LOAD_RETRY_S = 0.2
REPORT_INTERVAL_S = 0.12

log = get_logger(__name__)


class ShardController:
    """
    Runs one shard while this host holds its lease.

    ``deps`` is a ``ShardDependencies``. ``on_lost(shard)`` is called when a commit
    shows that another host holds the shard.
    """

    def __init__(self, service, lease, deps, on_lost):
        self.service = service
        self.lease = lease
        self.tables = ShardTables()
        self._deps = deps
        self._clock = deps.boottime
        self._metrics = deps.metrics
        self._on_lost = on_lost
        self._committer = FencedCommitter(deps.store, service, lease, deps.boottime)
        self._uncommitted_starts = {}
        self._tasks = []
        self._pacing = PaceControl(service, self.tables, deps.metrics, self.may_act)
        self._gauges = ShardGauges(service, self.tables, deps.metrics)
        self._share_gauges = ShareGauges(service, deps.metrics)
        self._durations = DurationModel()
        self._pool = PoolManager(
            service,
            self._durations,
            lease.token == FIRST_TOKEN,
            lambda: deps.fleet.standby() is not None,
            deps.store.table_clock.latest_ms,
        )
        self._start_delays = StartDelays(service, deps.metrics)
        self._last_report = None
        self._last_report_at = 0.0
        self._finished_rows = FinishedRows(
            deps.store, service, deps.final_retention_s, deps.boottime()
        )
        self._progress_rows = ProgressRows(service)
        self._intake = Intake(
            service,
            self.tables,
            self._progress_rows,
            deps,
            self._on_submission_arrived,
        )
        self._events = RunEvents(
            service,
            self.tables,
            self._durations,
            deps,
            self.may_act,
            self._remove_endpoint,
            self._start_delays,
        )
        self._lease_ends = LeaseEnds(service, deps.store.table_clock)
        self._limits = OrganisationLimits(service, deps.fleet, deps.store, deps.metrics)
        self._lost = False
        # Above the tokens of sessions that were closed: their calls may come late.
        self._next_token = lease.token

    @property
    def loaded(self):
        """Return whether the stored submissions have been read."""
        return self._intake.loaded

    def may_act(self):
        """Return whether the lease allows orders to endpoints now."""
        return not self._lost and self.lease.may_act(self._clock())

    def start(self):
        """Start to load the shard and then to run it."""
        self._supervise("load", self._run)

    async def close(self):
        """Stop all work on the shard; its stored rows stay for the next holder."""
        await cancel_tasks(*self._tasks)
        await self._intake.close()
        await self._limits.close()
        for session in list(self.tables.sessions.values()):
            await session.close()

    async def _run(self):
        while True:
            try:
                await self._load()
                break
            except MagnoliapierError as error:
                log.warning("load_failed", shard=self.service, error=error)
                await asyncio.sleep(LOAD_RETRY_S)
        self._supervise("tick", self._tick)
        self._supervise("cycles", self._run_cycles)

    async def _run_cycles(self):
        while not self._lost:
            await self._cycle()

    def _supervise(self, part, run):
        name = f"shard_{part}"
        self._tasks.append(supervise(name, run, metrics=self._metrics))

    # Loading

    async def _load(self):
        await self._deps.refresh_endpoints()
        await self._load_report()
        await self._lease_ends.load(self._deps.store)
        await self._limits.load()
        await self._intake.load()
        self._sync_endpoints()
        self._adopt_runs()
        log.info(
            "shard_loaded",
            shard=self.service,
            token=self.lease.token,
            submissions=len(self.tables.progresses),
        )

    async def _load_report(self):
        changes = await self._deps.store.read(
            CONTROL_TABLE, self.service, REPORT_KEY, REPORT_KEY + "\x00"
        )
        if not changes.rows:
            return
        try:
            self._pool.restore(decode_report(changes.rows[0].value))
        except MessageError as error:
            log.error("unreadable_pool_report", shard=self.service, error=error)

    def _on_submission_arrived(self, progress):
        submission = progress.submission
        for step in submission.steps:
            self._durations.add_estimate(submission.queue, step.estimated_ms)
        now = self._clock()
        self._pool.submission_arrived(progress, now)
        if not progress.started and not submission.repeat_count:
            accepted_ago_s = (unix_ms() - submission.accepted_ms) / 1000
            self._start_delays.submission_known(
                progress.submission_id, accepted_ago_s, now
            )

    def _adopt_runs(self):
        for progress in self.tables.progresses.values():
            for task in list(progress.live_tasks()):
                for run in task.runs:
                    self._adopt_run(progress, task, run)

    def _adopt_run(self, progress, task, run):
        session = self.tables.sessions.get(run.endpoint_id)
        if session is None:
            session = self._open_unlisted_session(run)
        live = LiveRun(progress, task, run)
        session.adopt(live)
        if progress.cancelled or progress.failed:
            session.order_stop(live, "not_wanted")

    def _open_unlisted_session(self, run):
        """Open a session for an unlisted endpoint, kept until its lease lapses."""
        record = self._deps.directory.record_or_placeholder(
            run.endpoint_id, self.service
        )
        session = self._open_session(record)
        session.listed = False
        session.failing_since = self._clock()
        return session

    # Endpoints

    def _sync_endpoints(self):
        sessions = self.tables.sessions
        records = self._deps.directory.records_of(self.service)
        for endpoint_id, record in records.items():
            session = sessions.get(endpoint_id)
            if session is None:
                self._open_session(record)
            else:
                session.update(record)
        for endpoint_id, session in list(sessions.items()):
            if endpoint_id not in records:
                session.listed = False
                if not session.live:
                    self._remove_endpoint(session)

    def _open_session(self, record):
        session = EndpointSession(
            record,
            self._deps.endpoint_client,
            self._events,
            EndpointFencing(self._next_token, self.lease.last_token),
            self._deps.endpoint_lease,
            self._clock,
        )
        self._lease_ends.apply_to(session, self._clock())
        self.tables.sessions[record.endpoint_id] = session
        session.start()
        return session

    def _remove_endpoint(self, session):
        """Close the session of an endpoint that is unlisted and runs nothing."""
        if self.tables.sessions.pop(session.endpoint_id, None) is not None:
            log.routine("endpoint_gone", endpoint=session.endpoint_id)
            self._next_token = max(self._next_token, session.last_token + 1)
            self._tasks.append(asyncio.create_task(session.close()))

    def _check_crashed_endpoints(self):
        """Check the endpoints that were reported as crashed."""
        for endpoint_id, report in self._deps.fleet.crashes().items():
            session = self.tables.sessions.get(endpoint_id)
            if session is not None:
                session.check_host_down(report)

    # The cycle

    async def _tick(self):
        while not self._lost:
            await asyncio.sleep(TICK_S)
            self.tables.wake.set()
            self._gauges.update(self._pool.report(), self._clock())
            if self._finished_rows.due(self._clock()):
                await self._clean_up()

    async def _clean_up(self):
        for submission_id in await self._finished_rows.clean(self._clock(), unix_ms()):
            self.tables.final_states.pop(submission_id, None)

    async def _cycle(self):
        await self.tables.wake.wait()
        self.tables.wake.clear()
        now = self._clock()
        self._sync_endpoints()
        self._open_occurrences()
        self._adjust_pace(now)
        if self.may_act():
            self._check_crashed_endpoints()
            self._restart_stalled(now)
            limits = self._contain(
                "limits",
                self._limits.begin_pass,
                self.tables.sessions.values(),
                self.tables.progresses.values(),
                now,
                default=HELD_BACK,
            )
            self._contain("update_pool", self._update_pool, now, limits)
            self._contain("separate", self._separate, now)
            self._schedule(now, limits)
        await self._commit(now)
        if any(session.tokens_used_up for session in self.tables.sessions.values()):
            log.warning("fencing_tokens_used_up", shard=self.service)
            self._give_up()

    def _contain(self, name, function, *args, default=None):
        """
        Return ``function(*args)``, or ``default`` after an unexpected error in it.

        What can't be computed for one part must not stop the others of the cycle.
        """
        try:
            return function(*args)
        except Exception as error:
            report_failure(name, error, self._metrics)
            return default

    def _open_occurrences(self):
        now_ms = unix_ms()
        for progress in self.tables.progresses.values():
            if progress.submission.repeat_count and self._contain(
                "open_occurrences", progress.open_occurrences, now_ms
            ):
                self.tables.dirty.add(progress.submission_id)

    def _restart_stalled(self, now):
        """Stop short tasks that make no progress, so that they start elsewhere."""
        for session in self.tables.sessions.values():
            if session.failing_since is not None:
                continue
            for live in list(session.live.values()):
                if live.run.state == RunState.CONFIRMED and is_stalled(live):
                    session.health.task_stalled(now)
                    live.task.failed_on.add(session.endpoint_id)
                    session.order_stop(live, "stalled")
                    self._metrics.count("stalled_total", service=self.service)

    def _update_pool(self, now, limits):
        sessions = self.tables.sessions.values()
        self._pool.take_back(self._deps.fleet.plan.returned, now)
        evacuating = self._pool.update(
            [session for session in sessions if session.listed],
            self.tables.progresses.values(),
            self._deps.fleet.plan.to_maintain,
            self._deps.fleet.hosts_wanted(self.service),
            now,
            limits,
            self._deps.fleet.plan.keeps,
        )
        draining = [s for s in sessions if s.draining and s.has_long_running]
        if not evacuating and not draining:
            return
        scheduler = Scheduler(sessions, now)
        for session in evacuating:
            for live in runs_to_evacuate(session, scheduler.could_place, now):
                session.order_stop(live, "evacuated")
        for session in draining:
            if session.leaves_soon(now):
                to_stop = long_running_to_save(session, scheduler.could_hold)
            else:
                to_stop = long_running_to_evacuate(session, scheduler.could_place, now)
            for live in to_stop:
                session.order_stop(live, "draining")

    def _schedule(self, now, limits):
        now_ms = unix_ms()
        ordered = self._in_order(now, now_ms)
        scheduler = self._scheduler(now, limits)
        ordered_ms = self._deps.store.table_clock.latest_ms(now)
        for session, live in scheduler.place(ordered):
            live.run.ordered_ms = ordered_ms
            submission_id = live.progress.submission_id
            self._start_delays.run_placed(submission_id, now)
            self._uncommitted_starts.setdefault(submission_id, []).append(
                (session, live)
            )
            self.tables.dirty.add(submission_id)
        self._gauges.record_lacks_of_room(scheduler.without_room)

    def _in_order(self, now, now_ms):
        """Return the submissions whose tasks may start, in the order of service."""
        keyed = [
            (
                self._contain(
                    "order",
                    order_key,
                    progress,
                    self._durations,
                    now_ms,
                    default=LAST_KEY,
                ),
                progress,
            )
            for progress in self.tables.progresses.values()
            if not progress.cancelled and not progress.failed
        ]
        keyed.sort(key=itemgetter(0))
        ordered = [progress for _, progress in keyed]
        organisations = self._deps.organisations()
        if not organisations:
            return ordered
        return self._contain(
            "share", self._share, keyed, organisations, now, default=ordered
        )

    def _share(self, keyed, organisations, now):
        shares = Shares(organisations, self.tables.sessions.values())
        ordered = shares.in_order(keyed)
        self._share_gauges.record(shares, now)
        return ordered

    def _adjust_pace(self, now):
        self._pacing.adjust(now)

    def _separate(self, now):
        """Move best-effort tasks away from the tasks that they slow down."""
        self._pacing.separate(lambda: self._scheduler(now), now)

    def _scheduler(self, now, limits=NO_LIMITS):
        return Scheduler(
            self.tables.sessions.values(), now, limits, self._pacing.neighbours
        )

    # Committing

    async def _commit(self, now):
        dirty = self.tables.dirty
        batch = self._progress_rows.build_batch(self._dirty_progresses())
        all_included = len(batch.ids) == len(dirty)
        final_submissions = self._final_states(batch.ids)
        handled_ends = [
            (session, session.incarnation, session.incarnation.last_handled_end)
            for session in self.tables.sessions.values()
        ]
        dirty.difference_update(batch.ids)
        lease_ends_put = self._lease_ends.put(self.tables.sessions.values(), now)
        puts = [*batch.puts, *self._report_put(now)]
        puts += self._contain("usage_row", self._limits.puts, now, default=())
        if lease_ends_put is not None:
            puts.append(lease_ends_put)
        try:
            await self._committer.commit(puts, batch.removes)
        except FencedError as error:
            log.warning("shard_lost", shard=self.service, error=error)
            self._give_up()
            return
        except PlatformError as error:
            await self._retry_commit(batch.ids, error)
            return
        except Exception:
            self.tables.dirty.update(batch.ids)  # the next cycle stores them
            self._last_report = None
            self._limits.mark_uncertain()
            raise
        self._limits.mark_stored(now)
        if lease_ends_put is not None:
            self._lease_ends.mark_stored()
        self._send_starts(batch.ids)
        self._finish_submissions(final_submissions)
        if all_included:
            for session, incarnation, number in handled_ends:
                session.mark_ends_stored(incarnation, number)
        # What fits in no transaction waits for the next tick, so that others can run.
        if dirty and batch.ids:
            self.tables.wake.set()

    def _give_up(self):
        """Leave the shard to the next holder."""
        if not self._lost:
            self._lost = True
            self._on_lost(self)

    async def _retry_commit(self, ids, error):
        self.tables.dirty.update(ids)
        self._last_report = None
        self._limits.mark_uncertain()
        self._metrics.count("commit_retries_total", shard=self.service)
        log.info("commit_retried", shard=self.service, error=error)
        await asyncio.sleep(COMMIT_RETRY_S)
        self.tables.wake.set()

    def _dirty_progresses(self):
        """Return the progress to store; submissions that have ended get their time."""
        progresses = []
        for submission_id in list(self.tables.dirty):
            progress = self.tables.progresses.get(submission_id)
            if progress is None:
                self.tables.dirty.discard(submission_id)
                continue
            if progress.state.is_final and not progress.finished_ms:
                progress.finished_ms = unix_ms()
            progresses.append(progress)
        return progresses

    def _final_states(self, ids):
        """Return (submission id, state) of the submissions that have ended."""
        states = ((i, self.tables.progresses[i].state) for i in ids)
        return [(i, state) for i, state in states if state.is_final]

    def _report_put(self, now):
        """Return the put of a changed report, at most one per ``REPORT_INTERVAL_S``."""
        report = self._pool.report()
        if (
            report == self._last_report
            or now - self._last_report_at < REPORT_INTERVAL_S
        ):
            return []
        self._last_report, self._last_report_at = report, now
        return [Put(CONTROL_TABLE, self.service, REPORT_KEY, encode_report(report))]

    def _send_starts(self, ids):
        now = self._clock()
        for submission_id in ids:
            for session, live in self._uncommitted_starts.pop(submission_id, ()):
                if live.run.state == RunState.ORDERED:
                    self._start_delays.run_stored(live.run.ordered_at, now)
                    log.routine(
                        "run_ordered",
                        task=live.task.name,
                        run=live.run.number,
                        endpoint=session.endpoint_id,
                        token=self.lease.token,
                    )
                    session.order_start(live)
                elif live.run in live.task.runs:
                    self._events.run_gone(session, live, "not_sent")

    def _finish_submissions(self, final_submissions):
        for submission_id, state in final_submissions:
            self.tables.final_states[submission_id] = state
            self._start_delays.submission_ended(submission_id)
            progress = self.tables.progresses.get(submission_id)
            if progress is not None and not progress.has_live_runs:
                del self.tables.progresses[submission_id]
                self._progress_rows.forget(submission_id)
                self._finished_rows.add(progress)
                self._record_finished(progress, state)

    def _record_finished(self, progress, state):
        submission = progress.submission
        took_ms = progress.finished_ms - submission.accepted_ms
        self._metrics.observe(
            "submission_seconds", took_ms / 1000, queue=submission.queue, state=state
        )
        log.info("finished", id=submission.submission_id, state=state, took_ms=took_ms)
