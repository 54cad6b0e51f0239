"""
Fleet policies for replay: the planner and the baselines that it is compared with.

Each policy is registered as a callable that takes a :class:`PolicySetting` and
returns an object with ``tick(inputs) -> PlannerOutput``.
"""

import math
from collections import defaultdict
from dataclasses import dataclass, field

from magnoliapier.capacity import (
    failure_reserve,
    pick_host_to_add,
    pick_host_to_remove,
    provisioned_hosts,
)
from magnoliapier.manifest import SPARE_POOL
from magnoliapier.planner import Planner, advance_drains
from magnoliapier.planner_tables import PlanTables
from magnoliapier.registry import Registry

policies = Registry("fleet policy")

HOUR_S = 3600.0
UPPER_UTILISATION = 0.8
LOWER_UTILISATION = 0.5
COOLDOWN_S = 300.0
OFFLINE_LEAD_S = 300.0
OFFLINE_STEP_S = 60.0
OFFLINE_MAX_DIP_S = 3600.0


@dataclass
class PolicySetting:
    """
    What a policy is built from.

    ``events`` is for the baselines that know the trace in advance.
    """

    clock: object
    platform: object
    header: object
    events: list
    tick_s: float
    options: dict = field(default_factory=dict)


@policies.register("planner")
def make_planner(setting):
    """Return the planner as it runs in production."""
    return Planner(setting.clock, setting.platform, setting.options)


@policies.register("serial_maintenance")
def make_serial_maintenance(setting):
    """Return a planner that maintains one host of the whole fleet at a time."""
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
        resize_pools(tables, self.sizes(tables))
        advance_drains(tables)
        return tables.output


def resize_pools(tables, sizes):
    """Release surplus hosts to the spare pool, and fill pools from it."""
    spare = tables.spare_hosts()
    for pool, size in sorted(sizes.items()):
        while provisioned_hosts(tables, pool) < size and spare:
            name = pick_host_to_add(tables, pool, spare)
            spare.remove(name)
            tables.drain(name, pool, "size")
        while provisioned_hosts(tables, pool) > size:
            name = pick_host_to_remove(tables, pool)
            if name is None:
                break
            tables.drain(name, SPARE_POOL, "size")


@policies.register("static_peak")
class StaticPeak(SizePolicy):
    """
    Each pool always holds the hosts for its peak demand in the trace.

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
    """
    Follows the utilisation of each pool.

    It adds hosts above UPPER_UTILISATION. Below LOWER_UTILISATION it removes one host,
    at least COOLDOWN_S after the last change.
    """

    def __init__(self, setting):
        super().__init__(setting)
        self._changed_at = {}

    def sizes(self, tables):
        """Return sizes that follow the present utilisation alone."""
        result = {}
        for pool in tables.managed_pools():
            present = provisioned_hosts(tables, pool)
            demand = tables.demand_of(pool)
            size = present
            if demand > UPPER_UTILISATION * present:
                size = max(present + 1, math.ceil(demand / UPPER_UTILISATION))
            elif (
                demand < LOWER_UTILISATION * present
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
    A plan that knows the demand of the whole trace, but not its failures.

    Hosts are moved ``OFFLINE_LEAD_S`` before they are needed. A pool keeps its hosts
    over a dip of at most ``OFFLINE_MAX_DIP_S``, because their release would cost two
    moves for each host. It holds the planner's reserve for failures unless the option
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
        index = int(tables.now // OFFLINE_STEP_S)
        return {
            pool: tables.hosts_required(pool, plan[min(index, len(plan) - 1)])
            + (failure_reserve(tables, pool) if self._reserve else 0)
            for pool, plan in self._plans.items()
        }


def plan_peaks(rows, duration_s):
    """Return the hosts to provision in each step of ``OFFLINE_STEP_S``."""
    steps = int(duration_s // OFFLINE_STEP_S) + 1
    hosts_by_step = [0.0] * steps
    index = 0
    for step in range(steps):
        end = (step + 1) * OFFLINE_STEP_S
        peak = rows[index].hosts if rows[index].t < end else 0.0
        while index + 1 < len(rows) and rows[index + 1].t < end:
            index += 1
            peak = max(peak, rows[index].hosts)
        hosts_by_step[step] = math.ceil(peak - 1e-9)
    lead = int(OFFLINE_LEAD_S // OFFLINE_STEP_S)
    max_dip = int(OFFLINE_MAX_DIP_S // OFFLINE_STEP_S)
    with_lead = sliding_max(hosts_by_step, lead)
    # A forward maximum and then a backward minimum fill short dips only.
    dips_filled = sliding_max(with_lead, max_dip)
    return [
        max(with_lead[i], min(dips_filled[max(0, i - max_dip) : i + 1]))
        for i in range(steps)
    ]


def sliding_max(values, ahead):
    """Return for each value the maximum of it and of the ``ahead`` values after it."""
    return [max(values[i : i + ahead + 1]) for i in range(len(values))]
