"""
Writes the allowance rows of organisations, while the fleet's lease is held.

It has a loop of its own: a tick of the fleet's controller may wait for orders to hosts,
and unused room has to reach the service that asks for it within about a second.
"""

from magnoliapier.logs import get_logger
from magnoliapier.organisations.allowances import SKIPPED_NUMBERS, AllowancePlanner
from magnoliapier.organisations.amounts import NOTHING
from magnoliapier.organisations.rows import (
    ALLOWANCE_END,
    ALLOWANCE_PREFIX,
    NO_ROW,
    USAGE_KEY,
    allowance_key,
    encode,
    read_allowances,
    with_name,
)
from magnoliapier.service.leases import FLEET_SHARD
from magnoliapier.state.lease import CONTROL_TABLE
from magnoliapier.state.rows import Put

MAX_ROWS_PER_COMMIT = 50  # half of the rows that a transaction takes
# By then this host has read back a row that it wrote. A row that it can't read is
# written again, as no service can read it either.
ROW_READ_S = 2.0

log = get_logger(__name__)


class AllowanceWriter:
    """
    Divides the limits of organisations among the services.

    ``view`` is the FleetView of this host. ``commit(puts)`` is a fenced commit of the
    fleet's shard.

    Example::

        writer = AllowanceWriter(store, view, committer.commit, boottime, metrics)
        await writer.update()
    """

    def __init__(self, store, view, commit, clock, metrics):
        self._store = store
        self._view = view
        self._commit = commit
        self._clock = clock
        self._metrics = metrics
        self._planner = None
        self._unread_since = {}

    async def update(self):
        """Plan, and write the rows that have to change."""
        if not self._view.limits().any:
            return
        if self._planner is None:
            self._planner = await self._load()
        known = self._view.limits()
        self._find_unread(known.allowances)
        limits = {
            name: limit for name, limit in known.configured.items() if limit != NOTHING
        }
        rows = self._planner.plan(
            limits,
            self._view.services(),
            known.usages,
            self._clock(),
            self._view.held(),
        )
        names = sorted(rows)
        for start in range(0, len(names), MAX_ROWS_PER_COMMIT):
            await self._write(
                {
                    name: rows[name]
                    for name in names[start : start + MAX_ROWS_PER_COMMIT]
                }
            )

    def _find_unread(self, allowances):
        now = self._clock()
        self._unread_since = {
            name: self._unread_since.get(name, now)
            for name, number in self._planner.numbers().items()
            if allowances.get(name, NO_ROW).number < number
        }
        for name, since in list(self._unread_since.items()):
            if now - since >= ROW_READ_S:
                self._planner.write_again(name)
                del self._unread_since[name]

    async def _load(self):
        """
        Return a planner of the stored rows, once the newest usage rows are known.

        The usage rows that this host has read may be older than those on which the
        former holder based its allowances.
        """
        stored = await self._store.read(
            CONTROL_TABLE, FLEET_SHARD, ALLOWANCE_PREFIX, ALLOWANCE_END
        )
        rows, unreadable = read_allowances(stored.rows)
        services = {*self._view.services(), *self._view.limits().usages}
        for row in rows.values():
            services.update(row.services)
        for service in sorted(services):
            usage = await self._store.read(
                CONTROL_TABLE, service, USAGE_KEY, USAGE_KEY + "\x00"
            )
            self._view.apply(usage.rows, complete=False)
        log.info("allowances_loaded", organisations=len(rows), services=len(services))
        configured = self._view.limits().configured
        names = {allowance_key(name): name for name in configured}
        # Each number was stored by one version of its row at most.
        return AllowancePlanner(
            rows,
            {
                names.get(ALLOWANCE_PREFIX + name, name): version + SKIPPED_NUMBERS
                for name, version in unreadable.items()
            },
        )

    async def _write(self, rows):
        puts = [
            Put(
                CONTROL_TABLE,
                FLEET_SHARD,
                allowance_key(name),
                encode(with_name(row, name)),
            )
            for name, row in rows.items()
        ]
        await self._commit(puts)
        self._planner.mark_stored(rows)
        self._metrics.count("allowance_rows_total", len(puts))
        for name, row in rows.items():
            allowed = {
                service: entry.allowed for service, entry in row.services.items()
            }
            log.routine(
                "allowance_changed", organisation=name, row=row.number, allowed=allowed
            )
