import unittest

from magnoliapier.placement.interference import next_pace


class NextPaceTests(unittest.TestCase):
    def test_best_effort_tasks_stop_while_a_target_is_missed(self):
        """Guards against best-effort tasks that keep another task over its target."""
        self.assertEqual(next_pace(100, 1.0), 0)

    def test_best_effort_tasks_slow_down_before_the_target_is_missed(self):
        """Guards against throttling only once users notice the latency."""
        self.assertLess(next_pace(100, 0.85), 100)

    def test_best_effort_tasks_speed_up_again(self):
        """Guards against best-effort tasks that stay throttled after a load peak."""
        pace = 0
        for _ in range(20):
            pace = next_pace(pace, 0.2)
        self.assertEqual(pace, 100)

    def test_no_throttling_without_latency_sensitive_tasks(self):
        """Guards against throttling best-effort tasks that disturb no other task."""
        self.assertEqual(next_pace(40, None), 100)
