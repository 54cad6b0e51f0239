"""
Virtual-time driver of the parts that coordinate through the platform's table service.

It runs the production code of claims, fleet log, followers, planner lease and drain
advancement on an in-memory platform with the store faults of a trace. All processes
share one clock and run one after the other, so the delays of a slow store add up:
the delay in a trace must stay well below what a single process could tolerate.
Endpoints run each request for its actual run time; slots and queues are left to the
request driver.

A commit that follows another on the same base within RACE_WINDOW_S is run after the
first one has read the state and before it writes. A paused planner resumes with a write
under the lease that it held before the pause and does not check the lease first, which
is the case that fencing protects against.
"""

import heapq
import itertools
import random

from magnoliapier.claims import Claim, ClaimRefused, Claims, request_digest
from magnoliapier.clock import VirtualClock
from magnoliapier.connections import Answer
from magnoliapier.exceptions import (
    ConflictError,
    FencedError,
    ManifestConflictError,
    StateOrderError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.fleet_log import FleetLog, LogFollower
from magnoliapier.fleet_state import FleetState
from magnoliapier.leases import LEASE_KEY, PlannerLease
from magnoliapier.manifest import digest, merge_patch
from magnoliapier.memory_platform import MemoryPlatform
from magnoliapier.metrics import Metrics
from magnoliapier.observed_replay import arrival_fields
from magnoliapier.outcomes.observations import Observation, ReplayReport
from magnoliapier.planner import advance_drains
from magnoliapier.planner_tables import PlannerInputs, PlanTables, SenderRow
from magnoliapier.platform_api import HostStatus, ListedHost
from magnoliapier.registry import Registry
from magnoliapier.request_replay.callers import make_request
from magnoliapier.traces import Arrival, Commit, Drain, Fault

store_faults = Registry("store fault")

POLL_INTERVAL_S = 0.5
LEASE_TICK_INTERVAL_S = 1.0
CONTENDER_COUNT = 2
RACE_WINDOW_S = 0.25
COMMIT_RETRY_DELAY_S = 30.0
# The replay continues for this long after the end of a trace, so that work in flight
# can end.
COMPLETION_GRACE_S = 60.0
STORE_ERRORS = (StoreUnavailableError, StoreOutcomeUnknownError)


class Contender:
    """One control process that competes for the planner lease."""

    def __init__(self, name, platform, clock):
        self.name = name
        self.lease = PlannerLease(platform.table, clock, name)
        self.log = FleetLog(platform, clock, name)
        self.paused_until = -1.0


class FollowerProcess:
    """
    One control process that follows the fleet log.

    ``version`` and ``assignments`` are the last ones that were observed.
    """

    def __init__(self, name, data_centre, platform, clock):
        self.name = name
        self.data_centre = data_centre
        self.log = FleetLog(platform, clock, name)
        self.follower = LogFollower(clock)
        self.version = 0
        self.assignments = {}


class StoreReplay:
    """Runs one trace; see :func:`observe_store`."""

    def __init__(self, header, events, seed):
        self.header = header
        self.clock = VirtualClock()
        self.platform = MemoryPlatform(self.clock)
        self.observations = []
        self.lost_response_share = 0.0
        self._events = events
        self._random = random.Random(seed)
        self._scheduled_calls = []
        self._sequence = itertools.count()
        self._end = header.duration_s + COMPLETION_GRACE_S
        self._drains = []
        self._commits = {}
        self._before_next_write = None
        self._transact = self.platform.table.transact
        self.platform.table.transact = self._transact_with_faults
        self.contenders = []
        self._followers = []
        self._claims = {}
        self._seen_keys = set()

    def run(self):
        """Replay the trace and return the observations."""
        self._start()
        try:
            for event in self._events:
                self._schedule_event(event)
            while self._scheduled_calls:
                instant, _, callback, arguments = heapq.heappop(self._scheduled_calls)
                if instant > self._end:
                    break
                self.clock.advance_to(instant)
                callback(*arguments)
        finally:
            for claims in self._claims.values():
                claims.close()
        return self.observations

    def schedule(self, instant, callback, *arguments):
        """Call ``callback`` at the given virtual time."""
        heapq.heappush(
            self._scheduled_calls, (instant, next(self._sequence), callback, arguments)
        )

    def observe(self, kind, t=None, **fields):
        """Record an observation at the current time or at ``t``."""
        instant = self.clock.monotonic() if t is None else t
        self.observations.append(Observation(instant, kind, fields))

    def _start(self):
        for name, host in self.header.manifest["hosts"].items():
            listed_host = ListedHost(name, HostStatus.LIVE, host["address"])
            self.platform.hosts.set_host(listed_host)
        log = FleetLog(self.platform, self.clock, "operator")
        log.commit_manifest(FleetState(), self.header.manifest, 0)
        entry_hosts = sorted(self.header.entry_hosts.items())
        for number, (name, data_centre) in enumerate(entry_hosts):
            process = FollowerProcess(name, data_centre, self.platform, self.clock)
            self._followers.append(process)
            self._claims[name] = Claims(
                self.platform.table, self.clock, Metrics(), name, 1
            )
            phase = POLL_INTERVAL_S * number / len(entry_hosts)
            self.schedule(phase, self._poll, process)
            if number < CONTENDER_COUNT:
                contender = Contender(name, self.platform, self.clock)
                self.contenders.append(contender)
                self.schedule(LEASE_TICK_INTERVAL_S * number / 2, self._tick, contender)

    def _schedule_event(self, event):
        if isinstance(event, Arrival):
            self.schedule(event.t, self._arrive, event)
        elif isinstance(event, Commit):
            self.schedule(event.t, self._commit, event)
        elif isinstance(event, Drain):
            self.schedule(event.t, self._drains.append, event)
        elif isinstance(event, Fault) and event.kind in store_faults:
            self.schedule(event.t, store_faults.get(event.kind), self, event)

    def _transact_with_faults(self, writes, checks=()):
        before_write, self._before_next_write = self._before_next_write, None
        if before_write is not None:
            before_write()
        faults = self.platform.faults
        if self._random.random() < self.lost_response_share:
            faults.lose_answers = 1
        try:
            return self._transact(writes, checks)
        finally:
            # Clears the fault, which remains set if the write failed otherwise.
            faults.lose_answers = 0

    # Followers of the fleet log.

    def _poll(self, process):
        follower = process.follower
        try:
            # Skipping the read while the head is unchanged keeps long traces fast.
            if self._head_seq() != follower.staged_seq:
                read = process.log.read_after(follower.staged_seq)
                if read.snapshot is not None:
                    follower.offer_state(read.snapshot)
                follower.offer_entries(read.entries)
        except StoreUnavailableError:
            pass
        staged = [
            other.follower.staged_seq
            for other in self._followers
            if other is not process and other.data_centre == process.data_centre
        ]
        if follower.activate(max(staged, default=None)):
            self._observe_state(process)
        self.schedule(self.clock.monotonic() + POLL_INTERVAL_S, self._poll, process)

    def _head_seq(self):
        row = self.platform.table._rows.get("log/head")
        return row.value["seq"] if row else 0

    def _observe_state(self, process):
        state = process.follower.state
        if state.manifest_version != process.version:
            process.version = state.manifest_version
            self.observe(
                "manifest",
                where=process.name,
                version=process.version,
                digest=digest(state.manifest_values),
            )
        for host, assignment in state.assignments.items():
            if process.assignments.get(host) != assignment:
                self.observe(
                    "assign",
                    host=host,
                    pool=assignment.pool,
                    state=assignment.state.value,
                    view=process.name,
                )
        process.assignments = dict(state.assignments)

    # Operators.

    def _commit(self, event):
        if self._commits.get(id(event)) == "begun":
            return
        self._commits[id(event)] = "begun"
        racing_commit = next(
            (
                other
                for other in self._events
                if isinstance(other, Commit)
                and other is not event
                and other.base == event.base
                and 0 <= other.t - event.t <= RACE_WINDOW_S
                and id(other) not in self._commits
            ),
            None,
        )
        if racing_commit is not None:
            self._before_next_write = lambda: self._commit(racing_commit)
        log = FleetLog(self.platform, self.clock, event.operator)
        try:
            state = log.catch_up(FleetState())
            values = merge_patch(state.manifest_values, event.patch)
            state, _ = log.commit_manifest(
                state, values, event.base, event.operator, f"commit-{event.t}"
            )
            version, new_digest = state.manifest_version, digest(state.manifest_values)
        except ManifestConflictError:
            version, new_digest = None, ""
        except STORE_ERRORS:
            # The operator retries the commit with the same id.
            del self._commits[id(event)]
            retry_at = self.clock.monotonic() + COMMIT_RETRY_DELAY_S
            self.schedule(retry_at, self._commit, event)
            return
        finally:
            self._before_next_write = None
        self.observe(
            "commit",
            operator=event.operator,
            base=event.base,
            version=version,
            digest=new_digest,
        )

    # The planner.

    def _tick(self, contender):
        now = self.clock.monotonic()
        if now < contender.paused_until:
            self.schedule(contender.paused_until, self._resume, contender)
            return
        if contender.lease.tick() and (self._drains or self._draining()):
            self._plan(contender)
        next_tick = max(self.clock.monotonic(), now + LEASE_TICK_INTERVAL_S)
        self.schedule(next_tick, self._tick, contender)

    def _draining(self):
        return any(
            not assignment.takes_work
            for process in self._followers[:1]
            for assignment in process.follower.state.assignments.values()
        )

    def _plan(self, contender):
        try:
            state = contender.log.catch_up(FleetState())
            items = []
            for drain in self._drains:
                current = state.assignments[drain.host]
                if current.takes_work and current.pool != drain.target:
                    body = {
                        "host": drain.host,
                        "epoch": current.epoch + 1,
                        "target": drain.target,
                        "reason": "trace",
                    }
                    items.append(("host_drain", body))
            if not items:
                self._drains.clear()
                items = self._advance_drains(contender, state)
        except StoreUnavailableError:
            return
        if items:
            self._append(contender, state, items)

    def _advance_drains(self, contender, state):
        senders = [
            SenderRow(process.name, process.data_centre, process.follower.state.seq)
            for process in self._followers
        ]
        listed = self.platform.hosts.hosts()
        now = self.clock.monotonic()
        epoch = contender.lease.epoch
        inputs = PlannerInputs(state, {}, senders, listed, epoch, now)
        tables = PlanTables(inputs, self.platform)
        advance_drains(tables)
        return tables.output.entries

    def _append(self, contender, state, items):
        """Append entries of a planner and observe those that are accepted."""
        lease = contender.lease
        try:
            entries = contender.log.append(state, items, lease=lease)
        except FencedError:
            lease.abandon()
            return
        except (ConflictError, StateOrderError, *STORE_ERRORS):
            return
        for entry in entries:
            self.observe(
                "planner_write",
                holder=contender.name,
                epoch=entry.planner_epoch,
                entry=entry.kind,
                seq=entry.seq,
            )

    def _resume(self, contender):
        """End a planner's pause with a write under the lease held before the pause."""
        try:
            state = contender.log.catch_up(FleetState())
            body = {"name": f"resumed-{self.clock.monotonic():g}", "what": "job"}
            self._append(contender, state, [("cancel", body)])
        except StoreUnavailableError:
            pass
        self._tick(contender)

    # Requests and their claims.

    def _arrive(self, arrival):
        self.observe("arrival", arrival.t, **arrival_fields(arrival))
        if arrival.idempotent:
            self._run_request(arrival, None)
            return
        claims = self._claims[arrival.entry]
        results = []
        first_id = arrival.request_id.removesuffix("-again")
        body_digest = request_digest("POST", f"/{arrival.service}", first_id.encode())
        request = make_request(arrival, arrival.t, arrival.t + arrival.deadline_s)
        claims.claim(request, body_digest, arrival.deadline_s, results.append)
        self._wait_for_writer(claims)
        self._handle_claim_result(arrival, results[0])

    def _handle_claim_result(self, arrival, result):
        if isinstance(result, Claim):
            if result.sendable(self.clock):
                self._run_request(arrival, result)
            else:
                self._claims[arrival.entry].release(result)
                self._wait_for_writer(self._claims[arrival.entry])
                self._answer(arrival, "refused", "deadline_passed", "not-run")
        elif isinstance(result, ClaimRefused):
            service = self.header.manifest["services"][arrival.service]
            store_unavailable = result.reason.value == "claims_unavailable"
            if store_unavailable and service.get("deduplicates"):
                self._run_request(arrival, None)
                return
            reason, state = result.reason.value, result.run_state.value
            self._answer(arrival, "refused", reason, state)
        else:
            self._answer(arrival, "ok", None, "ran")

    def _run_request(self, arrival, claim):
        now = self.clock.monotonic()
        if self._is_duplicate(arrival):
            self.schedule(now, self._finish, arrival, claim)
            return
        self.observe(
            "run",
            request_id=arrival.request_id,
            # This driver has no endpoint hosts; each service uses one made-up name.
            host=f"endpoint/{arrival.service}",
            pool=arrival.service,
            until=now + arrival.run_s,
        )
        self.schedule(now + arrival.run_s, self._finish, arrival, claim)

    def _is_duplicate(self, arrival):
        """
        Return whether the service deduplicates and has seen the key before.

        Also records the key as seen.
        """
        service = self.header.manifest["services"][arrival.service]
        if arrival.key is None or not service.get("deduplicates"):
            return False
        identity = (arrival.service, arrival.organisation, arrival.key)
        seen = identity in self._seen_keys
        self._seen_keys.add(identity)
        return seen

    def _finish(self, arrival, claim):
        if claim is not None:
            claims = self._claims[arrival.entry]
            claims.record(claim, Answer(200, "OK", [], b"done"))
            self._wait_for_writer(claims)
        self._answer(arrival, "ok", None, "ran")

    def _answer(self, arrival, outcome, reason, run_state):
        self.observe(
            "answer",
            request_id=arrival.request_id,
            outcome=outcome,
            reason=reason,
            run_state=run_state,
        )

    def _wait_for_writer(self, claims):
        """Wait until the claim writer, which is an actor, is idle."""
        while True:
            claims._writer.ask("settle")
            with claims._shared.lock:
                if not claims._shared.flushing:
                    return

    def retry_records(self):
        """Let the claim writers retry records that could not be stored."""
        for claims in self._claims.values():
            if claims._shared.unrecorded:
                claims.tick()
                self._wait_for_writer(claims)


@store_faults.register("store_down")
def start_store_down(replay, fault):
    """Make every store call fail without effect until the fault ends."""
    replay.platform.faults.down = True

    def end():
        replay.platform.faults.down = False
        replay.schedule(replay.clock.monotonic() + 1.0, replay.retry_records)

    replay.schedule(fault.t + fault.duration_s, end)


@store_faults.register("store_slow")
def start_store_slow(replay, fault):
    """Delay each store call by the fault's value in seconds."""
    replay.platform.faults.delay_s = fault.value
    replay.schedule(
        fault.t + fault.duration_s, setattr, replay.platform.faults, "delay_s", 0.0
    )


@store_faults.register("store_lost_answers")
def start_store_lost_answers(replay, fault):
    """Lose the responses to the share ``value`` of writes that took effect."""
    replay.lost_response_share = fault.value

    def end():
        replay.lost_response_share = 0.0
        replay.schedule(replay.clock.monotonic() + 1.0, replay.retry_records)

    replay.schedule(fault.t + fault.duration_s, end)


@store_faults.register("planner_paused")
def start_planner_paused(replay, fault):
    """Pause the process that holds the planner lease."""
    row = replay.platform.table._rows.get(LEASE_KEY)
    for contender in replay.contenders:
        if row is not None and contender.name == row.value["holder"]:
            contender.paused_until = fault.t + fault.duration_s


def observe_store(header, events, seed):
    """Replay a trace's store faults and return a :class:`ReplayReport`."""
    replay = StoreReplay(header, events, seed)
    return ReplayReport(header.name, replay.run())
