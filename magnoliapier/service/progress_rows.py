"""
The rows that hold the stored progress of a shard's submissions.

A submission's progress is one row, or several if it is too long for one. The rows of a
submission are written in one transaction, so that they always belong together.
"""

import msgspec

from magnoliapier.exceptions import MessageError
from magnoliapier.logs import get_logger
from magnoliapier.state.rows import MAX_TRANSACTION_ENTRIES, Put, Remove
from magnoliapier.state.tables import progress_table
from magnoliapier.submissions.codec import decode_progress, encode_progress

# The platform holds 65,536 bytes in a row and 1 MB in a transaction, as base64.
MAX_ROW_BYTES = 48_000
MAX_BATCH_BYTES = 600_000
# The rest is for the lease row and the report.
MAX_BATCH_ROWS = MAX_TRANSACTION_ENTRIES - 4
KEY_SEPARATOR = "/"

log = get_logger(__name__)


class ProgressBatch(msgspec.Struct):
    """The writes of one transaction and the ids of the submissions that they store."""

    ids: list[str] = []
    puts: list[Put] = []
    removes: list[Remove] = []
    size: int = 0

    @property
    def full(self):
        """Return whether the transaction holds as many rows as it can."""
        return len(self.puts) + len(self.removes) >= MAX_BATCH_ROWS

    def has_room_for(self, puts, removes):
        """Return whether the transaction can hold these writes as well."""
        rows = len(self.puts) + len(self.removes) + len(puts) + len(removes)
        size = self.size + sum(len(put.value) for put in puts)
        return rows <= MAX_BATCH_ROWS and size <= MAX_BATCH_BYTES

    def add(self, submission_id, puts, removes):
        """Add the writes of one submission."""
        self.ids.append(submission_id)
        self.puts.extend(puts)
        self.removes.extend(removes)
        self.size += sum(len(put.value) for put in puts)


class ProgressRows:
    """
    Writes and reads the stored progress of one shard.

    Example::

        rows = ProgressRows("desk")
        batch = rows.build_batch([progress])
        await committer.commit(batch.puts, batch.removes)
    """

    def __init__(self, service):
        self._service = service
        self._table = progress_table(service)
        self._row_counts = {}
        self._left_out = set()

    def build_batch(self, progresses):
        """
        Return a ProgressBatch with as many of the submissions as one transaction holds.

        Those that the last batch had no room for come first.
        """
        batch = ProgressBatch()
        ordered = sorted(
            progresses, key=lambda p: p.submission_id not in self._left_out
        )
        self._left_out.clear()
        for progress in ordered:
            if batch.full:
                self._left_out.add(progress.submission_id)
                continue
            puts, removes = self._writes_of(progress)
            if batch.has_room_for(puts, removes):
                batch.add(progress.submission_id, puts, removes)
                continue
            self._left_out.add(progress.submission_id)
            if not ProgressBatch().has_room_for(puts, removes):
                log.error("progress_too_long", id=progress.submission_id)
        return batch

    def _writes_of(self, progress):
        submission_id = progress.submission_id
        values = self._encode(progress)
        puts = [
            Put(self._table, self._service, row_key(submission_id, number), value)
            for number, value in enumerate(values)
        ]
        # A transaction whose outcome is unknown may have written more rows.
        known = self._row_counts.get(submission_id, 0)
        if max(known, len(values)) > 1:
            self._row_counts[submission_id] = max(known, len(values))
        removes = [
            Remove(self._table, self._service, row_key(submission_id, number))
            for number in range(len(values), known)
        ]
        return puts, removes

    def _encode(self, progress):
        """
        Return the values of a submission's rows.

        Checkpoints are left out where rows or a transaction can't hold them: a task
        then starts anew after a takeover, which is better than no task being stored.
        """
        stored = progress.to_stored()
        values = encode_progress(stored, MAX_ROW_BYTES)
        longest = max(map(len, values))
        if longest <= MAX_ROW_BYTES and sum(map(len, values)) <= MAX_BATCH_BYTES:
            return values
        log.warning("checkpoints_left_out", id=progress.submission_id)
        return encode_progress(without_checkpoints(stored), MAX_ROW_BYTES)

    def read(self, rows, on_unusable):
        """
        Return the stored progress by submission id.

        ``on_unusable(submission_id, error)`` is called for those that can't be read.
        """
        values_of = {}
        for row in rows:
            submission_id, _, number = row.key.partition(KEY_SEPARATOR)
            values_of.setdefault(submission_id, {})[number] = row.value
        progress_of = {}
        for submission_id, values in values_of.items():
            if len(values) > 1:
                self._row_counts[submission_id] = len(values)
            try:
                progress_of[submission_id] = join_progress(values)
            except MessageError as error:
                on_unusable(submission_id, error)
        return progress_of

    def forget(self, submission_id):
        """Forget a finished submission, whose progress is one row."""
        self._row_counts.pop(submission_id, None)


def without_checkpoints(stored):
    """Return a StoredProgress whose tasks have no checkpoints."""
    tasks = (msgspec.structs.replace(task, checkpoint="") for task in stored.tasks)
    return msgspec.structs.replace(stored, tasks=tuple(tasks))


def row_key(submission_id, number):
    """Return the key of a submission's row; the first one, 0, has the plain id."""
    return f"{submission_id}{KEY_SEPARATOR}{number}" if number else submission_id


def join_progress(values):
    """
    Return the StoredProgress in the values of a submission's rows, by number.

    Raises MessageError if a row is missing or unreadable.
    """
    if "" not in values:
        raise MessageError("Restore the first row of the stored progress.")
    progress = decode_progress(values[""])
    tasks = progress.tasks
    for number in range(1, progress.row_count):
        if str(number) not in values:
            raise MessageError(f"Restore row {number} of the stored progress.")
        tasks += decode_progress(values[str(number)]).tasks
    return msgspec.structs.replace(progress, tasks=tasks)
