import unittest

from magnoliapier.state.patience import LONGEST_S, SHORTEST_S, Patience


class PatienceTests(unittest.TestCase):
    def test_limit_follows_a_store_that_turns_slow(self):
        """Guards against a slow store whose every answer comes too late."""
        patience = Patience()
        for _ in range(50):
            patience.answered(0.004)
        self.assertEqual(patience.timeout_s, SHORTEST_S)
        while patience.timeout_s < 0.38:
            patience.timed_out()
        patience.answered(0.38)
        self.assertGreater(patience.timeout_s, 0.38)

    def test_limit_is_bounded(self):
        """Guards against calls that wait for minutes on a silent store."""
        patience = Patience()
        for _ in range(50):
            patience.timed_out()
        self.assertEqual(patience.timeout_s, LONGEST_S)
