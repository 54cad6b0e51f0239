"""How long an endpoint may run tasks without another call of its shard's holder."""

import math

from magnoliapier.service.clock import SLOWEST_CLOCK_RATE

CALL_LIMIT_S = 1.0  # for a call to an endpoint that has no entry any more
# An endpoint that is up may carry out a call seconds after the call has ended.
LATE_CALL_LIMIT_S = 15.0
LAPSE_MARGIN_S = 0.1


class EndpointLease:
    """
    The lease of one endpoint, as its session has extended it.

    ``terms`` are the LeaseTerms of endpoints. The EndpointIncarnation that the session
    knows keeps the deadline on the endpoint's clock. Calls of former holders, and those
    that reach an incarnation which is not known, may have extended the lease as far as
    endpoints allow, counted from when they are carried out. ``listed`` is whether the
    directory lists the endpoint: one without an entry is taken as gone.
    ``longest_s`` is the longest lease on the slowest clock. Times are seconds on the
    monotonic clock; ``now`` is the time at which the session began.
    """

    def __init__(self, terms, now):
        self._terms = terms
        self.longest_s = terms.longest_ms / 1000 / SLOWEST_CLOCK_RATE
        self._began_at = now
        self._recorded_end = math.inf
        self._extended_at = 0.0

    def extend(self, incarnation, now):
        """Return the deadline for a call that is sent now, on the endpoint's clock."""
        self._extended_at = now
        return incarnation.extend_deadline(now, self._terms.extend_ms)

    def assume_longest(self, incarnation, clock_ms):
        """
        Assume the longest lease of an incarnation that is fenced since ``clock_ms``.

        Orders of this or a former holder, with a deadline on the clock of an earlier
        incarnation, may have been carried out until then.
        """
        incarnation.assume_lease(clock_ms, self._terms.longest_ms)

    def expect_end(self, ends_at):
        """Use the recorded end of a lease that nobody has extended since."""
        self._recorded_end = ends_at

    def lapsed(self, incarnation, opened, listed, now):
        """
        Return whether the lease of the known incarnation has lapsed.

        ``opened`` is whether this session has listed any.
        """
        checked_at = now - LAPSE_MARGIN_S
        if not opened and checked_at < self._former_end(listed):
            return False
        return incarnation.lease_lapsed(checked_at)

    def may_run_on_unknown(self, live, incarnation, listed, now):
        """
        Return whether an incarnation whose lease is not known may still run a run.

        If it has started the run, its lease is not bounded by the clock of the known
        one, and each call with a deadline may have extended it.
        """
        if not may_be_on_unknown(live, incarnation):
            return False
        return now < self._unknown_end(listed) + LAPSE_MARGIN_S

    def end(self, incarnation, opened, listed, runs):
        """Return when all of ``runs`` have lapsed if no further call is sent."""
        ends = [incarnation.lease_end()]
        if not opened:
            ends.append(self._former_end(listed))
        if any(may_be_on_unknown(live, incarnation) for live in runs):
            ends.append(self._unknown_end(listed))
        return max(ends)

    def _former_end(self, listed):
        """Return when a lease has lapsed that a former holder extended."""
        return min(self._recorded_end, self._longest_end(self._began_at, listed))

    def _unknown_end(self, listed):
        """Return when a lease has lapsed that a call of this session extended."""
        return self._longest_end(self._extended_at, listed)

    def _longest_end(self, sent_at, listed):
        delay_s = LATE_CALL_LIMIT_S if listed else CALL_LIMIT_S
        return sent_at + delay_s + self.longest_s


def may_be_on_unknown(live, incarnation):
    """Return whether a run may be on an incarnation whose lease is not known."""
    if live.incarnation is incarnation:
        return not incarnation.fenced
    return live.sent_at is not None
