import asyncio
import unittest

from magnoliapier.exceptions import HostOrderRefusedError, MessageError
from magnoliapier.pools.hosts import Host, HostState, Wave
from magnoliapier.pools.report import PLAN_KEY, PoolReport, decode_plan
from magnoliapier.service.fleet import FleetController
from magnoliapier.service.leases import FLEET_SHARD
from magnoliapier.service.node import FleetDependencies
from magnoliapier.state.lease import (
    CONTROL_TABLE,
    LEASE_KEY,
    HeldLease,
    LeaseRecord,
    encode_lease,
)
from magnoliapier.state.rows import Put
from tests.service.fakes import FakeClock, FakeStore, metrics

STANDBY = "standby"
HOST_ORDER_GAP_S = 3.0
SETTLE_S = 0.5  # as the platform's design page says
STEP_S = 0.5  # longer than the host list is kept, shorter than a lease
TEST_TIMEOUT_S = 10.0


def wave_status(number, completed):
    """Return the row that tells the operator of a wave."""
    return Put("status", "", f"wave/{number}", b"1" if completed else b"0")


class FakeMachines:
    """
    The platform's interface for hosts, whose list never changes.

    ``orders`` holds host, token and time of each order.
    """

    def __init__(self, clock, hosts):
        self.listed = hosts
        self.orders = []
        self.unreadable_lists = 0
        self.refuses = False
        self._clock = clock

    def tokens(self, host):
        """Return the tokens of the orders for a host."""
        return [token for name, token, _ in self.orders if name == host]

    async def hosts(self):
        if self.unreadable_lists:
            self.unreadable_lists -= 1
            raise MessageError("no JSON")
        return list(self.listed)

    async def move(self, host, service, token, guard):
        guard.check()
        if self.refuses:
            raise HostOrderRefusedError("busy")
        self.orders.append((host, token, self._clock()))
        await asyncio.sleep(0)


class FakeView:
    """What a host knows of pools; ``ticks`` counts how often a controller asked."""

    def __init__(self):
        self.released = {}
        self.asked_for = []
        self.ticks = 0

    def reports(self):
        return {"desk": PoolReport(dict(self.released))}

    def waves(self):
        return self.asked_for

    def standby(self):
        self.ticks += 1
        return STANDBY

    def active(self):
        return True


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    """Fleet controllers, one after another, over one store and one fleet."""

    async def asyncSetUp(self):
        self.clock = FakeClock()
        self.store = FakeStore(self.clock)
        self.view = FakeView()
        hosts = [
            Host(f"h{n}", "desk", HostState.UP, endpoint_id=f"e{n}") for n in (1, 2)
        ]
        self.machines = FakeMachines(self.clock, hosts)
        self.lost = []

    async def hold(self, token):
        """Let a host take the fleet's lease and start its controller."""
        record = LeaseRecord(f"host-{token}", f"p{token}", "127.0.0.1:1", token)
        put = Put(CONTROL_TABLE, FLEET_SHARD, LEASE_KEY, encode_lease(record))
        version = await self.store.commit([], [put])
        lease = HeldLease(record)
        lease.record_renewal(version, self.clock())
        deps = FleetDependencies(
            self.store,
            self.machines,
            self.clock,
            metrics(),
            wave_status,
            HOST_ORDER_GAP_S,
        )
        controller = FleetController(lease, deps, self.view, self.lost.append)
        controller.start()
        self.addAsyncCleanup(controller.close)
        return controller

    async def release(self, *hosts):
        """Let the pool release hosts, and wait until the controllers have seen it."""
        self.view.released = {f"e{name[1:]}": name for name in hosts}
        await self.pass_time(0.5)

    async def pass_time(self, seconds):
        """Let steady time pass in steps that leases survive."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.now += STEP_S
            await self.let_controllers_act()

    def stored_plan(self):
        """Return the plan that a successor would read."""
        row = self.store.rows[CONTROL_TABLE, FLEET_SHARD, PLAN_KEY]
        return decode_plan(row.value)

    async def let_controllers_act(self):
        """Wait for a few rounds of the controllers that hold the lease."""
        ticks = self.view.ticks + 3
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while self.view.ticks < ticks:
                await asyncio.sleep(0.01)


class HandoverTests(FleetTestCase):
    async def test_successor_waits_before_it_orders_a_host_of_its_predecessor(self):
        """
        Guards against two holders that order one host in quick succession.

        The platform checks no tokens: an order of the former holder may still arrive,
        and a successor that orders the same host at once takes turns with it.
        """
        await self.hold(1)
        await self.release("h1")
        self.assertEqual(self.machines.tokens("h1"), [1])
        taken_at = self.clock()
        await self.hold(2)
        await self.release("h1", "h2")
        self.assertEqual(self.machines.tokens("h2"), [2])
        self.assertEqual(self.machines.tokens("h1"), [1])
        await self.pass_time(HOST_ORDER_GAP_S + 2.0)
        self.assertEqual(self.machines.tokens("h1"), [1, 2])
        ordered_at = self.machines.orders[-1][2]
        wait_s = HOST_ORDER_GAP_S + SETTLE_S
        self.assertGreaterEqual(ordered_at - taken_at, wait_s)

    async def test_host_is_recorded_before_it_is_ordered(self):
        """Guards against an order that a successor cannot know of."""
        await self.hold(1)
        await self.let_controllers_act()
        self.view.released = {"e1": "h1"}
        self.store.fail_next = 5
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while self.store.fail_next:
                self.assertEqual(self.machines.orders, [])
                await asyncio.sleep(0.01)
        await self.let_controllers_act()
        self.assertEqual(self.machines.tokens("h1"), [1])

    async def test_plan_is_written_again_after_a_lost_answer(self):
        """
        Guards against a stored plan that the controller takes for another.

        A changed plan gets no answer and is applied; if the change is taken back then,
        what the controller committed last is no longer what is stored.
        """
        await self.hold(1)
        await self.let_controllers_act()
        self.view.asked_for = [Wave(1, ("h1",), 20.0, 1)]
        self.store.lose_next = 1
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while self.store.lose_next:
                await asyncio.sleep(0.01)
        self.assertEqual(self.stored_plan().to_maintain, ("h1",))
        self.view.asked_for = []
        await self.let_controllers_act()
        self.assertEqual(self.stored_plan().to_maintain, ())

    async def test_unreadable_plan_bars_all_hosts_for_a_while(self):
        """
        Guards against a fleet that nobody manages while its plan cannot be read.

        What the former holder ordered last is not known then either.
        """
        put = Put(CONTROL_TABLE, FLEET_SHARD, PLAN_KEY, b"\xc1")
        await self.store.commit([], [put])
        await self.hold(1)
        await self.release("h1")
        self.assertEqual(self.machines.orders, [])
        await self.pass_time(HOST_ORDER_GAP_S + 1.0)
        self.assertEqual(self.machines.tokens("h1"), [1])

    async def test_unreadable_host_list_is_read_again(self):
        """Guards against a fleet that nobody manages after one damaged answer."""
        self.machines.unreadable_lists = 1
        await self.hold(1)
        await self.release("h1")
        self.assertEqual(self.machines.tokens("h1"), [1])

    async def test_record_outlasts_an_order_and_then_ends(self):
        """Guards against hosts that every successor leaves alone for ever."""
        await self.hold(1)
        await self.release("h1")
        self.view.released = {}
        await self.pass_time(HOST_ORDER_GAP_S + 2.0)
        await self.hold(2)
        await self.release("h1")
        self.assertEqual(self.machines.tokens("h1"), [1, 2])

    async def test_third_holder_waits_for_the_first_one_s_orders(self):
        """Guards against a record that is lost with a holder that ordered nothing."""
        await self.hold(1)
        await self.release("h1")
        self.view.released = {}
        await self.hold(2)
        await self.pass_time(0.5)
        await self.hold(3)
        await self.release("h1")
        self.assertEqual(self.machines.tokens("h1"), [1])

    async def test_successor_orders_hosts_at_once_that_were_ordered_long_before(self):
        """
        Guards against hosts that stand idle after each takeover.

        The pattern is a holder that is cut off as a queue's turn begins: the hosts that
        it moved some seconds earlier are wanted elsewhere now.
        """
        former = await self.hold(1)
        await self.release("h1")
        self.assertEqual(self.machines.tokens("h1"), [1])
        await former.close()
        self.clock.now += HOST_ORDER_GAP_S
        taken_at = self.clock()
        await self.hold(2)
        await self.release("h1")
        self.assertEqual(self.machines.tokens("h1"), [1, 2])
        ordered_at = self.machines.orders[-1][2]
        self.assertLess(ordered_at - taken_at, HOST_ORDER_GAP_S)

    async def test_slow_answers_of_the_table_make_the_wait_longer(self):
        """Guards against a wait that a late reading of the table's clock shortens."""
        self.store.answer_s = 1.5
        former = await self.hold(1)
        await self.release("h1")
        ended_at = self.machines.orders[-1][2]
        await former.close()
        self.clock.now += 2.0
        await self.hold(2)
        await self.pass_time(HOST_ORDER_GAP_S)
        self.assertEqual(self.machines.tokens("h1"), [1, 2])
        wait_s = HOST_ORDER_GAP_S + SETTLE_S + self.store.answer_s
        self.assertGreaterEqual(self.machines.orders[-1][2] - ended_at, wait_s)

    async def test_record_of_a_refused_order_ends(self):
        """Guards against hosts that stay recorded though nothing is under way."""
        self.machines.refuses = True
        await self.hold(1)
        await self.release("h1")
        self.view.released = {}
        await self.pass_time(HOST_ORDER_GAP_S + 1.0)
        self.assertEqual(self.stored_plan().ordered, {})
