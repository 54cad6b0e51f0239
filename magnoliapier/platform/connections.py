"""
HTTP connections that bound the memory and processor time that a caller can take up.

Subclasses aiohttp's server and its connections. The decisions are in request_limits and
connection_limits.
"""

import asyncio
import socket
from collections import deque

from aiohttp import web
from aiohttp.http_exceptions import BadHttpMessage, HttpProcessingError

from magnoliapier.platform.request_limits import RequestMeter

READ_BYTES = 4_096
BODY_READ_BYTES = 32_768  # of a body in large pieces, whose bytes cost little
# While a body comes in tiny chunks; 170 of one byte, each parsed by several calls.
COSTLY_READ_BYTES = 1_024
STREAM_BYTES = 16_384  # aiohttp stops reading at twice as many unread bytes of a body
SOCKET_BUFFER_BYTES = 16_384  # the kernel keeps twice as much
# The connections that have more to read and go on in one pass of the event loop. With
# more, ordinary requests wait longer for each pass.
TURNS_PER_PASS = 4
SWEEP_INTERVAL_S = 0.5  # between two checks for heads that are late
# Added to the configured time limits, which are meant as the caller measures them:
# bytes take time to arrive and to be read.
DEADLINE_GRACE_S = 0.5
LINGER_S = 2.0  # for which the rest of a refused body is read and dropped
# Requests sent ahead on one connection. aiohttp keeps 32, whose heads may be 512 KB.
MAX_QUEUED_REQUESTS = 2
LISTEN_BACKLOG = 512
TOO_LONG = "Send shorter headers, trailers and chunk extensions."
# The event loop accepts so many connections at a time, and counts them only afterwards.
ACCEPTED_PER_PASS = 16


class MeteredParser:
    """Passes a connection's bytes to its parser and counts those outside bodies."""

    def __init__(self, parser, connection):
        self._parser = parser
        self._connection = connection

    def feed_data(self, data):
        """Parse bytes; raise an HttpProcessingError if they are refused."""
        connection = self._connection
        try:
            result = self._parser.feed_data(data)
        except HttpProcessingError as error:
            connection.server.refused("malformed_request")
            connection.meter.fail_body(web.RequestPayloadError(error.message))
            raise
        messages = result[0]
        # Without data, requests come out that were kept while the queue was full.
        if messages:
            connection.meter.end_head(messages[-1][1])
        elif data:
            limits = connection.server.limits()
            excess = connection.meter.read(data, limits.max_header_bytes)
            if excess:
                connection.server.refused(excess)
                connection.meter.fail_body(web.RequestPayloadError(TOO_LONG))
                raise BadHttpMessage(TOO_LONG)
        return result

    def __getattr__(self, name):
        return getattr(self._parser, name)


class Connection(web.RequestHandler, asyncio.BufferedProtocol):
    """
    One connection, which reads a bounded slice of its bytes at a time.

    A read that leaves more to read, or was costly to parse, is followed by a turn of
    the other connections.
    """

    __slots__ = ("server", "meter", "_waits_for_turn")

    def __init__(self, server, loop, options):
        super().__init__(server, loop=loop, **options)
        self.server = server
        self.meter = RequestMeter()
        self._waits_for_turn = False
        self._max_msg_queue_size = MAX_QUEUED_REQUESTS
        self._msg_queue_resume_size = MAX_QUEUED_REQUESTS - 1
        self._parser = MeteredParser(self._parser, self)

    def connection_made(self, transport):
        """Count the connection; see asyncio.Protocol."""
        super().connection_made(transport)
        self.server.opened(self)

    def connection_lost(self, exc):
        """Stop counting the connection; see asyncio.Protocol."""
        self.server.closed(self)
        super().connection_lost(exc)

    def get_buffer(self, sizehint):
        """Return the buffer for the next read; see asyncio.BufferedProtocol."""
        meter = self.meter
        return self.server.read_buffer(meter.in_body, meter.costly)

    def buffer_updated(self, size):
        """Take in a read; see asyncio.BufferedProtocol."""
        buffer = self.get_buffer(-1)  # the one that was read into
        meter = self.meter
        was_in_head = meter.in_head
        self.data_received(bytes(buffer[:size]))
        if meter.in_head != was_in_head:
            self.server.head_changed(self, meter.in_head)
        if (size == len(buffer) or meter.costly) and self.transport is not None:
            self._waits_for_turn = True
            self._pause_transport_reading()
            self.server.await_turn(self)

    def take_turn(self):
        """Go on reading, unless aiohttp has paused the connection meanwhile."""
        self._waits_for_turn = False
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self):
        if not self._waits_for_turn:
            super()._resume_transport_reading()

    def _process_keepalive(self):
        # An unfinished head has a deadline of its own, which may end later.
        if self.meter.in_head:
            self._next_keepalive_close_time = self._loop.time() + SWEEP_INTERVAL_S
        super()._process_keepalive()

    def handle_error(self, request, status=500, exc=None, message=None):
        """
        Return the response to an error.

        Malformed requests are counted and not logged: aiohttp would write a traceback
        for each.
        """
        if status != 400:
            return super().handle_error(request, status, exc, message)
        response = web.Response(status=400, text="Send a valid HTTP request.")
        response.force_close()
        return response

    def log_exception(self, *args, **kwargs):
        """Log an unexpected error, but not a body that is not readable to its end."""
        if not isinstance(kwargs.get("exc_info"), web.RequestPayloadError):
            super().log_exception(*args, **kwargs)

    def drop(self):
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()


class BoundedServer(web.Server):
    """
    A server whose connections are bounded in number, and in what each may send.

    ``limits()`` returns the RequestLimits in force, ``table`` is a ConnectionTable and
    ``refused(reason)`` is called with each refusal.
    """

    def __init__(self, handler, limits, table, refused):
        super().__init__(handler)
        self.limits = limits
        self.refused = refused
        self.table = table
        self._handler_loop = asyncio.get_running_loop()
        self._body_buffer = memoryview(bytearray(BODY_READ_BYTES))
        self._buffer = self._body_buffer[:READ_BYTES]
        self._costly_buffer = self._body_buffer[:COSTLY_READ_BYTES]
        self._turns = deque()
        self._heads = {}  # the connections with an unfinished head, and since when
        self._sweep = None

    def __call__(self):
        """Return a new connection."""
        limits = self.limits()
        options = {
            "access_log": None,
            "keepalive_timeout": limits.idle_timeout_ms / 1000 + DEADLINE_GRACE_S,
            "max_line_size": limits.max_header_bytes,
            "max_field_size": limits.max_header_bytes,
            "lingering_time": LINGER_S,
            "read_bufsize": STREAM_BYTES,
        }
        return Connection(self, self._handler_loop, options)

    def read_buffer(self, in_body, costly):
        """Return the buffer for one read, which all connections share."""
        if costly:
            return self._costly_buffer
        return self._body_buffer if in_body else self._buffer

    def opened(self, connection):
        """Count a connection, and close one if there are too many."""
        self.table.add(connection)
        for oldest in self.table.excess():
            self.refused("too_many_connections")
            oldest.drop()

    def closed(self, connection):
        """Stop counting a connection."""
        self.table.remove(connection)
        self._heads.pop(connection, None)

    def head_changed(self, connection, begun):
        """Note that a head has begun, or ended."""
        if not begun:
            self._heads.pop(connection, None)
            return
        self._heads[connection] = self._handler_loop.time()
        if self._sweep is None:
            self._schedule_sweep()

    def _schedule_sweep(self):
        self._sweep = self._handler_loop.call_later(
            SWEEP_INTERVAL_S, self._close_late_heads
        )

    def _close_late_heads(self):
        self._sweep = None
        limit_s = self.limits().header_timeout_ms / 1000 + DEADLINE_GRACE_S
        since = self._handler_loop.time() - limit_s
        for connection, begun_at in list(self._heads.items()):
            if begun_at > since:
                break
            del self._heads[connection]
            self.refused("head_too_late")
            connection.drop()
        if self._heads:
            self._schedule_sweep()

    def await_turn(self, connection):
        """Let a connection go on after those that wait already."""
        self._turns.append(connection)
        if len(self._turns) == 1:
            self._handler_loop.call_soon(self._give_turns)

    def _give_turns(self):
        for _ in range(min(TURNS_PER_PASS, len(self._turns))):
            self._turns.popleft().take_turn()
        if self._turns:
            self._handler_loop.call_soon(self._give_turns)

    async def shutdown(self, timeout=None):
        """Close all connections; see web.Server."""
        if self._sweep is not None:
            self._sweep.cancel()
        await super().shutdown(timeout)


def listening_socket(host, port):
    """Return a bound socket whose connections get small buffers in the kernel."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        sock.setblocking(False)
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock


async def listen(runner, host, port):
    """Let a runner's server listen on an address; connections wait in the kernel."""
    sock = listening_socket(host.strip("[]") or "0.0.0.0", port)
    await web.SockSite(runner, sock, backlog=ACCEPTED_PER_PASS).start()
    # The event loop accepts as many at once as the backlog that it was given.
    sock.listen(LISTEN_BACKLOG)
