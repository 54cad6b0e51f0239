"""Detection of crashed endpoints from the platform's host list."""

from magnoliapier.pools.hosts import HostState

CRASH_RETENTION_S = 15.0  # longer than any lease of an endpoint


class CrashDetector:
    """
    Finds endpoints whose host went down or came back with another endpoint.

    An endpoint lasts for one boot of its host and runs nothing afterwards, so its tasks
    can be restarted before its lease lapses. Times are seconds on a monotonic clock.

    Example::

        detector = CrashDetector()
        detector.update([Host("h1", "a", HostState.UP, endpoint_id="e1")], (), now=0.0)
        detector.update([Host("h1", "a", HostState.DOWN)], (), now=1.0)
        assert detector.crashed == ("e1",)
    """

    def __init__(self):
        self._endpoint_of = {}
        self._crashed_at = {}

    def update(self, hosts, ordered, now):
        """
        Compare the host list with the previous ones.

        ``ordered`` names hosts that were ordered to restart; the end of their endpoints
        is no crash.
        """
        for host in hosts:
            known_endpoint_id = self._endpoint_of.get(host.name)
            if known_endpoint_id and self._has_ended(known_endpoint_id, host):
                del self._endpoint_of[host.name]
                if host.name not in ordered:
                    self._crashed_at[known_endpoint_id] = now
            if host.state == HostState.UP and host.endpoint_id:
                self._endpoint_of[host.name] = host.endpoint_id
        for endpoint_id, crashed_at in list(self._crashed_at.items()):
            if now - crashed_at > CRASH_RETENTION_S:
                del self._crashed_at[endpoint_id]

    def _has_ended(self, endpoint_id, host):
        """Return whether the entry of ``host`` shows that its endpoint has ended."""
        replaced = bool(host.endpoint_id) and host.endpoint_id != endpoint_id
        return host.state == HostState.DOWN or (host.state == HostState.UP and replaced)

    @property
    def crashed(self):
        """Return the endpoints that crashed recently, sorted."""
        return tuple(sorted(self._crashed_at))
