"""The HTTP server that the stand-ins share, and helpers for their responses."""

import msgspec
from aiohttp import web

LOOPBACK = "127.0.0.1"


class HttpServer:
    """An aiohttp server on a free loopback port."""

    def __init__(self, handler):
        self._handler = handler
        self._runner = None
        self.port = 0

    async def start(self):
        """Listen; return the port."""
        server = web.Server(self._answer, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, LOOPBACK, 0, backlog=512)
        await site.start()
        self.port = self._runner.addresses[0][1]
        return self.port

    async def close(self):
        """Stop listening; a second call while the first is under way does nothing."""
        runner, self._runner = self._runner, None
        if runner is not None:
            await runner.cleanup()

    async def _answer(self, request):
        try:
            return await self._handler(request)
        except ConnectionResetError:
            return web.Response()  # the caller has disconnected and reads no response


def json_answer(body, status=200):
    """Return a response with a JSON body."""
    return web.Response(
        status=status, body=msgspec.json.encode(body), content_type="application/json"
    )


def cut_connection(request):
    """Abort the connection of a request without sending a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
