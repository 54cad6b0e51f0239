import asyncio
import unittest

from magnoliapier.exceptions import (
    HostOrderRefusedError,
    MessageError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.organisations.usage import KnownLimits
from magnoliapier.pools.hosts import Host, HostState, Wave
from magnoliapier.pools.order_retries import MAX_DELAY_S
from magnoliapier.pools.releases import RELEASE_LIMIT_S
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
from tests.simulated_time import SimulatedTimeTestCase
from tests.waiting import wait_until

STANDBY = "standby"
HOST_ORDER_GAP_S = 3.0
HOST_ORDERS_PER_S = 20.0
ORDER_SETTLE_S = 0.5  # as the platform's design page says
STEP_S = 0.5  # longer than the host list is kept, shorter than a lease
TEST_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 60.0  # far longer than the tests wait


def wave_status(number, completed):
    """Return the Put of the row in which operators read a wave's state."""
    return Put("status", "", f"wave/{number}", b"1" if completed else b"0")


class FakeMachines:
    """
    The platform's interface for hosts, whose list never changes.

    ``orders`` holds host, token and time of each order, and ``refusals`` those of each
    order that was refused as ``refuses`` is set.
    """

    def __init__(self, clock, hosts):
        self.listed = hosts
        self.orders = []
        self.refusals = []
        self.cancelled = []
        self.unreadable_lists = 0
        self.refuses = False
        self.is_away = False
        self.silent_hosts = set()
        self._clock = clock

    def tokens(self, host):
        """Return the tokens of the orders for a host."""
        return [token for name, token, _ in self.orders if name == host]

    async def hosts(self):
        if self.is_away:
            raise StoreUnavailableError("503")
        if self.unreadable_lists:
            self.unreadable_lists -= 1
            raise MessageError("no JSON")
        return list(self.listed)

    async def move(self, host, service, token, guard):
        guard.check()
        if self.refuses:
            self.refusals.append((host, token, self._clock()))
            raise HostOrderRefusedError("busy")
        self.orders.append((host, token, self._clock()))
        if host in self.silent_hosts:
            await self._wait_in_vain(host)
        await asyncio.sleep(0)

    async def _wait_in_vain(self, host):
        try:
            await asyncio.sleep(CALL_TIMEOUT_S)
        except asyncio.CancelledError:
            self.cancelled.append(host)
            raise
        raise StoreOutcomeUnknownError("silent")


class FakeView:
    """What a host knows of pools; ``ticks`` counts the ticks of the controllers."""

    def __init__(self):
        self.released = {}
        self.released_ms = {}
        self.number = 0  # of the releases
        self.requested_waves = []
        self.ticks = 0

    def reports(self):
        numbers = dict.fromkeys(self.released, self.number)
        report = PoolReport(
            dict(self.released), release_numbers=numbers, released_ms=self.released_ms
        )
        return {"desk": report}

    def waves(self):
        return self.requested_waves

    def limits(self):
        return KnownLimits()

    def standby(self):
        self.ticks += 1
        return STANDBY

    def active(self):
        return True


class FleetTestCase(SimulatedTimeTestCase):
    """Runs successive fleet controllers on one store and one fleet."""

    async def asyncSetUp(self):
        self.clock = FakeClock()
        self.store = FakeStore(self.clock)
        self.view = FakeView()
        hosts = [
            Host(f"h{n}", "desk", HostState.UP, endpoint_id=f"e{n}") for n in (1, 2)
        ]
        self.machines = FakeMachines(self.clock, hosts)
        self.lost = []

    async def start_holder(self, token):
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
            HOST_ORDERS_PER_S,
        )
        controller = FleetController(lease, deps, self.view, self.lost.append)
        controller.start()
        self.addAsyncCleanup(controller.close)
        return controller

    async def release_hosts(self, *hosts):
        """Let the pool release hosts, and wait until the controllers have seen it."""
        self.release(*hosts)
        await self.pass_time(0.5)

    def release(self, *hosts):
        """Let the pool release hosts."""
        self.view.released = {f"e{name[1:]}": name for name in hosts}
        now_ms = round(self.clock() * 1000)
        self.view.released_ms = dict.fromkeys(self.view.released, now_ms)

    async def pass_time(self, seconds):
        """Advance the monotonic clock in steps that are shorter than a lease."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.now += STEP_S
            await self.let_controllers_act()

    def stored_plan(self):
        """Return the plan that a successor would read."""
        row = self.store.rows[CONTROL_TABLE, FLEET_SHARD, PLAN_KEY]
        return decode_plan(row.value)

    async def let_controllers_act(self):
        """Wait for a few ticks of the controllers that hold the lease."""
        ticks = self.view.ticks + 3
        await wait_until(lambda: self.view.ticks >= ticks)


class HandoverTests(FleetTestCase):
    async def test_successor_waits_before_it_orders_a_recorded_host(self):
        """
        Guards against two holders that order one host in quick succession.

        The platform checks no tokens: an order of the former holder may still arrive
        and undo an order that the successor has sent for the same host.
        """
        await self.start_holder(1)
        await self.release_hosts("h1")
        self.assertEqual(self.machines.tokens("h1"), [1])
        taken_at = self.clock()
        await self.start_holder(2)
        await self.release_hosts("h1", "h2")
        self.assertEqual(self.machines.tokens("h2"), [2])
        self.assertEqual(self.machines.tokens("h1"), [1])
        await self.pass_time(HOST_ORDER_GAP_S + 2.0)
        self.assertEqual(self.machines.tokens("h1"), [1, 2])
        ordered_at = self.machines.orders[-1][2]
        wait_s = HOST_ORDER_GAP_S + ORDER_SETTLE_S
        self.assertGreaterEqual(ordered_at - taken_at, wait_s)

    async def test_host_is_recorded_before_it_is_ordered(self):
        """Guards against an order that a successor cannot know about."""
        await self.start_holder(1)
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
        Guards against a controller whose plan differs from the stored one.

        The commit of a changed plan is applied but gets no answer. If the change is
        then reverted, the plan equals the last one whose commit was answered, and a
        controller that compares the two would not write it.
        """
        await self.start_holder(1)
        await self.let_controllers_act()
        self.view.requested_waves = [Wave(1, ("h1",), 20.0, 1)]
        self.store.lose_next = 1
        await wait_until(lambda: not self.store.lose_next)
        self.assertEqual(self.stored_plan().to_maintain, ("h1",))
        self.view.requested_waves = []
        await self.let_controllers_act()
        self.assertEqual(self.stored_plan().to_maintain, ())

    async def test_unreadable_plan_delays_orders_for_all_hosts(self):
        """
        Guards against a controller that stops because its plan cannot be read.

        The last orders of the former holder are not known in this case either.
        """
        put = Put(CONTROL_TABLE, FLEET_SHARD, PLAN_KEY, b"\xc1")
        await self.store.commit([], [put])
        await self.start_holder(1)
        await self.release_hosts("h1")
        self.assertEqual(self.machines.orders, [])
        await self.pass_time(HOST_ORDER_GAP_S + 1.0)
        self.assertEqual(self.machines.tokens("h1"), [1])

    async def test_unreadable_host_list_is_read_again(self):
        """Guards against a controller that stops after one damaged answer."""
        self.machines.unreadable_lists = 1
        await self.start_holder(1)
        await self.release_hosts("h1")
        self.assertEqual(self.machines.tokens("h1"), [1])

    async def test_record_of_an_order_is_removed_in_time(self):
        """Guards against hosts for which no successor ever sends an order."""
        await self.start_holder(1)
        await self.release_hosts("h1")
        self.view.released = {}
        await self.pass_time(HOST_ORDER_GAP_S + 2.0)
        await self.start_holder(2)
        await self.release_hosts("h1")
        self.assertEqual(self.machines.tokens("h1"), [1, 2])

    async def test_third_holder_waits_for_orders_of_the_first(self):
        """Guards against a record that is lost when a holder sends no orders."""
        await self.start_holder(1)
        await self.release_hosts("h1")
        self.view.released = {}
        await self.start_holder(2)
        await self.pass_time(0.5)
        await self.start_holder(3)
        await self.release_hosts("h1")
        self.assertEqual(self.machines.tokens("h1"), [1])

    async def test_successor_orders_hosts_with_old_records_at_once(self):
        """
        Guards against hosts that are idle after each takeover.

        A holder is cut off when the demand moves to another queue: the hosts that it
        moved some seconds earlier are now wanted in another pool.
        """
        former = await self.start_holder(1)
        await self.release_hosts("h1")
        self.assertEqual(self.machines.tokens("h1"), [1])
        await former.close()
        self.clock.now += HOST_ORDER_GAP_S
        taken_at = self.clock()
        await self.start_holder(2)
        await self.release_hosts("h1")
        self.assertEqual(self.machines.tokens("h1"), [1, 2])
        ordered_at = self.machines.orders[-1][2]
        self.assertLess(ordered_at - taken_at, HOST_ORDER_GAP_S)

    async def test_slow_answers_of_the_table_extend_the_wait(self):
        """Guards against a wait that ends early because of a late clock reading."""
        self.store.answer_s = 1.5
        former = await self.start_holder(1)
        await self.release_hosts("h1")
        ended_at = self.machines.orders[-1][2]
        await former.close()
        self.clock.now += 2.0
        await self.start_holder(2)
        await self.pass_time(HOST_ORDER_GAP_S)
        self.assertEqual(self.machines.tokens("h1"), [1, 2])
        wait_s = HOST_ORDER_GAP_S + ORDER_SETTLE_S + self.store.answer_s
        self.assertGreaterEqual(self.machines.orders[-1][2] - ended_at, wait_s)

    async def test_record_of_a_refused_order_is_removed(self):
        """Guards against hosts that stay recorded although no order is under way."""
        self.machines.refuses = True
        await self.start_holder(1)
        await self.release_hosts("h1")
        self.view.released = {}
        await self.pass_time(HOST_ORDER_GAP_S + 1.0)
        self.assertEqual(self.stored_plan().ordered, {})


class RefusedOrderTests(FleetTestCase):
    """The platform refuses every order, as after a 400: a pool of other machines."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.machines.refuses = True

    async def test_host_of_a_refused_order_goes_back_to_its_pool(self):
        """Guards against work that waits beside hosts that nobody can move (LOST)."""
        await self.start_holder(1)
        await self.release_hosts("h1")
        await self.pass_time(1.0)
        self.assertEqual(self.stored_plan().returned, {"e1": 0})

    async def test_refused_order_is_not_repeated_in_every_cycle(self):
        """Guards against refused orders that use up what the platform accepts."""
        await self.start_holder(1)
        for number in range(40):
            self.view.number = number  # its pool releases it again
            await self.release_hosts("h1")
        self.assertLess(len(self.machines.refusals), 7)
        self.assertGreater(len(self.machines.refusals), 3)

    async def test_successor_holds_the_order_back_as_well(self):
        """Guards against a host that is ordered in vain anew by each holder."""
        await self.start_holder(1)
        for number in range(16):
            self.view.number = number
            await self.release_hosts("h1")
        [failed] = self.stored_plan().failed["h1"].values()
        await self.start_holder(2)
        self.view.number += 1
        await self.pass_time(HOST_ORDER_GAP_S + 1.0)
        self.assertEqual({token for _, token, _ in self.machines.refusals}, {1})
        self.assertEqual(list(self.stored_plan().failed["h1"].values()), [failed])
        for _ in range(round(MAX_DELAY_S / STEP_S)):
            self.view.number += 1
            await self.pass_time(STEP_S)
        self.assertEqual([token for _, token, _ in self.machines.refusals][-2:], [1, 2])

    async def test_orders_keep_the_rate_that_the_platform_accepts(self):
        """Guards against orders that are refused as too many, whichever they are."""
        self.machines.refuses = False
        numbers = range(1, 101)
        self.machines.listed = [
            Host(f"h{n}", "desk", HostState.UP, endpoint_id=f"e{n}") for n in numbers
        ]
        self.release(*(f"h{n}" for n in numbers))
        await self.start_holder(1)
        await self.pass_time(1.0)
        sent_at = [at for _, _, at in self.machines.orders]
        self.assertGreater(len(sent_at), 0)
        for start in sent_at:
            count = sum(start <= at < start + 1.0 for at in sent_at)
            self.assertLessEqual(count, HOST_ORDERS_PER_S)


class UnlistedHostTests(FleetTestCase):
    """The platform's interface for hosts is away, or lists something else."""

    async def test_released_host_goes_back_while_no_host_is_listed(self):
        """Guards against hosts out of use for as long as the interface is away."""
        await self.start_holder(1)
        await self.pass_time(1.0)
        self.machines.is_away = True
        await self.release_hosts("h1")
        await self.pass_time(RELEASE_LIMIT_S)
        self.assertEqual(self.stored_plan().returned, {"e1": 0})
        self.assertTrue(self.stored_plan().keeps("e2"))
        self.machines.is_away = False
        await self.pass_time(1.0)
        self.assertFalse(self.stored_plan().keeps("e2"))

    async def test_takeovers_do_not_prolong_a_release(self):
        """Guards against a release that ends later with each holder of the fleet."""
        self.machines.is_away = True
        self.release("h1")
        for token in (1, 2, 3):
            holder = await self.start_holder(token)
            await self.pass_time(RELEASE_LIMIT_S / 3)
            await holder.close()
        self.assertEqual(self.stored_plan().returned, {"e1": 0})

    async def test_host_listed_without_its_endpoint_goes_back(self):
        """Guards against a host out of use as its release matches no listed host."""
        self.machines.listed[0].endpoint_id = ""
        await self.start_holder(1)
        await self.release_hosts("h1")
        await self.pass_time(RELEASE_LIMIT_S + 1.0)
        self.assertEqual(self.machines.orders, [])
        self.assertEqual(self.stored_plan().returned, {"e1": 0})

    async def test_plan_for_maintenance_waits_for_the_interface(self):
        """Guards against hosts that are emptied for as long as it is away."""
        self.view.requested_waves = [Wave(1, ("h1",), 20.0, 1)]
        await self.start_holder(1)
        await self.pass_time(1.0)
        self.assertEqual(self.stored_plan().to_maintain, ("h1",))
        self.machines.is_away = True
        await self.pass_time(2.0)
        self.assertEqual(self.stored_plan().to_maintain, ())

    async def test_decisions_stand_until_a_successor_lists_hosts(self):
        """Guards against hosts that are used for a moment while they are emptied."""
        self.view.requested_waves = [Wave(1, ("h1",), 20.0, 1)]
        holder = await self.start_holder(1)
        await self.pass_time(1.0)
        self.machines.is_away = True
        await holder.close()
        await self.start_holder(2)
        await self.let_controllers_act()
        self.assertEqual(self.stored_plan().to_maintain, ("h1",))
        await self.pass_time(1.5)
        self.assertTrue(self.stored_plan().paused)
        await self.start_holder(3)
        await self.let_controllers_act()
        self.assertTrue(self.stored_plan().paused)


class CrashReportTests(FleetTestCase):
    """The host of an endpoint went down before another holder takes the fleet."""

    @unittest.expectedFailure  # KNOWN-RED.txt
    async def test_crash_is_still_reported_after_a_takeover(self):
        """Guards against tasks that wait for the lease of an endpoint that crashed."""
        holder = await self.start_holder(1)
        await self.pass_time(1.0)
        self.machines.listed[0].state = HostState.DOWN
        await self.pass_time(1.0)
        self.assertEqual(self.stored_plan().crashed, ("e1",))
        await holder.close()
        await self.start_holder(2)
        await self.pass_time(1.0)
        self.assertEqual(self.stored_plan().crashed, ("e1",))


class SilentOrderTests(FleetTestCase):
    """The platform leaves the order for one host without an answer."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.machines.silent_hosts = {"h1"}

    async def test_other_orders_are_sent_while_one_waits(self):
        """Guards against a need that waits for the end of another order's call."""
        await self.start_holder(1)
        await self.release_hosts("h1")
        self.assertEqual(self.machines.tokens("h1"), [1])
        await self.release_hosts("h1", "h2")
        self.assertEqual(self.machines.tokens("h2"), [1])

    async def test_calls_end_with_their_holder(self):
        """Guards against an order that arrives after the lease was released."""
        holder = await self.start_holder(1)
        await self.release_hosts("h1")
        await holder.close()
        self.assertEqual(self.machines.cancelled, ["h1"])
