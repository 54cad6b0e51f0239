"""
The planner: decides moves, maintenance and jobs for the whole fleet.

On each tick its systems (forecast, capacity, maintenance and jobs) run in this order
over the tables of that tick. The process that holds the planner lease calls
:meth:`Planner.tick` every ``control.tick_s`` seconds and appends the entries on
condition that it still holds the lease. Another process may take over at any tick with
a new :class:`Planner`.
"""

from magnoliapier.capacity import CapacitySystem
from magnoliapier.forecast import Forecast
from magnoliapier.jobs import JobSystem
from magnoliapier.maintenance import MaintenanceSystem
from magnoliapier.planner_tables import (
    Note,
    PlannerInputs,
    PlannerOutput,
    PlanTables,
    SenderRow,
)

__all__ = ["Note", "Planner", "PlannerInputs", "PlannerOutput", "SenderRow"]


class Planner:
    """
    Plans moves, maintenance and jobs.

    ``tick`` also acts on the platform: it reboots hosts and starts, renews,
    throttles, checkpoints and stops tasks, with the lease epoch as fencing token.

    Example::

        planner = Planner(clock, platform)
        output = planner.tick(inputs)
        log.append(inputs.state, output.entries, lease=lease)
    """

    def __init__(self, clock, platform, options=None):
        self._clock = clock
        self._platform = platform
        options = options or {}
        self._forecast = Forecast(platform, **options.get("forecast", {}))
        self._capacity = CapacitySystem(self._forecast, **options.get("capacity", {}))
        self._maintenance = MaintenanceSystem(**options.get("maintenance", {}))
        self._jobs = JobSystem(clock, **options.get("jobs", {}))

    def tick(self, inputs):
        """Return the :class:`PlannerOutput` for the given inputs."""
        if inputs.state.manifest is None:
            return PlannerOutput(
                [], [Note("planner", "No manifest is committed; commit one.")]
            )
        tables = PlanTables(inputs, self._platform)
        self._forecast.observe(tables)
        self._capacity.set_required_hosts(tables)
        self._maintenance.plan_surge(tables)
        self._capacity.run(tables)
        self._maintenance.run(tables)
        self._jobs.run(tables)
        advance_drains(tables)
        return tables.output


def advance_drains(tables):
    """
    Assign each draining host to its target pool once nothing blocks the move.

    A host whose target pool was removed returns to its own. Drains whose target is the
    host's own pool are left to the maintenance system, and drains without a target to
    the operators who requested them.
    """
    for name, assignment in sorted(tables.state.assignments.items()):
        if assignment.target in (None, assignment.pool):
            continue
        if assignment.takes_work or not tables.unchanged(name):
            continue
        if assignment.target not in tables.manifest.pools:
            tables.assign(name, assignment.pool, "its target pool was removed")
            continue
        blocker = tables.drain_blocker(name, assignment)
        if blocker is None:
            tables.assign(name, assignment.target, assignment.reason)
        else:
            tables.checkpoint_tasks(name)
            tables.note(f"host/{name}", f"It is draining; {blocker}.")
