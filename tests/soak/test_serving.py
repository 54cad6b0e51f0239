import asyncio
import unittest

from aiohttp import web

from tests.soak.serving import HttpServer

MAX_STEPS = 20  # of the event loop; more than a close takes


class HttpServerTests(unittest.IsolatedAsyncioTestCase):
    async def test_server_may_be_closed_again_while_it_closes(self):
        """Guards against a soak that ends as an endpoint is moved while it crashes."""

        async def answer(request):
            return web.Response()

        for steps in range(MAX_STEPS):
            with self.subTest(steps):
                server = HttpServer(answer)
                await server.start()
                first_close = asyncio.create_task(server.close())
                for _ in range(steps):
                    await asyncio.sleep(0)
                await server.close()
                await first_close
