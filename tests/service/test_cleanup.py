import unittest

from magnoliapier.service.cleanup import TOMBSTONE, FinishedRows
from magnoliapier.state.rows import Put
from magnoliapier.state.tables import (
    CANCEL_SUFFIX,
    intake_part,
    progress_table,
    submissions_table,
)
from tests.service.fakes import FakeStore

SERVICE = "desk"
ID = "a" * 16
PART = intake_part(SERVICE, ID)
TABLE = submissions_table(SERVICE)


class Finished:
    submission_id = ID
    cancelled = True
    finished_ms = 1_000


class FinishedRowsTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = FakeStore()
        puts = [
            Put(TABLE, PART, ID, b"submission"),
            Put(TABLE, PART, ID + CANCEL_SUFFIX, b""),
            Put(progress_table(SERVICE), SERVICE, ID, b"final"),
        ]
        await self.store.commit([], puts)
        self.rows = FinishedRows(self.store, SERVICE, keep_s=5.0, now=0.0)
        self.rows.add(Finished)

    async def test_tombstone_still_recognises_a_repeat(self):
        """Guards against a late repeat that becomes a second submission."""
        self.assertEqual(await self.rows.clean(10.0, now_ms=2_000), [])
        self.assertEqual(self.store.rows[(TABLE, PART, ID)].value, TOMBSTONE)
        self.assertNotIn((TABLE, PART, ID + CANCEL_SUFFIX), self.store.rows)

    async def test_old_submissions_are_forgotten(self):
        """Guards against tables that grow without bound."""
        await self.rows.clean(10.0, now_ms=2_000)
        self.assertEqual(await self.rows.clean(20.0, now_ms=7_000), [ID])
        self.assertEqual(self.store.rows, {})

    async def test_failed_removal_is_tried_again(self):
        """Guards against rows that stay for good after the store was away."""
        await self.rows.clean(10.0, now_ms=2_000)
        self.store.fail_next = 1
        self.assertEqual(await self.rows.clean(20.0, now_ms=7_000), [])
        self.assertEqual(await self.rows.clean(30.0, now_ms=7_000), [ID])
