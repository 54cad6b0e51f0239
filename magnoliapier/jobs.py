"""
Jobs: places tasks on workers under platform leases and team quotas.

A task id is ``job/run/boots``: the job, the number of the run, and the boot count
of its worker at the start. Attempts, bad workers and confirmed stops can therefore
be read from the platform's task list, which is all that a planner needs after a
takeover.
"""

import heapq
import math
from collections import defaultdict
from dataclasses import dataclass, field

from magnoliapier.exceptions import FencedError, PlatformError
from magnoliapier.platform_api import TaskRequest, TaskStatus

TASK_LEASE_S = 120.0  # longer than a takeover of the planner and most platform outages
RENEW_PERIOD_S = 30.0
# With 2, a pair of broken jobs would exclude a good worker from placement.
BAD_WORKER_JOBS = 3
THROTTLE_SHARE = 0.25
# Bounds the platform calls of a tick; urgent jobs start first and are not counted.
MAX_STARTS_PER_TICK = 200
# A lapsed lease is rarely the job's fault, but a job that brings down every worker it
# runs on must not be retried for ever.
LAPSES_PER_ATTEMPT = 10
ATTEMPTS_USED_NOTE = "It failed {count} times of {limit}; correct it and rename it."


@dataclass
class Worker:
    """The free resources of one worker, and the tasks that run on it."""

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

    def allocate(self, job, share=1.0):
        """Subtract the resources of a job, with the given share of its cores."""
        self.cores -= job.cores * share
        self.memory_gb -= job.memory_gb
        self.accelerators -= job.accelerators


@dataclass
class Run:
    """One task of a job, with the parts of its task id."""

    task: object
    job: str
    number: int
    boots: int


class Quotas:
    """The quota of each team and how much of it is in use."""

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

    def allocate(self, job, share=1.0):
        """Add a job's resources, with a share of its cores, to its team's usage."""
        used = self._used[job.organisation, job.team]
        used[0] += job.cores * share
        used[1] += job.memory_gb
        used[2] += job.accelerators

    def release(self, job, share=1.0):
        """Subtract what :meth:`allocate` added for a job."""
        used = self._used[job.organisation, job.team]
        used[0] -= job.cores * share
        used[1] -= job.memory_gb
        used[2] -= job.accelerators

    def release_cores(self, job, share):
        """Subtract a share of a job's cores from its team's usage."""
        self._used[job.organisation, job.team][0] -= job.cores * share

    def allocate_cores(self, job, share):
        """Add a share of a job's cores to its team's usage."""
        self._used[job.organisation, job.team][0] += job.cores * share

    def allows_cores(self, job, cores):
        """Return whether the job's team stays within its quota with more cores."""
        team = self.team(job)
        used = self._used[job.organisation, job.team][0]
        return team is not None and used + cores <= team.cores

    def allows(self, job):
        """Whether the job's team stays within its quota if the job starts."""
        team = self.team(job)
        used = self._used[job.organisation, job.team]
        return (
            used[0] + job.cores <= team.cores
            and used[1] + job.memory_gb <= team.memory_gb
            and used[2] + job.accelerators <= team.accelerators
        )

    def dominant_share(self, job):
        """Return the largest share that the job's team uses of any of its quotas."""
        team = self.team(job)
        used = self._used[job.organisation, job.team]
        limits = (team.cores, team.memory_gb, team.accelerators)
        pairs = zip(used, limits, strict=True)
        return max(use / limit if limit else 0.0 for use, limit in pairs)


class JobSystem:
    """
    Places jobs, renews their leases and retries them.

    For measurement, a false ``preempt`` disables throttling and checkpointing for
    urgent jobs.
    """

    def __init__(self, clock, preempt=True, lease_s=TASK_LEASE_S):
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
        job_tick = JobTick(tables, self._preempt, self._lease_s)
        if tables.now - self._renewed_at >= RENEW_PERIOD_S:
            self._renewed_at = tables.now
            job_tick.renew()
        job_tick.stop_unwanted()
        job_tick.place()


class JobTick:
    """Advances all jobs in one tick."""

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
        self._bad_workers = bad_workers(self._runs)
        self._workers = {}
        self._pool_workers = defaultdict(list)
        self._checkpointing = set()
        self._build_workers()
        self._shapes_by_pool = {}
        self._refusals = {}
        self._unplaceable = defaultdict(list)
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
            self._call_platform("tasks", self._tasks.renew, running, self._epoch)

    def stop_unwanted(self):
        """Stop the tasks of jobs that were cancelled or removed."""
        for name, runs in self._runs.items():
            if name in self._manifest.jobs and name not in self._tables.state.cancelled:
                continue
            for run in runs:
                if run.task.status is TaskStatus.RUNNING:
                    self._call_platform(
                        name, self._tasks.stop, run.task.task_id, self._epoch
                    )

    def place(self):
        """Start the jobs that can start: urgent jobs first, then by dominant share."""
        urgent, normal = [], defaultdict(list)
        for name, job in self._manifest.jobs.items():
            if not self._may_start(name, job):
                continue
            if job.urgent:
                urgent.append((name, job))
            else:
                normal[job.organisation, job.team].append((name, job))
        for name, job in sorted(urgent, key=lambda item: item[0]):
            if not self._start_on_any_worker(name, job) and self._preempt:
                self._preempt_others(name, job)
        if not urgent:
            self._restore_shares()
        self._place_by_dominant_share(normal)
        for worker, boots in sorted(self._bad_workers):
            if self._tables.boots(worker) == boots:
                self._tables.note(
                    f"host/{worker}",
                    f"Set aside: at least {BAD_WORKER_JOBS} different jobs failed on "
                    "it; reboot it to return it to placement.",
                )

    def _place_by_dominant_share(self, jobs_by_team):
        """Start one job at a time, of the team with the lowest dominant share."""
        # A start changes its own team's share only, so the other entries stay valid.
        heap = [
            (self._quotas.dominant_share(jobs[0][1]), team)
            for team, jobs in jobs_by_team.items()
        ]
        heapq.heapify(heap)
        queues = {team: iter(jobs) for team, jobs in jobs_by_team.items()}
        while heap and self._starts < MAX_STARTS_PER_TICK:
            _, team = heapq.heappop(heap)
            for name, job in queues[team]:
                if self._start_on_any_worker(name, job):
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
                    and (host, boots) not in self._bad_workers
                ):
                    self._pool_workers[pool].append(worker)
        for name, runs in self._runs.items():
            job = self._manifest.jobs.get(name)
            for run in runs:
                if job is None or run.task.status is not TaskStatus.RUNNING:
                    continue
                share = run.task.detail.get("share", 1.0)
                self._quotas.allocate(job, share)
                worker = self._workers.get(run.task.host)
                if worker is not None:
                    worker.allocate(job, share)
                    worker.tasks.append((run, job))

    def _may_start(self, name, job):
        """Whether a job may start now; adds a note if an operator has to act first."""
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
            and (run.task.host, run.boots) not in self._bad_workers
            for run in runs
        )
        if failed >= job.max_attempts:
            reason = ATTEMPTS_USED_NOTE.format(count=failed, limit=job.max_attempts)
            self._tables.note(f"job/{name}", reason)
            return False
        lapsed = sum(run.task.status is TaskStatus.STOPPED for run in runs)
        if lapsed >= job.max_attempts * LAPSES_PER_ATTEMPT:
            reason = f"Its lease lapsed {lapsed} times; correct it and rename it."
            self._tables.note(f"job/{name}", reason)
            return False
        # A run starts only after the one before has ended, so the last run decides.
        last = max(runs, key=lambda run: run.number, default=None)
        return last is None or self._allows_next_run(name, job, last)

    def _allows_next_run(self, name, job, run):
        """
        Whether the next run of a job may start after the given one.

        A lapsed lease does not prove that a paused worker stopped. A non-idempotent
        job waits until the platform confirms the stop, or the worker has rebooted.
        """
        task = run.task
        if task.status is TaskStatus.RUNNING:
            return self._worker_rebooted(run)
        if task.status is not TaskStatus.STOPPED or job.idempotent:
            return True
        if self._worker_rebooted(run):
            return True
        if self._call_platform(
            f"job/{name}", self._tasks.stop, task.task_id, self._epoch
        ):
            return True
        self._tables.note(
            f"job/{name}",
            f"It waits until task {task.task_id} on {task.host} is confirmed stopped.",
        )
        return False

    def _worker_rebooted(self, run):
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
        for resource in ("cores", "memory_gb", "accelerators"):
            wanted, quota = getattr(job, resource), getattr(team, resource)
            if wanted > quota:
                return (
                    f"it wants {wanted} {resource} and its team's quota is {quota}; "
                    "lower the one or raise the other."
                )
        shapes = self._worker_shapes(job.pool)
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

    def _worker_shapes(self, pool):
        if pool not in self._shapes_by_pool:
            hosts = self._manifest.hosts
            self._shapes_by_pool[pool] = {
                (hosts[n].cores, hosts[n].memory_gb, hosts[n].accelerators)
                for n in self._tables.pool_hosts.get(pool, ())
            }
        return self._shapes_by_pool[pool]

    def _start_on_any_worker(self, name, job):
        """
        Start a job on the fullest worker that it fits on.

        Return whether the platform confirmed the start.
        """
        if not self._quotas.allows(job):
            self._tables.note(f"job/{name}", "Its team's quota is in use.")
            return False
        size = (job.cores, job.memory_gb, job.accelerators)
        # A job that needs at least as much as one that did not fit is not tried again
        # in this tick.
        unplaceable = self._unplaceable[job.pool]
        if any(all(a <= b for a, b in zip(m, size, strict=True)) for m in unplaceable):
            return False
        if not any(w.fits(job) for w in self._pool_workers[job.pool]):
            unplaceable.append(size)
            return False
        workers = [w for w in self._candidate_workers(name, job) if w.fits(job)]
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

    def _candidate_workers(self, name, job):
        """
        Return the workers that a job may be started on.

        A worker that fails every task does so quickly and often has free resources.
        So a job is not placed again on a worker that it failed on, as long as its
        pool has another one.
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
        # Counted as used even if the response is lost, because the task may be running.
        worker.allocate(job)
        self._quotas.allocate(job)
        if not job.urgent:
            self._starts += 1
        return self._call_platform(f"job/{name}", self._tasks.start, request)

    def _preempt_others(self, name, job):
        """
        Free resources for an urgent job by throttling other tasks, or by checkpoints.

        A throttled task frees its cores at once, and the urgent job starts in the
        same tick. Memory and accelerators are freed only by a checkpoint: the urgent
        job starts in a later tick, and the checkpointed job continues elsewhere.
        """
        if not self._quotas.allows(job) and not self._free_quota(name, job):
            return
        best = None
        for worker in self._candidate_workers(name, job):
            plan = self._preemption_plan(worker, job)
            if plan is not None:
                cost = (len(plan[1]), len(plan[0]), worker.name)
                if best is None or cost < best[0]:
                    best = (cost, worker, plan)
        if best is None:
            self._tables.note(
                f"job/{name}",
                "Only urgent work runs where it fits.",
            )
            return
        _, worker, (throttled, checkpointed) = best
        for run, other in throttled:
            self._throttle(worker, run, other)
        for run, _ in checkpointed:
            self._call_platform(
                f"job/{run.job}",
                self._tasks.checkpoint,
                run.task.task_id,
                self._epoch,
            )
            self._checkpointing.add(run.task.task_id)
        if checkpointed:
            # Keeps other jobs from the resources until the checkpoints are stored.
            worker.allocate(job)
        elif worker.fits(job):
            self._start(name, job, worker)

    def _preemption_plan(self, worker, job):
        """Return (tasks to throttle, tasks to checkpoint) for a job, or None."""
        others = [
            (run, other)
            for run, other in worker.tasks
            if not other.urgent and run.task.task_id not in self._checkpointing
        ]
        cores, memory, accelerators = (
            worker.cores,
            worker.memory_gb,
            worker.accelerators,
        )
        checkpointed = []
        if memory < job.memory_gb or accelerators < job.accelerators:
            by_size = sorted(
                others, key=lambda item: (-item[1].accelerators, -item[1].memory_gb)
            )
            for run, other in by_size:
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
        done = self._call_platform(
            f"job/{run.job}",
            self._tasks.throttle,
            run.task.task_id,
            THROTTLE_SHARE,
            self._epoch,
        )
        if done:
            run.task.detail["share"] = THROTTLE_SHARE
            worker.cores += other.cores * (before - THROTTLE_SHARE)
            self._quotas.release_cores(other, before - THROTTLE_SHARE)

    def _free_quota(self, name, job):
        """
        Checkpoint tasks of the urgent job's team until its quota allows the job.

        Only tasks in the job's pool that are not urgent are chosen. Always return
        False, as the job can start only after the checkpoints.
        """
        team = (job.organisation, job.team)
        for worker in sorted(self._pool_workers[job.pool], key=lambda w: w.name):
            for run, other in worker.tasks:
                if other.urgent or (other.organisation, other.team) != team:
                    continue
                task_id = run.task.task_id
                self._checkpointing.add(task_id)
                self._call_platform(
                    f"job/{run.job}", self._tasks.checkpoint, task_id, self._epoch
                )
                self._quotas.release(other, run.task.detail.get("share", 1.0))
                if self._quotas.allows(job):
                    self._tables.note(f"job/{name}", "Its team's other work gives way.")
                    return False
        self._tables.note(f"job/{name}", "Its team's quota is in use by urgent work.")
        return False

    def _restore_shares(self):
        """Give throttled tasks their full cores back where enough are free again."""
        for worker in self._workers.values():
            for run, other in worker.tasks:
                share = run.task.detail.get("share", 1.0)
                lacking = other.cores * (1.0 - share)
                if share == 1.0 or not self._quotas.allows_cores(other, lacking):
                    continue
                if worker.cores >= lacking:
                    task_id = run.task.task_id
                    if self._call_platform(
                        f"job/{run.job}",
                        self._tasks.throttle,
                        task_id,
                        1.0,
                        self._epoch,
                    ):
                        worker.cores -= lacking
                        self._quotas.allocate_cores(other, 1.0 - share)

    def _call_platform(self, subject, call, *arguments):
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
    """Return the :class:`Run` of a task, or None if the planner did not start it."""
    parts = task.task_id.split("/")
    if len(parts) != 3 or not (parts[1].isdecimal() and parts[2].isdecimal()):
        return None
    return Run(task, parts[0], int(parts[1]), int(parts[2]))


def bad_workers(runs_by_job):
    """
    Return the (host, boots) pairs on which ``BAD_WORKER_JOBS`` different jobs failed.

    A job that failed on two workers that are not bad is itself the likely cause, so
    its failures count against no worker. A worker on which at least as many tasks
    succeeded as jobs failed is not bad either.
    """
    failures = defaultdict(set)
    succeeded = defaultdict(int)
    for name, runs in runs_by_job.items():
        for run in runs:
            worker = (run.task.host, run.boots)
            if run.task.status is TaskStatus.FAILED:
                failures[name].add(worker)
            elif run.task.status is TaskStatus.SUCCEEDED:
                succeeded[worker] += 1
    bad = set()
    while True:
        counts = defaultdict(int)
        for workers in failures.values():
            others = workers - bad
            if len(others) == 1:
                counts[others.pop()] += 1
        found = {
            worker
            for worker, count in counts.items()
            if count >= BAD_WORKER_JOBS and count > succeeded[worker]
        }
        if not found:
            return bad
        bad |= found
