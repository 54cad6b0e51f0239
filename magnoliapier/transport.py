"""
Signed messages over TCP streams and UDP datagrams.

A TCP frame is a 4-byte big-endian length and a signed message. A datagram is one
signed message.
"""

import socket
import struct

from magnoliapier.auth import TAG_BYTES, sign_message, verify_message
from magnoliapier.exceptions import MessageError
from magnoliapier.messages import MAX_MESSAGE_BYTES, decode, encode

LENGTH = struct.Struct(">I")
MAX_DATAGRAM_BYTES = 60_000


def parse_address(text):
    """Return ``IP:port`` as the (host, port) tuple that sockets expect."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def send_message(connection, message, key):
    """Send one framed message over a connected TCP socket."""
    signed = sign_message(key, encode(message))
    connection.sendall(LENGTH.pack(len(signed)) + signed)


def receive_message(connection, key):
    """
    Return the next message of a TCP socket, or None at the end of the stream.

    Raise MessageError for a frame that is cut off, too large or not a message, and
    AuthenticationError if its tag does not match ``key``.
    """
    header = receive_exactly(connection, LENGTH.size)
    if header is None:
        return None
    (length,) = LENGTH.unpack(header)
    if length > MAX_MESSAGE_BYTES + TAG_BYTES:
        raise MessageError("A frame is too large; check the sender's version.")
    signed = receive_exactly(connection, length)
    if signed is None:
        raise MessageError("A frame was cut off; connect again.")
    return decode(verify_message(key, signed))


def receive_exactly(connection, count):
    """
    Return ``count`` bytes, or None if the stream ends before the first one.

    Raise MessageError if the stream ends after it.
    """
    chunks = []
    missing = count
    while missing:
        chunk = connection.recv(min(missing, 65_536))
        if not chunk:
            if chunks:
                raise MessageError("A frame was cut off; connect again.")
            return None
        chunks.append(chunk)
        missing -= len(chunk)
    return b"".join(chunks)


def open_stream(address, timeout_s):
    """Return a TCP connection to ``IP:port`` with Nagle's algorithm disabled."""
    connection = socket.create_connection(parse_address(address), timeout_s)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def pack_datagram(message, key):
    """Return a message as one datagram; raise MessageError if it does not fit."""
    data = sign_message(key, encode(message))
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MessageError("A message does not fit a datagram; send it by TCP.")
    return data


def unpack_datagram(data, key):
    """
    Return the message of a datagram.

    Raise AuthenticationError if its tag does not match ``key``, and MessageError if the
    signed data is not a message.
    """
    return decode(verify_message(key, data))
