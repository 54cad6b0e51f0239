"""
Records of recent host orders, which keep the orders of successive holders apart.

The platform does not check who sends an order for a host. The holder of the fleet's
lease therefore records a host before it sends an order for it, and its successor sends
none for a recorded host until no order of a former holder can still arrive. The end of
an order is recorded on the table's clock, which all hosts share, so that a successor
does not wait for orders that ended long ago.
"""

import msgspec

END_UNKNOWN = 0  # for an order that may be under way, or whose end was not timed


class OwnOrder(msgspec.Struct):
    """An order of this holder: its end, if any, on the local and the table's clock."""

    ended_at: float | None = None
    ended_ms: int = END_UNKNOWN


class RecentHostOrders:
    """
    The hosts that this holder or a former one ordered recently.

    ``former`` maps the hosts that were recorded when the lease was taken, at ``now``,
    to the ends of their orders. ``gap_s`` is the minimum time between the end of a
    holder's order for a host and the first order of its successor. ``taken_ms`` is an
    upper bound of the time on the table's clock when the lease was taken; orders of
    unknown end have ended by then, so that a further takeover does not begin their wait
    anew. Local times are in seconds; times on the table's clock are in milliseconds, 0
    if unknown.

    Example::

        orders = RecentHostOrders({"h1": END_UNKNOWN, "h2": 9000}, now=0.0, gap_s=4.0)
        assert orders.barred(1.0, table_ms=13_000) == {"h1"}
        assert orders.barred(4.0, table_ms=16_000) == set()
    """

    def __init__(self, former=None, now=0.0, gap_s=0.0, taken_ms=END_UNKNOWN):
        self._former = {
            host: taken_ms if ended_ms == END_UNKNOWN else ended_ms
            for host, ended_ms in (former or {}).items()
        }
        self._taken_at = now
        self._gap_s = gap_s
        self._own = {}

    def record_start(self, host):
        """Record that an order for a host is about to be sent."""
        self._own[host] = OwnOrder()

    def record_end(self, host, now, table_ms):
        """
        Record that the call of an order has ended, whatever its outcome.

        ``table_ms`` is an upper bound of the present time on the table's clock.
        """
        self._own[host] = OwnOrder(now, table_ms)

    def barred(self, now, table_ms):
        """
        Return the hosts for which this holder must not send orders yet.

        ``table_ms`` is a lower bound of the present time on the table's clock.
        """
        if now - self._taken_at >= self._gap_s:
            return set()
        return {
            host
            for host, ended_ms in self._former.items()
            if ended_ms == END_UNKNOWN or table_ms < ended_ms + self._gap_s * 1000
        }

    def hosts_to_record(self, now, table_ms):
        """
        Return the hosts that a successor must know, with the ends of their orders.

        ``table_ms`` is a lower bound, as for ``barred``.
        """
        to_record = {host: self._former[host] for host in self.barred(now, table_ms)}
        for host, order in self._own.items():
            if order.ended_at is None or now - order.ended_at < self._gap_s:
                to_record[host] = order.ended_ms
        return dict(sorted(to_record.items()))
