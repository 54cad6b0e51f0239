"""
Virtual-time driver that runs a fleet policy over a recorded trace.

It applies the policy's entries to the fleet state as the fleet log would. It simulates
host failures, tasks and the sender rows, by which senders consent to stops and moves of
hosts. Time 0 of the trace is the Unix epoch, so calendar days and maintenance windows
count from the start of the trace.

Example::

    report = replay_fleet(header, events, "planner", seed=1)
    print(report.moves, report.buffer_host_hours, report.budget_misses)
"""

import random
import time
from collections import defaultdict
from dataclasses import dataclass, field

from magnoliapier.clock import VirtualClock
from magnoliapier.exceptions import ManifestError, StateOrderError
from magnoliapier.fleet_platform import ReplayPlatform, job_of
from magnoliapier.fleet_policies import PolicySetting, policies
from magnoliapier.fleet_state import FleetState, LogEntry
from magnoliapier.manifest import digest, make_patch, merge_patch, validate_manifest
from magnoliapier.measures import overlap
from magnoliapier.planner_tables import PlannerInputs, SenderRow, hosts_required
from magnoliapier.platform_api import HostStatus, ListedHost
from magnoliapier.registry import Registry

DEMAND_LAG_S = 10.0
BURST_S = 10.0  # length of the burst that a demand sample may carry
MIN_QUIET_SHARE = 0.05  # least demand between bursts, as a share of the mean
FOLLOW_LAG_S = 0.5  # a commit takes effect one poll of the log later
ACTION_DELAY_S = 0.5  # time budget of one planner tick at the target fleet size
TAKEOVER_S = 6.0  # time until another process acquires the planner lease
LEASE_TIMEOUT_S = 5.0
SERIES_INTERVAL_S = 600.0
MINUTE_S = 60.0
HOUR_S = 3600.0
DAY_S = 86_400.0

fault_kinds = Registry("fleet fault")


@dataclass
class ReplayOptions:
    """Lags and durations of the simulated fleet, in seconds."""

    tick_s: float | None = None
    list_lag_s: float = 10.0
    reboot_s: float = 180.0
    drain_mean_s: float = 4.0
    straggler_share: float = 0.02
    straggler_s: float = 120.0
    policy_options: dict = field(default_factory=dict)


@dataclass
class JobStart:
    """One start of a job: when the job was ready and when its task started."""

    job: str
    t_ready: float
    t_start: float
    urgent: bool
    host: str
    run: int

    @property
    def wait_s(self):
        """Seconds from ready to start."""
        return self.t_start - self.t_ready


@dataclass
class JobEnd:
    """The end of a job's task; ``outcome`` is the value of a TaskStatus."""

    job: str
    t: float
    outcome: str
    host: str


@dataclass
class WaveProgress:
    """
    The progress of one maintenance in one pool.

    ``progress`` lists pairs (t, number of hosts done).
    """

    name: str
    t_start: float
    t_end: float | None = None
    done: int = 0
    failed: int = 0
    state: str = "running"
    reason: str = ""
    progress: list = field(default_factory=list)


@dataclass
class PoolSample:
    """One sample of a pool: demand, and hosts required, in service and held."""

    t: float
    pool: str
    demand: float
    required: int
    serving: int
    held: int


@dataclass
class FleetReport:
    """
    The result of running a policy over a trace.

    ``moves`` counts assignments to another pool, except moves by operators.
    ``buffer_host_hours`` sums the hosts that pools with a service hold beyond their
    demand; shared spare hosts are not counted. ``missed_minutes`` lists each
    (minute, pool) in which fewer hosts were in service than required. ``interrupted``
    counts planned stops and moves of hosts on which a request or task was running.
    ``tick_seconds`` holds the duration of each tick in real time and is the only field
    that differs between two runs.
    """

    policy: str
    duration_s: float = 0.0
    ticks: int = 0
    moves: int = 0
    move_list: list = field(default_factory=list)
    buffer_host_hours: float = 0.0
    demand_host_hours: float = 0.0
    held_host_hours: float = 0.0
    missed_minutes: list = field(default_factory=list)
    waves: dict = field(default_factory=dict)
    job_starts: list = field(default_factory=list)
    job_ends: list = field(default_factory=list)
    notes: list = field(default_factory=list)
    series: list = field(default_factory=list)
    double_runs: int = 0
    interrupted: int = 0
    rejected_commits: int = 0
    rejected_entries: int = 0
    planner_takeovers: int = 0
    tick_seconds: list = field(default_factory=list, compare=False)

    @property
    def budget_misses(self):
        """The number of minutes in which any pool's budget was missed."""
        return len({minute for minute, _ in self.missed_minutes})

    def first_starts(self, urgent=None):
        """Return the first start of each job; ``urgent`` None includes all jobs."""
        first = {}
        for start in self.job_starts:
            if urgent is None or start.urgent is urgent:
                first.setdefault(start.job, start)
        return list(first.values())


class DemandTable:
    """
    The demand of each pool over time.

    A sample holds the mean demand of its period. A burst occupies the first BURST_S
    seconds of the period; the demand after it is lowered to keep the mean, but not
    below MIN_QUIET_SHARE of the mean.
    """

    def __init__(self, samples, duration_s):
        self._by_pool = defaultdict(list)
        for sample in samples:
            self._by_pool[sample.pool].append(sample)
        self._ends = {
            pool: [*(s.t for s in rows[1:]), duration_s]
            for pool, rows in self._by_pool.items()
        }
        self._level_indexes = dict.fromkeys(self._by_pool, 0)
        self._observed_indexes = dict.fromkeys(self._by_pool, 0)

    def pools(self):
        """Return the pools that have samples."""
        return list(self._by_pool)

    def level(self, pool, t):
        """Return the mean demand at ``t``, which must not decrease between calls."""
        rows = self._by_pool.get(pool)
        if not rows:
            return 0.0
        index = self._advance(self._level_indexes, pool, t)
        return rows[index].hosts if rows[index].t <= t else 0.0

    def observed(self, pool, start, end):
        """
        Return the mean demand between two instants, bursts included.

        ``start`` must not decrease between calls.
        """
        rows = self._by_pool.get(pool)
        if not rows:
            return 0.0
        first_index = self._advance(self._observed_indexes, pool, start)
        total = 0.0
        for index in range(first_index, len(rows)):
            row = rows[index]
            row_end = max(self._ends[pool][index], row.t)
            if row.t >= end:
                break
            peak_end = min(row.t + BURST_S, row_end) if row.burst else row.t
            quiet_demand = row.hosts
            if row.burst and row_end > peak_end:
                excess = row.burst * (peak_end - row.t) / (row_end - peak_end)
                quiet_demand = max(row.hosts * MIN_QUIET_SHARE, row.hosts - excess)
            total += (row.hosts + row.burst) * overlap(row.t, peak_end, start, end)
            total += quiet_demand * overlap(peak_end, row_end, start, end)
        return total / (end - start)

    def _advance(self, indexes, pool, t):
        rows = self._by_pool[pool]
        index = indexes[pool]
        while index + 1 < len(rows) and rows[index + 1].t <= t:
            index += 1
        indexes[pool] = index
        return index


class FleetReplay:
    """One run of a policy over a trace; use :func:`replay_fleet`."""

    def __init__(self, header, events, policy, seed=0, options=None):
        self.header = header
        self.events = sorted(events, key=lambda event: event.t)
        self.seed = seed
        self.options = options or ReplayOptions()
        self.tick_s = self.options.tick_s or default_tick_s(header.duration_s)
        self.clock = VirtualClock()
        self.platform = ReplayPlatform(
            self.clock, seed, self.options.list_lag_s, self.options.reboot_s
        )
        self.state = FleetState()
        self.demand = DemandTable(
            [e for e in self.events if hasattr(e, "burst")], header.duration_s
        )
        self.report = FleetReport(str(policy), header.duration_s)
        self.epoch = 1
        self.paused_until = -1.0
        self.paused_entries = defaultdict(int)
        self.cut_data_centres = defaultdict(int)
        self._policy_name = policy
        self._policy = None
        self._sender_rows_by_entry = {}
        self._drain_ends = {}
        self._job_ready_times = {}
        self._pending = []
        self._returns = []
        self._recorded_notes = set()
        self._missed_minutes = set()
        self._next_series = 0.0
        self._recorded_start_count = 0
        self._lease_lost = False

    def run(self):
        """Replay the trace and return the :class:`FleetReport`."""
        self._commit_values(self.header.manifest, 0.0)
        self._policy = self._make_policy()
        index = 0
        now = 0.0
        while now < self.header.duration_s:
            self.clock.advance_to(now)
            while index < len(self.events) and self.events[index].t <= now:
                self._handle_event(self.events[index])
                index += 1
            self._run_pending(now)
            self._finish_tasks()
            if now >= self.paused_until and not self.platform.faults.down:
                self._tick(now)
            self._measure(now)
            now += self.tick_s
        self.report.double_runs = self.platform.tasks.double_runs
        self.report.missed_minutes = sorted(self._missed_minutes)
        return self.report

    def _make_policy(self):
        factory = (
            policies.get(self._policy_name)
            if isinstance(self._policy_name, str)
            else self._policy_name
        )
        return factory(
            PolicySetting(
                self.clock,
                self.platform,
                self.header,
                self.events,
                self.tick_s,
                self.options.policy_options,
            )
        )

    def _handle_event(self, event):
        name = type(event).__name__
        if name == "Fault":
            handler = fault_kinds.get(event.kind) if event.kind in fault_kinds else None
            if handler is not None:
                end = handler(self, event)
                if end is not None:
                    self._pending.append((event.t + event.duration_s, end))
        elif name == "Drain":
            self._handle_drain(event)
        elif name == "Commit":
            self._pending.append(
                (event.t + FOLLOW_LAG_S, lambda: self._handle_commit(event))
            )

    def _handle_drain(self, event):
        assignment = self.state.assignments.get(event.host)
        if assignment is None or not assignment.takes_work:
            return
        self._append(
            "host_drain",
            {
                "host": event.host,
                "epoch": assignment.epoch + 1,
                "target": event.target,
                "reason": "operator",
            },
        )
        if event.target is None:
            self._pending.append(
                (event.t + event.duration_s, lambda: self._return_host(event.host))
            )

    def _return_host(self, name):
        assignment = self.state.assignments.get(name)
        if assignment is not None and not assignment.takes_work:
            body = {"host": name, "epoch": assignment.epoch + 1}
            self._append("host_assign", {**body, "pool": assignment.pool})

    def _handle_commit(self, event):
        values = merge_patch(self.state.manifest_values, event.patch)
        if event.base != self.state.manifest_version:
            self.report.rejected_commits += 1
            return
        try:
            self._commit_values(values, event.t)
        except ManifestError:
            self.report.rejected_commits += 1

    def _commit_values(self, values, t):
        patch = make_patch(self.state.manifest_values, values)
        self._append("manifest_commit", {"patch": patch, "digest": digest(values)})
        manifest = self.state.manifest
        for name in manifest.jobs:
            self._job_ready_times.setdefault(name, t)
        self.platform.tasks.jobs.update(manifest.jobs)
        simulated_hosts = self.platform.hosts
        for name, host in manifest.hosts.items():
            if (
                name not in self._sender_rows_by_entry
                and name not in simulated_hosts._changes
            ):
                simulated_hosts.add_initial(
                    ListedHost(name, HostStatus.LIVE, host.address)
                )

    def _append(self, kind, body, author="operator", epoch=None):
        entry = LogEntry(
            self.state.seq + 1,
            kind,
            body,
            f"entry-{self.state.seq + 1}",
            author,
            self.clock.time(),
            epoch,
        )
        before = self.state.assignments.get(body.get("host"))
        self.state.apply(entry)
        if epoch and (
            kind == "host_maintenance"
            or (kind == "host_assign" and before.pool != body["pool"])
        ):
            self.report.interrupted += self._in_use(body["host"])
        if kind == "host_drain":
            self._begin_drain(body["host"])
        if kind == "host_assign" and before.pool != body["pool"] and epoch:
            self.report.moves += 1
            self.report.move_list.append(
                (self.clock.time(), body["host"], before.pool, body["pool"])
            )

    def _in_use(self, host):
        if self._drain_ends.get(host, 0.0) > self.clock.time():
            return True
        return host in self.platform.tasks.hosts_in_use()

    def _begin_drain(self, host):
        rng = random.Random(f"{self.seed}:{host}:{self.state.seq}")
        drain_s = rng.expovariate(1.0 / max(self.options.drain_mean_s, 1e-9))
        if rng.random() < self.options.straggler_share:
            drain_s += self.options.straggler_s
        self._drain_ends[host] = self.clock.time() + drain_s

    def _run_pending(self, now):
        due = [item for item in self._pending if item[0] <= now]
        if due:
            self._pending = [item for item in self._pending if item[0] > now]
            for _, action in sorted(due, key=lambda item: item[0]):
                action()

    def _finish_tasks(self):
        tasks = self.platform.tasks
        down = self.platform.faults.down
        self.platform.faults.down = False
        ended = tasks.advance(self.tick_s, self.platform.hosts.is_up)
        self.platform.faults.down = down
        for task_id, status in ended:
            host = tasks._tasks[task_id].host
            self.report.job_ends.append(
                JobEnd(job_of(task_id), self.clock.time(), status.value, host)
            )

    def _update_sender_rows(self):
        now = self.clock.time()
        for host in [name for name, end in self._drain_ends.items() if end <= now]:
            del self._drain_ends[host]
        hosts = self.state.manifest.hosts
        busy = defaultdict(set)
        for name in self._drain_ends:
            if name in hosts:
                busy[hosts[name].data_centre].add(name)
        for name, data_centre in self.header.entry_hosts.items():
            if name in self._sender_rows_by_entry and (
                self.paused_entries[name] or self.cut_data_centres[data_centre]
            ):
                continue
            self._sender_rows_by_entry[name] = SenderRow(
                name, data_centre, self.state.seq, frozenset(busy[data_centre])
            )
        return list(self._sender_rows_by_entry.values())

    def _inputs(self, now):
        start = max(0.0, now - DEMAND_LAG_S - self.tick_s)
        end = max(start + 1e-6, now - DEMAND_LAG_S)
        demand = {}
        for name, service in self.state.manifest.services.items():
            hosts = self.demand.observed(service.pool, start, end)
            demand[name] = hosts * service.slots_per_endpoint
        return PlannerInputs(
            self.state,
            demand,
            self._update_sender_rows(),
            self.platform.hosts.hosts(),
            self.epoch,
            now,
        )

    def _tick(self, now):
        if self._lease_lost:
            self._lease_lost = False
            self.epoch += 1
            self.report.planner_takeovers += 1
            self._policy = self._make_policy()
        inputs = self._inputs(now)
        started = time.perf_counter()
        output = self._policy.tick(inputs)
        self.report.tick_seconds.append(time.perf_counter() - started)
        self.report.ticks += 1
        for kind, body in output.entries:
            try:
                self._append(kind, body, "planner", self.epoch)
            except StateOrderError:
                self.report.rejected_entries += 1
                break
            if kind == "wave_update":
                self._record_wave(now, body)
        self._record_starts()
        for note in output.notes:
            if (note.subject, note.reason) not in self._recorded_notes:
                self._recorded_notes.add((note.subject, note.reason))
                self.report.notes.append((now, note.subject, note.reason))

    def _record_wave(self, now, body):
        wave = body["wave"]
        if wave is None:
            return
        name = body["name"]
        record = self.report.waves.setdefault(name, WaveProgress(name, now))
        record.done = len(wave.get("done", ()))
        record.failed = len(wave.get("failed", ()))
        record.state = wave.get("state", "running")
        record.reason = wave.get("reason", "")
        record.t_end = now if record.state == "finished" else None
        record.progress.append((now, record.done))

    def _record_starts(self):
        tasks = self.platform.tasks
        for t, request in tasks.started[self._recorded_start_count :]:
            name = job_of(request.task_id)
            job = self.state.manifest.jobs.get(name)
            self.report.job_starts.append(
                JobStart(
                    name,
                    self._job_ready_times.get(name, t),
                    t + ACTION_DELAY_S,
                    bool(job and job.urgent),
                    request.host,
                    int(request.task_id.split("/")[1]),
                )
            )
        self._recorded_start_count = len(tasks.started)

    def _measure(self, now):
        manifest = self.state.manifest
        held, serving = defaultdict(int), defaultdict(int)
        for name, assignment in self.state.assignments.items():
            held[assignment.pool] += 1
            if assignment.takes_work and self.platform.hosts.is_up(name):
                serving[assignment.pool] += 1
        hours = self.tick_s / HOUR_S
        for pool in sorted({s.pool for s in manifest.services.values()}):
            demand = self.demand.level(pool, now)
            required = hosts_required(manifest, pool, demand)
            self.report.demand_host_hours += demand * hours
            self.report.held_host_hours += held[pool] * hours
            self.report.buffer_host_hours += max(0.0, held[pool] - demand) * hours
            if serving[pool] < required:
                self._missed_minutes.add((int(now // MINUTE_S), pool))
            if now >= self._next_series:
                self.report.series.append(
                    PoolSample(now, pool, demand, required, serving[pool], held[pool])
                )
        if now >= self._next_series:
            self._next_series = now + SERIES_INTERVAL_S

    def fail_host(self, name):
        """Take a host down and return a function that brings it back."""
        self.platform.hosts.fail(name)
        return lambda: self.platform.hosts.recover(name)


@fault_kinds.register("endpoint_down")
def start_endpoint_down(replay, fault):
    """Take one host down."""
    return replay.fail_host(fault.target)


@fault_kinds.register("rack_lost")
def start_rack_lost(replay, fault):
    """Take all hosts of a rack down."""
    hosts = replay.state.manifest.hosts
    ends = [replay.fail_host(n) for n, h in hosts.items() if h.rack == fault.target]
    return lambda: [end() for end in ends]


@fault_kinds.register("endpoint_failing")
def start_endpoint_failing(replay, fault):
    """Make every task on a host fail."""
    replay.platform.tasks.failing_hosts.add(fault.target)
    return lambda: replay.platform.tasks.failing_hosts.discard(fault.target)


@fault_kinds.register("data_centre_cut")
def start_data_centre_cut(replay, fault):
    """Disconnect a data centre from the platform; its hosts and tasks keep running."""
    hosts = replay.state.manifest.hosts
    names = {n for n, h in hosts.items() if h.data_centre == fault.target}
    replay.cut_data_centres[fault.target] += 1
    replay.platform.tasks.unreachable_hosts |= names

    def end():
        replay.cut_data_centres[fault.target] -= 1
        replay.platform.tasks.unreachable_hosts -= names

    return end


@fault_kinds.register("store_down")
def start_store_down(replay, fault):
    """Take the platform down; the lease lapses if this exceeds LEASE_TIMEOUT_S."""
    replay.platform.faults.down = True

    def end():
        replay.platform.faults.down = False
        replay._lease_lost = fault.duration_s > LEASE_TIMEOUT_S

    return end


@fault_kinds.register("planner_paused")
def start_planner_paused(replay, fault):
    """
    Pause the planner.

    If the pause exceeds LEASE_TIMEOUT_S, another process takes over.
    """
    lost = fault.duration_s > LEASE_TIMEOUT_S
    pause_s = TAKEOVER_S if lost else fault.duration_s
    replay.paused_until = max(replay.paused_until, fault.t + pause_s)
    replay._lease_lost = replay._lease_lost or lost


@fault_kinds.register("entry_paused")
@fault_kinds.register("entry_restart")
def start_entry_paused(replay, fault):
    """Stop the updates of the sender row of an entry host."""
    replay.paused_entries[fault.target] += 1

    def end():
        replay.paused_entries[fault.target] -= 1

    return end


def default_tick_s(duration_s):
    """
    Return the tick in seconds for the duration of a trace.

    1 s for up to 4 hours, 10 s for up to 2 days and 60 s for longer traces.
    """
    if duration_s <= 4 * HOUR_S:
        return 1.0
    return 10.0 if duration_s <= 2 * DAY_S else MINUTE_S


def replay_fleet(header, events, policy="planner", seed=0, *, options=None):
    """
    Run ``policy`` over a trace and return a :class:`FleetReport`.

    ``policy`` is the name of a policy in :data:`magnoliapier.fleet_policies.policies`,
    or a factory with the same signature. Two runs with the same arguments give
    equal reports. Events other than demand, faults, drains and commits are
    ignored. Raises ManifestError if the header's manifest is invalid.
    """
    validate_manifest(header.manifest)
    return FleetReplay(header, list(events), policy, seed, options).run()


__all__ = [
    "FleetReport",
    "JobEnd",
    "JobStart",
    "PoolSample",
    "ReplayOptions",
    "WaveProgress",
    "replay_fleet",
]
