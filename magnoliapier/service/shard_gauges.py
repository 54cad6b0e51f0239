"""The gauges of a shard."""

from magnoliapier.logs import get_logger
from magnoliapier.pools.need import MAX_LABEL_CHARS
from magnoliapier.service.endpoint_use import count_uses

GAUGE_INTERVAL_S = 1.0

log = get_logger(__name__)


class ShardGauges:
    """
    Sets the gauges of one shard, and logs which submissions begin to wait for room.

    ``tables`` are the shard's ShardTables.
    """

    def __init__(self, service, tables, metrics):
        self._service = service
        self._tables = tables
        self._metrics = metrics
        self._without_room = set()
        self._set_at = float("-inf")

    def record_lacks_of_room(self, lacks):
        """Record the LacksOfRoom of a pass, and log those of a new submission."""
        before = self._without_room
        self._without_room = {lack.progress.submission_id for lack in lacks}
        for lack in lacks:
            if lack.progress.submission_id not in before:
                log.routine(
                    "waits_for_room",
                    id=lack.progress.submission_id,
                    shard=self._service,
                    resources=lack.step.resources,
                    label=lack.step.required_label[:MAX_LABEL_CHARS],
                    gang=lack.step.gang,
                )

    def update(self, report, now):
        """Set all gauges, at most once per ``GAUGE_INTERVAL_S``."""
        if now - self._set_at < GAUGE_INTERVAL_S:
            return
        self._set_at = now
        progresses = self._tables.progresses.values()
        values = {
            "submissions_open": len(progresses),
            "submissions_waiting": sum(not p.started for p in progresses),
            "submissions_without_room": len(self._without_room),
            "hosts_in_pool": report.hosts,
            "hosts_wanted": report.wanted,
            "hosts_of_kind_wanted": sum(n.count for n in report.further_needs),
            "hosts_released": len(report.released),
        }
        for name, value in values.items():
            self._metrics.gauge(name, value, service=self._service)
        uses = count_uses(self._tables.sessions.values(), now)
        for use, count in uses.items():
            self._metrics.gauge("endpoints", count, service=self._service, use=use)
