"""Opens the process's HTTP client sessions, with their timeouts and socket options."""

import socket
import struct
from functools import partial

import aiohttp

CONNECTIONS_PER_ADDRESS = 24
KEEPALIVE_S = 14.0
CONNECT_TIMEOUT_S = 0.5
LARGE_ANSWER_TIMEOUT_S = 15.0
USER_TIMEOUT_MS = 4000  # after which unacknowledged bytes end the connection
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on, with a linger time of 0 s


def open_socket(address_info, user_timeout_ms=USER_TIMEOUT_MS):
    """Return a client socket that the kernel closes if its peer stops acknowledging."""
    family, kind, protocol, *_ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
    # A request must not arrive after its call has ended. By default the kernel goes on
    # sending the bytes that a closed connection has left; with a reset it drops them,
    # also when the process is killed.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return sock


def open_session(user_timeout_ms=USER_TIMEOUT_MS):
    """
    Return a client session; close it with ``await session.close()``.

    The kernel ends a connection, and drops the bytes still to be sent on it, if bytes
    are not acknowledged for ``user_timeout_ms``. It does so also while the process is
    paused.
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


def progress_timeout(read_timeout_s):
    """
    Return aiohttp's time limits for a call with a large response.

    The call fails if no byte arrives for ``read_timeout_s``, or in any case after
    LARGE_ANSWER_TIMEOUT_S.
    """
    return aiohttp.ClientTimeout(
        total=LARGE_ANSWER_TIMEOUT_S,
        sock_connect=CONNECT_TIMEOUT_S,
        sock_read=read_timeout_s,
    )


def call_timeout(total_s):
    """Return aiohttp's time limits for a call of ``total_s`` seconds."""
    return aiohttp.ClientTimeout(
        total=total_s, sock_connect=min(total_s, CONNECT_TIMEOUT_S)
    )
