import re
import unittest

from magnoliapier.metrics import Metrics

SAMPLE = re.compile(
    r'[a-zA-Z_][a-zA-Z0-9_]*(\{[a-z_]+="[^"]*"(,[a-z_]+="[^"]*")*\})? \S+'
)


class MetricsTextTests(unittest.TestCase):
    def test_latency_summaries_have_quantiles_sum_and_count(self):
        """Guards against latencies in a form that a metrics scraper cannot read."""
        metrics = Metrics()
        metrics.observe("queue_wait_seconds", 0.25, queue="filings")
        metrics.count("answers_total", method="POST", status="200")
        lines = metrics.render().splitlines()
        for line in lines:
            self.assertTrue(line.startswith("# TYPE ") or SAMPLE.fullmatch(line), line)
        text = "\n".join(lines)
        self.assertIn('queue_wait_seconds{queue="filings",quantile="0.99"}', text)
        self.assertIn('queue_wait_seconds_count{queue="filings"} 1', text)
