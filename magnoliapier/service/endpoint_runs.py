"""The live runs of one endpoint, and the room that they leave."""

from magnoliapier.placement.endpoint import FreeResources
from magnoliapier.service.unsent_runs import UnsentRuns


class EndpointRuns:
    """
    The live runs of an endpoint by task and run number.

    ``capacity`` is that of the endpoint's record. ``room`` holds what the runs leave of
    it, below zero if the capacity has become smaller.

    Example::

        runs = EndpointRuns(record.capacity)
        runs.reserve(live)  # its start order waits to be sent
        runs.mark_sent(live)
        assert runs.drop(live)
    """

    def __init__(self, capacity):
        self.room = FreeResources(capacity)
        self.by_key = {}
        self._unsent = UnsentRuns()

    def add(self, live):
        """Add a run, unless it is there already."""
        key = live_key(live)
        if key in self.by_key:
            return
        self.by_key[key] = live
        self.room.allocate(live.step)

    def reserve(self, live):
        """Add a run whose start order is to be sent."""
        self.add(live)
        self._unsent.add(live)

    def mark_sent(self, live):
        """Record that the start order of a run is sent."""
        self._unsent.discard(live)

    def unsent(self, submission_id):
        """Return how many runs of a submission wait for their orders to be sent."""
        return self._unsent.count(submission_id)

    def holds(self, live):
        """Return whether a run is live."""
        return live_key(live) in self.by_key

    def drop(self, live):
        """Remove a run and free its resources."""
        held = self.by_key.pop(live_key(live), None)
        if held is not None:
            self.room.release(held.step)
            self._unsent.discard(held)

    def set_capacity(self, capacity):
        """Compute the room anew for a new capacity."""
        self.room = FreeResources(capacity)
        for live in self.by_key.values():
            self.room.allocate(live.step)

    @property
    def any_long_running(self):
        """Return whether a long-running task is among them."""
        return any(live.step.long_running for live in self.by_key.values())

    def left_by_long_running(self, capacity):
        """Return the Resources that long-running tasks leave of a capacity."""
        left = FreeResources(capacity)
        for live in self.by_key.values():
            if live.step.long_running:
                left.allocate(live.step)
        return left.as_resources()


def live_key(live):
    """Return the task and run number by which endpoints name a run."""
    return (str(live.task.name), live.run.number)
