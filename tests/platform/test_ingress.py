import unittest
from types import SimpleNamespace

from aiohttp.test_utils import make_mocked_request

from magnoliapier.metrics import Metrics
from magnoliapier.platform.ingress import Ingress


class FailingNode:
    """A node whose configuration cannot be read because of a fault of ours."""

    stopping = False

    @property
    def configuration(self):
        raise ValueError("unexpected")


class UnexpectedErrorTests(unittest.IsolatedAsyncioTestCase):
    async def answer(self, method):
        listen = SimpleNamespace(front="127.0.0.1:1", ready_address="127.0.0.1:2")
        ingress = Ingress(FailingNode(), listen, Metrics())
        response = await ingress._answer(make_mocked_request(method, "/q/1"))
        self.assertEqual(ingress.in_flight, 0)
        return response.status

    async def test_submission_is_not_said_to_have_been_refused(self):
        """Guards against a "not accepted" for a submission that may be stored."""
        self.assertEqual(await self.answer("POST"), 504)

    async def test_question_may_be_repeated(self):
        """Guards against an internal error that a caller takes as final."""
        self.assertEqual(await self.answer("GET"), 503)
