import asyncio

from magnoliapier.exceptions import StoreUnavailableError
from magnoliapier.service.clock import StoreClock
from magnoliapier.service.host_list import BUSY_INTERVAL_S, UNLISTED_LIMIT_S, HostList
from tests.service.fakes import FakeClock
from tests.simulated_time import SimulatedTimeTestCase


class FakeMachines:
    """Lists one host; ``reads`` counts the lists, and ``is_away`` makes them fail."""

    def __init__(self):
        self.reads = 0
        self.is_away = False

    async def hosts(self):
        self.reads += 1
        await asyncio.sleep(0)
        if self.is_away:
            raise StoreUnavailableError("503")
        return ["h1"]


class HostListTests(SimulatedTimeTestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.machines = FakeMachines()
        self.list = HostList(self.machines, StoreClock(), self.clock)

    async def test_list_is_read_when_it_is_due(self):
        """Guards against a list in every cycle, each of which the platform counts."""
        for _ in range(5):
            self.assertTrue(await self.list.refresh(busy=True))
        self.assertEqual(self.machines.reads, 1)
        self.clock.now += BUSY_INTERVAL_S
        await self.list.refresh(busy=True)
        self.assertEqual(self.machines.reads, 2)

    async def test_order_that_ends_during_a_read_makes_it_outdated(self):
        """Guards against a list that does not show the effect of the last order."""
        reading = asyncio.create_task(self.list.refresh(busy=True))
        await asyncio.sleep(0)
        self.list.mark_outdated()
        await reading
        await self.list.refresh(busy=True)
        self.assertEqual(self.machines.reads, 2)

    async def test_list_is_away_after_a_while_without_it(self):
        """Guards against hosts that are given up while nobody can move them."""
        self.machines.is_away = True
        self.assertFalse(await self.list.refresh(busy=True))
        self.assertFalse(self.list.is_away(self.clock()))
        self.clock.now += UNLISTED_LIMIT_S
        self.assertTrue(self.list.is_away(self.clock()))
        self.machines.is_away = False
        self.assertTrue(await self.list.refresh(busy=True))
        self.assertFalse(self.list.is_away(self.clock()))
