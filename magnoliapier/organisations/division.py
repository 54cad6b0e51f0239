"""
How much of an organisation's limit each service should get.

Every service first gets what its runs take and its waiting tasks could use. If that is
more than the limit, each gets room for one task or gang in turn, and the rest goes to
the service with the lowest share (dominant resource fairness), in amounts that admit a
task. What nobody asks for is spread over all services in advance, because asking for
more takes about half a second and a burst lasts 4.5 s.
"""

import msgspec

from magnoliapier.organisations.amounts import (
    NOTHING,
    UNLIMITED,
    admits,
    combine,
    dominant_share,
    highest,
    lowest,
    minus,
    plus,
    times,
    total,
    values,
)
from magnoliapier.organisations.rows import OrganisationUse
from magnoliapier.submissions.model import Resources, fits

# The number of portions in which a service's demand is granted: few enough to be quick,
# and enough to divide a limit about evenly.
PORTIONS = 16
# The share of the spare room that is spread evenly, so that a service that has long
# been idle can start a burst too. The rest is spread by recent demand.
EVEN_SHARE = 0.5
# Spare room is given in whole numbers of these parts of the limit. Recent demand fades
# all the time, and would otherwise change the allowances all the time. What remains is
# given on demand.
SPARE_PARTS = 32


class ServiceDemand(msgspec.Struct, frozen=True):
    """
    What a service reported, and how much it used or asked for recently.

    ``recent`` is a dominant share. ``in_turn`` is whether room for one more task or
    gang comes before the shares of others, and ``paused`` whether nothing is kept free
    for tasks that could not start now. ``typical`` is what its tasks or gangs required
    lately.
    """

    report: OrganisationUse
    recent: float = 0.0
    in_turn: bool = False
    paused: bool = False
    typical: Resources = NOTHING

    def wanted(self, limit):
        """Return what the service could use of a limit."""
        return lowest(plus(self.report.use, self.report.demand), limit)


def divide(limit, demands):
    """
    Return the target of each service; their sum is within ``limit``.

    ``demands`` maps services to ServiceDemands, first those whose turn comes first.
    """
    wanted = {name: demand.wanted(limit) for name, demand in demands.items()}
    if not fits(total(wanted.values()), limit):
        return _share_out(limit, demands, wanted)
    spare = minus(limit, total(wanted.values()))
    return {
        name: plus(amount, _part_of(spare, limit, demands[name], demands.values()))
        for name, amount in wanted.items()
    }


def _part_of(spare, limit, demand, demands):
    """
    Return the part of the spare room that a service gets in advance.

    A part that admits none of the service's typical tasks is left out: it would have
    to be taken back for others.
    """
    recent = sum(each.recent for each in demands)
    share = 1 / len(demands)
    if recent:
        share = EVEN_SHARE * share + (1 - EVEN_SHARE) * demand.recent / recent
    part = combine(
        lambda value, limited: rounded(int(value * share), limited // SPARE_PARTS),
        spare,
        limit,
    )
    return part if admits(demand.typical, part) else NOTHING


def rounded(value, unit):
    """Return the highest multiple of a unit that is not above a value."""
    return value - value % unit if unit else value


def _share_out(limit, demands, wanted):
    """Return targets of services that want more than the limit together."""
    # First what long-running tasks take, as they don't end to make room.
    targets = {
        name: lowest(demand.report.lasting, limit) for name, demand in demands.items()
    }
    left = minus(limit, total(targets.values()))
    for name, demand in demands.items():
        first = lowest(plus(demand.report.use, demand.report.largest), limit)
        more = minus(first, targets[name])
        startable = fits(demand.report.largest, limit)
        if demand.in_turn and startable and fits(more, left):
            targets[name] = plus(targets[name], more)
            left = minus(left, more)
    used = total(demand.report.use for demand in demands.values())
    unused = minus(limit, used)
    wanted = dict(wanted)
    for name, demand in demands.items():
        if not _can_use_more(demand, limit, unused):
            wanted[name] = lowest(demand.report.use, limit)
    asking = set(demands)
    portions = {
        name: portion_of(wanted[name], demands[name].report.smallest) for name in asking
    }
    shares = {name: dominant_share(targets[name], limit) for name in asking}
    while asking:
        name = min(asking, key=lambda each: (shares[each], each))
        missing = minus(wanted[name], targets[name])
        for step in (portions[name], demands[name].report.smallest):
            portion = lowest(step, missing)
            if portion != NOTHING and fits(portion, left):
                targets[name] = plus(targets[name], portion)
                left = minus(left, portion)
                shares[name] = dominant_share(targets[name], limit)
                break
        else:  # it needs no more, or what is left is too small
            asking.discard(name)
    return targets


def _can_use_more(demand, limit, unused):
    """Return whether further room lets a service start a task, now or later."""
    report = demand.report
    if demand.in_turn:
        return True
    if demand.paused:
        return fits(report.smallest, unused)
    return fits(plus(report.use, report.smallest), limit)


def portion_of(wanted, smallest):
    """Return a part of what is wanted: a whole number of the smallest tasks."""
    portion = combine(lambda value: -(-value // PORTIONS), wanted)
    if smallest == NOTHING:
        return portion
    counts = (
        -(-part // each)
        for part, each in zip(values(portion), values(smallest), strict=True)
        if each and part < UNLIMITED
    )
    return highest(portion, times(smallest, max(1, max(counts, default=1))))
