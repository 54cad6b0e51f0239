"""
What the open submissions need of their pool.

Tasks that run on one kind of host only are counted apart, as other hosts would not help
them and would be missing elsewhere.
"""

from collections import Counter

import msgspec

from magnoliapier.placement.limits import NO_LIMITS
from magnoliapier.pools.demand import (
    CATCH_UP_S,
    USABLE_HOST_SHARE,
    WaitingTasks,
    host_share,
    hosts_for_wide_tasks,
    hosts_needed,
    min_endpoints_for,
)
from magnoliapier.submissions.model import Resources, fits

# Bounds of a pool's report, which has to fit in one row of the table.
MAX_REPORTED_NEEDS = 40
MAX_LABEL_CHARS = 200
NEEDS_TURN_S = 2.0  # enough for the fleet's controller to read the row and send orders


class HostNeed(msgspec.Struct, frozen=True, array_like=True):
    """
    Further hosts that help a pool only if they have a label, or a size.

    ``label`` may be empty, and ``resources`` is what a host must hold when it is empty.
    """

    label: str
    resources: Resources
    count: int

    def is_met_by(self, host):
        """Return whether a host has the label and the size."""
        has_label = not self.label or self.label in host.labels
        return has_label and fits(self.resources, host.capacity)


class NeedsInTurn:
    """
    Chooses the HostNeeds that a report can hold, so that each has its turn.

    Example::

        report = PoolReport(further_needs=NeedsInTurn().choose(needs, now))
    """

    def __init__(self):
        self._first = 0
        self._turn_ends_at = 0.0

    def choose(self, needs, now):
        """Return a tuple of at most ``MAX_REPORTED_NEEDS`` of the needs."""
        needs = [need for need in needs if len(need.label) <= MAX_LABEL_CHARS]
        if len(needs) <= MAX_REPORTED_NEEDS:
            return tuple(needs)
        if now >= self._turn_ends_at:
            self._turn_ends_at = now + NEEDS_TURN_S
            self._first += MAX_REPORTED_NEEDS
        self._first %= len(needs)
        in_turn = needs[self._first :] + needs[: self._first]
        return tuple(in_turn[:MAX_REPORTED_NEEDS])


class HostKind(msgspec.Struct, frozen=True):
    """
    The hosts that have a label and hold, when empty, a task that requests resources.

    The default is any host.
    """

    label: str = ""
    resources: Resources = Resources()


ANY_HOST = HostKind()


class KindNeed(msgspec.Struct):
    """
    What the tasks need that run on one kind of host only.

    ``long_running_share`` is the sum of the host shares of long-running tasks,
    ``waiting_host_seconds`` the work of the tasks that wait, and ``min_endpoints`` the
    number of endpoints over which tasks must be spread. ``waiting`` counts the waiting
    tasks by (resources, duration in ms).
    """

    long_running_share: float = 0.0
    waiting_host_seconds: float = 0.0
    min_endpoints: int = 1
    waiting: Counter = msgspec.field(default_factory=Counter)

    @property
    def share(self):
        """Return the hosts' worth of work that should run at once."""
        return self.long_running_share + self.waiting_host_seconds / CATCH_UP_S


class PoolNeed:
    """
    Adds up the need of submissions for a pool.

    ``staying`` are the sessions of the hosts that the pool keeps, ``host_capacity`` is
    that of a host, or None if none has been seen, and ``durations`` is a DurationModel.
    ``by_kind`` is whether hosts of a kind can be asked for; otherwise all tasks count
    as if any host held them. ``limits`` tells how many of the waiting tasks count.

    Example::

        need = PoolNeed(sessions, capacity, durations, by_kind=True)
        need.add(progress)
        wanted = need.hosts(arrival_rate) - len(sessions)
    """

    def __init__(self, staying, host_capacity, durations, by_kind, limits=NO_LIMITS):
        self._host_capacity = host_capacity
        self._durations = durations
        self._by_kind = by_kind
        self._limits = limits
        self._needs = {ANY_HOST: KindNeed()}
        self._kinds = {}
        self._sessions = {ANY_HOST: staying}
        for session in staying:
            for label in set(session.record.labels):
                self._sessions.setdefault(HostKind(label), []).append(session)

    def add(self, progress):
        """Add the need of a submission."""
        for step in progress.submission.steps:
            need = self._need_of(step)
            need.min_endpoints = max(need.min_endpoints, min_endpoints_for(step))
        if self._host_capacity is None:
            return
        if progress.submission.long_running:
            for steps in progress.occurrences.values():
                for tasks in filter(None, steps):
                    kept_waiting = self._waiting(tasks)
                    kept_waiting -= self._admitted(progress, tasks)
                    count = len(tasks) - kept_waiting
                    self._add_long_running(tasks[0].step, count)
            return
        for tasks in progress.startable_steps():
            waiting = self._admitted(progress, tasks)
            if waiting:
                self._add_waiting(progress, tasks[0].step, waiting)

    @staticmethod
    def _waiting(tasks):
        return sum(not task.done and not task.runs for task in tasks)

    def _admitted(self, progress, tasks):
        """Return how many waiting tasks of a step the limits admit."""
        waiting = self._waiting(tasks)
        return self._limits.count_waiting(progress, tasks[0].step, waiting)

    def _add_long_running(self, step, count):
        share = host_share(step.resources, self._capacity(self._kind_of(step)))
        self._need_of(step).long_running_share += count * share

    def _add_waiting(self, progress, step, count):
        need = self._need_of(step)
        duration_ms = self._durations.task_ms(progress.queue.name, step)
        share = host_share(step.resources, self._capacity(self._kind_of(step)))
        need.waiting_host_seconds += count * share * duration_ms / 1000
        need.waiting[(step.resources, duration_ms)] += count

    def _need_of(self, step):
        return self._needs.setdefault(self._kind_of(step), KindNeed())

    def _kind_of(self, step):
        """Return the HostKind that a step needs, as wide as the present hosts allow."""
        if not self._by_kind or self._host_capacity is None:
            return ANY_HOST
        key = (step.required_label, step.allocated)
        kind = self._kinds.get(key)
        if kind is None:
            kind = self._kinds[key] = self._find_kind(*key)
        return kind

    def _find_kind(self, label, resources):
        with_label = self._sessions.get(HostKind(label), [])
        held_by = [s for s in with_label if fits(resources, s.record.capacity)]
        if with_label and len(held_by) == len(with_label):
            return HostKind(label)
        if not with_label and fits(resources, self._host_capacity):
            return HostKind(label)
        kind = HostKind(label, resources)
        self._sessions[kind] = held_by
        return kind

    def _capacity(self, kind):
        """Return the capacity of a present host of a kind, or of any host."""
        for session in self._sessions.get(kind, ()):
            return session.record.capacity
        return self._host_capacity

    def helped_by_any(self, step):
        """Return whether hosts like those of the pool help tasks of a step."""
        kind = self._kind_of(step)
        if kind == ANY_HOST:
            return True
        return kind.resources == ANY_HOST.resources and bool(self._sessions.get(kind))

    def hosts(self, arrival_rate):
        """
        Return how many hosts the pool needs.

        ``arrival_rate`` is in host-seconds per second. Work that needs a kind of host
        counts as far as the present hosts of that kind can hold it.
        """
        at_least = 0
        held_share = 0.0
        for kind, need in self._needs.items():
            present = len(self._sessions.get(kind, ()))
            if kind == ANY_HOST or not present:
                continue
            at_least = max(at_least, min(present, self._hosts_of(kind, need)))
            held_share += min(need.share, present * USABLE_HOST_SHARE)
        need = self._needs[ANY_HOST]
        needed = hosts_needed(
            need.long_running_share + held_share,
            arrival_rate,
            need.waiting_host_seconds,
            need.min_endpoints,
        )
        return max(needed, at_least, self._hosts_for_wide(ANY_HOST, need))

    def further(self):
        """Return a list of the HostNeeds that the present hosts leave."""
        needs = [
            HostNeed(kind.label, kind.resources, self._lack(kind, need))
            for kind, need in self._needs.items()
            if kind != ANY_HOST
        ]
        return [need for need in needs if need.count > 0]

    def _lack(self, kind, need):
        present = len(self._sessions.get(kind, ()))
        if not present and kind.resources != ANY_HOST.resources:
            return 1  # how much such a host holds shows once it is there
        return self._hosts_of(kind, need) - present

    def _hosts_of(self, kind, need):
        """Return how many hosts of a kind the tasks need that run on it only."""
        needed = hosts_needed(
            need.long_running_share, 0.0, need.waiting_host_seconds, need.min_endpoints
        )
        if not self._sessions.get(kind):
            return needed
        return max(needed, self._hosts_for_wide(kind, need))

    def _hosts_for_wide(self, kind, need):
        if not need.waiting:
            return 0
        return hosts_for_wide_tasks(
            [
                WaitingTasks(resources, count, duration_ms / 1000)
                for (resources, duration_ms), count in need.waiting.items()
            ],
            [session.left_by_long_running() for session in self._sessions[kind]],
            self._capacity(kind),
        )
