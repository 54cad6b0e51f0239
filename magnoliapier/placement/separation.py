"""
Which best-effort runs to move away from tasks that they slow down.

A best-effort task that has to be throttled beside a latency-sensitive one moves to an
endpoint where it can run at full speed. It is stopped, and starts again there.
"""

from magnoliapier.submissions.progress import RunState

THROTTLED_PERCENT = 75  # of full speed; below it, a task gains by a move
THROTTLED_S = 3.0  # a shorter throttling costs less than a restart
MOVE_GAP_S = 15.0  # between two moves of one task, as each costs a start
# A short task without checkpoints begins anew: its move must lose less than is left.
MAX_LOST_PERCENT = 50


class Separation:
    """
    Chooses the runs to move, at most one per endpoint and pass.

    Example::

        separation = Separation()
        separation.track(sessions, now)
        for move in separation.moves(
            sessions, neighbours, scheduler, may_interrupt, now
        ):
            session, live, target = move
    """

    def __init__(self):
        self._throttled_since = {}
        self._moved_at = {}

    def track(self, sessions, now):
        """Record since when runs have been throttled; return whether any may move."""
        before = self._throttled_since
        self._throttled_since = {
            _key(live): before.get(_key(live), now)
            for session in sessions
            for live in session.live.values()
            if _is_throttled(live)
        }
        return any(self._is_due(since, now) for since in self._throttled_since.values())

    def moves(self, sessions, neighbours, scheduler, may_interrupt, now):
        """
        Return (session, live run, target session) for each run to move.

        ``may_interrupt(live)`` tells whether the run may be stopped now. Two runs don't
        move to the same endpoint in one pass, as its room is for one.
        """
        self._forget_old_moves(now)
        moves = []
        targets = set()
        for session in sessions:
            due = [
                (neighbours.cost(session, live.step), live)
                for live in session.live.values()
                if self._may_move(live, now)
            ]
            due = [(cost, live) for cost, live in due if cost and may_interrupt(live)]
            if not due:
                continue
            _, live = max(due, key=lambda pair: pair[0])
            target = scheduler.endpoint_with_better_neighbours(session, live)
            if target is not None and target.endpoint_id not in targets:
                targets.add(target.endpoint_id)
                self._moved_at[live.task.name] = now
                moves.append((session, live, target))
        return moves

    def _is_due(self, since, now):
        return since is not None and now - since >= THROTTLED_S

    def _may_move(self, live, now):
        since = self._throttled_since.get(_key(live))
        return (
            self._is_due(since, now)
            and live.task.name not in self._moved_at
            and _is_throttled(live)
            and loses_little(live)
        )

    def _forget_old_moves(self, now):
        self._moved_at = {
            name: at for name, at in self._moved_at.items() if now - at < MOVE_GAP_S
        }


def _key(live):
    return (live.task.name, live.run.number)


def _is_throttled(live):
    return (
        live.step.fills
        and bool(live.step.image)
        and live.run.pace < THROTTLED_PERCENT
        and live.run.state == RunState.CONFIRMED
    )


def loses_little(live):
    """Return whether stopping a run loses less work than is left of it."""
    step = live.step
    if step.gang:
        return False  # its other members would end too
    if step.checkpointing or step.long_running:
        return True
    return live.run.percent < MAX_LOST_PERCENT
