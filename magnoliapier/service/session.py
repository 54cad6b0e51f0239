"""
One endpoint as its shard's controller sees it.

A session keeps the endpoint's lease, sends its orders and turns what the endpoint
lists into ends, readings and lost runs. A run counts as gone only when that is
certain: a listing that was asked for after the run was settled leaves it out, or the
endpoint's lease has lapsed on the slowest clock that the platform allows.
"""

import asyncio

from magnoliapier.exceptions import EndpointUnreachableError, OrderRefusedError
from magnoliapier.logs import get_logger
from magnoliapier.placement.endpoint import FreeResources
from magnoliapier.placement.health import EndpointHealth
from magnoliapier.service.background import cancel_tasks
from magnoliapier.service.clock import SLOWEST_CLOCK_RATE, EndpointClock
from magnoliapier.service.orders import OrderRefusal, StartOrder
from magnoliapier.submissions.progress import RunState

LOOK_WAIT_MS = 1000
LOOK_GAP_S = 0.14  # gathers ends and spares looks while many runs end
ACKNOWLEDGE_DELAY_S = 1.2  # before an idle endpoint is called only to acknowledge
RETRY_DELAY_S = 0.25
UNHEALTHY_BACKOFF_S = 0.6
NO_ROOM_BACKOFF_S = 0.15
LAPSE_MARGIN_S = 0.1

log = get_logger(__name__)


class EndpointSession:
    """
    Keeps one endpoint under the shard's fencing token.

    ``owner`` is the shard's controller: it is told of ends, readings and gone runs,
    and says whether the shard's lease still allows orders.
    """

    def __init__(self, record, client, owner, token, lease_ms, clock):
        self.record = record
        self.room = FreeResources(record.capacity)
        self.health = EndpointHealth()
        self.live = {}
        self.opened = False
        self.listed = True
        self.failing_since = None
        self.blocked_until = 0.0
        self.released = False
        self.leaving = False
        self._answered_at = None
        self._checked_since = None
        self._client = client
        self._owner = owner
        self._token = token
        self._lease_ms = lease_ms
        self._clock = clock
        self._endpoint_clock = EndpointClock()
        self._deadline_ms = 0
        self._foreign_lease_until = clock() + lease_ms / 1000 / SLOWEST_CLOCK_RATE
        self._born_ms = record.born_ms
        self._processed = 0
        self._committed = 0
        self._acknowledged = 0
        self._end_at = None
        self._wake = asyncio.Event()
        self._task = None
        self._orders = set()

    @property
    def endpoint_id(self):
        """Return the endpoint's id."""
        return self.record.endpoint_id

    @property
    def processed(self):
        """Return the number of the last end that was handed to the owner."""
        return self._processed

    @property
    def runs_long(self):
        """Return whether a long-running task is here."""
        return any(live.step.long_running for live in self.live.values())

    def usable(self, now):
        """Return whether new runs may be placed here."""
        return (
            self.opened
            and self.listed
            and not self.record.draining
            and not self.released
            and not self.leaving
            and self.failing_since is None
            and now >= self.blocked_until
        )

    def usable_or_opening(self):
        """Return whether the endpoint counts as one of the pool's."""
        return (
            self.listed
            and not self.record.draining
            and not self.released
            and self.failing_since is None
        )

    def start(self):
        """Begin to look at the endpoint."""
        self._task = asyncio.create_task(self._run())

    async def close(self):
        """Stop all calls."""
        await cancel_tasks(self._task, *self._orders)

    def adopt(self, live):
        """Take over a run that an earlier holder recorded."""
        live.settled_at = 0.0  # the raised fencing token bars its start order
        self._add(live)

    def reserve(self, live):
        """Set room aside for a run whose start will be ordered after the commit."""
        self._add(live)

    def _add(self, live):
        self.live[(str(live.task.name), live.run.number)] = live
        self.room.allocate(live.step)
        self._wake.set()

    def drop(self, live):
        """Forget a run that is not on the endpoint any more."""
        if self.live.pop((str(live.task.name), live.run.number), None) is not None:
            self.room.release(live.step)

    def committed(self, end_number):
        """Take note that all ends up to a number are stored."""
        self._committed = max(self._committed, end_number)
        self._wake.set()

    def host_down(self, since):
        """
        Check an endpoint whose host is listed as down since a steady time.

        The news may be older than a restart under the same id, so it only counts if the
        endpoint does not answer a call that was sent after it.
        """
        answered = self._answered_at is not None and self._answered_at >= since
        if answered or self._checked_since == since:
            return
        self._checked_since = since
        self._spawn(self._confirm_down())

    async def _confirm_down(self):
        try:
            await self._client.inspect(
                self.record, self._token, None, self._acknowledged, 0
            )
        except OrderRefusedError as error:
            log.info("host_not_down", endpoint=self.endpoint_id, reason=error.reason)
        except EndpointUnreachableError:
            self._give_up_settled()
        else:
            log.info("host_not_down", endpoint=self.endpoint_id, reason="answered")

    def _give_up_settled(self):
        """
        Give up the runs of a crashed endpoint.

        A start that is still under way may begin after a restart under the same id, so
        it waits for its stop.
        """
        self._mark_failing("host_down")
        for live in list(self.live.values()):
            if live.settled_at is not None:
                self._owner.run_gone(self, live, "host_down")

    def order_start(self, live):
        """Send the start of a reserved run."""
        self._spawn(self._start(live))

    def order_stop(self, live, reason):
        """Send a stop; the run stays live until its end is listed."""
        if live.run.state != RunState.STOPPING:
            live.run.state = RunState.STOPPING
            live.run.stop_reason = reason
            self._spawn(self._stop(live))

    def order_pace(self, live, percent):
        """Let a run work at a share of its speed."""
        self._spawn(self._pace(live, percent))

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)

    def update(self, record):
        """Take note of what the endpoint reports of itself."""
        self.listed = True
        if record.born_ms != self.record.born_ms:
            self._wake.set()
        self.record = record

    def _new_deadline(self, now):
        deadline = self._endpoint_clock.lower_bound_ms(now) + self._lease_ms
        self._deadline_ms = max(self._deadline_ms, deadline)
        return self._deadline_ms

    async def _start(self, live):
        name = str(live.task.name)
        if not self._owner.may_act() or live.run.state != RunState.ORDERED:
            self._owner.run_gone(self, live, "not_sent")
            return
        order = StartOrder(
            name,
            live.run.number,
            live.progress.submission.spec,
            self._new_deadline(self._clock()),
            self._token,
            live.task.checkpoint,
        )
        try:
            clock_ms = await self._client.start(self.record, order)
        except OrderRefusedError as error:
            self._start_refused(live, error.reason)
        except EndpointUnreachableError as error:
            log.warning("start_unanswered", task=name, run=live.run.number, error=error)
            self.blocked_until = self._clock() + UNHEALTHY_BACKOFF_S
            self._spawn(self._bar(live))
        else:
            now = self._clock()
            self._endpoint_clock.observe(clock_ms, now)
            live.settled_at = now
            if live.run.state == RunState.ORDERED:
                live.run.state = RunState.CONFIRMED
            self._wake.set()

    def _start_refused(self, live, reason):
        now = self._clock()
        self._owner.count_refusal(reason)
        if reason == OrderRefusal.FENCED:
            self._owner.fenced(self)
            return
        if reason == OrderRefusal.NO_ROOM:
            self.blocked_until = now + NO_ROOM_BACKOFF_S
        elif reason in (OrderRefusal.UNHEALTHY, OrderRefusal.WRONG_INSTANCE):
            self.blocked_until = now + UNHEALTHY_BACKOFF_S
        log.info(
            "start_refused",
            task=live.task.name,
            run=live.run.number,
            endpoint=self.endpoint_id,
            reason=reason,
        )
        self._owner.run_gone(self, live, str(reason))

    async def _bar(self, live):
        """Stop a run whose start got no answer, so that it cannot begin later."""
        live.run.state = RunState.STOPPING
        live.run.stop_reason = "start_unanswered"
        await self._stop(live)

    async def _stop(self, live):
        key = (str(live.task.name), live.run.number)
        while key in self.live:
            if self._owner.may_act():
                try:
                    await self._client.stop(self.record, key[0], key[1], self._token)
                except OrderRefusedError as error:
                    if error.reason != OrderRefusal.UNHEALTHY:
                        self._stop_refused(live, error.reason)
                        return
                except EndpointUnreachableError as error:
                    log.info("stop_unanswered", task=key[0], run=key[1], error=error)
                else:
                    live.settled_at = self._clock()
                    self._wake.set()
                    return
            await asyncio.sleep(RETRY_DELAY_S)

    def _stop_refused(self, live, reason):
        log.info(
            "stop_refused", task=live.task.name, run=live.run.number, reason=reason
        )
        if reason == OrderRefusal.FENCED:
            self._owner.fenced(self)
        elif reason != OrderRefusal.WRONG_INSTANCE:
            live.settled_at = self._clock()
            self._wake.set()

    async def _pace(self, live, percent):
        name = str(live.task.name)
        try:
            await self._client.set_pace(
                self.record, name, live.run.number, percent, self._token
            )
        except (OrderRefusedError, EndpointUnreachableError) as error:
            log.info("pace_failed", task=name, run=live.run.number, error=error)

    async def _run(self):
        while True:
            delay_s = self._idle_delay()
            if delay_s is None or delay_s > 0:
                await self._sleep(delay_s)
                continue
            if not self.record.address or not self._owner.may_act():
                await asyncio.sleep(RETRY_DELAY_S)
                self._check_lapse()
                continue
            try:
                await self._look()
            except OrderRefusedError as error:
                self._look_refused(error.reason)
                await asyncio.sleep(RETRY_DELAY_S)
            except EndpointUnreachableError as error:
                self._look_failed(error)
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                await asyncio.sleep(LOOK_GAP_S)

    def _idle_delay(self):
        """Return the seconds until a look is needed, or None if none is."""
        if not self.opened:
            return 0
        if self.live:
            return 0
        if self._committed > self._acknowledged and self._end_at is not None:
            return max(0.0, self._end_at + ACKNOWLEDGE_DELAY_S - self._clock())
        return None

    async def _sleep(self, delay_s):
        self._wake.clear()
        try:
            await asyncio.wait_for(self._wake.wait(), delay_s)
        except TimeoutError:
            return

    async def _look(self):
        sent_at = self._clock()
        deadline_ms = None
        if self._endpoint_clock.known and self.failing_since is None:
            deadline_ms = self._new_deadline(sent_at)
        wait_ms = LOOK_WAIT_MS if self.live and self.opened and deadline_ms else 0
        acknowledged = self._committed
        inspection = await self._client.inspect(
            self.record, self._token, deadline_ms, acknowledged, wait_ms
        )
        now = self._clock()
        self._acknowledged = max(self._acknowledged, acknowledged)
        self._answered_at = now
        self._reachable()
        if self._born_ms and inspection.born_ms not in (0, self._born_ms):
            self._reborn(inspection.born_ms)
        elif not self._born_ms:
            self._born_ms = inspection.born_ms
        self._endpoint_clock.observe(inspection.clock_ms, now)
        self._apply(inspection, sent_at, now)
        if not self.opened:
            self.opened = True
            self._owner.session_opened(self)

    def _reachable(self):
        if self.failing_since is not None:
            log.info("endpoint_regained", endpoint=self.endpoint_id)
        self.failing_since = None

    def _reborn(self, born_ms):
        """Treat an endpoint that restarted under its id as one that holds nothing."""
        log.warning("endpoint_restarted", endpoint=self.endpoint_id, born=born_ms)
        self._born_ms = born_ms
        self._endpoint_clock = EndpointClock()
        self._deadline_ms = 0
        self._processed = self._committed = self._acknowledged = 0
        for live in list(self.live.values()):
            if live.settled_at is not None:
                self._owner.run_gone(self, live, "endpoint_restarted")

    def _apply(self, inspection, sent_at, now):
        for end in inspection.ended:
            if end.number > self._processed:
                self._processed = end.number
                self._end_at = now
                self._owner.run_ended(self, end)
        listed = set()
        for reading in inspection.running:
            key = (reading.task, reading.run)
            listed.add(key)
            live = self.live.get(key)
            if live is None:
                self._owner.unknown_run(self, reading)
            else:
                self._owner.run_reading(self, live, reading, now)
        for key, live in list(self.live.items()):
            settled = live.settled_at is not None and live.settled_at < sent_at
            if key not in listed and settled:
                self._owner.run_gone(self, live, live.run.stop_reason or "unlisted")

    def stop_unknown(self, reading):
        """Stop a run that this shard does not want."""
        self._spawn(self._stop_once(reading))

    async def _stop_once(self, reading):
        try:
            await self._client.stop(self.record, reading.task, reading.run, self._token)
        except (OrderRefusedError, EndpointUnreachableError) as error:
            log.info("stop_failed", task=reading.task, run=reading.run, error=error)

    def _look_refused(self, reason):
        if reason == OrderRefusal.FENCED:
            self._owner.fenced(self)
            return
        self._mark_failing(reason)
        self._check_lapse()

    def _look_failed(self, error):
        self._mark_failing(error)
        self._check_lapse()

    def _mark_failing(self, cause):
        if self.failing_since is None:
            self.failing_since = self._clock()
            log.warning("endpoint_lost", endpoint=self.endpoint_id, cause=cause)

    @property
    def lease_lapsed(self):
        """Return whether nothing can be running on the endpoint any more."""
        now = self._clock() - LAPSE_MARGIN_S
        if now < self._foreign_lease_until and not self.opened:
            return False
        if not self._endpoint_clock.known:
            return True
        return self._endpoint_clock.lower_bound_ms(now) >= self._deadline_ms

    def _check_lapse(self):
        if self.live and self.failing_since is not None and self.lease_lapsed:
            for live in list(self.live.values()):
                self._owner.run_gone(self, live, "lease_lapsed")
        if not self.live and not self.listed and self.lease_lapsed:
            self._owner.endpoint_gone(self)
