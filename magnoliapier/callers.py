"""
The callers' side: HTTP connections, request checks, answers and refusals.

waitress accepts connections and parses requests. Its own channel and thread pool
are not used: they hide waiting requests once all threads are busy and spool large
bodies to temporary files. :class:`CallerChannel` hands each parsed request to
admission in the I/O loop, and :class:`SlotTaskDispatcher` runs it in a worker
thread only once it has a slot.
"""

import functools
import itertools
import json
import queue
import re
import socket
import threading
import time
from email.utils import formatdate
from http import HTTPStatus

from waitress import wasyncore
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.utilities import RequestEntityTooLarge

from magnoliapier.connections import (
    HOP_BY_HOP,
    OutgoingRequest,
    connection_options,
)
from magnoliapier.http_server import HttpServer
from magnoliapier.logs import get_logger
from magnoliapier.manifest import NAME_PATTERN
from magnoliapier.reasons import REFUSALS, RefusalReason, RunState
from magnoliapier.request_tables import RequestEntry, WorkClass

log = get_logger(__name__)

RECEIVE_BYTES = 16_384
# Without a limit the kernel takes up to 4 MB of an answer for a caller that does not
# read, outside max_buffered_bytes. The kernel doubles the value.
SEND_BUFFER_BYTES = 131_072
# A refusal before the body was read is followed by a read to the end, because
# closing a socket with unread bytes resets it and may destroy the refusal.
LINGER_S = 2.0
LINGER_BYTES = 1_048_576
BACKLOG = 1024
# The listening socket and the wake-up pipe are counted by waitress as connections.
OWN_SOCKETS = 2
SWEEP_INTERVAL_S = 1
MAX_ID_CHARS = 128
MAX_KIND_CHARS = 64
MAX_MS = 86_400_000
METHODS = frozenset(("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"))
IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "PUT", "DELETE", "OPTIONS"))
PHRASES = {status.value: status.phrase for status in HTTPStatus} | {499: "Caller Gone"}
NAME = re.compile(NAME_PATTERN)
TOKEN = re.compile(rf"[!#-+\--:<-~]{{1,{MAX_ID_CHARS}}}\Z")
TARGET = re.compile(r"/[!-\"$-~]*\Z")
HOST = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9._~-]+)(:[0-9]{1,5})?\Z")
DOT_SEGMENT = re.compile(r"(?i)(^|/|\\)(\.|%2e){1,2}(/|\\|$)")
MILLISECONDS = re.compile(r"[0-9]{1,8}\Z")
NOT_FORWARDED = {name.upper().replace("-", "_") for name in HOP_BY_HOP} | {
    "CONTENT_LENGTH",
    "EXPECT",
    "HOST",
    "X_REQUEST_ID",
    "X_DEADLINE_MS",
}


class RequestRefusedError(Exception):
    """A request that is refused before admission."""

    def __init__(self, reason, detail=None, run_state=RunState.NOT_RUN):
        self.reason = reason
        self.detail = detail
        self.run_state = run_state


class StrictParser(HTTPRequestParser):
    """
    waitress's parser without its leniency about framing.

    waitress prefers Transfer-Encoding when Content-Length is present as well and
    joins continued lines; hosts in front of it may decide otherwise, so both are
    refused.
    """

    # Not set by waitress when the request line cannot be read.
    command = ""

    def parse_header(self, header_plus):
        """Parse the request line and headers."""
        if b"\r\n " in header_plus or b"\r\n\t" in header_plus:
            raise ParsingError("A header line is continued; send it in one line.")
        try:
            super().parse_header(header_plus)
        except ValueError:
            # Python refuses to convert thousands of digits.
            raise ParsingError("Content-Length is not usable.") from None
        headers = self.headers
        if "TRANSFER_ENCODING" in headers:
            raise ParsingError("Transfer-Encoding needs HTTP/1.1.")
        if self.chunked and "CONTENT_LENGTH" in headers:
            raise ParsingError(
                "Send Content-Length or Transfer-Encoding, but not both."
            )


class Exchange:
    """
    One request of a caller and its one answer.

    ``entry`` is the RequestEntry once the request passed the checks. ``gone`` is
    set when the caller left, ``queued`` when the decisions got the request,
    ``dispatched`` while it holds a slot, ``done`` when it has its answer,
    ``may_have_run`` once a send ended without proof of the contrary. ``claim`` is
    the claim of a non-idempotent request and ``send`` its Send in flight.
    """

    __slots__ = (
        "channel",
        "parser",
        "request_id",
        "entry",
        "target",
        "body",
        "held",
        "gone",
        "done",
        "queued",
        "dispatched",
        "may_have_run",
        "claim",
        "send",
    )

    def __init__(self, channel, parser, held):
        self.channel = channel
        self.parser = parser
        self.request_id = ""
        self.entry = None
        self.target = ""
        self.body = b""
        self.held = held
        self.gone = False
        self.done = False
        self.queued = False
        self.dispatched = False
        self.may_have_run = False
        self.claim = None
        self.send = None

    @property
    def method(self):
        """The HTTP method."""
        return self.parser.command

    def outgoing(self, now):
        """Return the request for an endpoint at the instant ``now``."""
        source = self.parser.headers
        listed = source.get("CONNECTION")
        dropped = NOT_FORWARDED
        if listed is not None:
            dropped = dropped | {
                name.upper().replace("-", "_")
                for name in connection_options({"Connection": listed})
            }
        headers = {
            header_name(name): value
            for name, value in source.items()
            if name not in dropped
        }
        headers["X-Request-Id"] = self.request_id
        remaining = max(int((self.entry.deadline - now) * 1000), 0)
        headers["X-Deadline-Ms"] = str(remaining)
        return OutgoingRequest(
            self.method,
            self.target,
            headers,
            self.body,
            self.request_id,
        )

    def answer(self, status, phrase, headers, body, held=0):
        """Send a whole answer; ``held`` bytes of the budget go with it."""
        lines = [f"HTTP/1.1 {status} {phrase or PHRASES.get(status, '')}"]
        names = set()
        for name, value in headers:
            lower = name.lower()
            # A repeated first answer carries the id of the first request.
            if lower != "x-request-id":
                names.add(lower)
                lines.append(f"{name}: {value}")
        if self.request_id:
            lines.append(f"X-Request-Id: {self.request_id}")
        if "date" not in names:
            lines.append(f"Date: {http_date(int(time.time()))}")
        if "content-length" not in names and status not in (204, 304):
            lines.append(f"Content-Length: {len(body)}")
        close = self.channel.must_close(self.parser)
        if close:
            lines.append("Connection: close")
        elif self.parser.version == "1.0":
            lines.append("Connection: keep-alive")
        head = "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n"
        if self.parser.command == "HEAD":
            body = b""
        self.channel.finish(self, head, body, held, close)

    def refuse(self, reason, run_state, retry_after_s=None, detail=None):
        """Send a refusal; a run that may have happened is never denied."""
        if self.may_have_run:
            run_state = RunState.UNKNOWN
        kind = REFUSALS[reason]
        if retry_after_s is None:
            retry_after_s = kind.retry_after_s
        values = {
            "reason": reason.value,
            "run_state": run_state.value,
            "remedy": detail or kind.remedy,
            "request_id": self.request_id,
        }
        headers = [
            ("Content-Type", "application/json"),
            ("X-Refusal-Reason", reason.value),
            ("X-Run-State", run_state.value),
        ]
        if retry_after_s is not None:
            headers.append(("Retry-After", str(retry_after_s)))
        body = json.dumps(values).encode()
        self.answer(kind.status, None, headers, body)


class CallerChannel(wasyncore.dispatcher):
    """
    One connection of a caller; it carries one request at a time.

    Bytes that a caller sends ahead stay unparsed, at most RECEIVE_BYTES of them,
    until the present request is answered, so pipelining costs no more memory than
    a single request. Answers are sent by the worker thread as far as the socket
    takes them, and by the I/O loop from there.
    """

    def __init__(self, server, connection, address, adj, map=None):
        self.server = server
        self.adj = adj
        self._callers = server.callers
        self._lock = threading.Lock()
        self._output = []
        self._output_held = 0
        self._parser = None
        self._parser_held = 0
        self._pending = b""
        self._exchange = None
        self._since = time.monotonic()
        self._started = False
        self._ending = False
        self._lingered = None
        self._closed = False
        self._received = None
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        wasyncore.dispatcher.__init__(self, connection, map=map)

    @property
    def busy(self):
        """Whether a request is being received, in progress or being answered."""
        return bool(self._exchange or self._output or self._parser or self._pending)

    def readable(self):
        """Read while no bytes wait, also during a request to notice a caller's end."""
        if self._lingered is not None:
            return True
        return not (self._pending or self._output or self._ending)

    def writable(self):
        """Write while an answer is not sent whole."""
        return bool(self._output)

    def handle_read(self):
        """Receive bytes or the end of the connection."""
        try:
            data = self.socket.recv(RECEIVE_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if not data:
            self.handle_close()
            return
        if self._lingered is not None:
            self._lingered += len(data)
            if self._lingered > LINGER_BYTES:
                self.handle_close()
            return
        with self._lock:
            if self._exchange is not None or self._output:
                self._pending = data
                return
        self._parse(data)

    def handle_write(self):
        """Send more of an answer."""
        with self._lock:
            self._flush()
        self._resume()

    def handle_close(self):
        """Release everything the connection holds; its request loses its place."""
        with self._lock:
            if self._closed:
                return
            self._closed = True
            exchange, self._exchange = self._exchange, None
            self._output.clear()
            held = self._output_held + self._parser_held
            self._output_held = self._parser_held = 0
            wasyncore.dispatcher.close(self)
        self._callers.budget.release(held)
        if exchange is not None:
            self._callers.caller_gone(exchange)

    def close(self):
        """Close the connection, as wasyncore does on errors."""
        self.handle_close()

    def handle_error(self):
        """Drop a connection whose handling failed."""
        log.error("caller_connection_failed", error=wasyncore.compact_traceback()[1:3])
        self.handle_close()

    def expire(self, now):
        """Close the connection if its caller takes too long over its part."""
        if self._exchange is not None:
            return
        limit = self._callers.settings.caller_timeout_s
        if self._lingered is not None:
            limit = LINGER_S
        if now - self._since > limit:
            self._callers.metrics.count("caller_timeouts_total")
            self.handle_close()

    def must_close(self, parser):
        """Return whether the connection ends with the answer to ``parser``."""
        if parser.error or self._callers.draining:
            return True
        listed = parser.headers.get("CONNECTION", "").lower()
        if parser.version == "1.0":
            return listed != "keep-alive"
        return "close" in listed

    def finish(self, exchange, head, body, held, close):
        """Send the answer to ``exchange`` if its caller is still there."""
        released = exchange.held
        exchange.held = 0
        with self._lock:
            if self._exchange is not exchange:
                released += held
                wake = False
            else:
                self._exchange = None
                self._since = time.monotonic()
                self._started = False
                self._ending = close
                self._output_held = held
                self._output.append(memoryview(head + body))
                self._flush()
                wake = bool(self._output or self._pending or close)
        self._callers.budget.release(released)
        if wake:
            self.server.trigger.pull_trigger(self._resume)

    def _flush(self):
        """Send what the socket takes; called with the lock."""
        try:
            while self._output:
                count = self.socket.send(self._output[0])
                if count < len(self._output[0]):
                    self._output[0] = self._output[0][count:]
                else:
                    self._output.pop(0)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._output.clear()
            self._ending = True
        self._callers.budget.release(self._output_held)
        self._output_held = 0

    def _resume(self):
        """Go on in the I/O loop after an answer: end, or take the next request."""
        with self._lock:
            if self._closed or self._output or self._exchange is not None:
                return
            data, self._pending = self._pending, b""
        if self._ending:
            self._linger()
        elif data:
            self._parse(data)

    def _linger(self):
        if self._lingered is not None:
            return
        self._lingered = 0
        self._since = time.monotonic()
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.handle_close()

    def _parse(self, data):
        if not self._started:
            self._started = True
            self._since = time.monotonic()
        while data:
            if self._parser is None:
                self._parser = StrictParser(self.adj)
            parser = self._parser
            consumed = parser.received(data)
            data = data[consumed:]
            if not self._hold_body(parser):
                parser.error = RequestRefusedError(RefusalReason.MEMORY_LIMIT)
                parser.completed = True
            if parser.expect_continue and not parser.completed:
                parser.expect_continue = False
                self._send_continue()
            if parser.completed:
                self._parser = None
                if parser.empty:
                    continue
                self._pending = data
                self._begin(parser)
                return

    def _hold_body(self, parser):
        """Take a body's bytes from the budget: its length at once, chunks as read."""
        if not parser.headers_finished or parser.error:
            return True
        wanted = parser.body_bytes_received if parser.chunked else parser.content_length
        missing = wanted - self._parser_held
        if missing > 0:
            if not self._callers.budget.reserve(missing):
                return False
            self._parser_held = wanted
        return True

    def _send_continue(self):
        try:
            self.socket.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        except OSError:
            self.handle_close()

    def _begin(self, parser):
        self._received = Exchange(self, parser, self._parser_held)
        self._parser_held = 0
        self._exchange = self._received
        self.server.add_task(self)

    def take_received(self):
        """Return the exchange of the request parsed last."""
        exchange, self._received = self._received, None
        return exchange


class SlotTaskDispatcher:
    """
    Takes the place of waitress's task dispatcher.

    ``add_task`` runs in the I/O loop and passes the request on to admission at
    once. Worker threads take only what :meth:`put` gives them, which is a request
    that has a slot.
    """

    def __init__(self, admit, run, threads, metrics):
        self._admit = admit
        self._run = run
        self._metrics = metrics
        self._ready = queue.SimpleQueue()
        self._threads = [
            threading.Thread(target=self._work, name=f"worker-{number}", daemon=True)
            for number in range(threads)
        ]
        for thread in self._threads:
            thread.start()

    def add_task(self, channel):
        """Admit the request that a channel has parsed."""
        self._admit(channel.take_received())

    def put(self, dispatch):
        """Run a dispatched request in a worker thread."""
        self._ready.put(dispatch)

    def waiting(self):
        """Return how many requests have a slot but no thread yet."""
        return self._ready.qsize()

    def shutdown(self, cancel_pending=True, timeout=5):
        """End the worker threads after what they have begun."""
        for _ in self._threads:
            self._ready.put(None)
        until = time.monotonic() + timeout
        for thread in self._threads:
            thread.join(max(until - time.monotonic(), 0))

    def _work(self):
        while True:
            dispatch = self._ready.get()
            if dispatch is None:
                return
            try:
                self._run(dispatch)
            except Exception as error:
                self._metrics.count("worker_errors_total")
                log.error("worker_failed", error=repr(error))


class CallerServer:
    """
    Listens for callers and passes checked requests to ``path``.

    ``path`` has ``submit(exchange)``, ``caller_gone(exchange)``, ``run(dispatch)``
    and ``manifest``. Its bodies and answers are limited by ``budget``; beyond that
    each of ``max_connections`` holds at most ``max_header_bytes`` of an unfinished
    header and RECEIVE_BYTES received ahead.
    """

    def __init__(self, settings, name, path, budget, clock, metrics):
        self.settings = settings
        self.budget = budget
        self.metrics = metrics
        self.draining = False
        self._name = name
        self._path = path
        self._clock = clock
        self._numbers = itertools.count(1)
        self._prefix = f"{name}-{time.time_ns():x}"
        self.workers = SlotTaskDispatcher(
            self.admit, path.run, settings.threads, metrics
        )
        try:
            self._http = HttpServer(
                no_application,
                settings.address,
                dispatcher=self.workers,
                connection_limit=settings.max_connections + OWN_SOCKETS,
                max_request_header_size=settings.max_header_bytes,
                max_request_body_size=settings.max_body_bytes + 1,
                inbuf_overflow=settings.max_body_bytes * 2 + RECEIVE_BYTES,
                cleanup_interval=SWEEP_INTERVAL_S,
                backlog=BACKLOG,
            )
        except Exception:
            self.workers.shutdown(timeout=1)
            raise
        server = self._http.server
        server.callers = self
        server.channel_class = CallerChannel
        server.maintenance = self._sweep

    @property
    def address(self):
        """The IP:port that callers reach."""
        return self._http.address

    def start(self):
        """Accept callers."""
        self._http.start()
        return self

    def stop_accepting(self):
        """Close the listening socket; requests in flight go on."""
        self.draining = True
        self._http.server.trigger.pull_trigger(self._stop_listening)

    def busy_connections(self):
        """Return how many connections are in the middle of a request or answer."""
        return sum(channel.busy for channel in self._channels())

    def close(self):
        """Close all connections and end the threads."""
        self._http.close()

    def caller_gone(self, exchange):
        """Take note that the connection of ``exchange`` ended."""
        self._path.caller_gone(exchange)

    def admit(self, exchange):
        """Check a parsed request and submit or refuse it; runs in the I/O loop."""
        number = next(self._numbers)
        exchange.request_id = f"{self._prefix}-{number}"
        try:
            self._check(exchange)
        except RequestRefusedError as refused:
            self.metrics.count("refusals_total", reason=refused.reason.value)
            exchange.refuse(refused.reason, refused.run_state, detail=refused.detail)
            return
        self._path.submit(exchange)

    def _check(self, exchange):
        parser = exchange.parser
        check_parsed(parser)
        internal_id = exchange.request_id
        headers = parser.headers
        given = read_token(headers, "X_REQUEST_ID")
        if given:
            exchange.request_id = given
        manifest = self._path.manifest
        if manifest is None:
            raise RequestRefusedError(RefusalReason.NO_MANIFEST)
        exchange.target = read_target(parser)
        check_host(parser)
        exchange.entry = read_entry(
            parser, exchange.target, manifest, internal_id, self._clock.monotonic()
        )
        exchange.body = parser.get_body_stream().read()
        # The parser keeps a buffer of the body, which would be held twice.
        parser.body_rcv = None
        exchange.entry.body_bytes = len(exchange.body)
        exchange.entry.payload = exchange

    def _sweep(self, now):
        moment = time.monotonic()
        for channel in self._channels():
            channel.expire(moment)

    def _channels(self):
        members = list(self._http.server._map.values())
        return [item for item in members if isinstance(item, CallerChannel)]

    def _stop_listening(self):
        """Take the connections that the kernel has accepted, then listen no more."""
        server = self._http.server
        for _ in range(BACKLOG):
            before = len(server._map)
            server.handle_accept()
            if len(server._map) == before:
                break
        self._http.stop_accepting()


def no_application(environ, start_response):
    """Fail; requests never reach a WSGI application."""
    raise NotImplementedError("Requests are answered by CallerChannel.")


def check_parsed(parser):
    """Raise RequestRefusedError for a request that could not be parsed."""
    error = parser.error
    if error is None:
        return
    if isinstance(error, RequestRefusedError):
        raise error
    if isinstance(error, RequestEntityTooLarge):
        raise RequestRefusedError(RefusalReason.BODY_TOO_LARGE)
    raise bad_request(getattr(error, "body", "The request is malformed."))


def bad_request(detail):
    """Return the refusal of a malformed request."""
    return RequestRefusedError(RefusalReason.BAD_REQUEST, detail)


def read_target(parser):
    """Return path and query as the caller wrote them."""
    if parser.command not in METHODS or parser.version not in ("1.0", "1.1"):
        raise bad_request("Use HTTP/1.1 and a usual method.")
    target = parser.request_uri
    if parser.proxy_netloc:
        _, _, rest = target.partition("://")
        target = rest[len(parser.proxy_netloc) :]
    if not TARGET.match(target) or target.startswith("//"):
        raise bad_request("Send a path /<service>/<path> in printable ASCII.")
    if DOT_SEGMENT.search(target.partition("?")[0]):
        raise bad_request("Send a path without dot segments.")
    return target


def check_host(parser):
    """Refuse a Host that is missing, repeated, malformed or contradicted."""
    host = parser.headers.get("HOST")
    if host is None:
        if parser.version == "1.1":
            raise bad_request("Send one Host header.")
        return
    if not HOST.match(host):
        raise bad_request("Send one Host header that names a host.")
    if parser.proxy_netloc and parser.proxy_netloc.lower() != host.lower():
        raise bad_request("Send the same host in the request line and in Host.")


def read_token(headers, name):
    """Return a header that must be a token, or None."""
    value = headers.get(name)
    if value is not None and not TOKEN.match(value):
        raise bad_request(
            f"Send {header_name(name)} once, with 1 to {MAX_ID_CHARS} printable "
            "characters without spaces and commas."
        )
    return value


def read_ms(headers, name):
    """Return a header in milliseconds as seconds, or None."""
    value = headers.get(name)
    if value is None:
        return None
    if not MILLISECONDS.match(value) or not 1 <= int(value) <= MAX_MS:
        raise bad_request(f"Send {header_name(name)} as 1 to {MAX_MS} milliseconds.")
    return int(value) / 1000


def read_choice(headers, name, choices):
    """Return a header that must be one of ``choices``, or None."""
    value = headers.get(name)
    if value is not None and value not in choices:
        raise bad_request(f"Send {header_name(name)} as one of {', '.join(choices)}.")
    return value


def read_entry(parser, target, manifest, request_id, now):
    """Return the RequestEntry of a request, or raise RequestRefusedError."""
    headers = parser.headers
    path = target.partition("?")[0]
    _, name, *segments = path.split("/")
    service = manifest.services.get(name)
    if service is None:
        raise RequestRefusedError(RefusalReason.UNKNOWN_SERVICE)
    organisation = headers.get("X_ORGANISATION", "")
    if not NAME.match(organisation) or organisation not in manifest.organisations:
        raise RequestRefusedError(RefusalReason.UNKNOWN_ORGANISATION)
    key = read_token(headers, "IDEMPOTENCY_KEY")
    marked = read_choice(headers, "X_IDEMPOTENT", ("true", "false"))
    if marked == "false" and key is None:
        raise RequestRefusedError(RefusalReason.KEY_REQUIRED)
    if marked is None:
        idempotent = parser.command in IDEMPOTENT_METHODS
    else:
        idempotent = marked == "true"
    declared = read_choice(headers, "X_REQUEST_CLASS", ("short", "long")) or "short"
    limit = read_ms(headers, "X_DEADLINE_MS")
    if limit is None:
        limit = service.classes[declared].deadline_ms / 1000
    segment = segments[0] if segments else ""
    return RequestEntry(
        request_id=request_id,
        service=name,
        organisation=organisation,
        kind=f"{declared}/{segment}"[:MAX_KIND_CHARS],
        declared_class=WorkClass(declared),
        work_class=WorkClass(declared),
        idempotent=idempotent,
        arrived=now,
        deadline=now + limit,
        declared_s=read_ms(headers, "X_DECLARED_MS"),
        key=key,
    )


@functools.lru_cache(maxsize=1024)
def header_name(name):
    """Return waitress's ``X_REQUEST_ID`` as ``X-Request-Id``."""
    return "-".join(part.capitalize() for part in name.split("_"))


@functools.lru_cache(maxsize=2)
def http_date(second):
    """Return an HTTP date; one second's answers share it."""
    return formatdate(second, usegmt=True)
