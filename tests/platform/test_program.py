import asyncio
import unittest
from unittest import mock

import msgspec

from magnoliapier.platform import ingress, program
from magnoliapier.platform.boot import BootSettings
from magnoliapier.platform.machines import CALL_TIMEOUT_MS
from magnoliapier.service import store_probe
from magnoliapier.state.lease import LEASE_KEY
from magnoliapier.submissions.configuration import Configuration, Queue
from tests.service.fakes import FakeStore
from tests.waiting import LIMIT_S, wait_until

SETTINGS = {
    "node_name": "node-1",
    "ip": "127.0.0.1",
    "listen": {"front": "127.0.0.1:1", "ready_address": "127.0.0.1:2"},
    "internal_ports": [7060, 7075],
    "platform": {"address": "127.0.0.1:3"},
    "cloud_api": {"address": "127.0.0.1:4", "duty_per_s": 12},
    "bounds": {"lease_ms": 2500},
}


class ProgramTests(unittest.TestCase):
    """Tests which settings and sessions the program passes to the node and clients."""

    def setUp(self):
        for name in ("Node", "Ingress", "TableWatcher", "MachineClient"):
            patcher = mock.patch.object(program, name)
            setattr(self, name, patcher.start())
            self.addCleanup(patcher.stop)
        patcher = mock.patch.object(program, "open_session", side_effect=self.session)
        patcher.start()
        self.addCleanup(patcher.stop)
        program.Program(msgspec.convert(SETTINGS, BootSettings))

    def session(self, user_timeout_ms=None):
        """Return a text that stands for a session with this timeout."""
        return f"session with {user_timeout_ms}"

    def test_session_of_host_orders_has_a_short_tcp_user_timeout(self):
        """Guards against an order that the kernel delivers after its call has ended."""
        session, *_ = self.MachineClient.call_args.args
        self.assertEqual(session, f"session with {CALL_TIMEOUT_MS}")

    def test_host_order_gap_comes_from_the_settings(self):
        """Guards against a gap of zero, or of another platform's value."""
        _, settings, _ = self.Node.call_args.args
        self.assertEqual(settings.host_order_gap_s, 2.5)

    def test_rate_of_host_orders_comes_from_the_settings(self):
        """Guards against orders that the platform refuses as too many."""
        _, settings, _ = self.Node.call_args.args
        self.assertEqual(settings.host_orders_per_s, 12.0)


class ShutdownTests(unittest.IsolatedAsyncioTestCase):
    """Stops a program while a caller's request waits for a probe of the store."""

    async def asyncSetUp(self):
        self.store = FakeStore()
        self.store.last_answer_at = None
        self.probed = asyncio.Event()
        self.answer_probe = asyncio.Event()
        self.store.read = self.read
        for owner, name, value in (
            (program, "DRAIN_TIME_S", 0.1),
            (program, "TableStore", lambda *args: self.store),
            (ingress, "METRICS_PORT", 0),
        ):
            patcher = mock.patch.object(owner, name, value)
            patcher.start()
            self.addCleanup(patcher.stop)
        listen = {"front": "127.0.0.1:0", "ready_address": "127.0.0.1:0"}
        settings = SETTINGS | {"listen": listen, "internal_ports": [0, 0]}
        self.program = program.Program(msgspec.convert(settings, BootSettings))
        queue = Queue("q", "h", "/q/", "s")
        self.program._node.configure(Configuration(1, (queue,), ()))
        await self.program._ingress.start()

    async def read(self, table, part, first_key="", end_key=""):
        if first_key == LEASE_KEY:
            self.probed.set()
            await self.answer_probe.wait()
        return await FakeStore.read(self.store, table, part, first_key, end_key)

    async def post(self):
        """Send a submission and return all that is received before the end."""
        _, port = self.program._ingress._runners[-1].addresses[0]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        body = b'{"spec":"x","steps":[{"count":1}]}'
        head = f"POST /q/{'0' * 16} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}"
        writer.write(f"{head}\r\n\r\n".encode() + body)
        received = await asyncio.wait_for(reader.read(), LIMIT_S)
        writer.close()
        return received

    async def test_new_callers_do_not_keep_the_process_from_ending(self):
        """Guards against a crowd whose requests leave no moment without one."""

        def in_flight(served):
            return int(any(runner.sites for runner in served._runners))

        with mock.patch.object(ingress.Ingress, "in_flight", property(in_flight)):
            await asyncio.wait_for(self.program._drain(), LIMIT_S)

    async def stop_during_a_probe(self, answered):
        """Return what the caller receives; the probe gets an answer or times out."""
        if answered:
            limit = mock.patch.object(store_probe, "PROBE_TIMEOUT_S", LIMIT_S)
            self.enterContext(limit)
        caller = asyncio.create_task(self.post())
        await self.probed.wait()
        stopping = asyncio.create_task(self.program._drain())
        await wait_until(lambda: self.program._node.stopping)
        await asyncio.sleep(2 * program.DRAIN_TIME_S)  # the drain waits for the answer
        if answered:
            self.answer_probe.set()
        received = await caller
        await stopping
        return received

    async def test_submission_that_waits_is_stored_and_answered(self):
        """Guards against a request whose connection ends without an answer (LOST)."""
        received = await self.stop_during_a_probe(answered=True)
        self.assertTrue(received.startswith(b"HTTP/1.1 200"), received)
        self.assertTrue(self.store.commits)

    async def test_submission_that_waits_for_a_silent_store_is_refused(self):
        """Guards against a refusal of what is stored, and against no answer."""
        received = await self.stop_during_a_probe(answered=False)
        self.assertTrue(received.startswith(b"HTTP/1.1 503"), received)
        self.assertFalse(self.store.commits)

    async def test_node_is_closed_after_the_ingress(self):
        """Guards against a request that finds what it needs closed already."""
        node = self.program._node
        close = node.close
        servers = []

        async def close_and_record():
            servers.append(self.program._ingress._runners[-1].server)
            await close()

        node.close = close_and_record
        await self.program._drain()
        self.assertEqual(servers, [None])
