"""Limits the memory that an entry process uses for request and response bodies."""

import threading


class MemoryBudget:
    """
    Counts reserved bytes and keeps them within a limit. Thread-safe.

    Example::

        if budget.reserve(len(body)):
            ...
            budget.release(len(body))
    """

    def __init__(self, limit_bytes):
        self._limit_bytes = limit_bytes
        self._lock = threading.Lock()
        self.used_bytes = 0
        self.peak_bytes = 0

    def reserve(self, byte_count):
        """Reserve ``byte_count`` bytes; return False if that would exceed the limit."""
        with self._lock:
            if self.used_bytes + byte_count > self._limit_bytes:
                return False
            self.used_bytes += byte_count
            self.peak_bytes = max(self.peak_bytes, self.used_bytes)
            return True

    def release(self, byte_count):
        """Return ``byte_count`` reserved bytes to the budget."""
        with self._lock:
            self.used_bytes -= byte_count
