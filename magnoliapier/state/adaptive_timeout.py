"""The timeout of a call to the store, adapted to the latency of recent answers."""

INITIAL_TIMEOUT_S = 0.25
MIN_TIMEOUT_S = 0.12
MAX_TIMEOUT_S = 1.5
LATENCY_MULTIPLE = 6.0
LATENCY_WEIGHT = 0.1  # weight of the newest latency in the moving average
TIMEOUT_BACKOFF = 2.0


class AdaptiveTimeout:
    """
    A timeout that is a multiple of the average latency of recent answers.

    Example::

        timeout = AdaptiveTimeout()
        timeout.record_answer(0.004)
        assert timeout.timeout_s == MIN_TIMEOUT_S
    """

    def __init__(self):
        self._latency_s = None
        self._timeout_s = INITIAL_TIMEOUT_S

    @property
    def timeout_s(self):
        """Return the current timeout in seconds."""
        return self._timeout_s

    def record_answer(self, latency_s):
        """
        Update the timeout from the latency of an answer.

        A latency above ``LATENCY_MULTIPLE`` times the average replaces the average, so
        that the timeout adapts at once to a store that becomes slow.
        """
        if self._latency_s is None or latency_s > self._latency_s * LATENCY_MULTIPLE:
            self._latency_s = latency_s
        else:
            self._latency_s += LATENCY_WEIGHT * (latency_s - self._latency_s)
        limit = self._latency_s * LATENCY_MULTIPLE
        self._timeout_s = min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, limit))

    def record_timeout(self):
        """Double the timeout after a call that got no answer in time."""
        self._timeout_s = min(MAX_TIMEOUT_S, self._timeout_s * TIMEOUT_BACKOFF)
