"""Counts refusals and logs them without letting a flood of them fill the log."""

from magnoliapier.logs import get_logger

LOG_INTERVAL_S = 1.0
DETAILS_PER_S = 20  # lines about single refusals, such as malformed submissions

log = get_logger(__name__)


class RefusalLog:
    """
    Counts each refusal, and writes one line a second for each reason at most.

    A line's ``count`` tells how many refusals it stands for.
    """

    def __init__(self, metrics, clock):
        self._metrics = metrics
        self._clock = clock
        self._unwritten = {}
        self._written_at = {}
        self._detail_second = 0
        self._details = 0

    def allows_detail(self):
        """Return whether a line about a single refusal may be written."""
        second = int(self._clock())
        if second != self._detail_second:
            self._detail_second = second
            self._details = 0
        self._details += 1
        return self._details <= DETAILS_PER_S

    def record(self, reason):
        """Count a refusal, and log it unless its reason was logged lately."""
        reason = str(reason)
        self._metrics.count("refusals_total", reason=reason)
        count = self._unwritten.get(reason, 0) + 1
        now = self._clock()
        if now - self._written_at.get(reason, float("-inf")) < LOG_INTERVAL_S:
            self._unwritten[reason] = count
            return
        self._unwritten[reason] = 0
        self._written_at[reason] = now
        log.warning("callers_refused", reason=reason, count=count)
