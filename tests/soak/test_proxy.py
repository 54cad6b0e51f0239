import asyncio
import unittest

from tests.soak.proxy import LinkFault, LinkProxy, reset
from tests.soak.serving import LOOPBACK

ORDER = b"POST /machine-move"
LIMIT_S = 5.0
SPREAD_S = 0.2  # for loopback to carry what was sent


class HeldBytesTests(unittest.IsolatedAsyncioTestCase):
    """A cut must hold back what a network holds back, and lose only what it loses."""

    async def asyncSetUp(self):
        self.received = []
        self.ended = asyncio.get_running_loop().create_future()
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.proxy = LinkProxy(self.server.sockets[0].getsockname()[1])
        await self.proxy.start()

    async def asyncTearDown(self):
        await self.proxy.close()
        self.server.close()
        await self.server.wait_closed()

    async def serve(self, reader, writer):
        try:
            while data := await reader.read(1024):
                self.received.append(data)
                writer.write(b"answer")
            self.ended.set_result("closed")
        except ConnectionResetError:
            self.ended.set_result("reset")
        finally:
            writer.close()

    async def send_into(self, fault):
        """Open a connection, cut the link and send an order; return its writer."""
        reader, writer = await asyncio.open_connection(LOOPBACK, self.proxy.port)
        writer.write(b"first")
        await reader.readexactly(len(b"answer"))
        self.proxy.break_link(fault)
        writer.write(ORDER)
        await asyncio.sleep(SPREAD_S)
        return writer

    async def heal(self):
        """End the fault; return how the connection ended at its far side."""
        await asyncio.sleep(SPREAD_S)
        self.assertFalse(self.ended.done())
        self.assertEqual(self.received, [b"first"])
        self.proxy.break_link(LinkFault.NONE)
        return await asyncio.wait_for(self.ended, LIMIT_S)

    async def test_held_bytes_arrive_after_a_graceful_close(self):
        """Guards against a cut that hides orders which arrive after a successor's."""
        for fault in (LinkFault.SILENT, LinkFault.CUT_REQUESTS):
            with self.subTest(fault):
                self.received.clear()
                self.ended = asyncio.get_running_loop().create_future()
                (await self.send_into(fault)).close()
                self.assertEqual(await self.heal(), "closed")
                self.assertEqual(self.received, [b"first", ORDER])

    async def test_held_bytes_are_lost_after_a_reset(self):
        """Guards against reports of orders that a real network loses."""
        reset(await self.send_into(LinkFault.SILENT))
        self.assertEqual(await self.heal(), "reset")
        self.assertEqual(self.received, [b"first"])

    async def test_link_falls_silent_as_an_order_passes(self):
        """Guards against a cut that comes before or after the order it should hold."""
        self.proxy.awaited_order = asyncio.get_running_loop().create_future()
        writer = await self.send_into(LinkFault.NONE)
        self.assertIs(self.proxy.awaited_order.result(), self.proxy)
        writer.close()
        self.assertEqual(await self.heal(), "closed")
        self.assertEqual(self.received, [b"first", ORDER])
