import random
import signal
import unittest
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from tests.soak.faults import FAULTS, RESTARTS, reload
from tests.soak.nodes import Node


class RegistryTests(unittest.TestCase):
    def test_restarts_of_endpoints_are_a_series_of_their_own(self):
        """Guards against a fault whose name changes what all seeds inject."""
        names = random.Random(1).choices(sorted(FAULTS), k=4)
        self.assertEqual(
            names,
            ["cut_endpoints", "store_loses_answers", "store_down", "cut_node_off"],
        )
        self.assertFalse(FAULTS.keys() & RESTARTS.keys())


class ReloadTests(unittest.IsolatedAsyncioTestCase):
    async def reload_with(self, status):
        """Reload a node whose process has ``status`` afterwards; None means it runs."""
        node = Node(0, Path(), 0, 0)
        node.process = mock.Mock(poll=mock.Mock(return_value=status))
        node.launch = mock.Mock()
        await reload(SimpleNamespace(nodes=[node]), random.Random(1), 1.0)
        return node

    async def test_process_that_the_signal_ended_is_started_again(self):
        """Guards against a node that stays down where a platform would restart it."""
        node = await self.reload_with(-signal.SIGHUP)
        node.launch.assert_called_once()

    async def test_process_that_ended_otherwise_is_not_started_again(self):
        """Guards against a restart that hides a crash."""
        for status in (None, 1, -signal.SIGKILL):
            node = await self.reload_with(status)
            node.launch.assert_not_called()
