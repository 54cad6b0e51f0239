"""
One pool's side of moving and maintaining hosts.

It empties endpoints whose hosts are to be maintained or are not needed, releases them
once nothing runs there, and says how many more hosts the pool could use.
"""

from magnoliapier.logs import get_logger
from magnoliapier.pools.demand import (
    ArrivalRate,
    SlidingMaximum,
    host_share,
    hosts_needed,
    min_endpoints_for,
)
from magnoliapier.pools.report import PoolReport
from magnoliapier.submissions.progress import RunState

FIRST_SETTLING_S = 16.0  # before the first burst shows what the pool needs
SETTLING_S = 3.0  # after a takeover the recent arrivals are not known

log = get_logger(__name__)


class PoolKeeper:
    """
    Decides which endpoints of a pool are emptied and released.

    ``released`` maps endpoints to hosts; an entry stays until the endpoint has left,
    because the fleet controller may act on it at any moment.
    """

    def __init__(self, service, durations, first):
        self._settling_s = FIRST_SETTLING_S if first else SETTLING_S
        self._service = service
        self._durations = durations
        self._window = SlidingMaximum()
        self._arrivals = ArrivalRate()
        self._capacity = None
        self._taken_at = None
        self.released = {}
        self._wanted = 0
        self._hosts = 0

    def restore(self, report):
        """Take over what an earlier holder has released."""
        self.released = dict(report.released)

    def report(self):
        """Return the report to store."""
        return PoolReport(dict(self.released), self._wanted, self._hosts)

    def arrived(self, progress, now):
        """Take note of a new submission."""
        if self._capacity is None or progress.submission.long_running:
            return
        work = 0.0
        for step in progress.submission.steps:
            work += step.task_count * self._work(progress, step)
        self._arrivals.add(work, now)

    def _work(self, progress, step):
        """Return the host-seconds of a task of a step."""
        seconds = self._durations.task_ms(progress.queue.name, step) / 1000
        return host_share(step.resources, self._capacity) * seconds

    def update(self, sessions, progresses, to_maintain, others_want, now):
        """
        Mark endpoints as leaving or released; return those to empty for maintenance.

        ``sessions`` are those of listed endpoints, ``to_maintain`` names hosts.
        ``others_want`` tells that another pool wants hosts.
        """
        self._forget_left(sessions)
        staying = []
        emptying = []
        for session in sessions:
            endpoint_id = session.endpoint_id
            session.released = endpoint_id in self.released
            if session.released:
                continue
            session.leaving = session.record.host in to_maintain
            if session.leaving:
                emptying.append(session)
            elif session.usable_or_opening():
                staying.append(session)
        need = self._need(staying, progresses, now)
        if self._taken_at is None:
            self._taken_at = now
        settling = now - self._taken_at < self._settling_s
        held = len(staying) if settling and not others_want else 0
        self._window.observe(need, now)
        self._wanted = max(0, need - len(staying))
        self._hosts = len(staying)
        self._release_empty([*emptying, *self._surplus(staying, held)])
        return emptying

    def _forget_left(self, sessions):
        present = {session.endpoint_id for session in sessions}
        for endpoint_id in list(self.released):
            if endpoint_id not in present:
                del self.released[endpoint_id]

    def _need(self, staying, progresses, now):
        """Return how many hosts the pool needs now."""
        for session in staying:
            self._capacity = session.record.capacity
            break
        lasting = waiting = 0.0
        spread = 1
        for progress in progresses:
            if progress.cancelled or progress.failed:
                continue
            spread = max(spread, min_endpoints_for(progress))
            if self._capacity is None:
                continue
            if progress.submission.long_running:
                lasting += sum(
                    host_share(task.step.resources, self._capacity)
                    for task in progress.tasks()
                )
            else:
                waiting += sum(
                    self._work(progress, task.step)
                    for task in progress.startable_tasks()
                )
        return hosts_needed(lasting, self._arrivals.per_second(now), waiting, spread)

    def _surplus(self, staying, held):
        """Return the endpoints to give away: those with the least work."""
        surplus = len(staying) - max(held, self._window.highest)
        if surplus <= 0:
            return []
        movable = [s for s in staying if not s.runs_long]
        movable.sort(key=lambda s: len(s.live))
        chosen = movable[:surplus]
        for session in chosen:
            session.leaving = True
        return chosen

    def _release_empty(self, emptying):
        for session in emptying:
            if not session.live and session.opened and session.record.host:
                session.released = True
                self.released[session.endpoint_id] = session.record.host
                log.info(
                    "endpoint_released",
                    endpoint=session.endpoint_id,
                    host=session.record.host,
                    service=self._service,
                )


def evacuations(session, sessions_with_room, now):
    """
    Return the live runs to stop now so that an endpoint empties.

    A long-running task is stopped only while fewer of its step are away than may be,
    and once there is room for it elsewhere. Short tasks without checkpoints run to
    their end.
    """
    stops = []
    for live in session.live.values():
        if live.run.state != RunState.CONFIRMED:
            continue
        if live.step.long_running:
            if may_interrupt(live, now) and sessions_with_room(live):
                stops.append(live)
                return stops
        elif live.step.checkpointing:
            stops.append(live)
    return stops


def may_interrupt(live, now):
    """Return whether a long-running task may be away now."""
    allowed = live.step.may_miss
    if not allowed:
        return True
    siblings = live.progress.siblings(live.task)
    away = sum(not task.available(now) for task in siblings if task is not live.task)
    return away < allowed
