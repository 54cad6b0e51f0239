"""What a session knows of one incarnation of an endpoint."""

import math

import msgspec

from magnoliapier.placement.health import EndpointHealth
from magnoliapier.service.clock import EndpointClock


class LeaseTerms(msgspec.Struct, frozen=True):
    """
    How long endpoints run tasks without another call.

    ``extend_ms`` is how far each call moves the end of the lease. ``longest_ms`` is the
    longest lease that an endpoint grants, as it does if the deadline in an order was
    computed on the clock of an earlier incarnation.
    """

    extend_ms: int
    longest_ms: int


class EndpointIncarnation:
    """
    The clock, the lease, the ended runs and the health of one incarnation.

    An endpoint that starts again under its id knows nothing of before, and counts its
    ends and its clock anew. Its session replaces this object as a whole once a listing
    names another incarnation. Whoever waits for an answer or a commit meanwhile keeps
    the object that it began with, so that what it learns counts for that one only.

    ``started_ms`` is the Unix time in ms when the incarnation started, 0 if unknown.
    ``fenced`` is set once no call that was meant for another incarnation can be carried
    out by this one any more; before, its lease is not known.
    ``first_listed_at`` is when its first listing arrived, in seconds on the monotonic
    clock, or None. ``last_end_at`` is when an end was last listed, or None.
    """

    def __init__(self, started_ms=0, first_listed_at=None):
        self.started_ms = started_ms
        self.first_listed_at = first_listed_at
        self.clock = EndpointClock()
        self.health = EndpointHealth()
        self.last_end_at = None
        self.fenced = False
        self._deadline_ms = 0
        self._last_handled_end = 0
        self._last_stored_end = 0
        self._last_acknowledged_end = 0

    @property
    def last_handled_end(self):
        """Return the number of the last end that was handled, 0 for none."""
        return self._last_handled_end

    @property
    def end_to_acknowledge(self):
        """Return the number of the last stored end, 0 if all are acknowledged."""
        if self._last_stored_end > self._last_acknowledged_end:
            return self._last_stored_end
        return 0

    def handle_end(self, number, now):
        """Return whether an end that is listed at ``now`` is new, and record it."""
        if number <= self._last_handled_end:
            return False
        self._last_handled_end = number
        self.last_end_at = now
        return True

    def mark_ends_stored(self, number):
        """Record that all ends up to ``number`` are stored."""
        self._last_stored_end = max(self._last_stored_end, number)

    def mark_ends_acknowledged(self, number):
        """Record that the endpoint has forgotten all ends up to ``number``."""
        self._last_acknowledged_end = max(self._last_acknowledged_end, number)

    def extend_deadline(self, now, lease_ms):
        """Return when a lease of ``lease_ms`` ends, on the endpoint's clock."""
        deadline_ms = self.clock.lower_bound_ms(now) + lease_ms
        self._deadline_ms = max(self._deadline_ms, deadline_ms)
        return deadline_ms

    def assume_lease(self, clock_ms, lease_ms):
        """Assume that a lease of ``lease_ms`` was given when the clock read that."""
        self._deadline_ms = max(self._deadline_ms, clock_ms + lease_ms)

    def lease_lapsed(self, now):
        """Return whether the lease has certainly lapsed; it has if none was given."""
        return now >= self.lease_end()

    def lease_end(self):
        """Return the local time by which the lease has certainly lapsed."""
        if not self.clock.known:
            return -math.inf
        return self.clock.reached_at(self._deadline_ms)
