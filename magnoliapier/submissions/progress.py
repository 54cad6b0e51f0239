"""The progress of a submission: its tasks, their attempts and their runs."""

import math
from itertools import zip_longest

import msgspec

from magnoliapier.exceptions import MessageError
from magnoliapier.submissions.model import (
    EndReason,
    Submission,
    SubmissionState,
    TaskName,
)

FULL_PERCENT = 100  # a run at full speed, or a long-running task in full operation
LISTING_MAX_AGE_S = 1.6
KEPT_LIMIT_S = 60.0  # bounds what clocks that differ may make of a stored time


class RunState:
    """The states of a run, as plain integers. They are not stored."""

    ORDERED = 0  # recorded; the start order may be under way
    CONFIRMED = 1  # the endpoint confirmed the start
    STOPPING = 2  # a stop was ordered; the end is not listed yet


class Run:
    """
    One start of a task on one endpoint.

    ``reading`` is the tail latency in ms of a latency-sensitive task, or the CPU in use
    in millicores of any other task. ``pace`` is in percent of full speed, and
    ``pace_known`` whether the endpoint is known to have been told.
    ``ordered_ms`` is when the run was placed, on the table's clock, or 0 if unknown.
    ``unchanged_s`` is for how long consecutive listings have shown the same progress.
    """

    __slots__ = (
        "number",
        "endpoint_id",
        "state",
        "percent",
        "reading",
        "ordered_at",
        "ordered_ms",
        "unchanged_s",
        "listed_at",
        "stop_reason",
        "pace",
        "pace_known",
    )

    def __init__(self, number, endpoint_id, ordered_at=0.0, ordered_ms=0):
        self.number = number
        self.endpoint_id = endpoint_id
        self.state = RunState.ORDERED
        self.percent = 0
        self.reading = 0
        self.ordered_at = ordered_at
        self.ordered_ms = ordered_ms
        self.unchanged_s = 0.0
        self.listed_at = ordered_at
        self.stop_reason = ""
        self.pace = FULL_PERCENT
        self.pace_known = True

    def record_listing(self, percent, now):
        """
        Record the progress that the endpoint lists at ``now``.

        Time between two listings that are further apart than ``LISTING_MAX_AGE_S`` does
        not count as time without progress: endpoint or controller may have been paused.
        """
        gap_s = now - self.listed_at
        if percent != self.percent:
            self.unchanged_s = 0.0
        elif gap_s <= LISTING_MAX_AGE_S:
            self.unchanged_s += gap_s
        self.percent = percent
        self.listed_at = now


class Task:
    """
    A task with its attempts and its live runs.

    Until ``kept_until``, it may only start on the endpoint ``kept_on``: an earlier
    start may still be carried out there, by an incarnation that begins later. Times
    are monotonic seconds; ``kept_until_s`` is the same in Unix seconds, for successors.
    """

    __slots__ = (
        "name",
        "step",
        "last_run",
        "failures",
        "done",
        "checkpoint",
        "runs",
        "failed_on",
        "not_before",
        "kept_on",
        "kept_until",
        "kept_until_s",
    )

    def __init__(self, name, step):
        self.name = name
        self.step = step
        self.last_run = 0
        self.failures = 0
        self.done = False
        self.checkpoint = ""
        self.runs = []
        self.failed_on = set()
        self.not_before = 0.0
        self.kept_on = ""
        self.kept_until = 0.0
        self.kept_until_s = 0

    def keep_on(self, endpoint_id, until, until_s):
        """Let the task start on no other endpoint until then."""
        if until > self.kept_until:
            self.kept_on = endpoint_id
            self.kept_until = until
            self.kept_until_s = until_s

    def run_numbered(self, number):
        """Return the live run with ``number``, or None."""
        for run in self.runs:
            if run.number == number:
                return run
        return None

    def begin_run(self, endpoint_id, now, number=None):
        """Record a new run, by default with the next number, and return it."""
        self.last_run = number or self.last_run + 1
        run = Run(self.last_run, endpoint_id, now)
        self.runs.append(run)
        return run

    def record_run(self, number, endpoint_id, now):
        """Record a run that was started earlier and is not known, and return it."""
        self.last_run = max(self.last_run, number)
        run = Run(number, endpoint_id, now)
        self.runs.append(run)
        return run

    def startable(self, now):
        """Return whether the task, whose step's turn has come, may be started now."""
        return not self.done and not self.runs and self.not_before <= now

    def available(self, now):
        """
        Return whether a long-running task is known to be in full operation.

        A run that was last listed more than ``LISTING_MAX_AGE_S`` ago may be on an
        endpoint that has crashed, so it does not count.
        """
        return any(
            run.state == RunState.CONFIRMED
            and run.percent == FULL_PERCENT
            and now - run.listed_at <= LISTING_MAX_AGE_S
            for run in self.runs
        )


class LiveRun:
    """
    A run on an endpoint, with the task and the submission that it belongs to.

    A listing that is requested after ``settled_at`` and does not contain the run proves
    that it is gone. ``settled_at`` is None while its start order may still take effect.
    ``placed_on`` is the endpoint's incarnation that the run was placed on, and
    ``incarnation`` the one that is known to have confirmed or listed it, or None.
    ``sent_at`` is when the start order was sent, or None if this holder has sent none,
    and ``late_until`` until when it may still be carried out, 0 once it was answered or
    its run listed.
    ``checkpoint`` is the one that it starts from. Times are monotonic seconds.
    """

    __slots__ = (
        "progress",
        "task",
        "run",
        "settled_at",
        "step",
        "incarnation",
        "sent_at",
        "late_until",
        "placed_on",
        "checkpoint",
    )

    def __init__(self, progress, task, run, settled_at=None):
        self.progress = progress
        self.task = task
        self.run = run
        self.step = task.step
        self.settled_at = settled_at
        self.incarnation = None
        self.sent_at = None
        self.late_until = 0.0
        self.placed_on = None
        self.checkpoint = task.checkpoint

    @property
    def latency_sensitive(self):
        """Return whether the task has a latency target for users whom it serves."""
        return self.step.latency_target_ms > 0


class StoredTask(msgspec.Struct, array_like=True):
    """
    The stored form of a task that has been started or is done.

    ``ordered_s`` holds for each run when it was placed, in full seconds on the table's
    clock, or 0 if unknown. ``kept_on`` and ``kept_until_s`` are those of the task.
    """

    occurrence: int
    step: int
    index: int
    last_run: int
    failures: int
    done: bool
    checkpoint: str
    runs: tuple[tuple[int, str], ...]
    ordered_s: tuple[int, ...] = ()
    kept_on: str = ""
    kept_until_s: int = 0


class StoredProgress(msgspec.Struct, array_like=True):
    """
    The stored form of a submission's progress.

    It holds no tasks if the state is final and nothing runs any more. ``row_count`` is
    the number of rows that hold the tasks; each is a StoredProgress with some of them.
    """

    state: str
    finished_ms: int = 0
    tasks: tuple[StoredTask, ...] = ()
    row_count: int = 1


class Progress:
    """
    The progress of one submission. Does no I/O and reads no clock.

    The tasks of an occurrence are created when it is due, so that a submission with
    many occurrences does not hold the tasks of future ones in memory.
    """

    def __init__(self, submission: Submission, queue):
        self.submission = submission
        self.queue = queue
        self.cancelled = False
        self.started = False
        self.failed = False
        self.finished_ms = 0
        self.occurrences = {}
        self._completed_occurrences = 0

    @property
    def submission_id(self):
        """Return the id that the caller chose for the submission."""
        return self.submission.submission_id

    def open_occurrences(self, now_ms):
        """
        Create the tasks of the occurrences that are due at Unix ``now_ms``.

        Return whether any occurrence was new.
        """
        opened = False
        for number in range(len(self.occurrences), self.submission.occurrence_count):
            if self.submission.occurrence_start_ms(number) > now_ms:
                break
            self._open_occurrence(number)
            opened = True
        return opened

    def next_occurrence_ms(self):
        """Return the start of the next occurrence in Unix ms, or None without one."""
        number = len(self.occurrences)
        if number >= self.submission.occurrence_count:
            return None
        return self.submission.occurrence_start_ms(number)

    def _open_occurrence(self, number):
        self.occurrences[number] = [
            [
                Task(TaskName(self.submission_id, number, index, i), step)
                for i in range(step.task_count)
            ]
            for index, step in enumerate(self.submission.steps)
        ]

    def tasks(self):
        """Yield the tasks of all opened occurrences."""
        for steps in self.occurrences.values():
            for tasks in steps:
                yield from tasks

    def live_tasks(self):
        """Yield the tasks that have a live run."""
        for task in self.tasks():
            if task.runs:
                yield task

    def task_named(self, name):
        """Return the task called ``name``, or None if it does not exist yet."""
        steps = self.occurrences.get(name.occurrence)
        if steps is None or name.step >= len(steps):
            return None
        tasks = steps[name.step]
        return tasks[name.index] if name.index < len(tasks) else None

    def siblings(self, task):
        """Return the tasks of the same step and occurrence."""
        return self.occurrences[task.name.occurrence][task.name.step]

    def startable_steps(self):
        """Yield the tasks of each unfinished step whose earlier steps are done."""
        if self.cancelled or self.failed or self.finished_ms:
            return
        for steps in self.occurrences.values():
            complete = [all(task.done for task in tasks) for tasks in steps]
            for index, tasks in enumerate(steps):
                if complete[index] or not tasks:
                    continue
                if all(complete[i] for i in tasks[0].step.after):
                    yield tasks

    def startable_tasks(self):
        """Yield unfinished tasks without a live run whose earlier steps are done."""
        for tasks in self.startable_steps():
            for task in tasks:
                if not task.done and not task.runs:
                    yield task

    def done_steps(self):
        """Return the indexes of steps that are done in every occurrence."""
        done = None
        for steps in self.occurrences.values():
            done_here = {
                i for i, tasks in enumerate(steps) if all(t.done for t in tasks)
            }
            done = done_here if done is None else done & done_here
        return done or set()

    def remaining_millicores(self):
        """Return the CPU that all unfinished tasks need together, in millicores."""
        return sum(t.step.resources.cpu_millicores for t in self.tasks() if not t.done)

    def record_end(self, task, run, reason, checkpoint):
        """
        Record the end of a live run; return whether it used up an attempt.

        ``run`` must be one of the task's live runs, so that an end that is listed twice
        counts once.
        """
        task.runs.remove(run)
        if checkpoint:
            task.checkpoint = checkpoint
        if reason == EndReason.DONE:
            self._mark_done(task)
        elif reason == EndReason.FAILED:
            task.failures += 1
            task.failed_on.add(run.endpoint_id)
            if not task.step.long_running and self._attempts_exhausted(task):
                self.failed = True
            return True
        return False

    def _attempts_exhausted(self, task):
        return not task.done and task.failures >= self.queue.max_attempts

    def _mark_done(self, task):
        if task.step.long_running:
            return
        task.done = True
        if task.step.gang:
            for member in self.siblings(task):
                member.done = True

    @property
    def all_done(self):
        """Return whether every task of every occurrence is done."""
        if len(self.occurrences) < self.submission.occurrence_count:
            return False
        return all(task.done for task in self.tasks())

    @property
    def has_live_runs(self):
        """Return whether any run may still be on an endpoint."""
        return any(task.runs for task in self.tasks())

    @property
    def state(self):
        """Return the state; callers see a final one only once it is stored."""
        if self.cancelled:
            return SubmissionState.CANCELLED
        if self.failed:
            return SubmissionState.FAILED
        if self.all_done:
            return SubmissionState.COMPLETED
        return SubmissionState.RUNNING if self.started else SubmissionState.QUEUED

    def to_stored(self):
        """Return the stored form of the progress."""
        state = self.state
        if state.is_final and not self.has_live_runs:
            return StoredProgress(state, self.finished_ms)
        tasks = [
            StoredTask(
                task.name.occurrence,
                task.name.step,
                task.name.index,
                task.last_run,
                task.failures,
                task.done,
                "" if task.done else task.checkpoint,
                tuple((run.number, run.endpoint_id) for run in task.runs),
                tuple(math.ceil(run.ordered_ms / 1000) for run in task.runs),
                task.kept_on,
                task.kept_until_s,
            )
            for task in self.tasks()
            if task.last_run or task.done
        ]
        return StoredProgress(state, self.finished_ms, tuple(tasks))

    def restore(self, stored, now_ms, now):
        """
        Apply a stored form to a new progress; ``now`` is a monotonic time.

        Raises MessageError if the stored form does not belong to the submission.
        """
        for item in stored.tasks:
            self._check_stored(item)
        self.finished_ms = stored.finished_ms
        self.started = stored.state != SubmissionState.QUEUED
        self.failed = stored.state == SubmissionState.FAILED
        self.cancelled = stored.state == SubmissionState.CANCELLED
        self.open_occurrences(now_ms)
        for item in stored.tasks:
            for number in range(len(self.occurrences), item.occurrence + 1):
                self._open_occurrence(number)
            task = self.occurrences[item.occurrence][item.step][item.index]
            task.last_run = item.last_run
            task.failures = item.failures
            task.done = item.done
            task.checkpoint = item.checkpoint
            kept_s = min(item.kept_until_s - now_ms / 1000, KEPT_LIMIT_S)
            task.keep_on(item.kept_on, now + kept_s, item.kept_until_s)
            task.runs = [
                Run(number, endpoint, now, ordered_s * 1000)
                for (number, endpoint), ordered_s in zip_longest(
                    item.runs, item.ordered_s[: len(item.runs)], fillvalue=0
                )
            ]

    def _check_stored(self, item):
        steps = self.submission.steps
        if not (
            0 <= item.occurrence < self.submission.occurrence_count
            and 0 <= item.step < len(steps)
            and 0 <= item.index < steps[item.step].task_count
        ):
            raise MessageError(
                "Remove or rewrite the stored progress; the submission has no task "
                f"{item.occurrence}.{item.step}.{item.index}."
            )
