import asyncio
import json

from yarl import URL

from magnoliapier.platform.program import decode_endpoint
from magnoliapier.service.directory import RETURN_GRACE_S, EndpointDirectory
from magnoliapier.state.rows import Row
from magnoliapier.submissions.model import SubmissionState
from tests.service.fakes import FakeEndpoints
from tests.service.test_shard import (
    CAPACITY,
    SERVICE,
    ShardTestCase,
    short_step,
    submission,
)

FIELDS = {
    "service": SERVICE,
    "zone": "dc-1",
    "state": "ready",
    "capacity": {"cpu": CAPACITY.cpu_millicores, "mem_mb": CAPACITY.memory_mb},
    "labels": ["a", "rack-1"],
}
ODD_FIELDS = {"address": "10.0.0.1:65536"}


class AddressedEndpoints(FakeEndpoints):
    """Fails as the HTTP client does if no URL can hold an endpoint's address."""

    def _reach(self, record, token):
        URL(f"http://{record.address}/hold")
        return super()._reach(record, token)


class OddRowTestCase(ShardTestCase):
    """Runs a shard whose endpoints are known by their rows."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.endpoints = AddressedEndpoints(self.clock)
        self.directory = EndpointDirectory(decode_endpoint, self.clock)
        self.version = 0

    def put_row(self, endpoint_id, **fields):
        """Apply a change of an endpoint's row; ``fields`` replace its usual ones."""
        row = {
            **FIELDS,
            "address": "10.0.0.1:8080",
            "machine": f"host-{endpoint_id}",
            **fields,
        }
        self.version += 1
        value = json.dumps(row).encode()
        self.directory.apply(
            [Row("servers", "", endpoint_id, value, self.version)], False
        )

    def add_endpoint(self, endpoint_id, **fields):
        self.put_row(endpoint_id, **fields)
        return self.endpoints.add(endpoint_id)


class OddRowTests(OddRowTestCase):
    """The row of an endpoint that is in use becomes odd."""

    async def start_on_endpoint(self):
        """Start a run on the endpoint i-1 and return the endpoint and the task."""
        endpoint = self.add_endpoint("i-1")
        self.shard = await self.start_shard()
        await self.submit(submission("a" * 16, short_step()))
        await self.wait_until(lambda: endpoint.running)
        return endpoint, f"{'a' * 16}.0.0.0"

    async def test_run_ends_although_its_endpoint_has_an_odd_row(self):
        """Guards against a submission that never ends: each call failed anew (LOST)."""
        endpoint, task = await self.start_on_endpoint()
        self.put_row("i-1", **ODD_FIELDS)
        await asyncio.sleep(0.3)
        endpoint.end(task)
        await self.wait_until(
            lambda: self.shard.tables.state_of("a" * 16) == SubmissionState.COMPLETED
        )
        self.assertEqual(endpoint.starts, [(task, 1)])

    async def test_no_run_is_placed_under_an_odd_row(self):
        """Guards against new runs on an endpoint whose row names none to use."""
        endpoint, _ = await self.start_on_endpoint()
        other = self.add_endpoint("i-2")
        self.put_row("i-1", state="resting")
        await self.submit(submission("b" * 16, short_step(8)))
        await self.wait_until(lambda: len(other.running) == 8)
        self.assertEqual(len(endpoint.starts), 1)

    async def test_run_is_not_repeated_under_an_odd_row(self):
        """Guards against a second start of what still runs (TWICE)."""
        endpoint, task = await self.start_on_endpoint()
        other = self.add_endpoint("i-2")
        self.put_row("i-1", **ODD_FIELDS)
        await asyncio.sleep(0.3)
        self.clock.now += 2 * RETURN_GRACE_S
        await asyncio.sleep(0.3)
        self.assertEqual((endpoint.running, other.starts), ({task: 1}, []))
        endpoint.end(task)
        await self.wait_until(
            lambda: self.shard.tables.state_of("a" * 16) == SubmissionState.COMPLETED
        )

    async def test_next_holder_keeps_a_run_under_an_odd_row(self):
        """Guards against a run that a takeover repeats for its endpoint's odd row."""
        endpoint, task = await self.start_on_endpoint()
        other = self.add_endpoint("i-2")
        self.put_row("i-1", **ODD_FIELDS)
        await self.shard.close()
        shard = await self.start_shard()
        await self.wait_until(lambda: shard.loaded)
        endpoint.end(task)
        await self.wait_until(
            lambda: shard.tables.state_of("a" * 16) == SubmissionState.COMPLETED
        )
        self.assertEqual((len(endpoint.starts), other.starts), (1, []))

    async def test_endpoint_is_used_again_once_its_row_is_sound(self):
        """Guards against an endpoint that one odd row takes out for good (LOST)."""
        endpoint, task = await self.start_on_endpoint()
        endpoint.end(task)
        await self.wait_until(
            lambda: self.shard.tables.state_of("a" * 16) == SubmissionState.COMPLETED
        )
        self.put_row("i-1", **ODD_FIELDS)
        await self.submit(submission("b" * 16, short_step()))
        await asyncio.sleep(0.4)
        self.assertEqual(endpoint.running, {})
        self.put_row("i-1")
        await self.wait_until(lambda: endpoint.running)

    async def test_endpoint_with_an_odd_row_is_forgotten_once_it_is_gone(self):
        """Guards against a directory that grows with the rows of other writers."""
        self.put_row("i-1")
        self.put_row("i-1", **ODD_FIELDS)
        self.directory.apply([Row("servers", "", "i-1", b"", 9, True)], False)
        self.clock.now += RETURN_GRACE_S
        self.assertEqual(self.directory.records_of(SERVICE), {})
        record = self.directory.record_or_placeholder("i-1", SERVICE)
        self.assertEqual(record.address, "")
        self.directory.apply([Row("servers", "", "i-1", b"{", 10)], False)
        self.directory.apply([], True)
        self.clock.now += RETURN_GRACE_S
        self.directory.records_of(SERVICE)
        self.assertEqual(self.directory._unusable, set())

    async def test_odd_capacity_does_not_make_the_pool_want_more_hosts(self):
        """Guards against hosts that are moved for work that would fit on one."""
        await self.start_on_endpoint()
        await self.submit(submission("b" * 16, short_step(60)))
        await self.wait_until(lambda: "b" * 16 in self.shard.tables.progresses)
        await asyncio.sleep(0.4)
        wanted = self.shard._pool.report().wanted
        for capacity in ({}, {"cpu": 0, "mem_mb": 1}, {"cpu": -5, "mem_mb": 1}):
            with self.subTest(capacity):
                self.put_row("i-1", capacity=capacity)
                await asyncio.sleep(0.4)
                # The endpoint itself does not count as part of the pool any more.
                self.assertLessEqual(self.shard._pool.report().wanted, wanted + 1)
