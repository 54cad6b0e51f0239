"""The platform of a fleet replay: true host failures, run times and lost contact."""

import math
import random

from magnoliapier.exceptions import StoreUnavailableError
from magnoliapier.memory_platform import MemoryHosts, MemoryPlatform, MemoryTasks
from magnoliapier.platform_api import HostStatus, ListedHost, TaskStatus

CHECKPOINT_S = 2.0  # storing a checkpoint takes time, during which the task runs on
FAIL_AFTER_S = 5.0  # a failing worker ends what it was given soon after the start
RUN_TIME_SIGMA = 0.8  # declared run times are far off: a quarter differ by 2.5 times
STRAGGLER_SHARE = 0.02
STRAGGLER_FACTOR = 20.0


class ReplayHosts(MemoryHosts):
    """Hosts of which some are down; a down host does not come back from a reboot."""

    def __init__(self, faults, clock, lock, lag_s, reboot_s):
        super().__init__(faults, clock, lock, lag_s, reboot_s)
        self.down = {}

    def add_initial(self, host):
        """Add a host that the list shows from the start."""
        self._changes[host.name] = [(-math.inf, host)]

    def drop(self, name):
        """Remove a host that left the manifest."""
        self.remove_host(name)

    def fail(self, name):
        """Take a host down; the list shows it missing after the lag."""
        self.down[name] = self.down.get(name, 0) + 1
        if self.down[name] == 1:
            self.remove_host(name)

    def recover(self, name):
        """Undo one :meth:`fail`; the host comes back with a higher boot count."""
        self.down[name] -= 1
        if self.down[name]:
            return
        del self.down[name]
        self._rebooting.pop(name, None)
        last = [host for _, host in self._changes[name] if host is not None][-1]
        self.set_host(
            ListedHost(name, HostStatus.LIVE, last.address, boots=last.boots + 1)
        )

    def reboot(self, name, fence):
        """Start a reboot; a down host does not answer."""
        if name in self.down:
            raise StoreUnavailableError(f"Host {name} does not answer; try later.")
        super().reboot(name, fence)

    def is_up(self, name):
        """Whether the host really runs."""
        return name not in self.down and name not in self._rebooting

    def _finish_reboots(self):
        held = {name: self._rebooting.pop(name) for name in list(self._rebooting)}
        self._rebooting = {n: end for n, end in held.items() if n not in self.down}
        super()._finish_reboots()
        self._rebooting.update((n, end) for n, end in held.items() if n in self.down)


class ReplayTasks(MemoryTasks):
    """
    Tasks that run for a true time that the planner does not see.

    ``unreachable_hosts`` are cut off from the platform: their tasks run on, and an
    order to them fails. ``failing_hosts`` fail every task that they are given.
    """

    def __init__(self, faults, clock, lock, seed):
        super().__init__(faults, clock, lock)
        self._seed = seed
        self._work = {}
        self._checkpointing = {}
        self._began = {}
        self.jobs = {}
        self.unreachable_hosts = set()
        self.failing_hosts = set()
        self.lost = set()
        self.running_unseen = {}
        self.started = []
        self.double_runs = 0

    def start(self, request):
        """Start a task and record it."""
        if request.host in self.unreachable_hosts:
            raise StoreUnavailableError(
                f"Host {request.host} does not answer; try later."
            )
        known = self._tasks.get(request.task_id)
        super().start(request)
        if known is None:
            now = self._clock.monotonic()
            self._began[request.task_id] = now
            job = job_of(request.task_id)
            others = [
                task_id
                for task_id, task in self._tasks.items()
                if task.status is TaskStatus.RUNNING
                and task_id != request.task_id
                and job_of(task_id) == job
            ]
            declared = self.jobs.get(job)
            if (others or job in self.running_unseen.values()) and (
                declared is None or not declared.idempotent
            ):
                self.double_runs += 1
            if request.checkpoint is None:
                self._work.pop(job, None)
            self.started.append((now, request))

    def checkpoint(self, task_id, fence):
        """Begin a checkpoint; the task stops when it is stored."""
        self._enter()
        with self._lock:
            self._check_contact(task_id)
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
        self._check_contact(task_id)
        super().throttle(task_id, share, fence)

    def stop(self, task_id, fence):
        """Stop a task that can be reached."""
        self._check_contact(task_id)
        super().stop(task_id, fence)

    def advance(self, seconds, is_up):
        """Run all tasks for ``seconds`` and return the (task_id, status) that end."""
        now = self._clock.monotonic()
        self._release_contacts()
        ended = []
        for task_id, task in list(self._tasks.items()):
            if task.status is not TaskStatus.RUNNING:
                continue
            status = self._step(task, seconds, now, is_up)
            if status is not None:
                self.finish(task_id, status)
                ended.append((task_id, status))
        for task_id, (end, fence) in list(self._checkpointing.items()):
            if now >= end:
                del self._checkpointing[task_id]
                super().checkpoint(task_id, fence)
        self._note_unseen(now)
        return ended

    def _step(self, task, seconds, now, is_up):
        task_id = task.task_id
        if task.host in self.unreachable_hosts:
            return None
        if not is_up(task.host):
            return TaskStatus.STOPPED
        if task.host in self.failing_hosts:
            late = now - self._began.get(task_id, now) >= FAIL_AFTER_S
            return TaskStatus.FAILED if late else None
        job = job_of(task_id)
        share = task.detail.get("share", 1.0)
        elapsed = min(seconds, now - self._began.get(task_id, now))
        self._work[job] = self._work.get(job, 0.0) + share * elapsed
        if self._work[job] >= self.true_run_s(job):
            return TaskStatus.SUCCEEDED
        return None

    def hosts_in_use(self):
        """Return the hosts on which a task really runs."""
        return {
            task.host
            for task in self._tasks.values()
            if task.status is TaskStatus.RUNNING or task.task_id in self.running_unseen
        }

    def true_run_s(self, job):
        """Return the true run time of a job, fixed by the seed."""
        declared = self.jobs.get(job)
        rng = random.Random(f"{self._seed}:{job}")
        expected = declared.expected_s if declared else 600.0
        factor = rng.lognormvariate(0.0, RUN_TIME_SIGMA)
        if rng.random() < STRAGGLER_SHARE:
            factor *= STRAGGLER_FACTOR
        return expected * factor

    def _note_unseen(self, now):
        for task_id, task in self._tasks.items():
            if (
                task.host in self.unreachable_hosts
                and task.status is TaskStatus.RUNNING
                and self._leases[task_id][0] < now
            ):
                self.running_unseen[task_id] = job_of(task_id)

    def _release_contacts(self):
        for task_id in list(self.running_unseen):
            if self._tasks[task_id].host not in self.unreachable_hosts:
                # A worker that finds its lease lapsed stops the task by itself.
                del self.running_unseen[task_id]

    def _check_contact(self, task_id):
        task = self._tasks[task_id]
        if task.host in self.unreachable_hosts:
            raise StoreUnavailableError(f"Host {task.host} does not answer; try later.")


def job_of(task_id):
    """Return the job's name from a task id ``job/run/boots``."""
    return task_id.split("/")[0]


class ReplayPlatform(MemoryPlatform):
    """An in-memory platform with replayed hosts and tasks."""

    def __init__(self, clock, seed, lag_s, reboot_s):
        super().__init__(clock, lag_s)
        faults = self.faults
        lock = self.tasks._lock
        hosts = ReplayHosts(faults, clock, lock, lag_s, reboot_s)
        object.__setattr__(self, "hosts", hosts)
        object.__setattr__(self, "tasks", ReplayTasks(faults, clock, lock, seed))
