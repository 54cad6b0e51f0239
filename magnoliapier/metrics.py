"""Counters, gauges and HDR histograms, rendered as Prometheus text."""

import threading

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """
    The metrics of one process, safe to use from several threads.

    Names are in snake case, without the prefix; labels are keyword arguments.
    Durations are given in seconds and recorded in microseconds.

    Example::

        metrics.count("refusals_total", reason="queue_full")
        metrics.observe("wait_seconds", 0.012, request_class="short")
    """

    def __init__(self, prefix="magnoliapier"):
        self._prefix = prefix
        self._lock = threading.Lock()
        self._counters = {}
        self._gauges = {}
        self._histograms = {}

    def count(self, name, /, amount=1, **labels):
        """Add ``amount`` to a counter."""
        key = (name, tuple(sorted(labels.items())))
        with self._lock:
            self._counters[key] = self._counters.get(key, 0) + amount

    def gauge(self, name, value, /, **labels):
        """Set a gauge."""
        with self._lock:
            self._gauges[(name, tuple(sorted(labels.items())))] = value

    def observe(self, name, seconds, /, **labels):
        """Record a duration in seconds, limited to the range of the histogram."""
        key = (name, tuple(sorted(labels.items())))
        value = min(max(int(seconds * 1e6), LOWEST_US), HIGHEST_US)
        with self._lock:
            histogram = self._histograms.get(key)
            if histogram is None:
                histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
                self._histograms[key] = histogram
            histogram.record_value(value)

    def value(self, name, /, **labels):
        """Return a counter's value, 0 if nothing was counted."""
        return self._counters.get((name, tuple(sorted(labels.items()))), 0)

    def quantile(self, name, percentile, /, **labels):
        """Return a histogram's ``percentile`` (0 to 100) in seconds, 0 if empty."""
        with self._lock:
            histogram = self._histograms.get((name, tuple(sorted(labels.items()))))
            if histogram is None:
                return 0.0
            return histogram.get_value_at_percentile(percentile) / 1e6

    def render(self):
        """Return all metrics in the Prometheus text format."""
        with self._lock:
            lines = []
            lines.extend(self._render_values(self._counters, "counter"))
            lines.extend(self._render_values(self._gauges, "gauge"))
            lines.extend(self._render_histograms())
        return "\n".join(lines) + "\n"

    def _render_values(self, values, kind):
        previous = None
        for (name, labels), value in sorted(values.items()):
            if name != previous:
                yield f"# TYPE {self._prefix}_{name} {kind}"
                previous = name
            yield f"{self._prefix}_{name}{render_labels(labels)} {value}"

    def _render_histograms(self):
        previous = None
        for (name, labels), histogram in sorted(
            self._histograms.items(), key=lambda item: item[0]
        ):
            if name != previous:
                yield f"# TYPE {self._prefix}_{name} summary"
                previous = name
            for percentile in QUANTILES:
                value = histogram.get_value_at_percentile(percentile) / 1e6
                quantile = (("quantile", f"{percentile / 100:g}"),)
                yield (
                    f"{self._prefix}_{name}{render_labels(labels + quantile)} {value}"
                )
            count = histogram.get_total_count()
            total = histogram.get_mean_value() * count / 1e6 if count else 0.0
            yield f"{self._prefix}_{name}_sum{render_labels(labels)} {total}"
            yield f"{self._prefix}_{name}_count{render_labels(labels)} {count}"


def render_labels(labels):
    """Return ``{name="value",...}`` for sorted pairs, or an empty string."""
    if not labels:
        return ""
    pairs = ",".join(f'{name}="{escape_label(value)}"' for name, value in labels)
    return "{" + pairs + "}"


def escape_label(value):
    """Escape a label's value for the Prometheus text format."""
    return str(value).replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
