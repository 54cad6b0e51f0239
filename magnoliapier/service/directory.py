"""Keeps a directory of the endpoints that are listed in the store."""

from magnoliapier.exceptions import MessageError
from magnoliapier.logs import get_logger
from magnoliapier.placement.endpoint import EndpointRecord
from magnoliapier.submissions.model import Resources

RETURN_GRACE_S = 2.5  # records that expired during a store outage return within it

log = get_logger(__name__)


class EndpointDirectory:
    """
    Holds the records that endpoints write about themselves.

    ``decode(key, value)`` turns a stored row into an EndpointRecord; it raises
    MessageError if the row is not one. A removed record stays listed for
    ``RETURN_GRACE_S``, because it may have expired during a store outage.

    A row that cannot be decoded names no endpoint to use, so a known endpoint with such
    a row is not listed. Its last record is kept while it has a row: the address in it
    may be the only way to reach what runs there.
    """

    def __init__(self, decode, clock):
        self._decode = decode
        self._clock = clock
        self._records = {}
        self._unusable = set()
        self._missing_since = {}

    def apply(self, rows, complete):
        """Apply changed rows, or a full read of the table if ``complete``."""
        if complete:
            present = {row.key for row in rows}
            for endpoint_id in (self._records.keys() | self._unusable) - present:
                self._missing_since.setdefault(endpoint_id, self._clock())
        for row in rows:
            if row.removed:
                self._missing_since.setdefault(row.key, self._clock())
            else:
                self._apply_row(row)

    def _apply_row(self, row):
        self._missing_since.pop(row.key, None)
        try:
            record = self._decode(row.key, row.value)
        except MessageError as error:
            self._mark_unusable(row.key, error)
            return
        known = self._records.get(row.key)
        if known is None or row.key in self._unusable or self._changed(known, record):
            log.routine(
                "endpoint_listed",
                endpoint=row.key,
                service=record.service,
                draining=record.draining,
                born=record.started_ms,
                version=row.version,
            )
        self._records[row.key] = record
        self._unusable.discard(row.key)

    def _mark_unusable(self, endpoint_id, error):
        # Logged once, as endpoints write their rows anew all the time.
        if endpoint_id not in self._unusable:
            self._unusable.add(endpoint_id)
            log.warning(
                "unreadable_endpoint_row",
                key=endpoint_id,
                known=endpoint_id in self._records,
                error=error,
            )

    def _changed(self, known, record):
        """Return whether a record tells more than that its endpoint still runs."""
        return (
            known.draining != record.draining or known.started_ms != record.started_ms
        )

    def records_of(self, service):
        """Return the records of a service's listed endpoints by endpoint id."""
        self._remove_expired()
        return {
            endpoint_id: record
            for endpoint_id, record in self._records.items()
            if record.service == service and endpoint_id not in self._unusable
        }

    def record_or_placeholder(self, endpoint_id, service):
        """Return an endpoint's last record, or a placeholder without an address."""
        known = self._records.get(endpoint_id)
        if known is not None:
            return known
        return EndpointRecord(endpoint_id, service, "", "", True, Resources())

    def _remove_expired(self):
        now = self._clock()
        for endpoint_id, since in list(self._missing_since.items()):
            if now - since >= RETURN_GRACE_S:
                del self._missing_since[endpoint_id]
                self._unusable.discard(endpoint_id)
                if self._records.pop(endpoint_id, None) is not None:
                    log.routine("endpoint_unlisted", endpoint=endpoint_id)
