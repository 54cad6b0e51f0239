"""Maintenance: waves over failure domains."""


class MaintenanceSystem:
    """Drains, reboots, verifies and returns hosts in waves."""

    def plan_cover(self, tables):
        """Ask for the hosts that stand in during maintenance."""

    def run(self, tables):
        """Advance all waves."""
