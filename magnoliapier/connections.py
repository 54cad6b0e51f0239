"""
Send HTTP requests to endpoints and classify what came back as a SendResult.

The module uses urllib3's connections without its connection pool, because the pool
hides whether any bytes were sent and cannot close connections by age. Nothing
retries or follows redirects: each call of :meth:`EndpointConnections.send` puts at
most one request on the wire.
"""

import collections
import http.client
import math
import re
import socket
import threading
import time
from dataclasses import dataclass, field

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.util.connection import is_connection_dropped

from magnoliapier.reasons import RunState
from magnoliapier.request_tables import SendOutcome, SendResult, WorkClass
from magnoliapier.transport import parse_address

READ_BYTES = 65_536
# Endpoints commonly close connections that are idle for a minute. Reusing one after a
# longer time than this is more likely to cause a reset than to save a handshake.
MAX_IDLE_S = 30.0
MAX_IDLE_CONNECTIONS = 16
# A reused connection counts as silent only if no response begins within this multiple
# of the estimated run time, or progress_timeout_s if that is longer, so that a slow run
# is not mistaken for a dead connection.
SILENCE_FACTOR = 4.0
# A socket timeout of zero would make the socket non-blocking.
MIN_WAIT_S = 0.001
# With these values, the kernel reports a peer that vanished during a long run after
# about 11 s.
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# Not forwarded: the entry host writes Content-Length itself, and only it may report run
# states, refusal reasons and draining to callers.
INTERNAL_HEADERS = frozenset(
    ("content-length", "x-run-state", "x-refusal-reason", "x-draining")
)
CONTENT_LENGTH_PATTERN = re.compile(r"[0-9]{1,15}\Z")
METHODS_WITH_BODY = frozenset(("POST", "PUT", "PATCH"))
NO_BODY_STATUSES = frozenset((204, 304))


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request as sent to an endpoint; ``target`` is its path and query string."""

    method: str
    target: str
    headers: dict
    body: bytes
    request_id: str


@dataclass(frozen=True, slots=True)
class Answer:
    """
    A complete response of an endpoint.

    ``reserved_bytes`` is the number of bytes reserved in the memory budget for its
    body; the receiver of the answer must release them.
    """

    status: int
    phrase: str
    headers: list
    body: bytes
    reserved_bytes: int = 0


@dataclass(slots=True)
class SendReport:
    """
    The result of one send and what it showed about the endpoint.

    ``connection_refused`` is set if the endpoint refused the connection, ``draining``
    if its response says that it is draining. ``too_large`` and ``no_memory`` are set if
    the response was discarded because its body exceeds ``max_answer_bytes`` or does not
    fit into the memory budget.
    """

    result: SendResult
    answer: Answer | None = None
    connection_refused: bool = False
    draining: bool = False
    too_large: bool = False
    no_memory: bool = False


class LineReader:
    """Wraps a file from which http.client reads lines, and remembers the last line."""

    __slots__ = ("_readline", "last", "close")

    def __init__(self, file):
        self._readline = file.readline
        self.close = file.close
        self.last = b""

    def readline(self, limit=-1):
        """Return the next line."""
        self.last = line = self._readline(limit)
        return line


class CompleteHeadResponse(http.client.HTTPResponse):
    """
    An HTTP response that requires the empty line at the end of the headers.

    http.client accepts the end of the connection as the end of the headers. A response
    without a body, such as a 204, could then lose headers unnoticed.
    """

    def begin(self):
        """
        Read the status line and headers.

        Raise IncompleteRead if the empty line after the headers is missing.
        """
        file = self.fp
        self.fp = reader = LineReader(file)
        try:
            super().begin()
        finally:
            if self.fp is reader:
                self.fp = file
        if reader.last not in (b"\r\n", b"\n"):
            raise http.client.IncompleteRead(reader.last)


class EndpointConnection(HTTPConnection):
    """
    An HTTP connection that counts the bytes of the request that it sent.

    :meth:`send` only buffers and :meth:`flush` writes, so a failure before the first
    byte can be distinguished from a later one. ``generation`` is the generation of the
    endpoint's connections that was current when this one was opened, and ``used`` tells
    whether it has carried a complete response.
    """

    response_class = CompleteHeadResponse
    generation = 0
    idle_since = 0.0
    used = False

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.bytes_sent = 0
        self._buffered_parts = []

    def getresponse(self):
        """
        Return http.client's response instead of urllib3's wrapper around it.

        The wrapper costs 50 us, and http.client checks the length as well when it reads
        a whole body.
        """
        return http.client.HTTPConnection.getresponse(self)

    def buffer_request(self, request):
        """Buffer a request's headers and body, adding only Host and Content-Length."""
        self.putrequest(request.method, request.target, skip_accept_encoding=True)
        for name, value in request.headers.items():
            self.putheader(name, value)
        body = request.body
        if body or request.method in METHODS_WITH_BODY:
            self.putheader("Content-Length", str(len(body)))
        self.endheaders(body or None)

    def send(self, data):
        """Buffer a part of the request; http.client calls this instead of writing."""
        self._buffered_parts.append(data)

    def flush(self):
        """Write the buffered request to the socket and count the bytes."""
        view = memoryview(b"".join(self._buffered_parts))
        self._buffered_parts.clear()
        while view:
            byte_count = self.sock.send(view)
            self.bytes_sent += byte_count
            view = view[byte_count:]


@dataclass(slots=True, eq=False)
class Send:
    """
    A send in flight, which another thread may abort.

    ``deadline`` is a time of ``time.monotonic``. ``aborted`` is the outcome passed to
    :meth:`abort`, or None.
    """

    deadline: float
    aborted: SendOutcome | None = None
    _socket: object = None
    _lock: object = field(default_factory=threading.Lock)

    def abort(self, outcome):
        """Shut the connection down, so that the send ends with ``outcome``."""
        with self._lock:
            if self.aborted is None:
                self.aborted = outcome
                self._shut_down()

    def attach(self, sock):
        """Set the socket to shut down; do so at once if the send was aborted."""
        with self._lock:
            self._socket = sock
            if self.aborted is not None:
                self._shut_down()

    def detach(self):
        """
        Remove the socket, whose connection may be reused.

        Return whether the send was aborted.
        """
        with self._lock:
            self._socket = None
            return self.aborted is not None

    def _shut_down(self):
        if self._socket is not None:
            try:
                self._socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The connection is already closed, as intended.
                return


class IdleConnections:
    """
    The idle connections of one endpoint.

    Each connection belongs to the generation that was current when it was opened.
    Retiring a generation closes its connections and those of earlier generations.
    """

    def __init__(self):
        self._idle = collections.deque()
        self._lock = threading.Lock()
        self.generation = 0

    def take(self, now):
        """Return a usable idle connection, or None."""
        while True:
            with self._lock:
                if not self._idle:
                    return None
                connection = self._idle.pop()
            expired = now - connection.idle_since > MAX_IDLE_S
            if not expired and not is_connection_dropped(connection):
                return connection
            connection.close()

    def put(self, connection, now):
        """Keep a connection, or close it if it is retired or there are too many."""
        connection.idle_since = now
        with self._lock:
            if (
                connection.generation == self.generation
                and len(self._idle) < MAX_IDLE_CONNECTIONS
            ):
                self._idle.append(connection)
                return
        connection.close()

    def retire(self, generation):
        """
        Close the idle connections unless ``generation`` is already retired.

        Connections in use are closed when :meth:`put` receives them; connections that
        are opened later are kept.
        """
        with self._lock:
            if generation < self.generation:
                return
            self.generation = generation + 1
            retired = list(self._idle)
            self._idle.clear()
        for connection in retired:
            connection.close()


class EndpointConnections:
    """
    Sends requests to endpoints and keeps idle connections for reuse.

    ``settings`` is the ``entry`` section of the settings. ``budget`` is the
    MemoryBudget in which the bodies of responses are reserved.
    """

    def __init__(self, settings, budget, metrics):
        self._settings = settings
        self._budget = budget
        self._metrics = metrics
        self._pools = {}
        self._lock = threading.Lock()

    def close(self):
        """Close all idle connections."""
        self.retain(())

    def retain(self, addresses):
        """Close the idle connections to endpoints that are not in ``addresses``."""
        with self._lock:
            removed = [
                self._pools.pop(key) for key in set(self._pools) - set(addresses)
            ]
        for pool in removed:
            pool.retire(pool.generation)

    def send(self, request, entry, address, send):
        """
        Send ``request`` once and return a :class:`SendReport`.

        ``entry`` is its RequestEntry, and ``send`` the :class:`Send` that can abort it.
        Non-idempotent and long requests get a new connection: its handshake proves that
        the network path works, so any wait for the response is run time.
        """
        pool = self._pool(address)
        now = time.monotonic()
        if now >= send.deadline:
            return failed_report(SendOutcome.TIMEOUT, RunState.NOT_RUN, True)
        reusable = entry.idempotent and entry.work_class is not WorkClass.LONG
        connection = pool.take(now) if reusable else None
        if connection is None:
            connection = self._new_connection(address, pool)
            try:
                connection.connect()
            except (urllib3.exceptions.HTTPError, OSError) as error:
                connection.close()
                report = failed_report(
                    SendOutcome.CONNECT_FAILED, RunState.NOT_RUN, True
                )
                report.connection_refused = isinstance(
                    error.__cause__, ConnectionRefusedError
                )
                return report
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        try:
            report = self._exchange(connection, request, entry, send)
        except BaseException:
            connection.close()
            raise
        self._finish_send(connection, pool, report, send)
        return report

    def _finish_send(self, connection, pool, report, send):
        """
        Keep the connection for reuse or close it; retire its generation if silent.

        An aborted send without an answer gets the outcome that it was aborted with.
        """
        aborted = send.detach()
        result = report.result
        if result.outcome is SendOutcome.SILENT:
            self._metrics.count("connection_generations_retired_total")
            pool.retire(connection.generation)
        if aborted and report.answer is None:
            report.result = SendResult(send.aborted, result.run_state, result.fresh)
        reusable = report.answer is not None and connection.sock is not None
        if reusable and not aborted:
            connection.used = True
            pool.put(connection, time.monotonic())
        else:
            connection.close()

    def _pool(self, address):
        pool = self._pools.get(address)
        if pool is None:
            with self._lock:
                pool = self._pools.setdefault(address, IdleConnections())
        return pool

    def _new_connection(self, address, pool):
        host, port = parse_address(address)
        options = HTTPConnection.default_socket_options + [
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        ]
        connection = EndpointConnection(
            host,
            port,
            timeout=self._settings.connect_timeout_s,
            socket_options=options,
        )
        connection.generation = pool.generation
        return connection

    def _exchange(self, connection, request, entry, send):
        fresh = not connection.used
        connection.bytes_sent = 0
        sock = connection.sock
        send.attach(sock)
        try:
            sock.settimeout(self._settings.progress_timeout_s)
            connection.buffer_request(request)
            connection.flush()
        except (OSError, ValueError, http.client.HTTPException):
            run_state = RunState.UNKNOWN if connection.bytes_sent else RunState.NOT_RUN
            return failed_report(SendOutcome.RESET, run_state, fresh)
        remaining_s = max(send.deadline - time.monotonic(), MIN_WAIT_S)
        silence_limit_s = self._silence_limit_s(entry, fresh)
        sock.settimeout(min(silence_limit_s, remaining_s))
        try:
            response = connection.getresponse()
        except TimeoutError:
            silent = silence_limit_s < remaining_s
            outcome = SendOutcome.SILENT if silent else SendOutcome.TIMEOUT
            return failed_report(outcome, RunState.UNKNOWN, fresh)
        except (OSError, http.client.HTTPException):
            return failed_report(SendOutcome.RESET, RunState.UNKNOWN, fresh)
        sock.settimeout(self._settings.progress_timeout_s)
        return self._read_answer(response, request, fresh)

    def _silence_limit_s(self, entry, fresh):
        """
        Return the seconds without a response after which a connection is silent.

        A new connection is never silent, since its handshake has just succeeded.
        """
        if fresh:
            return math.inf
        estimate_limit_s = SILENCE_FACTOR * entry.estimate_s
        return max(self._settings.progress_timeout_s, estimate_limit_s)

    def _read_answer(self, response, request, fresh):
        """Read the body and return the report; it has an answer only if complete."""
        headers = response.headers
        if not is_valid_head(response, request):
            response.close()
            return failed_report(SendOutcome.INCOMPLETE, RunState.UNKNOWN, fresh)
        result = SendResult(*classify_response(response.status, headers), fresh)
        report = SendReport(result, draining=headers.get("X-Draining") == "true")
        reserved_sizes = []
        try:
            body = self._read_body(response, reserved_sizes, report)
        except TimeoutError:
            outcome = SendOutcome.TIMEOUT
        except (OSError, ValueError, http.client.HTTPException):
            outcome = SendOutcome.INCOMPLETE
        else:
            if body is None:
                self._budget.release(sum(reserved_sizes))
                response.close()
                return report
            phrase = response.reason or ""
            forwarded = forwarded_headers(headers, request.method, response.status)
            report.answer = Answer(
                response.status, phrase, forwarded, body, sum(reserved_sizes)
            )
            return report
        self._budget.release(sum(reserved_sizes))
        response.close()
        report.result = SendResult(outcome, RunState.UNKNOWN, fresh)
        return report

    def _read_body(self, response, reserved_sizes, report):
        """
        Return the body, or None if it is too large or the budget is exhausted.

        The bytes reserved for it are appended to ``reserved_sizes``.
        """
        length = response.length
        limit_bytes = self._settings.max_answer_bytes
        if length is not None:
            if not self._reserve(length, limit_bytes, reserved_sizes, report):
                return None
            return response.read()
        parts = []
        while part := response.read(READ_BYTES):
            if not self._reserve(len(part), limit_bytes, reserved_sizes, report):
                return None
            parts.append(part)
        return b"".join(parts)

    def _reserve(self, byte_count, limit_bytes, reserved_sizes, report):
        if sum(reserved_sizes) + byte_count > limit_bytes:
            report.too_large = True
        elif not self._budget.reserve(byte_count):
            report.no_memory = True
        else:
            reserved_sizes.append(byte_count)
            return True
        return False


def failed_report(outcome, run_state, fresh):
    """Return the report of a send that got no complete response."""
    return SendReport(SendResult(outcome, run_state, fresh))


def is_valid_head(response, request):
    """
    Return whether a response belongs to the request and its end can be recognised.

    A body that ends when the connection closes cannot be distinguished from a truncated
    one, and a response with both Content-Length and Transfer-Encoding is ambiguous. An
    X-Request-Id in the response must be that of the request. Informational (1xx)
    responses are rejected.
    """
    headers = response.headers
    echoed_id = headers.get("X-Request-Id")
    if echoed_id is not None and echoed_id != request.request_id:
        return False
    if response.status < 200:
        return False
    if request.method == "HEAD" or response.status in NO_BODY_STATUSES:
        return True
    lengths = headers.get_all("Content-Length", ())
    encodings = headers.get_all("Transfer-Encoding")
    if encodings is not None:
        return not lengths and [text.lower() for text in encodings] == ["chunked"]
    return len(lengths) == 1 and CONTENT_LENGTH_PATTERN.match(lengths[0]) is not None


def classify_response(status, headers):
    """
    Return the outcome and run state of a complete response.

    Every status below 500 is OK. A 5xx response means that the request ran and FAILED,
    unless X-Run-State says ``not-run``. In that case the outcome is DRAINING if
    X-Draining is set, BUSY for status 503 and FAILED otherwise.
    """
    if status < 500:
        return SendOutcome.OK, RunState.RAN
    if headers.get("X-Run-State") != "not-run":
        return SendOutcome.FAILED, RunState.RAN
    if headers.get("X-Draining") == "true":
        return SendOutcome.DRAINING, RunState.NOT_RUN
    if status == 503:
        return SendOutcome.BUSY, RunState.NOT_RUN
    return SendOutcome.FAILED, RunState.NOT_RUN


def forwarded_headers(headers, method, status):
    """
    Return the headers of a response to pass on to the caller.

    Hop-by-hop and internal headers are left out, and line breaks in values are replaced
    by spaces. Content-Length stays only where it does not describe a body: in the
    response to a HEAD request and in a 304.
    """
    dropped = HOP_BY_HOP | INTERNAL_HEADERS | connection_options(headers)
    forwarded = [
        (name, value.replace("\r", " ").replace("\n", " "))
        for name, value in headers.items()
        if name.lower() not in dropped
    ]
    length = headers.get("Content-Length")
    if length is not None and (method == "HEAD" or status == 304):
        forwarded.append(("Content-Length", length))
    return forwarded


def connection_options(headers):
    """Return the names that the Connection header lists, in lower case."""
    listed = headers.get("Connection")
    if listed is None:
        return frozenset()
    return frozenset(name.strip().lower() for name in listed.split(","))
