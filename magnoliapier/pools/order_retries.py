"""
When orders for hosts that took no effect may be sent again.

An order may be refused, or the platform may be away, for any length of time. Each order
that takes no effect is held back for longer than the one before it, so that the others
are sent meanwhile. The times are stored on the table's clock, which all hosts share, so
that a successor holds back the same orders.
"""

import msgspec

FIRST_DELAY_S = 0.5
MAX_DELAY_S = 16.0  # where the platform refuses the order
MAX_AWAY_DELAY_S = 2.0  # where it is away, and may be back at any moment
FORGET_AFTER_S = 600.0  # by then the hosts of a large pool have all had their turn
MAX_STORED = 400  # orders; the plan has to fit in one row of the table


class FailedOrder(msgspec.Struct, frozen=True, array_like=True):
    """
    An order that has taken no effect ``failures`` times in a row.

    The first failure was at ``since_ms``, and the order is held back until
    ``retry_ms``, both in ms on the table's clock, 0 if unknown.
    """

    failures: int
    since_ms: int
    retry_ms: int


class Retry(msgspec.Struct):
    """A FailedOrder with its times on the local clock, in seconds."""

    stored: FailedOrder
    since: float
    retry_at: float


class OrderRetries:
    """
    The orders that took no effect, by host and destination.

    ``stored`` holds the FailedOrders that were known when the lease was taken, at
    ``now``. ``table_ms(now)`` returns a value that the table's clock has not passed at
    ``now``, 0 if unknown. Local times are in seconds.

    Example::

        retries = OrderRetries()
        retries.record_failure(Move("h1", "a"), now=10.0)
        assert retries.holds_back(Move("h1", "a"), now=10.4)
        assert not retries.holds_back(Move("h2", "a"), now=10.4)
        assert not retries.holds_back(Move("h1", "a"), now=10.5)
    """

    def __init__(self, stored=None, now=0.0, table_ms=lambda now: 0):
        self._table_ms = table_ms
        self._retries = {
            host: {
                destination: _restore(failed, now, table_ms(now))
                for destination, failed in failures.items()
            }
            for host, failures in (stored or {}).items()
        }

    @property
    def hosts(self):
        """Return the names of the hosts with an order that took no effect."""
        return list(self._retries)

    def record_failure(self, order, now, max_delay_s=MAX_DELAY_S):
        """Record that an order took no effect, and hold it back."""
        table_ms = self._table_ms(now)
        before = self._find(order)
        failures = before.stored.failures if before else 0
        delay_s = min(max_delay_s, FIRST_DELAY_S * 2 ** min(failures, 10))
        stored = FailedOrder(
            failures + 1,
            before.stored.since_ms if before else table_ms,
            table_ms + round(delay_s * 1000) if table_ms else 0,
        )
        since = before.since if before else now
        of_host = self._retries.setdefault(order.host, {})
        of_host[order.destination] = Retry(stored, since, now + delay_s)

    def record_effect(self, order):
        """Forget the failures of an order that took effect."""
        of_host = self._retries.get(order.host, {})
        of_host.pop(order.destination, None)
        if not of_host:
            self._retries.pop(order.host, None)

    def holds_back(self, order, now):
        """Return whether an order must not be sent yet."""
        retry = self._find(order)
        return retry is not None and now < retry.retry_at

    def failing_for_s(self, order, now):
        """Return for how long an order has taken no effect, 0 if it has not failed."""
        retry = self._find(order)
        return now - retry.since if retry else 0.0

    def failures(self, order):
        """Return how many times in a row an order took no effect."""
        retry = self._find(order)
        return retry.stored.failures if retry else 0

    def forget(self, hosts, now):
        """Forget all hosts but these, and orders that were not repeated for long."""
        for host, of_host in list(self._retries.items()):
            for destination, retry in list(of_host.items()):
                if now - retry.retry_at > FORGET_AFTER_S:
                    del of_host[destination]
            if not of_host or host not in hosts:
                del self._retries[host]

    def to_store(self):
        """Return the FailedOrders that a successor must know, by host."""
        entries = [
            (retry.stored.retry_ms, host, destination, retry.stored)
            for host, of_host in self._retries.items()
            for destination, retry in of_host.items()
        ]
        entries.sort(key=lambda entry: entry[:3], reverse=True)
        stored = {}
        for _, host, destination, failed in sorted(entries[:MAX_STORED], key=_place):
            stored.setdefault(host, {})[destination] = failed
        return stored

    def _find(self, order):
        return self._retries.get(order.host, {}).get(order.destination)


def _place(entry):
    _, host, destination, _ = entry
    return host, destination


def _restore(failed, now, table_ms):
    """Return the Retry of a stored FailedOrder; an unknown time counts as now."""
    if not table_ms or not failed.retry_ms:
        return Retry(failed, now, now)
    left_s = (failed.retry_ms - table_ms) / 1000
    past_s = (table_ms - failed.since_ms) / 1000
    return Retry(failed, now - max(0.0, past_s), now + min(MAX_DELAY_S, left_s))
