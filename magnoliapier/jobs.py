"""
Jobs: placement of tasks on workers through platform leases, under team quotas.

A task id is ``job/run/boots``: the job, the number of the run, and the boot count
of its worker at the start. With it, attempts, bad workers and confirmed stops are
all read from the platform's task list, and a planner that takes over needs nothing
else.
"""

import heapq
import math
from collections import defaultdict
from dataclasses import dataclass, field

from magnoliapier.exceptions import FencedError, PlatformError
from magnoliapier.platform_api import TaskRequest, TaskStatus

LEASE_S = 120.0  # longer than a takeover of the planner and most platform outages
RENEW_PERIOD_S = 30.0
# With two, a pair of broken jobs would set aside a good worker.
BAD_WORKER_JOBS = 3
THROTTLE_SHARE = 0.25
MAX_STARTS = 200  # platform calls in a tick; urgent jobs come first and are not counted
# A lapsed lease is rarely the job's fault, but a job that takes each of its workers
# down must end too.
LAPSES_PER_ATTEMPT = 10
REASON_RETRIES = "It failed {count} times of {limit}; correct it and rename it."


@dataclass
class Worker:
    """What is free on one worker, and the tasks that run there."""

    name: str
    cores: float
    memory_gb: float
    accelerators: int
    boots: int
    tasks: list = field(default_factory=list)

    def fits(self, job):
        """Whether the job can start now."""
        return (
            self.cores >= job.cores
            and self.memory_gb >= job.memory_gb
            and self.accelerators >= job.accelerators
        )

    def take(self, job, share=1.0):
        """Subtract what a job uses; a negative share gives it back."""
        self.cores -= job.cores * share
        self.memory_gb -= job.memory_gb
        self.accelerators -= job.accelerators


@dataclass
class Run:
    """One task of a job, with its id taken apart."""

    task: object
    job: str
    number: int
    boots: int


class Quotas:
    """What each team uses of its quota."""

    def __init__(self, manifest):
        self._teams = {
            (org, name): team
            for org, organisation in manifest.organisations.items()
            for name, team in organisation.teams.items()
        }
        self._used = defaultdict(lambda: [0.0, 0.0, 0.0])

    def team(self, job):
        """Return the quota of a job's team, or None."""
        return self._teams.get((job.organisation, job.team))

    def take(self, job, share=1.0):
        """Count a job's use."""
        used = self._used[job.organisation, job.team]
        used[0] += job.cores * share
        used[1] += job.memory_gb
        used[2] += job.accelerators

    def give(self, job, share=1.0):
        """Count a job's use no more."""
        used = self._used[job.organisation, job.team]
        used[0] -= job.cores * share
        used[1] -= job.memory_gb
        used[2] -= job.accelerators

    def give_cores(self, job, share):
        """Count a share of a job's cores no more."""
        self._used[job.organisation, job.team][0] -= job.cores * share

    def allows(self, job):
        """Whether the job keeps its team within the quota."""
        team = self.team(job)
        used = self._used[job.organisation, job.team]
        return (
            used[0] + job.cores <= team.cores
            and used[1] + job.memory_gb <= team.memory_gb
            and used[2] + job.accelerators <= team.accelerators
        )

    def dominant_share(self, job):
        """Return the largest share of a quota that the job's team uses."""
        team = self.team(job)
        used = self._used[job.organisation, job.team]
        limits = (team.cores, team.memory_gb, team.accelerators)
        pairs = zip(used, limits, strict=True)
        return max(use / limit if limit else 0.0 for use, limit in pairs)


class JobSystem:
    """
    Places jobs, renews their leases and retries them.

    ``preempt`` switches throttling and checkpointing for urgent jobs off, for
    measurement.
    """

    def __init__(self, clock, preempt=True, lease_s=LEASE_S):
        self._clock = clock
        self._preempt = preempt
        self._lease_s = lease_s
        self._renewed_at = -math.inf

    def run(self, tables):
        """Advance all jobs by one step."""
        if tables.tasks is None:
            return
        manifest = tables.manifest
        if not manifest.jobs and not tables.tasks:
            return
        step = JobStep(tables, self._preempt, self._lease_s)
        if tables.now - self._renewed_at >= RENEW_PERIOD_S:
            self._renewed_at = tables.now
            step.renew()
        step.stop_unwanted()
        step.place()


class JobStep:
    """The work on jobs of one tick."""

    def __init__(self, tables, preempt, lease_s):
        self._tables = tables
        self._manifest = tables.manifest
        self._tasks = tables.platform.tasks
        self._epoch = tables.inputs.lease_epoch
        self._preempt = preempt
        self._lease_s = lease_s
        self._quotas = Quotas(self._manifest)
        self._runs = defaultdict(list)
        for task in tables.tasks:
            run = parse_run(task)
            if run is not None:
                self._runs[run.job].append(run)
        self._bad = bad_workers(self._runs)
        self._workers = {}
        self._pool_workers = defaultdict(list)
        self._leaving = set()
        self._build_workers()
        self._largest = {}
        self._refusals = {}
        self._misfits = defaultdict(list)
        self._starts = 0

    def renew(self):
        """Renew the leases of all running tasks."""
        running = [
            run.task.task_id
            for runs in self._runs.values()
            for run in runs
            if run.task.status is TaskStatus.RUNNING
        ]
        if running:
            self._order("tasks", self._tasks.renew, running, self._epoch)

    def stop_unwanted(self):
        """Stop the tasks of jobs that were cancelled or removed."""
        for name, runs in self._runs.items():
            if name in self._manifest.jobs and name not in self._tables.state.cancelled:
                continue
            for run in runs:
                if run.task.status is TaskStatus.RUNNING:
                    self._order(name, self._tasks.stop, run.task.task_id, self._epoch)

    def place(self):
        """Start what can start: urgent jobs first, then teams by their use."""
        urgent, normal = [], defaultdict(list)
        for name, job in self._manifest.jobs.items():
            if not self._is_pending(name, job):
                continue
            if job.urgent:
                urgent.append((name, job))
            else:
                normal[job.organisation, job.team].append((name, job))
        for name, job in sorted(urgent, key=lambda item: item[0]):
            if not self._start_somewhere(name, job) and self._preempt:
                self._make_room(name, job)
        if not urgent:
            self._restore_shares()
        self._place_by_share(normal)
        for worker, boots in sorted(self._bad):
            if self._tables.boots(worker) == boots:
                self._tables.note(
                    f"host/{worker}",
                    f"Set aside: at least {BAD_WORKER_JOBS} different jobs failed on "
                    "it; reboot it to return it to placement.",
                )

    def _place_by_share(self, waiting):
        """Start one job at a time of the team that uses the least of its quota."""
        # A start changes the share of its own team only, so a heap stays in order.
        heap = [
            (self._quotas.dominant_share(jobs[0][1]), team)
            for team, jobs in waiting.items()
        ]
        heapq.heapify(heap)
        queues = {team: iter(jobs) for team, jobs in waiting.items()}
        while heap and self._starts < MAX_STARTS:
            _, team = heapq.heappop(heap)
            for name, job in queues[team]:
                if self._start_somewhere(name, job):
                    share = self._quotas.dominant_share(job)
                    heapq.heappush(heap, (share, team))
                    break

    def _build_workers(self):
        tables = self._tables
        pools = {job.pool for job in self._manifest.jobs.values()}
        for pool in pools:
            for host in tables.pool_hosts.get(pool, ()):
                entry = self._manifest.hosts[host]
                boots = tables.boots(host)
                worker = Worker(
                    host, entry.cores, entry.memory_gb, entry.accelerators, boots or 0
                )
                self._workers[host] = worker
                if (
                    tables.state.assignments[host].takes_work
                    and tables.unchanged(host)
                    and boots is not None
                    and tables.is_live(host)
                    and (host, boots) not in self._bad
                ):
                    self._pool_workers[pool].append(worker)
        for name, runs in self._runs.items():
            job = self._manifest.jobs.get(name)
            for run in runs:
                if job is None or run.task.status is not TaskStatus.RUNNING:
                    continue
                share = run.task.detail.get("share", 1.0)
                self._quotas.take(job, share)
                worker = self._workers.get(run.task.host)
                if worker is not None:
                    worker.take(job, share)
                    worker.tasks.append((run, job))

    def _is_pending(self, name, job):
        """Whether a job may start now; note why not where operators may ask."""
        if name in self._tables.state.cancelled:
            return False
        runs = self._runs.get(name, ())
        if any(run.task.status is TaskStatus.SUCCEEDED for run in runs):
            return False
        size = (job.organisation, job.team, job.pool)
        size += (job.cores, job.memory_gb, job.accelerators)
        if size not in self._refusals:
            self._refusals[size] = self._refusal(job)
        refusal = self._refusals[size]
        if refusal is not None:
            self._tables.note(f"job/{name}", f"Refused: {refusal}")
            return False
        failed = sum(
            run.task.status is TaskStatus.FAILED
            and (run.task.host, run.boots) not in self._bad
            for run in runs
        )
        if failed >= job.max_attempts:
            reason = REASON_RETRIES.format(count=failed, limit=job.max_attempts)
            self._tables.note(f"job/{name}", reason)
            return False
        lapsed = sum(run.task.status is TaskStatus.STOPPED for run in runs)
        if lapsed >= job.max_attempts * LAPSES_PER_ATTEMPT:
            reason = f"Its lease lapsed {lapsed} times; correct it and rename it."
            self._tables.note(f"job/{name}", reason)
            return False
        # A later run starts only after the earlier ones were found to have ended.
        last = max(runs, key=lambda run: run.number, default=None)
        return last is None or self._has_ended(name, job, last)

    def _has_ended(self, name, job, run):
        """
        Whether a run no longer stands in the way of the next.

        A lapsed lease does not prove that a paused worker stopped. A non-idempotent
        job waits until the platform confirms the stop, or the worker has rebooted.
        """
        task = run.task
        if task.status is TaskStatus.RUNNING:
            return self._lost(run)
        if task.status is not TaskStatus.STOPPED or job.idempotent:
            return True
        if self._lost(run):
            return True
        if self._order(f"job/{name}", self._tasks.stop, task.task_id, self._epoch):
            return True
        self._tables.note(
            f"job/{name}",
            f"It waits until task {task.task_id} on {task.host} is confirmed stopped.",
        )
        return False

    def _lost(self, run):
        """Whether the worker of a task has rebooted, which ends the task."""
        boots = self._tables.boots(run.task.host)
        return boots is not None and boots > run.boots

    def _refusal(self, job):
        """Return why a job can never run, or None."""
        team = self._quotas.team(job)
        if team is None:
            return f"team {job.organisation}/{job.team} is not declared; declare it."
        if job.pool not in self._manifest.pools:
            return f"pool {job.pool} is not declared; declare it."
        for what in ("cores", "memory_gb", "accelerators"):
            wanted, quota = getattr(job, what), getattr(team, what)
            if wanted > quota:
                return (
                    f"it wants {wanted} {what} and its team's quota is {quota}; "
                    "lower the one or raise the other."
                )
        shapes = self._shapes(job.pool)
        if any(
            shape[0] >= job.cores
            and shape[1] >= job.memory_gb
            and shape[2] >= job.accelerators
            for shape in shapes
        ):
            return None
        return (
            f"no worker of pool {job.pool} has {job.cores} cores, {job.memory_gb} GB "
            f"and {job.accelerators} accelerators together; ask for less."
        )

    def _shapes(self, pool):
        if pool not in self._largest:
            hosts = self._manifest.hosts
            self._largest[pool] = {
                (hosts[n].cores, hosts[n].memory_gb, hosts[n].accelerators)
                for n in self._tables.pool_hosts.get(pool, ())
            }
        return self._largest[pool]

    def _start_somewhere(self, name, job):
        """Start a job on the fullest worker that it fits on, and return whether."""
        if not self._quotas.allows(job):
            self._tables.note(f"job/{name}", "Its team's quota is in use.")
            return False
        size = (job.cores, job.memory_gb, job.accelerators)
        # What does not fit now does not fit for the rest of the tick.
        misfits = self._misfits[job.pool]
        if any(all(a <= b for a, b in zip(m, size, strict=True)) for m in misfits):
            return False
        if not any(w.fits(job) for w in self._pool_workers[job.pool]):
            misfits.append(size)
            return False
        workers = [w for w in self._candidates(name, job) if w.fits(job)]
        if not workers:
            self._tables.note(f"job/{name}", "Waits for a worker it did not fail on.")
            return False
        worker = min(
            workers,
            key=lambda w: (
                # Accelerators are kept for the jobs that need them.
                w.accelerators if not job.accelerators else 0,
                w.cores,
                w.name,
            ),
        )
        return self._start(name, job, worker)

    def _candidates(self, name, job):
        """
        Return the workers that a job may be started on.

        A worker that fails everything is fast and so often has room. A job does not
        return to one that it failed on, as long as its pool has any other.
        """
        workers = self._pool_workers[job.pool]
        failed_on = {
            run.task.host
            for run in self._runs.get(name, ())
            if run.task.status is TaskStatus.FAILED
        }
        return [w for w in workers if w.name not in failed_on] or workers

    def _start(self, name, job, worker):
        runs = self._runs.get(name, ())
        number = 1 + max((run.number for run in runs), default=0)
        checkpoint = None
        for run in sorted(runs, key=lambda run: run.number):
            if run.task.checkpoint is not None:
                checkpoint = run.task.checkpoint
        request = TaskRequest(
            f"{name}/{number}/{worker.boots}",
            worker.name,
            job.cores,
            job.memory_gb,
            job.accelerators,
            self._epoch,
            self._lease_s,
            checkpoint,
        )
        # Its place is taken even if the answer is lost: the task may run.
        worker.take(job)
        self._quotas.take(job)
        if not job.urgent:
            self._starts += 1
        return self._order(f"job/{name}", self._tasks.start, request)

    def _make_room(self, name, job):
        """
        Free a worker for an urgent job by throttling, or else by checkpoints.

        A throttled task frees its cores at once, and the urgent job starts in the
        same tick. Memory and accelerators are freed only by a checkpoint, after
        which the job starts in a later tick and the other goes on elsewhere.
        """
        if not self._quotas.allows(job) and not self._free_quota(name, job):
            return
        best = None
        for worker in self._candidates(name, job):
            plan = self._room_plan(worker, job)
            if plan is not None:
                cost = (len(plan[1]), len(plan[0]), worker.name)
                if best is None or cost < best[0]:
                    best = (cost, worker, plan)
        if best is None:
            self._tables.note(f"job/{name}", "Only urgent work runs where it fits.")
            return
        _, worker, (throttled, checkpointed) = best
        for run, other in throttled:
            self._throttle(worker, run, other)
        for run, _ in checkpointed:
            self._order(
                f"job/{run.job}",
                self._tasks.checkpoint,
                run.task.task_id,
                self._epoch,
            )
            self._leaving.add(run.task.task_id)
        if checkpointed:
            # The room is kept for the urgent job until the checkpoints are stored.
            worker.take(job)
        elif worker.fits(job):
            self._start(name, job, worker)

    def _room_plan(self, worker, job):
        """Return (tasks to throttle, tasks to checkpoint) for a job, or None."""
        others = [
            (run, other)
            for run, other in worker.tasks
            if not other.urgent and run.task.task_id not in self._leaving
        ]
        cores, memory, accelerators = (
            worker.cores,
            worker.memory_gb,
            worker.accelerators,
        )
        checkpointed = []
        if memory < job.memory_gb or accelerators < job.accelerators:
            order = sorted(
                others, key=lambda item: (-item[1].accelerators, -item[1].memory_gb)
            )
            for run, other in order:
                if memory >= job.memory_gb and accelerators >= job.accelerators:
                    break
                memory += other.memory_gb
                accelerators += other.accelerators
                cores += other.cores * run.task.detail.get("share", 1.0)
                checkpointed.append((run, other))
            if memory < job.memory_gb or accelerators < job.accelerators:
                return None
        throttled = []
        chosen = {run.task.task_id for run, _ in checkpointed}
        rest = [item for item in others if item[0].task.task_id not in chosen]
        for run, other in sorted(rest, key=lambda item: -item[1].cores):
            if cores >= job.cores:
                break
            gain = run.task.detail.get("share", 1.0) - THROTTLE_SHARE
            if gain > 0:
                cores += other.cores * gain
                throttled.append((run, other))
        if cores >= job.cores:
            return throttled, checkpointed
        for run, other in sorted(rest, key=lambda item: -item[1].cores):
            if cores >= job.cores:
                break
            is_throttled = (run, other) in throttled
            share = (
                THROTTLE_SHARE if is_throttled else run.task.detail.get("share", 1.0)
            )
            cores += other.cores * share
            checkpointed.append((run, other))
            if is_throttled:
                throttled.remove((run, other))
        return (throttled, checkpointed) if cores >= job.cores else None

    def _throttle(self, worker, run, other):
        before = run.task.detail.get("share", 1.0)
        done = self._order(
            f"job/{run.job}",
            self._tasks.throttle,
            run.task.task_id,
            THROTTLE_SHARE,
            self._epoch,
        )
        if done:
            run.task.detail["share"] = THROTTLE_SHARE
            worker.cores += other.cores * (before - THROTTLE_SHARE)
            self._quotas.give_cores(other, before - THROTTLE_SHARE)

    def _free_quota(self, name, job):
        """Checkpoint the team's own other work until the urgent job is allowed."""
        team = (job.organisation, job.team)
        for worker in sorted(self._pool_workers[job.pool], key=lambda w: w.name):
            for run, other in worker.tasks:
                if other.urgent or (other.organisation, other.team) != team:
                    continue
                task_id = run.task.task_id
                self._leaving.add(task_id)
                self._order(
                    f"job/{run.job}", self._tasks.checkpoint, task_id, self._epoch
                )
                self._quotas.give(other, run.task.detail.get("share", 1.0))
                if self._quotas.allows(job):
                    self._tables.note(f"job/{name}", "Its team's other work gives way.")
                    return False
        self._tables.note(f"job/{name}", "Its team's quota is in use by urgent work.")
        return False

    def _restore_shares(self):
        """Give throttled tasks their cores back where they are free again."""
        for worker in self._workers.values():
            for run, other in worker.tasks:
                share = run.task.detail.get("share", 1.0)
                lacking = other.cores * (1.0 - share)
                if share < 1.0 and worker.cores >= lacking:
                    task_id = run.task.task_id
                    if self._order(
                        f"job/{run.job}",
                        self._tasks.throttle,
                        task_id,
                        1.0,
                        self._epoch,
                    ):
                        worker.cores -= lacking

    def _order(self, subject, call, *arguments):
        """Call the platform and return whether it confirmed."""
        try:
            call(*arguments)
        except FencedError as error:
            self._tables.note(subject, f"A newer planner acts: {error}")
            return False
        except PlatformError as error:
            self._tables.note(subject, f"The platform did not confirm: {error}")
            return False
        return True


def parse_run(task):
    """Return the :class:`Run` of a task, None for tasks of others."""
    parts = task.task_id.split("/")
    if len(parts) != 3 or not (parts[1].isdecimal() and parts[2].isdecimal()):
        return None
    return Run(task, parts[0], int(parts[1]), int(parts[2]))


def bad_workers(runs_by_job):
    """
    Return the (host, boots) on which several different jobs failed at once.

    A job that failed on two workers that are not bad is itself the likely cause, so
    its failures count against no worker. Neither is a worker bad on which more
    jobs succeeded than failed.
    """
    failures = defaultdict(set)
    succeeded = defaultdict(int)
    for name, runs in runs_by_job.items():
        for run in runs:
            place = (run.task.host, run.boots)
            if run.task.status is TaskStatus.FAILED:
                failures[name].add(place)
            elif run.task.status is TaskStatus.SUCCEEDED:
                succeeded[place] += 1
    bad = set()
    while True:
        counts = defaultdict(int)
        for places in failures.values():
            others = places - bad
            if len(others) == 1:
                counts[others.pop()] += 1
        found = {
            place
            for place, count in counts.items()
            if count >= BAD_WORKER_JOBS and count > succeeded[place]
        }
        if not found:
            return bad
        bad |= found
