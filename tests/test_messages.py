import socket
import unittest

from magnoliapier.exceptions import MagnoliapierError, MessageError
from magnoliapier.messages import Demand, Grant, Heartbeat, PullReply, decode, encode
from magnoliapier.transport import (
    pack_datagram,
    receive_message,
    send_message,
    unpack_datagram,
)

HEARTBEAT = Heartbeat(
    name="entry-1",
    seq=2**40,
    demand=[Demand("wire", 3, 8)],
    busy_hosts=["w-1"],
    grants=[Grant(holder="entry-2", duration_ms=3000)],
)


class MessageTests(unittest.TestCase):
    def test_round_trip(self):
        for message in (HEARTBEAT, PullReply(entries=[b"{}", b""], eligible=True)):
            self.assertEqual(decode(encode(message)), message)

    def test_truncated_messages_raise_typed_errors(self):
        """Guards against a truncated datagram that crashes the receiver."""
        data = encode(HEARTBEAT)
        for length in range(len(data)):
            try:
                decode(data[:length])
            except MessageError:
                continue

    def test_datagram_of_other_key_is_refused(self):
        with self.assertRaises(MagnoliapierError):
            unpack_datagram(pack_datagram(HEARTBEAT, "a"), "b")

    def test_stream_round_trip_and_truncated_frame(self):
        left, right = socket.socketpair()
        with left, right:
            send_message(left, HEARTBEAT, "k")
            self.assertEqual(receive_message(right, "k"), HEARTBEAT)
            left.sendall(b"\x00\x00\x00\x10abc")
            left.shutdown(socket.SHUT_WR)
            with self.assertRaises(MessageError):
                receive_message(right, "k")
