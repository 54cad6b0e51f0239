"""
Tracks the services that each queue has had.

A submission stays with the service that its queue had when it was accepted, also after
a newer configuration has given the queue another one. Hosts find the submission, and
take the shard that holds it, because the services of each queue are recorded in the
control table before anything is accepted under them.
"""

import msgspec

from magnoliapier.exceptions import (
    ConflictError,
    MessageError,
    StoreUnavailableError,
)
from magnoliapier.logs import get_logger
from magnoliapier.state.decoding import decode_stored
from magnoliapier.state.lease import CONTROL_TABLE
from magnoliapier.state.rows import ABSENT, Expect, Put

QUEUES_PART = "queues"
QUEUE_KEY_PREFIX = "queue/"
RECORD_ATTEMPTS = 8  # each fails only if another host has changed the record
MAX_KEY_BYTES = 200  # of a row of the platform's table

log = get_logger(__name__)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[str, ...])


class QueueRecord(msgspec.Struct, frozen=True):
    """The services that a queue has had, the first one first, and the row's version."""

    services: tuple[str, ...] = ()
    version: int = ABSENT


class ServicesOfQueue(msgspec.Struct, frozen=True):
    """
    The services under which submissions of a queue may be stored.

    ``home`` is the first that was recorded, which names the part of the rows.
    """

    present: str
    former: tuple[str, ...]
    home: str

    @property
    def all(self):
        """Return all services, the present one first."""
        return (self.present, *self.former)


NO_RECORD = QueueRecord()


class QueueServices:
    """
    The recorded services of all queues, as this host has read them.

    A queue is known by the address under which callers find its submissions, whatever
    name it has in the configuration.

    Of two hosts that accept a submission under different services, at least the one
    that recorded its service later knows the other's: each write has a condition.

    Example::

        services = await queue_services.record(queue)
        assert services.present == queue.service
    """

    def __init__(self, store):
        self._store = store
        self._records = {}

    def apply(self, rows):
        """Apply changed rows of the control table."""
        for row in rows:
            if row.part == QUEUES_PART and not row.removed:
                self._observe(row)

    def _observe(self, row):
        known = self._records.get(row.key, NO_RECORD)
        if row.version <= known.version:
            return
        try:
            services = decode_stored(_DECODER, row.value)
        except MessageError as error:
            log.error("unreadable_queue_record", key=row.key, error=error)
            services = known.services
        self._records[row.key] = QueueRecord(services, row.version)

    def all(self):
        """Return the services that any queue has had, as a set."""
        return {s for record in self._records.values() for s in record.services}

    def of(self, queue):
        """Return the ServicesOfQueue as far as this host knows them."""
        recorded = self._records.get(record_key(queue), NO_RECORD).services
        former = tuple(s for s in recorded if s != queue.service)
        home = recorded[0] if recorded else queue.service
        return ServicesOfQueue(queue.service, former, home)

    async def record(self, queue):
        """
        Store that a queue has its present service, if that is new, and return ``of``.

        Raises a PlatformError if the store does not confirm it.
        """
        key = record_key(queue)
        for _ in range(RECORD_ATTEMPTS):
            known = self._records.get(key, NO_RECORD)
            if queue.service in known.services:
                return self.of(queue)
            services = (*known.services, queue.service)
            expect = Expect(CONTROL_TABLE, QUEUES_PART, key, known.version)
            put = Put(CONTROL_TABLE, QUEUES_PART, key, _ENCODER.encode(services))
            try:
                version = await self._store.commit([expect], [put])
            except ConflictError as error:
                self._apply_conflict(key, error.rows.get(key))
            else:
                self._records[key] = QueueRecord(services, version)
                log.info("queue_service_recorded", queue=queue.name, services=services)
        raise StoreUnavailableError("Retry later; others keep changing the record.")

    def _apply_conflict(self, key, row):
        if row is not None:
            self._observe(row)
        else:  # the row was removed by hand
            self._records.pop(key, None)

    async def refresh(self, queue):
        """Read a queue's record from the store and return ``of``."""
        key = record_key(queue)
        changes = await self._store.read(CONTROL_TABLE, QUEUES_PART, key, key + "\x00")
        self.apply(changes.rows)
        return self.of(queue)


def record_key(queue):
    """
    Return the key of a queue's record.

    Queues whose long addresses are cut to the same key share a record: they are looked
    for under the services of both.
    """
    key = f"{QUEUE_KEY_PREFIX}{queue.host}{queue.path_prefix}"
    return key.encode()[:MAX_KEY_BYTES].decode(errors="ignore")
