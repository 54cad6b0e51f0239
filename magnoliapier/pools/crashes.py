"""Which endpoints have crashed, as the platform's host list shows."""

from magnoliapier.pools.hosts import HostState

REMEMBERED_S = 15.0  # longer than any lease of an endpoint


class CrashDetector:
    """
    Finds endpoints whose host went down or came back with another endpoint.

    An endpoint ends with the boot of its host and runs nothing any more from then on.
    Its work need not wait for its lease to lapse. Times are seconds on a steady clock.

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
        """Take in the host list; ``ordered`` names hosts that were told to restart."""
        for host in hosts:
            known = self._endpoint_of.get(host.name)
            if known and self._shows_end_of(known, host):
                del self._endpoint_of[host.name]
                if host.name not in ordered:
                    self._crashed_at[known] = now
            if host.state == HostState.UP and host.endpoint_id:
                self._endpoint_of[host.name] = host.endpoint_id
        for endpoint_id, crashed_at in list(self._crashed_at.items()):
            if now - crashed_at > REMEMBERED_S:
                del self._crashed_at[endpoint_id]

    def _shows_end_of(self, endpoint_id, host):
        """Return whether a host's entry says that an endpoint of it has ended."""
        replaced = bool(host.endpoint_id) and host.endpoint_id != endpoint_id
        return host.state == HostState.DOWN or (host.state == HostState.UP and replaced)

    @property
    def crashed(self):
        """Return the endpoints that crashed lately, sorted."""
        return tuple(sorted(self._crashed_at))
