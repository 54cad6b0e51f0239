import asyncio

from magnoliapier.state.rows import Put
from magnoliapier.state.tables import progress_table
from magnoliapier.submissions.codec import encode
from magnoliapier.submissions.progress import StoredProgress, StoredTask
from tests.service.test_shard import SERVICE, ShardTestCase, short_step, submission

ODD_ID = "a" * 16
SOUND_ID = "b" * 16


class OddProgressTests(ShardTestCase):
    """The stored progress of one submission cannot be used."""

    async def load_with(self, stored_value):
        """Start a shard that has an odd progress row and one sound submission."""
        self.endpoint = self.add_endpoint("e1")
        await self.submit(submission(ODD_ID, short_step()))
        table = progress_table(SERVICE)
        await self.store.commit([], [Put(table, SERVICE, ODD_ID, stored_value)])
        await self.submit(submission(SOUND_ID, short_step()))
        return await self.start_shard()

    async def check_sound_submission_runs_alone(self, stored_value):
        shard = await self.load_with(stored_value)
        await self.wait_until(lambda: self.endpoint.starts)
        await asyncio.sleep(0.3)
        self.assertEqual(self.endpoint.starts, [(f"{SOUND_ID}.0.0.0", 1)])
        self.assertTrue(shard.loaded)
        row = self.store.rows[(progress_table(SERVICE), SERVICE, ODD_ID)]
        self.assertEqual(row.value, stored_value)

    async def test_unreadable_progress_does_not_start_its_tasks_again(self):
        """Guards against a second start of tasks that run or are done (TWICE)."""
        await self.check_sound_submission_runs_alone(b"\xc1")

    async def test_progress_of_another_submission_does_not_stop_the_shard(self):
        """Guards against a shard that is never loaded because of one row (LOST)."""
        for task in ((0, 1, 0), (0, 0, 1), (0, 0, -1), (0, -1, 0), (10**12, 0, 0)):
            with self.subTest(task):
                await self.asyncSetUp()
                item = StoredTask(*task, 1, 0, False, "", ())
                stored = StoredProgress("running", 0, (item,))
                await self.check_sound_submission_runs_alone(encode(stored))
                await self.asyncTearDown()
