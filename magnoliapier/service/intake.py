"""Reads submissions and cancellations from the store into a shard's tables."""

from magnoliapier.exceptions import MessageError
from magnoliapier.logs import get_logger
from magnoliapier.service.background import report_failure
from magnoliapier.service.cleanup import TOMBSTONE
from magnoliapier.service.clock import unix_ms
from magnoliapier.service.watch import TableWatcher
from magnoliapier.state.tables import (
    CANCEL_SUFFIX,
    progress_table,
    submissions_table,
)
from magnoliapier.submissions.codec import decode_submission
from magnoliapier.submissions.configuration import Queue
from magnoliapier.submissions.model import FINAL_STATES, SubmissionState
from magnoliapier.submissions.progress import Progress

INTAKE_WAIT_S = 1.0
INTAKE_GAP_S = 0.03

log = get_logger(__name__)


class Intake:
    """
    Follows the rows that entries write and combines them with the stored progress.

    ``progress_rows`` are the shard's ProgressRows. ``on_arrival(progress)`` is called
    with each submission that is added to the tables. A submission whose stored progress
    cannot be used is not added: its tasks may run or be done, and would be started a
    second time. Nor is one that raises an unexpected error.
    """

    def __init__(self, service, tables, progress_rows, deps, on_arrival):
        self._service = service
        self._progress_rows = progress_rows
        self._tables = tables
        self._deps = deps
        self._on_arrival = on_arrival
        self._stored_progress = {}
        self._withheld = set()
        self._watcher = None

    @property
    def loaded(self):
        """Return whether the stored submissions have been read."""
        return self._watcher is not None and self._watcher.loaded.is_set()

    async def load(self):
        """
        Read the stored progress and all submissions, then follow the submissions.

        May be called again after it has failed.
        """
        await self.close()
        self._withheld.clear()
        self._stored_progress = await self._read_progress()
        for key, progress in self._stored_progress.items():
            if not progress.tasks and progress.state in FINAL_STATES:
                self._tables.final_states[key] = SubmissionState(progress.state)
        self._watcher = TableWatcher(
            self._deps.store,
            submissions_table(self._service),
            self._apply_rows,
            parts=None,
            wait_s=INTAKE_WAIT_S,
            gap_s=INTAKE_GAP_S,
        )
        self._watcher.start()
        await self._watcher.loaded.wait()
        self._stored_progress = {}

    async def close(self):
        """Stop following the submissions."""
        if self._watcher is not None:
            await self._watcher.close()

    async def _read_progress(self):
        stored = await self._deps.store.read(
            progress_table(self._service), self._service
        )
        return self._progress_rows.read(stored.rows, self._withhold)

    def _withhold(self, submission_id, error):
        self._withheld.add(submission_id)
        log.error("unusable_progress", id=submission_id, error=error)

    def _apply_rows(self, rows, complete):
        cancelled_ids = []
        tables = self._tables
        for row in rows:
            # Cancellation rows are empty like tombstones, but their keys have a slash.
            if row.removed or (row.value == TOMBSTONE and "/" not in row.key):
                continue
            if row.key.endswith(CANCEL_SUFFIX):
                cancelled_ids.append(row.key.removesuffix(CANCEL_SUFFIX))
            elif (
                row.key not in tables.progresses
                and row.key not in tables.final_states
                and row.key not in self._withheld
            ):
                self._contain_take_in(row)
        for submission_id in cancelled_ids:
            self._cancel(submission_id)
        tables.wake.set()

    def _contain_take_in(self, row):
        """
        Take in a submission; after an unexpected error in it, withhold it alone.

        An error that ended the watcher would return with the same row for good.
        """
        try:
            self._take_in_submission(row)
        except Exception as error:
            report_failure("intake", error, self._deps.metrics)
            self._tables.progresses.pop(row.key, None)
            self._withhold(row.key, repr(error))

    def _take_in_submission(self, row):
        try:
            submission = decode_submission(row.value)
        except MessageError as error:
            log.warning("unreadable_submission", id=row.key, error=error)
            return
        queue = self._deps.queue_named(submission.queue)
        if queue is None:
            queue = Queue.retired(submission, self._service)
        progress = Progress(submission, queue)
        stored = self._stored_progress.get(row.key)
        if stored is not None:
            try:
                progress.restore(stored, unix_ms(), self._deps.boottime())
            except MessageError as error:
                self._withhold(row.key, error)
                return
        progress.open_occurrences(unix_ms())
        self._tables.progresses[row.key] = progress
        self._on_arrival(progress)
        self._deps.metrics.count("submissions_total", queue=submission.queue)
        log.info(
            "taken_in",
            id=row.key,
            queue=submission.queue,
            tasks=sum(1 for _ in progress.tasks()),
            age_ms=unix_ms() - submission.accepted_ms,
        )

    def _cancel(self, submission_id):
        progress = self._tables.progresses.get(submission_id)
        if progress is None or progress.cancelled:
            return
        if progress.state.is_final:
            return
        progress.cancelled = True
        log.info("cancelled", id=submission_id)
        for task in list(progress.live_tasks()):
            for run in list(task.runs):
                self._tables.stop_run(task, run, "cancelled")
        self._tables.mark_dirty(progress)
