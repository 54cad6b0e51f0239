"""
Capacity planning: moves hosts between the pools and the spare pool.

A pool should hold the hosts that its predicted demand requires and a reserve for
failures. Hosts are added before a predicted rise and released when no rise is
expected soon. docs/decisions/capacity.md compares the alternatives.
"""

from collections import defaultdict, deque

from magnoliapier.manifest import SPARE_POOL

# Hosts are added this long before a predicted rise, because a drain that waits for a
# straggler takes minutes and the N-hit rule adds a delay.
LEAD_S = 900.0
# Hosts are released only if no rise is expected within this time, because a host that
# is released and then added again costs two moves.
RELEASE_HORIZON_S = 3600.0
# A drain that waits longer than this for consent may never end, as when a data centre
# is cut off.
STUCK_DRAIN_S = 180.0
HIT_SPACING_S = 20.0  # hits closer together come from the same demand reports
HIT_INTERVAL_S = 300.0
IGNORED_HITS = 2


class HitCounter:
    """
    The N-hit rule: acts only on the (N+1)th hit within an interval.

    N is ``ignored_hits``. Hits less than ``HIT_SPACING_S`` apart count as one.

    Example::

        hits = HitCounter(ignored_hits=2)
        [hits.hit("wire", t) for t in (0, 60, 120)]  # [False, False, True]
    """

    def __init__(self, ignored_hits=IGNORED_HITS, interval_s=HIT_INTERVAL_S):
        self._ignored_hits = ignored_hits
        self._interval_s = interval_s
        self._times = defaultdict(deque)

    def hit(self, key, now):
        """Record a hit at ``now`` and return whether to act."""
        times = self._times[key]
        while times and times[0] < now - self._interval_s:
            times.popleft()
        if not times or now - times[-1] >= HIT_SPACING_S:
            times.append(now)
        return len(times) > self._ignored_hits

    def clear(self, key):
        """Forget the hits of a key."""
        self._times.pop(key, None)


class CapacitySystem:
    """
    Keeps each pool at the number of hosts that its predicted demand needs.

    For measurement, a false ``n_hit`` disables the N-hit rule, and a false ``shares``
    disables the split of a shortage by predicted demand. ``hysteresis`` is the number
    of surplus hosts that a pool keeps.
    """

    def __init__(
        self,
        forecast,
        n_hit=True,
        shares=True,
        ignored_hits=IGNORED_HITS,
        lead_s=LEAD_S,
        release_s=RELEASE_HORIZON_S,
        hysteresis=0,
    ):
        self._forecast = forecast
        self._shares = shares
        self._lead_s = lead_s
        self._release_s = release_s
        self._hysteresis = hysteresis
        self._rises = HitCounter(ignored_hits if n_hit else 0)
        self._falls = HitCounter(ignored_hits if n_hit else 0)
        self._draining_since = {}
        self._stuck_data_centres = set()

    def set_required_hosts(self, tables):
        """Set ``tables.required_hosts`` from the demand predicted within ``lead_s``."""
        for pool in tables.managed_pools():
            near_demand = self._forecast.predict(tables, pool, self._lead_s)
            tables.required_hosts[pool] = tables.hosts_required(pool, near_demand)

    def run(self, tables):
        """Move hosts towards the wanted sizes of the pools."""
        self._discount_stuck_drains(tables)
        wanted, upper_sizes = {}, {}
        for pool in tables.managed_pools():
            extra = failure_reserve(tables, pool) + tables.surge_hosts.get(pool, 0)
            wanted[pool] = self._clamp_to_limits(
                tables, pool, tables.required_hosts[pool] + extra
            )
            later_demand = self._forecast.predict(tables, pool, self._release_s)
            later_size = tables.hosts_required(pool, later_demand) + extra
            upper_sizes[pool] = max(
                wanted[pool], self._clamp_to_limits(tables, pool, later_size)
            )
        missing = self._find_missing(tables, wanted)
        surplus = self._find_surplus(tables, upper_sizes)
        self._fill_pools(tables, missing, surplus)
        self._release_surplus(tables, surplus)

    def _discount_stuck_drains(self, tables):
        """
        Stop counting hosts as incoming that have waited too long for consent.

        The senders of a data centre that is cut off cannot consent. Its hosts would
        otherwise count in place of hosts that the pool needs now.
        """
        draining_since = {}
        self._stuck_data_centres = set()
        for name, assignment in tables.state.assignments.items():
            if assignment.takes_work or assignment.target in (None, assignment.pool):
                continue
            key = (name, assignment.seq)
            draining_since[key] = self._draining_since.get(key, tables.now)
            if tables.now - draining_since[key] > STUCK_DRAIN_S:
                self._stuck_data_centres.add(tables.manifest.hosts[name].data_centre)
                if tables.is_live(name):
                    tables.incoming[assignment.target] -= 1
        self._draining_since = draining_since

    def _clamp_to_limits(self, tables, pool, size):
        settings = tables.manifest.pools[pool]
        return min(max(size, settings.min_hosts), settings.max_hosts)

    def _find_missing(self, tables, wanted):
        """Return how many hosts to add now to each pool below its wanted size."""
        missing = {}
        for pool, size in wanted.items():
            lacking = size - provisioned_hosts(tables, pool)
            if lacking <= 0:
                self._rises.clear(pool)
                continue
            present = tables.hosts_required(pool, self._forecast.current_demand(pool))
            # Acts at once if the pool has no host beyond those for the present demand.
            urgent = provisioned_hosts(tables, pool) <= present
            if self._rises.hit(pool, tables.now) or urgent:
                missing[pool] = lacking
        return missing

    def _find_surplus(self, tables, upper_sizes):
        """Return how many hosts above its upper size each pool may release now."""
        surplus = {}
        for pool, size in upper_sizes.items():
            excess = provisioned_hosts(tables, pool) - size - self._hysteresis
            if excess <= 0 or not self._forecast.has_enough_history(pool, tables.now):
                self._falls.clear(pool)
            elif self._falls.hit(pool, tables.now):
                surplus[pool] = excess
        return surplus

    def _fill_pools(self, tables, missing, surplus):
        hosts = tables.manifest.hosts
        spare = [
            name
            for name in tables.spare_hosts()
            if hosts[name].data_centre not in self._stuck_data_centres
        ]
        total = sum(missing.values())
        donors = {}
        if total > len(spare):
            donors = dict(surplus)
        available = len(spare) + sum(donors.values())
        if total > available:
            tables.note(
                "capacity",
                f"The pools lack {total} hosts and {available} can be moved; "
                "add hosts to the spare pool or lower min_hosts.",
            )
            missing = self._share_shortage(tables, missing, available)
        for pool, count in sorted(missing.items()):
            for _ in range(count):
                name = pick_host_to_add(tables, pool, spare)
                if name is None:
                    name = self._pick_from_donor(tables, donors, surplus)
                if name is None:
                    return
                if name in spare:
                    spare.remove(name)
                tables.drain(name, pool, f"{pool} wants {count} more hosts")

    def _share_shortage(self, tables, missing, available):
        """
        Return how many hosts each pool gets when fewer are available than missing.

        They are split by predicted demand, or given to the pools in name order if
        ``shares`` is false.
        """
        if not self._shares:
            result = {}
            for pool, count in sorted(missing.items()):
                result[pool] = min(count, available)
                available -= result[pool]
            return result
        weights = {
            pool: min(count, self._forecast.predict(tables, pool, self._lead_s) + 1e-9)
            for pool, count in missing.items()
        }
        return largest_remainder(weights, missing, available)

    def _pick_from_donor(self, tables, donors, surplus):
        for pool in sorted(donors, key=lambda name: (-donors[name], name)):
            if donors[pool] > 0:
                name = pick_host_to_remove(tables, pool)
                if name is not None:
                    donors[pool] -= 1
                    surplus[pool] -= 1
                    return name
        return None

    def _release_surplus(self, tables, surplus):
        for pool, count in sorted(surplus.items()):
            for _ in range(count):
                name = pick_host_to_remove(tables, pool)
                if name is None:
                    break
                tables.drain(name, SPARE_POOL, f"{pool} needs fewer hosts")


def provisioned_hosts(tables, pool):
    """Return how many hosts serve in a pool or are draining towards it."""
    return tables.serving[pool] + tables.incoming[pool]


def failure_reserve(tables, pool):
    """
    Return how many hosts a pool holds in reserve: the most that it has in one rack.

    A whole rack fails every month or two, and replacing its hosts takes minutes.
    """
    racks = rack_counts(tables, pool)
    return max(racks.values(), default=1)


def rack_counts(tables, pool):
    """Return how many serving hosts the pool has in each rack."""
    counts = defaultdict(int)
    for name in tables.pool_hosts.get(pool, ()):
        if tables.state.assignments[name].takes_work and tables.unchanged(name):
            counts[tables.manifest.hosts[name].rack] += 1
    return counts


def pick_host_to_add(tables, pool, candidates):
    """
    Return the candidate to move into a pool, or None if there is none.

    It is one with the fewest tasks, and among these the one that spreads the pool
    best over racks and then over data centres.
    """
    if not candidates:
        return None
    hosts = tables.manifest.hosts
    racks = defaultdict(int)
    data_centres = defaultdict(int)
    for name, assignment in tables.state.assignments.items():
        if pool in (assignment.pool, assignment.target):
            racks[hosts[name].rack] += 1
            data_centres[hosts[name].data_centre] += 1
    for kind, body in tables.output.entries:
        if kind == "host_drain" and body["target"] == pool:
            racks[hosts[body["host"]].rack] += 1
            data_centres[hosts[body["host"]].data_centre] += 1
    return min(
        candidates,
        key=lambda name: (
            len(tables.tasks_by_host.get(name, ())),
            racks[hosts[name].rack],
            data_centres[hosts[name].data_centre],
            name,
        ),
    )


def pick_host_to_remove(tables, pool):
    """
    Return the host to move out of a pool, or None if there is none.

    It is one with the fewest tasks, and among these one of the rack that holds most
    hosts of the pool.
    """
    hosts = tables.manifest.hosts
    racks = rack_counts(tables, pool)
    candidates = [
        name
        for name in tables.pool_hosts.get(pool, ())
        if tables.state.assignments[name].takes_work
        and tables.unchanged(name)
        and tables.is_live(name)
    ]
    return min(
        candidates,
        key=lambda name: (
            len(tables.tasks_by_host.get(name, ())),
            -racks[hosts[name].rack],
            name,
        ),
        default=None,
    )


def largest_remainder(weights, limits, total):
    """
    Split ``total`` hosts by ``weights`` into whole hosts, no part above its limit.

    Hosts that a part at its limit cannot take go to the others.
    """
    result = dict.fromkeys(weights, 0)
    scale = total / sum(weights.values())
    for _ in range(min(total, sum(limits.values()))):
        name = max(
            (name for name in sorted(weights) if result[name] < limits[name]),
            key=lambda name: weights[name] * scale - result[name],
        )
        result[name] += 1
    return result
