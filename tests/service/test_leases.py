import asyncio
import unittest

from magnoliapier.service.leases import (
    OFFERED_DELAY_S,
    OUTAGE_GRACE_S,
    LeaseDirectory,
    LeaseTaker,
)
from magnoliapier.service.node import Identity
from magnoliapier.state.lease import (
    CONTROL_TABLE,
    LEASE_KEY,
    LEASE_TTL_S,
    LeaseRecord,
    decode_lease,
    encode_lease,
)
from magnoliapier.state.rows import Put
from tests.service.fakes import FakeClock, FakeStore

SHARD = "desk"
OTHER = LeaseRecord("other", "p", "127.0.0.1:1", 1)


async def release_row(store, directory):
    """Write the lease row as a host leaves it that gives the shard up."""
    record = LeaseRecord("", "p", "", 2)
    await store.commit([], [Put(CONTROL_TABLE, SHARD, LEASE_KEY, encode_lease(record))])
    changes = await store.read(CONTROL_TABLE, SHARD)
    directory.apply(changes.rows, True)


class TakeoverTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = FakeClock()
        self.store = FakeStore()
        self.directory = LeaseDirectory(self.clock)
        await self.store.commit(
            [], [Put(CONTROL_TABLE, SHARD, LEASE_KEY, encode_lease(OTHER))]
        )
        changes = await self.store.read(CONTROL_TABLE, SHARD)
        self.directory.apply(changes.rows, True)
        self.available_since = 0.0
        self.taken = []
        self.shards = [SHARD]
        self.taker = LeaseTaker(
            self.store,
            self.directory,
            Identity("me", "p", "127.0.0.1:2"),
            self.clock,
            lambda: self.shards,
            lambda: self.available_since,
            lambda shard, lease: self.taken.append(shard),
        )
        self.taker.start()
        self.addAsyncCleanup(self.taker.close)

    async def later(self, seconds):
        """Let a steady time pass, in steps that the taker sees."""
        self.clock.now += seconds
        await asyncio.sleep(0.25)
        self.clock.now += 0.2
        await asyncio.sleep(0.25)

    async def test_expired_lease_is_taken(self):
        """Guards against a shard that nobody holds after its holder's end."""
        await self.later(LEASE_TTL_S)
        self.assertEqual(self.taken, [SHARD])

    async def test_unreadable_lease_is_taken_once_it_stands_still(self):
        """Guards against a takeover at once, and against none at all."""
        put = Put(CONTROL_TABLE, SHARD, LEASE_KEY, b"\xc1")
        version = await self.store.commit([], [put])
        changes = await self.store.read(CONTROL_TABLE, SHARD)
        self.directory.apply(changes.rows, True)
        await self.later(0.5)
        self.assertEqual(self.taken, [])
        await self.later(LEASE_TTL_S)
        self.assertEqual(self.taken, [SHARD])
        stored = self.store.rows[(CONTROL_TABLE, SHARD, LEASE_KEY)]
        self.assertGreater(decode_lease(stored.value).token, version)

    async def test_taker_survives_an_unreadable_row_in_its_way(self):
        """Guards against a host that never takes a shard again after such a row."""
        put = Put(CONTROL_TABLE, SHARD, LEASE_KEY, b"\xc1")
        await self.store.commit([], [put])
        await self.later(LEASE_TTL_S)
        self.assertEqual(self.taken, [])
        changes = await self.store.read(CONTROL_TABLE, SHARD)
        self.directory.apply(changes.rows, True)
        await self.later(LEASE_TTL_S)
        self.assertEqual(self.taken, [SHARD])

    async def test_holder_may_renew_first_when_the_store_is_back(self):
        """
        Guards against a takeover from every living holder after each store outage.

        The pattern is a store that is silent for longer than a lease: a takeover throws
        away what the holders know, and the work waits until all of it is read again.
        """
        self.available_since = None
        await self.later(LEASE_TTL_S)
        self.assertEqual(self.taken, [])
        self.available_since = self.clock.now
        await self.later(0.1)
        self.assertEqual(self.taken, [])
        await self.later(OUTAGE_GRACE_S)
        self.assertEqual(self.taken, [SHARD])

    async def test_offered_shard_is_left_to_others(self):
        """Guards against a host that takes back at once what it hands over."""
        await self.later(LEASE_TTL_S)
        self.taker.offer(SHARD)
        await release_row(self.store, self.directory)
        await self.later(0.5)
        self.assertEqual(self.taken, [SHARD])
        await self.later(OFFERED_DELAY_S)
        self.assertEqual(self.taken, [SHARD, SHARD])

    async def test_host_takes_no_second_shard_at_once(self):
        """
        Guards against all shards on one host after an outage.

        The pattern is a store that comes back for one host before the others: all
        shards have been free for long, and this host would take every one of them.
        """
        self.shards = [SHARD, "second", "third"]
        await asyncio.sleep(0.25)
        self.clock.now += 60
        await asyncio.sleep(0.35)
        self.assertEqual(len(self.taken), 1)
