"""
Serves callers over HTTP: connections, request checks, responses and refusals.

waitress accepts connections and parses requests. Its own channel and thread pool
are not used, because they hide the queue of requests once all threads are busy and
spool large bodies to temporary files. :class:`CallerChannel` passes each parsed
request to admission in the I/O loop, and :class:`SlotTaskDispatcher` runs it in a
worker thread only after it was assigned a slot.
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
# Without a limit the kernel buffers up to 4 MB of a response for a caller that does
# not read, and max_buffered_bytes does not count them. The kernel doubles the value.
SEND_BUFFER_BYTES = 131_072
# A connection is read and its bytes discarded within these limits before it is closed,
# because closing a socket with unread bytes resets the connection, and the caller may
# then lose a refusal that was sent before the request body was read.
LINGER_S = 2.0
LINGER_BYTES = 1_048_576
BACKLOG = 1024
# waitress counts its listening socket and its wake-up pipe as connections.
WAITRESS_SOCKETS = 2
TIMEOUT_CHECK_INTERVAL_S = 1
MAX_ID_CHARS = 128
MAX_KIND_CHARS = 64
MAX_DURATION_MS = 86_400_000
METHODS = frozenset(("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"))
IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "PUT", "DELETE", "OPTIONS"))
REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus} | {
    499: "Caller Gone"
}
NAME_REGEX = re.compile(NAME_PATTERN)
TOKEN_REGEX = re.compile(rf"[!#-+\--:<-~]{{1,{MAX_ID_CHARS}}}\Z")
TARGET_REGEX = re.compile(r"/[!-\"$-~]*\Z")
HOST_REGEX = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9._~-]+)(:[0-9]{1,5})?\Z")
DOT_SEGMENT_REGEX = re.compile(r"(?i)(^|/|\\)(\.|%2e){1,2}(/|\\|$)")
MILLISECONDS_REGEX = re.compile(r"[0-9]{1,8}\Z")
HEADERS_NOT_FORWARDED = {name.upper().replace("-", "_") for name in HOP_BY_HOP} | {
    "CONTENT_LENGTH",
    "EXPECT",
    "HOST",
    "X_REQUEST_ID",
    "X_DEADLINE_MS",
}


class RequestRefusedError(Exception):
    """
    Raised for a request that is refused before admission.

    ``detail`` replaces the default remedy of ``reason`` in the response.
    """

    def __init__(self, reason, detail=None, run_state=RunState.NOT_RUN):
        self.reason = reason
        self.detail = detail
        self.run_state = run_state


class StrictParser(HTTPRequestParser):
    """
    waitress's parser with strict checks of message framing.

    waitress prefers Transfer-Encoding when Content-Length is also present, and joins
    folded header lines. A proxy in front of it may interpret such requests differently,
    which permits request smuggling, so both are refused.
    """

    # The default, because waitress sets it only if it can parse the request line.
    command = ""

    def parse_header(self, header_plus):
        """Parse the request line and headers."""
        if b"\r\n " in header_plus or b"\r\n\t" in header_plus:
            raise ParsingError("A header line is continued; send it in one line.")
        try:
            super().parse_header(header_plus)
        except ValueError:
            # int() raises ValueError for a Content-Length of thousands of digits, and
            # urlsplit() for a request target with a malformed host.
            raise ParsingError("Content-Length is not usable.") from None
        headers = self.headers
        # waitress removes this header from HTTP/1.1 requests.
        if "TRANSFER_ENCODING" in headers:
            raise ParsingError("Transfer-Encoding needs HTTP/1.1.")
        if self.chunked and "CONTENT_LENGTH" in headers:
            raise ParsingError(
                "Send Content-Length or Transfer-Encoding, but not both."
            )


class Exchange:
    """
    One request of a caller and its response.

    ``entry`` is None until the request has passed the checks, then its RequestEntry.
    ``held`` is the number of bytes reserved in the memory budget for the request body.
    ``claim`` is the claim of a non-idempotent request, and ``send`` is the Send in
    flight, if any.

    State flags:

    - ``caller_gone``: the caller closed its connection.
    - ``queued``: the request was passed to the dispatcher.
    - ``dispatched``: the request holds a slot.
    - ``done``: the request has ended; it gets no further response.
    - ``may_have_run``: a send ended without proof that the request did not run.
    """

    __slots__ = (
        "channel",
        "parser",
        "request_id",
        "entry",
        "target",
        "body",
        "held",
        "caller_gone",
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
        self.caller_gone = False
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

    def outgoing_request(self, now):
        """
        Return the OutgoingRequest to send to an endpoint.

        ``now`` is the monotonic time from which X-Deadline-Ms is computed.
        """
        source = self.parser.headers
        connection_header = source.get("CONNECTION")
        dropped_headers = HEADERS_NOT_FORWARDED
        if connection_header is not None:
            dropped_headers = dropped_headers | {
                name.upper().replace("-", "_")
                for name in connection_options({"Connection": connection_header})
            }
        headers = {
            header_name(name): value
            for name, value in source.items()
            if name not in dropped_headers
        }
        headers["X-Request-Id"] = self.request_id
        remaining_ms = max(int((self.entry.deadline - now) * 1000), 0)
        headers["X-Deadline-Ms"] = str(remaining_ms)
        return OutgoingRequest(
            self.method,
            self.target,
            headers,
            self.body,
            self.request_id,
        )

    def answer(self, status, phrase, headers, body, held=0):
        """
        Send a complete response.

        ``held`` is the number of bytes reserved in the memory budget for it; they are
        released once it is sent.
        """
        lines = [f"HTTP/1.1 {status} {phrase or REASON_PHRASES.get(status, '')}"]
        names = set()
        for name, value in headers:
            lower = name.lower()
            # The stored response to a repeated idempotency key has the id of the first
            # request; the id of this request is added below.
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
        self.channel.send_answer(self, head, body, held, close)

    def refuse(self, reason, run_state, retry_after_s=None, detail=None):
        """
        Send a refusal as a JSON response.

        The run state is UNKNOWN if the request may have run, whatever ``run_state`` is.
        """
        if self.may_have_run:
            run_state = RunState.UNKNOWN
        refusal = REFUSALS[reason]
        if retry_after_s is None:
            retry_after_s = refusal.retry_after_s
        values = {
            "reason": reason.value,
            "run_state": run_state.value,
            "remedy": detail or refusal.remedy,
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
        self.answer(refusal.status, None, headers, body)


class CallerChannel(wasyncore.dispatcher):
    """
    One connection of a caller; it processes one request at a time.

    Bytes of pipelined requests, at most RECEIVE_BYTES, stay unparsed until the response
    to the current request is sent, so that pipelining needs no more memory than a
    single request. The worker thread writes as much of a response as the socket
    accepts, and the I/O loop writes the rest.
    """

    def __init__(self, server, connection, address, adj, map=None):
        self.server = server
        self.adj = adj
        self._caller_server = server.callers
        self._lock = threading.Lock()
        self._output = []
        self._output_held = 0
        self._parser = None
        self._parser_held = 0
        self._unparsed = b""
        self._exchange = None
        self._timeout_start = time.monotonic()
        self._request_started = False
        self._close_after_answer = False
        self._lingered_bytes = None
        self._closed = False
        self._new_exchange = None
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        wasyncore.dispatcher.__init__(self, connection, map=map)

    @property
    def busy(self):
        """Whether a request is being received or processed, or a response sent."""
        return bool(self._exchange or self._output or self._parser or self._unparsed)

    def readable(self):
        """
        Return whether to read from the socket.

        It is read during a request as well, to detect that the caller disconnects.
        """
        if self._lingered_bytes is not None:
            return True
        return not (self._unparsed or self._output or self._close_after_answer)

    def writable(self):
        """Return whether a part of a response is still to be sent."""
        return bool(self._output)

    def handle_read(self):
        """Receive bytes and parse them, or handle the end of the connection."""
        try:
            data = self.socket.recv(RECEIVE_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if not data:
            self.handle_close()
            return
        if self._lingered_bytes is not None:
            self._lingered_bytes += len(data)
            if self._lingered_bytes > LINGER_BYTES:
                self.handle_close()
            return
        with self._lock:
            if self._exchange is not None or self._output:
                self._unparsed = data
                return
        self._parse(data)

    def handle_write(self):
        """Send more of a response."""
        with self._lock:
            self._flush()
        self._resume()

    def handle_close(self):
        """Close the connection, release its memory and report the disconnection."""
        with self._lock:
            if self._closed:
                return
            self._closed = True
            exchange, self._exchange = self._exchange, None
            self._output.clear()
            held = self._output_held + self._parser_held
            self._output_held = self._parser_held = 0
            wasyncore.dispatcher.close(self)
        self._caller_server.budget.release(held)
        if exchange is not None:
            self._caller_server.handle_caller_gone(exchange)

    def close(self):
        """Close the connection; wasyncore calls this on errors."""
        self.handle_close()

    def handle_error(self):
        """Log an exception raised while handling the connection, and close it."""
        log.error("caller_connection_failed", error=wasyncore.compact_traceback()[1:3])
        self.handle_close()

    def close_if_expired(self, now):
        """
        Close the connection if the caller exceeds its time limit.

        The limit covers idle time, the receipt of a request and the transmission of a
        response, but not the processing of the request. It is LINGER_S while the
        connection is closing. ``now`` is monotonic time.
        """
        if self._exchange is not None:
            return
        limit_s = self._caller_server.settings.caller_timeout_s
        if self._lingered_bytes is not None:
            limit_s = LINGER_S
        if now - self._timeout_start > limit_s:
            self._caller_server.metrics.count("caller_timeouts_total")
            self.handle_close()

    def must_close(self, parser):
        """Return whether to close the connection after the response to ``parser``."""
        if parser.error or self._caller_server.draining:
            return True
        connection_header = parser.headers.get("CONNECTION", "").lower()
        if parser.version == "1.0":
            return connection_header != "keep-alive"
        return "close" in connection_header

    def send_answer(self, exchange, head, body, held, close):
        """
        Send the response to ``exchange``, or discard it if the caller disconnected.

        Release the memory reserved for the request body, and that for the response once
        it is sent or discarded.
        """
        released_bytes = exchange.held
        exchange.held = 0
        with self._lock:
            if self._exchange is not exchange:
                released_bytes += held
                resume_needed = False
            else:
                self._exchange = None
                self._timeout_start = time.monotonic()
                self._request_started = False
                self._close_after_answer = close
                self._output_held = held
                self._output.append(memoryview(head + body))
                self._flush()
                resume_needed = bool(self._output or self._unparsed or close)
        self._caller_server.budget.release(released_bytes)
        if resume_needed:
            self.server.trigger.pull_trigger(self._resume)

    def _flush(self):
        """Send as much as the socket accepts; called with the lock held."""
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
            self._close_after_answer = True
        self._caller_server.budget.release(self._output_held)
        self._output_held = 0

    def _resume(self):
        """
        Continue after a response: close the connection or parse the next request.

        Runs in the I/O loop.
        """
        with self._lock:
            if self._closed or self._output or self._exchange is not None:
                return
            data, self._unparsed = self._unparsed, b""
        if self._close_after_answer:
            self._linger()
        elif data:
            self._parse(data)

    def _linger(self):
        """Stop sending, and discard received bytes until the caller disconnects."""
        if self._lingered_bytes is not None:
            return
        self._lingered_bytes = 0
        self._timeout_start = time.monotonic()
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.handle_close()

    def _parse(self, data):
        if not self._request_started:
            self._request_started = True
            self._timeout_start = time.monotonic()
        while data:
            if self._parser is None:
                self._parser = StrictParser(self.adj)
            parser = self._parser
            consumed = parser.received(data)
            data = data[consumed:]
            if not self._reserve_body(parser):
                parser.error = RequestRefusedError(RefusalReason.MEMORY_LIMIT)
                parser.completed = True
            if parser.expect_continue and not parser.completed:
                parser.expect_continue = False
                self._send_continue()
            if parser.completed:
                self._parser = None
                if parser.empty:
                    continue
                self._unparsed = data
                self._start_exchange(parser)
                return

    def _reserve_body(self, parser):
        """
        Reserve memory for the request body; return False if the budget is exhausted.

        With Content-Length the whole body is reserved at once, with chunked encoding
        the bytes received so far.
        """
        if not parser.headers_finished or parser.error:
            return True
        required_bytes = (
            parser.body_bytes_received if parser.chunked else parser.content_length
        )
        missing_bytes = required_bytes - self._parser_held
        if missing_bytes > 0:
            if not self._caller_server.budget.reserve(missing_bytes):
                return False
            self._parser_held = required_bytes
        return True

    def _send_continue(self):
        try:
            self.socket.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        except OSError:
            self.handle_close()

    def _start_exchange(self, parser):
        self._new_exchange = Exchange(self, parser, self._parser_held)
        self._parser_held = 0
        self._exchange = self._new_exchange
        self.server.add_task(self)

    def take_new_exchange(self):
        """Return the exchange of the last parsed request and forget it."""
        exchange, self._new_exchange = self._new_exchange, None
        return exchange


class SlotTaskDispatcher:
    """
    Replaces waitress's task dispatcher.

    :meth:`add_task` runs in the I/O loop and passes each request to ``admit`` at once.
    Worker threads call ``run`` only for requests passed to :meth:`put`, which have a
    slot.
    """

    def __init__(self, admit, run, threads, metrics):
        self._admit = admit
        self._run = run
        self._metrics = metrics
        self._ready = queue.SimpleQueue()
        self._threads = [
            threading.Thread(
                target=self._run_worker, name=f"worker-{number}", daemon=True
            )
            for number in range(threads)
        ]
        for thread in self._threads:
            thread.start()

    def add_task(self, channel):
        """Pass the request that a channel has parsed to admission."""
        self._admit(channel.take_new_exchange())

    def put(self, dispatch):
        """Run a dispatched request in a worker thread."""
        self._ready.put(dispatch)

    def waiting_count(self):
        """Return the number of requests that have a slot but no thread yet."""
        return self._ready.qsize()

    def shutdown(self, cancel_pending=True, timeout=5):
        """
        End the worker threads after the requests passed to :meth:`put` so far.

        Wait for them for at most ``timeout`` seconds. ``cancel_pending`` has no effect;
        it is part of waitress's interface.
        """
        for _ in self._threads:
            self._ready.put(None)
        deadline = time.monotonic() + timeout
        for thread in self._threads:
            thread.join(max(deadline - time.monotonic(), 0))

    def _run_worker(self):
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
    Listens for callers and passes checked requests to the request path.

    ``path`` is a RequestPath: it has ``submit(exchange)``, ``run(dispatch)``,
    ``handle_caller_gone(exchange)`` and ``manifest``. ``budget`` limits the memory for
    request and response bodies. In addition, each of ``max_connections`` connections
    holds at most ``max_header_bytes`` of an incomplete header and RECEIVE_BYTES of
    pipelined requests.
    """

    def __init__(self, settings, name, path, budget, clock, metrics):
        self.settings = settings
        self.budget = budget
        self.metrics = metrics
        self.draining = False
        self._name = name
        self._request_path = path
        self._clock = clock
        self._request_numbers = itertools.count(1)
        self._request_id_prefix = f"{name}-{time.time_ns():x}"
        self.workers = SlotTaskDispatcher(
            self.admit, path.run, settings.threads, metrics
        )
        try:
            self._http = HttpServer(
                no_application,
                settings.address,
                dispatcher=self.workers,
                connection_limit=settings.max_connections + WAITRESS_SOCKETS,
                max_request_header_size=settings.max_header_bytes,
                max_request_body_size=settings.max_body_bytes + 1,
                inbuf_overflow=settings.max_body_bytes * 2 + RECEIVE_BYTES,
                cleanup_interval=TIMEOUT_CHECK_INTERVAL_S,
                backlog=BACKLOG,
            )
        except Exception:
            self.workers.shutdown(timeout=1)
            raise
        server = self._http.server
        server.callers = self
        server.channel_class = CallerChannel
        server.maintenance = self._close_expired_channels

    @property
    def address(self):
        """The IP:port that callers connect to."""
        return self._http.address

    def start(self):
        """Start accepting connections; return self."""
        self._http.start()
        return self

    def stop_accepting(self):
        """Close the listening socket; requests in flight are completed."""
        self.draining = True
        self._http.server.trigger.pull_trigger(self._stop_listening)

    def busy_connections(self):
        """Return the number of connections that are busy with a request or response."""
        return sum(channel.busy for channel in self._channels())

    def close(self):
        """Close all connections and end the threads."""
        self._http.close()

    def handle_caller_gone(self, exchange):
        """Tell the request path that the caller of ``exchange`` disconnected."""
        self._request_path.handle_caller_gone(exchange)

    def admit(self, exchange):
        """Check a parsed request and submit or refuse it; runs in the I/O loop."""
        number = next(self._request_numbers)
        exchange.request_id = f"{self._request_id_prefix}-{number}"
        try:
            self._check_request(exchange)
        except RequestRefusedError as error:
            self.metrics.count("refusals_total", reason=error.reason.value)
            exchange.refuse(error.reason, error.run_state, detail=error.detail)
            return
        self._request_path.submit(exchange)

    def _check_request(self, exchange):
        """
        Check a request and complete its exchange.

        Raise RequestRefusedError if the request is not acceptable.
        """
        parser = exchange.parser
        check_parsed(parser)
        internal_request_id = exchange.request_id
        headers = parser.headers
        caller_request_id = read_token(headers, "X_REQUEST_ID")
        if caller_request_id:
            exchange.request_id = caller_request_id
        manifest = self._request_path.manifest
        if manifest is None:
            raise RequestRefusedError(RefusalReason.NO_MANIFEST)
        exchange.target = read_target(parser)
        check_host(parser)
        exchange.entry = read_entry(
            parser,
            exchange.target,
            manifest,
            internal_request_id,
            self._clock.monotonic(),
        )
        exchange.body = parser.get_body_stream().read()
        # Drops the parser's buffer, so that the body is not kept in memory twice.
        parser.body_rcv = None
        exchange.entry.body_bytes = len(exchange.body)
        exchange.entry.payload = exchange

    def _close_expired_channels(self, now):
        monotonic_now = time.monotonic()
        for channel in self._channels():
            channel.close_if_expired(monotonic_now)

    def _channels(self):
        members = list(self._http.server._map.values())
        return [item for item in members if isinstance(item, CallerChannel)]

    def _stop_listening(self):
        """Accept the connections already in the backlog, then stop listening."""
        server = self._http.server
        for _ in range(BACKLOG):
            connections_before = len(server._map)
            server.handle_accept()
            if len(server._map) == connections_before:
                break
        self._http.stop_accepting()


def no_application(environ, start_response):
    """Raise NotImplementedError; requests never reach a WSGI application."""
    raise NotImplementedError(
        "CallerChannel handles all requests; there is no WSGI application."
    )


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
    """Return the RequestRefusedError for a malformed request."""
    return RequestRefusedError(RefusalReason.BAD_REQUEST, detail)


def read_target(parser):
    """
    Return the request target (path and query) as the caller wrote it.

    Raise RequestRefusedError for an unsupported method, version or target.
    """
    if parser.command not in METHODS or parser.version not in ("1.0", "1.1"):
        raise bad_request("Use HTTP/1.1 and a usual method.")
    target = parser.request_uri
    if parser.proxy_netloc:
        _, _, rest = target.partition("://")
        target = rest[len(parser.proxy_netloc) :]
    if not TARGET_REGEX.match(target) or target.startswith("//"):
        raise bad_request("Send a path /<service>/<path> in printable ASCII.")
    if DOT_SEGMENT_REGEX.search(target.partition("?")[0]):
        raise bad_request("Send a path without dot segments.")
    return target


def check_host(parser):
    """
    Check the Host header.

    Raise RequestRefusedError if it is missing in HTTP/1.1, repeated, malformed or
    different from the host in the request line.
    """
    host = parser.headers.get("HOST")
    if host is None:
        if parser.version == "1.1":
            raise bad_request("Send one Host header.")
        return
    if not HOST_REGEX.match(host):
        raise bad_request("Send one Host header that names a host.")
    if parser.proxy_netloc and parser.proxy_netloc.lower() != host.lower():
        raise bad_request("Send the same host in the request line and in Host.")


def read_token(headers, name):
    """
    Return the value of a header that must be a token, or None if it is missing.

    Raise RequestRefusedError for any other value.
    """
    value = headers.get(name)
    if value is not None and not TOKEN_REGEX.match(value):
        raise bad_request(
            f"Send {header_name(name)} once, with 1 to {MAX_ID_CHARS} printable "
            "characters without spaces and commas."
        )
    return value


def read_ms(headers, name):
    """
    Return a header given in milliseconds as seconds, or None if it is missing.

    Raise RequestRefusedError unless it is an integer from 1 to MAX_DURATION_MS.
    """
    value = headers.get(name)
    if value is None:
        return None
    if not MILLISECONDS_REGEX.match(value) or not 1 <= int(value) <= MAX_DURATION_MS:
        raise bad_request(
            f"Send {header_name(name)} as 1 to {MAX_DURATION_MS} milliseconds."
        )
    return int(value) / 1000


def read_choice(headers, name, choices):
    """
    Return a header that must be one of ``choices``, or None if it is missing.

    Raise RequestRefusedError for any other value.
    """
    value = headers.get(name)
    if value is not None and value not in choices:
        raise bad_request(f"Send {header_name(name)} as one of {', '.join(choices)}.")
    return value


def read_entry(parser, target, manifest, request_id, now):
    """
    Return the RequestEntry of a request that arrives at the monotonic time ``now``.

    ``request_id`` is unique in this process, unlike a caller's X-Request-Id.

    Raise RequestRefusedError if the manifest does not allow the request or a header is
    malformed.
    """
    headers = parser.headers
    path = target.partition("?")[0]
    _, name, *segments = path.split("/")
    service = manifest.services.get(name)
    if service is None:
        raise RequestRefusedError(RefusalReason.UNKNOWN_SERVICE)
    organisation = headers.get("X_ORGANISATION", "")
    if not NAME_REGEX.match(organisation) or organisation not in manifest.organisations:
        raise RequestRefusedError(RefusalReason.UNKNOWN_ORGANISATION)
    key = read_token(headers, "IDEMPOTENCY_KEY")
    idempotent_header = read_choice(headers, "X_IDEMPOTENT", ("true", "false"))
    if idempotent_header == "false" and key is None:
        raise RequestRefusedError(RefusalReason.KEY_REQUIRED)
    if idempotent_header is None:
        idempotent = parser.command in IDEMPOTENT_METHODS
    else:
        idempotent = idempotent_header == "true"
    declared_class = (
        read_choice(headers, "X_REQUEST_CLASS", ("short", "long")) or "short"
    )
    limit_s = read_ms(headers, "X_DEADLINE_MS")
    if limit_s is None:
        limit_s = service.classes[declared_class].deadline_ms / 1000
    first_segment = segments[0] if segments else ""
    return RequestEntry(
        request_id=request_id,
        service=name,
        organisation=organisation,
        kind=f"{declared_class}/{first_segment}"[:MAX_KIND_CHARS],
        declared_class=WorkClass(declared_class),
        work_class=WorkClass(declared_class),
        idempotent=idempotent,
        arrived=now,
        deadline=now + limit_s,
        declared_s=read_ms(headers, "X_DECLARED_MS"),
        key=key,
    )


@functools.lru_cache(maxsize=1024)
def header_name(name):
    """Convert a header name of waitress, ``X_REQUEST_ID``, to ``X-Request-Id``."""
    return "-".join(part.capitalize() for part in name.split("_"))


@functools.lru_cache(maxsize=2)
def http_date(second):
    """Format Unix time in whole seconds as an HTTP date, cached for each second."""
    return formatdate(second, usegmt=True)
