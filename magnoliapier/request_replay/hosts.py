"""The entry hosts and endpoints of a request replay, and the sends between them."""

import heapq
from collections import defaultdict
from dataclasses import dataclass

from magnoliapier.request_tables import RequestEntry


class ReplayEndpoint:
    """One endpoint with its slots, its running requests and its open sends."""

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
        self._run_ends = []

    def slots_in_use(self, now):
        """Return the number of slots in use."""
        while self._run_ends and self._run_ends[0] <= now:
            heapq.heappop(self._run_ends)
        return len(self._run_ends)

    def occupy_slot(self, until):
        """Occupy a slot until the given virtual time."""
        heapq.heappush(self._run_ends, until)

    def ordered_sends(self):
        """Return the open sends sorted by request id; a set has no fixed order."""
        return sorted(self.sends, key=lambda send: send.request.request_id)

    def clear_runs(self):
        """Free all slots after the loss of the host."""
        self._run_ends.clear()


@dataclass(eq=False, slots=True)
class Send:
    """
    One send of a request to an endpoint.

    ``new_connection`` tells whether the send opened its connection, and
    ``connection_opened`` is the virtual time at which the connection was opened.
    """

    entry: "ReplayEntry"
    incarnation: int
    request: RequestEntry
    endpoint: ReplayEndpoint
    new_connection: bool
    connection_opened: float
    silent: bool = False
    started: bool = False
    ended: bool = False


class ReplayEntry:
    """One entry host: its decisions, idle connections and the reports of its peers."""

    def __init__(self, name, data_centre):
        self.name = name
        self.data_centre = data_centre
        self.incarnation = 0
        self.decisions = None
        self.up = True
        self.paused_until = 0.0
        self.reports_stopped_until = 0.0
        self.open_requests = {}
        self.idle_connections = defaultdict(list)
        self.peer_reports = {}
        self.known_leaving = set()
