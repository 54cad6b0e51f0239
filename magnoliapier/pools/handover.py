"""
Which hosts may have an order under way when the fleet's holder changes.

The platform carries out orders for a host whoever sends them. A holder therefore
records a host before it orders it, and a successor leaves recorded hosts alone until no
order of a former holder can arrive any more. Readings of the table's clock, which all
hosts share, spare it the wait for orders that ended long ago.
"""

import msgspec

END_UNKNOWN = 0  # the end of an order that may be under way, or was never timed


class OwnOrder(msgspec.Struct):
    """An order of this holder: its end on the local and the table's clock, if ended."""

    ended_at: float | None = None
    ended_ms: int = END_UNKNOWN


class RecentHostOrders:
    """
    The hosts that were ordered lately, by this holder or a former one.

    ``former`` maps the hosts that were recorded when the lease was taken, at ``now``,
    to the ends of their orders. ``gap_s`` is the time between the end of a holder's
    order to a host and the first order of a successor. Local times are seconds, those
    of the table's clock milliseconds, 0 if unknown.

    Example::

        ordered = OrderedHosts({"h1": UNDER_WAY, "h2": 9000}, now=0.0, gap_s=4.0)
        assert ordered.barred(1.0, table_ms=13_000) == {"h1"}
        assert ordered.barred(4.0, table_ms=16_000) == set()
    """

    def __init__(self, former=None, now=0.0, gap_s=0.0):
        self._former = dict(former or {})
        self._taken_at = now
        self._gap_s = gap_s
        self._own = {}

    def record_start(self, host):
        """Take note that a host is about to be ordered."""
        self._own[host] = OwnOrder()

    def record_end(self, host, now, table_ms):
        """
        Take note that the call of an order has ended, whatever became of it.

        ``table_ms`` is a value that the table's clock has not passed.
        """
        self._own[host] = OwnOrder(now, table_ms)

    def barred(self, now, table_ms):
        """
        Return the hosts that this holder must not order yet.

        ``table_ms`` is a value that the table's clock has reached.
        """
        if now - self._taken_at >= self._gap_s:
            return set()
        return {
            host
            for host, ended_ms in self._former.items()
            if ended_ms == END_UNKNOWN or table_ms < ended_ms + self._gap_s * 1000
        }

    def hosts_to_record(self, now, table_ms):
        """Return the ends of the orders that a successor must know of, by host."""
        recorded = {host: self._former[host] for host in self.barred(now, table_ms)}
        for host, order in self._own.items():
            if order.ended_at is None or now - order.ended_at < self._gap_s:
                recorded[host] = order.ended_ms
        return dict(sorted(recorded.items()))
