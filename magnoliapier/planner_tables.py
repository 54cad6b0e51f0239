"""
The planner's inputs, its output, and the tables that its systems share in a tick.

A :class:`PlanTables` is rebuilt on each tick from the inputs and the platform's
task list, so that it carries no decision over from an earlier tick.
"""

import math
from collections import defaultdict
from dataclasses import dataclass, field

from magnoliapier.exceptions import PlatformError
from magnoliapier.fleet_state import HostState
from magnoliapier.manifest import SPARE_POOL
from magnoliapier.platform_api import HostStatus, TaskStatus


@dataclass(frozen=True)
class SenderRow:
    """
    One ``sender/<name>`` row.

    ``applied_seq`` is the last log entry that the sender has applied.
    ``busy_hosts`` are the hosts that it has requests in flight to, and the draining
    hosts that may still be used under grants that it issued.
    """

    name: str
    data_centre: str
    applied_seq: int
    busy_hosts: frozenset = frozenset()


@dataclass(frozen=True)
class PlannerInputs:
    """
    Everything that a tick reads, apart from the platform's task list.

    ``demand`` maps each service to the slots that its queued and in-flight requests
    need, summed over the entry hosts. ``senders`` is a list of :class:`SenderRow` that
    was read after the last append, or None if the rows could not be read.
    ``listed_hosts`` is the platform's host list, or None if it could not be read.
    ``now`` is in seconds since the Unix epoch.
    """

    state: object
    demand: dict
    senders: list | None
    listed_hosts: list | None
    lease_epoch: int
    now: float


@dataclass(frozen=True)
class Note:
    """The reason why the planner did or did not do something, for operators."""

    subject: str
    reason: str


@dataclass
class PlannerOutput:
    """
    The log entries to append in order, as (kind, body) pairs, and the notes.

    The entries follow from the state of the inputs. The caller appends them on
    condition that no other entry was appended since, and otherwise drops the rest.
    """

    entries: list = field(default_factory=list)
    notes: list = field(default_factory=list)


def min_available(manifest, pool):
    """Return the highest ``min_available`` of the pool's services, 0 without any."""
    return max(
        (
            service.min_available
            for service in manifest.services.values()
            if service.pool == pool
        ),
        default=0.0,
    )


def hosts_required(manifest, pool, demand):
    """
    Return how many hosts of ``pool`` must serve to meet its availability budget.

    They carry the whole ``demand`` (in hosts' worth of work), and they are at least
    the share ``min_available`` of the pool's ``min_hosts``. The result never exceeds
    ``max_hosts``.
    """
    settings = manifest.pools[pool]
    floor = math.ceil(min_available(manifest, pool) * settings.min_hosts - 1e-9)
    return min(max(floor, math.ceil(demand - 1e-9)), settings.max_hosts)


class PlanTables:
    """
    The state of the fleet in one tick, and the output that the systems add to.

    The following are numbers of hosts by pool. ``serving`` counts the hosts that take
    work and are live, and ``incoming`` the live hosts of other pools that are draining
    towards the pool. The capacity system sets ``required_hosts`` to the hosts that must
    serve now. The maintenance system sets ``surge_hosts`` to the extra hosts that serve
    during maintenance, and ``marked_counts`` counts the hosts that it takes in this
    tick.
    """

    def __init__(self, inputs, platform):
        self.inputs = inputs
        self.now = inputs.now
        self.platform = platform
        self.state = inputs.state
        self.manifest = inputs.state.manifest
        self.output = PlannerOutput()
        self.listed = (
            None
            if inputs.listed_hosts is None
            else {host.name: host for host in inputs.listed_hosts}
        )
        self.tasks = self._read_tasks()
        self.tasks_by_host = defaultdict(list)
        for task in self.tasks or ():
            if task.status is TaskStatus.RUNNING:
                self.tasks_by_host[task.host].append(task)
        self.service_of_pool = {
            service.pool: name for name, service in self.manifest.services.items()
        }
        self.pool_hosts = defaultdict(list)
        self.serving = dict.fromkeys(self.manifest.pools, 0)
        self.incoming = dict.fromkeys(self.manifest.pools, 0)
        self._changed = set()
        self._count_hosts()
        self._senders = defaultdict(list)
        for row in inputs.senders or ():
            self._senders[row.data_centre].append(row)
        self.required_hosts = {}
        self.surge_hosts = {}
        self.marked_counts = defaultdict(int)
        self._marked_hosts = set()

    def _read_tasks(self):
        try:
            return self.platform.tasks.tasks()
        except PlatformError as error:
            self.note("tasks", f"The task list cannot be read: {error}")
            return None

    def _count_hosts(self):
        for name, assignment in sorted(self.state.assignments.items()):
            pool = assignment.pool
            self.pool_hosts[pool].append(name)
            if assignment.takes_work:
                if self.is_live(name):
                    self.serving[pool] = self.serving.get(pool, 0) + 1
            elif (
                assignment.state is HostState.DRAINING
                and assignment.target not in (None, pool)
                and self.is_live(name)
            ):
                target = assignment.target
                self.incoming[target] = self.incoming.get(target, 0) + 1

    def is_live(self, name):
        """Whether the host is listed as live; true while the list cannot be read."""
        if self.listed is None:
            return True
        host = self.listed.get(name)
        return host is not None and host.status is HostStatus.LIVE

    def boots(self, name):
        """Return the listed boot count of a host, or None if it is not listed."""
        host = (self.listed or {}).get(name)
        return None if host is None else host.boots

    def demand_of(self, pool):
        """Return the observed demand of a pool in hosts' worth of work."""
        total = 0.0
        for name, service in self.manifest.services.items():
            if service.pool == pool:
                slots = self.inputs.demand.get(name, 0.0)
                total += slots / service.slots_per_endpoint
        return total

    def hosts_required(self, pool, demand):
        """Return how many hosts must serve for ``demand`` hosts' worth of work."""
        return hosts_required(self.manifest, pool, demand)

    def consented(self, name, assignment):
        """Whether nothing blocks the host's move (rule R4 of docs/design.md)."""
        return self.drain_blocker(name, assignment) is None

    def drain_blocker(self, name, assignment):
        """Return the reason why a draining host cannot move yet, or None."""
        if self.inputs.senders is None:
            return "the sender records cannot be read"
        host = self.manifest.hosts.get(name)
        senders = self._senders.get(host.data_centre, ())
        if not senders:
            # No record accounts for the grants that removed senders issued.
            return f"no sender of {host.data_centre} is registered"
        for row in senders:
            if row.applied_seq < assignment.seq:
                return f"sender {row.name} has not applied entry {assignment.seq}"
            if name in row.busy_hosts:
                return f"sender {row.name} has requests in flight to it"
        if self.tasks is None:
            return "the task list cannot be read"
        if self.tasks_by_host.get(name):
            return f"task {self.tasks_by_host[name][0].task_id} runs on it"
        return None

    def checkpoint_tasks(self, name):
        """
        Request a checkpoint of each task on a draining host.

        No work is lost, because a task runs until its checkpoint is stored.
        """
        for task in self.tasks_by_host.get(name, ()):
            try:
                self.platform.tasks.checkpoint(task.task_id, self.inputs.lease_epoch)
            except PlatformError as error:
                self.note(f"task/{task.task_id}", f"No checkpoint yet: {error}")

    def unchanged(self, name):
        """Whether no entry of this tick changes the host's assignment."""
        return name not in self._changed

    def emit(self, kind, **body):
        """Add a log entry to the output."""
        self.output.entries.append((kind, body))

    def note(self, subject, reason):
        """Add a note for operators to the output."""
        self.output.notes.append(Note(subject, reason))

    def mark_for_drain(self, name):
        """Count a host as not serving, as its drain is emitted later in this tick."""
        pool = self.state.assignments[name].pool
        self._marked_hosts.add(name)
        self._changed.add(name)
        self.marked_counts[pool] += 1
        self.serving[pool] -= 1

    def drain(self, name, target, reason):
        """Drain a host towards a pool and update the counts of this tick."""
        assignment = self.state.assignments[name]
        self._changed.add(name)
        if self.is_live(name) and name not in self._marked_hosts:
            self.serving[assignment.pool] -= 1
            if target != assignment.pool:
                self.incoming[target] = self.incoming.get(target, 0) + 1
        self.emit(
            "host_drain",
            host=name,
            epoch=assignment.epoch + 1,
            target=target,
            reason=reason,
        )

    def assign(self, name, pool, reason):
        """Assign a host to ``pool`` and update the counts of this tick."""
        assignment = self.state.assignments[name]
        self._changed.add(name)
        if self.is_live(name):
            self.serving[pool] = self.serving.get(pool, 0) + 1
        self.emit(
            "host_assign",
            host=name,
            epoch=assignment.epoch + 1,
            pool=pool,
            reason=reason,
        )

    def begin_maintenance(self, name):
        """Put a drained host into maintenance, in which it is rebooted."""
        assignment = self.state.assignments[name]
        self._changed.add(name)
        self.emit("host_maintenance", host=name, epoch=assignment.epoch + 1)

    def managed_pools(self):
        """Return the sorted pools that run a service; their size follows demand."""
        return sorted(
            pool for pool in self.service_of_pool if pool in self.manifest.pools
        )

    def spare_hosts(self):
        """Return the live hosts of the spare pool that take work and are unchanged."""
        return [
            name
            for name in self.pool_hosts.get(SPARE_POOL, ())
            if self.state.assignments[name].takes_work
            and self.is_live(name)
            and self.unchanged(name)
        ]
