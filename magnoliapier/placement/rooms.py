"""
The largest free rooms of a set of endpoints.

They tell that a task fits nowhere without a look at each endpoint, so that a pass can
come to every submission, however many wait for room.
"""


class LargestRooms:
    """
    The sessions whose free room is not within that of another session.

    A task that fits on none of them fits on no session. The answers hold only while
    free room shrinks, and ``reserved(session)`` has to be called when it does.

    Example::

        rooms = LargestRooms(sessions)
        if rooms.fit(step):
            session.reserve(live)
            rooms.reserved(session)
    """

    def __init__(self, sessions):
        self.sessions = sessions
        self._largest = None

    def fit(self, step):
        """Return whether any session has room for a task of ``step``."""
        if self._largest is None:
            self._largest = self._find_largest()
        return any(session.room.fits(step) for session in self._largest)

    def reserved(self, session):
        """Record that the room of a session has shrunk."""
        if self._largest is not None and session in self._largest:
            self._largest = None

    def _find_largest(self):
        largest = []
        # A room can only be within one that comes before it in this order.
        for session in sorted(self.sessions, key=_size, reverse=True):
            if not any(_is_within(session.room, other.room) for other in largest):
                largest.append(session)
        return largest


def _size(session):
    room = session.room
    return (room.cpu_millicores, room.memory_mb, room.accelerators)


def _is_within(room, other):
    return (
        room.cpu_millicores <= other.cpu_millicores
        and room.memory_mb <= other.memory_mb
        and room.accelerators <= other.accelerators
    )
