from magnoliapier.submissions.model import Resources, Step
from tests.service.test_shard import ShardTestCase, short_step, submission


class EmptyRequestTests(ShardTestCase):
    async def test_task_that_requests_nothing_does_not_stop_the_shard(self):
        """Guards against one submission that stops its service (LOST)."""
        await self.submit(submission("a" * 16, Step(1, Resources())))
        await self.submit(submission("b" * 16, Step(1, Resources(0, 0, 5))))
        await self.submit(submission("c" * 16, short_step()))
        await self.start_shard()
        endpoint = self.add_endpoint("e1")
        await self.wait_until(lambda: len(endpoint.starts) == 2)
        self.assertEqual(
            sorted(task for task, _ in endpoint.starts),
            [f"{'a' * 16}.0.0.0", f"{'c' * 16}.0.0.0"],
        )
