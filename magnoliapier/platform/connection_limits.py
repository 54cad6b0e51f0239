"""
Decides how many callers' connections are open, and which is closed for a new one.

That is the connection that has waited longest for its caller: one that is idle, or
whose request has not arrived in full. One whose request is being answered stays open.
"""

# What a connection may take: a head of 16 KB as received and in parsed form, requests
# sent ahead, and the kernel's socket buffers.
CONNECTION_BYTES = 65_536
CONNECTIONS_MEMORY_SHARE = 0.25
# The other descriptors are for the endpoints, the store and connections that have been
# accepted and not counted yet.
DESCRIPTORS_SHARE = 0.5
MIN_CONNECTIONS = 16
MB = 1_048_576


def connection_limit(memory_mb, max_fds):
    """Return how many callers' connections a process may have open."""
    by_memory = memory_mb * MB * CONNECTIONS_MEMORY_SHARE / CONNECTION_BYTES
    return max(MIN_CONNECTIONS, int(min(by_memory, max_fds * DESCRIPTORS_SHARE)))


class ConnectionTable:
    """
    The open connections, those that wait for their callers in the order of waiting.

    Bytes do not change a connection's place, so that a slow caller gains nothing by
    sending a few. Connections are any hashable objects.

    Example::

        table.add(connection)
        for oldest in table.excess():
            oldest.drop()
    """

    def __init__(self, limit):
        self.limit = limit
        self._waiting = {}
        self._answering = set()

    def __len__(self):
        return len(self._waiting) + len(self._answering)

    def add(self, connection):
        """Add a new connection, which waits for its caller."""
        self._waiting[connection] = None

    def remove(self, connection):
        """Remove a connection that is closed; may be called more than once."""
        self._waiting.pop(connection, None)
        self._answering.discard(connection)

    def begin_answer(self, connection):
        """Note that a request has arrived in full; the connection keeps its place."""
        if connection in self._waiting:
            del self._waiting[connection]
            self._answering.add(connection)

    def end_answer(self, connection):
        """Note that a request has been answered."""
        if connection in self._answering:
            self._answering.remove(connection)
            self._waiting[connection] = None

    def excess(self):
        """Remove and return the connections to be closed, the longest waiting first."""
        closed = []
        while len(self) > self.limit and self._waiting:
            connection = next(iter(self._waiting))
            del self._waiting[connection]
            closed.append(connection)
        return closed
