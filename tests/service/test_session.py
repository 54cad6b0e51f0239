import asyncio
import unittest

from magnoliapier.placement.endpoint import EndpointRecord
from magnoliapier.service.session import EndpointSession
from magnoliapier.submissions.configuration import Queue
from magnoliapier.submissions.model import Resources, Step, Submission
from magnoliapier.submissions.progress import LiveRun, Progress
from tests.service.fakes import FakeClock, FakeEndpoints

STEPS = (Step(task_count=1, resources=Resources(100, 100, 0)),)


class FakeOwner:
    """Stands for the controller; records why runs were reported as gone."""

    def __init__(self):
        self.gone_reasons = []

    def may_act(self):
        return True

    def run_gone(self, session, live, reason):
        session.drop(live)
        self.gone_reasons.append(reason)


class UnwantedStartTests(unittest.IsolatedAsyncioTestCase):
    """Runs that became unwanted after their commit and before their start order."""

    async def test_stopped_run_is_not_started(self):
        """
        Guards against starting a task that another run has just finished.

        Model checking of ``specifications/shard.py`` found the interleaving: the new
        run is committed, the late end of another run arrives, and then the start order
        would be sent.
        """
        endpoints = FakeEndpoints()
        endpoint = endpoints.add("e1")
        record = EndpointRecord("e1", "s", "e1:1", "dc", False, Resources(1000, 1000))
        owner = FakeOwner()
        session = EndpointSession(record, endpoints, owner, 1, 5500, FakeClock())
        submission = Submission("00000000000000aa", "q", "x", STEPS, 0)
        progress = Progress(submission, Queue("q", "h", "/", "s"))
        progress.open_occurrences(0)
        task = next(progress.tasks())
        live = LiveRun(progress, task, task.begin_run("e1", 0.0))
        session.reserve(live)
        session.order_start(live)
        session.order_stop(live, "not_wanted")
        await asyncio.sleep(0.02)
        await session.close()
        self.assertEqual(endpoint.starts, [])
        self.assertEqual(owner.gone_reasons, ["not_sent"])
