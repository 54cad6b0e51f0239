"""The HTTP client sessions of the process, by aiohttp."""

import socket
import struct
from functools import partial

import aiohttp

CONNECTIONS_PER_ADDRESS = 24
KEEPALIVE_S = 14.0
CONNECT_TIMEOUT_S = 0.5
LARGE_ANSWER_S = 15.0
USER_TIMEOUT_MS = 4000  # unacknowledged bytes break a silent connection
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # linger on, for no time


def open_socket(address_info, user_timeout_ms=USER_TIMEOUT_MS):
    """Return a client socket whose unacknowledged bytes break it after a while."""
    family, kind, protocol, *_ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
    # A call that has ended must not arrive any more. The kernel would go on sending
    # what a closed connection has left; a reset drops it, also after a kill.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return sock


def open_session(user_timeout_ms=USER_TIMEOUT_MS):
    """
    Return a client session; close it with ``await session.close()``.

    The kernel gives up bytes that are not acknowledged for ``user_timeout_ms``, also
    while the process is paused.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=CONNECTIONS_PER_ADDRESS,
        keepalive_timeout=KEEPALIVE_S,
        use_dns_cache=False,
        socket_factory=partial(open_socket, user_timeout_ms=user_timeout_ms),
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        headers={"Content-Type": "application/json"},
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def progress_timeout(silence_s):
    """Return limits for a large answer: it may last while its bytes keep coming."""
    return aiohttp.ClientTimeout(
        total=LARGE_ANSWER_S, sock_connect=CONNECT_TIMEOUT_S, sock_read=silence_s
    )


def call_timeout(total_s):
    """Return aiohttp's time limits for a call of ``total_s`` seconds."""
    return aiohttp.ClientTimeout(
        total=total_s, sock_connect=min(total_s, CONNECT_TIMEOUT_S)
    )
