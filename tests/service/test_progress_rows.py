import unittest

from magnoliapier.platform.wire import MAX_TASKS
from magnoliapier.service.progress_rows import (
    MAX_BATCH_ROWS,
    MAX_ROW_BYTES,
    ProgressRows,
)
from magnoliapier.state.rows import Row
from magnoliapier.submissions.configuration import Queue
from magnoliapier.submissions.model import Resources, Step, Submission
from magnoliapier.submissions.progress import Progress

SERVICE = "desk"
QUEUE = Queue("q", "h", "/q/", SERVICE)


def make_progress(number, tasks):
    """Return the progress of a submission whose tasks all run."""
    steps = (Step(tasks, Resources(1, 1, 0)),)
    progress = Progress(Submission(f"{number:016x}", "q", "s", steps, 0), QUEUE)
    progress.open_occurrences(0)
    for task in progress.tasks():
        task.begin_run("i-0123456789", 0.0)
    return progress


class ProgressRowsTests(unittest.TestCase):
    def setUp(self):
        self.rows = ProgressRows(SERVICE)
        self.unusable = []

    def read(self, puts):
        stored = [Row(put.table, put.part, put.key, put.value, 1) for put in puts]
        return ProgressRows(SERVICE).read(
            stored, lambda submission_id, error: self.unusable.append(submission_id)
        )

    def test_long_progress_is_read_as_it_was_written(self):
        """Guards against tasks that are lost between two rows."""
        progress = make_progress(1, tasks=8000)
        batch = self.rows.build_batch([progress])
        self.assertGreater(len(batch.puts), 2)
        stored = self.read(batch.puts)[progress.submission_id]
        self.assertEqual(stored.tasks, progress.to_stored().tasks)

    def test_progress_with_a_missing_row_is_unusable(self):
        """Guards against tasks that are started again because a row is missing."""
        batch = self.rows.build_batch([make_progress(1, tasks=8000)])
        for missing in range(len(batch.puts)):
            self.unusable.clear()
            puts = [put for put in batch.puts if put is not batch.puts[missing]]
            self.assertEqual(self.read(puts), {})
            self.assertEqual(self.unusable, [f"{1:016x}"])

    def test_rows_that_are_not_needed_any_more_are_removed(self):
        """Guards against rows that stay for good."""
        progress = make_progress(1, tasks=8000)
        written = self.rows.build_batch([progress]).puts
        for task in progress.tasks():
            task.done = True
            task.runs.clear()
        progress.finished_ms = 1
        batch = self.rows.build_batch([progress])
        self.assertEqual(len(batch.puts), 1)
        self.assertEqual({r.key for r in batch.removes}, {p.key for p in written[1:]})

    def test_submissions_beyond_one_transaction_come_first_in_the_next(self):
        """Guards against a submission that is never stored while others change."""
        progresses = [make_progress(n, tasks=1) for n in range(2 * MAX_BATCH_ROWS)]
        batch = self.rows.build_batch(progresses)
        self.assertEqual(len(batch.ids), MAX_BATCH_ROWS)
        left_out = {p.submission_id for p in progresses} - set(batch.ids)
        self.assertEqual(set(self.rows.build_batch(progresses).ids), left_out)

    def test_long_submissions_share_no_transaction(self):
        """Guards against a transaction that the store refuses for its size."""
        progresses = [make_progress(n, tasks=15_000) for n in range(3)]
        for _ in progresses:
            batch = self.rows.build_batch(progresses)
            self.assertEqual(len(batch.ids), 1)
            progresses = [p for p in progresses if p.submission_id not in batch.ids]
        self.assertEqual(progresses, [])

    def test_largest_submission_is_stored_while_all_its_tasks_have_checkpoints(self):
        """Guards against a progress that no transaction holds (LOST)."""
        progress = make_progress(1, MAX_TASKS)
        for task in progress.tasks():
            task.checkpoint = "00000bb87a21d94b"
        batch = self.rows.build_batch([progress])
        self.assertEqual(batch.ids, [progress.submission_id])
        stored = self.read(batch.puts)[progress.submission_id]
        self.assertEqual(len(stored.tasks), MAX_TASKS)
        self.assertEqual(stored.tasks[-1].runs, ((1, "i-0123456789"),))

    def test_checkpoint_that_no_row_holds_is_left_out(self):
        """Guards against a row that the store refuses for one long checkpoint."""
        progress = make_progress(1, tasks=2)
        next(progress.tasks()).checkpoint = "0" * 2 * MAX_ROW_BYTES
        batch = self.rows.build_batch([progress])
        self.assertLessEqual(max(len(put.value) for put in batch.puts), MAX_ROW_BYTES)
        self.assertEqual(len(self.read(batch.puts)[progress.submission_id].tasks), 2)
