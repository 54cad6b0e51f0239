import asyncio
import time
import unittest

from magnoliapier.exceptions import (
    MessageError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.service.entry import AnswerKind, Entry
from magnoliapier.service.store_probe import StoreProbe
from magnoliapier.submissions.model import SubmissionState
from tests.service.fakes import FakeClock, FakeStore, metrics
from tests.service.test_shard import QUEUE, short_step, submission


class EntryTestCase(unittest.IsolatedAsyncioTestCase):
    class NoPeers:
        async def state(self, service, submission_id):
            return None

        async def pending(self, service, queue_name):
            return None

    async def asyncSetUp(self):
        self.store = FakeStore()
        self.clock = FakeClock()
        self.probe = StoreProbe(self.store, self.clock)
        self.addAsyncCleanup(self.probe.close)
        self.entry = Entry(
            self.store, self.NoPeers(), self.probe, self.clock, metrics()
        )
        self.item = submission("6" * 16, short_step())


class EntryTests(EntryTestCase):
    async def test_repeated_submission_is_stored_once(self):
        """Guards against a retried submission that is stored a second time."""
        for _ in range(2):
            answer = await self.entry.submit(QUEUE, self.item)
            self.assertEqual(answer.kind, AnswerKind.OK)
        self.assertEqual(len(self.store.commits), 1)

    async def test_submission_is_repeated_after_a_lost_answer(self):
        """Guards against an UNKNOWN answer when a repeat would tell the outcome."""
        self.store.lose_next = 1
        answer = await self.entry.submit(QUEUE, self.item)
        self.assertEqual(answer.kind, AnswerKind.OK)

    async def test_refusal_is_given_only_if_nothing_was_written(self):
        """Guards against a refusal after a write that may have been applied."""
        self.store.fail_next = 1
        answer = await self.entry.submit(QUEUE, self.item)
        self.assertEqual(answer.kind, AnswerKind.REFUSED)
        self.store.delay_next = 1
        self.store.fail_next = 0
        self.clock.now += 1

        async def fail(expects, puts, removes=()):
            self.clock.now += 1
            self.store.commit = self.commit_while_down
            return await FakeStore.commit(self.store, expects, puts, removes)

        self.store.commit = fail
        answer = await self.entry.submit(QUEUE, self.item)
        self.assertEqual(answer.kind, AnswerKind.UNKNOWN)

    async def commit_while_down(self, expects, puts, removes=()):
        self.clock.now += 1
        self.store.fail_next = 1
        return await FakeStore.commit(self.store, expects, puts, removes)

    async def test_state_and_cancel_of_unknown_submission(self):
        """Guards against a state that is reported for a submission never made."""
        self.assertEqual(
            (await self.entry.state(QUEUE, "7" * 16)).kind, AnswerKind.ABSENT
        )
        self.assertEqual(
            (await self.entry.cancel(QUEUE, "7" * 16)).kind, AnswerKind.ABSENT
        )

    async def test_state_without_a_holder_is_read_from_the_store(self):
        """Guards against an accepted submission that is unknown without a holder."""
        await self.entry.submit(QUEUE, self.item)
        answer = await self.entry.state(QUEUE, self.item.submission_id)
        self.assertEqual(answer.state, SubmissionState.QUEUED)


class SilentStoreTests(EntryTestCase):
    """A store stops answering while callers keep submitting."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.silent = True

        async def read(*args):
            while self.silent:
                await asyncio.sleep(0.01)
            return await FakeStore.read(self.store, *args)

        self.read = read

    async def test_refuses_at_once_and_accepts_after_the_outage(self):
        """
        Guards against an UNKNOWN answer when a refusal would be correct.

        A caller may submit again after a refusal, but not after an unknown outcome.
        """
        self.store.read = self.read
        answer = await self.entry.submit(QUEUE, self.item)
        self.assertEqual(answer.kind, AnswerKind.REFUSED)
        self.assertTrue(self.probe.silent)
        answer = await asyncio.wait_for(self.entry.submit(QUEUE, self.item), 0.05)
        self.assertEqual(answer.reason, "store_silent")
        self.assertEqual(self.store.commits, [])
        self.silent = False
        await asyncio.sleep(0.6)
        answer = await self.entry.submit(QUEUE, self.item)
        self.assertEqual(answer.kind, AnswerKind.OK)

    async def test_no_probe_while_the_store_answers(self):
        """Guards against a probe before each submission to a healthy store."""
        self.store.read = self.read
        self.store.last_answer_at = self.clock.now - 0.1
        answer = await self.entry.submit(QUEUE, self.item)
        self.assertEqual(answer.kind, AnswerKind.OK)


class BadStoreAnswerTests(EntryTestCase):
    """The store refuses calls or sends answers that cannot be read."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.reads = 0
        self.error = StoreUnavailableError("503")

        async def read(*args):
            self.reads += 1
            self.clock.now = self.started_at + time.monotonic() - self.started
            raise self.error

        self.started = time.monotonic()
        self.started_at = self.clock.now
        self.store.last_answer_at = self.clock.now
        self.store.read = read

    async def test_refused_reads_are_repeated_with_a_delay(self):
        """Guards against thousands of calls in a second to a store that refuses."""
        answer = await self.entry.cancel(QUEUE, "6" * 16)
        self.assertEqual(answer.kind, AnswerKind.UNKNOWN)
        self.assertLess(self.reads, 40)

    async def test_refused_writes_are_repeated_with_a_delay(self):
        """Guards against the same load while a submission's outcome is unknown."""
        commits = []

        async def commit(*args):
            commits.append(args)
            self.clock.now = self.started_at + time.monotonic() - self.started
            if len(commits) == 1:
                raise StoreOutcomeUnknownError("lost")
            raise StoreUnavailableError("503")

        self.store.commit = commit
        answer = await self.entry.submit(QUEUE, self.item)
        self.assertEqual(answer.kind, AnswerKind.UNKNOWN)
        self.assertLess(len(commits), 40)

    async def test_unreadable_answer_is_an_answer_to_the_caller(self):
        """Guards against a request that ends with an internal error."""
        self.error = MessageError("no JSON")
        answer = await self.entry.state(QUEUE, "6" * 16)
        self.assertEqual(answer.kind, AnswerKind.UNAVAILABLE)
        answer = await self.entry.cancel(QUEUE, "6" * 16)
        self.assertEqual(answer.kind, AnswerKind.UNKNOWN)
