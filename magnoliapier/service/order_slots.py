"""
Bounds the orders that are under way to one endpoint.

Orders beyond the bound wait, and submissions take turns: one with thousands of orders
does not hold up the few of another.
"""

import asyncio
from collections import deque
from contextlib import asynccontextmanager


class OrderSlots:
    """
    Slots for concurrent orders, handed to the waiting submissions in rotation.

    Example::

        slots = OrderSlots(20)
        async with slots.slot("1f0c5a2b7d3e4f68"):
            await client.start(record, order)
    """

    def __init__(self, count):
        self._free = count
        self._waiting = {}

    @asynccontextmanager
    async def slot(self, submission_id):
        """Hold a slot for an order that belongs to a submission."""
        await self._acquire(submission_id)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, submission_id):
        if self._free:
            self._free -= 1
            return
        turn = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(submission_id, deque()).append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._release()  # the slot had been handed over already
            raise

    def _release(self):
        """Hand the slot to the submission that has waited longest for a turn."""
        while self._waiting:
            submission_id = next(iter(self._waiting))
            turns = self._waiting.pop(submission_id)
            turn = turns.popleft()
            if turns:
                self._waiting[submission_id] = turns  # its next turn is the last
            if not turn.done():
                turn.set_result(None)
                return
        self._free += 1
