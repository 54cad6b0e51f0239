import unittest

from aiohttp import web

from magnoliapier.platform.http import open_session
from magnoliapier.service.peers import Peers
from magnoliapier.state.lease import LeaseRecord
from magnoliapier.submissions.model import SubmissionState
from tests.soak.serving import HttpServer


class PeersTests(unittest.IsolatedAsyncioTestCase):
    """Asks a server that answers with ``self.body``, or at an odd address."""

    async def asyncSetUp(self):
        self.body = b'{"state":"running"}'
        self.paths = []
        self.server = HttpServer(self.serve)
        self.address = f"127.0.0.1:{await self.server.start()}"
        self.addAsyncCleanup(self.server.close)
        session = open_session()
        self.addAsyncCleanup(session.close)
        self.peers = Peers(session, self, lambda service: None)

    async def serve(self, request):
        self.paths.append(request.path)
        return web.Response(body=self.body)

    def holder(self, service):
        return LeaseRecord("host-2", "p", self.address, 1)

    async def test_holder_is_asked(self):
        """Guards against a state that is read from the store although it is older."""
        state = await self.peers.state("desk", "a" * 16)
        self.assertEqual(state, SubmissionState.RUNNING)

    async def test_odd_answers_count_as_none(self):
        """Guards against a request that ends with an internal error."""
        deep = b"[" * 100_000 + b"]" * 100_000
        for body in (
            b"",
            b"\xff",
            b'{"state":"resting"}',
            b'{"state":"running","x":' + deep + b"}",
            b'{"pending":"many","x":1e999}',
        ):
            self.body = body
            with self.subTest(body[:30]):
                self.assertIsNone(await self.peers.state("desk", "a" * 16))
                self.assertIsNone(await self.peers.pending("desk", "filings"))

    async def test_odd_addresses_count_as_no_answer(self):
        """Guards against the same for a lease row that names no address."""
        for address in ("", "10.0.0.1:65536", "[::1:7060", "a..b:1", "10.0.0.1:x"):
            self.address = address
            with self.subTest(address):
                self.assertIsNone(await self.peers.state("desk", "a" * 16))
