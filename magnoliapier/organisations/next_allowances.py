"""
The next allowances on the way to their targets that keep the limit at all times.

A service counts with the greater of its reported use and of all allowances that its
holder may still act on.
"""

import math
from functools import reduce

import msgspec

from magnoliapier.organisations.amounts import UNLIMITED, highest


class Share(msgspec.Struct, frozen=True):
    """
    One resource of one service.

    ``use`` is what its runs take, ``bound`` the most that its holder may still act on,
    ``allowed`` its present allowance, and ``target`` what it should get.
    """

    use: int
    bound: int
    allowed: int
    target: int


def next_allowed(limit, shares):
    """
    Return the allowed amounts of one resource that may be written next.

    ``shares`` are in the order in which they are raised towards their targets.
    """
    if limit >= UNLIMITED:
        return [UNLIMITED] * len(shares)
    allowed = [min(share.allowed, share.target) for share in shares]
    counted = [
        max(share.use, share.bound, amount)
        for share, amount in zip(shares, allowed, strict=True)
    ]
    room = limit - sum(counted)
    if room < 0:
        return _without_excess(limit, shares, allowed)
    for index, share in enumerate(shares):
        raised = min(share.target, counted[index] + room)
        room -= max(0, raised - counted[index])
        allowed[index] = max(allowed[index], raised)
    return allowed


def _without_excess(limit, shares, allowed):
    """
    Return allowances under which nothing starts above a limit that was lowered.

    A run may only start where another has left room under the limit: what is used
    above one service's allowance has to be missing in the allowances of others.
    """
    spare = [
        max(0, amount - share.use)
        for share, amount in zip(shares, allowed, strict=True)
    ]
    used = sum(share.use for share in shares)
    if used > limit:
        return [0] * len(shares)
    excess = (
        sum(max(s.use, amount) for s, amount in zip(shares, allowed, strict=True))
        - limit
    )
    if excess <= 0:
        return allowed
    return [
        amount - math.ceil(excess * part / sum(spare))
        for amount, part in zip(allowed, spare, strict=True)
    ]


class IssuedAmounts:
    """
    The amounts that one service was allowed in the rows that it may still act on.

    A stored row holds the maximum of these amounts only. As each amount is known here
    with the number of its row, a late acknowledgement frees room even if newer rows
    have lowered the allowance again.

    Example::

        issued = IssuedAmounts(ServiceAllowance(allowed, bound, since=7))
        issued.add(9, lower)
        assert issued.bound(acknowledged=8) == allowed
    """

    def __init__(self, entry):
        self._amounts = [(entry.since, entry.allowed)]
        if entry.bound != entry.allowed:
            self._amounts.insert(0, (0, entry.bound))

    def add(self, number, amount):
        """Add what the row with a number allows."""
        if self._amounts[-1][1] != amount:
            self._amounts.append((number, amount))

    def bound(self, acknowledged):
        """Return the most that the holder may act on after acknowledging a row."""
        while len(self._amounts) > 1 and self._amounts[1][0] <= acknowledged:
            del self._amounts[0]
        return reduce(highest, (amount for _, amount in self._amounts))
