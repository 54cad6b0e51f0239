import asyncio
import unittest

from magnoliapier.exceptions import MessageError
from magnoliapier.service.store_probe import StoreProbe
from tests.service.fakes import FakeClock, FakeStore


class StoreProbeTests(unittest.IsolatedAsyncioTestCase):
    async def test_unreadable_answer_does_not_end_the_probe(self):
        """Guards against a host that refuses submissions until it is restarted."""
        store = FakeStore()
        errors = [MessageError("no JSON"), ValueError("unexpected")]

        async def read(*args):
            if errors:
                raise errors.pop(0)
            return await FakeStore.read(store, *args)

        store.read = read
        probe = StoreProbe(store, FakeClock())
        self.addAsyncCleanup(probe.close)
        probe.mark_silent()
        for _ in range(300):
            if not probe.silent:
                break
            await asyncio.sleep(0.01)
        self.assertFalse(probe.silent)
