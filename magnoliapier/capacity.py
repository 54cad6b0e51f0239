"""Capacity: moves hosts between pools and the shared spare."""


class CapacitySystem:
    """Keeps each pool at the hosts that its predicted demand needs."""

    def __init__(self, forecast):
        self._forecast = forecast

    def measure(self, tables):
        """Set ``tables.need`` for the systems of this tick."""

    def run(self, tables):
        """Move hosts."""
