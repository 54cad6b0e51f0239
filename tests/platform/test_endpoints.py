import json
import unittest

from magnoliapier.exceptions import (
    EndpointError,
    EndpointNotReachedError,
    EndpointUnreachableError,
    MessageError,
    OrderRefusedError,
)
from magnoliapier.metrics import Metrics
from magnoliapier.platform.endpoints import HttpEndpointClient
from magnoliapier.platform.http import open_session
from magnoliapier.platform.program import decode_endpoint
from magnoliapier.service.orders import StartOrder
from tests.platform.test_addresses import ADDRESSES, ODD_ADDRESSES, ODD_IDS
from tests.soak.serving import HttpServer, json_answer

FIELDS = {
    "service": "s",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 1, "mem_mb": 1},
}


class EndpointClientTests(unittest.IsolatedAsyncioTestCase):
    """Tests the client against a server that answers with ``self.body``."""

    async def asyncSetUp(self):
        self.body = b'{"clock_ms": 1}'
        self.ids = []
        self.status = 200
        self.server = HttpServer(self.serve)
        self.port = await self.server.start()
        self.addAsyncCleanup(self.server.close)
        session = open_session()
        self.addAsyncCleanup(session.close)
        self.client = HttpEndpointClient(session, Metrics())

    async def serve(self, request):
        self.ids.append(request.headers["X-Magnoliapier-Target-Instance"])
        answer = json_answer({}, self.status)
        answer.body = self.body
        return answer

    def record(self, endpoint_id, address):
        data = json.dumps({**FIELDS, "address": address}).encode()
        return decode_endpoint(endpoint_id, data)

    async def call(self, endpoint_id, address):
        """Call what a row names; only errors that sessions handle may be raised."""
        try:
            record = self.record(endpoint_id, address)
        except MessageError:
            return
        order = StartOrder("a.0.0.0", 1, "", 1, 1)
        for call in (
            self.client.start(record, order),
            self.client.stop(record, "a.0.0.0", 1, 1),
            self.client.inspect(record, 1, None, 0, 0),
        ):
            try:
                await call
            except EndpointError as error:
                self.assertTrue(str(error))

    async def test_calls_to_an_odd_address_fail_as_an_endpoint_does(self):
        """
        Guards against a run that is neither listed nor given up (LOST).

        An address that no URL can hold made each call fail with an unexpected error.
        """
        for address in (*ADDRESSES, *ODD_ADDRESSES):
            with self.subTest(address):
                await self.call("i-1", address)

    async def test_calls_to_an_odd_id_fail_as_an_endpoint_does(self):
        """Guards against a header that cannot be sent, found out in each call."""
        for endpoint_id in ("i-1", *ODD_IDS):
            with self.subTest(endpoint_id):
                await self.call(endpoint_id, f"127.0.0.1:{self.port}")
        self.assertEqual(set(self.ids), {"i-1"})

    async def test_call_without_a_connection_was_not_sent(self):
        """Guards against a task that waits for a start which nobody received (LOST)."""
        await self.server.close()
        record = self.record("i-1", f"127.0.0.1:{self.port}")
        with self.assertRaises(EndpointNotReachedError):
            await self.client.start(record, StartOrder("a.0.0.0", 1, "", 1, 1))

    async def test_odd_answers_count_as_no_answer(self):
        """Guards against an answer that ends the session of its endpoint."""
        record = self.record("i-1", f"127.0.0.1:{self.port}")
        deep = b"[" * 100_000 + b"]" * 100_000
        for body in (b"", b"\xff", deep, b'{"x":' + deep + b"}", b'{"clock_ms":1e999}'):
            self.body = body
            with self.subTest(body[:9]), self.assertRaises(EndpointError):
                await self.client.inspect(record, 1, None, 0, 0)

    async def test_only_a_refusal_says_that_nothing_was_done(self):
        """Guards against a second run while the first was started (TWICE)."""
        record = self.record("i-1", f"127.0.0.1:{self.port}")
        order = StartOrder("a.0.0.0", 1, "", 1, 1)
        for status in (201, 204, 304, 500, 502, 504, 599):
            self.status = status
            with self.subTest(status), self.assertRaises(EndpointUnreachableError):
                await self.client.start(record, order)
        for status in (400, 404, 409, 413, 421, 429, 503):
            self.status = status
            with self.subTest(status), self.assertRaises(OrderRefusedError):
                await self.client.start(record, order)
