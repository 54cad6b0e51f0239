"""
The fleet controller, which moves hosts between pools and runs waves.

One host at a time holds the fleet's lease. The platform does not check who sends an
order, so the controller itself keeps the orders of two holders apart. It records a host
before it sends an order for it. It sends orders only while the lease lasts longer than
an order can take. It sends none for hosts that a former holder recorded until the
orders of that holder can no longer arrive.
"""

import asyncio

from magnoliapier.exceptions import FencedError, MessageError, PlatformError
from magnoliapier.logs import get_logger
from magnoliapier.pools.handover import END_UNKNOWN, RecentHostOrders
from magnoliapier.pools.order_retries import OrderRetries
from magnoliapier.pools.orders import ORDER_SETTLE_S, Maintain
from magnoliapier.pools.planner import FleetPlanner
from magnoliapier.pools.report import PLAN_KEY, FleetPlan, decode_plan, encode
from magnoliapier.service.allowance_writer import AllowanceWriter
from magnoliapier.service.background import cancel_tasks, supervise
from magnoliapier.service.host_list import HostList
from magnoliapier.service.host_order_queue import HostOrderQueue
from magnoliapier.service.host_orders import HostOrderOutcome, HostOrderSender
from magnoliapier.service.leases import FLEET_SHARD
from magnoliapier.service.wave_status import WaveStatusWriter
from magnoliapier.state.commit import FencedCommitter
from magnoliapier.state.lease import CONTROL_TABLE
from magnoliapier.state.rows import Put

TICK_INTERVAL_S = 0.1
RETRY_DELAY_S = 0.2

log = get_logger(__name__)


class FleetController:
    """
    Runs the fleet while its lease is held.

    ``deps`` is a ``FleetDependencies``. ``view`` gives the pools' reports, the waves
    and the standby pool as this host knows them. ``on_lost(controller)`` is called when
    a commit shows that another host holds the lease.
    """

    def __init__(self, lease, deps, view, on_lost):
        self.service = FLEET_SHARD
        self.lease = lease
        self._machines = deps.machines
        self._metrics = deps.metrics
        self._store = deps.store
        self._clock = deps.boottime
        self._wave_status = WaveStatusWriter(deps.store, deps.wave_status)
        self._view = view
        self._on_lost = on_lost
        self._committer = FencedCommitter(deps.store, FLEET_SHARD, lease, deps.boottime)
        # A commit that renews the lease makes one at the same time fail, which expects
        # the former version of the lease row.
        self._commit_lock = asyncio.Lock()
        self._allowances = AllowanceWriter(
            deps.store, view, self._commit, deps.boottime, deps.metrics
        )
        self._order_gap_s = deps.host_order_gap_s + ORDER_SETTLE_S
        self._orders = HostOrderQueue(
            HostOrderSender(deps.machines, lease, deps.boottime, deps.metrics),
            deps.host_orders_per_s,
            self._on_order_end,
            deps.boottime,
            deps.metrics,
        )
        self._planner = FleetPlanner()
        self._recent_orders = RecentHostOrders()
        self._plan = FleetPlan()
        self._plan_stored = True
        self._host_list = HostList(deps.machines, deps.store.table_clock, deps.boottime)
        self._lost = False
        self._task = None
        self._allowances_task = None

    def start(self):
        """Start the controller."""
        self._task = supervise("fleet", self._run, metrics=self._metrics)
        self._allowances_task = supervise(
            "allowances", self._run_allowances, metrics=self._metrics
        )

    async def close(self):
        """Stop the controller."""
        await cancel_tasks(self._task, self._allowances_task)
        await self._orders.close()

    def may_act(self):
        """Return whether orders are allowed now."""
        return not self._lost and self.lease.may_act(self._clock())

    async def _run(self):
        await self._load()
        while not self._lost:
            try:
                await self._tick()
            except FencedError as error:
                self._give_up(error)
                return
            except (PlatformError, MessageError) as error:
                log.info("fleet_tick_failed", error=error)
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _run_allowances(self):
        while not self._lost:
            try:
                await self._allowances.update()
            except FencedError as error:
                self._give_up(error)
                return
            except (PlatformError, MessageError) as error:
                log.info("allowances_not_written", error=error)
            await asyncio.sleep(TICK_INTERVAL_S)

    def _give_up(self, error):
        """Leave the fleet to the next holder."""
        if not self._lost:
            log.warning("fleet_lost", error=error)
            self._lost = True
            self._on_lost(self)

    async def _commit(self, puts):
        async with self._commit_lock:
            await self._committer.commit(puts)

    async def _load(self):
        while True:
            try:
                self._plan = await self._read_plan()
                break
            except (PlatformError, MessageError) as error:
                log.info("fleet_load_failed", error=error)
                await asyncio.sleep(RETRY_DELAY_S)
        now = self._clock()
        table_ms = self._store.table_clock.latest_ms
        self._planner = FleetPlanner(
            self._plan.maintained,
            self._plan.returned,
            OrderRetries(self._plan.failed, now, table_ms),
        )
        self._recent_orders = RecentHostOrders(
            self._plan.ordered, now, self._order_gap_s, table_ms(now)
        )
        self._host_list.reset(self._plan.paused)
        log.info("fleet_loaded", barred=len(self._plan.ordered))

    async def _read_plan(self):
        changes = await self._store.read(
            CONTROL_TABLE, FLEET_SHARD, PLAN_KEY, PLAN_KEY + "\x00"
        )
        if not changes.rows:
            return FleetPlan()
        try:
            return decode_plan(changes.rows[0].value)
        except MessageError as error:
            log.error("unreadable_plan", error=error)
        # An order of a former holder may be under way for any host.
        hosts = await self._machines.hosts()
        return FleetPlan(ordered={host.name: END_UNKNOWN for host in hosts})

    async def _tick(self):
        await self._commit_plan()
        busy = self._planner.has_pending or self._view.active()
        listed = await self._host_list.refresh(busy)
        now = self._clock()
        self._planner.update(
            self._host_list.hosts if listed else None,
            self._view.reports(),
            self._view.waves(),
            self._view.standby(),
            now,
            self._recent_orders.barred(now, self._store.table_clock.earliest_ms(now)),
            self._host_list.listed_ms,
            self._host_list.listed_at,
        )
        await self._commit_plan()
        orders = self._planner.orders() if listed else []
        # The others are chosen anew by a later cycle.
        orders = orders[: self._orders.capacity()]
        if orders:
            await self._record_and_send(orders)
        now = self._clock()
        self._planner.return_overdue(self._store.table_clock.earliest_ms(now))
        await self._commit_plan()
        await self._write_wave_states()

    async def _record_and_send(self, orders):
        """Record the hosts of orders, then send them without waiting for answers."""
        now = self._clock()
        for order in orders:
            self._planner.record_order(order, now)
            self._recent_orders.record_start(order.host)
        try:
            await self._commit_plan()
        except PlatformError:
            self._withdraw(orders)
            raise
        self._orders.send(orders)

    def _withdraw(self, orders):
        for order in orders:
            self._planner.withdraw(order)
            self._record_order_end(order)

    def _record_order_end(self, order):
        now = self._clock()
        self._recent_orders.record_end(
            order.host, now, self._store.table_clock.latest_ms(now)
        )

    def _on_order_end(self, order, outcome):
        self._record_order_end(order)
        self._host_list.mark_outdated()
        now = self._clock()
        if outcome in (HostOrderOutcome.REFUSED, HostOrderOutcome.UNAVAILABLE):
            away = outcome == HostOrderOutcome.UNAVAILABLE
            self._planner.record_failure(order, now, away)
        elif outcome == HostOrderOutcome.WITHHELD:
            self._planner.withdraw(order)
        elif outcome == HostOrderOutcome.UNANSWERED:
            self._planner.record_unanswered(order, now)
        elif outcome == HostOrderOutcome.DONE and isinstance(order, Maintain):
            self._planner.record_maintenance_start(order)

    def _next_plan(self):
        """Return the plan to store now."""
        now = self._clock()
        paused = self._host_list.is_away(now)
        to_maintain, kept = self._planner.hosts_to_empty(), self._planner.kept()
        if self._host_list.listed_at is None:
            # What the former holder has decided stands until hosts are listed.
            to_maintain, kept = self._plan.to_maintain, self._plan.kept
        return FleetPlan(
            () if paused else to_maintain,
            {
                wave: tuple(sorted(hosts))
                for wave, hosts in self._planner.maintained.items()
            },
            self._planner.crashed,
            self._recent_orders.hosts_to_record(
                now, self._store.table_clock.earliest_ms(now)
            ),
            dict(self._planner.returned),
            self._planner.last_up_ms,
            self._planner.failed_orders(),
            kept,
            paused,
        )

    async def _commit_plan(self):
        plan = self._next_plan()
        puts = []
        # After a commit without an answer, self._plan may differ from the stored plan.
        if plan != self._plan or not self._plan_stored:
            puts.append(Put(CONTROL_TABLE, FLEET_SHARD, PLAN_KEY, encode(plan)))
            self._log_changes(plan)
        if puts:
            self._plan_stored = False
        await self._commit(puts)
        self._plan, self._plan_stored = plan, True
        self._metrics.gauge("host_orders_failing", sum(map(len, plan.failed.values())))
        self._metrics.gauge("hosts_kept", len(plan.kept))

    def _log_changes(self, plan):
        for endpoint_id in set(plan.crashed) - set(self._plan.crashed):
            log.warning(
                "host_down",
                endpoint=endpoint_id,
                last_up_ms=plan.last_up_ms.get(endpoint_id),
            )
        for endpoint_id in set(plan.kept) - set(self._plan.kept):
            log.info("host_kept", endpoint=endpoint_id)
        for endpoint_id, release in plan.returned.items():
            if release != self._plan.returned.get(endpoint_id):
                log.info("host_returned", endpoint=endpoint_id, release=release)

    async def _write_wave_states(self):
        for wave in self._view.waves():
            await self._wave_status.write(
                wave.number, self._planner.wave_completed(wave)
            )
