"""The in-memory tables of one shard: its submissions and endpoint sessions."""

import asyncio

from magnoliapier.submissions.model import SubmissionState


class ShardTables:
    """
    The state that the parts of a shard's controller share.

    ``progresses`` and ``final_states`` are keyed by submission id, ``sessions`` by
    endpoint id. ``dirty`` holds the ids of submissions whose progress has to be stored.
    ``wake`` is set when the controller has something to do.
    """

    def __init__(self):
        self.progresses = {}
        self.final_states = {}
        self.sessions = {}
        self.dirty = set()
        self.wake = asyncio.Event()

    def state_of(self, submission_id):
        """
        Return the state of a submission to show to callers, or None if it is unknown.

        A final state is shown only once it is stored; until then it is ``RUNNING``.
        """
        final = self.final_states.get(submission_id)
        if final is not None:
            return final
        progress = self.progresses.get(submission_id)
        if progress is None:
            return None
        state = progress.state
        return SubmissionState.RUNNING if state.is_final else state

    def pending(self, queue_name):
        """Return how many submissions of a queue are neither started nor cancelled."""
        return sum(
            1
            for progress in self.progresses.values()
            if progress.submission.queue == queue_name
            and not progress.started
            and not progress.cancelled
        )

    def mark_dirty(self, progress):
        """Mark a submission's progress to be stored in the next cycle."""
        self.dirty.add(progress.submission_id)
        self.wake.set()

    def stop_run(self, task, run, reason):
        """Order a run of a task to stop, if its endpoint's session has it as live."""
        session = self.sessions.get(run.endpoint_id)
        live = session.live.get((str(task.name), run.number)) if session else None
        if live is not None:
            session.order_stop(live, reason)

    def stop_unwanted_runs(self, progress, task):
        """Stop the runs of a task, or of all tasks if the submission has failed."""
        tasks = progress.tasks() if progress.failed else (task,)
        for other in tasks:
            for run in list(other.runs):
                self.stop_run(other, run, "not_wanted")
