import unittest

from magnoliapier.pools.crashes import REMEMBERED_S, CrashDetector
from magnoliapier.pools.hosts import Host, HostState

UP = Host("h1", "a", HostState.UP, endpoint_id="e1")


class CrashDetectorTests(unittest.TestCase):
    """The pattern is a rack that goes dark in the middle of a queue's turn."""

    def setUp(self):
        self.detector = CrashDetector()
        self.detector.update([UP], (), 0.0)

    def test_host_that_is_down_has_ended_its_endpoint(self):
        """Guards against crashed work that waits for its lease to lapse."""
        self.detector.update([Host("h1", "a", HostState.DOWN)], (), 1.0)
        self.assertEqual(self.detector.crashed, ("e1",))

    def test_host_that_came_back_between_two_lists(self):
        """Guards against missing a host that goes down and up by turns."""
        self.detector.update([Host("h1", "a", HostState.UP, endpoint_id="e2")], (), 1.0)
        self.assertEqual(self.detector.crashed, ("e1",))

    def test_ordered_restart_and_unclear_entries_are_no_crash(self):
        """Guards against giving up work on an entry that says nothing certain."""
        self.detector.update([Host("h1", "a", HostState.MOVING)], ("h1",), 1.0)
        self.detector.update([Host("h1", "a", HostState.UP)], (), 1.1)
        self.assertEqual(self.detector.crashed, ())
        self.detector.update(
            [Host("h1", "b", HostState.UP, endpoint_id="e2")], ("h1",), 2
        )
        self.assertEqual(self.detector.crashed, ())

    def test_endpoint_is_forgotten_after_a_while(self):
        """Guards against a plan that grows with every crash."""
        self.detector.update([Host("h1", "a", HostState.DOWN)], (), 1.0)
        self.detector.update([Host("h1", "a", HostState.DOWN)], (), 2.0 + REMEMBERED_S)
        self.assertEqual(self.detector.crashed, ())
