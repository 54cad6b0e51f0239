"""
A stand-in for the endpoints of a service, with faults that can be switched on.

Request headers control it: ``X-Standin-Run-Ms`` sets the run time of the request in
milliseconds, and ``X-Standin-Bytes`` the size of the response body in bytes.
"""

import json
import threading
import time
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from magnoliapier.transport import parse_address

BUSY_BODY = b'{"error": "busy"}'
MAX_RUN_MS = 600_000


@dataclass
class EndpointFaults:
    """
    The faults to inject into one endpoint.

    ``failing`` returns status 500 at once. ``cut_answers`` closes the connection in
    the middle of the response body, and ``reset_before_answer`` closes it after the
    run, without a response. ``draining`` adds the header ``X-Draining`` to responses
    to announce that the endpoint leaves. ``late_s`` delays each response by that many
    seconds.
    """

    failing: bool = False
    cut_answers: bool = False
    reset_before_answer: bool = False
    draining: bool = False
    late_s: float = 0.0


class StandinEndpoint:
    """
    One endpoint: an HTTP server that runs requests in a bounded number of slots.

    ``runs`` maps the Idempotency-Key or X-Request-Id of each request to the number
    of times it ran. If ``deduplicates``, a repeated key is not counted again.
    """

    def __init__(self, address="127.0.0.1:0", slots=8, deduplicates=False):
        self.faults = EndpointFaults()
        self.runs = {}
        self.peak_running = 0
        self.connection_count = 0
        self._slots = slots
        self._deduplicates = deduplicates
        self._answers = {}
        self._running = 0
        self._last_silenced_number = 0
        self._lock = threading.Lock()
        self._server = EndpointServer(parse_address(address), EndpointHandler)
        self._server.endpoint = self
        self._thread = threading.Thread(target=self._server.serve_forever, daemon=True)

    @property
    def address(self):
        """The IP:port that the endpoint listens on."""
        host, port = self._server.server_address[:2]
        return f"{host}:{port}"

    def start(self):
        """Serve in a thread."""
        self._thread.start()
        return self

    def close(self):
        """Stop serving and close the listening socket."""
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()

    def silence_connections(self):
        """Stop responding on all connections opened so far; new ones still work."""
        with self._lock:
            self._last_silenced_number = self.connection_count

    def register_connection(self):
        """Count a new connection and return its number, starting from 1."""
        with self._lock:
            self.connection_count += 1
            return self.connection_count

    def is_silent(self, connection_number):
        """Return whether the connection with this number was silenced."""
        return connection_number <= self._last_silenced_number

    def reserve_slot(self, key):
        """Reserve a slot and count the run; return False if all slots are in use."""
        with self._lock:
            if self._running >= self._slots:
                return False
            self._running += 1
            self.peak_running = max(self.peak_running, self._running)
            if not (self._deduplicates and key in self.runs):
                self.runs[key] = self.runs.get(key, 0) + 1
            return True

    def release_slot(self):
        """Release the slot of a request."""
        with self._lock:
            self._running -= 1


class EndpointServer(ThreadingHTTPServer):
    """The HTTP server of an endpoint; it ignores errors of single connections."""

    daemon_threads = True
    request_queue_size = 256
    endpoint = None

    def handle_error(self, request, client_address):
        """Ignore the error, because tests close connections on purpose."""


class EndpointHandler(BaseHTTPRequestHandler):
    """Handles the requests of one connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def setup(self):
        """Register the connection with the endpoint."""
        super().setup()
        self.connection_number = self.server.endpoint.register_connection()

    def log_message(self, format, *arguments):
        """Log nothing; the programs under test have their own logs and metrics."""

    def run_request(self):
        """Read the body, run the request in a slot and send the response."""
        endpoint = self.server.endpoint
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        if endpoint.is_silent(self.connection_number):
            self.wait_for_close()
            return
        key = self.headers.get("Idempotency-Key") or self.headers.get("X-Request-Id")
        if not endpoint.reserve_slot(key):
            self.answer(503, BUSY_BODY, {"X-Run-State": "not-run"})
            return
        try:
            self.run_in_slot(endpoint.faults, body)
        finally:
            endpoint.release_slot()

    def run_in_slot(self, faults, body):
        """Sleep for the run time, then respond as the active faults require."""
        if faults.failing:
            self.answer(500, b'{"error": "failing"}', {})
            return
        run_ms = min(float(self.headers.get("X-Standin-Run-Ms") or 0), MAX_RUN_MS)
        time.sleep(run_ms / 1000 + faults.late_s)
        if faults.reset_before_answer:
            self.close_connection = True
            return
        size = self.headers.get("X-Standin-Bytes")
        if size is not None:
            answer = b"x" * int(size)
        else:
            answer = json.dumps(
                {
                    "path": self.path,
                    "request_id": self.headers.get("X-Request-Id"),
                    "body_bytes": len(body),
                }
            ).encode()
        headers = {"X-Draining": "true"} if faults.draining else {}
        self.answer(200, answer, headers, cut=faults.cut_answers)

    def answer(self, status, body, headers, cut=False):
        """Send a response; if ``cut``, only half of its body, and then close."""
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        request_id = self.headers.get("X-Request-Id")
        if request_id:
            self.send_header("X-Request-Id", request_id)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        if cut:
            self.wfile.write(body[: len(body) // 2])
            self.close_connection = True
        else:
            self.wfile.write(body)

    def wait_for_close(self):
        """Hold a silent connection until the other end closes it."""
        self.close_connection = True
        while self.connection.recv(4096):
            pass

    do_GET = run_request  # noqa: N815
    do_POST = run_request  # noqa: N815
    do_PUT = run_request  # noqa: N815
    do_PATCH = run_request  # noqa: N815
    do_DELETE = run_request  # noqa: N815
