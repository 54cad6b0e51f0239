"""Reads the platform's host list, and tells for how long it could not be read."""

from magnoliapier.exceptions import MessageError, PlatformError
from magnoliapier.logs import get_logger

BUSY_INTERVAL_S = 0.4
IDLE_INTERVAL_S = 1.0
UNLISTED_LIMIT_S = 1.0  # without a list for so long, hosts stay in their pools

log = get_logger(__name__)


class HostList:
    """
    The host list as it was read last.

    ``hosts`` is that list, ``listed_at`` the monotonic time in seconds at which it was
    requested, None before the first, and ``listed_ms`` a time on the table's clock that
    was past by then.

    Example::

        host_list = HostList(machines, table_clock, clock)
        if await host_list.refresh(busy=True):
            planner.update(host_list.hosts, ...)
    """

    def __init__(self, machines, table_clock, clock):
        self.hosts = []
        self.listed_at = None
        self.listed_ms = 0
        self._machines = machines
        self._table_clock = table_clock
        self._clock = clock
        self._outdated = True
        self._unlisted_since = None

    def reset(self, paused):
        """Begin anew; ``paused`` is whether a former holder had no list for long."""
        self.listed_at = None
        self._outdated = True
        self._unlisted_since = self._clock() - UNLISTED_LIMIT_S if paused else None

    def mark_outdated(self):
        """Let the next ``refresh`` read the list, as an order may have changed it."""
        self._outdated = True

    async def refresh(self, busy):
        """Read the list if it is due; return whether the platform lists hosts now."""
        now = self._clock()
        interval_s = BUSY_INTERVAL_S if busy else IDLE_INTERVAL_S
        if not self._outdated and now - self.listed_at < interval_s:
            return True
        self._outdated = False
        listed_ms = self._table_clock.earliest_ms(now)
        try:
            self.hosts = await self._machines.hosts()
        except (PlatformError, MessageError) as error:
            self._outdated = True
            self._record_unlisted(error)
            return False
        self.listed_at, self.listed_ms = now, listed_ms
        if self._unlisted_since is not None:
            log.info("hosts_listed_again", hosts=len(self.hosts))
            self._unlisted_since = None
        return True

    def is_away(self, now):
        """Return whether the platform has not listed hosts for too long."""
        since = self._unlisted_since
        return since is not None and now - since >= UNLISTED_LIMIT_S

    def _record_unlisted(self, error):
        if self._unlisted_since is None:
            log.warning("hosts_not_listed", error=error)
            self._unlisted_since = self._clock()
