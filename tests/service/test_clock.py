import math
import unittest

from magnoliapier.service.clock import EndpointClock, StoreClock


class StoreClockTests(unittest.TestCase):
    def test_bounds_enclose_the_clock(self):
        """Guards against a slow answer whose reading is taken for the current time."""
        clock = StoreClock()
        clock.observe(5000, sent_at=10.0, received_at=10.5)
        self.assertEqual(clock.earliest_ms(11.5), 6000)
        self.assertEqual(clock.latest_ms(11.5), 6500)

    def test_bounds_are_zero_without_a_reading(self):
        """Guards against a time that is computed from a missing reading."""
        clock = StoreClock()
        clock.observe(0, sent_at=10.0, received_at=10.5)
        self.assertEqual(clock.earliest_ms(11.5), 0)
        self.assertEqual(clock.latest_ms(11.5), 0)
        self.assertEqual(clock.earliest_local(5000, 11.5), -math.inf)

    def test_local_time_of_a_reading_is_not_later_than_the_reading(self):
        """Guards against a crash that seems to follow what came after it."""
        clock = StoreClock()
        clock.observe(5000, sent_at=10.0, received_at=10.5)
        self.assertEqual(clock.earliest_local(4000, 11.5), 9.0)


class EndpointClockTests(unittest.TestCase):
    def setUp(self):
        self.clock = EndpointClock()
        self.clock.observe(5000, sent_at=9.9, received_at=10.0)

    def test_readings_of_one_clock_fit(self):
        """Guards against a restart that is suspected without cause."""
        for clock_ms in (5980, 6000, 6100):
            self.assertTrue(self.clock.may_read(clock_ms, 10.99, 11.0))

    def test_reading_of_another_clock_does_not_fit(self):
        """Guards against an answer of a later incarnation that counts as the known."""
        for clock_ms in (0, 5900, 6200, 900_000):
            self.assertFalse(self.clock.may_read(clock_ms, 10.99, 11.0))

    def test_late_reading_leaves_the_lower_bound(self):
        """Guards against a deadline that is computed on an outdated reading."""
        self.clock.observe(4000, sent_at=9.0, received_at=10.5)
        self.assertEqual(self.clock.lower_bound_ms(11.0), 5980)
