"""Orders for hosts, and what the host list tells of their effect."""

import msgspec

from magnoliapier.pools.hosts import HostState

ORDER_TIMEOUT_S = 6.0  # after this an order is assumed to have had no effect
ORDER_SETTLE_S = 0.5  # an order may still arrive this long after its call has ended


class Move(msgspec.Struct, frozen=True):
    """Move a host to the pool of a service."""

    host: str
    service: str

    @property
    def destination(self):
        """Return the name under which the order's failures are recorded."""
        return f"pool/{self.service}"


class Maintain(msgspec.Struct, frozen=True):
    """Take a host down for its maintenance in a wave."""

    host: str
    wave: int

    @property
    def destination(self):
        """Return the name under which the order's failures are recorded."""
        return f"wave/{self.wave}"


class PendingOrder(msgspec.Struct):
    """
    An order whose effect does not show in the host list yet.

    ``unanswered_at`` is when its call ended without an answer, None if it did not.
    """

    order: Move | Maintain
    endpoint_id: str  # of the endpoint on the host when the order was recorded
    ordered_at: float
    unanswered_at: float | None = None

    def took_effect_on(self, host):
        """Return whether a listed host shows that the order was carried out."""
        if host.state != HostState.UP:
            return False
        if isinstance(self.order, Move):
            return host.service == self.order.service
        return host.endpoint_id != self.endpoint_id

    def had_no_effect(self, listed_at):
        """
        Return whether a host that is listed as before shows that the order is lost.

        An order for maintenance is given its full time: one that is carried out late
        would be one more than the wave allows.
        """
        if self.unanswered_at is None or isinstance(self.order, Maintain):
            return False
        return listed_at >= self.unanswered_at + ORDER_SETTLE_S
