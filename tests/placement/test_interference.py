import unittest

from magnoliapier.placement.interference import next_pace


class FillPaceTests(unittest.TestCase):
    def test_fillers_stop_while_a_target_is_missed(self):
        """Guards against fillers that keep a serving task over its target."""
        self.assertEqual(next_pace(100, 1.0), 0)

    def test_fillers_slow_down_before_the_target_is_missed(self):
        """Guards against reacting only once users are served too slowly."""
        self.assertLess(next_pace(100, 0.85), 100)

    def test_fillers_get_their_speed_back(self):
        """Guards against fillers that stay slow after the serving load has gone."""
        pace = 0
        for _ in range(20):
            pace = next_pace(pace, 0.2)
        self.assertEqual(pace, 100)

    def test_endpoint_without_serving_tasks_is_left_alone(self):
        """Guards against slowing fillers that disturb nobody."""
        self.assertEqual(next_pace(40, None), 100)
