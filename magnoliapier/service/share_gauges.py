"""The gauges and log lines of the organisations' shares of one pool."""

from magnoliapier.logs import get_logger
from magnoliapier.service.shard_gauges import GAUGE_INTERVAL_S

MAX_ORGANISATIONS = 100  # with a gauge each, which stays while the process runs
# Without an excess, until the next one is logged: a burst has pauses.
BEYOND_HOLD_S = 5.0

log = get_logger(__name__)


class ShareGauges:
    """
    Sets the gauges of one service's Shares, and logs who begins to exceed its share.

    Example::

        gauges = ShareGauges("desk", metrics)
        gauges.record(shares, now)
    """

    def __init__(self, service, metrics):
        self._service = service
        self._metrics = metrics
        self._known = set()
        self._beyond_at = {}
        self._set_at = float("-inf")

    def record(self, shares, now):
        """Record the Shares of a pass whose submissions have been put in order."""
        for name in sorted(shares.beyond):
            beyond_at = self._beyond_at.get(name, float("-inf"))
            if now - beyond_at > BEYOND_HOLD_S:
                self._log_excess(name, shares)
            self._beyond_at[name] = now
        if now - self._set_at >= GAUGE_INTERVAL_S:
            self._set_at = now
            self._set(shares)

    def _log_excess(self, name, shares):
        log.info(
            "beyond_share",
            organisation=name,
            service=self._service,
            used=round(shares.used[name], 3),
        )

    def _set(self, shares):
        for name in shares.used:
            if len(self._known) < MAX_ORGANISATIONS:
                self._known.add(name)
        for name in self._known:
            self._metrics.gauge(
                "organisation_share",
                round(shares.used[name], 3),
                service=self._service,
                organisation=name,
            )
