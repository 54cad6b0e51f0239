"""Throttles and moves best-effort tasks that slow down latency-sensitive ones."""

from magnoliapier.logs import get_logger
from magnoliapier.placement.interference import next_paces
from magnoliapier.placement.neighbours import Neighbours
from magnoliapier.placement.separation import Separation
from magnoliapier.pools.need import MAX_LABEL_CHARS
from magnoliapier.service.background import report_failure
from magnoliapier.service.pool import may_interrupt
from magnoliapier.submissions.progress import RunState

PACE_INTERVAL_S = 0.4  # between two changes of the paces
NOTICE_GAP_S = 30.0  # between two lines about one pair, whose effect comes and goes
MAX_PAIRS = 100  # with a gauge each, which stays while the process runs

log = get_logger(__name__)


class PaceControl:
    """
    Sets the paces of one shard's best-effort runs, and moves those that stay throttled.

    ``tables`` are the shard's ShardTables, and ``may_act()`` returns whether orders are
    allowed now. ``neighbours`` are the Neighbours for the scheduler.

    Example::

        pacing = PaceControl("desk", tables, metrics, may_act)
        pacing.adjust(now)
        pacing.separate(make_scheduler, now)
    """

    def __init__(self, service, tables, metrics, may_act):
        self.neighbours = Neighbours()
        self._service = service
        self._tables = tables
        self._metrics = metrics
        self._may_act = may_act
        self._separation = Separation()
        self._adjusted_at = 0.0
        self._noticed_at = {}
        self._shown = {}
        self._may_separate = False

    def adjust(self, now):
        """Learn from the last listings and set paces, once per interval."""
        if now - self._adjusted_at < PACE_INTERVAL_S:
            return
        self._adjusted_at = now
        sessions = self._tables.sessions.values()
        try:
            self._learn(sessions, now)
        except Exception as error:  # throttling must go on without the model
            report_failure("interference", error, self._metrics)
        for session in sessions:
            for live, pace in next_paces(list(session.live.values()), self.neighbours):
                confirmed = live.run.state == RunState.CONFIRMED
                changed = pace != live.run.pace or not live.run.pace_known
                if changed and confirmed and self._may_act():
                    session.order_pace(live, pace)
        self._may_separate = self._separation.track(sessions, now)

    def _learn(self, sessions, now):
        for session in sessions:
            self.neighbours.observe(session, now)
        self._report(self.neighbours.learn(now), now)

    def separate(self, make_scheduler, now):
        """Stop throttled runs that can start again beside better neighbours."""
        if not self._may_separate or not self.neighbours.effects:
            return
        self._may_separate = False
        answering = [
            session
            for session in self._tables.sessions.values()
            if session.failing_since is None
        ]
        # Each stop changes the count of unavailable tasks, so no check reuses it.
        moves = self._separation.moves(
            answering,
            self.neighbours,
            make_scheduler(),
            lambda live: may_interrupt(live, now, {}),
            now,
        )
        for session, live, target in moves:
            if may_interrupt(live, now, {}):
                self._move(session, live, target)

    def _move(self, session, live, target):
        self._metrics.count("moves_for_interference_total", service=self._service)
        log.info(
            "moved_for_interference",
            task=live.task.name,
            run=live.run.number,
            endpoint=session.endpoint_id,
            room_at=target.endpoint_id,
            image=live.step.image[:MAX_LABEL_CHARS],
            pace=live.run.pace,
        )
        session.order_stop(live, "interference")

    def _report(self, new_pairs, now):
        """Log the pairs that are noticed anew, and set the gauges."""
        effects = self.neighbours.effects
        for pair in new_pairs:
            if now - self._noticed_at.get(pair, float("-inf")) >= NOTICE_GAP_S:
                self._noticed_at[pair] = now
                log.info(
                    "interference_noticed",
                    service=self._service,
                    victim=pair[0][:MAX_LABEL_CHARS],
                    neighbour=pair[1][:MAX_LABEL_CHARS],
                    effect=round(effects[pair], 2),
                )
        if len(self._noticed_at) > MAX_PAIRS:
            self._noticed_at = {
                pair: at
                for pair, at in self._noticed_at.items()
                if now - at < NOTICE_GAP_S
            }
        for pair in effects.keys() | self._shown.keys():
            self._show(pair, round(effects.get(pair, 0.0), 2))

    def _show(self, pair, effect):
        if self._shown.get(pair) == effect:
            return
        if pair not in self._shown and len(self._shown) >= MAX_PAIRS:
            return
        self._shown[pair] = effect
        self._metrics.gauge(
            "interference",
            effect,
            service=self._service,
            victim=pair[0][:MAX_LABEL_CHARS],
            neighbour=pair[1][:MAX_LABEL_CHARS],
        )
