"""Applies what endpoints report about runs to a shard's tables."""

from magnoliapier.logs import get_logger
from magnoliapier.service.clock import unix_ms
from magnoliapier.submissions.model import EndReason, TaskName
from magnoliapier.submissions.progress import LiveRun, RunState

LONG_RUNNING_RETRY_S = 0.3
SHORT_TASK_RETRY_S = 0.05

log = get_logger(__name__)


class RunEvents:
    """
    Handles the events that endpoint sessions report to a shard's controller.

    ``may_act()`` returns whether orders are allowed now. ``on_endpoint_gone(session)``
    is called with the session of an endpoint that is unlisted and runs nothing.
    ``start_delays`` is the StartDelays of the shard.
    """

    def __init__(
        self,
        service,
        tables,
        durations,
        deps,
        may_act,
        on_endpoint_gone,
        start_delays,
    ):
        self.may_act = may_act
        self.endpoint_gone = on_endpoint_gone
        self._service = service
        self._tables = tables
        self._durations = durations
        self._clock = deps.boottime
        self._metrics = deps.metrics
        self._start_delays = start_delays

    def fenced(self, session):
        """Log and count an order that was refused for a higher fencing token."""
        log.warning("fenced", shard=self._service, endpoint=session.endpoint_id)
        self._metrics.count("fenced_total", shard=self._service)

    def count_refusal(self, reason):
        """Count a refused start order."""
        self._metrics.count("start_refusals_total", reason=str(reason))

    def count_restart(self):
        """Count an endpoint that has started again under its id."""
        self._metrics.count("endpoint_restarts_total", shard=self._service)

    def session_opened(self, session):
        """Wake the controller, because it can use another endpoint now."""
        log.routine(
            "endpoint_opened", endpoint=session.endpoint_id, shard=self._service
        )
        self._tables.wake.set()

    def start_confirmed(self, sent_at, now):
        """Record how long an endpoint took to confirm a start order."""
        self._start_delays.run_confirmed(sent_at, now)

    def run_listed(self, session, live, listed_run, now):
        """Apply what an endpoint lists about a live run."""
        run = live.run
        if listed_run.checkpoint:
            live.task.checkpoint = listed_run.checkpoint
        run.record_listing(listed_run.percent, now)
        run.reading = listed_run.reading
        if run.state == RunState.ORDERED:
            run.state = RunState.CONFIRMED
            live.settled_at = live.settled_at or now
        if not live.progress.started:
            self._mark_started(live.progress)
        unwanted = live.progress.cancelled or live.progress.failed or live.task.done
        if unwanted:
            session.order_stop(live, "not_wanted")

    def _mark_started(self, progress):
        """Record that the first task of a submission runs or has run."""
        progress.started = True
        self._tables.mark_dirty(progress)
        submission = progress.submission
        if not submission.repeat_count:
            waited_s = (unix_ms() - submission.accepted_ms) / 1000
            self._metrics.observe(
                "queue_wait_seconds", waited_s, queue=submission.queue
            )

    def run_ended(self, session, end):
        """Apply an ended run that an endpoint lists for the first time."""
        live = session.live.get((end.task, end.run))
        if live is None:
            self._handle_unmatched_end(session, end)
            return
        session.drop(live)
        progress = live.progress
        reason = self._end_reason(session, end)
        self._metrics.count("ends_total", reason=reason)
        self._record_outcome(session, live, reason)
        attempt_used = progress.record_end(live.task, live.run, reason, end.checkpoint)
        if not progress.started:
            self._mark_started(progress)
        if attempt_used:
            live.task.not_before = self._clock() + (
                LONG_RUNNING_RETRY_S if live.step.long_running else SHORT_TASK_RETRY_S
            )
        log.routine(
            "run_ended",
            task=end.task,
            run=end.run,
            endpoint=session.endpoint_id,
            reason=end.reason,
            attempts=live.task.failures,
        )
        if attempt_used or live.task.done:
            self._tables.stop_unwanted_runs(progress, live.task)
        self._tables.mark_dirty(progress)

    def _end_reason(self, session, end):
        """Return the EndReason of an end; an unknown one uses up no attempt."""
        try:
            return EndReason(end.reason)
        except ValueError:
            log.warning(
                "unknown_end_reason",
                task=end.task,
                endpoint=session.endpoint_id,
                reason=end.reason,
            )
            return EndReason.STOPPED

    def _record_outcome(self, session, live, reason):
        """Record how long a task took, or that it failed, for later placements."""
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

    def _handle_unmatched_end(self, session, end):
        """Mark a short task done whose run succeeded after it was considered gone."""
        progress, task = self._find_task(session, end.task)
        if task is None or task.done or end.reason != EndReason.DONE:
            return
        if task.step.long_running:
            return
        log.info("late_end", task=end.task, run=end.run, reason=end.reason)
        task.done = True
        self._tables.stop_unwanted_runs(progress, task)
        self._tables.mark_dirty(progress)

    def _find_task(self, session, text):
        """Return the (Progress, Task) that an endpoint names, or (None, None)."""
        try:
            name = TaskName.parse(text)
        except ValueError:
            log.warning("unreadable_task", task=text, endpoint=session.endpoint_id)
            return None, None
        progress = self._tables.progresses.get(name.submission_id)
        task = progress.task_named(name) if progress else None
        return (progress, task) if task else (None, None)

    def run_gone(self, session, live, reason):
        """Remove a run that is certainly not on its endpoint; its task can restart."""
        session.drop(live)
        if live.run in live.task.runs:
            live.task.runs.remove(live.run)
        self._metrics.count("runs_gone_total", reason=reason)
        log.routine(
            "run_gone",
            task=live.task.name,
            run=live.run.number,
            endpoint=session.endpoint_id,
            born=session.incarnation.started_ms,
            reason=reason,
        )
        self._tables.mark_dirty(live.progress)

    def unknown_run(self, session, listed_run):
        """
        Stop a run that an endpoint lists but the shard has no record of.

        It is recorded until it has ended: it takes room, and its task must not start
        beside it.
        """
        log.warning(
            "unknown_run",
            task=listed_run.task,
            run=listed_run.run,
            endpoint=session.endpoint_id,
            born=session.incarnation.started_ms,
        )
        self._metrics.count("unknown_runs_total", shard=self._service)
        progress, task = self._find_task(session, listed_run.task)
        if task is None or task.run_numbered(listed_run.run) is not None:
            session.stop_unknown_run(listed_run)
            return
        run = task.record_run(listed_run.run, session.endpoint_id, self._clock())
        self._tables.mark_dirty(progress)
        session.stop_found_run(LiveRun(progress, task, run))
