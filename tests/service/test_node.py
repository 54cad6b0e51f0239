import asyncio
from types import SimpleNamespace
from unittest import mock

from magnoliapier.service.incarnation import LeaseTerms
from magnoliapier.service.node import Node
from magnoliapier.service.queue_services import QueueServices
from magnoliapier.state.lease import (
    CONTROL_TABLE,
    LEASE_KEY,
    LeaseRecord,
    encode_lease,
)
from magnoliapier.state.rows import Put
from magnoliapier.submissions.configuration import Configuration
from tests.service.fakes import FakeStore, metrics
from tests.service.test_shard import QUEUE, SERVICE
from tests.simulated_time import LoopClock, SimulatedTimeTestCase
from tests.waiting import wait_until


def make_node(store):
    """Return the node of a host that has not been started."""
    clients = SimpleNamespace(
        store=store,
        http=None,
        endpoint_client=None,
        machines=None,
        endpoint_table="endpoints",
        decode_endpoint=None,
        wave_status=None,
    )
    settings = SimpleNamespace(
        name="host-1",
        peer_address="127.0.0.1:0",
        endpoint_lease=LeaseTerms(5500, 6000),
        final_retention_s=240.0,
        low_capacity=False,
        host_order_gap_s=3.0,
        host_orders_per_s=64.0,
    )
    return Node(clients, settings, metrics())


class WantedShardsTests(SimulatedTimeTestCase):
    async def test_shard_of_a_service_without_queues_is_wanted(self):
        """
        Guards against submissions that nobody runs once their queue is gone.

        The queue has moved to another service or has been removed, and then the holder
        of the shard leaves.
        """
        store = FakeStore()
        await QueueServices(store).record(QUEUE)
        node = make_node(store)
        node.configure(Configuration(1, queues=(), services=()))
        parts, _ = await store.parts(CONTROL_TABLE)
        for part in parts:
            changes = await store.read(CONTROL_TABLE, part)
            node._apply_control(changes.rows, True)
        self.assertIn(SERVICE, node._wanted_shards())


class HandOverTests(SimulatedTimeTestCase):
    """Stops a started node in two steps, as a program does."""

    async def asyncSetUp(self):
        clock = LoopClock()
        for module in ("node", "watch"):
            name = f"magnoliapier.service.{module}.boottime"
            self.enterContext(mock.patch(name, clock))
        self.store = FakeStore()
        self.node = make_node(self.store)
        self.node.configure(Configuration(1, queues=(QUEUE,), services=()))

    async def test_successor_of_a_shard_is_known_until_the_end(self):
        """Guards against questions that go to a holder which has left."""
        await self.node.start()
        self.addAsyncCleanup(self.node.close)
        await self.node.hand_over()
        record = LeaseRecord("other", "p", "127.0.0.1:2", 7)
        put = Put(CONTROL_TABLE, SERVICE, LEASE_KEY, encode_lease(record))
        await self.store.commit([], [put])
        await wait_until(lambda: self.node.leases.holder(SERVICE) == record)

    async def test_no_shard_is_taken_by_a_host_that_stops_as_it_starts(self):
        """Guards against a shard whose holder ends without handing it over."""
        go_on = asyncio.Event()

        async def parts(table):
            await go_on.wait()
            return await FakeStore.parts(self.store, table)

        self.store.parts = parts
        await self.node.start()
        self.addAsyncCleanup(self.node.close)
        await asyncio.sleep(0.01)
        await self.node.hand_over()
        go_on.set()
        await asyncio.sleep(0.5)
        self.assertTrue(self.node._control_watcher.loaded.is_set())
        self.assertEqual(self.store.commits, [])
