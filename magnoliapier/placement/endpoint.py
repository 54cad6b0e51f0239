"""Endpoints of a pool as the scheduler sees them."""

import msgspec

from magnoliapier.submissions.model import Resources

RACK_LABEL_INDEX = 1


class EndpointRecord(msgspec.Struct):
    """
    What an endpoint reports of itself.

    ``host`` is the machine it is one life of; ``labels`` hold its kind and its rack.
    """

    endpoint_id: str
    service: str
    address: str
    data_centre: str
    draining: bool
    capacity: Resources
    labels: tuple[str, ...] = ()
    host: str = ""
    born_ms: int = 0

    @property
    def rack(self):
        """Return the rack's label, or an empty string."""
        if len(self.labels) > RACK_LABEL_INDEX:
            return self.labels[RACK_LABEL_INDEX]
        return ""


class FreeResources:
    """The resources of an endpoint that are not taken yet."""

    __slots__ = ("cpu_millicores", "memory_mb", "accelerators")

    def __init__(self, capacity):
        self.cpu_millicores = capacity.cpu_millicores
        self.memory_mb = capacity.memory_mb
        self.accelerators = capacity.accelerators

    def fits(self, step):
        """Return whether a task of ``step`` fits."""
        need = step.resources
        if need.memory_mb > self.memory_mb or need.accelerators > self.accelerators:
            return False
        return step.fills or need.cpu_millicores <= self.cpu_millicores

    def allocate(self, step):
        """Set a task's resources aside."""
        self._change(step, 1)

    def release(self, step):
        """Return a task's resources."""
        self._change(step, -1)

    def _change(self, step, sign):
        need = step.resources
        if not step.fills:
            self.cpu_millicores -= sign * need.cpu_millicores
        self.memory_mb -= sign * need.memory_mb
        self.accelerators -= sign * need.accelerators
