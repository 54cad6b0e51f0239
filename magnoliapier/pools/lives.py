"""Which endpoints have ended, as the platform's host list shows."""

from magnoliapier.pools.hosts import HostState

REMEMBERED_S = 15.0  # longer than any lease of an endpoint


class EndpointLives:
    """
    Finds endpoints whose host went down or came back with another endpoint.

    An endpoint is one life of its host, so it runs nothing any more from then on. Its
    work need not wait for its lease to lapse. Times are seconds on a steady clock.

    Example::

        lives = EndpointLives()
        lives.update([Host("h1", "a", HostState.UP, endpoint_id="e1")], (), now=0.0)
        lives.update([Host("h1", "a", HostState.DOWN)], (), now=1.0)
        assert lives.ended == ("e1",)
    """

    def __init__(self):
        self._endpoint_of = {}
        self._ended_at = {}

    def update(self, hosts, ordered, now):
        """Take in the host list; ``ordered`` names hosts that were told to restart."""
        for host in hosts:
            known = self._endpoint_of.get(host.name)
            if known and known != host.endpoint_id and self._has_ended(host):
                del self._endpoint_of[host.name]
                if host.name not in ordered:
                    self._ended_at[known] = now
            if host.state == HostState.UP and host.endpoint_id:
                self._endpoint_of[host.name] = host.endpoint_id
        for endpoint_id, ended_at in list(self._ended_at.items()):
            if now - ended_at > REMEMBERED_S:
                del self._ended_at[endpoint_id]

    def _has_ended(self, host):
        return host.state == HostState.DOWN or (
            host.state == HostState.UP and bool(host.endpoint_id)
        )

    @property
    def ended(self):
        """Return the endpoints that ended lately without an order, in order."""
        return tuple(sorted(self._ended_at))
