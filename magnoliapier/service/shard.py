"""
The controller of one shard: all submissions and endpoints of one service.

One host at a time holds a shard. Its controller takes in submissions, places their
tasks, stores each decision before it is acted on, and stores each end before it is
acknowledged, so that another host can take over at any moment.
"""

import asyncio

from magnoliapier.exceptions import (
    FencedError,
    MessageError,
    PlatformError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.logs import get_logger
from magnoliapier.placement.durations import DurationModel
from magnoliapier.placement.health import stalled
from magnoliapier.placement.interference import fill_pace, worst_load
from magnoliapier.placement.order import order_key
from magnoliapier.placement.scheduler import Scheduler
from magnoliapier.pools.report import (
    REPORT_KEY,
    decode_report,
    encode as encode_report,
)
from magnoliapier.service.background import cancel_tasks
from magnoliapier.service.cleanup import TOMBSTONE, FinishedRows
from magnoliapier.service.clock import unix_ms
from magnoliapier.service.pool import PoolKeeper, evacuations
from magnoliapier.service.session import EndpointSession
from magnoliapier.service.watch import TableWatcher
from magnoliapier.state.commit import FencedCommitter
from magnoliapier.state.lease import CONTROL_TABLE, FIRST_TOKEN
from magnoliapier.state.rows import MAX_ENTRIES, Put
from magnoliapier.state.tables import (
    CANCEL_SUFFIX,
    intake_parts,
    progress_table,
    submissions_table,
)
from magnoliapier.submissions.codec import decode_progress, decode_submission, encode
from magnoliapier.submissions.model import (
    FINAL_STATES,
    EndReason,
    SubmissionState,
    TaskName,
)
from magnoliapier.submissions.progress import LiveRun, Progress, RunState

TICK_S = 0.15
INTAKE_WAIT_S = 1.0
INTAKE_GAP_S = 0.03
BATCH_SUBMISSIONS = MAX_ENTRIES - 4  # a row each, beside the lease and the report
COMMIT_RETRY_S = 0.06
LOAD_RETRY_S = 0.2
PACE_INTERVAL_S = 0.4
REPORT_INTERVAL_S = 0.12
LASTING_RETRY_S = 0.3
FAILED_RETRY_S = 0.05

log = get_logger(__name__)


class ShardController:
    """
    Runs one shard while its lease is held.

    ``directory`` lists endpoints; ``queue_named(name)`` returns a queue's present
    settings; ``on_lost(shard)`` is called when another host holds the shard.
    """

    def __init__(self, service, lease, deps, on_lost):
        self.service = service
        self.lease = lease
        self._deps = deps
        self._store = deps.store
        self._clock = deps.boottime
        self._metrics = deps.metrics
        self._on_lost = on_lost
        self._committer = FencedCommitter(deps.store, service, lease, deps.boottime)
        self._progresses = {}
        self._final_states = {}
        self._sessions = {}
        self._dirty = set()
        self._waiting_starts = {}
        self._wake = asyncio.Event()
        self._intake = None
        self._tasks = []
        self._paced_at = 0.0
        self._stored = {}
        self._durations = DurationModel()
        self._pool = PoolKeeper(service, self._durations, lease.token == FIRST_TOKEN)
        self._reported = None
        self._reported_at = 0.0
        self._finished = FinishedRows(
            deps.store, service, deps.keep_final_s, deps.boottime()
        )
        self._lost = False

    def start(self):
        """Load the shard and begin to act."""
        self._tasks.append(asyncio.create_task(self._run()))

    async def close(self):
        """Stop acting; what is stored stays for the next holder."""
        await cancel_tasks(*self._tasks)
        if self._intake is not None:
            await self._intake.close()
        for session in list(self._sessions.values()):
            await session.close()

    # Questions of entries

    def state_of(self, submission_id):
        """Return the stored state of a submission, or None if it is not known."""
        final = self._final_states.get(submission_id)
        if final is not None:
            return final
        progress = self._progresses.get(submission_id)
        if progress is None:
            return None
        state = progress.state
        return SubmissionState.RUNNING if state.is_final else state

    def pending(self, queue_name):
        """Return how many submissions of a queue have not begun."""
        return sum(
            1
            for progress in self._progresses.values()
            if progress.submission.queue == queue_name
            and not progress.started
            and not progress.cancelled
        )

    @property
    def loaded(self):
        """Return whether the stored submissions have been read."""
        return self._intake is not None and self._intake.complete.is_set()

    # What sessions ask and tell

    def may_act(self):
        """Return whether orders are allowed now."""
        return not self._lost and self.lease.may_act(self._clock())

    def fenced(self, session):
        """Take note that an endpoint has seen a later holder."""
        log.warning("fenced", shard=self.service, endpoint=session.endpoint_id)
        self._metrics.count("fenced_total", shard=self.service)

    def count_refusal(self, reason):
        """Count a refused start order."""
        self._metrics.count("start_refusals_total", reason=str(reason))

    def session_opened(self, session):
        """Begin to use an endpoint."""
        log.info("endpoint_opened", endpoint=session.endpoint_id, shard=self.service)
        self._wake.set()

    def endpoint_gone(self, session):
        """Forget an endpoint that has left and runs nothing."""
        if self._sessions.pop(session.endpoint_id, None) is not None:
            log.info("endpoint_gone", endpoint=session.endpoint_id)
            self._tasks.append(asyncio.create_task(session.close()))

    def run_reading(self, session, live, reading, now):
        """Apply what an endpoint lists of a running task."""
        run = live.run
        if reading.checkpoint:
            live.task.checkpoint = reading.checkpoint
        if reading.percent != run.percent or run.state == RunState.ORDERED:
            run.advanced_at = now
        run.listed_at = now
        run.percent = reading.percent
        run.reading = reading.reading
        if run.state == RunState.ORDERED:
            run.state = RunState.CONFIRMED
            live.settled_at = live.settled_at or now
        if not live.progress.started:
            live.progress.started = True
            self._mark(live.progress)
        unwanted = live.progress.cancelled or live.progress.failed or live.task.done
        if unwanted:
            session.order_stop(live, "not_wanted")

    def run_ended(self, session, end):
        """Apply an end that an endpoint lists for the first time."""
        live = session.live.get((end.task, end.run))
        if live is None:
            self._unexpected_end(session, end)
            return
        session.drop(live)
        self._metrics.count("ends_total", reason=end.reason)
        progress = live.progress
        self._learn(session, live, end.reason)
        used = progress.record_end(
            live.task, live.run, EndReason(end.reason), end.checkpoint
        )
        progress.started = True
        if used:
            live.task.not_before = self._clock() + (
                LASTING_RETRY_S if live.step.long_running else FAILED_RETRY_S
            )
        log.info(
            "run_ended",
            task=end.task,
            run=end.run,
            endpoint=session.endpoint_id,
            reason=end.reason,
            attempts=live.task.failures,
        )
        if used or live.task.done:
            self._stop_unwanted(progress, live.task)
        self._mark(progress)

    def _learn(self, session, live, reason):
        """Note how long a task took, or that it failed, for later placements."""
        now = self._clock()
        if reason == EndReason.FAILED:
            session.health.task_failed(live.progress.submission_id, now)
        if reason != EndReason.DONE or live.task.last_run > 1:
            return
        queue = live.progress.queue.name
        duration_ms = (now - live.run.ordered_at) * 1000
        expected_ms = self._durations.task_ms(queue, live.step)
        session.health.task_done(duration_ms, expected_ms)
        self._durations.observe(queue, duration_ms)

    def _unexpected_end(self, session, end):
        """Accept a late ``done`` of a run that was given up."""
        try:
            name = TaskName.parse(end.task)
        except ValueError:
            log.warning("foreign_end", task=end.task, endpoint=session.endpoint_id)
            return
        progress = self._progresses.get(name.submission_id)
        task = progress.task_named(name) if progress else None
        if task is None or task.done or end.reason != EndReason.DONE:
            return
        if task.step.long_running:
            return
        log.info("late_end", task=end.task, run=end.run, reason=end.reason)
        task.done = True
        self._stop_unwanted(progress, task)
        self._mark(progress)

    def run_gone(self, session, live, reason):
        """Make a task startable again whose run is surely not on its endpoint."""
        session.drop(live)
        if live.run in live.task.runs:
            live.task.runs.remove(live.run)
        self._metrics.count("runs_gone_total", reason=reason)
        log.info(
            "run_gone",
            task=live.task.name,
            run=live.run.number,
            endpoint=session.endpoint_id,
            reason=reason,
        )
        self._mark(live.progress)

    def unknown_run(self, session, reading):
        """Stop a run that is listed but not recorded."""
        log.warning(
            "unknown_run",
            task=reading.task,
            run=reading.run,
            endpoint=session.endpoint_id,
        )
        session.stop_unknown(reading)

    def _mark(self, progress):
        self._dirty.add(progress.submission_id)
        self._wake.set()

    def _stop_unwanted(self, progress, task):
        """Stop runs that are needless now that a task is done or all has failed."""
        tasks = progress.tasks() if progress.failed else (task,)
        for other in tasks:
            for run in list(other.runs):
                self._stop_run(progress, other, run, "not_wanted")

    def _stop_run(self, progress, task, run, reason):
        session = self._sessions.get(run.endpoint_id)
        live = session.live.get((str(task.name), run.number)) if session else None
        if live is not None:
            session.order_stop(live, reason)

    # Loading

    async def _run(self):
        while True:
            try:
                await self._load()
                break
            except PlatformError as error:
                log.warning("load_failed", shard=self.service, error=error)
                await asyncio.sleep(LOAD_RETRY_S)
        self._tasks.append(asyncio.create_task(self._renew()))
        while not self._lost:
            await self._cycle()

    async def _load(self):
        await self._deps.refresh_endpoints()
        await self._load_report()
        stored = await self._store.read(progress_table(self.service), self.service)
        progress_of = {}
        for row in stored.rows:
            try:
                progress_of[row.key] = decode_progress(row.value)
            except MessageError as error:
                log.warning("unreadable_progress", id=row.key, error=error)
        self._stored = progress_of
        for key, progress in progress_of.items():
            if not progress.tasks and progress.state in FINAL_STATES:
                self._final_states[key] = SubmissionState(progress.state)
        self._intake = TableWatcher(
            self._store,
            submissions_table(self.service),
            self._take_in,
            parts=intake_parts(self.service),
            wait_s=INTAKE_WAIT_S,
            gap_s=INTAKE_GAP_S,
        )
        self._intake.start()
        await self._intake.complete.wait()
        self._sync_endpoints()
        self._adopt_runs()
        self._stored = {}
        log.info(
            "shard_loaded",
            shard=self.service,
            token=self.lease.token,
            submissions=len(self._progresses),
        )

    async def _load_report(self):
        changes = await self._store.read(
            CONTROL_TABLE, self.service, REPORT_KEY, REPORT_KEY + "\x00"
        )
        if changes.rows:
            self._pool.restore(decode_report(changes.rows[0].value))

    def _adopt_runs(self):
        for progress in self._progresses.values():
            for task in list(progress.live_tasks()):
                for run in task.runs:
                    self._adopt_run(progress, task, run)

    def _adopt_run(self, progress, task, run):
        session = self._sessions.get(run.endpoint_id)
        if session is None:
            session = self._absent_session(progress, run)
        live = LiveRun(progress, task, run)
        session.adopt(live)
        if progress.cancelled or progress.failed:
            session.order_stop(live, "not_wanted")

    def _absent_session(self, progress, run):
        """Return a session for an unlisted endpoint, until its lease lapses."""
        record = self._deps.directory.absent(run.endpoint_id, self.service)
        session = self._open_session(record)
        session.listed = False
        session.failing_since = self._clock()
        return session

    def _take_in(self, rows, complete):
        cancels = []
        for row in rows:
            if row.removed or (row.value == TOMBSTONE and "/" not in row.key):
                continue
            if row.key.endswith(CANCEL_SUFFIX):
                cancels.append(row.key.removesuffix(CANCEL_SUFFIX))
            elif row.key not in self._progresses and row.key not in self._final_states:
                self._take_in_submission(row)
        for submission_id in cancels:
            self._cancel(submission_id)
        self._wake.set()

    def _take_in_submission(self, row):
        try:
            submission = decode_submission(row.value)
        except MessageError as error:
            log.warning("unreadable_submission", id=row.key, error=error)
            return
        queue = self._deps.queue_named(submission.queue)
        if queue is None:
            queue = self._deps.retired_queue(submission.queue, self.service)
        progress = Progress(submission, queue)
        stored = self._stored.get(row.key)
        if stored is not None:
            progress.restore(stored, unix_ms(), self._clock())
        progress.open_occurrences(unix_ms())
        self._progresses[row.key] = progress
        for step in submission.steps:
            self._durations.suggest(submission.queue, step.estimated_ms)
        self._pool.arrived(progress, self._clock())
        self._metrics.count("submissions_total", queue=submission.queue)
        log.info(
            "taken_in",
            id=row.key,
            queue=submission.queue,
            tasks=sum(1 for _ in progress.tasks()),
            age_ms=unix_ms() - submission.accepted_ms,
        )

    def _cancel(self, submission_id):
        progress = self._progresses.get(submission_id)
        if progress is None or progress.cancelled:
            return
        if progress.state.is_final:
            return
        progress.cancelled = True
        log.info("cancelled", id=submission_id)
        for task in list(progress.live_tasks()):
            for run in list(task.runs):
                self._stop_run(progress, task, run, "cancelled")
        self._mark(progress)

    # Endpoints

    def _sync_endpoints(self):
        records = self._deps.directory.records_of(self.service)
        for endpoint_id, record in records.items():
            session = self._sessions.get(endpoint_id)
            if session is None:
                self._open_session(record)
            else:
                session.update(record)
        for endpoint_id, session in list(self._sessions.items()):
            if endpoint_id not in records:
                session.listed = False
                if not session.live:
                    self.endpoint_gone(session)

    def _open_session(self, record):
        session = EndpointSession(
            record,
            self._deps.endpoint_client,
            self,
            self.lease.token,
            self._deps.lease_ms,
            self._clock,
        )
        self._sessions[record.endpoint_id] = session
        session.start()
        return session

    # The cycle

    async def _renew(self):
        while not self._lost:
            await asyncio.sleep(TICK_S)
            self._wake.set()
            if self._finished.due(self._clock()):
                await self._clean_up()

    async def _clean_up(self):
        for submission_id in await self._finished.clean(self._clock(), unix_ms()):
            self._final_states.pop(submission_id, None)

    async def _cycle(self):
        await self._wake.wait()
        self._wake.clear()
        now = self._clock()
        self._sync_endpoints()
        self._open_occurrences()
        self._control_pace(now)
        if self.may_act():
            self._give_up_ended()
            self._restart_stalled(now)
            self._keep_pool(now)
            self._schedule(now)
        await self._commit(now)

    def _open_occurrences(self):
        now_ms = unix_ms()
        for progress in self._progresses.values():
            if progress.submission.repeat_count and progress.open_occurrences(now_ms):
                self._dirty.add(progress.submission_id)

    def _give_up_ended(self):
        """Give up what ran on endpoints whose hosts went down."""
        for endpoint_id, since in self._deps.fleet.ended_since().items():
            session = self._sessions.get(endpoint_id)
            if session is not None:
                session.host_down(since)

    def _restart_stalled(self, now):
        """Stop short tasks that stand still, so that they start elsewhere."""
        for session in self._sessions.values():
            if session.failing_since is not None:
                continue
            for live in list(session.live.values()):
                if live.run.state == RunState.CONFIRMED and stalled(live, now):
                    session.health.task_stalled(now)
                    live.task.failed_on.add(session.endpoint_id)
                    session.order_stop(live, "stalled")
                    self._metrics.count("stalled_total", service=self.service)

    def _keep_pool(self, now):
        listed = [s for s in self._sessions.values() if s.listed]
        emptying = self._pool.update(
            listed,
            self._progresses.values(),
            self._deps.fleet.plan.to_maintain,
            self._deps.fleet.hosts_wanted(self.service),
            now,
        )
        if not emptying:
            return
        scheduler = Scheduler(self._sessions.values(), now)
        for session in emptying:
            for live in evacuations(session, scheduler.could_place, now):
                session.order_stop(live, "evacuated")

    def _report_put(self, now):
        """Return the put of a changed report, at most one each interval."""
        report = self._pool.report()
        if report == self._reported or now - self._reported_at < REPORT_INTERVAL_S:
            return []
        self._reported, self._reported_at = report, now
        return [Put(CONTROL_TABLE, self.service, REPORT_KEY, encode_report(report))]

    def _schedule(self, now):
        now_ms = unix_ms()
        ordered = sorted(
            (p for p in self._progresses.values() if not p.cancelled and not p.failed),
            key=lambda progress: order_key(progress, self._durations, now_ms),
        )
        for session, live in Scheduler(self._sessions.values(), now).place(ordered):
            submission_id = live.progress.submission_id
            self._waiting_starts.setdefault(submission_id, []).append((session, live))
            self._dirty.add(submission_id)

    def _control_pace(self, now):
        if now - self._paced_at < PACE_INTERVAL_S:
            return
        self._paced_at = now
        for session in self._sessions.values():
            lives = list(session.live.values())
            fillers = [live for live in lives if live.step.fills]
            load = worst_load(lives) if fillers else None
            for live in fillers:
                pace = fill_pace(live.run.pace, load)
                confirmed = live.run.state == RunState.CONFIRMED
                if pace != live.run.pace and confirmed and self.may_act():
                    live.run.pace = pace
                    session.order_pace(live, pace)

    async def _commit(self, now):
        ids = list(self._dirty)[:BATCH_SUBMISSIONS]
        whole = len(ids) == len(self._dirty)
        ends = {s: s.processed for s in self._sessions.values()}
        self._dirty.difference_update(ids)
        puts, finals = self._writes(ids)
        puts.extend(self._report_put(now))
        try:
            await self._committer.commit(puts)
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            self._dirty.update(ids)
            self._reported = None
            self._metrics.count("commit_retries_total", shard=self.service)
            log.info("commit_retried", shard=self.service, error=error)
            await asyncio.sleep(COMMIT_RETRY_S)
            self._wake.set()
            return
        except FencedError as error:
            log.warning("shard_lost", shard=self.service, error=error)
            self._lost = True
            self._on_lost(self)
            return
        self._send_starts(ids)
        self._finish(finals)
        if whole:
            for session, number in ends.items():
                session.committed(number)
        if self._dirty:
            self._wake.set()

    def _writes(self, ids):
        puts, finals = [], []
        table = progress_table(self.service)
        for submission_id in ids:
            progress = self._progresses.get(submission_id)
            if progress is None:
                continue
            state = progress.state
            if state.is_final and not progress.finished_ms:
                progress.finished_ms = unix_ms()
            stored = progress.to_stored()
            puts.append(Put(table, self.service, submission_id, encode(stored)))
            if state.is_final:
                finals.append((submission_id, state))
        return puts, finals

    def _send_starts(self, ids):
        for submission_id in ids:
            for session, live in self._waiting_starts.pop(submission_id, ()):
                if live.run.state == RunState.ORDERED:
                    log.info(
                        "run_ordered",
                        task=live.task.name,
                        run=live.run.number,
                        endpoint=session.endpoint_id,
                        token=self.lease.token,
                    )
                    session.order_start(live)
                elif live.run in live.task.runs:
                    self.run_gone(session, live, "not_sent")

    def _finish(self, finals):
        for submission_id, state in finals:
            self._final_states[submission_id] = state
            progress = self._progresses.get(submission_id)
            if progress is not None and not progress.has_live_runs:
                del self._progresses[submission_id]
                self._finished.add(progress)
                log.info(
                    "finished",
                    id=submission_id,
                    state=state,
                    took_ms=progress.finished_ms - progress.submission.accepted_ms,
                )
