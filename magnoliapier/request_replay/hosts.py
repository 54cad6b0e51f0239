"""The entry hosts and endpoints of a request replay, and the sends between them."""

import heapq
from collections import defaultdict
from dataclasses import dataclass

from magnoliapier.request_tables import RequestEntry


class ReplayEndpoint:
    """One endpoint: its slots, and the requests that run or answer on it."""

    def __init__(self, service, host, data_centre, rack, address, slots):
        self.name = f"{host}/{service}"
        self.service = service
        self.host = host
        self.data_centre = data_centre
        self.rack = rack
        self.address = address
        self.slots = slots
        self.sends = set()
        self.silent_before = -1.0
        self._finishes = []

    def running(self, now):
        """Return the number of slots in use."""
        while self._finishes and self._finishes[0] <= now:
            heapq.heappop(self._finishes)
        return len(self._finishes)

    def occupy(self, until):
        """Take a slot until the given time."""
        heapq.heappush(self._finishes, until)

    def ordered_sends(self):
        """Return the open sends by request id; the set itself has no fixed order."""
        return sorted(self.sends, key=lambda send: send.request.request_id)

    def clear(self):
        """Forget what runs, after the host was lost."""
        self._finishes.clear()


@dataclass(eq=False, slots=True)
class Send:
    """One send of a request; ``fresh`` tells whether its connection is new."""

    entry: "ReplayEntry"
    incarnation: int
    request: RequestEntry
    endpoint: ReplayEndpoint
    fresh: bool
    opened: float
    silent: bool = False
    started: bool = False
    ended: bool = False


class ReplayEntry:
    """One entry host: its decisions, connections and view of its peers."""

    def __init__(self, name, data_centre):
        self.name = name
        self.data_centre = data_centre
        self.incarnation = 0
        self.decisions = None
        self.up = True
        self.paused_until = 0.0
        self.reports_stopped_until = 0.0
        self.open = {}
        self.idle = defaultdict(list)
        self.reports = {}
        self.known_leaving = set()
