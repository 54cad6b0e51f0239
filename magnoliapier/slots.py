"""
Divide the slots of endpoints among entry hosts without a coordinator.

Every entry host runs the same function over the same reports, so the shares of an
endpoint add up to its slots as long as the entry hosts have the same reports.
"""

import math
from collections import defaultdict
from dataclasses import dataclass

# The largest share of a data centre's slots that entry hosts of other data centres
# may get when its own entry hosts do not need them.
MAX_SPILLOVER_SHARE = 0.5
# Reports are sent every 0.5 s. After three missed reports a peer is assumed to use
# its safe share only.
STALE_REPORT_S = 2.0


@dataclass(frozen=True, slots=True)
class EntryHostDemand:
    """The slots that an entry host needs; ``demand`` is None if it is unknown."""

    name: str
    data_centre: str
    demand: int | None


def split_evenly(total, weights):
    """
    Split an integer in proportion to weights by the largest remainder method.

    ``weights`` maps names to numbers. Ties go to the name that sorts first.
    """
    total_weight = sum(weights.values())
    if total_weight <= 0 or total <= 0:
        return dict.fromkeys(weights, 0)
    exact = {name: total * weight / total_weight for name, weight in weights.items()}
    parts = {name: math.floor(value) for name, value in exact.items()}
    order = sorted(weights, key=lambda name: (parts[name] - exact[name], name))
    for name in order[: total - sum(parts.values())]:
        parts[name] += 1
    return parts


def split_max_min(total, demands):
    """
    Allocate whole slots to demands by max-min fairness.

    No name gets more than its demand, and slots that nobody demands are not allocated.
    """
    allocated = dict.fromkeys(demands, 0)
    wanting = {name: demand for name, demand in demands.items() if demand > 0}
    left = total
    while wanting and left > 0:
        level = left // len(wanting)
        if level == 0:
            for name, extra in split_evenly(left, dict.fromkeys(wanting, 1)).items():
                allocated[name] += extra
            return allocated
        for name in list(wanting):
            part = min(level, wanting[name])
            allocated[name] += part
            left -= part
            wanting[name] -= part
            if wanting[name] == 0:
                del wanting[name]
    return allocated


def allocate(totals, members):
    """
    Return {data centre: {member name: slots}} for one service.

    ``totals`` maps data centres to their slots. The entry hosts of a data centre are
    served first. Slots that they do not need go to entry hosts of other data centres,
    up to MAX_SPILLOVER_SHARE of the slots, or all slots if the data centre has no
    entry host. The rest is divided evenly among the local entry hosts, so that a
    burst finds some slots before the next reports.

    A member whose demand is unknown gets its safe share: an equal part of the slots
    of its own data centre.
    """
    local = defaultdict(list)
    for member in sorted(members, key=lambda member: member.name):
        local[member.data_centre].append(member)
    shares = {}
    unmet = {member.name: member.demand or 0 for member in members}
    for data_centre, total in sorted(totals.items()):
        group = local.get(data_centre, [])
        safe = {m.name: total // len(group) for m in group if m.demand is None}
        demands = {m.name: m.demand for m in group if m.demand is not None}
        allocated = split_max_min(total - sum(safe.values()), demands)
        for name, slots in allocated.items():
            unmet[name] -= slots
        shares[data_centre] = safe | allocated
    for data_centre, total in sorted(totals.items()):
        group = local.get(data_centre, [])
        allocated = shares[data_centre]
        left = total - sum(allocated.values())
        limit = int(total * MAX_SPILLOVER_SHARE) if group else total
        remote = {
            member.name: unmet[member.name]
            for member in members
            if member.data_centre != data_centre and unmet[member.name] > 0
        }
        spilled = split_max_min(min(left, limit), remote)
        for name, slots in spilled.items():
            unmet[name] -= slots
        left -= sum(spilled.values())
        reporting = {member.name: 1 for member in group if member.demand is not None}
        for name, extra in split_evenly(left, reporting).items():
            allocated[name] += extra
        shares[data_centre] = allocated | spilled
    return shares


class SlotLayout:
    """
    The slots of one data centre's endpoints in a fixed order.

    The order takes the first slot of each endpoint, then the second of each, and so
    on. Each entry host gets a contiguous range. A small change of the allocation
    moves the ranges by a few slots and so changes the shares of few endpoints.
    """

    def __init__(self, endpoints):
        """``endpoints`` maps names to slots."""
        names = sorted(endpoints)
        most = max(endpoints.values(), default=0)
        self._slot_endpoints = [
            name for level in range(most) for name in names if level < endpoints[name]
        ]

    @property
    def total(self):
        """The number of slots."""
        return len(self._slot_endpoints)

    def shares_of(self, own_name, allocated):
        """
        Return {endpoint: slots} for the entry host ``own_name``.

        ``allocated`` maps entry hosts to their slots in this data centre.
        """
        start = 0
        for name in sorted(allocated):
            if name == own_name:
                break
            start += allocated[name]
        shares = defaultdict(int)
        for endpoint in self._slot_endpoints[
            start : start + allocated.get(own_name, 0)
        ]:
            shares[endpoint] += 1
        return shares


class SlotShares:
    """Computes one entry host's shares of the slots of one service."""

    def __init__(self, name, data_centre):
        self._name = name
        self._data_centre = data_centre
        self._groups = {}
        self._layouts = {}
        self._stopped = None
        self._local_entry_hosts = 1

    def set_endpoints(self, endpoints):
        """Set the endpoints of the service from EndpointEntry objects."""
        self._groups = defaultdict(dict)
        for endpoint in endpoints:
            self._groups[endpoint.data_centre][endpoint.name] = endpoint.slots
        self._stopped = None
        self._lay_out(frozenset())

    def _lay_out(self, stopped):
        """
        Build the slot layout of each data centre.

        The layout is empty if all endpoints of the data centre are ``stopped``. If only
        some are, they keep their slots: entry hosts do not see the same endpoints fail,
        and entry hosts with different layouts would use the same slot twice.
        """
        if stopped == self._stopped:
            return
        self._stopped = stopped
        self._layouts = {
            data_centre: SlotLayout({} if group.keys() <= stopped else group)
            for data_centre, group in self._groups.items()
        }

    def rank(self, peers):
        """Return the number of peers whose names sort before this entry host's."""
        return sum(peer.name < self._name for peer in peers)

    def shares(self, peers, own_demand, peers_age_s, stopped=frozenset()):
        """
        Return this entry host's share as {endpoint: slots}.

        ``peers`` is a list of PeerDemand that was set ``peers_age_s`` seconds ago.
        Without recent reports this entry host gets only its safe share. A data centre
        whose endpoints are all ``stopped`` has no slots to share, so that its demand
        spills over to others.
        """
        self._lay_out(stopped)
        local = [peer for peer in peers if peer.data_centre == self._data_centre]
        if peers_age_s > STALE_REPORT_S:
            return self._safe_shares()
        self._local_entry_hosts = len(local) + 1
        # An idle entry host counts as needing one slot, or its first request would
        # have to wait until its report reaches the others.
        members = [EntryHostDemand(self._name, self._data_centre, max(own_demand, 1))]
        for peer in peers:
            stale = peer.age_s + peers_age_s > STALE_REPORT_S
            demand = None if stale else max(peer.queued + peer.in_flight, 1)
            members.append(EntryHostDemand(peer.name, peer.data_centre, demand))
        totals = {name: layout.total for name, layout in self._layouts.items()}
        result = {}
        for data_centre, allocated in allocate(totals, members).items():
            layout = self._layouts[data_centre]
            result.update(layout.shares_of(self._name, allocated))
        return result

    def _safe_shares(self):
        """
        Return this entry host's safe share as {endpoint: slots}.

        The number of local entry hosts is that of the last recent reports.
        """
        layout = self._layouts.get(self._data_centre)
        if layout is None:
            return {}
        allocated = {self._name: layout.total // self._local_entry_hosts}
        return layout.shares_of(self._name, allocated)
