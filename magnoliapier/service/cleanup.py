"""Replaces the rows of finished submissions by tombstones and later removes them."""

from collections import deque

from magnoliapier.exceptions import PlatformError
from magnoliapier.logs import get_logger
from magnoliapier.state.rows import MAX_TRANSACTION_ENTRIES, Put, Remove
from magnoliapier.state.tables import (
    CANCEL_SUFFIX,
    intake_part,
    progress_table,
    submissions_table,
)

CLEANUP_INTERVAL_S = 10.0
# A commit holds the tombstones of one part. Each takes a put and, if the submission was
# cancelled, a removal.
MAX_TOMBSTONES_PER_COMMIT = MAX_TRANSACTION_ENTRIES // 2
TOMBSTONE = b""  # marks a finished submission, so that a repeat is recognised

log = get_logger(__name__)


class FinishedRows:
    """
    Cleans up the rows of a shard's finished submissions.

    A finished submission is replaced by a tombstone at the next cleanup. Its rows are
    removed at a later one, once ``keep_s`` seconds have passed since it finished.
    ``now`` is a monotonic time in seconds; the times of submissions are Unix
    milliseconds.
    """

    def __init__(self, store, service, keep_s, now):
        self._store = store
        self._service = service
        self._keep_ms = int(keep_s * 1000)
        self._cleaned_at = now
        self._awaiting_tombstone = {}
        self._awaiting_removal = deque()

    def add(self, progress):
        """Add a finished submission to those to clean up."""
        part = self._part(progress.submission)
        self._awaiting_tombstone.setdefault(part, []).append(progress)

    def _part(self, submission):
        return intake_part(submission.home or self._service, submission.submission_id)

    def due(self, now):
        """Return whether a cleanup is due at ``now``, a monotonic time in seconds."""
        return now - self._cleaned_at >= CLEANUP_INTERVAL_S

    async def clean(self, now, now_ms):
        """Write tombstones, remove old rows and return the removed submissions' ids."""
        self._cleaned_at = now
        for part in list(self._awaiting_tombstone):
            await self._write_tombstones(part)
        return await self._remove_expired(now_ms - self._keep_ms)

    async def _write_tombstones(self, part):
        progresses = self._awaiting_tombstone.pop(part)
        remaining = progresses[MAX_TOMBSTONES_PER_COMMIT:]
        if remaining:
            self._awaiting_tombstone[part] = remaining
        progresses = progresses[:MAX_TOMBSTONES_PER_COMMIT]
        table = submissions_table(self._service)
        puts = [Put(table, part, p.submission_id, TOMBSTONE) for p in progresses]
        removes = [
            Remove(table, part, p.submission_id + CANCEL_SUFFIX)
            for p in progresses
            if p.cancelled
        ]
        try:
            await self._store.commit([], puts, removes)
        except PlatformError as error:
            log.info("tombstones_failed", part=part, error=error)
        else:
            self._awaiting_removal.extend(progresses)

    async def _remove_expired(self, finished_before_ms):
        removed_ids = []
        while (
            self._awaiting_removal
            and self._awaiting_removal[0].finished_ms < finished_before_ms
        ):
            submission = self._awaiting_removal[0].submission
            submission_id = submission.submission_id
            progress = Remove(
                progress_table(self._service), self._service, submission_id
            )
            try:
                await self._store.commit([], [], [progress])
                await self._store.commit([], [], self._tombstones(submission))
            except PlatformError as error:
                log.info("forget_failed", id=submission_id, error=error)
                break
            self._awaiting_removal.popleft()
            removed_ids.append(submission_id)
        return removed_ids

    def _tombstones(self, submission):
        """Return the removals of a submission's tombstones, under all its services."""
        part = self._part(submission)
        return [
            Remove(submissions_table(service), part, submission.submission_id)
            for service in (self._service, *submission.former_services)
        ]
