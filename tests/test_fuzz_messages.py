import socket
import struct
import unittest

from hypothesis import given, strategies as st

from magnoliapier.auth import TAG_BYTES, sign_message
from magnoliapier.exceptions import AuthenticationError, MessageError
from magnoliapier.messages import (
    Demand,
    Grant,
    Heartbeat,
    PullReply,
    StateUpdate,
    decode,
    encode,
)
from magnoliapier.transport import (
    MAX_DATAGRAM_BYTES,
    pack_datagram,
    receive_message,
    unpack_datagram,
)
from tests.hostile_table import FUZZ_SETTINGS

KEY = "key"
names = st.text(max_size=12)
numbers = st.integers(0, 2**32 - 1)
long_numbers = st.integers(0, 2**64 - 1)
heartbeats = st.builds(
    Heartbeat,
    name=names,
    data_centre=names,
    incarnation=long_numbers,
    seq=long_numbers,
    eligible=st.booleans(),
    sent_at_ms=long_numbers,
    demand=st.lists(st.builds(Demand, names, numbers, numbers), max_size=3),
    busy_hosts=st.lists(names, max_size=3),
    grants=st.lists(
        st.builds(
            Grant, names, long_numbers, names, long_numbers, long_numbers, numbers
        ),
        max_size=3,
    ),
)
messages = st.one_of(
    heartbeats,
    st.builds(StateUpdate, st.binary(max_size=50), st.lists(st.binary(), max_size=3)),
    st.builds(PullReply, names, st.booleans(), st.binary(), st.lists(st.binary())),
)


class MessageFuzzTests(unittest.TestCase):
    """Guards against a peer's message that crashes the receiver or fills its memory."""

    def decode(self, data):
        try:
            return decode(data)
        except MessageError:
            return None

    @FUZZ_SETTINGS
    @given(messages)
    def test_round_trip(self, message):
        try:
            data = encode(message)
        except MessageError:
            return
        self.assertEqual(decode(data), message)

    @FUZZ_SETTINGS
    @given(st.binary(max_size=300))
    def test_any_bytes(self, data):
        self.decode(data)

    @FUZZ_SETTINGS
    @given(messages, st.data())
    def test_mutated(self, message, data):
        encoded = bytearray(encode(message))
        for _ in range(data.draw(st.integers(1, 4))):
            position = data.draw(st.integers(0, len(encoded) - 1))
            encoded[position] = data.draw(st.integers(0, 255))
        self.decode(bytes(encoded[: data.draw(st.integers(0, len(encoded)))]))

    @FUZZ_SETTINGS
    @given(st.integers(0, 2**32 - 1), st.integers(0, 2**32 - 1), st.binary(max_size=40))
    def test_hostile_sizes(self, segments, size, rest):
        """Guards against a size field that makes the decoder allocate gigabytes."""
        header = struct.pack("<II", segments, size)
        self.decode(pack(header + rest))

    @FUZZ_SETTINGS
    @given(st.integers(1, 255), st.integers(1, 200))
    def test_runs_of_zero_words(self, count, runs):
        """Guards against packed zeros that expand without bound."""
        self.decode(bytes([0, count]) * runs)

    @FUZZ_SETTINGS
    @given(heartbeats, st.data())
    def test_datagrams(self, message, data):
        packed = bytearray(pack_datagram(message, KEY))
        position = data.draw(st.integers(0, len(packed) - 1))
        packed[position] ^= data.draw(st.integers(1, 255))
        with self.assertRaises(AuthenticationError):
            unpack_datagram(bytes(packed), KEY)

    @FUZZ_SETTINGS
    @given(st.binary(max_size=60))
    def test_signed_garbage(self, data):
        for unpack in (unpack_datagram, self.receive):
            try:
                unpack(sign_message(KEY, data), KEY)
            except (MessageError, AuthenticationError):
                continue

    @FUZZ_SETTINGS
    @given(st.binary(max_size=60))
    def test_any_stream(self, data):
        try:
            self.receive(data, KEY, framed=False)
        except (MessageError, AuthenticationError):
            return

    def receive(self, data, key, framed=True):
        left, right = socket.socketpair()
        with left, right:
            head = struct.pack(">I", len(data)) if framed else b""
            left.sendall(head + data)
            left.shutdown(socket.SHUT_WR)
            return receive_message(right, key)

    def test_too_large_datagram_is_a_typed_error(self):
        with self.assertRaises(MessageError):
            pack_datagram(Heartbeat(busy_hosts=["x" * MAX_DATAGRAM_BYTES]), KEY)

    def test_short_signed_message(self):
        for length in range(TAG_BYTES):
            with self.assertRaises(AuthenticationError):
                unpack_datagram(b"\x00" * length, KEY)


def pack(data):
    """Return ``data`` in Cap'n Proto's packed encoding, padded to whole words."""
    data += b"\x00" * (-len(data) % 8)
    packed = bytearray()
    for start in range(0, len(data), 8):
        word = data[start : start + 8]
        packed.append(sum(1 << bit for bit, byte in enumerate(word) if byte))
        packed += bytes(byte for byte in word if byte)
        if not any(word) or all(word):
            packed.append(0)
    return bytes(packed)
