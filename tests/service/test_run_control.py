from magnoliapier.exceptions import OrderRefusedError
from magnoliapier.service.orders import OrderRefusal
from tests.service.test_session import SessionTestCase


class OutdatedStopTests(SessionTestCase):
    """A stop is overtaken by a call with a higher token of the same holder."""

    async def test_stop_that_its_holder_outdated_is_repeated(self):
        """Guards against a run that nobody stops, as its stop counts as settled."""
        await self.session._inspect()
        stop, refusals = self.endpoints.stop, [OrderRefusal.FENCED]

        async def refuse_once(record, task, run, token):
            if refusals:
                self.session._fencing.outdate_calls()
                raise OrderRefusedError(refusals.pop())
            return await stop(record, task, run, token)

        self.endpoints.stop = refuse_once
        await self.session._control.stop(self.live)
        self.assertEqual(refusals, [])
        self.assertIsNotNone(self.live.settled_at)
        self.assertEqual(list(self.endpoint.highest_blocked_run.values()), [1])


class OutdatedStartTests(SessionTestCase):
    """A start is overtaken by a call with a higher token of the same holder."""

    async def test_start_that_its_holder_outdated_is_given_up(self):
        """Guards against a run that waits for good for an order that was refused."""
        await self.session._inspect()

        async def refuse(record, order):
            self.session._fencing.outdate_calls()
            raise OrderRefusedError(OrderRefusal.FENCED)

        self.endpoints.start = refuse
        await self.session._start(self.live)
        self.assertEqual(self.owner.gone_reasons, ["fenced"])
