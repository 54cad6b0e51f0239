"""One HTTP client session for all calls of the process, by aiohttp."""

import socket
import struct

import aiohttp

CONNECTIONS_PER_ADDRESS = 24
KEEPALIVE_S = 14.0
CONNECT_TIMEOUT_S = 0.5
LARGE_ANSWER_S = 15.0
USER_TIMEOUT_MS = 4000  # unacknowledged bytes break a silent connection
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # linger on, for no time


def _open_socket(address_info):
    family, kind, protocol, *_ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    # A call that has ended must not arrive any more. The kernel would go on sending
    # what a closed connection has left; a reset drops it, also after a kill.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return sock


def open_session():
    """Return the client session; close it with ``await session.close()``."""
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=CONNECTIONS_PER_ADDRESS,
        keepalive_timeout=KEEPALIVE_S,
        use_dns_cache=False,
        socket_factory=_open_socket,
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
