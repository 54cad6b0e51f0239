"""
Connections to endpoints: one send on one connection, mapped to a SendResult.

urllib3 connections are used below its pool, because the pool hides whether bytes
left and cannot retire connections by age. There are no library retries and no
redirects: each call of :meth:`EndpointConnections.send` is at most one request on
the wire.
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
# Endpoints commonly close idle connections after a minute; an older one is more
# likely to be reset than to save a handshake.
MAX_IDLE_S = 30.0
MAX_IDLE_CONNECTIONS = 16
# On a reused connection an answer later than this multiple of the learned run time
# counts as silence, so that a straggler is not mistaken for a dead connection.
SILENCE_FACTOR = 4.0
MIN_WAIT_S = 0.001
# The kernel reports a peer that vanished during a long run after about 11 s.
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
# Only the entry host itself tells callers of run states, reasons and draining.
INTERNAL_HEADERS = frozenset(
    ("content-length", "x-run-state", "x-refusal-reason", "x-draining")
)
LENGTH = re.compile(r"[0-9]{1,15}\Z")
METHODS_WITH_BODY = frozenset(("POST", "PUT", "PATCH"))
NO_BODY_STATUSES = frozenset((204, 304))


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request as it goes to an endpoint; ``target`` is path and query."""

    method: str
    target: str
    headers: dict
    body: bytes
    request_id: str


@dataclass(frozen=True, slots=True)
class Answer:
    """
    A complete response of an endpoint.

    ``reserved_bytes`` is the size of the memory budget's reservation for the body.
    """

    status: int
    phrase: str
    headers: list
    body: bytes
    reserved_bytes: int = 0


@dataclass(slots=True)
class SendReport:
    """
    What became of one send.

    ``refused`` tells that the endpoint's port was closed, ``draining`` that the
    endpoint announced its leaving, ``too_large`` and ``no_memory`` why a complete
    answer was not kept.
    """

    result: SendResult
    answer: Answer | None = None
    connection_refused: bool = False
    draining: bool = False
    too_large: bool = False
    no_memory: bool = False


class LineReader:
    """Reads lines for http.client and keeps the last one."""

    __slots__ = ("_readline", "last", "close")

    def __init__(self, file):
        self._readline = file.readline
        self.close = file.close
        self.last = b""

    def readline(self, limit=-1):
        """Return the next line."""
        self.last = line = self._readline(limit)
        return line


class WholeHeadResponse(http.client.HTTPResponse):
    """
    An HTTP response that refuses a head without its empty line.

    http.client takes the end of the connection for the end of the head, so an
    answer without a body, such as a 204, would lack headers unnoticed.
    """

    def begin(self):
        """Read the status line and headers."""
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
    An HTTP connection that knows how many bytes of the request left.

    ``send`` only collects; :meth:`flush` writes, so a failure before the first
    byte is told apart from any later one.
    """

    response_class = WholeHeadResponse
    generation = 0
    idle_since = 0.0
    used = False

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.bytes_sent = 0
        self._collected = []

    def getresponse(self):
        """
        Return http.client's response instead of urllib3's wrapper around it.

        Its unlimited read checks the length as well, and the wrapper costs 50 us.
        """
        return http.client.HTTPConnection.getresponse(self)

    def collect(self, request):
        """Collect a request's head and body, adding only Host and the length."""
        self.putrequest(request.method, request.target, skip_accept_encoding=True)
        for name, value in request.headers.items():
            self.putheader(name, value)
        body = request.body
        if body or request.method in METHODS_WITH_BODY:
            self.putheader("Content-Length", str(len(body)))
        self.endheaders(body or None)

    def send(self, data):
        """Collect a part of the request."""
        self._collected.append(data)

    def flush(self):
        """Write the collected request to the socket."""
        view = memoryview(b"".join(self._collected))
        self._collected.clear()
        while view:
            count = self.sock.send(view)
            self.bytes_sent += count
            view = view[count:]


@dataclass(slots=True, eq=False)
class Send:
    """
    A send in flight, which another thread may abort.

    ``deadline`` is an instant of ``time.monotonic``.
    """

    deadline: float
    aborted: SendOutcome | None = None
    _socket: object = None
    _lock: object = field(default_factory=threading.Lock)

    def abort(self, outcome):
        """Cut the connection; the send ends with ``outcome``."""
        with self._lock:
            if self.aborted is None:
                self.aborted = outcome
                self._shut_down()

    def attach(self, connected):
        """Set the socket to cut."""
        with self._lock:
            self._socket = connected
            if self.aborted is not None:
                self._shut_down()

    def detach(self):
        """Forget the socket, which may be reused; return whether it was cut."""
        with self._lock:
            self._socket = None
            return self.aborted is not None

    def _shut_down(self):
        if self._socket is not None:
            try:
                self._socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The connection is closed already, which is what was wanted.
                return


class IdleConnections:
    """The idle connections of one endpoint and their generation."""

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
        """Keep a connection unless it is of a retired generation."""
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
        """Close all idle connections up to ``generation``; new ones are kept."""
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
    Sends requests to endpoints.

    ``settings`` is the ``entry`` section; ``budget`` limits the answers held.
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
        """Drop the idle connections of endpoints at other addresses."""
        with self._lock:
            gone = [self._pools.pop(key) for key in set(self._pools) - set(addresses)]
        for pool in gone:
            pool.retire(pool.generation)

    def send(self, request, entry, address, send):
        """
        Send ``request`` once and return a :class:`SendReport`.

        ``entry`` is its RequestEntry, ``send`` the :class:`Send` to abort it by.
        Non-idempotent and long requests get a new connection: its handshake is
        the proof that the path works, so silence after it is run time.
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
        self._settle(connection, pool, report, send)
        return report

    def _settle(self, connection, pool, report, send):
        """Keep or close the connection, and correct the result of a cut one."""
        cut = send.detach()
        result = report.result
        if result.outcome is SendOutcome.SILENT:
            self._metrics.count("connection_generations_retired_total")
            pool.retire(connection.generation)
        if cut and report.answer is None:
            report.result = SendResult(send.aborted, result.run_state, result.fresh)
        whole = report.answer is not None and connection.sock is not None
        if whole and not cut:
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
        connected = connection.sock
        send.attach(connected)
        try:
            connected.settimeout(self._settings.progress_timeout_s)
            connection.collect(request)
            connection.flush()
        except (OSError, ValueError, http.client.HTTPException):
            ran = RunState.UNKNOWN if connection.bytes_sent else RunState.NOT_RUN
            return failed_report(SendOutcome.RESET, ran, fresh)
        remaining = max(send.deadline - time.monotonic(), MIN_WAIT_S)
        patience = self._patience_s(entry, fresh)
        connected.settimeout(min(patience, remaining))
        try:
            response = connection.getresponse()
        except TimeoutError:
            silent = patience < remaining
            outcome = SendOutcome.SILENT if silent else SendOutcome.TIMEOUT
            return failed_report(outcome, RunState.UNKNOWN, fresh)
        except (OSError, http.client.HTTPException):
            return failed_report(SendOutcome.RESET, RunState.UNKNOWN, fresh)
        connected.settimeout(self._settings.progress_timeout_s)
        return self._read(response, request, fresh)

    def _patience_s(self, entry, fresh):
        """Return how long an answer may take to begin before that is silence."""
        if fresh:
            return math.inf
        learned = SILENCE_FACTOR * entry.estimate_s
        return max(self._settings.progress_timeout_s, learned)

    def _read(self, response, request, fresh):
        """Read a whole answer; anything less has no answer in its report."""
        headers = response.headers
        if not is_whole(response, request):
            response.close()
            return failed_report(SendOutcome.INCOMPLETE, RunState.UNKNOWN, fresh)
        result = SendResult(*judge(response.status, headers), fresh)
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
            kept = forwarded_headers(headers, request.method, response.status)
            report.answer = Answer(
                response.status, phrase, kept, body, sum(reserved_sizes)
            )
            return report
        self._budget.release(sum(reserved_sizes))
        response.close()
        report.result = SendResult(outcome, RunState.UNKNOWN, fresh)
        return report

    def _read_body(self, response, reserved_sizes, report):
        """
        Return the body, or None if it exceeds a limit.

        The sizes of its reservations are appended to ``reserved_sizes``.
        """
        length = response.length
        limit = self._settings.max_answer_bytes
        if length is not None:
            if not self._reserve(length, limit, reserved_sizes, report):
                return None
            return response.read()
        parts = []
        while part := response.read(READ_BYTES):
            if not self._reserve(len(part), limit, reserved_sizes, report):
                return None
            parts.append(part)
        return b"".join(parts)

    def _reserve(self, count, limit, reserved_sizes, report):
        if sum(reserved_sizes) + count > limit:
            report.too_large = True
        elif not self._budget.reserve(count):
            report.no_memory = True
        else:
            reserved_sizes.append(count)
            return True
        return False


def failed_report(outcome, run_state, fresh):
    """Return the report of a send without an answer."""
    return SendReport(SendResult(outcome, run_state, fresh))


def is_whole(response, request):
    """
    Return whether the end of an answer can be recognised and it is the right one.

    An answer that ends with its connection cannot be told from a cut one, and an
    answer with both kinds of length is ambiguous. An endpoint that repeats the
    request id must repeat the one that it was sent.
    """
    headers = response.headers
    told = headers.get("X-Request-Id")
    if told is not None and told != request.request_id:
        return False
    if response.status < 200:
        return False
    if request.method == "HEAD" or response.status in NO_BODY_STATUSES:
        return True
    lengths = headers.get_all("Content-Length", ())
    encodings = headers.get_all("Transfer-Encoding")
    if encodings is not None:
        return not lengths and [text.lower() for text in encodings] == ["chunked"]
    return len(lengths) == 1 and LENGTH.match(lengths[0]) is not None


def judge(status, headers):
    """Return the outcome and run state of a complete answer."""
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
    """Return an answer's headers for the caller, without hop-by-hop ones."""
    dropped = HOP_BY_HOP | INTERNAL_HEADERS | connection_options(headers)
    kept = [
        (name, value.replace("\r", " ").replace("\n", " "))
        for name, value in headers.items()
        if name.lower() not in dropped
    ]
    length = headers.get("Content-Length")
    if length is not None and (method == "HEAD" or status == 304):
        kept.append(("Content-Length", length))
    return kept


def connection_options(headers):
    """Return the lower-case names that a Connection header lists."""
    listed = headers.get("Connection")
    if listed is None:
        return frozenset()
    return frozenset(name.strip().lower() for name in listed.split(","))
