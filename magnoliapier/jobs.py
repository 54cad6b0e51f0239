"""Jobs: task placement through platform leases under team quotas."""


class JobSystem:
    """Places jobs on workers."""

    def __init__(self, clock):
        self._clock = clock

    def run(self, tables):
        """Place, renew and retry."""
