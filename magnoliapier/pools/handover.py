"""
Which hosts may have an order under way when the fleet's holder changes.

The platform carries out orders for a host whoever sends them. A holder therefore
records a host before it orders it, and a successor leaves recorded hosts alone until no
order of a former holder can arrive any more.
"""


class OrderedHosts:
    """
    The hosts that were ordered lately, by this holder or a former one.

    ``former`` are the hosts that were recorded when the lease was taken, at ``now``.
    ``gap_s`` is the time between the end of a holder's order to a host and the first
    order of a successor. Times are seconds on a steady clock.

    Example::

        ordered = OrderedHosts(("h1",), now=0.0, gap_s=4.0)
        assert ordered.barred(3.0) == {"h1"}
        assert ordered.barred(4.0) == set()
    """

    def __init__(self, former=(), now=0.0, gap_s=0.0):
        self._gap_s = gap_s
        self._barred_until = dict.fromkeys(former, now + gap_s)
        self._ended_at = {}

    def begin(self, host):
        """Take note that a host is about to be ordered."""
        self._ended_at[host] = None

    def end(self, host, now):
        """Take note that the call of an order has ended, whatever became of it."""
        self._ended_at[host] = now

    def barred(self, now):
        """Return the hosts that this holder must not order yet."""
        return {host for host, until in self._barred_until.items() if now < until}

    def recorded(self, now):
        """Return the hosts that a successor must know of, sorted."""
        own = {
            host
            for host, ended_at in self._ended_at.items()
            if ended_at is None or now - ended_at < self._gap_s
        }
        return tuple(sorted(own | self.barred(now)))
