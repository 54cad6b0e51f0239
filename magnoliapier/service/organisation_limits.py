"""
Applies the limits of organisations in the cycles of one shard's controller.

Reads the stored rows at a takeover, gives the scheduler its limits, and adds the usage
row to the commit that stores the starts which the row counts. The rules are in
``organisations.usage``.
"""

import asyncio
import math

from magnoliapier.exceptions import MessageError, PlatformError
from magnoliapier.logs import get_logger
from magnoliapier.organisations.amounts import NOTHING
from magnoliapier.organisations.limits import UsageLimits
from magnoliapier.organisations.rows import (
    ALLOWANCE_END,
    ALLOWANCE_PREFIX,
    MAX_ROW_BYTES,
    USAGE_KEY,
    UsageRow,
    decode_usage,
    encode,
    read_allowances,
)
from magnoliapier.organisations.usage import ServiceUsage
from magnoliapier.placement.limits import NO_LIMITS
from magnoliapier.service.background import cancel_tasks, supervise
from magnoliapier.service.leases import FLEET_SHARD
from magnoliapier.state.lease import CONTROL_TABLE
from magnoliapier.state.rows import Put

GAUGE_INTERVAL_S = 1.0  # between two settings of the gauges
LOAD_RETRY_S = 0.2  # between two attempts to read the stored rows
# Between two lines for an organisation that stays at its limit, or a row that stays too
# long.
LOG_INTERVAL_S = 5.0

log = get_logger(__name__)


class OrganisationLimits:
    """
    The limits of organisations on one service.

    ``fleet`` is the FleetView of this host. Without organisations in the configuration,
    and without rows of former ones, nothing is read or written.

    Example::

        await limits.load()
        scheduler = Scheduler(sessions, now, limits.begin_pass(sessions, waiting, now))
        await committer.commit([*puts, *limits.puts(now)])
        limits.mark_stored(now)
    """

    def __init__(self, service, fleet, store, metrics):
        self._service = service
        self._fleet = fleet
        self._store = store
        self._metrics = metrics
        self._usage = ServiceUsage(service)
        self._loaded = False
        self._load_task = None
        self._pass = None
        self._row = None
        self._gauges_set_at = 0.0
        self._logged_at = {}
        self._too_long_logged_at = -math.inf

    async def load(self):
        """
        Read the stored rows, once limits are in force.

        Must be called under the shard's lease: the former holder writes none later.
        """
        if self._loaded or not self._fleet.limits().any:
            return
        allowances = await self._store.read(
            CONTROL_TABLE, FLEET_SHARD, ALLOWANCE_PREFIX, ALLOWANCE_END
        )
        readable, _ = read_allowances(allowances.rows)
        self._usage.restore(await self._read_usage(), readable)
        self._loaded = True
        log.info("limits_loaded", shard=self._service, organisations=len(readable))

    async def _read_usage(self):
        changes = await self._store.read(
            CONTROL_TABLE, self._service, USAGE_KEY, USAGE_KEY + "\x00"
        )
        try:
            return decode_usage(changes.rows[0].value) if changes.rows else UsageRow()
        except MessageError as error:
            # Without the number that it acknowledged: the allowance rows that were just
            # read are as new as any row that the former holder acted on.
            log.error("unreadable_usage", shard=self._service, error=error)
            return UsageRow()

    async def close(self):
        """Stop reading the rows."""
        if self._load_task is not None:
            await cancel_tasks(self._load_task)

    async def _load_in_background(self):
        while not self._loaded:
            try:
                await self.load()
            except (PlatformError, MessageError) as error:
                log.warning("limits_not_loaded", shard=self._service, error=error)
                await asyncio.sleep(LOAD_RETRY_S)

    def begin_pass(self, sessions, progresses, now):
        """Return the limits of a scheduling pass."""
        known = self._fleet.limits()
        self._pass = None
        if not known.any and not any(p.submission.organisation for p in progresses):
            return NO_LIMITS
        if known.any and not self._loaded:
            if self._load_task is None:
                self._load_task = supervise(
                    "load_limits", self._load_in_background, metrics=self._metrics
                )
            # A newer configuration may limit those that this host's does not name.
            seen = {progress.submission.organisation for progress in progresses}
            held_back = known.limited | (seen - known.configured.keys() - {""})
            return UsageLimits({}, {}, held_back, sessions, now)
        self._pass = self._usage.begin_pass(known, sessions, progresses, now)
        return self._pass

    def puts(self, now):
        """Return a list with the usage row's Put, or an empty one, after a pass."""
        ended_pass, self._pass, self._row = self._pass, None, None
        if ended_pass is None or not ended_pass.rooms:
            return []
        self._observe(ended_pass, now)
        row = self._usage.row_to_write(ended_pass, now)
        if row is None:
            return []
        value = encode(row)
        if len(value) > MAX_ROW_BYTES:
            if now - self._too_long_logged_at >= LOG_INTERVAL_S:
                self._too_long_logged_at = now
                log.error("usage_too_long", shard=self._service, bytes=len(value))
            return []
        self._row = row
        return [Put(CONTROL_TABLE, self._service, USAGE_KEY, value)]

    def mark_stored(self, now):
        """Record that the commit with the last puts was confirmed."""
        if self._row is not None:
            self._usage.mark_stored(self._row, now)
            self._metrics.count("usage_rows_total", shard=self._service)

    def mark_uncertain(self):
        """Record that the commit with the last puts failed or got no answer."""
        self._usage.mark_uncertain()

    def _observe(self, limits, now):
        """Log which organisations reach their limit, and set the gauges."""
        for name, room in limits.rooms.items():
            logged_at = self._logged_at.get(name)
            due = logged_at is None or now - logged_at >= LOG_INTERVAL_S
            if due and room.waiting_count:
                self._logged_at[name] = now
                log.info(
                    "limit_reached",
                    organisation=name,
                    shard=self._service,
                    use=room.use,
                    allowed=room.allowed or "no_row",
                    row=room.number,
                    waiting=room.waiting_count,
                )
        if now - self._gauges_set_at >= GAUGE_INTERVAL_S:
            self._gauges_set_at = now
            for name, room in limits.rooms.items():
                self._set_gauges(name, room)

    def _set_gauges(self, name, room):
        labels = {"organisation": name, "service": self._service}
        allowed = room.allowed or NOTHING
        for resource in room.use.__struct_fields__:
            self._metrics.gauge(
                "organisation_use",
                getattr(room.use, resource),
                resource=resource,
                **labels,
            )
            self._metrics.gauge(
                "organisation_allowed",
                getattr(allowed, resource),
                resource=resource,
                **labels,
            )
        self._metrics.gauge("organisation_limit_waiting", room.waiting_count, **labels)
