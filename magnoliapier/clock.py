"""Real and virtual clocks, passed to all code whose decisions depend on time."""

import time


class Clock:
    """The system clocks of the running process, in seconds."""

    def monotonic(self):
        """Return seconds on a clock that never goes back."""
        return time.monotonic()

    def time(self):
        """Return seconds since the Unix epoch."""
        return time.time()

    def sleep(self, seconds):
        """Block the calling thread for ``seconds``."""
        time.sleep(seconds)


class VirtualClock(Clock):
    """
    A clock that advances only when it is told to, for tests and replay.

    Example::

        clock = VirtualClock()
        clock.advance(1.5)
        assert clock.monotonic() == 1.5
    """

    def __init__(self, start=0.0):
        self._now = start

    def monotonic(self):
        """Return the virtual time in seconds."""
        return self._now

    def time(self):
        """Return the virtual time in seconds."""
        return self._now

    def sleep(self, seconds):
        """Advance the clock instead of blocking."""
        self.advance(seconds)

    def advance(self, seconds):
        """Move forward by ``seconds``; raise ValueError for a negative value."""
        if seconds < 0:
            raise ValueError("A clock cannot go back; pass a non-negative number.")
        self._now += seconds

    def advance_to(self, instant):
        """Move forward to ``instant``; an instant in the past has no effect."""
        self._now = max(self._now, instant)
