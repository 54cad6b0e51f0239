"""
Shares of endpoint slots among entry hosts, computed alike by all of them.

Every entry host runs the same function over the same reports, so the shares of an
endpoint add up to its slots without a coordinator, as far as the reports agree.
"""

import math
from collections import defaultdict
from dataclasses import dataclass

# The share of a data centre's slots that entry hosts of other data centres may
# be given, when its own do not need them.
SPILL_LIMIT = 0.5
# Reports come every 0.5 s; a peer is taken to fall back to its safe share after
# it missed three.
STALE_S = 2.0


@dataclass(frozen=True, slots=True)
class Member:
    """An entry host and the slots it needs; ``demand`` is None if unknown."""

    name: str
    data_centre: str
    demand: int | None


def split_evenly(total, weights):
    """
    Split an integer in proportion to weights, by the largest remainder.

    Ties go to the earlier name. ``weights`` maps names to numbers.
    """
    whole = sum(weights.values())
    if whole <= 0 or total <= 0:
        return dict.fromkeys(weights, 0)
    exact = {name: total * weight / whole for name, weight in weights.items()}
    parts = {name: math.floor(value) for name, value in exact.items()}
    order = sorted(weights, key=lambda name: (parts[name] - exact[name], name))
    for name in order[: total - sum(parts.values())]:
        parts[name] += 1
    return parts


def fill_level(total, demands):
    """
    Give each name up to its demand, max-min fair, in whole slots.

    Nobody gets more than its demand, and what is left over is not given out.
    """
    given = dict.fromkeys(demands, 0)
    wanting = {name: demand for name, demand in demands.items() if demand > 0}
    left = total
    while wanting and left > 0:
        level = left // len(wanting)
        if level == 0:
            for name, extra in split_evenly(left, dict.fromkeys(wanting, 1)).items():
                given[name] += extra
            return given
        for name in list(wanting):
            part = min(level, wanting[name])
            given[name] += part
            left -= part
            wanting[name] -= part
            if wanting[name] == 0:
                del wanting[name]
    return given


def allocate(totals, members):
    """
    Return {data centre: {member name: slots}} for one service.

    ``totals`` maps data centres to their slots. Entry hosts of a data centre come
    first; what they do not need goes to those of other data centres up to the
    spill limit, and the rest is divided among its own evenly, so that a burst
    finds some slots before the next reports.
    """
    local = defaultdict(list)
    for member in sorted(members, key=lambda member: member.name):
        local[member.data_centre].append(member)
    shares = {}
    missing = {member.name: member.demand or 0 for member in members}
    for data_centre, total in sorted(totals.items()):
        group = local.get(data_centre, [])
        safe = {m.name: total // len(group) for m in group if m.demand is None}
        demands = {m.name: m.demand for m in group if m.demand is not None}
        given = fill_level(total - sum(safe.values()), demands)
        for name, slots in given.items():
            missing[name] -= slots
        shares[data_centre] = safe | given
    for data_centre, total in sorted(totals.items()):
        group = local.get(data_centre, [])
        given = shares[data_centre]
        left = total - sum(given.values())
        limit = int(total * SPILL_LIMIT) if group else total
        remote = {
            member.name: missing[member.name]
            for member in members
            if member.data_centre != data_centre and missing[member.name] > 0
        }
        spilled = fill_level(min(left, limit), remote)
        for name, slots in spilled.items():
            missing[name] -= slots
        left -= sum(spilled.values())
        reporting = {member.name: 1 for member in group if member.demand is not None}
        for name, extra in split_evenly(left, reporting).items():
            given[name] += extra
        shares[data_centre] = given | spilled
    return shares


class SlotLayout:
    """
    The slots of one data centre's endpoints, numbered in turn over endpoints.

    Each member holds a range of numbers. A small change of shares moves ranges by
    few numbers and so changes the shares of few endpoints.
    """

    def __init__(self, endpoints):
        """``endpoints`` maps names to slots."""
        names = sorted(endpoints)
        most = max(endpoints.values(), default=0)
        self._owners = [
            name for level in range(most) for name in names if level < endpoints[name]
        ]

    @property
    def total(self):
        """The number of slots."""
        return len(self._owners)

    def shares_of(self, own, given):
        """Return {endpoint: slots} for the member ``own`` of an allocation."""
        start = 0
        for name in sorted(given):
            if name == own:
                break
            start += given[name]
        shares = defaultdict(int)
        for owner in self._owners[start : start + given.get(own, 0)]:
            shares[owner] += 1
        return shares


class SlotShares:
    """The shares of one entry host in the endpoints of one service."""

    def __init__(self, name, data_centre):
        self._name = name
        self._data_centre = data_centre
        self._groups = {}
        self._layouts = {}
        self._stopped = None
        self._known = 1

    def set_endpoints(self, endpoints):
        """Take the endpoints of the service, a list of EndpointEntry."""
        self._groups = defaultdict(dict)
        for endpoint in endpoints:
            self._groups[endpoint.data_centre][endpoint.name] = endpoint.slots
        self._stopped = None
        self._lay_out(frozenset())

    def _lay_out(self, stopped):
        """
        Lay out the slots of each data centre that has an endpoint left.

        Only whole data centres are left out: entry hosts do not see the same
        endpoints fail, and layouts that differ give the same slots out twice.
        """
        if stopped == self._stopped:
            return
        self._stopped = stopped
        self._layouts = {
            data_centre: SlotLayout({} if group.keys() <= stopped else group)
            for data_centre, group in self._groups.items()
        }

    def rank(self, peers):
        """Return the place of this entry host in the order of names."""
        return sum(peer.name < self._name for peer in peers)

    def shares(self, peers, own_demand, peers_age_s, stopped=frozenset()):
        """
        Return {endpoint: slots} by the peers' reports.

        ``peers`` is a list of PeerDemand and ``peers_age_s`` tells how long ago it
        was given. Without recent reports the share is the safe one. A data centre
        whose endpoints are all ``stopped`` has no slots to share, so that its demand
        spills over to others.
        """
        self._lay_out(stopped)
        local = [peer for peer in peers if peer.data_centre == self._data_centre]
        if peers_age_s > STALE_S:
            return self._safe_shares()
        self._known = len(local) + 1
        # One slot for an idle entry host, or its first request would have to wait
        # until its report reaches the others.
        members = [Member(self._name, self._data_centre, max(own_demand, 1))]
        for peer in peers:
            stale = peer.age_s + peers_age_s > STALE_S
            demand = None if stale else max(peer.queued + peer.in_flight, 1)
            members.append(Member(peer.name, peer.data_centre, demand))
        totals = {name: layout.total for name, layout in self._layouts.items()}
        result = {}
        for data_centre, given in allocate(totals, members).items():
            layout = self._layouts[data_centre]
            result.update(layout.shares_of(self._name, given))
        return result

    def _safe_shares(self):
        """Divide the slots of the own data centre by its known entry hosts."""
        layout = self._layouts.get(self._data_centre)
        if layout is None:
            return {}
        given = {self._name: layout.total // self._known}
        return layout.shares_of(self._name, given)
