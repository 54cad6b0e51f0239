"""
The simulated platform of a fleet replay.

It holds what the planner cannot observe directly: host failures, actual run times and
tasks on hosts that the platform cannot reach.
"""

import math
import random

from magnoliapier.exceptions import StoreUnavailableError
from magnoliapier.memory_platform import MemoryHosts, MemoryPlatform, MemoryTasks
from magnoliapier.platform_api import HostStatus, ListedHost, TaskStatus

CHECKPOINT_S = 2.0  # the task continues to run while its checkpoint is stored
FAIL_AFTER_S = 5.0  # a task on a failing host fails this long after its start
# Standard deviation of the logarithm of the ratio of actual to declared run time: for a
# quarter of the jobs the two differ by a factor of 2.5 or more.
RUN_TIME_SIGMA = 0.8
STRAGGLER_SHARE = 0.02
STRAGGLER_FACTOR = 20.0


class ReplayHosts(MemoryHosts):
    """
    Hosts of which some are down; a down host does not come back from a reboot.

    ``down_counts`` maps each host that is down to its number of unrecovered failures.
    """

    def __init__(self, faults, clock, lock, lag_s, reboot_s):
        super().__init__(faults, clock, lock, lag_s, reboot_s)
        self.down_counts = {}

    def add_initial(self, host):
        """Add a host that the list shows from the start."""
        self._changes[host.name] = [(-math.inf, host)]

    def drop(self, name):
        """Remove a host that left the manifest."""
        self.remove_host(name)

    def fail(self, name):
        """Take a host down; the list omits it after the lag."""
        self.down_counts[name] = self.down_counts.get(name, 0) + 1
        if self.down_counts[name] == 1:
            self.remove_host(name)

    def recover(self, name):
        """
        Undo one :meth:`fail`.

        Once none is left, the host comes back with a higher boot count.
        """
        self.down_counts[name] -= 1
        if self.down_counts[name]:
            return
        del self.down_counts[name]
        self._rebooting.pop(name, None)
        last = [host for _, host in self._changes[name] if host is not None][-1]
        self.set_host(
            ListedHost(name, HostStatus.LIVE, last.address, boots=last.boots + 1)
        )

    def reboot(self, name, fence):
        """Start a reboot; a down host does not respond."""
        if name in self.down_counts:
            raise StoreUnavailableError(
                f"Host {name} does not respond; try again later."
            )
        super().reboot(name, fence)

    def is_up(self, name):
        """Return whether the host runs, whatever the list shows."""
        return name not in self.down_counts and name not in self._rebooting

    def _finish_reboots(self):
        """Finish the reboots that are due, except those of hosts that are down."""
        rebooting = {name: self._rebooting.pop(name) for name in list(self._rebooting)}
        self._rebooting = {
            n: end for n, end in rebooting.items() if n not in self.down_counts
        }
        super()._finish_reboots()
        self._rebooting.update(
            (n, end) for n, end in rebooting.items() if n in self.down_counts
        )


class ReplayTasks(MemoryTasks):
    """
    Tasks with an actual run time that the planner does not know.

    ``unreachable_hosts`` are cut off from the platform: their tasks continue to run,
    and orders to them fail. ``failing_hosts`` fail every task that they are given.
    ``running_past_lease`` holds the tasks that still run on unreachable hosts although
    their lease lapsed, as a dict from task id to job. ``double_runs`` counts the starts
    of jobs that were running already, except jobs declared idempotent.
    """

    def __init__(self, faults, clock, lock, seed):
        super().__init__(faults, clock, lock)
        self._seed = seed
        self._work_done_s = {}
        self._checkpointing = {}
        self._started_at = {}
        self.jobs = {}
        self.unreachable_hosts = set()
        self.failing_hosts = set()
        self.lost = set()
        self.running_past_lease = {}
        self.started = []
        self.double_runs = 0

    def start(self, request):
        """Start a task, record it and count a double run of its job."""
        if request.host in self.unreachable_hosts:
            raise StoreUnavailableError(
                f"Host {request.host} does not respond; try again later."
            )
        known = self._tasks.get(request.task_id)
        super().start(request)
        if known is None:
            now = self._clock.monotonic()
            self._started_at[request.task_id] = now
            job = job_of(request.task_id)
            others = [
                task_id
                for task_id, task in self._tasks.items()
                if task.status is TaskStatus.RUNNING
                and task_id != request.task_id
                and job_of(task_id) == job
            ]
            declared = self.jobs.get(job)
            if (others or job in self.running_past_lease.values()) and (
                declared is None or not declared.idempotent
            ):
                self.double_runs += 1
            if request.checkpoint is None:
                self._work_done_s.pop(job, None)
            self.started.append((now, request))

    def checkpoint(self, task_id, fence):
        """Begin a checkpoint, which is stored and stops the task after CHECKPOINT_S."""
        self._begin_call()
        with self._lock:
            self._check_reachable(task_id)
            self._check_fence(task_id, fence)
            if self._tasks[task_id].status is TaskStatus.RUNNING:
                self._checkpointing.setdefault(
                    task_id, (self._clock.monotonic() + CHECKPOINT_S, fence)
                )

    def renew(self, task_ids, fence):
        """Renew the leases of the tasks whose workers can be reached."""
        reached = [
            t for t in task_ids if self._tasks[t].host not in self.unreachable_hosts
        ]
        super().renew(reached, fence)

    def throttle(self, task_id, share, fence):
        """Limit a task that can be reached."""
        self._check_reachable(task_id)
        super().throttle(task_id, share, fence)

    def stop(self, task_id, fence):
        """Stop a task that can be reached."""
        self._check_reachable(task_id)
        super().stop(task_id, fence)

    def advance(self, seconds, is_up):
        """Run all tasks for ``seconds``; return (task_id, status) of each that ends."""
        now = self._clock.monotonic()
        self._forget_reconnected_tasks()
        ended = []
        for task_id, task in list(self._tasks.items()):
            if task.status is not TaskStatus.RUNNING:
                continue
            status = self._advance_task(task, seconds, now, is_up)
            if status is not None:
                self.finish(task_id, status)
                ended.append((task_id, status))
        for task_id, (end, fence) in list(self._checkpointing.items()):
            if now >= end:
                del self._checkpointing[task_id]
                super().checkpoint(task_id, fence)
        self._record_tasks_past_lease(now)
        return ended

    def _advance_task(self, task, seconds, now, is_up):
        task_id = task.task_id
        if task.host in self.unreachable_hosts:
            return None
        if not is_up(task.host):
            return TaskStatus.STOPPED
        if task.host in self.failing_hosts:
            failed = now - self._started_at.get(task_id, now) >= FAIL_AFTER_S
            return TaskStatus.FAILED if failed else None
        job = job_of(task_id)
        share = task.detail.get("share", 1.0)
        elapsed = min(seconds, now - self._started_at.get(task_id, now))
        self._work_done_s[job] = self._work_done_s.get(job, 0.0) + share * elapsed
        if self._work_done_s[job] >= self.true_run_s(job):
            return TaskStatus.SUCCEEDED
        return None

    def hosts_in_use(self):
        """Return the hosts on which a task runs, whatever the platform reports."""
        return {
            task.host
            for task in self._tasks.values()
            if task.status is TaskStatus.RUNNING
            or task.task_id in self.running_past_lease
        }

    def true_run_s(self, job):
        """Return the actual run time of a job in seconds, derived from the seed."""
        declared = self.jobs.get(job)
        rng = random.Random(f"{self._seed}:{job}")
        expected = declared.expected_s if declared else 600.0
        factor = rng.lognormvariate(0.0, RUN_TIME_SIGMA)
        if rng.random() < STRAGGLER_SHARE:
            factor *= STRAGGLER_FACTOR
        return expected * factor

    def _record_tasks_past_lease(self, now):
        for task_id, task in self._tasks.items():
            if (
                task.host in self.unreachable_hosts
                and task.status is TaskStatus.RUNNING
                and self._leases[task_id][0] < now
            ):
                self.running_past_lease[task_id] = job_of(task_id)

    def _forget_reconnected_tasks(self):
        for task_id in list(self.running_past_lease):
            if self._tasks[task_id].host not in self.unreachable_hosts:
                # A worker that can be reached again finds that the lease lapsed and
                # stops the task.
                del self.running_past_lease[task_id]

    def _check_reachable(self, task_id):
        task = self._tasks[task_id]
        if task.host in self.unreachable_hosts:
            raise StoreUnavailableError(
                f"Host {task.host} does not respond; try again later."
            )


def job_of(task_id):
    """Return the job's name from a task id ``job/run/boots``."""
    return task_id.split("/")[0]


class ReplayPlatform(MemoryPlatform):
    """An in-memory platform with :class:`ReplayHosts` and :class:`ReplayTasks`."""

    def __init__(self, clock, seed, lag_s, reboot_s):
        super().__init__(clock, lag_s)
        faults = self.faults
        lock = self.tasks._lock
        hosts = ReplayHosts(faults, clock, lock, lag_s, reboot_s)
        object.__setattr__(self, "hosts", hosts)
        object.__setattr__(self, "tasks", ReplayTasks(faults, clock, lock, seed))
