"""
Weighted fair sharing of a pool between organisations.

Each organisation that has work in a pool is entitled to a part of it, by weight. Its
running and waiting work is counted in the order of service, as shares of the pool by
the scarcest resource. The level of a submission is how many whole entitlements its
organisation had claimed before it. Submissions that can still be in time are served by
level, and in the given order within a level: what an organisation sends beyond its
share comes after what the others send within theirs, and still gets all capacity that
they leave. Late submissions, which come last, and long-running ones, which come first,
are ordered by level among themselves.
"""

from collections import Counter
from functools import cached_property

from magnoliapier.placement.order import Rank
from magnoliapier.pools.demand import host_share
from magnoliapier.submissions.model import Resources

# So that an organisation of weight 0 still has levels, and gets what others leave.
MIN_WEIGHT = 0.001
WITHIN_SHARE = 0  # the level of work within its organisation's entitlement
# All higher levels count as this one, so that the work of an organisation that sends
# very much need not be added up.
MAX_LEVEL = 20


class Shares:
    """
    The shares of organisations in one pool, for one scheduling pass.

    ``organisations`` are those of the configuration and ``sessions`` all endpoint
    sessions of the pool. A submission of an organisation that is not configured any
    more has the lowest configured weight. Submissions without one are always within
    their share. ``beyond`` holds the organisations with waiting work beyond their
    shares, once ``in_order`` has been called.

    Example::

        shares = Shares(configuration.organisations, sessions)
        starts = scheduler.place(shares.in_order(keyed_progresses))
    """

    def __init__(self, organisations, sessions):
        self._weights = {o.name: max(o.weight, MIN_WEIGHT) for o in organisations}
        self._lowest_weight = min(self._weights.values(), default=1.0)
        self._sessions = sessions
        self.beyond = set()

    @cached_property
    def capacity(self):
        """Return the Resources of all endpoints of the pool together."""
        capacities = [s.record.capacity for s in self._sessions if s.belongs_to_pool()]
        return Resources(
            sum(capacity.cpu_millicores for capacity in capacities),
            sum(capacity.memory_mb for capacity in capacities),
            sum(capacity.accelerators for capacity in capacities),
        )

    @cached_property
    def used(self):
        """Return by organisation which share of the pool its runs take."""
        used = Counter()
        for session in self._sessions:
            for live in session.live.values():
                name = live.progress.submission.organisation
                if name:
                    used[name] += self._share(live.step)
        return used

    def in_order(self, keyed_progresses):
        """
        Return submissions in the order of service.

        ``keyed_progresses`` is a list of (order key, progress) in the order of service
        without shares; the first item of each key is its rank.
        """
        progresses = [progress for _, progress in keyed_progresses]
        with_work = {p.submission.organisation for p in progresses} | self.used.keys()
        with_work.discard("")
        if len(with_work) < 2:
            return progresses
        levels = self._levels(progresses, self._entitlements(with_work))
        places = [
            (_class_of(key), level, index)
            for index, ((key, _), level) in enumerate(
                zip(keyed_progresses, levels, strict=True)
            )
        ]
        return [progresses[index] for _, _, index in sorted(places)]

    def _entitlements(self, names):
        weights = {name: self._weights.get(name, self._lowest_weight) for name in names}
        total = sum(weights.values())
        return {name: weight / total for name, weight in weights.items()}

    def _levels(self, progresses, entitlements):
        """Return the level of each submission."""
        claimed = Counter(self.used)
        levels = []
        for progress in progresses:
            name = progress.submission.organisation
            if not name:
                levels.append(WITHIN_SHARE)
                continue
            level = min(MAX_LEVEL, int(claimed[name] / entitlements[name]))
            levels.append(level)
            if level == MAX_LEVEL:
                continue
            waiting = self._waiting_share(progress)
            claimed[name] += waiting
            if waiting and level > WITHIN_SHARE:
                self.beyond.add(name)
        return levels

    def _share(self, step):
        return host_share(step.allocated, self.capacity)

    def _waiting_share(self, progress):
        share = 0.0
        for tasks in progress.startable_steps():
            waiting = sum(not task.done and not task.runs for task in tasks)
            if waiting:
                share += waiting * self._share(tasks[0].step)
        return share


def _class_of(key):
    """Return the rank of an order key, the same for all that can still be in time."""
    return Rank.IN_TIME if key[0] == Rank.AT_RISK else key[0]
