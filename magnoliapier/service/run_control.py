"""Stops the runs on an endpoint, and sets their pace."""

import asyncio

from magnoliapier.exceptions import (
    EndpointNotReachedError,
    EndpointUnreachableError,
    OrderRefusedError,
)
from magnoliapier.logs import get_logger
from magnoliapier.service.background import report_failure
from magnoliapier.service.endpoint_runs import live_key
from magnoliapier.service.orders import OrderRefusal

RETRY_DELAY_S = 0.25

log = get_logger(__name__)


class RunControl:
    """
    Sends the orders of one session that concern runs on its endpoint.

    ``session`` is the EndpointSession, ``owner`` the RunEvents of its shard,
    ``fencing`` its EndpointFencing and ``slots`` the OrderSlots of the endpoint.

    Example::

        control = RunControl(session, client, owner, fencing, slots)
        await control.stop(live)
    """

    def __init__(self, session, client, owner, fencing, slots):
        self._session = session
        self._client = client
        self._owner = owner
        self._fencing = fencing
        self._slots = slots

    async def stop(self, live):
        """Order a stop until it is answered or the run is gone."""
        while self._session.holds(live):
            async with self._slots.slot(live.progress.submission_id):
                ended = self._owner.may_act() and await self._try_stop(live)
            if ended:
                return
            await asyncio.sleep(RETRY_DELAY_S)

    async def _try_stop(self, live):
        """Send a stop order; return whether it needs no other attempt."""
        task, run = live_key(live)
        token = self._fencing.token
        try:
            await self._client.stop(self._session.record, task, run, token)
        except OrderRefusedError as error:
            return self._handle_refusal(live, error.reason, token)
        except EndpointUnreachableError as error:
            log.info("stop_unanswered", task=task, run=run, error=error)
            return False
        except Exception as error:
            report_failure("stop_order", error)
            return False
        self._session.settle(live)
        return True

    def _handle_refusal(self, live, reason, token):
        """Apply a refused stop; return whether it needs no other attempt."""
        if reason == OrderRefusal.UNHEALTHY:
            return False
        if reason == OrderRefusal.FENCED and self._fencing.is_outdated(token):
            return False
        task, run = live_key(live)
        log.info("stop_refused", task=task, run=run, reason=reason)
        if reason == OrderRefusal.WRONG_INSTANCE:
            return True
        self._session.record_answer()
        if reason == OrderRefusal.FENCED:
            self._owner.fenced(self._session)
        else:
            self._session.settle(live)
        return True

    async def stop_once(self, task, run):
        """Send one stop order, unless the lease of the shard is not held any more."""
        submission_id, _, _ = task.partition(".")
        async with self._slots.slot(submission_id):
            if not self._owner.may_act():
                return
            token = self._fencing.token
            try:
                await self._client.stop(self._session.record, task, run, token)
            except (OrderRefusedError, EndpointUnreachableError) as error:
                log.info("stop_failed", task=task, run=run, error=error)

    async def set_pace(self, live, percent):
        """Throttle a run; one that may not have been told is told again later."""
        task, run = live_key(live)
        live.run.pace = percent
        live.run.pace_known = True
        try:
            async with self._slots.slot(live.progress.submission_id):
                await self._client.set_pace(
                    self._session.record, task, run, percent, self._fencing.token
                )
        except (OrderRefusedError, EndpointNotReachedError) as error:
            log.info("pace_failed", task=task, run=run, error=error)
            live.run.pace_known = False
        except EndpointUnreachableError as error:
            log.info("pace_unanswered", task=task, run=run, error=error)
            live.run.pace_known = False
            self._fencing.outdate_calls()  # this one must not undo the next if late
