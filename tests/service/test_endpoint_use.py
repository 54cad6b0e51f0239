from magnoliapier.placement.endpoint import FreeResources
from magnoliapier.service.endpoint_use import EndpointUse, count_uses
from magnoliapier.submissions.model import Resources
from tests.service.test_session import SessionTestCase


class EndpointUseTests(SessionTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.session._inspect()
        self.session.drop(self.live)

    def count(self):
        counts = count_uses([self.session], self.clock())
        return {use for use, number in counts.items() if number}

    async def test_idle_endpoint_is_usable(self):
        """Guards against a sound endpoint that is shown as out of use."""
        self.assertEqual(self.count(), {EndpointUse.USABLE})

    async def test_idle_endpoint_without_room_is_shown(self):
        """Guards against an endpoint without room that looks like any other."""
        self.session._runs.room = FreeResources(Resources())
        self.assertEqual(self.count(), {EndpointUse.ROOM_MISCOUNTED})

    async def test_reason_of_an_unusable_endpoint_is_shown(self):
        """Guards against metrics that name the wrong cause."""
        self.session.failing_since = self.clock()
        self.assertEqual(self.count(), {EndpointUse.FAILING})
        self.session.listed = False
        self.assertEqual(self.count(), {EndpointUse.UNLISTED})

    async def test_every_use_is_counted(self):
        """Guards against a gauge that keeps its value once no endpoint has the use."""
        self.assertEqual(set(count_uses([], 0.0)), set(EndpointUse))
