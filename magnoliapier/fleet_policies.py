"""
Fleet policies for replay: the planner and the baselines that it is compared with.

Each is a function from :class:`PolicySetting` to an object with
``tick(inputs) -> PlannerOutput``.
"""

import math
from collections import defaultdict
from dataclasses import dataclass, field

from magnoliapier.capacity import (
    failure_reserve,
    held,
    pick_arrival,
    pick_departure,
)
from magnoliapier.manifest import SPARE_POOL
from magnoliapier.planner import Planner, advance_drains
from magnoliapier.planner_tables import PlanTables
from magnoliapier.registry import Registry

policies = Registry("fleet policy")

HOUR_S = 3600.0
UPPER_USE = 0.8
LOWER_USE = 0.5
COOLDOWN_S = 300.0
OFFLINE_LEAD_S = 300.0
OFFLINE_STEP_S = 60.0
OFFLINE_MERGE_S = 3600.0


@dataclass
class PolicySetting:
    """What a policy is built from; only offline plans look at ``events``."""

    clock: object
    platform: object
    header: object
    events: list
    tick_s: float
    options: dict = field(default_factory=dict)


@policies.register("planner")
def make_planner(setting):
    """The planner as it runs in service."""
    return Planner(setting.clock, setting.platform, setting.options)


@policies.register("serial_maintenance")
def make_serial_maintenance(setting):
    """The planner with one host in maintenance at a time in the whole fleet."""
    options = {**setting.options}
    options["maintenance"] = {**options.get("maintenance", {}), "serial": True}
    return Planner(setting.clock, setting.platform, options)


class SizePolicy:
    """Moves hosts so that each pool holds the size given by ``sizes``."""

    def __init__(self, setting):
        self._platform = setting.platform

    def sizes(self, tables):
        """Return the wanted number of hosts by pool."""
        raise NotImplementedError

    def tick(self, inputs):
        """Return entries that bring the pools to their sizes."""
        tables = PlanTables(inputs, self._platform)
        move_to_sizes(tables, self.sizes(tables))
        advance_drains(tables)
        return tables.output


def move_to_sizes(tables, sizes):
    """Release surplus hosts to the spare, and fill pools from the spare."""
    spare = tables.spare_hosts()
    for pool, size in sorted(sizes.items()):
        while held(tables, pool) < size and spare:
            name = pick_arrival(tables, pool, spare)
            spare.remove(name)
            tables.drain(name, pool, "size")
        while held(tables, pool) > size:
            name = pick_departure(tables, pool)
            if name is None:
                break
            tables.drain(name, SPARE_POOL, "size")


@policies.register("static_peak")
class StaticPeak(SizePolicy):
    """
    Each pool holds its own peak of the trace all the time.

    It has the same reserve for failures as the offline plan.
    """

    def __init__(self, setting):
        super().__init__(setting)
        self._peaks = defaultdict(float)
        for event in setting.events:
            if hasattr(event, "burst"):
                self._peaks[event.pool] = max(self._peaks[event.pool], event.hosts)

    def sizes(self, tables):
        """Return the peak of each pool and its reserve."""
        return {
            pool: tables.hosts_required(pool, peak) + failure_reserve(tables, pool)
            for pool, peak in self._peaks.items()
        }


@policies.register("threshold")
class ThresholdAutoscaler(SizePolicy):
    """Adds hosts above one use of a pool and takes one away below another."""

    def __init__(self, setting):
        super().__init__(setting)
        self._changed_at = {}

    def sizes(self, tables):
        """Return sizes by present use alone."""
        result = {}
        for pool in tables.managed_pools():
            present = held(tables, pool)
            demand = tables.demand_of(pool)
            size = present
            if demand > UPPER_USE * present:
                size = max(present + 1, math.ceil(demand / UPPER_USE))
            elif (
                demand < LOWER_USE * present
                and tables.now - self._changed_at.get(pool, -math.inf) >= COOLDOWN_S
            ):
                size = present - 1
            size = max(size, tables.hosts_required(pool, 0.0) + 1)
            if size != present:
                self._changed_at[pool] = tables.now
            result[pool] = size
        return result


@policies.register("offline")
class OfflinePlan(SizePolicy):
    """
    A plan made with the whole trace's demand at hand, but not its failures.

    Hosts arrive ``OFFLINE_LEAD_S`` before they are needed. A pool keeps its hosts
    over a dip shorter than ``OFFLINE_MERGE_S``, which would cost two moves for
    each host. It holds the planner's reserve for failures unless the option
    ``reserve`` is false.
    """

    def __init__(self, setting):
        super().__init__(setting)
        self._reserve = setting.options.get("reserve", True)
        self._plans = {}
        samples = defaultdict(list)
        for event in setting.events:
            if hasattr(event, "burst"):
                samples[event.pool].append(event)
        for pool, rows in samples.items():
            self._plans[pool] = plan_peaks(rows, setting.header.duration_s)

    def sizes(self, tables):
        """Return the size that the plan has for this instant."""
        place = int(tables.now // OFFLINE_STEP_S)
        return {
            pool: tables.hosts_required(pool, plan[min(place, len(plan) - 1)])
            + (failure_reserve(tables, pool) if self._reserve else 0)
            for pool, plan in self._plans.items()
        }


def plan_peaks(rows, duration_s):
    """Return for each step the demand to hold hosts for."""
    steps = int(duration_s // OFFLINE_STEP_S) + 1
    level = [0.0] * steps
    place = 0
    for step in range(steps):
        end = (step + 1) * OFFLINE_STEP_S
        peak = rows[place].hosts if rows[place].t < end else 0.0
        while place + 1 < len(rows) and rows[place + 1].t < end:
            place += 1
            peak = max(peak, rows[place].hosts)
        level[step] = math.ceil(peak - 1e-9)
    lead = int(OFFLINE_LEAD_S // OFFLINE_STEP_S)
    merge = int(OFFLINE_MERGE_S // OFFLINE_STEP_S)
    raised = sliding_max(level, lead)
    # A maximum over the coming dip followed by a minimum closes short dips only.
    closed = sliding_max(raised, merge)
    return [
        max(raised[i], min(closed[max(0, i - merge) : i + 1])) for i in range(steps)
    ]


def sliding_max(values, ahead):
    """Return the maximum of each value and the ``ahead`` values after it."""
    return [max(values[i : i + ahead + 1]) for i in range(len(values))]
