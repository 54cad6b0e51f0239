"""
Records when the leases of endpoints end that do not answer.

The holder of a shard knows until when it has extended the lease of an endpoint. If the
endpoint stops answering, this time is stored, so that a successor does not have to wait
for the longest lease that an endpoint grants, counted from each takeover.

While an end is stored, nobody extends that lease: an endpoint that answers again gets
no extension, and no start, before a commit has removed its end.
"""

import msgspec

from magnoliapier.exceptions import MessageError
from magnoliapier.logs import get_logger
from magnoliapier.state.decoding import decode_stored
from magnoliapier.state.lease import CONTROL_TABLE
from magnoliapier.state.rows import Put

LEASE_ENDS_KEY = "lease-ends"
SILENT_FOR_S = 0.5  # a single lost call is repeated sooner
# By how much an end may differ from the stored one; the table's clock is not exact.
END_TOLERANCE_MS = 1000

log = get_logger(__name__)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(dict[str, int])


class LeaseEnds:
    """
    The stored ends of leases in one shard, in ms on the table's clock by endpoint id.

    Example::

        ends = LeaseEnds("desk", store.table_clock)
        put = ends.put(sessions, now)  # None if nothing has changed
        await committer.commit([put])
        ends.mark_stored()
    """

    def __init__(self, service, table_clock):
        self._service = service
        self._table_clock = table_clock
        self._written = {}
        self._stored = {}
        self._confirmed = True

    async def load(self, store):
        """Read the ends that a former holder has stored."""
        changes = await store.read(
            CONTROL_TABLE, self._service, LEASE_ENDS_KEY, LEASE_ENDS_KEY + "\x00"
        )
        for row in changes.rows:
            try:
                self._stored = decode_stored(_DECODER, row.value)
            except MessageError as error:
                log.error("unreadable_lease_ends", shard=self._service, error=error)
        self._written = dict(self._stored)

    def apply_to(self, session, now):
        """Tell a new session the stored end of its endpoint's lease, if any."""
        end_ms = self._stored.get(session.endpoint_id)
        if end_ms is None:
            return
        session.lease_end_recorded = True
        earliest_ms = self._table_clock.earliest_ms(now)
        if earliest_ms:
            session.expect_lease_end(now + (end_ms - earliest_ms) / 1000)

    def put(self, sessions, now):
        """
        Return the Put of the present ends, or None if they are stored.

        The sessions whose ends it holds do not extend their leases from now on, and the
        others do again once no stored row can hold their ends.
        """
        ends = {}
        for session in sessions:
            end_ms = self._end_ms(session, now)
            if end_ms is not None:
                ends[session.endpoint_id] = end_ms
                session.lease_end_recorded = True
            elif self._confirmed and session.endpoint_id not in self._stored:
                session.lease_end_recorded = False
        self._written = ends
        if self._confirmed and ends == self._stored:
            return None
        self._confirmed = False
        value = _ENCODER.encode(ends)
        return Put(CONTROL_TABLE, self._service, LEASE_ENDS_KEY, value)

    def mark_stored(self):
        """Record that the last Put is stored."""
        self._stored = self._written
        self._confirmed = True

    def _end_ms(self, session, now):
        """
        Return the end to store for an endpoint, or None for none.

        It changes when the directory ceases to list an endpoint, or lists it again.
        """
        if not session.live or (session.opened and session.failing_since is None):
            return None
        known = self._written.get(session.endpoint_id)
        latest_ms = self._table_clock.latest_ms(now)
        since = session.failing_since
        if since is None or now - since < SILENT_FOR_S or not latest_ms:
            return known
        end_ms = latest_ms + round((session.lease_end() - now) * 1000)
        if known is not None and abs(end_ms - known) <= END_TOLERANCE_MS:
            return known
        log.routine("lease_end_recorded", endpoint=session.endpoint_id, end_ms=end_ms)
        return end_ms
