"""
The planner lease: one holder at a time, fenced by an epoch.

The row ``lease/planner`` is ``{holder, epoch, renewal, process}``. A contender
measures on its own monotonic clock how long the row stays unchanged, so clocks of
different hosts are never compared.

Example::

    lease = PlannerLease(platform.table, clock, "entry-1")
    if lease.tick():
        log.append(state, items, lease=lease)
"""

import uuid

from magnoliapier.exceptions import (
    ConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.logs import get_logger
from magnoliapier.platform_api import Check, Write

LEASE_KEY = "lease/planner"
RENEW_INTERVAL_S = 1.0
TAKEOVER_S = 5.0
# The holder stops one renewal interval before a contender may take over.
HOLD_S = TAKEOVER_S - RENEW_INTERVAL_S

log = get_logger(__name__)


class PlannerLease:
    """
    Contends for the lease and renews it; call ``tick`` every second.

    ``tick`` never raises for a failed store: the lease is then held only until
    HOLD_S after the start of the last successful renewal.
    """

    def __init__(self, table, clock, holder):
        self._table = table
        self._clock = clock
        self._holder = holder
        # Distinguishes processes of the same name when the row is read after a lost
        # answer.
        self._process = uuid.uuid4().hex
        self._epoch = 0
        self._version = None
        self._renewed_at = None
        self._unresolved_write = None
        self._seen_version = None
        self._seen_at = None

    @property
    def epoch(self):
        """The epoch under which this process last held the lease."""
        return self._epoch

    @property
    def held(self):
        """Whether this process may plan now."""
        return (
            self._version is not None
            and self._unresolved_write is None
            and self._clock.monotonic() - self._renewed_at < HOLD_S
        )

    def check(self):
        """Return the check that fences a write: the row still has our last version."""
        return Check(LEASE_KEY, self._version)

    def abandon(self):
        """Stop holding a lost lease; contend for it again from the next tick."""
        if self._version is not None:
            log.warning("planner_lease_lost", epoch=self._epoch)
        self._version = None
        self._unresolved_write = None
        self._seen_version = None

    def tick(self):
        """Renew or contend and return whether the lease is held."""
        was_held = self._version is not None
        try:
            self._renew_or_contend()
        except StoreUnavailableError:
            if was_held and not self.held:
                self.abandon()
        if self._version is not None and not was_held:
            log.info("planner_lease_taken", epoch=self._epoch)
        return self.held

    def release(self):
        """Let a contender take over at once, or after TAKEOVER_S if this fails."""
        if not self.held:
            return
        value = {"holder": "", "epoch": self._epoch, "renewal": 0, "process": ""}
        try:
            self._table.transact([Write(LEASE_KEY, value, self._version)])
        except (ConflictError, StoreUnavailableError, StoreOutcomeUnknownError):
            log.info("planner_lease_not_released", epoch=self._epoch)
        self._version = None

    def _renew_or_contend(self):
        if self._unresolved_write is not None:
            self._resolve_write()
        elif self._version is not None:
            self._write_row(self._epoch, self._version)
        else:
            self._contend()

    def _contend(self):
        row = self._table.read([LEASE_KEY]).get(LEASE_KEY)
        now = self._clock.monotonic()
        if row is None:
            self._write_row(1, 0)
        elif row.value["holder"] == "":
            self._write_row(row.value["epoch"] + 1, row.version)
        elif row.version != self._seen_version:
            self._seen_version = row.version
            self._seen_at = now
        elif now - self._seen_at >= TAKEOVER_S:
            self._write_row(row.value["epoch"] + 1, row.version)

    def _write_row(self, epoch, expected_version):
        started_at = self._clock.monotonic()
        value = {
            "holder": self._holder,
            "epoch": epoch,
            "renewal": expected_version + 1,
            "process": self._process,
        }
        try:
            versions = self._table.transact([Write(LEASE_KEY, value, expected_version)])
        except ConflictError:
            self.abandon()
        except StoreOutcomeUnknownError:
            self._unresolved_write = (value, expected_version, started_at)
            self._resolve_write()
        else:
            self._record_hold(epoch, versions[LEASE_KEY], started_at)

    def _resolve_write(self):
        # The write whose answer was lost may still be applied. It is conditional on the
        # version before it, so the row shows that version, this write or the write of
        # another process.
        value, expected_version, started_at = self._unresolved_write
        row = self._table.read([LEASE_KEY]).get(LEASE_KEY)
        if row is not None and row.value == value:
            self._unresolved_write = None
            self._record_hold(value["epoch"], row.version, started_at)
        elif (row.version if row else 0) == expected_version:
            self._unresolved_write = None
        else:
            self.abandon()

    def _record_hold(self, epoch, version, started_at):
        self._epoch = epoch
        self._version = version
        self._renewed_at = started_at
