"""
Checks that the store answers this host before a caller's write is sent.

A write without an answer may have been applied, so its caller can be told neither
"accepted" nor "refused". A read without an answer has no effect. Probing the store with
a read first lets the host refuse a submission at once while the store is silent, so
that the caller can try another host.
"""

import asyncio

from magnoliapier.exceptions import MagnoliapierError
from magnoliapier.logs import get_logger
from magnoliapier.service.background import cancel_tasks, supervise
from magnoliapier.service.leases import FLEET_SHARD
from magnoliapier.state.lease import CONTROL_TABLE, LEASE_KEY

ANSWER_FRESH_S = 0.3  # no probe is sent before a write if the last answer is newer
PROBE_TIMEOUT_S = 0.4  # a hundred times the usual latency
PROBE_INTERVAL_S = 0.1  # between two probes of a silent store

log = get_logger(__name__)


class StoreProbe:
    """
    Probes the store with a small read if it has not answered lately.

    While the store is silent, one task keeps probing it, and ``answers()`` returns
    False without a probe.

    Example::

        if not await probe.answers():
            refuse()
    """

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock
        self._first_probe = None
        self._recovery_probe = None

    @property
    def silent(self):
        """Return whether a call got no answer and no probe has got one since."""
        return self._recovery_probe is not None

    async def close(self):
        """Stop probing, once the probe has ended for which callers may wait."""
        if self._first_probe is not None:
            await asyncio.wait({self._first_probe})
        await cancel_tasks(self._recovery_probe)
        self._recovery_probe = None

    async def answers(self):
        """Return whether the store answers; probe it only if that is not known."""
        if self.silent:
            return False
        answered_at = self._store.last_answer_at
        if answered_at is not None and self._clock() - answered_at < ANSWER_FRESH_S:
            return True
        if self._first_probe is None:
            self._first_probe = asyncio.create_task(self._probe_once())
        # Callers share the probe: the end of one does not cancel it for the others, nor
        # does its own end cancel them.
        probe = self._first_probe
        await asyncio.wait({probe})
        return not probe.cancelled() and probe.result()

    def mark_silent(self):
        """Record that a call got no answer, and probe the store until it answers."""
        if self._recovery_probe is None:
            log.warning("store_silent")
            self._recovery_probe = supervise("store_probe", self._probe_until_answered)

    async def _probe_once(self):
        try:
            answered = await self._probe()
        finally:
            self._first_probe = None
        if not answered:
            self.mark_silent()
        return answered

    async def _probe_until_answered(self):
        while not await self._probe():
            await asyncio.sleep(PROBE_INTERVAL_S)
        log.info("store_answers")
        self._recovery_probe = None

    async def _probe(self):
        end_key = LEASE_KEY + "\x00"
        call = self._store.read(CONTROL_TABLE, FLEET_SHARD, LEASE_KEY, end_key)
        try:
            await asyncio.wait_for(call, PROBE_TIMEOUT_S)
        except (MagnoliapierError, TimeoutError) as error:
            log.info("probe_unanswered", error=repr(error))
            return False
        return True
