import unittest

from magnoliapier.logs import EventLine
from magnoliapier.metrics import Metrics


class MetricsTests(unittest.TestCase):
    def test_renders_prometheus_text(self):
        metrics = Metrics()
        metrics.count("refusals_total", reason="queue_full")
        metrics.observe("wait_seconds", 0.5, work_class="short")
        text = metrics.render()
        self.assertIn('magnoliapier_refusals_total{reason="queue_full"} 1', text)
        self.assertIn('magnoliapier_wait_seconds_count{work_class="short"} 1', text)

    def test_escapes_labels(self):
        """Guards against a caller's text that forges metric lines."""
        metrics = Metrics()
        metrics.count("x", name='a"\nb')
        self.assertIn(r'name="a\"\nb"', metrics.render())


class EventLineTests(unittest.TestCase):
    def test_quotes_values(self):
        """Guards against a caller's text that forges log lines."""
        line = str(EventLine("refused", {"path": "a b\nlevel=ERROR", "n": 3}))
        self.assertEqual(line, 'event=refused path="a b\\nlevel=ERROR" n=3')
