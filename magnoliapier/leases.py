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
# The holder stops before a contender may start, with a margin of one renewal.
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
        # Tells two processes with one name apart when a lost write is read back.
        self._process = uuid.uuid4().hex
        self._epoch = 0
        self._version = None
        self._renewed_at = None
        self._pending = None
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
            and self._pending is None
            and self._clock.monotonic() - self._renewed_at < HOLD_S
        )

    def check(self):
        """Return the condition that fences a write, for the version last written."""
        return Check(LEASE_KEY, self._version)

    def abandon(self):
        """Give up after a fenced write; contend again from the next tick."""
        if self._version is not None:
            log.warning("planner_lease_lost", epoch=self._epoch)
        self._version = None
        self._pending = None
        self._seen_version = None

    def tick(self):
        """Renew or contend and return whether the lease is held."""
        was_held = self._version is not None
        try:
            self._advance()
        except StoreUnavailableError:
            if was_held and not self.held:
                self.abandon()
        if self._version is not None and not was_held:
            log.info("planner_lease_taken", epoch=self._epoch)
        return self.held

    def release(self):
        """Let a contender take over at once; a failure only costs TAKEOVER_S."""
        if not self.held:
            return
        value = {"holder": "", "epoch": self._epoch, "renewal": 0, "process": ""}
        try:
            self._table.transact([Write(LEASE_KEY, value, self._version)])
        except (ConflictError, StoreUnavailableError, StoreOutcomeUnknownError):
            log.info("planner_lease_not_released", epoch=self._epoch)
        self._version = None

    def _advance(self):
        if self._pending is not None:
            self._resolve()
        elif self._version is not None:
            self._write(self._epoch, self._version)
        else:
            self._contend()

    def _contend(self):
        row = self._table.read([LEASE_KEY]).get(LEASE_KEY)
        now = self._clock.monotonic()
        if row is None:
            self._write(1, 0)
        elif row.value["holder"] == "":
            self._write(row.value["epoch"] + 1, row.version)
        elif row.version != self._seen_version:
            self._seen_version = row.version
            self._seen_at = now
        elif now - self._seen_at >= TAKEOVER_S:
            self._write(row.value["epoch"] + 1, row.version)

    def _write(self, epoch, expected):
        started = self._clock.monotonic()
        value = {
            "holder": self._holder,
            "epoch": epoch,
            "renewal": expected + 1,
            "process": self._process,
        }
        try:
            versions = self._table.transact([Write(LEASE_KEY, value, expected)])
        except ConflictError:
            self.abandon()
        except StoreOutcomeUnknownError:
            self._pending = (value, expected, started)
            self._resolve()
        else:
            self._take(epoch, versions[LEASE_KEY], started)

    def _resolve(self):
        # The lost write may still arrive. It is conditional on the version before it,
        # so the row shows either that version, this write, or another holder's.
        value, expected, started = self._pending
        row = self._table.read([LEASE_KEY]).get(LEASE_KEY)
        if row is not None and row.value == value:
            self._pending = None
            self._take(value["epoch"], row.version, started)
        elif (row.version if row else 0) == expected:
            self._pending = None
        else:
            self.abandon()

    def _take(self, epoch, version, started):
        self._epoch = epoch
        self._version = version
        self._renewed_at = started
