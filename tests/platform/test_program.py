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
    """How the adapter passes settings and sessions on."""

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
        """Stand for a session, known by its timeout."""
        return f"session with {user_timeout_ms}"

    def test_host_orders_have_the_short_timeout_of_the_kernel(self):
        """Guards against an order that is held back for longer than its call."""
        session, *_ = self.MachineClient.call_args.args
        self.assertEqual(session, f"session with {CALL_TIMEOUT_MS}")

    def test_gap_between_holders_is_the_platform_s(self):
        """Guards against a gap that is left at nothing, or at another site's figure."""
        _, settings, _ = self.Node.call_args.args
        self.assertEqual(settings.host_order_gap_s, 2.5)
