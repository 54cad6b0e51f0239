"""A shard's controller and what the fleet's plan says of the hosts of its pool."""

import asyncio

from magnoliapier.pools.report import REPORT_KEY, FleetPlan, PoolReport, decode_report
from magnoliapier.service.pool import FIRST_SETTLING_S, RETURNED_KEEP_S
from magnoliapier.state.lease import CONTROL_TABLE
from tests.service.test_shard import SERVICE, ShardTestCase, short_step, submission

HOSTS = 4


class SurplusHostTests(ShardTestCase):
    """A pool of four idle hosts, of which it needs one."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.waiting = [self.add_endpoint(f"e{number}") for number in range(HOSTS)]
        for endpoint in self.waiting:
            endpoint.waits = True
        await self.start_shard()

    def released(self):
        row = self.store.rows.get((CONTROL_TABLE, SERVICE, REPORT_KEY))
        return decode_report(row.value) if row else PoolReport()

    async def wait_for_release(self):
        timeout_s = FIRST_SETTLING_S + 5.0
        await self.wait_until(lambda: self.released().released, timeout_s)
        return self.released()

    async def test_hosts_are_kept_while_they_can_not_be_moved(self):
        """Guards against surplus that nobody gets, and that its pool doesn't use."""
        self.fleet.plan = FleetPlan(paused=True)
        await asyncio.sleep(FIRST_SETTLING_S + 5.0)
        self.assertEqual(self.released().released, {})
        self.fleet.plan = FleetPlan(kept=("e0", "e1"))
        report = await self.wait_for_release()
        self.assertEqual(set(report.released), {"e2", "e3"})

    async def test_work_starts_on_hosts_whose_moves_were_refused(self):
        """Guards against work that waits beside idle hosts of its own pool (LOST)."""
        report = await self.wait_for_release()
        self.assertEqual(len(report.released), HOSTS - 1)
        returned = dict(report.release_numbers)
        kept = tuple(report.released)
        self.fleet.plan = FleetPlan(returned=returned, kept=kept)
        step = short_step(HOSTS, long_running=True, max_per_endpoint=1)
        await self.submit(submission("1" * 16, step))
        await self.wait_until(lambda: all(e.running for e in self.waiting))
        await asyncio.sleep(RETURNED_KEEP_S + 1.0)
        self.assertEqual(self.released().released, {})
