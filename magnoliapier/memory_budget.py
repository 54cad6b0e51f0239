"""The limit on bytes of bodies and answers that the entry process holds."""

import threading


class MemoryBudget:
    """
    Counts held bytes against a limit; safe to use from several threads.

    Example::

        if budget.take(len(body)):
            ...
            budget.release(len(body))
    """

    def __init__(self, limit):
        self._limit = limit
        self._lock = threading.Lock()
        self.used = 0
        self.peak = 0

    def take(self, count):
        """Reserve ``count`` bytes; return False if that would exceed the limit."""
        with self._lock:
            if self.used + count > self._limit:
                return False
            self.used += count
            self.peak = max(self.peak, self.used)
            return True

    def release(self, count):
        """Give back ``count`` bytes."""
        with self._lock:
            self.used -= count
