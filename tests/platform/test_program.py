import unittest
from unittest import mock

import msgspec

from magnoliapier.platform import program
from magnoliapier.platform.boot import BootSettings
from magnoliapier.platform.machines import CALL_TIMEOUT_MS

SETTINGS = {
    "node_name": "node-1",
    "ip": "127.0.0.1",
    "listen": {"front": "127.0.0.1:1", "ready_address": "127.0.0.1:2"},
    "internal_ports": [7060, 7075],
    "platform": {"address": "127.0.0.1:3"},
    "cloud_api": {"address": "127.0.0.1:4"},
    "bounds": {"lease_ms": 2500},
}


class ProgramTests(unittest.TestCase):
    """Tests which settings and sessions the program passes to the node and clients."""

    def setUp(self):
        for name in ("Node", "Ingress", "TableWatcher", "MachineClient"):
            patcher = mock.patch.object(program, name)
            setattr(self, name, patcher.start())
            self.addCleanup(patcher.stop)
        patcher = mock.patch.object(program, "open_session", side_effect=self.session)
        patcher.start()
        self.addCleanup(patcher.stop)
        program.Program(msgspec.convert(SETTINGS, BootSettings))

    def session(self, user_timeout_ms=None):
        """Return a text that stands for a session with this timeout."""
        return f"session with {user_timeout_ms}"

    def test_session_of_host_orders_has_a_short_tcp_user_timeout(self):
        """Guards against an order that the kernel delivers after its call has ended."""
        session, *_ = self.MachineClient.call_args.args
        self.assertEqual(session, f"session with {CALL_TIMEOUT_MS}")

    def test_host_order_gap_comes_from_the_settings(self):
        """Guards against a gap of zero, or of another platform's value."""
        _, settings, _ = self.Node.call_args.args
        self.assertEqual(settings.host_order_gap_s, 2.5)
