"""Bounds the orders for hosts to what the platform accepts in a second."""

from collections import deque

WINDOW_S = 1.1  # longer than a second, as calls may take unequal time to arrive


class OrderRate:
    """
    Tells how many orders may be sent now. Times are seconds on a monotonic clock.

    Example::

        rate = OrderRate(per_second=2)
        rate.record(2, now=10.0)
        assert rate.available(now=10.5) == 0
        assert rate.available(now=11.2) == 2
    """

    def __init__(self, per_second):
        self._limit = max(1, int(per_second))
        self._sent = deque()

    def available(self, now):
        """Return how many orders may be sent now."""
        while self._sent and now - self._sent[0] >= WINDOW_S:
            self._sent.popleft()
        return max(0, self._limit - len(self._sent))

    def record(self, count, now):
        """Record that orders are sent."""
        self._sent.extend([now] * count)
