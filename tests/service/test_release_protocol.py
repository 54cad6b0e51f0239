"""Random interleavings of a pool's holders and the fleet's holders."""

import random
import unittest

from magnoliapier.placement.durations import DurationModel
from magnoliapier.pools.hosts import Host, HostState
from magnoliapier.pools.order_retries import OrderRetries
from magnoliapier.pools.planner import FleetPlanner
from magnoliapier.pools.report import FleetPlan, PoolReport
from magnoliapier.service.pool import PoolManager
from tests.service.test_pool import SERVICE, make_session

SEEDS = range(300)
STEPS = 60
HOSTS = 3
STEP_S = 0.5


def to_ms(now):
    """Return the time on the table's clock, which all read without delay here."""
    return round(now * 1000)


class Rows:
    """The stored values of one row, of which hosts read an older one at times."""

    def __init__(self, value):
        self.values = [value]

    def write(self, value):
        self.values.append(value)

    @property
    def newest(self):
        return self.values[-1]

    def read(self, rng, since):
        """Return the index of a value that is not older than the last one read."""
        return rng.randint(since, len(self.values) - 1)


class Run:
    """One seeded run: each step lets one of the two controllers act, or fail over."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 10.0
        self.reports = Rows(PoolReport())
        self.plans = Rows(FleetPlan())
        self.hosts = [
            Host(f"host-e{n}", SERVICE, HostState.UP, endpoint_id=f"e{n}")
            for n in range(HOSTS)
        ]
        self.sessions = [make_session(host.endpoint_id) for host in self.hosts]
        self.moved = []
        self.take_pool()
        self.take_fleet()

    def take_pool(self):
        """Let another host take the pool's shard; it reads the newest report."""
        self.pool = PoolManager(SERVICE, DurationModel(), False, lambda: False, to_ms)
        self.pool.restore(self.reports.newest)
        self.plan_read = 0

    def take_fleet(self):
        """Let another host take the fleet; its view of the reports may be old."""
        plan = self.plans.newest
        retries = OrderRetries(plan.failed, self.now, to_ms)
        self.planner = FleetPlanner(plan.maintained, plan.returned, retries)
        self.report_read = 0

    def act_as_pool(self):
        self.plan_read = self.plans.read(self.rng, self.plan_read)
        self.pool.take_back(self.plans.values[self.plan_read].returned, self.now)
        wanted = self.rng.choice((0, 0, 1, HOSTS))
        self.pool.update(self.sessions, [], (), wanted, self.now)
        if self.rng.random() < 0.8:
            self.reports.write(self.pool.report())

    def act_as_fleet(self):
        self.report_read = self.reports.read(self.rng, self.report_read)
        reports = {
            SERVICE: self.reports.values[self.report_read],
            "other": PoolReport(wanted=self.rng.choice((0, 0, 1))),
        }
        self.planner.update(self.hosts, reports, (), None, self.now)
        # At times the platform does not list its hosts, so that nothing is ordered.
        orders = self.planner.orders() if self.rng.random() < 0.8 else []
        for order in orders:
            self.planner.record_order(order, self.now)
            if self.rng.random() < 0.5:
                self.planner.record_failure(order, self.now)
            else:
                self.moved.append(order.host)
        self.planner.return_overdue(to_ms(self.now))
        returned, failed = dict(self.planner.returned), self.planner.failed_orders()
        self.plans.write(FleetPlan(returned=returned, failed=failed))

    def used(self):
        """Return the hosts on which the pool would start work now."""
        return {s.record.host for s in self.sessions if s.usable(self.now)}

    def play(self):
        """Return a host that was ordered while in use, or None."""
        acts = (self.act_as_pool, self.act_as_fleet)
        for _ in range(STEPS):
            self.now += STEP_S
            self.rng.choice((*acts, *acts, *acts, self.take_pool, self.take_fleet))()
            if self.moved:
                # An order ends all that runs on the host, now or some time later.
                return self.moved[0] if self.used_until_seen() else None
        return None

    def used_until_seen(self):
        """Return whether the pool uses the ordered host before it sees the move."""
        for _ in range(5):
            if self.moved[0] in self.used():
                return True
            self.now += STEP_S
            self.act_as_pool()
        return False


class ReleaseProtocolTests(unittest.TestCase):
    def test_no_host_is_ordered_that_its_pool_uses(self):
        """
        Guards against a move that ends work on a host which was returned.

        Reports and plans are read late, each side is taken over at any moment, and
        orders are refused or can't be sent.
        """
        moves = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = Run(seed)
                self.assertIsNone(run.play())
            moves += len(run.moved)
        self.assertGreater(moves, len(SEEDS) // 4)
