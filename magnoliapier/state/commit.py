"""
Commits of a shard that are refused once another process holds its lease.

Each transaction expects the version of the shard's lease row. After a transaction that
got no answer, the next one writes the lease row as well and so changes its version: if
the first is applied late, its condition fails, and it cannot restore older values.
"""

from magnoliapier.exceptions import (
    ConflictError,
    FencedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.logs import get_logger
from magnoliapier.state.lease import (
    CONTROL_TABLE,
    LEASE_KEY,
    encode_lease,
    read_lease,
)
from magnoliapier.state.rows import Expect, Put

log = get_logger(__name__)


class FencedCommitter:
    """
    Writes rows of one shard while its lease is held.

    Example::

        committer = FencedCommitter(store, "shard-a", lease, boottime)
        await committer.commit([Put("progress", "shard-a", "1", b"...")])
    """

    def __init__(self, store, shard, lease, boottime):
        self._store = store
        self._shard = shard
        self._lease = lease
        self._boottime = boottime
        self._outcome_unknown = False

    async def commit(self, puts, removes=()):
        """
        Apply all writes or none, and renew the lease if that is due.

        Raises StoreUnavailableError or StoreOutcomeUnknownError if the caller has to
        commit the same writes, or newer values of the same rows, again. Raises
        FencedError if another process holds the shard.
        """
        sent_at = self._boottime()
        renews_lease = self._outcome_unknown or self._lease.renewal_due(sent_at)
        all_puts = [self._lease_put(), *puts] if renews_lease else list(puts)
        if not all_puts and not removes:
            return
        expect = Expect(CONTROL_TABLE, self._shard, LEASE_KEY, self._lease.version)
        try:
            version = await self._store.commit([expect], all_puts, removes)
        except ConflictError as error:
            self._resolve_conflict(error)
        except StoreOutcomeUnknownError:
            self._outcome_unknown = True
            raise
        else:
            self._outcome_unknown = False
            if renews_lease:
                self._lease.record_renewal(version, sent_at)

    def _lease_put(self):
        value = encode_lease(self._lease.record)
        return Put(CONTROL_TABLE, self._shard, LEASE_KEY, value)

    def _resolve_conflict(self, error):
        row = error.rows.get(LEASE_KEY)
        record = read_lease(row)
        if record != self._lease.record:
            holder = record.holder if record else ""
            raise FencedError(f"Stop acting on {self._shard}; {holder!r} holds it.")
        log.info("lost_renewal_applied", shard=self._shard, version=row.version)
        self._lease.version = row.version
        raise StoreUnavailableError("Commit again: an earlier renewal was applied.")
