"""The HTTP server for callers, readiness probes and metrics."""

import asyncio
import re
import time

from aiohttp import web

from magnoliapier.exceptions import MessageError
from magnoliapier.logs import get_logger
from magnoliapier.platform import wire
from magnoliapier.platform.body_budget import (
    SMALL_BODY_BYTES,
    Body,
    BodyBudget,
    body_budget_bytes,
)
from magnoliapier.platform.boot import Limits
from magnoliapier.platform.connection_limits import ConnectionTable, connection_limit
from magnoliapier.platform.connections import BoundedServer, listen
from magnoliapier.platform.refusal_log import RefusalLog
from magnoliapier.service.access import AccessKind
from magnoliapier.service.background import cancel_tasks, report_failure, supervise
from magnoliapier.service.clock import unix_ms
from magnoliapier.service.entry import AnswerKind
from magnoliapier.submissions.configuration import RequestLimits

SUBMISSION_ID_PATTERN = re.compile(r"[0-9a-f]{16}\Z")
METHODS = ("POST", "GET", "DELETE")
AUTHORIZATION_SCHEME = "bearer"
SWEEP_INTERVAL_S = 1.0  # between two checks for bodies that are silent
# The memory of one decoded step until the submission is stored. If it did not count, 75
# bodies of 20,000 steps each could take 375 MB while the store is slow.
STEP_BYTES = 250
SHUTDOWN_TIMEOUT_S = 1.0  # for callers that do not read their answers
CLOSE_POLL_INTERVAL_S = 0.05
INTERNAL_CONNECTIONS = 64  # to each of the ports for readiness and metrics
METRICS_PORT = 9464  # must be the port in deploy/system.toml
STATUS_OF_KIND = {
    AnswerKind.REFUSED: 503,
    AnswerKind.UNKNOWN: 504,
    AnswerKind.UNAVAILABLE: 503,
    AnswerKind.ABSENT: 410,
}

DEFAULT_REQUEST_LIMITS = RequestLimits()
DEFAULT_LIMITS = Limits()

log = get_logger(__name__)


def internal_table():
    """Return the connections of a port that callers do not use."""
    return ConnectionTable(INTERNAL_CONNECTIONS)


def error_response(status, message, retry_after_s=0):
    """Return an error response; ``message`` says what the caller should do."""
    headers = {"Retry-After": str(retry_after_s)} if retry_after_s else None
    return web.Response(
        status=status,
        body=wire.encode(wire.ErrorBody(message)),
        content_type="application/json",
        headers=headers,
    )


def json_response(body):
    """Return a successful response with ``body`` as JSON."""
    return web.Response(body=wire.encode(body), content_type="application/json")


def unauthorized_response():
    """Return the response to a call without a key that the configuration holds."""
    response = error_response(401, "Send a valid key as Authorization: Bearer KEY.")
    response.headers["WWW-Authenticate"] = "Bearer"
    return response


def access_response(access):
    """Return the response to a call that may not use its queue."""
    if access.kind == AccessKind.UNKNOWN_KEY:
        return unauthorized_response()
    return error_response(503, "The key can't be verified now; try again.", 1)


def api_key(request):
    """Return the API key in the Authorization header, or an empty string."""
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    return key.strip() if scheme.lower() == AUTHORIZATION_SCHEME else ""


class BodyRefusedError(Exception):
    """A submission is refused; ``response`` is the answer to its caller."""

    def __init__(self, reason, response):
        super().__init__(reason)
        self.reason = reason
        self.response = response


async def read_body(request, limit, receive):
    """
    Return the body of a request.

    ``request.read()`` has a limit of its own. ``receive(size)`` is called with the size
    so far and returns whether there is room for it. Raises MessageError for a body in a
    wrong encoding, and BodyRefusedError for one that is too long or has no room.
    """
    body = bytearray()
    try:
        async for chunk in request.content.iter_any():
            body += chunk
            if len(body) > limit:
                raise BodyRefusedError("body_too_long", too_long_response(limit))
            if not receive(len(body)):
                raise BodyRefusedError("body_memory", memory_response())
    except web.RequestPayloadError as error:
        raise MessageError(f"Send the body as it is, in full: {error}") from error
    # aiohttp raises a RuntimeError if the connection was closed before the read.
    except (ConnectionError, RuntimeError) as error:
        raise BodyRefusedError("body_cut", cut_response()) from error
    return body


def decode_submission(data, submission_id, queue):
    """Return the submission in a body; raise MessageError if it is not valid."""
    body = wire.decode(wire.SubmissionBody, data)
    return body.submission(submission_id, queue.name, unix_ms())


def too_long_response(limit):
    """Return the response to a body of more than ``limit`` bytes."""
    return error_response(413, f"Send at most {limit} bytes.")


def cut_response():
    """Return the response to a body whose connection was closed before its end."""
    return error_response(400, "Send the body in full.")


def memory_response():
    """Return the response to a body that there is no memory for now."""
    return error_response(503, "Too many large bodies at once; try again.", 1)


class Ingress:
    """
    Translates callers' requests into calls of the node's entry, and its answers back.

    Serves callers on the front address, readiness probes on the ready address, and
    metrics on METRICS_PORT of the ready address's host. ``access`` is the AccessControl
    that checks callers' keys, and ``limits`` the process's Limits.
    """

    def __init__(self, node, access, listen, metrics, limits=DEFAULT_LIMITS):
        self._node = node
        self._access = access
        self._listen = listen
        self._metrics = metrics
        self._runners = []
        self._sweeper = None
        self._in_flight = 0
        self._decoding = asyncio.Lock()
        self._refusals = RefusalLog(metrics, time.monotonic)
        self._connections = ConnectionTable(
            connection_limit(limits.memory, limits.descriptors)
        )
        self._bodies = BodyBudget(
            body_budget_bytes(limits.memory),
            time.monotonic,
            lambda: self._refusals.record("slow_body"),
        )

    async def start(self):
        """Listen on all three addresses."""
        ready_address = self._listen.ready_address
        await self._serve(ready_address, self._answer_ready, internal_table())
        address, _, _ = ready_address.rpartition(":")
        await self._serve(
            f"{address}:{METRICS_PORT}", self._answer_metrics, internal_table()
        )
        await self._serve(self._listen.front, self._answer)
        self._sweeper = supervise("close_bodies", self._close_bodies, self._metrics)

    async def _serve(self, address, handler, table=None):
        server = BoundedServer(
            handler,
            self._request_limits,
            table or self._connections,
            self._refusals.record,
        )
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await runner.setup()
        host, _, port = address.rpartition(":")
        self._runners.append(runner)
        await listen(runner, host, int(port))

    def _request_limits(self):
        configuration = self._node.configuration
        return configuration.request_limits if configuration else DEFAULT_REQUEST_LIMITS

    async def _close_bodies(self):
        """Close the connections whose body has been silent for too long."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            limits = self._request_limits()
            self._bodies.close_silent(limits.idle_timeout_ms / 1000)

    @property
    def in_flight(self):
        """
        Return the number of callers' requests that are being answered.

        Those whose body has not arrived in full do not count: nothing is stored, and a
        caller that stops sending must not keep the process from ending.
        """
        return self._in_flight - len(self._bodies.unfinished)

    async def close(self):
        """Stop listening, and answer the requests that have arrived in full."""
        await cancel_tasks(self._sweeper)
        for runner in self._runners:
            for site in list(runner.sites):
                await site.stop()
        while self.in_flight:
            await asyncio.sleep(CLOSE_POLL_INTERVAL_S)
        self._bodies.close_unfinished()
        # The callers' server comes first, as nothing more may arrive on its open
        # connections; it was started last.
        for runner in reversed(self._runners):
            await runner.cleanup()

    async def _answer_ready(self, request):
        return web.Response(status=200 if self._node.ready else 503)

    async def _answer_metrics(self, request):
        return web.Response(text=self._metrics.render())

    async def _answer(self, request):
        self._in_flight += 1
        started_at = time.monotonic()
        try:
            response = await self._route(request)
        except Exception as error:
            report_failure("answer", error, self._metrics)
            # A submission may have been stored; other requests change nothing.
            status = 504 if request.method == "POST" else 503
            response = error_response(status, "Ask again; an internal error.")
        finally:
            self._in_flight -= 1
            self._connections.end_answer(request.protocol)
        if self._node.stopping:
            response.force_close()
        method = request.method if request.method in METHODS else "other"
        self._metrics.count("answers_total", method=method, status=str(response.status))
        self._metrics.observe(
            "answer_seconds", time.monotonic() - started_at, method=method
        )
        return response

    async def _route(self, request):
        configuration = self._node.configuration
        if configuration is None:
            return error_response(503, "No configuration yet; try again.", 1)
        host = request.headers.get("Host", "").partition(":")[0]
        queue = configuration.queue_for(host, request.path)
        if queue is None:
            return error_response(404, "Use the path of a configured queue.")
        access = await self._access.check(queue, api_key(request))
        if access.kind != AccessKind.ALLOWED:
            return self._refuse_access(access, queue)
        # Not before its key is known: unknown ones wait while the store is silent, and
        # would keep all connections. A submission may still have to arrive.
        if request.method != "POST":
            self._connections.begin_answer(request.protocol)
        submission_id = request.path[len(queue.path_prefix) :]
        if not submission_id and request.method == "GET":
            return self._build_response(await self._node.entry.pending(queue), True)
        if not SUBMISSION_ID_PATTERN.match(submission_id):
            return error_response(404, "Use an id of 16 hexadecimal digits.")
        if request.method == "POST":
            return await self._submit(
                request, configuration, queue, submission_id, access
            )
        if request.method == "GET":
            return self._build_response(
                await self._node.entry.state(queue, submission_id)
            )
        if request.method == "DELETE":
            return self._build_response(
                await self._node.entry.cancel(queue, submission_id)
            )
        return error_response(405, "Use POST, GET or DELETE.")

    async def _submit(self, request, configuration, queue, submission_id, access):
        limit = configuration.max_body_bytes
        length = request.content_length or 0
        if length > limit:
            self._refusals.record("body_too_long")
            return too_long_response(limit)
        if request.content.is_eof():
            body = Body(None, 0)  # all of it has arrived with its head
        else:
            body = self._bodies.open(length, request.protocol.drop)
        try:
            if body is None:
                raise BodyRefusedError("body_memory", memory_response())
            submission = await self._read_submission(
                request, limit, body, submission_id, queue
            )
            access = await self._access_now(request, configuration, queue, access)
            if access.kind != AccessKind.ALLOWED:
                return self._refuse_access(access, queue)
            organisation = access.organisation
            submission.organisation = organisation.name if organisation else ""
            return self._build_response(
                await self._node.entry.submit(queue, submission)
            )
        except BodyRefusedError as refused:
            self._refusals.record(refused.reason)
            return refused.response
        finally:
            if body is not None:
                self._bodies.release(body)

    def _refuse_access(self, access, queue):
        self._refusals.record(access.kind)
        if self._refusals.allows_detail():
            log.info("access_refused", queue=queue.name, reason=access.kind)
        return access_response(access)

    async def _access_now(self, request, configuration, queue, access):
        """
        Return the Access of a call whose body has arrived, ``access`` if unchanged.

        A body may arrive so slowly that its key has been withdrawn meanwhile.
        """
        latest = self._node.configuration
        if latest is configuration:
            return access
        queue = latest.queue_named(queue.name) or queue
        return await self._access.check(queue, api_key(request))

    async def _read_submission(self, request, limit, body, submission_id, queue):
        """Return a submission; ``body`` holds room for it until it is stored."""
        arrived = request.content.is_eof()
        try:
            data = await read_body(
                request,
                limit,
                lambda size: arrived or self._bodies.receive(body, size),
            )
            # Before decoding, which may wait for others: a body that has arrived in
            # full is not closed for being slow, nor by a stop.
            self._connections.begin_answer(request.protocol)
            if not self._bodies.finish(body):
                raise BodyRefusedError("body_cut", cut_response())
            submission = await self._decode(data, submission_id, queue)
        except MessageError as error:
            if self._refusals.allows_detail():
                log.info("malformed_submission", id=submission_id, error=error)
            response = error_response(400, str(error))
            raise BodyRefusedError("malformed_submission", response) from error
        room = len(data) + STEP_BYTES * len(submission.steps)
        if not arrived and not self._bodies.reserve(body, room):
            raise BodyRefusedError("body_memory", memory_response())
        return submission

    async def _decode(self, data, submission_id, queue):
        """
        Return the submission in a body.

        Large ones are decoded one at a time, each in a pass of the event loop of its
        own: 20,000 steps take tens of milliseconds.
        """
        if len(data) <= SMALL_BODY_BYTES:
            return decode_submission(data, submission_id, queue)
        async with self._decoding:
            await asyncio.sleep(0)
            return decode_submission(data, submission_id, queue)

    def _build_response(self, answer, pending=False):
        if answer.kind == AnswerKind.OK:
            if pending:
                return json_response(wire.PendingBody(answer.pending))
            if answer.state is not None:
                return json_response(wire.StateBody(answer.state))
            return web.Response(body=b"{}", content_type="application/json")
        status = STATUS_OF_KIND[answer.kind]
        return error_response(
            status, answer.reason or answer.kind, answer.retry_after_s
        )
