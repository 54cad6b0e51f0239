"""
Which endpoint runs a task.

A task goes to the endpoint with the least room that still fits it, so that other
endpoints stay empty and their hosts can be given away. Filling tasks go where no
serving task is, if there is such a place.
"""

from magnoliapier.submissions.progress import LiveRun

MAX_MISFITS = 24  # submissions without room before a pass gives up


class Scheduler:
    """
    Places startable tasks on usable sessions and reserves their room.

    Example::

        starts = Scheduler(sessions, now).place(progresses)
    """

    def __init__(self, sessions, now):
        self._now = now
        self._usable = [s for s in sessions if s.usable(now)]

    def place(self, progresses):
        """Return (session, live run) pairs for submissions in order of service."""
        starts = []
        misfits = 0
        for progress in progresses:
            if not self._usable or misfits > MAX_MISFITS:
                break
            if not self._place_submission(progress, starts):
                misfits += 1
        return starts

    def could_place(self, live):
        """Return whether there is room for a live run's task on another endpoint."""
        siblings = live.progress.siblings(live.task)
        return any(
            session.endpoint_id != live.run.endpoint_id
            and self._allowed(session, live.task, siblings)
            for session in self._usable
        )

    def _place_submission(self, progress, starts):
        full_steps = set()
        gangs = {}
        for task in list(progress.startable_tasks()):
            step_key = (task.name.occurrence, task.name.step)
            if step_key in full_steps or task.not_before > self._now:
                continue
            if task.step.gang:
                gangs.setdefault(step_key, []).append(task)
                continue
            session = self._choose(progress, task)
            if session is None:
                full_steps.add(step_key)
            else:
                starts.append(self._begin(session, progress, task))
        placed = [self._place_gang(progress, tasks, starts) for tasks in gangs.values()]
        return not full_steps and all(placed)

    def _begin(self, session, progress, task, number=None):
        run = task.begin_run(session.endpoint_id, self._now, number)
        live = LiveRun(progress, task, run)
        session.reserve(live)
        return session, live

    def _place_gang(self, progress, tasks, starts):
        """Place all members of a gang under one run number, or none."""
        members = progress.siblings(tasks[0])
        if len(tasks) < len(members):
            return True
        number = max(task.last_run for task in members) + 1
        begun = []
        for task in members:
            session = self._choose(progress, task)
            if session is None:
                self._undo(begun)
                return False
            begun.append(self._begin(session, progress, task, number))
        starts.extend(begun)
        return True

    def _undo(self, begun):
        for session, live in begun:
            session.drop(live)
            live.task.runs.remove(live.run)
            live.task.last_run = live.run.number - 1

    def _choose(self, progress, task):
        siblings = progress.siblings(task)
        best = None
        best_key = None
        for session in self._usable:
            if not self._allowed(session, task, siblings):
                continue
            key = self._preference(session, task, siblings)
            if best_key is None or key < best_key:
                best, best_key = session, key
        return best

    def _allowed(self, session, task, siblings):
        step = task.step
        if not session.room.fits(step):
            return False
        if step.required_label and step.required_label not in session.record.labels:
            return False
        if step.max_per_endpoint:
            here = sum(
                1
                for sibling in siblings
                for run in sibling.runs
                if run.endpoint_id == session.endpoint_id
            )
            return here < step.max_per_endpoint
        return True

    def _preference(self, session, task, siblings):
        step = task.step
        far = self._far(session, step, siblings)
        failed = session.endpoint_id in task.failed_on
        avoided = failed or session.health.suspect(self._now)
        if step.fills:
            serving = sum(live.serves for live in session.live.values())
            return (avoided, far, serving, len(session.live))
        return (avoided, far, session.room.cpu_millicores)

    def _far(self, session, step, siblings):
        rack = session.record.rack
        if step.data_rack:
            return rack != step.data_rack
        if step.same_rack:
            racks = self._racks_of(siblings)
            return bool(racks) and racks != {rack}
        return False

    def _racks_of(self, siblings):
        endpoints = {run.endpoint_id for task in siblings for run in task.runs}
        return {s.record.rack for s in self._usable if s.endpoint_id in endpoints}
