"""
Leases on shards, stored as rows that are written under a version condition.

A shard has one holder at a time. The holder rewrites the lease row before
``LEASE_TTL_S`` has passed; other hosts may take the shard once they have seen the same
row version for that long. Every commit of a holder expects the version of its lease
row, so a former holder cannot write.
"""

from typing import Annotated

import msgspec

from magnoliapier.exceptions import MessageError
from magnoliapier.logs import get_logger
from magnoliapier.state.decoding import decode_stored

CONTROL_TABLE = "control"
LEASE_KEY = "lease"
FIRST_TOKEN = 1
# Each holder has a range of tokens, since it raises that of its calls to an endpoint.
TOKENS_PER_TERM = 2**20
# All tokens of the next holder must be exact in every JSON reader too.
MAX_STORED_TOKEN = 2**53 - 2 * TOKENS_PER_TERM
Token = Annotated[int, msgspec.Meta(ge=0, le=MAX_STORED_TOKEN)]
LEASE_TTL_S = 2.2
RENEW_INTERVAL_S = 0.6
ACTING_MARGIN_S = 0.2  # covers the time between a check and the order it allows
ORDER_TIME_LIMIT_S = 1.1  # by then the connection of an unanswered order is reset

log = get_logger(__name__)


class LeaseRecord(msgspec.Struct, frozen=True):
    """
    The value of a lease row.

    ``holder`` is the host's name, empty after a release; ``process`` is an id that is
    new at each start of the process; ``address`` is where the holder answers other
    hosts' requests about the shard. ``token`` is the first fencing token of the holder,
    and the only one in its orders to hosts; it increases by ``TOKENS_PER_TERM`` or more
    with each holder.
    """

    holder: str
    process: str
    address: str
    token: Token


_DECODER = msgspec.msgpack.Decoder(LeaseRecord)
_ENCODER = msgspec.msgpack.Encoder()


def encode_lease(record):
    """Return the stored bytes of a lease record."""
    return _ENCODER.encode(record)


def decode_lease(data):
    """Return the LeaseRecord in ``data``; raise MessageError if it is not one."""
    return decode_stored(_DECODER, data)


def read_lease(row):
    """Return a row's LeaseRecord, or None if there is no row or it is unreadable."""
    if row is None:
        return None
    try:
        return decode_lease(row.value)
    except MessageError as error:
        log.warning("unreadable_lease", shard=row.part, error=error)
        return None


class LeaseView:
    """
    What a host knows of a shard's lease from reading its row.

    ``record`` is None if the row cannot be decoded, for example because another version
    of the program wrote it in another format; its holder may still be acting. Times are
    seconds on a clock that counts suspended time.
    """

    def __init__(self):
        self.record = None
        self.version = 0
        self.unchanged_since = None

    def observe(self, record, version, now):
        """Record a row that was read at ``now``, if its version is a newer one."""
        if version > self.version or self.unchanged_since is None:
            self.record = record
            self.version = version
            self.unchanged_since = now

    @property
    def released(self):
        """Return whether the last holder has released the shard."""
        return self.record is not None and not self.record.holder

    @property
    def next_token(self):
        """
        Return a fencing token above all that were issued before.

        Each holder writes the row, so there have been no more holders than the row's
        version, which therefore tells a token if the record is unreadable.
        """
        if self.record is not None:
            return self.record.token + TOKENS_PER_TERM
        return FIRST_TOKEN + self.version * TOKENS_PER_TERM

    def expired(self, now):
        """Return whether the holder can no longer be acting on the lease."""
        if self.unchanged_since is None:
            return False
        if self.released:
            return True
        return now - self.unchanged_since >= LEASE_TTL_S

    def unchanged_ms(self, now):
        """Return for how many ms the row has not changed, 0 if it was never read."""
        since = now if self.unchanged_since is None else self.unchanged_since
        return round((now - since) * 1000)

    def held_by_earlier_process(self, holder, process):
        """Return whether the holder is an earlier process on the same host."""
        record = self.record
        return (
            record is not None and record.holder == holder and record.process != process
        )


class HeldLease:
    """The holder's side of a lease: its row version and how long it is valid."""

    def __init__(self, record):
        self.record = record
        self.version = 0
        self._renewed_at = None

    @property
    def token(self):
        """Return the first fencing token of this holder."""
        return self.record.token

    @property
    def last_token(self):
        """Return the last fencing token of this holder; the next has higher ones."""
        return self.record.token + TOKENS_PER_TERM - 1

    def record_renewal(self, version, sent_at):
        """Record a confirmed renewal that was sent at ``sent_at``."""
        self.version = version
        if self._renewed_at is None or sent_at > self._renewed_at:
            self._renewed_at = sent_at

    def renewal_due(self, now):
        """Return whether the lease row should be written again."""
        return self._renewed_at is None or now - self._renewed_at >= RENEW_INTERVAL_S

    def may_act(self, now):
        """Return whether no other host can hold the shard yet."""
        return self.remaining_s(now) > ACTING_MARGIN_S

    def covers_order(self, now):
        """Return whether an order sent now ends before another can hold the shard."""
        return self.remaining_s(now) > ORDER_TIME_LIMIT_S

    def remaining_s(self, now):
        """Return for how many more seconds no other host can hold the shard."""
        if self._renewed_at is None:
            return 0.0
        return LEASE_TTL_S - (now - self._renewed_at)
