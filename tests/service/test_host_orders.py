import logbook

from magnoliapier.exceptions import (
    HostOrderRefusedError,
    LeaseTooShortError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.metrics import Metrics
from magnoliapier.pools.orders import Maintain, Move
from magnoliapier.service.host_orders import HostOrderOutcome, HostOrderSender
from magnoliapier.state.lease import (
    LEASE_TTL_S,
    ORDER_TIME_LIMIT_S,
    HeldLease,
    LeaseRecord,
)
from tests.service.fakes import FakeClock
from tests.simulated_time import SimulatedTimeTestCase

ANSWER_S = 0.25


class FakeMachines:
    """The platform's interface for hosts; each call takes ``ANSWER_S``."""

    def __init__(self, clock):
        self.error = None
        self.withholds = False  # as the client does: its error hides the guard's
        self.orders = []
        self._clock = clock

    async def move(self, host, service, token, guard):
        await self._order((host, service, token), guard)

    async def maintain(self, host, wave, token, guard):
        await self._order((host, wave, token), guard)

    async def _order(self, order, guard):
        try:
            guard.check()
        except LeaseTooShortError as error:
            if self.withholds:
                raise StoreUnavailableError("not sent") from error
            raise
        self.orders.append(order)
        guard.record_sent()
        self._clock.now += ANSWER_S
        if self.error is not None:
            raise self.error


class HostOrderSenderTests(SimulatedTimeTestCase):
    def setUp(self):
        self.clock = FakeClock(10.0)
        self.machines = FakeMachines(self.clock)
        lease = HeldLease(LeaseRecord("host-1", "p", "127.0.0.1:1", 7))
        lease.record_renewal(1, sent_at=10.0)
        self.sender = HostOrderSender(self.machines, lease, self.clock, Metrics())

    async def test_orders_carry_the_token(self):
        """Guards against orders that cannot be attributed to their holder."""
        await self.sender.send(Move("h1", "desk"))
        await self.sender.send(Maintain("h2", 3))
        self.assertEqual(self.machines.orders, [("h1", "desk", 7), ("h2", 3, 7)])

    async def test_outcomes(self):
        """Guards against a lost answer, or a platform that is away, read as a no."""
        cases = [
            (None, HostOrderOutcome.DONE),
            (HostOrderRefusedError("busy"), HostOrderOutcome.REFUSED),
            (StoreUnavailableError("429"), HostOrderOutcome.UNAVAILABLE),
            (StoreOutcomeUnknownError("silent"), HostOrderOutcome.UNANSWERED),
        ]
        for error, outcome in cases:
            self.clock.now = 10.0
            self.machines.error = error
            self.assertEqual(await self.sender.send(Move("h1", "desk")), outcome)

    async def test_order_that_may_outlast_the_lease_is_not_sent(self):
        """
        Guards against a lease that is checked before a pause and used after it.

        The lease is checked when the bytes are written, as opening a connection or a
        pause of the process may take the rest of the lease.
        """
        self.clock.now += LEASE_TTL_S - ORDER_TIME_LIMIT_S + 0.01
        with self.assertRaises(LeaseTooShortError):
            await self.sender.send(Move("h1", "desk"))
        self.assertEqual(self.machines.orders, [])

    async def test_order_that_the_lease_does_not_cover_is_not_a_failed_one(self):
        """Guards against a host that is held back as the holder's lease was short."""
        self.machines.withholds = True
        self.clock.now += LEASE_TTL_S - ORDER_TIME_LIMIT_S + 0.01
        outcome = await self.sender.send(Move("h1", "desk"))
        self.assertEqual(outcome, HostOrderOutcome.WITHHELD)

    async def test_log_shows_when_an_order_was_sent_and_ended(self):
        """
        Guards against logs that do not show the sequence of two holders' orders.

        Both log lines of an unanswered order, on sending it and at the end of its call,
        need the token and the remaining time of the lease.
        """
        self.machines.error = StoreOutcomeUnknownError("silent")
        with logbook.TestHandler() as handler:
            await self.sender.send(Move("h1", "desk"))
        sent, ended = handler.formatted_records
        self.assertIn("event=host_order_sent", sent)
        self.assertIn("token=7 took_ms=0 lease_left_ms=2200", sent)
        self.assertIn("event=host_order_unanswered", ended)
        self.assertIn("token=7 took_ms=250 lease_left_ms=1950", ended)
