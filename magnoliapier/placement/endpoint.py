"""Endpoint records and free resources, as the scheduler uses them."""

import msgspec

from magnoliapier.submissions.model import Resources, tasks_that_fit

RACK_LABEL_INDEX = 1


class EndpointRecord(msgspec.Struct):
    """
    What an endpoint reports about itself.

    ``host`` names the host that it runs on. The first two ``labels`` are its kind and
    its rack. ``started_ms`` is the time in Unix ms when this incarnation of the
    endpoint started, or 0 if unknown. A draining endpoint leaves after ``leaves_in_s``
    at the earliest.
    """

    endpoint_id: str
    service: str
    address: str
    data_centre: str
    draining: bool
    capacity: Resources
    labels: tuple[str, ...] = ()
    host: str = ""
    started_ms: int = 0
    leaves_in_s: float = 0.0

    @property
    def rack(self):
        """Return the rack's label, or an empty string."""
        if len(self.labels) > RACK_LABEL_INDEX:
            return self.labels[RACK_LABEL_INDEX]
        return ""


class FreeResources:
    """
    The resources of an endpoint that are not allocated.

    Best-effort tasks (``Step.fills``) are allocated no CPU: they use what others leave.
    """

    __slots__ = ("cpu_millicores", "memory_mb", "accelerators")

    def __init__(self, capacity):
        self.cpu_millicores = capacity.cpu_millicores
        self.memory_mb = capacity.memory_mb
        self.accelerators = capacity.accelerators

    def as_resources(self):
        """Return what is free now as Resources."""
        return Resources(self.cpu_millicores, self.memory_mb, self.accelerators)

    def fits(self, step):
        """Return whether there is room for a task of ``step``."""
        required = step.resources
        if (
            required.memory_mb > self.memory_mb
            or required.accelerators > self.accelerators
        ):
            return False
        return step.fills or required.cpu_millicores <= self.cpu_millicores

    def places(self, step):
        """Return for how many tasks of ``step`` there is room; it may be infinity."""
        if not self.fits(step):
            return 0
        return tasks_that_fit(step.allocated, self)

    def allocate(self, step):
        """Allocate the resources of a task of ``step``."""
        self._change(step, 1)

    def release(self, step):
        """Free the resources of a task of ``step``."""
        self._change(step, -1)

    def _change(self, step, sign):
        required = step.resources
        if not step.fills:
            self.cpu_millicores -= sign * required.cpu_millicores
        self.memory_mb -= sign * required.memory_mb
        self.accelerators -= sign * required.accelerators
