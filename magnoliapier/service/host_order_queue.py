"""Sends host orders in the background, no more than the platform accepts."""

import asyncio

from magnoliapier.pools.order_rate import OrderRate
from magnoliapier.service.background import cancel_tasks, report_failure
from magnoliapier.service.host_orders import HostOrderOutcome

MAX_CONCURRENT_ORDERS = 16


class HostOrderQueue:
    """
    Sends orders at once, so that one call that hangs holds up no other order.

    ``sender`` is a ``HostOrderSender``. ``on_end(order, outcome)`` is called when the
    call of an order has ended, with ``UNANSWERED`` also after an unexpected error.

    Example::

        queue = HostOrderQueue(sender, 64.0, on_end, clock, metrics)
        orders = orders[: queue.capacity()]
        queue.send(orders)
    """

    def __init__(self, sender, per_second, on_end, clock, metrics):
        self._sender = sender
        self._rate = OrderRate(per_second)
        self._on_end = on_end
        self._clock = clock
        self._metrics = metrics
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_ORDERS)
        self._tasks = set()
        self._unsent = 0

    def capacity(self):
        """Return how many orders may be given to ``send`` now."""
        return max(0, self._rate.available(self._clock()) - self._unsent)

    def send(self, orders):
        """Send orders in the background."""
        self._unsent += len(orders)
        for order in orders:
            task = asyncio.create_task(self._send(order), name="host_order")
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def close(self):
        """End all calls."""
        await cancel_tasks(*self._tasks)

    async def _send(self, order):
        async with self._slots:
            self._unsent -= 1
            self._rate.record(1, self._clock())
            outcome = await self._call(order)
        self._on_end(order, outcome)

    async def _call(self, order):
        try:
            return await self._sender.send(order)
        except Exception as error:
            report_failure("host_order", error, self._metrics)
            return HostOrderOutcome.UNANSWERED
