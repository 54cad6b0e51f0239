"""Local clocks, and estimates of the clocks of the store and of endpoints."""

import math
import time

SLOWEST_CLOCK_RATE = 0.98  # an endpoint's clock may run 2 % slow
FASTEST_CLOCK_RATE = 1.02  # as far from 1 as the slowest, for readings on other hosts
READING_ERROR_MS = 5  # of whole milliseconds on both ends


def boottime():
    """
    Return seconds of a monotonic clock that also counts time spent suspended.

    A lease must not outlive a suspension, which ``time.monotonic()`` does not count.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms():
    """Return the wall-clock time in Unix milliseconds."""
    return int(time.time() * 1000)


class StoreClock:
    """
    Bounds on the monotonic clock of the platform's table, which all hosts read.

    The reading in an answer was taken after the request was sent and before the answer
    arrived. Local times are seconds, readings milliseconds.

    Example::

        clock = StoreClock()
        clock.observe(5000, sent_at=10.0, received_at=10.1)
        assert clock.earliest_ms(11.1) == 6000
        assert clock.latest_ms(11.1) == 6100
    """

    def __init__(self):
        self._reading_ms = 0
        self._sent_at = 0.0
        self._received_at = 0.0

    def observe(self, reading_ms, sent_at, received_at):
        """Record a reading; ignore 0, which stands for an answer without one."""
        if reading_ms:
            self._reading_ms = reading_ms
            self._sent_at = sent_at
            self._received_at = received_at

    def earliest_ms(self, now):
        """Return a value that the clock has reached at ``now``, 0 if never read."""
        return self._extrapolate(now - self._received_at)

    def latest_ms(self, now):
        """Return a value that the clock has not passed at ``now``, 0 if never read."""
        return self._extrapolate(now - self._sent_at)

    def earliest_local(self, reading_ms, now):
        """
        Return a local time before which the clock had not passed a reading.

        ``now`` is the present time. Returns minus infinity if either is unknown.
        """
        latest_ms = self.latest_ms(now)
        if not reading_ms or not latest_ms:
            return -math.inf
        return now - (latest_ms - reading_ms) / 1000

    def _extrapolate(self, elapsed_s):
        if not self._reading_ms:
            return 0
        return self._reading_ms + round(elapsed_s * 1000)


class EndpointClock:
    """
    Bounds on an endpoint's clock, from the readings in its answers.

    Example::

        clock = EndpointClock()
        clock.observe(5000, sent_at=9.9, received_at=10.0)
        assert clock.lower_bound_ms(11.0) == 5980
        assert clock.may_read(5990, 10.99, 11.0)
    """

    def __init__(self):
        self._reading_ms = None
        self._received_at = 0.0
        self._last_reading_ms = 0
        self._last_sent_at = 0.0

    @property
    def known(self):
        """Return whether any reading has arrived."""
        return self._reading_ms is not None

    def observe(self, clock_ms, sent_at, received_at):
        """Record the reading in the answer to a call."""
        if not self.known or clock_ms >= self.lower_bound_ms(received_at):
            self._reading_ms = clock_ms
            self._received_at = received_at
        self._last_reading_ms = clock_ms
        self._last_sent_at = sent_at

    def lower_bound_ms(self, now):
        """
        Return a value that the endpoint's clock has certainly reached at ``now``.

        It is 0 if no reading has arrived.
        """
        if not self.known:
            return 0
        elapsed_ms = max(0.0, now - self._received_at) * 1000
        return int(self._reading_ms + elapsed_ms * SLOWEST_CLOCK_RATE)

    def may_read(self, clock_ms, sent_at, received_at):
        """
        Return whether the answer to a call may hold a reading of this clock.

        The clock of another incarnation begins at any value, also at a higher one.
        """
        elapsed_ms = (received_at - self._last_sent_at) * 1000
        latest_ms = self._last_reading_ms + elapsed_ms * FASTEST_CLOCK_RATE
        earliest_ms = self.lower_bound_ms(sent_at)
        return earliest_ms <= clock_ms <= latest_ms + READING_ERROR_MS

    def reached_at(self, clock_ms):
        """Return the local time by which the endpoint's clock has reached a value."""
        remaining_ms = max(0, clock_ms - self._reading_ms)
        return self._received_at + remaining_ms / 1000 / SLOWEST_CLOCK_RATE
