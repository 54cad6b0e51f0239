"""
Bounds the bytes of all request bodies in progress, and decides which are closed.

A body that arrives with its head reserves nothing. Any other one reserves its declared
length, or if it has none, what has arrived of it. When the bytes run out, the slowest
bodies are closed; if none is slow, the new one is refused.
"""

BODIES_MEMORY_SHARE = 0.125  # of the memory that the process may use
LARGE_BODIES_SHARE = 0.75  # of the budget; the rest is left to small bodies
SMALL_BODY_BYTES = 16_384
GROWTH_BYTES = 16_384  # a body without a length reserves this much at a time
STALL_S = 2.0  # without a byte, after which a body counts as slow
SLOW_GRACE_S = 5.0  # from a body's begin, in which its average rate does not count
MIN_BYTES_PER_S = 4_096  # on average, after SLOW_GRACE_S
MB = 1_048_576


def body_budget_bytes(memory_mb):
    """Return how many bytes the bodies in progress may hold together."""
    return int(memory_mb * MB * BODIES_MEMORY_SHARE)


class Body:
    """
    One body in progress; ``close()`` ends its connection.

    ``closed`` tells whether it has given way. What still arrives of it then must not be
    taken in.
    """

    __slots__ = (
        "close",
        "closed",
        "complete",
        "received",
        "reserved",
        "_started",
        "_progressed",
    )

    def __init__(self, close, now):
        self.close = close
        self.closed = False
        self.complete = False
        self.received = 0
        self.reserved = 0
        self._started = self._progressed = now

    def receive(self, total, now):
        """Note that ``total`` bytes have arrived."""
        self.received = total
        self._progressed = now

    def silent_s(self, now):
        """Return for how long no byte has arrived."""
        return now - self._progressed

    def delay_s(self, now):
        """Return by how much the body is too late, 0 or less if it is not slow."""
        slow_s = now - self._started - SLOW_GRACE_S - self.received / MIN_BYTES_PER_S
        return max(self.silent_s(now) - STALL_S, slow_s)


class BodyBudget:
    """
    Reserves bytes for bodies in progress, within ``limit_bytes``.

    A body that is alone is admitted whatever its size, so that a single request within
    the configuration's limits is never refused. ``on_close()`` is called for each body
    that is closed.

    Example::

        body = budget.open(content_length, close)
        if body is None:
            refuse()
        try:
            ...
        finally:
            budget.release(body)
    """

    def __init__(self, limit_bytes, clock, on_close):
        self.used_bytes = 0
        self._limit_bytes = limit_bytes
        self._clock = clock
        self._on_close = on_close
        self._bodies = set()

    def open(self, declared_bytes, close):
        """Return a new Body, or None if there is no room for ``declared_bytes``."""
        body = Body(close, self._clock())
        return body if self.reserve(body, declared_bytes) else None

    def receive(self, body, total_bytes):
        """Note a body's progress; return whether there is room for ``total_bytes``."""
        body.receive(total_bytes, self._clock())
        if total_bytes <= body.reserved:
            return True
        steps = -(-total_bytes // GROWTH_BYTES)
        return self.reserve(body, steps * GROWTH_BYTES)

    def reserve(self, body, total_bytes):
        """Let a body hold ``total_bytes``; return whether there is room for them."""
        if body.closed:
            return False
        share = 1.0 if total_bytes <= SMALL_BODY_BYTES else LARGE_BODIES_SHARE
        while (
            self.used_bytes > body.reserved
            and self.used_bytes - body.reserved + total_bytes
            > self._limit_bytes * share
        ):
            if not self._close_slowest(body):
                return False
        self._bodies.add(body)
        self.used_bytes += total_bytes - body.reserved
        body.reserved = total_bytes
        return True

    def finish(self, body):
        """Note that a body has arrived in full; return whether it may be taken in."""
        body.complete = not body.closed
        return body.complete

    def release(self, body):
        """Give back what a body holds; may be called more than once."""
        self._bodies.discard(body)
        self.used_bytes -= body.reserved
        body.reserved = 0

    @property
    def unfinished(self):
        """Return the bodies that have not arrived in full."""
        return [body for body in self._bodies if not body.complete]

    def close_silent(self, silence_s):
        """Close the bodies of which no byte has arrived for ``silence_s``."""
        now = self._clock()
        for body in self.unfinished:
            if body.silent_s(now) > silence_s:
                self._close(body)

    def close_unfinished(self):
        """Close the bodies that have not arrived in full."""
        for body in self.unfinished:
            self._close(body)

    def _close_slowest(self, except_for):
        now = self._clock()
        slow = [
            body
            for body in self.unfinished
            if body is not except_for and body.delay_s(now) > 0
        ]
        if not slow:
            return False
        self._close(max(slow, key=lambda body: body.delay_s(now)))
        return True

    def _close(self, body):
        self.release(body)
        body.closed = True
        self._on_close()
        body.close()
