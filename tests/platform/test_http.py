import socket
import struct
import unittest

from magnoliapier.platform.http import open_socket

ADDRESS_INFO = (socket.AF_INET, socket.SOCK_STREAM, 0, "", ("127.0.0.1", 1))


class OpenSocketTests(unittest.TestCase):
    def setUp(self):
        self.sock = open_socket(ADDRESS_INFO, user_timeout_ms=1000)
        self.addCleanup(self.sock.close)

    def test_kernel_drops_unacknowledged_bytes(self):
        """
        Guards against an order that is delivered long after it was sent.

        A paused process cannot close the connection of its order, so without the
        timeout the kernel delivers the order whenever a network partition ends.
        """
        option = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        self.assertEqual(option, 1000)

    def test_close_resets(self):
        """Guards against bytes that arrive after their call or process has ended."""
        option = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
        self.assertEqual(struct.unpack("ii", option), (1, 0))
