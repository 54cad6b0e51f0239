"""
Whose turn it is to get room for a task or gang that needs more than its service's part.

Without turns, two gangs of different services could each hold a part of what the other
needs, and neither would start.
"""

import math

import msgspec

# How long room is kept free for a waiting task that needs more than is unused, and how
# long others then come first, as it may take long until the room comes free.
TURN_S = 4.0
PAUSE_S = 1.0
# While under half of the limit is in use, a submission that could start has to start
# within 3 s. So room is then kept free for tasks that need more than is unused for
# KEPT_S only, in periods of KEPT_S + OPEN_S; OPEN_S is the time it takes to give that
# room to other services.
KEPT_S = 1.0
OPEN_S = 2.0
HALF = 0.5  # of the limit, by the dominant share of what is in use


class Turn(msgspec.Struct):
    """
    The turn of a service whose waiting task lacks room. Times are seconds.

    It began at ``began``; after it, the service is paused until ``paused_until``.
    ``times_first`` counts the turns in which it came before all others.
    """

    began: float
    times_first: int = 0
    paused_until: float = -math.inf


class Turns:
    """
    The order in which services come first whose waiting tasks lack room.

    Example::

        turns = Turns()
        order, paused = turns.update({"desk", "board"}, {"desk"}, 0.3, now=3.0)
    """

    def __init__(self):
        self._turns = {}
        self._half_used_at = 0.0

    def update(self, stuck, too_large, used_share, now):
        """
        Return the services that are stuck, in their order, and the paused ones.

        ``stuck`` are the services whose largest waiting task or gang lacks room,
        ``too_large`` those whose task needs more than is unused, and ``used_share``
        is the share of the limit that is in use on all services.
        """
        if used_share >= HALF:
            self._half_used_at = now
        self._turns = {n: self._turns.get(n) or Turn(now) for n in sorted(stuck)}
        order = self._order(now)
        for name in order:
            turn = self._turns[name]
            if now - turn.began >= TURN_S:
                turn.paused_until = turn.began = now + PAUSE_S
                turn.times_first += name == order[0]
        paused = {n for n, turn in self._turns.items() if now < turn.paused_until}
        if (now - self._half_used_at) % (KEPT_S + OPEN_S) >= KEPT_S:
            paused |= too_large
        return [name for name in self._order(now) if name not in paused], paused

    def _order(self, now):
        in_turn = (n for n, turn in self._turns.items() if now >= turn.paused_until)
        return sorted(in_turn, key=lambda name: self._turns[name].times_first)
