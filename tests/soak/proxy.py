"""A TCP proxy on loopback that delays, resets, cuts one way or silences connections."""

import asyncio
import contextlib
import socket
import struct
from enum import StrEnum

from tests.soak.serving import LOOPBACK

CHUNK_BYTES = 65_536
POLL_S = 0.05
ORDER_PREFIX = b"POST /machine-"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0


class LinkFault(StrEnum):
    """What a link does to the bytes that it forwards; a cut affects one direction."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    CUT_REQUESTS = "cut_requests"
    CUT_ANSWERS = "cut_answers"
    SILENT = "silent"


class LinkProxy:
    """
    Forwards connections to one address.

    Bytes that a cut or a silent link holds back are delivered when the fault ends, as
    TCP would retransmit them, even if their sender has closed the connection meanwhile.
    They are lost if the sender has reset the connection.

    While ``awaited_order`` is a pending future, the link becomes silent when the next
    order arrives and holds it back. The future gets the link as its result.
    """

    def __init__(self, target_port):
        self.target_port = target_port
        self._server = None
        self._writers = set()
        self._fault = LinkFault.NONE
        self.awaited_order = None
        self.delay_s = 0.15
        self.port = 0

    async def start(self):
        """Listen; return the port."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    async def close(self):
        """Stop listening and reset all connections."""
        self._server.close()
        self.reset_connections()

    def set_fault(self, fault):
        """Apply a fault until the next call; a reset also ends open connections."""
        self._fault = fault
        if fault == LinkFault.RESET:
            self.reset_connections()

    def reset_connections(self):
        """Reset all connections; what the link holds back is lost."""
        for writer in list(self._writers):
            reset_connection(writer)

    async def _accept(self, reader, writer):
        if self._fault == LinkFault.RESET:
            reset_connection(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                LOOPBACK, self.target_port
            )
        except OSError:
            reset_connection(writer)
            return
        both = {writer, target_writer}
        self._writers |= both
        requests = self._forward(reader, target_writer, LinkFault.CUT_REQUESTS)
        answers = self._forward(target_reader, writer, LinkFault.CUT_ANSWERS)
        try:
            await asyncio.gather(requests, answers)
        finally:
            self._writers -= both
            for each in both:
                each.close()

    async def _forward(self, reader, writer, direction_cut):
        """Forward the bytes and the end of one direction; a cut holds back both."""
        try:
            while data := await self._read(reader, direction_cut):
                if self._fault == LinkFault.DELAY:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            await self._wait_while_cut(direction_cut)
            reset_connection(writer)

    async def _read(self, reader, direction_cut):
        """Return bytes once the link forwards them; raise if their sender has reset."""
        data = await reader.read(CHUNK_BYTES)
        if data.startswith(ORDER_PREFIX):
            self._silence_if_awaited()
        await self._wait_while_cut(direction_cut)
        if reader.exception() is not None:
            raise reader.exception()
        return data

    def _silence_if_awaited(self):
        if self.awaited_order is not None and not self.awaited_order.done():
            self._fault = LinkFault.SILENT
            self.awaited_order.set_result(self)

    async def _wait_while_cut(self, direction_cut):
        while self._fault in (direction_cut, LinkFault.SILENT):
            await asyncio.sleep(POLL_S)


def reset_connection(writer):
    """Reset a connection; an abort alone would end it like a graceful close."""
    with contextlib.suppress(OSError):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
