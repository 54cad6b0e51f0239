"""
The choice of an endpoint for each task.

A task goes to the endpoint with the least free CPU that still has room for it (best
fit), so that other endpoints stay empty and their hosts can be released. Best-effort
tasks (``Step.fills``) go to endpoints without latency-sensitive tasks if possible.
Endpoints whose tasks slow it down, or are slowed down by it, come after the others,
endpoints in another rack than the task prefers after those in that rack, and endpoints
that are suspect or have failed the task come last.

A task whose start got no answer stays on its endpoint for a while, unless that leaves:
if the endpoint restarts, and carries that start out late, the next run has ended with
what ran there before. A lasting task does not wait for room there.
"""

from collections import Counter

import msgspec

from magnoliapier.logs import get_logger
from magnoliapier.placement.limits import NO_LIMITS
from magnoliapier.placement.neighbours import NO_NEIGHBOURS
from magnoliapier.placement.rooms import LargestRooms
from magnoliapier.submissions.model import Step, fits
from magnoliapier.submissions.progress import LiveRun, Progress

# Runs of one submission that wait for their start orders to be sent; preparing
# thousands of orders at once would block the process.
MAX_UNSENT_RUNS = 500
NO_LABEL = ""

log = get_logger(__name__)


class LackOfRoom(msgspec.Struct, frozen=True):
    """A submission whose tasks of ``step`` could start but found no room in a pass."""

    progress: Progress
    step: Step


class StepRuns:
    """
    How many live runs each endpoint has of one step, in one occurrence.

    Kept for a pass: counting them anew for each task and endpoint would take a time
    that grows with the square of the number of tasks.
    """

    def __init__(self, tasks):
        self._counts = Counter(run.endpoint_id for task in tasks for run in task.runs)

    @property
    def endpoint_ids(self):
        """Return the ids of the endpoints that have a run."""
        return {endpoint_id for endpoint_id, count in self._counts.items() if count}

    def on(self, endpoint_id):
        """Return the number of runs on an endpoint."""
        return self._counts[endpoint_id]

    def add(self, endpoint_id, count):
        """Add runs on an endpoint, or remove them if ``count`` is negative."""
        self._counts[endpoint_id] += count


NO_RUNS = StepRuns(())


class Scheduler:
    """
    Places startable tasks on usable endpoint sessions and reserves their resources.

    A pass comes to every submission, as work that has to wait must not hold up work
    that could start. ``without_room`` holds a LackOfRoom for each step that waits.
    ``limits`` tells which tasks may start at all, see ``placement.limits``; a task that
    may not start is not counted as one without room.
    ``neighbours`` are the Neighbours that tell which tasks slow each other down.

    Example::

        starts = Scheduler(sessions, now).place(progresses)
    """

    def __init__(self, sessions, now, limits=NO_LIMITS, neighbours=NO_NEIGHBOURS):
        self._now = now
        self._limits = limits
        self._neighbours = neighbours
        self._usable = [s for s in sessions if s.usable(now)]
        self._staying = {s.endpoint_id: s for s in sessions if s.stays}
        self._rooms_by_label = {}
        self._step_runs = {}
        self.without_room = []

    def place(self, progresses):
        """Return (session, live run) pairs; ``progresses`` are in order of service."""
        starts = []
        if not self._usable:
            return starts
        for progress in progresses:
            self._try_submission(progress, starts)
        return starts

    def _try_submission(self, progress, starts):
        """
        Place the tasks of a submission as far as there is room.

        An unexpected error in it is logged and leaves the other submissions alone.
        """
        try:
            self._place_submission(progress, starts)
        except Exception as error:
            log.error("placement_failed", id=progress.submission_id, error=repr(error))

    def could_place(self, live):
        """Return whether another endpoint can run the task of a live run."""
        rooms = self._rooms_for(live.step)
        if not rooms.fit(live.step):
            return False
        runs = self._runs_of(live.progress, live.task)
        return any(
            session.endpoint_id != live.run.endpoint_id
            and self._accepts(session, live.step, runs)
            for session in rooms.sessions
        )

    def could_hold(self, live):
        """Return whether another endpoint can run it once its short tasks end."""
        step = live.step
        runs = self._runs_of(live.progress, live.task)
        return any(
            session.endpoint_id != live.run.endpoint_id
            and has_label(session, step.required_label)
            and fits(step.allocated, session.left_by_long_running())
            and self._may_add(session, step, runs)
            for session in self._usable
        )

    def endpoint_with_better_neighbours(self, session, live):
        """
        Return another endpoint with better neighbours for a live run, or None.

        It has room, and the task would be placed there rather than on ``session``.
        """
        step = live.step
        rooms = self._rooms_for(step)
        if self._endpoint_kept_on(live.task) or not rooms.fit(step):
            return None
        runs = self._runs_of(live.progress, live.task)
        racks = self._preferred_racks(step, runs)
        avoided, off_rack, cost = self._drawbacks(session, live.task, racks)
        best = None
        best_key = (avoided, off_rack, cost)
        for other in rooms.sessions:
            if other is session or not self._accepts(other, step, runs):
                continue
            key = self._sort_key(other, live.task, racks)
            if key[2] < cost and key < best_key:
                best, best_key = other, key
        return best

    def _runs_of(self, progress, task):
        """Return the StepRuns of a task's step, NO_RUNS if they don't matter to it."""
        step = task.step
        if not step.max_per_endpoint and not step.same_rack:
            return NO_RUNS
        name = task.name
        key = (name.submission_id, name.occurrence, name.step)
        runs = self._step_runs.get(key)
        if runs is None:
            runs = self._step_runs[key] = StepRuns(progress.siblings(task))
        return runs

    def _place_submission(self, progress, starts):
        for tasks in progress.startable_steps():
            step = tasks[0].step
            place = self._place_gang if step.gang else self._place_step
            if not place(progress, tasks, starts):
                self.without_room.append(LackOfRoom(progress, step))

    def _place_step(self, progress, tasks, starts):
        """
        Place waiting tasks of a step, up to ``MAX_UNSENT_RUNS`` of its submission.

        Return whether there was room for them. A later pass places the others.
        """
        waiting = [task for task in tasks if task.startable(self._now)]
        if not waiting:
            return True
        if not self._rooms_for(waiting[0].step).fit(waiting[0].step):
            return False
        may_place = MAX_UNSENT_RUNS - self._unsent_runs(progress)
        for task in waiting:
            if may_place <= 0 or not self._limits.admits(progress, task.step):
                break
            session = self._best_session(progress, task)
            if session is not None:
                starts.append(self._reserve_run(session, progress, task))
                may_place -= 1
            elif not self._endpoint_kept_on(task):
                return False
        return True

    def _endpoint_kept_on(self, task):
        """Return the id of the only endpoint that a task may start on, or ''."""
        session = self._staying.get(task.kept_on)
        if session is None or not session.may_run_late(task.kept_until, self._now):
            return ""
        full = session.usable(self._now) and not session.room.fits(task.step)
        return "" if full and task.step.long_running else session.endpoint_id

    def _unsent_runs(self, progress):
        return sum(s.unsent_runs(progress.submission_id) for s in self._usable)

    def _rooms_for(self, step):
        """Return the LargestRooms of the usable sessions that have a step's label."""
        label = step.required_label
        rooms = self._rooms_by_label.get(label)
        if rooms is None:
            sessions = [s for s in self._usable if has_label(s, label)]
            rooms = self._rooms_by_label[label] = LargestRooms(sessions)
        return rooms

    def _reserve_run(self, session, progress, task, run_number=None):
        run = task.begin_run(session.endpoint_id, self._now, run_number)
        live = LiveRun(progress, task, run)
        session.reserve(live)
        self._limits.reserve(progress, task.step)
        for label in (NO_LABEL, *session.record.labels):
            if label in self._rooms_by_label:
                self._rooms_by_label[label].reserved(session)
        self._count_run(live, 1)
        return session, live

    def _count_run(self, live, count):
        runs = self._runs_of(live.progress, live.task)
        if runs is not NO_RUNS:
            runs.add(live.run.endpoint_id, count)

    def _place_gang(self, progress, tasks, starts):
        """
        Place all tasks of a gang under one run number, or none of them.

        A gang waits until every member can start. Return whether it found room, or
        waits for something else.
        """
        if not all(task.startable(self._now) for task in tasks):
            return True
        if any(self._endpoint_kept_on(task) for task in tasks):
            return True
        if self._limits.places(progress, tasks[0].step) < len(tasks):
            return True
        if not self._has_places(progress, tasks):
            return False
        run_number = max(task.last_run for task in tasks) + 1
        checkpoint = common_checkpoint(tasks)
        for task in tasks:
            task.checkpoint = checkpoint
            session = self._best_session(progress, task)
            starts.append(self._reserve_run(session, progress, task, run_number))
        return True

    def _has_places(self, progress, tasks):
        """Return whether all tasks of a step have room at once."""
        step = tasks[0].step
        runs = self._runs_of(progress, tasks[0])
        places = 0
        for session in self._rooms_for(step).sessions:
            if self._accepts(session, step, runs):
                places += self._places_on(session, step, runs)
            if places >= len(tasks):
                return True
        return False

    def _places_on(self, session, step, runs):
        places = session.room.places(step)
        if step.max_per_endpoint:
            return min(places, step.max_per_endpoint - runs.on(session.endpoint_id))
        return places

    def _best_session(self, progress, task):
        step = task.step
        runs = self._runs_of(progress, task)
        racks = self._preferred_racks(step, runs)
        kept_on = self._endpoint_kept_on(task)
        best = None
        best_key = None
        for session in self._rooms_for(step).sessions:
            if kept_on and session.endpoint_id != kept_on:
                continue
            if not self._accepts(session, step, runs):
                continue
            key = self._sort_key(session, task, racks)
            if best_key is None or key < best_key:
                best, best_key = session, key
        return best

    def _accepts(self, session, step, runs):
        return session.room.fits(step) and self._may_add(session, step, runs)

    def _may_add(self, session, step, runs):
        """Return whether an endpoint may have another task of a step."""
        if step.max_per_endpoint:
            return runs.on(session.endpoint_id) < step.max_per_endpoint
        return True

    def _sort_key(self, session, task, racks):
        drawbacks = self._drawbacks(session, task, racks)
        if task.step.fills:
            sensitive_runs = sum(
                live.latency_sensitive for live in session.live.values()
            )
            return (*drawbacks, sensitive_runs, len(session.live))
        return (*drawbacks, session.room.cpu_millicores)

    def _drawbacks(self, session, task, racks):
        """Return (avoided, off the rack, cost of the neighbours) of an endpoint."""
        off_rack = bool(racks) and racks != {session.record.rack}
        failed = session.endpoint_id in task.failed_on
        avoided = failed or session.health.is_suspect(self._now)
        return avoided, off_rack, self._neighbours.cost(session, task.step)

    def _preferred_racks(self, step, runs):
        """Return the racks that a task should run in; an empty set for any."""
        if step.data_rack:
            return {step.data_rack}
        if not step.same_rack:
            return set()
        endpoint_ids = runs.endpoint_ids
        return {s.record.rack for s in self._usable if s.endpoint_id in endpoint_ids}


def common_checkpoint(tasks):
    """
    Return the checkpoint from which a gang resumes, empty if it has none.

    The members only come together with the same one, and that of any member holds for
    all. Most members have the newest, as they end together; a lost one has an older.
    """
    counts = Counter(task.checkpoint for task in tasks if task.checkpoint)
    return max(counts, key=counts.get, default="")


def has_label(session, label):
    """Return whether an endpoint has a label, or none is required."""
    return not label or label in session.record.labels
