"""How long to wait for an answer before asking again."""

INITIAL_S = 0.25
SHORTEST_S = 0.12
LONGEST_S = 1.5
LATENCY_MULTIPLE = 6.0
SMOOTHING = 0.1  # weight of the newest latency
BACKOFF = 2.0


class Patience:
    """
    A time limit that follows the latency of recent answers.

    Example::

        patience = Patience()
        patience.answered(0.004)
        patience.timeout_s
    """

    def __init__(self):
        self._latency_s = None
        self._timeout_s = INITIAL_S

    @property
    def timeout_s(self):
        """Return the present limit in seconds."""
        return self._timeout_s

    def answered(self, latency_s):
        """Take note of an answer."""
        if self._latency_s is None or latency_s > self._latency_s * LATENCY_MULTIPLE:
            self._latency_s = latency_s
        else:
            self._latency_s += SMOOTHING * (latency_s - self._latency_s)
        limit = self._latency_s * LATENCY_MULTIPLE
        self._timeout_s = min(LONGEST_S, max(SHORTEST_S, limit))

    def timed_out(self):
        """Take note of a call without an answer in time; the limit doubles."""
        self._timeout_s = min(LONGEST_S, self._timeout_s * BACKOFF)
