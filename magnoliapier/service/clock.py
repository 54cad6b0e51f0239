"""Clocks of the service and the estimate of an endpoint's clock."""

import time

SLOWEST_CLOCK_RATE = 0.98  # an endpoint's clock may run 2 % slow


def boottime():
    """
    Return seconds on a steady clock that also counts time spent suspended.

    A lease must not outlive a suspension, which the monotonic clock does not count.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms():
    """Return the time of day in Unix milliseconds."""
    return int(time.time() * 1000)


class EndpointClock:
    """
    A cautious estimate of an endpoint's clock from the readings in its answers.

    Example::

        clock = EndpointClock()
        clock.observe(5000, received_at=10.0)
        assert clock.lower_bound_ms(11.0) == 5980
    """

    def __init__(self):
        self._reading_ms = None
        self._received_at = 0.0

    @property
    def known(self):
        """Return whether any reading has arrived."""
        return self._reading_ms is not None

    def observe(self, clock_ms, received_at):
        """Take note of a reading that arrived at ``received_at`` seconds."""
        if self._reading_ms is None or clock_ms >= self.lower_bound_ms(received_at):
            self._reading_ms = clock_ms
            self._received_at = received_at

    def lower_bound_ms(self, now):
        """Return a value that the endpoint's clock has surely reached at ``now``."""
        elapsed_ms = max(0.0, now - self._received_at) * 1000
        return int(self._reading_ms + elapsed_ms * SLOWEST_CLOCK_RATE)
