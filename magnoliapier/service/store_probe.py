"""
Whether the store answers this host, known before a caller's write is sent.

A write without an answer may have been applied, so its caller can be told neither
"accepted" nor "refused". A read that gets no answer has done nothing: asking first
lets the host refuse at once while the store is silent, and the caller try elsewhere.
"""

import asyncio

from magnoliapier.exceptions import PlatformError
from magnoliapier.logs import get_logger
from magnoliapier.service.background import cancel_tasks
from magnoliapier.service.leases import FLEET_SHARD
from magnoliapier.state.lease import CONTROL_TABLE, LEASE_KEY

FRESH_ANSWER_S = 0.3  # after which the store is asked before the next write
PROBE_TIMEOUT_S = 0.4  # a hundred times the usual answer
PROBE_GAP_S = 0.1  # between two probes of a silent store

log = get_logger(__name__)


class StoreProbe:
    """
    Asks the store with a small read if it has not answered lately.

    While it is silent, one task keeps asking and everyone else is told at once.

    Example::

        if not await probe.answers():
            refuse()
    """

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock
        self._first = None
        self._watch = None

    @property
    def silent(self):
        """Return whether the last question got no answer."""
        return self._watch is not None

    async def close(self):
        """Stop asking."""
        await cancel_tasks(self._first, self._watch)
        self._first = self._watch = None

    async def answers(self):
        """Return whether the store answers now; at once if that is known."""
        if self.silent:
            return False
        answered_at = self._store.last_answer_at
        if answered_at is not None and self._clock() - answered_at < FRESH_ANSWER_S:
            return True
        if self._first is None:
            self._first = asyncio.create_task(self._ask_first())
        return await asyncio.shield(self._first)

    def unanswered(self):
        """Take note that a call got no answer."""
        if self._watch is None:
            log.warning("store_silent")
            self._watch = asyncio.create_task(self._ask_until_answered())

    async def _ask_first(self):
        try:
            answered = await self._ask()
        finally:
            self._first = None
        if not answered:
            self.unanswered()
        return answered

    async def _ask_until_answered(self):
        while not await self._ask():
            await asyncio.sleep(PROBE_GAP_S)
        log.info("store_answers")
        self._watch = None

    async def _ask(self):
        end_key = LEASE_KEY + "\x00"
        question = self._store.read(CONTROL_TABLE, FLEET_SHARD, LEASE_KEY, end_key)
        try:
            await asyncio.wait_for(question, PROBE_TIMEOUT_S)
        except (PlatformError, TimeoutError) as error:
            log.info("probe_unanswered", error=repr(error))
            return False
        return True
