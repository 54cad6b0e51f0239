"""Detection of crashed endpoints from the platform's host list."""

import msgspec

from magnoliapier.pools.hosts import HostState

CRASH_RETENTION_S = 15.0  # longer than any lease of an endpoint


class UpEndpoint(msgspec.Struct, frozen=True):
    """
    The endpoint of a host that was up in the last list.

    ``listed_ms`` is a time on the table's clock that was past when that list was
    requested, 0 if unknown.
    """

    endpoint_id: str
    listed_ms: int


class Crash(msgspec.Struct, frozen=True):
    """The crash of an endpoint, found at a monotonic time, which was up before."""

    found_at: float
    last_up_ms: int


class CrashDetector:
    """
    Finds endpoints whose host went down or came back with another endpoint.

    An incarnation of an endpoint lasts for one boot of its host and runs nothing
    afterwards, so its tasks can be restarted before its lease lapses. The host may be
    up again under the same endpoint id, so a crash also tells when it was last up: the
    incarnations of that time have ended. Times are seconds on a monotonic clock.

    Example::

        up = Host("h1", "a", HostState.UP, endpoint_id="e1")
        detector = CrashDetector()
        detector.update([up], (), now=0.0, listed_ms=5000)
        detector.update([Host("h1", "a", HostState.DOWN)], (), now=1.0, listed_ms=6000)
        assert detector.last_up_ms == {"e1": 5000}
    """

    def __init__(self):
        self._up = {}
        self._crashes = {}

    def update(self, hosts, ordered, now, listed_ms=0):
        """
        Compare the host list with the previous ones.

        ``ordered`` names hosts that were ordered to restart; the end of their endpoints
        is no crash. ``listed_ms`` is that of an UpEndpoint.
        """
        for host in hosts:
            up = self._up.get(host.name)
            if up is not None and self._has_ended(up.endpoint_id, host):
                del self._up[host.name]
                if host.name not in ordered:
                    self._crashes[up.endpoint_id] = Crash(now, up.listed_ms)
            if host.state == HostState.UP and host.endpoint_id:
                self._up[host.name] = UpEndpoint(host.endpoint_id, listed_ms)
        for endpoint_id, crash in list(self._crashes.items()):
            if now - crash.found_at > CRASH_RETENTION_S:
                del self._crashes[endpoint_id]

    def _has_ended(self, endpoint_id, host):
        """Return whether the entry of ``host`` shows that its endpoint has ended."""
        replaced = bool(host.endpoint_id) and host.endpoint_id != endpoint_id
        return host.state == HostState.DOWN or (host.state == HostState.UP and replaced)

    @property
    def crashed(self):
        """Return the endpoints that crashed recently, sorted."""
        return tuple(sorted(self._crashes))

    @property
    def last_up_ms(self):
        """Return when each of them was last up, in ms on the table's clock."""
        return {name: crash.last_up_ms for name, crash in self._crashes.items()}
