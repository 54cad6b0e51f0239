import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from magnoliapier.exceptions import StoreUnavailableError
from magnoliapier.organisations.allowances import UNREPORTED_LIMIT_S
from magnoliapier.organisations.rows import (
    ALLOWANCE_PREFIX,
    USAGE_KEY,
    decode_allowance,
    decode_usage,
)
from magnoliapier.organisations.usage import KnownLimits
from magnoliapier.placement.endpoint import EndpointRecord
from magnoliapier.service import organisation_limits
from magnoliapier.service.directory import EndpointDirectory
from magnoliapier.service.fleet import FleetController
from magnoliapier.service.fleet_view import FleetView
from magnoliapier.service.incarnation import LeaseTerms
from magnoliapier.service.leases import FLEET_SHARD
from magnoliapier.service.node import FleetDependencies, ShardDependencies
from magnoliapier.service.organisation_limits import (
    LOG_INTERVAL_S,
    OrganisationLimits,
)
from magnoliapier.service.shard import TICK_S, ShardController
from magnoliapier.service.watch import TableWatcher
from magnoliapier.state.lease import (
    CONTROL_TABLE,
    LEASE_KEY,
    TOKENS_PER_TERM,
    HeldLease,
    LeaseRecord,
    encode_lease,
)
from magnoliapier.state.rows import Put
from magnoliapier.state.tables import intake_part, submissions_table
from magnoliapier.submissions.codec import encode
from magnoliapier.submissions.configuration import (
    Configuration,
    Organisation,
    Queue,
    Service,
)
from magnoliapier.submissions.model import Resources, Step, Submission
from tests.organisations.simulation import progress_of
from tests.service.fakes import FakeEndpoints, FakeStore, metrics
from tests.simulated_time import SimulatedLoop

SERVICES = ("board", "desk")
ACME = "acme"
LIMIT = Resources(10_000)
CAPACITY = Resources(20_000, 20_000, 0)
RUN_S = 0.6
SAMPLE_S = 0.02


class NoMachines:
    """A platform whose list of hosts is empty."""

    async def hosts(self):
        return []


class Deployment:
    """
    Controllers of two services and of the fleet, each on a host with its own view.

    Under a simulated clock; runs end after ``RUN_S``. ``highest`` is the most CPU that
    ran at once, in millicores.
    """

    def __init__(self, loop):
        self.loop = loop
        self.store = FakeStore(loop.time)
        self.endpoints = FakeEndpoints(loop.time)
        self.directory = EndpointDirectory(None, loop.time)
        self.metrics = metrics()
        self.highest = 0
        self.submitted = 0
        self.completed = 0
        self.watchers = []
        self.views = {}
        self.controllers = {}
        self.ends_at = {}
        self.lasts_s = RUN_S
        self.token = 1
        self.configure(LIMIT)
        for service in SERVICES:
            self.endpoints.add(service)
            self.directory._records[service] = EndpointRecord(
                service, service, f"{service}:1", "dc", False, CAPACITY
            )

    def configure(self, limit, organisations=(ACME,)):
        queues = tuple(Queue(s, f"{s}.example", "/", s) for s in SERVICES)
        self.configuration = Configuration(
            1,
            queues,
            tuple(Service(s) for s in SERVICES),
            organisations=tuple(Organisation(n, limit=limit) for n in organisations),
        )

    async def start(self):
        for shard in (FLEET_SHARD, *SERVICES):
            await self.take_over(shard)
        return self

    async def take_over(self, shard):
        """Start a holder on another host, which has read nothing yet."""
        former = self.controllers.pop(shard, None)
        if former is not None:
            await former.close()
        view = FleetView(
            lambda: self.configuration, self.loop.time, self.store.table_clock
        )
        watcher = TableWatcher(
            self.store, CONTROL_TABLE, view.apply, parts=None, gap_s=0.25
        )
        watcher.start()
        self.watchers.append(watcher)
        await watcher.loaded.wait()
        self.token += TOKENS_PER_TERM
        record = LeaseRecord(f"h{self.token}", f"p{self.token}", "", self.token)
        put = Put(CONTROL_TABLE, shard, LEASE_KEY, encode_lease(record))
        lease = HeldLease(record)
        lease.record_renewal(await self.store.commit([], [put]), self.loop.time())
        controller = self._controller(shard, lease, view)
        controller.start()
        self.controllers[shard] = controller

    def _controller(self, shard, lease, view):
        if shard == FLEET_SHARD:
            deps = FleetDependencies(
                self.store, NoMachines(), self.loop.time, self.metrics, None, 3.0, 64.0
            )
            return FleetController(lease, deps, view, lambda _: None)
        deps = ShardDependencies(
            self.store,
            self.endpoints,
            self.directory,
            self._refresh,
            self.loop.time,
            self.metrics,
            self.configuration.queue_named,
            view,
            LeaseTerms(6000, 6000),
            240.0,
        )
        return ShardController(shard, lease, deps, lambda _: None)

    async def _refresh(self):
        """Do nothing: the directory is always up to date."""

    async def close(self):
        for controller in self.controllers.values():
            await controller.close()
        for watcher in self.watchers:
            await watcher.close()

    async def submit(self, service, count=1, organisation=ACME, **fields):
        """Submit so many submissions of one step."""
        step = Step(1, Resources(1000, 100), estimated_ms=600, **fields)
        for _ in range(count):
            self.submitted += 1
            submission = Submission(
                f"{self.submitted:016x}",
                service,
                "spec",
                (step,),
                accepted_ms=1,
                organisation=organisation,
            )
            part = intake_part(service, submission.submission_id)
            key = submission.submission_id
            put = Put(submissions_table(service), part, key, encode(submission))
            await self.store.commit([], [put])

    def running(self, service):
        return len(self.endpoints.by_id[service].running)

    async def run(self, seconds, until=lambda: False):
        """Let time pass, and end the runs that are due; return whether ``until``."""
        deadline = self.loop.time() + seconds
        while self.loop.time() < deadline:
            if until():
                return True
            await asyncio.sleep(SAMPLE_S)
            now = self.loop.time()
            total = 0
            for endpoint in self.endpoints.by_id.values():
                for task in list(endpoint.running):
                    ends_at = self.ends_at.setdefault(task, now + self.lasts_s)
                    if now >= ends_at:
                        endpoint.end(task)
                        self.completed += 1
                total += len(endpoint.running)
            self.highest = max(self.highest, total * 1000)
        return until()

    def rows(self):
        """Return the numbers of stored allowance and usage rows."""
        keys = [put.key for puts, _ in self.store.commits for put in puts]
        allowances = sum(key.startswith(ALLOWANCE_PREFIX) for key in keys)
        return allowances, keys.count(USAGE_KEY)

    def usage(self, service):
        row = self.store.rows[CONTROL_TABLE, service, USAGE_KEY]
        return decode_usage(row.value).organisations[ACME]

    def allowance(self):
        row = self.store.rows[CONTROL_TABLE, FLEET_SHARD, ALLOWANCE_PREFIX + ACME]
        return decode_allowance(row.value)


def simulated(test):
    """Run a test with a Deployment, on a loop whose clock jumps."""

    def run(self):
        loop = SimulatedLoop()

        async def play():
            deployment = await Deployment(loop).start()
            try:
                await test(self, deployment)
            finally:
                await deployment.close()

        try:
            loop.run_until_complete(play())
        finally:
            loop.close()

    run.__doc__ = test.__doc__
    return run


class LoadTests(unittest.IsolatedAsyncioTestCase):
    async def test_unknown_organisation_waits_while_the_rows_are_read(self):
        """Guards against starts of an organisation that a newer version limits."""
        known = KnownLimits({ACME: LIMIT})
        store = FakeStore()
        store.read = mock.AsyncMock(side_effect=StoreUnavailableError("down"))
        fleet = SimpleNamespace(limits=lambda: known)
        limits = OrganisationLimits("desk", fleet, store, metrics())
        public, new = progress_of(""), progress_of("new")
        begun = limits.begin_pass([], [public, new], 0.0)
        await limits.close()
        step = Step(1, Resources(1000, 100))
        self.assertTrue(begun.admits(public, step))
        self.assertFalse(begun.admits(new, step))


class TooLongRowTests(unittest.IsolatedAsyncioTestCase):
    async def test_row_that_is_too_long_is_logged_from_time_to_time(self):
        """Guards against a line in each of several passes a second."""
        known = KnownLimits({ACME: LIMIT})
        fleet = SimpleNamespace(limits=lambda: known)
        limits = OrganisationLimits("desk", fleet, FakeStore(), metrics())
        await limits.load()
        with (
            mock.patch.object(organisation_limits, "MAX_ROW_BYTES", 1),
            mock.patch.object(organisation_limits, "log") as log,
        ):
            for tick in range(round(2 * LOG_INTERVAL_S / TICK_S)):
                now = 100.0 + tick * TICK_S
                limits.begin_pass([], [], now)
                self.assertEqual(limits.puts(now), [])
        self.assertEqual(log.error.call_count, 2)


class OrganisationLimitsTests(unittest.TestCase):
    @simulated
    async def test_limit_holds_on_all_services_together(self, deployment):
        """Guards against a limit that each service applies to itself alone."""
        await deployment.submit("desk", 30)
        await deployment.submit("board", 30)
        done = await deployment.run(30.0, lambda: deployment.completed == 60)
        self.assertTrue(done)
        self.assertLessEqual(deployment.highest, LIMIT.cpu_millicores)
        self.assertGreaterEqual(deployment.highest, 9000)

    @simulated
    async def test_unused_room_reaches_the_service_that_asks(self, deployment):
        """Guards against a burst that waits for room which nobody uses."""
        await deployment.run(3.0)
        for service in (*SERVICES, *SERVICES):
            await deployment.submit(service, 50)
            reached = await deployment.run(
                1.6, lambda name=service: deployment.running(name) > 8
            )
            self.assertTrue(reached, service)
            await deployment.run(4.5)
        self.assertLessEqual(deployment.highest, LIMIT.cpu_millicores)

    @simulated
    async def test_takeovers_keep_the_limit(self, deployment):
        """Guards against holders that begin with allowances of their own."""
        for shard in (FLEET_SHARD, "desk", "board", FLEET_SHARD, "desk"):
            await deployment.submit("desk", 20)
            await deployment.submit("board", 20)
            await deployment.run(0.7)
            await deployment.take_over(shard)
            await deployment.run(0.4)
        done = await deployment.run(60.0, lambda: deployment.completed == 200)
        self.assertTrue(done, deployment.completed)
        self.assertLessEqual(deployment.highest, LIMIT.cpu_millicores)

    @simulated
    async def test_lost_answers_of_commits_keep_the_limit(self, deployment):
        """Guards against rows that were stored although their commit failed."""
        for failure in ("lose_next", "fail_next", "delay_next") * 3:
            await deployment.submit("desk", 9)
            await deployment.submit("board", 9)
            setattr(deployment.store, failure, 2)
            await deployment.run(0.5)
            deployment.store.apply_late()
        done = await deployment.run(60.0, lambda: deployment.completed == 162)
        self.assertTrue(done, deployment.completed)
        self.assertLessEqual(deployment.highest, LIMIT.cpu_millicores)

    @simulated
    async def test_lowered_limit_stops_no_run(self, deployment):
        """Guards against runs that are stopped, or start above the new limit."""
        deployment.lasts_s = 4.0
        await deployment.submit("desk", 10)
        await deployment.submit("board", 10)
        await deployment.run(3.0, lambda: deployment.highest == 10_000)
        deployment.configure(Resources(4000))
        await deployment.run(1.0)
        self.assertEqual(sum(map(deployment.running, SERVICES)), 10)
        deployment.lasts_s = RUN_S
        await deployment.run(4.0)
        deployment.highest = 0
        await deployment.submit("desk", 10)
        done = await deployment.run(30.0, lambda: deployment.completed == 30)
        self.assertTrue(done, deployment.completed)
        self.assertLessEqual(deployment.highest, 4000)

    @simulated
    async def test_adopted_runs_on_a_silent_endpoint_count(self, deployment):
        """Guards against starts beside runs that may still exist."""
        deployment.lasts_s = 1e9
        await deployment.submit("desk", 8)
        await deployment.run(5.0, lambda: deployment.running("desk") == 8)
        deployment.endpoints.by_id["desk"].silent = True
        await deployment.take_over("desk")
        await deployment.submit("board", 5)
        await deployment.run(3.0)
        self.assertEqual(deployment.running("board"), 2)
        self.assertEqual(deployment.usage("desk").use.cpu_millicores, 8000)

    @simulated
    async def test_unreadable_rows_are_replaced(self, deployment):
        """Guards against a damaged row that ends the work of an organisation."""
        await deployment.run(2.0)
        keys = [(FLEET_SHARD, ALLOWANCE_PREFIX + ACME), ("desk", USAGE_KEY)]
        puts = [Put(CONTROL_TABLE, part, key, b"\xc1") for part, key in keys]
        await deployment.store.commit([], puts)
        for shard in (FLEET_SHARD, *SERVICES):
            await deployment.take_over(shard)
        await deployment.submit("desk", 20)
        done = await deployment.run(10.0, lambda: deployment.completed == 20)
        self.assertTrue(done, deployment.completed)
        self.assertLessEqual(deployment.highest, LIMIT.cpu_millicores)

    @simulated
    async def test_unreadable_usage_row_is_replaced_by_its_holder(self, deployment):
        """Guards against room that is not handed on until the next takeover."""
        await deployment.submit("board", 200)
        await deployment.run(4.0)
        self.assertEqual(deployment.allowance().allowed("desk").cpu_millicores, 0)
        put = Put(CONTROL_TABLE, "desk", USAGE_KEY, b"\xc1")
        await deployment.store.commit([], [put])
        await deployment.take_over(FLEET_SHARD)
        deployment.configure(Resources(14_000))
        reached = await deployment.run(4.0, lambda: deployment.running("board") > 12)
        self.assertTrue(reached)

    @simulated
    async def test_unreadable_allowance_row_is_written_again(self, deployment):
        """Guards against services that can't acknowledge a row, and room that stays."""
        await deployment.run(2.0)
        for service in SERVICES:
            await deployment.submit(service, 30)
            await deployment.run(0.4)
            key = ALLOWANCE_PREFIX + ACME
            put = Put(CONTROL_TABLE, FLEET_SHARD, key, b"\xc1")
            await deployment.store.commit([], [put])
            await deployment.run(3.0)
            self.assertGreater(deployment.allowance().number, 0)
        done = await deployment.run(15.0, lambda: deployment.completed == 60)
        self.assertTrue(done, deployment.completed)
        self.assertLessEqual(deployment.highest, LIMIT.cpu_millicores)

    @simulated
    async def test_limit_that_is_dropped_and_set_again(self, deployment):
        """Guards against allowances that outlast a configuration, or begin anew."""
        await deployment.run(1.0)
        deployment.configure(Resources())
        await deployment.run(2.0)
        await deployment.submit("desk", 20)
        reached = await deployment.run(3.0, lambda: deployment.running("desk") > 15)
        self.assertTrue(reached)
        deployment.configure(LIMIT)
        await deployment.run(3.0)
        deployment.highest = 0
        await deployment.submit("desk", 30)
        done = await deployment.run(20.0, lambda: deployment.completed == 50)
        self.assertTrue(done, deployment.completed)
        self.assertLessEqual(deployment.highest, LIMIT.cpu_millicores)

    @simulated
    async def test_idle_organisations_write_nothing(self, deployment):
        """Guards against rows that about forty hosts read without any use."""
        await deployment.run(5.0)
        before = deployment.rows()
        await deployment.run(20.0)
        self.assertEqual(deployment.rows(), before)

    @simulated
    async def test_nothing_is_written_without_organisations(self, deployment):
        """Guards against rows in deployments whose configuration names none."""
        await deployment.run(1.0)
        for shard in (FLEET_SHARD, *SERVICES):
            await deployment.controllers[shard].close()
        plain = Deployment(deployment.loop)
        plain.configure(LIMIT, organisations=())
        await plain.start()
        await plain.submit("desk", 18, organisation="")
        self.assertTrue(await plain.run(5.0, lambda: plain.completed == 18))
        self.assertEqual(plain.highest, 18_000)
        self.assertEqual(plain.rows(), (0, 0))
        await plain.close()

    @simulated
    async def test_organisation_without_a_name_limits_nothing(self, deployment):
        """Guards against its limit being applied to the tasks of public queues."""
        deployment.configure(Resources(2000), organisations=(ACME, ""))
        await deployment.run(4.0)
        await deployment.submit("desk", 18, organisation="")
        reached = await deployment.run(3.0, lambda: deployment.running("desk") == 18)
        self.assertTrue(reached, deployment.highest)

    @simulated
    async def test_unexpected_error_in_reading_the_rows_is_repeated(self, deployment):
        """Guards against organisations that start nothing until the next takeover."""
        for controller in deployment.controllers.values():
            await controller.close()
        late = Deployment(deployment.loop)
        late.configure(Resources())
        await late.start()
        await late.run(1.0)
        read, failures = late.store.read, [RuntimeError("unexpected")]

        async def fail_once(table, part, start, end):
            if part == "desk" and start == USAGE_KEY and failures:
                raise failures.pop()
            return await read(table, part, start, end)

        late.store.read = fail_once
        late.configure(LIMIT)
        await late.submit("desk", 5)
        done = await late.run(6.0, lambda: late.completed == 5)
        await late.close()
        self.assertEqual(failures, [])
        self.assertTrue(done, late.completed)

    @simulated
    async def test_runs_of_a_holder_that_never_reports_count(self, deployment):
        """
        Guards against a service that is given up although its holder and runs go on.

        Its usage row may be too long, or may not be computed because of an error.
        """
        for controller in deployment.controllers.values():
            await controller.close()
        late = Deployment(deployment.loop)
        late.configure(Resources())
        late.lasts_s = 1e9
        await late.start()
        await late.submit("desk", 8)
        self.assertTrue(await late.run(3.0, lambda: late.running("desk") == 8))
        runs = []
        desk_limits = late.controllers["desk"]._limits
        with mock.patch.object(desk_limits, "puts", side_effect=RuntimeError("odd")):
            late.configure(LIMIT)
            await late.submit("board", 5)
            await late.run(UNREPORTED_LIMIT_S + 10.0)
            runs.append(late.running("board"))
        await late.run(5.0)
        runs.append(late.running("board"))
        await late.close()
        self.assertEqual(runs, [0, 2])

    @simulated
    async def test_decisions_are_measured(self, deployment):
        """Guards against an operator who can't see why work waits."""
        await deployment.submit("desk", 40)
        await deployment.run(2.5)
        text = deployment.metrics.render()
        for name in (
            "organisation_use",
            "organisation_allowed",
            "organisation_limit_waiting",
            "allowance_rows_total",
            "usage_rows_total",
        ):
            self.assertIn(name, text)
