"""Tracks which host holds each shard, and takes shards that no host holds."""

import asyncio
import zlib

from magnoliapier.exceptions import (
    ConflictError,
    PlatformError,
    StoreOutcomeUnknownError,
)
from magnoliapier.logs import get_logger
from magnoliapier.service.background import cancel_tasks, supervise
from magnoliapier.state.lease import (
    CONTROL_TABLE,
    LEASE_KEY,
    HeldLease,
    LeaseRecord,
    LeaseView,
    encode_lease,
    read_lease,
)
from magnoliapier.state.rows import ABSENT, Expect, Put

FLEET_SHARD = "fleet"
CHECK_INTERVAL_S = 0.1
DELAY_PER_HELD_SHARD_S = 0.25  # lets hosts with fewer shards go first
OFFERED_DELAY_S = 1.5  # before this host takes back a shard that it has offered
MAX_JITTER_S = 0.1
LOW_CAPACITY_DELAY_S = 0.7  # lets hosts with more processor and bandwidth go first
# Repeating a write under the same condition tells whether an unanswered one succeeded.
WRITE_ATTEMPTS = 4
FAILED_WRITE_DELAY_S = 0.5  # after a write that failed or got no answer
OUTAGE_GRACE_S = 1.0  # after a store outage, for holders to renew their leases

log = get_logger(__name__)


class LeaseDirectory:
    """The leases of all shards as this host has read them."""

    def __init__(self, clock):
        self._clock = clock
        self._views = {}

    def apply(self, rows, complete):
        """Apply changed rows of the control table."""
        now = self._clock()
        for row in rows:
            if row.key != LEASE_KEY or row.removed:
                continue
            self.view(row.part).observe(read_lease(row), row.version, now)

    def view(self, shard):
        """Return the view of a shard's lease."""
        return self._views.setdefault(shard, LeaseView())

    def holder(self, shard):
        """Return the LeaseRecord of a shard's holder, or None."""
        record = self.view(shard).record
        return record if record is not None and record.holder else None


class LeaseTaker:
    """
    Takes shards that no host holds.

    ``wanted()`` returns the names of all shards; ``available_since()`` returns since
    when the store answers, or None while it does not; ``on_taken(shard, lease)`` is
    called with the HeldLease of each shard that was taken.
    """

    def __init__(
        self, store, directory, identity, clock, wanted, available_since, on_taken
    ):
        self._store = store
        self._directory = directory
        self._identity = identity
        self._clock = clock
        self._wanted = wanted
        self._available_since = available_since
        self._on_taken = on_taken
        self._free_since = {}
        self._offered_until = {}
        self._taken_at = None
        self._held = set()
        self._task = None

    def start(self):
        """Start to watch for free shards."""
        self._task = supervise("lease_taker", self._run)

    async def close(self):
        """Stop taking shards."""
        await cancel_tasks(self._task)

    def mark_released(self, shard):
        """Record that this host does not hold a shard any more."""
        self._held.discard(shard)

    def offer(self, shard):
        """Leave a shard that this host held to other hosts for a while."""
        self._held.discard(shard)
        self._offered_until[shard] = self._clock() + OFFERED_DELAY_S

    async def _run(self):
        while True:
            delay_s = CHECK_INTERVAL_S
            for shard in self._wanted():
                if shard in self._held or not self._may_take(shard):
                    continue
                if not await self._take(shard):
                    delay_s = FAILED_WRITE_DELAY_S
                    break
            await asyncio.sleep(delay_s)

    def _may_take(self, shard):
        view = self._directory.view(shard)
        now = self._clock()
        if now < self._offered_until.get(shard, now):
            return False
        if view.held_by_earlier_process(self._identity.holder, self._identity.process):
            return True
        if view.version != ABSENT and not view.expired(now):
            self._free_since.pop(shard, None)
            return False
        if view.version != ABSENT and not view.released and self._in_outage_grace(now):
            return False
        free_since = self._free_since.setdefault(shard, now)
        if self._held and self._taken_at is not None:
            free_since = max(free_since, self._taken_at)
        return now - free_since >= self._take_delay_s(shard)

    def _in_outage_grace(self, now):
        """Return whether a lease may have expired only because of a store outage."""
        available_since = self._available_since()
        return available_since is None or now - available_since < OUTAGE_GRACE_S

    def _take_delay_s(self, shard):
        seed = f"{self._identity.holder}/{shard}".encode()
        jitter_s = zlib.crc32(seed) % 1000 / 1000 * MAX_JITTER_S
        capacity_delay_s = LOW_CAPACITY_DELAY_S if self._identity.low_capacity else 0.0
        return len(self._held) * DELAY_PER_HELD_SHARD_S + jitter_s + capacity_delay_s

    async def _take(self, shard):
        """Try to take a shard; return whether the store answered."""
        view = self._directory.view(shard)
        token = view.next_token
        record = LeaseRecord(
            self._identity.holder, self._identity.process, self._identity.address, token
        )
        sent_at = self._clock()
        previous = view.record.holder if view.record else ""
        unchanged_ms = view.unchanged_ms(sent_at)
        try:
            version = await self._write(shard, record, view.version)
        except PlatformError as error:
            log.info("take_failed", shard=shard, error=error)
            return False
        self._free_since.pop(shard, None)
        if version is None:
            return True
        lease = HeldLease(record)
        lease.record_renewal(version, sent_at)
        view.observe(record, version, self._clock())
        self._held.add(shard)
        self._taken_at = self._clock()
        log.info(
            "shard_taken",
            shard=shard,
            token=token,
            previous=previous,
            unchanged_ms=unchanged_ms,
        )
        self._on_taken(shard, lease)
        return True

    async def _write(self, shard, record, expected):
        """Write a lease; return its version, or None if another host was faster."""
        expect = _expect_version(shard, expected)
        put = Put(CONTROL_TABLE, shard, LEASE_KEY, encode_lease(record))
        for attempt in range(1, WRITE_ATTEMPTS + 1):
            try:
                return await self._store.commit([expect], [put])
            except ConflictError as error:
                row = error.rows.get(LEASE_KEY)
                if read_lease(row) == record:
                    return row.version
                log.info("shard_taken_by_other", shard=shard)
                return None
            except StoreOutcomeUnknownError:
                if attempt == WRITE_ATTEMPTS:
                    raise


async def release(store, shard, lease):
    """
    Release a shard's lease so that another host can take it at once.

    A holder that closes cancels its commit, which may renew the lease unseen.
    """
    record = LeaseRecord("", lease.record.process, "", lease.record.token)
    put = Put(CONTROL_TABLE, shard, LEASE_KEY, encode_lease(record))
    try:
        try:
            await store.commit([_expect_version(shard, lease.version)], [put])
        except ConflictError as error:
            row = error.rows.get(LEASE_KEY)
            if read_lease(row) != lease.record:
                raise
            await store.commit([_expect_version(shard, row.version)], [put])
    except PlatformError as error:
        log.info("release_failed", shard=shard, error=error)
    else:
        log.info("shard_released", shard=shard)


def _expect_version(shard, version):
    return Expect(CONTROL_TABLE, shard, LEASE_KEY, version)
