"""
Sending the fleet controller's orders, and the log lines that explain them.

Whether the lease covers an order is checked as its bytes are written, with nothing but
the write after it: what comes before may take any time, as the process may be paused.

An order's lines say when its bytes left the process and when its call ended, each with
what was left of the holder's lease, so that orders of two holders can be put in order
from the logs of both.
"""

from enum import StrEnum

from magnoliapier.exceptions import (
    HostOrderRefusedError,
    LeaseTooShortError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.logs import get_logger
from magnoliapier.pools.planner import Maintain

log = get_logger(__name__)


class HostOrderOutcome(StrEnum):
    """What became of an order to a host."""

    DONE = "done"
    REFUSED = "refused"  # it has had no effect and never will
    UNANSWERED = "unanswered"  # it may have been carried out


class OrderGuard:
    """
    Lets one order go while the lease covers it.

    ``details()`` returns the fields of the log line that says when it left.
    """

    def __init__(self, lease, clock, details):
        self._lease = lease
        self._clock = clock
        self._details = details

    def check(self):
        """Raise LeaseTooShortError if the order may outlast the lease."""
        if not self._lease.covers_order(self._clock()):
            raise LeaseTooShortError("Renew the lease before the order is sent.")

    def record_sent(self):
        """Take note that the order's bytes were written."""
        log.info("host_order_sent", **self._details())


class HostOrderSender:
    """Sends one holder's orders to hosts of the fleet."""

    def __init__(self, machines, lease, clock, metrics):
        self._machines = machines
        self._lease = lease
        self._clock = clock
        self._metrics = metrics

    async def send(self, order):
        """Send an order if the lease covers it; return its HostOrderOutcome."""
        started_at = self._clock()
        try:
            await self._call(order, started_at)
        except (HostOrderRefusedError, StoreUnavailableError) as error:
            outcome = HostOrderOutcome.REFUSED
            log.info(
                "host_order_refused", **self._details(order, started_at), error=error
            )
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

    async def _call(self, order, started_at):
        token = self._lease.token
        guard = OrderGuard(
            self._lease, self._clock, lambda: self._details(order, started_at)
        )
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
