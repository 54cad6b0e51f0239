"""
Sends the fleet controller's orders for hosts to the platform and logs them.

Whether the lease covers an order is checked immediately before the bytes of the order
are written. An earlier check would not be enough: opening a connection may take long,
and the process may be paused meanwhile.

One log line says when the bytes of an order were written, another when its call ended.
Both hold the remaining time of the holder's lease, so that the orders of two holders
can be put in sequence from their logs.
"""

from enum import StrEnum

from magnoliapier.exceptions import (
    HostOrderRefusedError,
    LeaseTooShortError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.logs import get_logger
from magnoliapier.pools.orders import Maintain

log = get_logger(__name__)


class HostOrderOutcome(StrEnum):
    """The outcome of an order for a host."""

    DONE = "done"
    REFUSED = "refused"  # by the platform; it had no effect and will have none
    UNAVAILABLE = "unavailable"  # not sent or not taken; it will have no effect
    WITHHELD = "withheld"  # not sent, as the lease does not cover it
    UNANSWERED = "unanswered"  # it may have been carried out


class OrderGuard:
    """
    Allows one order to be sent while the lease covers it.

    ``details()`` returns the fields of the log line that says when it was sent.
    ``withheld`` is whether the order was not allowed.
    """

    def __init__(self, lease, clock, details):
        self.withheld = False
        self._lease = lease
        self._clock = clock
        self._details = details

    def check(self):
        """Raise LeaseTooShortError if the order may outlast the lease."""
        if not self._lease.covers_order(self._clock()):
            self.withheld = True
            raise LeaseTooShortError(
                "The lease may expire before the order ends; renew it first."
            )

    def record_sent(self):
        """Log that the order's bytes were written."""
        log.info("host_order_sent", **self._details())


class HostOrderSender:
    """Sends one holder's orders for hosts of the fleet."""

    def __init__(self, machines, lease, clock, metrics):
        self._machines = machines
        self._lease = lease
        self._clock = clock
        self._metrics = metrics

    async def send(self, order):
        """Send an order if the lease covers it; return its HostOrderOutcome."""
        started_at = self._clock()
        guard = OrderGuard(
            self._lease, self._clock, lambda: self._details(order, started_at)
        )
        try:
            await self._call(order, guard)
        except HostOrderRefusedError as error:
            outcome = HostOrderOutcome.REFUSED
            log.info(
                "host_order_refused", **self._details(order, started_at), error=error
            )
        except StoreUnavailableError as error:
            outcome, event = HostOrderOutcome.UNAVAILABLE, "host_order_unavailable"
            if guard.withheld:
                outcome, event = HostOrderOutcome.WITHHELD, "host_order_withheld"
            log.info(event, **self._details(order, started_at), error=error)
        except StoreOutcomeUnknownError as error:
            outcome = HostOrderOutcome.UNANSWERED
            log.warning(
                "host_order_unanswered", **self._details(order, started_at), error=error
            )
        else:
            outcome = HostOrderOutcome.DONE
            log.info("host_ordered", **self._details(order, started_at))
        self._metrics.observe("host_order_seconds", self._clock() - started_at)
        self._metrics.count(
            "host_orders_total", kind=type(order).__name__, outcome=outcome
        )
        return outcome

    async def _call(self, order, guard):
        token = self._lease.token
        if isinstance(order, Maintain):
            await self._machines.maintain(order.host, order.wave, token, guard)
        else:
            await self._machines.move(order.host, order.service, token, guard)

    def _details(self, order, started_at):
        now = self._clock()
        return {
            "order": order,
            "token": self._lease.token,
            "took_ms": round((now - started_at) * 1000),
            "lease_left_ms": round(self._lease.remaining_s(now) * 1000),
        }
