"""A small HTTP server on a loopback address, and the record of a case."""

import json
import time

from aiohttp import web


class HttpServer:
    """Serves a handler on a free port of 127.0.0.1."""

    def __init__(self, handler):
        self._handler = handler
        self._runner = None
        self.port = 0

    async def start(self):
        """Listen; return the address."""
        self._runner = web.ServerRunner(
            web.Server(self._answer, access_log=None), shutdown_timeout=0.1
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", self.port, backlog=512)
        await site.start()
        self.port = self._runner.addresses[0][1]
        return f"127.0.0.1:{self.port}"

    async def close(self):
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _answer(self, request):
        try:
            return await self._handler(request)
        except ConnectionResetError:
            return web.Response()


def answer(body, status=200):
    """Return a response with a JSON body."""
    return web.Response(
        status=status,
        body=json.dumps(body).encode(),
        content_type="application/json",
    )


def abort(request):
    """Reset the connection of a request: its caller gets no response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


class Record:
    """Writes what was sent, answered and run to a file, with the seconds since start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    @property
    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._start

    def write(self, event, **fields):
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now:8.3f} {event} {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()
