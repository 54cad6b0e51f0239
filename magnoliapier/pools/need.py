"""
What the open submissions need of their pool.

Tasks that require a label are counted by it, as other hosts would not help them and
would be missing elsewhere. The same holds for tasks that fit on no host of the pool.
"""

from collections import Counter

import msgspec

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

NO_LABEL = ""
# A pool's report is one row, whatever its submissions require.
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


class LabelNeed(msgspec.Struct):
    """
    What the tasks that require one label need, or those that require none.

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
    ``by_kind`` is whether other hosts can be asked for by label and size; otherwise all
    tasks count alike.

    Example::

        need = PoolNeed(sessions, capacity, durations, by_kind=True)
        need.add(progress)
        wanted = need.hosts(arrival_rate) - len(sessions)
    """

    def __init__(self, staying, host_capacity, durations, by_kind):
        self._staying = staying
        self._host_capacity = host_capacity
        self._durations = durations
        self._by_kind = by_kind
        self._by_label = {NO_LABEL: LabelNeed()}
        self._held = {}
        self._sessions_with = {NO_LABEL: staying}
        for session in staying:
            for label in set(session.record.labels):
                self._sessions_with.setdefault(label, []).append(session)

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
                    self._add_long_running(tasks[0].step, len(tasks))
            return
        for tasks in progress.startable_steps():
            waiting = sum(not task.done and not task.runs for task in tasks)
            if waiting:
                self._add_waiting(progress, tasks[0].step, waiting)

    def _add_long_running(self, step, count):
        if self._is_held(step):
            share = host_share(step.resources, self._host_capacity)
            self._need_of(step).long_running_share += count * share

    def _add_waiting(self, progress, step, count):
        if not self._is_held(step):
            return
        need = self._need_of(step)
        duration_ms = self._durations.task_ms(progress.queue.name, step)
        share = host_share(step.resources, self._host_capacity)
        need.waiting_host_seconds += count * share * duration_ms / 1000
        need.waiting[(step.resources, duration_ms)] += count

    def _label_of(self, step):
        return step.required_label if self._by_kind else NO_LABEL

    def _need_of(self, step):
        return self._by_label.setdefault(self._label_of(step), LabelNeed())

    def _is_held(self, step):
        """Return whether a host like those of the pool holds a task when empty."""
        if not self._by_kind:
            return True
        key = (step.required_label, step.allocated)
        held = self._held.get(key)
        if held is None:
            held = self._held[key] = any(
                fits(step.allocated, capacity) for capacity in self._capacities(step)
            )
        return held

    def _capacities(self, step):
        with_label = self._with_label(step.required_label)
        return [s.record.capacity for s in with_label] or [self._host_capacity]

    def _with_label(self, label):
        return self._sessions_with.get(label, [])

    def helped_by_any(self, step):
        """Return whether hosts like those of the pool help tasks of a step."""
        label = self._label_of(step)
        return self._is_held(step) and (not label or bool(self._with_label(label)))

    def hosts(self, arrival_rate):
        """
        Return how many hosts the pool needs.

        ``arrival_rate`` is in host-seconds per second. Work that requires a label
        counts as far as the present hosts with it can hold it.
        """
        at_least = 0
        held_share = 0.0
        for label, need in self._labelled():
            present = len(self._with_label(label))
            if not present:
                continue
            at_least = max(at_least, min(present, self._hosts_with(label, need)))
            held_share += min(need.share, present * USABLE_HOST_SHARE)
        any_host = self._by_label[NO_LABEL]
        needed = hosts_needed(
            any_host.long_running_share + held_share,
            arrival_rate,
            any_host.waiting_host_seconds,
            any_host.min_endpoints,
        )
        return max(needed, at_least, self._hosts_for_wide(NO_LABEL, any_host))

    def further(self):
        """Return a list of the HostNeeds that the present hosts leave."""
        needs = [
            HostNeed(label, Resources(), self._lack(label, need))
            for label, need in self._labelled()
        ]
        needs += [
            HostNeed(label, resources, 1)
            for (label, resources), held in self._held.items()
            if not held
        ]
        return [need for need in needs if need.count > 0]

    def _labelled(self):
        return [item for item in self._by_label.items() if item[0] != NO_LABEL]

    def _lack(self, label, need):
        return self._hosts_with(label, need) - len(self._with_label(label))

    def _hosts_with(self, label, need):
        """Return how many hosts with a label the tasks that require it need."""
        if self._host_capacity is None:
            return need.min_endpoints
        needed = hosts_needed(
            need.long_running_share, 0.0, need.waiting_host_seconds, need.min_endpoints
        )
        if not self._with_label(label):
            return needed
        return max(needed, self._hosts_for_wide(label, need))

    def _hosts_for_wide(self, label, need):
        if not need.waiting:
            return 0
        return hosts_for_wide_tasks(
            [
                WaitingTasks(resources, count, duration_ms / 1000)
                for (resources, duration_ms), count in need.waiting.items()
            ],
            [session.left_by_long_running() for session in self._with_label(label)],
            self._host_capacity,
        )
