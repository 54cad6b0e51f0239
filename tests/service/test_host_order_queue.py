import asyncio

from magnoliapier.pools.orders import Move
from magnoliapier.service.host_order_queue import HostOrderQueue
from magnoliapier.service.host_orders import HostOrderOutcome
from tests.service.fakes import FakeClock, metrics
from tests.simulated_time import SimulatedTimeTestCase

ORDERS = [Move(f"h{number}", "desk") for number in range(8)]
ANSWER_S = 0.1


class FakeSender:
    """Answers each order after a while, or fails with ``error``."""

    def __init__(self):
        self.error = None

    async def send(self, order):
        await asyncio.sleep(ANSWER_S)
        if self.error is not None:
            raise self.error
        return HostOrderOutcome.DONE


class HostOrderQueueTests(SimulatedTimeTestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.sender = FakeSender()
        self.ended = []

    def create_queue(self):
        queue = HostOrderQueue(
            self.sender, 10.0, self.record_end, self.clock, metrics()
        )
        self.addAsyncCleanup(queue.close)
        return queue

    def record_end(self, order, outcome):
        self.ended.append((order, outcome))

    async def test_orders_take_up_the_rate_until_a_second_has_passed(self):
        """Guards against more orders than the platform accepts."""
        queue = self.create_queue()
        queue.send(ORDERS)
        self.assertEqual(queue.capacity(), 2)
        await asyncio.sleep(2 * ANSWER_S)
        self.assertEqual(len(self.ended), len(ORDERS))
        self.assertEqual(queue.capacity(), 2)
        self.clock.now += 1.2
        self.assertEqual(queue.capacity(), 10)

    async def test_order_counts_as_unanswered_after_an_unexpected_error(self):
        """Guards against a host that is under way for good after an error of ours."""
        self.sender.error = ValueError("a fault")
        queue = self.create_queue()
        queue.send(ORDERS[:1])
        await asyncio.sleep(2 * ANSWER_S)
        self.assertEqual(self.ended, [(ORDERS[0], HostOrderOutcome.UNANSWERED)])
