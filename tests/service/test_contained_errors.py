from tests.service.test_shard import ShardTestCase, short_step, submission

SOUND_ID = "b" * 16


class FailedCommitTests(ShardTestCase):
    async def test_submissions_of_a_commit_that_failed_unexpectedly_are_stored(self):
        """Guards against runs that are neither stored nor started any more (LOST)."""
        endpoint = self.add_endpoint("e1")
        shard = await self.start_shard()
        await self.wait_until(lambda: shard.loaded)
        self.store.fail_error = RuntimeError("unexpected")
        await self.submit(submission(SOUND_ID, short_step()))
        self.store.fail_next = 1
        await self.wait_until(lambda: endpoint.starts)
        self.assertIsNotNone(self.stored(SOUND_ID))
