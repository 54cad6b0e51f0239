import unittest

from magnoliapier.service.incarnation import EndpointIncarnation


class EndTests(unittest.TestCase):
    """The numbers of the ends that an incarnation lists."""

    def setUp(self):
        self.incarnation = EndpointIncarnation(1)

    def test_end_is_handled_once(self):
        """Guards against an end that counts again in each listing."""
        self.assertTrue(self.incarnation.handle_end(1, 10.0))
        self.assertFalse(self.incarnation.handle_end(1, 11.0))
        self.assertTrue(self.incarnation.handle_end(2, 11.0))
        self.assertEqual(self.incarnation.last_handled_end, 2)

    def test_stored_ends_are_acknowledged_once(self):
        """Guards against a number that is sent on after the endpoint restarted."""
        self.assertEqual(self.incarnation.end_to_acknowledge, 0)
        self.incarnation.handle_end(7, 10.0)
        self.assertEqual(self.incarnation.end_to_acknowledge, 0)
        self.incarnation.mark_ends_stored(7)
        self.assertEqual(self.incarnation.end_to_acknowledge, 7)
        self.incarnation.mark_ends_acknowledged(7)
        self.assertEqual(self.incarnation.end_to_acknowledge, 0)


class LeaseTests(unittest.TestCase):
    """The lease that an incarnation has been given."""

    def test_lease_lapses_on_the_slowest_clock(self):
        """Guards against work that is repeated while an endpoint's clock runs slow."""
        incarnation = EndpointIncarnation(1)
        self.assertTrue(incarnation.lease_lapsed(10.0))
        incarnation.clock.observe(1000, 10.0, 10.0)
        self.assertEqual(incarnation.extend_deadline(10.0, 5000), 6000)
        self.assertFalse(incarnation.lease_lapsed(15.05))
        self.assertTrue(incarnation.lease_lapsed(15.2))
