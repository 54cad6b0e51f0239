"""
Virtual-time driver of the parts that agree through the platform's table service.

It runs the real claims, fleet log, followers, planner lease and advance of drains
over an in-memory platform with the store faults of a trace. All processes share
one clock and run one after the other, so a slow store delays them in sum: the
delay of a trace must stay well below what one process could bear alone. Endpoints
run each request for its true time; slots and queues belong to the request driver.

A commit that follows another on the same base within RACE_S is run in the middle
of the first one's write. A paused planner resumes inside a write that it began
before the pause, which is the case that fencing exists for.
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

POLL_S = 0.5
LEASE_TICK_S = 1.0
CONTENDERS = 2
RACE_S = 0.25
COMMIT_RETRY_S = 30.0
# Work that is in flight at the end of a trace is followed for this long.
SETTLE_S = 60.0
STORE_ERRORS = (StoreUnavailableError, StoreOutcomeUnknownError)


class Contender:
    """One control process that contends for the planner lease."""

    def __init__(self, name, platform, clock):
        self.name = name
        self.lease = PlannerLease(platform.table, clock, name)
        self.log = FleetLog(platform, clock, name)
        self.paused_until = -1.0


class Follower:
    """One control process that follows the log; ``version`` is the last reported."""

    def __init__(self, name, data_centre, platform, clock):
        self.name = name
        self.data_centre = data_centre
        self.log = FleetLog(platform, clock, name)
        self.follower = LogFollower(clock)
        self.version = 0
        self.assignments = {}


class StoreReplay:
    """Runs one trace; see :func:`replay_store`."""

    def __init__(self, header, events, seed):
        self.header = header
        self.clock = VirtualClock()
        self.platform = MemoryPlatform(self.clock)
        self.observations = []
        self.lost_share = 0.0
        self._events = events
        self._random = random.Random(seed)
        self._heap = []
        self._numbers = itertools.count()
        self._end = header.duration_s + SETTLE_S
        self._drains = []
        self._commits = {}
        self._between = None
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
            while self._heap:
                instant, _, call, arguments = heapq.heappop(self._heap)
                if instant > self._end:
                    break
                self.clock.advance_to(instant)
                call(*arguments)
        finally:
            for claims in self._claims.values():
                claims.close()
        return self.observations

    def schedule(self, instant, call, *arguments):
        """Call ``call`` at the given virtual time."""
        heapq.heappush(self._heap, (instant, next(self._numbers), call, arguments))

    def observe(self, kind, t=None, **fields):
        """Note that something happens, now or at ``t``."""
        instant = self.clock.monotonic() if t is None else t
        self.observations.append(Observation(instant, kind, fields))

    def _start(self):
        for name, host in self.header.manifest["hosts"].items():
            listed = ListedHost(name, HostStatus.LIVE, host["address"])
            self.platform.hosts.set_host(listed)
        log = FleetLog(self.platform, self.clock, "operator")
        log.commit_manifest(FleetState(), self.header.manifest, 0)
        entry_hosts = sorted(self.header.entry_hosts.items())
        for number, (name, centre) in enumerate(entry_hosts):
            follower = Follower(name, centre, self.platform, self.clock)
            self._followers.append(follower)
            self._claims[name] = Claims(
                self.platform.table, self.clock, Metrics(), name, 1
            )
            phase = POLL_S * number / len(entry_hosts)
            self.schedule(phase, self._poll, follower)
            if number < CONTENDERS:
                contender = Contender(name, self.platform, self.clock)
                self.contenders.append(contender)
                self.schedule(LEASE_TICK_S * number / 2, self._tick, contender)

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
        between, self._between = self._between, None
        if between is not None:
            between()
        faults = self.platform.faults
        if self._random.random() < self.lost_share:
            faults.lose_answers = 1
        try:
            return self._transact(writes, checks)
        finally:
            # A write that failed for another reason leaves the fault unused.
            faults.lose_answers = 0

    # Followers of the log.

    def _poll(self, peer):
        follower = peer.follower
        try:
            # An unchanged head is not read again, which keeps long traces fast.
            if self._head_seq() != follower.staged_seq:
                read = peer.log.read_after(follower.staged_seq)
                if read.snapshot is not None:
                    follower.offer_state(read.snapshot)
                follower.offer_entries(read.entries)
        except StoreUnavailableError:
            pass
        staged = [
            other.follower.staged_seq
            for other in self._followers
            if other is not peer and other.data_centre == peer.data_centre
        ]
        if follower.activate(max(staged, default=None)):
            self._observe_state(peer)
        self.schedule(self.clock.monotonic() + POLL_S, self._poll, peer)

    def _head_seq(self):
        row = self.platform.table._rows.get("log/head")
        return row.value["seq"] if row else 0

    def _observe_state(self, peer):
        state = peer.follower.state
        if state.manifest_version != peer.version:
            peer.version = state.manifest_version
            self.observe(
                "manifest",
                where=peer.name,
                version=peer.version,
                digest=digest(state.manifest_values),
            )
        for host, assignment in state.assignments.items():
            if peer.assignments.get(host) != assignment:
                self.observe(
                    "assign",
                    host=host,
                    pool=assignment.pool,
                    state=assignment.state.value,
                    view=peer.name,
                )
        peer.assignments = dict(state.assignments)

    # Operators.

    def _commit(self, event):
        if self._commits.get(id(event)) == "begun":
            return
        self._commits[id(event)] = "begun"
        rival = next(
            (
                other
                for other in self._events
                if isinstance(other, Commit)
                and other is not event
                and other.base == event.base
                and 0 <= other.t - event.t <= RACE_S
                and id(other) not in self._commits
            ),
            None,
        )
        if rival is not None:
            self._between = lambda: self._commit(rival)
        log = FleetLog(self.platform, self.clock, event.operator)
        try:
            state = log.catch_up(FleetState())
            values = merge_patch(state.manifest_values, event.patch)
            state, _ = log.commit_manifest(
                state, values, event.base, event.operator, f"commit-{event.t}"
            )
            version, text = state.manifest_version, digest(state.manifest_values)
        except ManifestConflictError:
            version, text = None, ""
        except STORE_ERRORS:
            # The operator repeats the commit under the same id.
            del self._commits[id(event)]
            again = self.clock.monotonic() + COMMIT_RETRY_S
            self.schedule(again, self._commit, event)
            return
        finally:
            self._between = None
        self.observe(
            "commit",
            operator=event.operator,
            base=event.base,
            version=version,
            digest=text,
        )

    # The planner.

    def _tick(self, contender):
        now = self.clock.monotonic()
        if now < contender.paused_until:
            self.schedule(contender.paused_until, self._resume, contender)
            return
        if contender.lease.tick() and (self._drains or self._draining()):
            self._plan(contender)
        again = max(self.clock.monotonic(), now + LEASE_TICK_S)
        self.schedule(again, self._tick, contender)

    def _draining(self):
        return any(
            not assignment.takes_work
            for peer in self._followers[:1]
            for assignment in peer.follower.state.assignments.values()
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
            SenderRow(peer.name, peer.data_centre, peer.follower.state.seq)
            for peer in self._followers
        ]
        listed = self.platform.hosts.hosts()
        now = self.clock.monotonic()
        epoch = contender.lease.epoch
        inputs = PlannerInputs(state, {}, senders, listed, epoch, now)
        tables = PlanTables(inputs, self.platform)
        advance_drains(tables)
        return tables.output.entries

    def _append(self, contender, state, items):
        """Append entries of a planner; only those that are accepted are observed."""
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
        """End a pause inside a write that was decided before it."""
        try:
            state = contender.log.catch_up(FleetState())
            body = {"name": f"resumed-{self.clock.monotonic():g}", "what": "job"}
            self._append(contender, state, [("cancel", body)])
        except StoreUnavailableError:
            pass
        self._tick(contender)

    # Claims.

    def _arrive(self, arrival):
        self.observe("arrival", arrival.t, **arrival_fields(arrival))
        if arrival.idempotent:
            self._run_request(arrival, None)
            return
        claims = self._claims[arrival.entry]
        results = []
        first_id = arrival.request_id.removesuffix("-again")
        text = request_digest("POST", f"/{arrival.service}", first_id.encode())
        request = make_request(arrival, arrival.t, arrival.t + arrival.deadline_s)
        claims.claim(request, text, arrival.deadline_s, results.append)
        self._settle(claims)
        self._carry_out(arrival, results[0])

    def _carry_out(self, arrival, result):
        if isinstance(result, Claim):
            if result.sendable(self.clock):
                self._run_request(arrival, result)
            else:
                self._claims[arrival.entry].release(result)
                self._settle(self._claims[arrival.entry])
                self._answer(arrival, "refused", "deadline_passed", "not-run")
        elif isinstance(result, ClaimRefused):
            service = self.header.manifest["services"][arrival.service]
            away = result.reason.value == "claims_unavailable"
            if away and service.get("deduplicates"):
                self._run_request(arrival, None)
                return
            reason, state = result.reason.value, result.run_state.value
            self._answer(arrival, "refused", reason, state)
        else:
            self._answer(arrival, "ok", None, "ran")

    def _run_request(self, arrival, claim):
        now = self.clock.monotonic()
        if self._is_discarded(arrival):
            self.schedule(now, self._finish, arrival, claim)
            return
        self.observe(
            "run",
            request_id=arrival.request_id,
            # This driver has no endpoint hosts; one stands for each service.
            host=f"endpoint/{arrival.service}",
            pool=arrival.service,
            until=now + arrival.run_s,
        )
        self.schedule(now + arrival.run_s, self._finish, arrival, claim)

    def _is_discarded(self, arrival):
        """Return whether a service that deduplicates has seen the key before."""
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
            self._settle(claims)
        self._answer(arrival, "ok", None, "ran")

    def _answer(self, arrival, outcome, reason, run_state):
        self.observe(
            "answer",
            request_id=arrival.request_id,
            outcome=outcome,
            reason=reason,
            run_state=run_state,
        )

    def _settle(self, claims):
        """Wait until the claim writer, which is an actor, has nothing to do."""
        while True:
            claims._writer.ask("settle")
            with claims._shared.lock:
                if not claims._shared.flushing:
                    return

    def retry_records(self):
        """Let the claim writers repeat records that the store refused."""
        for claims in self._claims.values():
            if claims._shared.unrecorded:
                claims.tick()
                self._settle(claims)


@store_faults.register("store_down")
def start_store_down(replay, fault):
    """Let every call fail without effect until the end of the fault."""
    replay.platform.faults.down = True

    def end():
        replay.platform.faults.down = False
        replay.schedule(replay.clock.monotonic() + 1.0, replay.retry_records)

    replay.schedule(fault.t + fault.duration_s, end)


@store_faults.register("store_slow")
def start_store_slow(replay, fault):
    """Delay each call by the fault's value in seconds."""
    replay.platform.faults.delay_s = fault.value
    replay.schedule(
        fault.t + fault.duration_s, setattr, replay.platform.faults, "delay_s", 0.0
    )


@store_faults.register("store_lost_answers")
def start_lost_answers(replay, fault):
    """Lose the answers of the share ``value`` of writes after they took effect."""
    replay.lost_share = fault.value

    def end():
        replay.lost_share = 0.0
        replay.schedule(replay.clock.monotonic() + 1.0, replay.retry_records)

    replay.schedule(fault.t + fault.duration_s, end)


@store_faults.register("planner_paused")
def start_planner_paused(replay, fault):
    """Pause the process that holds the lease."""
    row = replay.platform.table._rows.get(LEASE_KEY)
    for contender in replay.contenders:
        if row is not None and contender.name == row.value["holder"]:
            contender.paused_until = fault.t + fault.duration_s


def observe_store(header, events, seed):
    """Replay a trace's store faults and return a :class:`ReplayReport`."""
    replay = StoreReplay(header, events, seed)
    return ReplayReport(header.name, replay.run())
