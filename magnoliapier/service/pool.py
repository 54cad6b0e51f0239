"""
Decides which hosts of one pool are released for moves and maintenance.

A pool stops placing work on endpoints whose hosts are to be maintained or are not
needed, releases them once nothing runs there, and reports how many more hosts it could
use.
"""

import msgspec

from magnoliapier.logs import get_logger
from magnoliapier.placement.limits import NO_LIMITS
from magnoliapier.pools.demand import ArrivalRate, SlidingMaximum, host_share
from magnoliapier.pools.need import NeedsInTurn, PoolNeed
from magnoliapier.pools.report import PoolReport
from magnoliapier.service.background import report_failure
from magnoliapier.submissions.progress import RunState

FIRST_SETTLING_S = 16.0  # keeps hosts until a first burst shows the need
SETTLING_S = 3.0  # after a takeover, which loses the recent arrivals
# A released endpoint that is unlisted for so long has left: the row of one that lives
# is written again sooner, and the platform has carried out all orders for its host.
RELEASE_MEMORY_S = 10.0
# A returned host is kept for so long, so that it is not released again for a need that
# hosts under way will meet.
RETURNED_KEEP_S = 3.0

log = get_logger(__name__)


class Release(msgspec.Struct, frozen=True):
    """
    The release of an endpoint's host, under a number that the pool uses once.

    ``at_ms`` is when it was made, in ms on the table's clock, 0 if unknown.
    """

    host: str
    number: int
    at_ms: int = 0


class UnlistedRelease(msgspec.Struct, frozen=True):
    """A release whose endpoint is unlisted since a monotonic time in seconds."""

    release: Release
    since: float


class PoolManager:
    """
    Decides which endpoints of a pool are evacuated and released.

    ``durations`` estimates how long tasks take. ``first_holder`` is whether no other
    host has held the shard before. ``has_standby()`` returns whether there is a standby
    pool, to which all released hosts are offered. ``released`` maps the ids of listed
    endpoints to their Releases; such an endpoint is used again only once the fleet
    controller has returned it, because it may act on its host at any moment until then.
    ``table_ms(now)`` returns a value that the table's clock has not passed at ``now``.
    """

    def __init__(
        self, service, durations, first_holder, has_standby, table_ms=lambda now: 0
    ):
        self._settling_s = FIRST_SETTLING_S if first_holder else SETTLING_S
        self._service = service
        self._durations = durations
        self._has_standby = has_standby
        self._table_ms = table_ms
        self._need_window = SlidingMaximum()
        self._arrivals = ArrivalRate()
        self._host_capacity = None
        self._first_update_at = None
        self.released = {}
        self._last_release = 0
        self._returned_at = {}
        self._unlisted = {}
        self._wanted = 0
        self._hosts = 0
        self._further_needs = ()
        self._needs_in_turn = NeedsInTurn()
        self._need = None
        self._limits = NO_LIMITS

    def restore(self, report):
        """Restore the released endpoints from the report of an earlier holder."""
        self._last_release = report.last_release
        self.released = {
            endpoint_id: Release(
                host,
                report.release_number(endpoint_id),
                report.released_ms.get(endpoint_id, 0),
            )
            for endpoint_id, host in report.released.items()
        }

    def report(self):
        """Return the PoolReport to store."""
        return PoolReport(
            {endpoint_id: r.host for endpoint_id, r in self.released.items()},
            self._wanted,
            self._hosts,
            self._further_needs,
            {endpoint_id: r.number for endpoint_id, r in self.released.items()},
            self._last_release,
            {endpoint_id: r.at_ms for endpoint_id, r in self.released.items()},
        )

    def take_back(self, returned, now):
        """
        Use the endpoints again that the fleet controller has returned.

        ``returned`` maps their ids to numbers: it uses no release up to that number.
        """
        # Numbers are not used twice, also if the report of the last holder is lost.
        self._last_release = max(self._last_release, *returned.values(), 0)
        for endpoint_id, number in returned.items():
            release = self.released.get(endpoint_id)
            if release is None or release.number > number:
                continue
            del self.released[endpoint_id]
            self._returned_at[endpoint_id] = now
            log.info(
                "endpoint_taken_back",
                endpoint=endpoint_id,
                host=release.host,
                service=self._service,
            )

    def submission_arrived(self, progress, now):
        """
        Add the work of a new submission to the arrival rate.

        Work beyond a limit does not count: hosts would not let it start.
        """
        if self._host_capacity is None or progress.submission.long_running:
            return
        host_seconds = 0.0
        for step in progress.submission.steps:
            if self._need is not None and not self._need.helped_by_any(step):
                continue
            if not self._limits.may_need_hosts(progress, step):
                continue
            host_seconds += step.task_count * self._host_seconds(progress, step)
        self._arrivals.add(host_seconds, now)

    def _host_seconds(self, progress, step):
        """Return the expected host-seconds of one task of a step."""
        duration_s = self._durations.task_ms(progress.queue.name, step) / 1000
        return host_share(step.resources, self._host_capacity) * duration_s

    def update(
        self,
        sessions,
        progresses,
        to_maintain,
        wanted_by_others,
        now,
        limits=NO_LIMITS,
        keeps=lambda endpoint_id: False,
    ):
        """
        Mark endpoints as leaving or released; return those to evacuate for maintenance.

        ``sessions`` are those of listed endpoints, ``to_maintain`` holds host names.
        ``wanted_by_others`` is how many hosts the other pools want. ``limits`` are
        those of the scheduling pass that follows. ``keeps(endpoint_id)`` returns
        whether no other pool can get the endpoint's host now.
        """
        self._limits = limits
        self._track_released(sessions, now)
        staying = []
        evacuating = []
        for session in sessions:
            endpoint_id = session.endpoint_id
            session.released = endpoint_id in self.released
            if session.released:
                continue
            session.leaving = session.record.host in to_maintain
            if session.leaving:
                evacuating.append(session)
            elif session.belongs_to_pool():
                staying.append(session)
        need = self._hosts_needed(staying, progresses, now)
        if self._first_update_at is None:
            self._first_update_at = now
        self._need_window.observe(need, now)
        self._wanted = max(0, need - len(staying))
        self._hosts = len(staying)
        min_kept = self._min_kept(staying, wanted_by_others, now)
        movable = [s for s in staying if not keeps(s.endpoint_id)]
        surplus = len(staying) - max(min_kept, self._need_window.highest)
        chosen = self._choose_surplus(movable, surplus, now)
        self._release_idle([*evacuating, *chosen], now)
        return evacuating

    def _min_kept(self, staying, wanted_by_others, now):
        """Return how many hosts the pool keeps even if it needs fewer."""
        if not self._has_standby():
            # Nobody takes more hosts than are wanted.
            return max(0, len(staying) - max(0, wanted_by_others - len(self.released)))
        settling = now - self._first_update_at < self._settling_s
        return len(staying) if settling and not wanted_by_others else 0

    def _track_released(self, sessions, now):
        """
        Take released endpoints that are not listed out of the report, and back again.

        The row of an endpoint may expire and come back while the fleet controller acts
        on an earlier report.
        """
        present = {session.endpoint_id for session in sessions}
        for endpoint_id in self._returned_at.keys() - present:
            del self._returned_at[endpoint_id]
        for endpoint_id in self.released.keys() - present:
            release = self.released.pop(endpoint_id)
            self._unlisted[endpoint_id] = UnlistedRelease(release, now)
        for endpoint_id, unlisted in list(self._unlisted.items()):
            if endpoint_id in present:
                self.released[endpoint_id] = unlisted.release
            if endpoint_id in present or now - unlisted.since >= RELEASE_MEMORY_S:
                del self._unlisted[endpoint_id]

    def _hosts_needed(self, staying, progresses, now):
        """Return how many hosts the pool needs now."""
        for session in staying:
            self._host_capacity = session.record.capacity
            break
        # Without a standby pool the hosts of other pools are asked for, of any kind.
        need = self._need = PoolNeed(
            staying,
            self._host_capacity,
            self._durations,
            by_kind=self._has_standby(),
            limits=self._limits,
        )
        for progress in progresses:
            if not progress.cancelled and not progress.failed:
                self._contain_add(need, progress)
        self._record_further_needs(self._needs_in_turn.choose(need.further(), now))
        return need.hosts(self._arrivals.per_second(now))

    def _record_further_needs(self, needs):
        kinds = {(need.label, need.resources) for need in needs}
        if kinds != {(need.label, need.resources) for need in self._further_needs}:
            log.routine(
                "hosts_of_kind_wanted",
                service=self._service,
                kinds=len(kinds),
                first=needs[0] if needs else "",
            )
        self._further_needs = needs

    def _contain_add(self, need, progress):
        """
        Add the need of a submission.

        An unexpected error in one must not keep the pool from growing for the others.
        """
        try:
            need.add(progress)
        except Exception as error:
            report_failure("size_submission", error)

    def _returned_lately(self, session, now):
        returned_at = self._returned_at.get(session.endpoint_id)
        return returned_at is not None and now - returned_at < RETURNED_KEEP_S

    def _choose_surplus(self, movable, surplus, now):
        """Mark surplus endpoints with the fewest runs as leaving and return them."""
        if surplus <= 0:
            return []
        movable = [
            s
            for s in movable
            if not s.has_long_running and not self._returned_lately(s, now)
        ]
        movable.sort(key=lambda s: len(s.live))
        chosen = movable[:surplus]
        for session in chosen:
            session.leaving = True
        return chosen

    def _release_idle(self, leaving, now):
        for session in leaving:
            if not session.live and session.opened and session.record.host:
                session.released = True
                self._last_release += 1
                self.released[session.endpoint_id] = Release(
                    session.record.host, self._last_release, self._table_ms(now)
                )
                log.info(
                    "endpoint_released",
                    endpoint=session.endpoint_id,
                    host=session.record.host,
                    service=self._service,
                )


def runs_to_evacuate(session, could_place, now):
    """
    Return the live runs to stop in this cycle in order to evacuate an endpoint.

    Short tasks are stopped if they write checkpoints and run to their end otherwise.
    """
    long_running = long_running_to_evacuate(session, could_place, now)
    return long_running + [
        live
        for live in session.live.values()
        if live.run.state == RunState.CONFIRMED
        and live.step.checkpointing
        and not live.step.long_running
    ]


def long_running_to_evacuate(session, could_place, now):
    """
    Return the run of a long-running task to stop in this cycle, in a list, or none.

    Long-running tasks are stopped one at a time, each only if its step may miss another
    task now and ``could_place(live)`` finds room for it on another endpoint.
    """
    unavailable_counts = {}
    for live in confirmed_long_running(session):
        if may_interrupt(live, now, unavailable_counts) and could_place(live):
            return [live]
    return []


def long_running_to_save(session, could_hold):
    """
    Return the runs of long-running tasks to stop as their endpoint leaves soon.

    Otherwise they would end with it, and wait until its lease has lapsed.
    ``could_hold(live)`` tells whether another endpoint has room once its short tasks
    have ended: a long-running task is placed before others.
    """
    return [live for live in confirmed_long_running(session) if could_hold(live)]


def confirmed_long_running(session):
    """Return the confirmed runs of long-running tasks on an endpoint."""
    return [
        live
        for live in session.live.values()
        if live.run.state == RunState.CONFIRMED and live.step.long_running
    ]


def may_interrupt(live, now, unavailable_counts):
    """
    Return whether the step of a long-running task may miss it now.

    A step whose ``may_miss`` is 0 sets no limit. ``unavailable_counts`` keeps how many
    tasks of each step are unavailable, so that they are counted once for all its runs.
    """
    allowed = live.step.may_miss
    if not allowed:
        return True
    name = live.task.name
    key = (name.submission_id, name.occurrence, name.step)
    if key not in unavailable_counts:
        siblings = live.progress.siblings(live.task)
        unavailable_counts[key] = sum(not task.available(now) for task in siblings)
    others = unavailable_counts[key] - (not live.task.available(now))
    return others < allowed
