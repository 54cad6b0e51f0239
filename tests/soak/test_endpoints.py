import asyncio
import random
import unittest
from unittest import mock

import aiohttp

from tests.soak import endpoints
from tests.soak.endpoints import INSTANCE_HEADER
from tests.soak.ledger import Ledger, SubmissionRecord
from tests.soak.machines import MachinesStandIn
from tests.soak.serving import LOOPBACK
from tests.soak.store import StoreStandIn

ID = "00000000000000aa"
TASK, OTHER = f"{ID}.0.0.0", f"{ID}.0.0.1"
FAR_MS = 3_600_000
STEP = {"count": 2, "cpu": 1000, "mem_mb": 1000, "estimated_ms": 10}


class EndpointTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs one host with an endpoint whose tasks last 10 ms and do not fail."""

    step = STEP

    async def asyncSetUp(self):
        self.ledger = Ledger()
        submission = SubmissionRecord(ID, [self.step], max_attempts=2, accepted=True)
        self.ledger.record_submission(submission)
        self.store = StoreStandIn(random.Random(1))
        self.machines = MachinesStandIn(
            {"alpha": 1}, random.Random(1), self.store, self.ledger
        )
        await self.machines.start()
        self.addAsyncCleanup(self.machines.close)
        self.host = self.machines.hosts["host-0"]
        self.endpoint = self.host.endpoint
        self.endpoint.faults.fail_share = 0.0
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def call(self, path, token=1, **body):
        """Return (status, body) of an order; raise ClientError if it is unanswered."""
        url = f"http://{LOOPBACK}:{self.endpoint.proxy.port}{path}"
        headers = {INSTANCE_HEADER: self.endpoint.endpoint_id}
        body |= {"fencing_token": token}
        async with self.session.post(url, json=body, headers=headers) as response:
            return response.status, await response.json()

    async def begin(self, task, run=1, token=1):
        return await self.call(
            "/run-start", token, task=task, run=run, deadline_ms=FAR_MS
        )

    async def list_runs(self, acked_through=0, token=1):
        _, body = await self.call("/hold", token, acked_through=acked_through)
        return body

    async def list_ended(self, count):
        """Return a listing once it shows ``count`` ends."""
        while len((listing := await self.list_runs())["ended"]) < count:
            await asyncio.sleep(0.01)
        return listing


class CrashTests(EndpointTestCase):
    step = STEP | {"long_running": True}

    async def test_late_order_is_lost_in_a_crash(self):
        """Guards against runs that start on a crashed endpoint and never end."""
        self.endpoint.faults.late_share = 1.0
        with mock.patch.object(endpoints, "LATE_ORDER_S", 0.3):
            order = asyncio.create_task(self.begin(TASK))
            await asyncio.sleep(0.1)
            await self.endpoint.crash()
            with self.assertRaises(aiohttp.ClientError):
                await order
            await asyncio.sleep(0.4)
        self.assertNotIn("starts", self.ledger.counts)
