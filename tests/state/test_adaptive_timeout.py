import unittest

from magnoliapier.state.adaptive_timeout import (
    MAX_TIMEOUT_S,
    MIN_TIMEOUT_S,
    AdaptiveTimeout,
)


class AdaptiveTimeoutTests(unittest.TestCase):
    def test_timeout_adapts_to_a_store_that_becomes_slow(self):
        """Guards against calls to a slow store that all time out."""
        timeout = AdaptiveTimeout()
        for _ in range(50):
            timeout.record_answer(0.004)
        self.assertEqual(timeout.timeout_s, MIN_TIMEOUT_S)
        while timeout.timeout_s < 0.38:
            timeout.record_timeout()
        timeout.record_answer(0.38)
        self.assertGreater(timeout.timeout_s, 0.38)

    def test_timeout_is_bounded(self):
        """Guards against calls that wait for minutes on a silent store."""
        timeout = AdaptiveTimeout()
        for _ in range(50):
            timeout.record_timeout()
        self.assertEqual(timeout.timeout_s, MAX_TIMEOUT_S)
