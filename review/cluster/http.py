"""The HTTP server that all stand-ins use."""

import msgspec
from aiohttp import web

LOOPBACK = "127.0.0.1"


class HttpServer:
    """An aiohttp server on a free loopback port."""

    def __init__(self, handler):
        self._handler = handler
        self._runner = None
        self.port = 0

    @property
    def address(self):
        """Return ``host:port``."""
        return f"{LOOPBACK}:{self.port}"

    async def start(self):
        """Listen."""
        server = web.Server(self._answer, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, LOOPBACK, self.port, backlog=512)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def close(self):
        """Stop listening and close all connections."""
        runner, self._runner = self._runner, None
        if runner is not None:
            await runner.cleanup()

    async def _answer(self, request):
        try:
            return await self._handler(request)
        except ConnectionResetError:
            return web.Response()  # nobody reads it any more


def json_answer(body, status=200):
    """Return a response with a JSON body."""
    return web.Response(
        status=status, body=msgspec.json.encode(body), content_type="application/json"
    )
