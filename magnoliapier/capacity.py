"""
Capacity: moves hosts between pools and the shared spare.

A pool wants the hosts that its predicted demand requires and a reserve for
failures. Hosts come in before a predicted rise and leave when no rise is expected
soon. The ways weighed are in docs/decisions/capacity.md.
"""

from collections import defaultdict, deque

from magnoliapier.manifest import SPARE_POOL

LEAD_S = 900.0  # a drain with a straggler takes minutes, and the N-hit rule delays
RELEASE_S = 3600.0  # a rise within this time makes a release cost two moves
STUCK_S = 180.0  # a drain without consent for longer may never end, as in a cut
SIGN_PERIOD_S = 20.0  # signs closer together come from the same demand reports
SIGN_INTERVAL_S = 300.0
SIGNS = 2


class HitCounter:
    """
    The N-hit rule: true only on the (N+1)th sign within an interval.

    Example::

        hits = HitCounter(signs=2)
        [hits.hit("wire", t) for t in (0, 60, 120)]  # [False, False, True]
    """

    def __init__(self, signs=SIGNS, interval_s=SIGN_INTERVAL_S):
        self._signs = signs
        self._interval_s = interval_s
        self._times = defaultdict(deque)

    def hit(self, key, now):
        """Record a sign and return whether to act."""
        times = self._times[key]
        while times and times[0] < now - self._interval_s:
            times.popleft()
        if not times or now - times[-1] >= SIGN_PERIOD_S:
            times.append(now)
        return len(times) > self._signs

    def clear(self, key):
        """Forget the signs of a key."""
        self._times.pop(key, None)


class CapacitySystem:
    """
    Keeps each pool at the hosts that its predicted demand needs.

    ``n_hit`` and ``shares`` switch the N-hit rule and the shares by predicted
    demand off, for measurement.
    """

    def __init__(
        self,
        forecast,
        n_hit=True,
        shares=True,
        signs=SIGNS,
        lead_s=LEAD_S,
        release_s=RELEASE_S,
        hysteresis=0,
    ):
        self._forecast = forecast
        self._shares = shares
        self._lead_s = lead_s
        self._release_s = release_s
        self._hysteresis = hysteresis
        self._rises = HitCounter(signs if n_hit else 0)
        self._falls = HitCounter(signs if n_hit else 0)
        self._draining = {}
        self._stuck_centres = set()

    def measure(self, tables):
        """Set the hosts that must serve now, and soon, in ``tables.need``."""
        for pool in tables.managed_pools():
            near = self._forecast.predict(tables, pool, self._lead_s)
            tables.need[pool] = tables.hosts_required(pool, near)

    def run(self, tables):
        """Move hosts towards the wanted sizes of the pools."""
        self._discount_stuck(tables)
        wanted, released = {}, {}
        for pool in tables.managed_pools():
            extra = failure_reserve(tables, pool) + tables.cover.get(pool, 0)
            wanted[pool] = self._bounded(tables, pool, tables.need[pool] + extra)
            far = self._forecast.predict(tables, pool, self._release_s)
            later = tables.hosts_required(pool, far) + extra
            released[pool] = max(wanted[pool], self._bounded(tables, pool, later))
        missing = self._missing(tables, wanted)
        surplus = self._surplus(tables, released)
        self._fill(tables, missing, surplus)
        self._release(tables, surplus)

    def _discount_stuck(self, tables):
        """
        Count no host as coming that has waited long for consent.

        The senders of a data centre that is cut off cannot consent, and its hosts
        would otherwise stand in for hosts that the pool needs now.
        """
        draining = {}
        self._stuck_centres = set()
        for name, assignment in tables.state.assignments.items():
            if assignment.takes_work or assignment.target in (None, assignment.pool):
                continue
            key = (name, assignment.seq)
            draining[key] = self._draining.get(key, tables.now)
            if tables.now - draining[key] > STUCK_S:
                self._stuck_centres.add(tables.manifest.hosts[name].data_centre)
                if tables.is_live(name):
                    tables.incoming[assignment.target] -= 1
        self._draining = draining

    def _bounded(self, tables, pool, size):
        settings = tables.manifest.pools[pool]
        return min(max(size, settings.min_hosts), settings.max_hosts)

    def _missing(self, tables, wanted):
        missing = {}
        for pool, size in wanted.items():
            lacking = size - held(tables, pool)
            if lacking <= 0:
                self._rises.clear(pool)
                continue
            present = tables.hosts_required(pool, self._forecast.level(pool))
            # Too few hosts for the present demand needs no further sign.
            urgent = held(tables, pool) <= present
            if self._rises.hit(pool, tables.now) or urgent:
                missing[pool] = lacking
        return missing

    def _surplus(self, tables, released):
        surplus = {}
        for pool, size in released.items():
            excess = held(tables, pool) - size - self._hysteresis
            if excess <= 0 or not self._forecast.knows_day(pool, tables.now):
                self._falls.clear(pool)
            elif self._falls.hit(pool, tables.now):
                surplus[pool] = excess
        return surplus

    def _fill(self, tables, missing, surplus):
        hosts = tables.manifest.hosts
        spare = [
            name
            for name in tables.spare_hosts()
            if hosts[name].data_centre not in self._stuck_centres
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
            missing = self._share(tables, missing, available)
        for pool, count in sorted(missing.items()):
            for _ in range(count):
                name = pick_arrival(tables, pool, spare)
                if name is None:
                    name = self._take_from_donor(tables, donors, surplus)
                if name is None:
                    return
                if name in spare:
                    spare.remove(name)
                tables.drain(name, pool, f"{pool} wants {count} more hosts")

    def _share(self, tables, missing, available):
        """Split too few hosts: by predicted demand, or by name when switched off."""
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

    def _take_from_donor(self, tables, donors, surplus):
        for pool in sorted(donors, key=lambda name: (-donors[name], name)):
            if donors[pool] > 0:
                name = pick_departure(tables, pool)
                if name is not None:
                    donors[pool] -= 1
                    surplus[pool] -= 1
                    return name
        return None

    def _release(self, tables, surplus):
        for pool, count in sorted(surplus.items()):
            for _ in range(count):
                name = pick_departure(tables, pool)
                if name is None:
                    break
                tables.drain(name, SPARE_POOL, f"{pool} needs fewer hosts")


def held(tables, pool):
    """Return the hosts of a pool that serve or are on their way into it."""
    return tables.serving[pool] + tables.incoming[pool]


def failure_reserve(tables, pool):
    """
    Return the hosts that a pool holds for failures: its most in one rack.

    A rack fails at once every month or two, and a replacement takes minutes.
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


def pick_arrival(tables, pool, candidates):
    """Return the candidate that spreads the pool best over centres and racks."""
    if not candidates:
        return None
    hosts = tables.manifest.hosts
    racks = defaultdict(int)
    centres = defaultdict(int)
    for name, assignment in tables.state.assignments.items():
        if pool in (assignment.pool, assignment.target):
            racks[hosts[name].rack] += 1
            centres[hosts[name].data_centre] += 1
    for kind, body in tables.output.entries:
        if kind == "host_drain" and body["target"] == pool:
            racks[hosts[body["host"]].rack] += 1
            centres[hosts[body["host"]].data_centre] += 1
    return min(
        candidates,
        key=lambda name: (
            len(tables.tasks_by_host.get(name, ())),
            racks[hosts[name].rack],
            centres[hosts[name].data_centre],
            name,
        ),
    )


def pick_departure(tables, pool):
    """Return the host whose leaving keeps the pool spread best, or None."""
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
    Split ``total`` by ``weights``, no part above its limit, in whole hosts.

    Hosts that a limited part cannot take go to the others.
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
