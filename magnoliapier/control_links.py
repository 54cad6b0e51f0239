"""
Sockets of a control process: UDP for heartbeats, TCP for pulls and entry processes.

UDP and TCP use the same port number, so the source address of a datagram is also the
address for pulls. A peer that receives no datagrams gets its heartbeats by TCP.
"""

import contextlib
import select
import socket
import threading
import time

from magnoliapier.auth import sign_message
from magnoliapier.exceptions import AddressInUseError, MagnoliapierError
from magnoliapier.logs import get_logger
from magnoliapier.messages import (
    EntryReport,
    Heartbeat,
    PullReply,
    PullRequest,
    SnapshotOffer,
    encode,
)
from magnoliapier.transport import (
    LENGTH,
    MAX_DATAGRAM_BYTES,
    open_stream,
    pack_datagram,
    parse_address,
    receive_message,
    send_message,
    unpack_datagram,
)

BIND_ATTEMPTS = 20
LISTEN_BACKLOG = 64
CONNECT_TIMEOUT_S = 1.0
STREAM_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 128
# Entry processes report every 0.25 s, and a pull sends its request at once. A
# connection that is silent for longer is closed, as it counts against
# MAX_CONNECTIONS.
IDLE_LIMIT_S = 10.0
# An entry process gets a new state at most this long after it is in force here.
PUSH_INTERVAL_S = 0.1
# A view holds the demand of all peers, which changes at most twice a second, and is
# expensive to encode. The encoded view is sent again for this long, unless the sender's
# incarnation, its eligibility, its grants or the leaving hosts changed. Its grants are
# shortened by the same time.
VIEW_REUSE_S = 0.45

log = get_logger(__name__)


def bind_udp_and_tcp(address):
    """
    Return a UDP socket and a listening TCP socket on the same ``IP:port``.

    Port 0 selects a port that is free for both. Raise AddressInUseError if there is
    none in BIND_ATTEMPTS attempts, or if a given port is not free.
    """
    host, port = parse_address(address)
    for _ in range(BIND_ATTEMPTS if port == 0 else 1):
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        datagram_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            listener.bind((host, port))
            listener.listen(LISTEN_BACKLOG)
            datagram_socket.bind(listener.getsockname())
        except OSError as error:
            failure = error
            listener.close()
            datagram_socket.close()
        else:
            return datagram_socket, listener
    raise AddressInUseError(
        f"Cannot listen on {address}: {failure.strerror}. "
        "Choose a free control.address in the settings."
    )


class DatagramLink:
    """Sends and receives signed heartbeats and counts them and their bytes."""

    def __init__(self, datagram_socket, key, on_heartbeat):
        self._socket = datagram_socket
        self._key = key
        self._on_heartbeat = on_heartbeat
        self._closed = False
        self._counts = dict.fromkeys(
            (
                "heartbeats_sent",
                "heartbeat_bytes_sent",
                "heartbeats_received",
                "heartbeat_bytes_received",
                "heartbeats_refused",
            ),
            0,
        )
        self._thread = threading.Thread(
            target=self._run, name="heartbeats", daemon=True
        )

    def counters(self):
        """Return the counters by name."""
        return dict(self._counts)

    def start(self):
        """Start the thread that receives heartbeats."""
        self._thread.start()

    def send(self, address, heartbeat):
        """
        Send a heartbeat.

        Raise OSError if the network refuses it, and MessageError if it does not fit a
        datagram.
        """
        data = pack_datagram(heartbeat, self._key)
        self._socket.sendto(data, parse_address(address))
        self._counts["heartbeats_sent"] += 1
        self._counts["heartbeat_bytes_sent"] += len(data)

    def close(self):
        """Stop receiving."""
        self._closed = True
        with contextlib.suppress(OSError):
            # An empty datagram to its own address wakes the receiving thread.
            self._socket.sendto(b"", self._socket.getsockname())
        if self._thread.is_alive():
            self._thread.join()
        self._socket.close()

    def _run(self):
        while not self._closed:
            try:
                data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                # The operating system reports that a peer is unreachable as an error of
                # the socket that sent to it.
                continue
            if not self._closed:
                self._handle_datagram(data, source)

    def _handle_datagram(self, data, source):
        try:
            message = unpack_datagram(data, self._key)
        except MagnoliapierError as error:
            self._counts["heartbeats_refused"] += 1
            log.debug("heartbeat_refused", source=source[0], error=error)
            return
        self._counts["heartbeats_received"] += 1
        self._counts["heartbeat_bytes_received"] += len(data)
        if isinstance(message, Heartbeat):
            self._on_heartbeat(message, f"{source[0]}:{source[1]}")


class StreamServer:
    """
    Serves pulls and TCP heartbeats of peers, and connections of entry processes.

    Each :class:`EntryReport` gets one :class:`PeerView` as its reply, in order, so
    that an entry process can time grants from the report that it sent. State updates
    are sent between the replies when the seq in force grows.
    """

    def __init__(self, listener, key, node):
        self._listener = listener
        self._key = key
        self._node = node
        self._connections = set()
        self._lock = threading.Lock()
        self._closed = False
        self._seq = 0
        self._thread = threading.Thread(target=self._accept, name="peers", daemon=True)

    def start(self):
        """Start the thread that accepts connections."""
        self._thread.start()

    def publish(self, seq):
        """Set the seq in force; connections send state updates when it grows."""
        self._seq = seq

    def close(self):
        """Stop accepting connections and close the open ones."""
        self._closed = True
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        if self._thread.is_alive():
            self._thread.join()
        self._listener.close()
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _accept(self):
        while not self._closed:
            try:
                connection, source = self._listener.accept()
            except OSError:
                continue
            with self._lock:
                accepted = len(self._connections) < MAX_CONNECTIONS
                if accepted:
                    self._connections.add(connection)
            if not accepted:
                log.warning("connection_refused", limit=MAX_CONNECTIONS)
                connection.close()
                continue
            threading.Thread(
                target=self._serve, args=(connection,), name="peer", daemon=True
            ).start()

    def _serve(self, connection):
        session = EntrySession(connection, self._key, self._node)
        try:
            connection.settimeout(STREAM_TIMEOUT_S)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            heard_at = time.monotonic()
            while not self._closed and time.monotonic() - heard_at < IDLE_LIMIT_S:
                if not select.select([connection], [], [], PUSH_INTERVAL_S)[0]:
                    session.push(self._seq)
                    continue
                message = receive_message(connection, self._key)
                heard_at = time.monotonic()
                if message is None:
                    break
                self._dispatch(connection, message, session)
                session.push(self._seq)
        except (OSError, MagnoliapierError, ValueError) as error:
            log.debug("connection_ended", error=error)
        finally:
            session.close()
            with self._lock:
                self._connections.discard(connection)
            connection.close()

    def _dispatch(self, connection, message, session):
        if isinstance(message, PullRequest):
            reply = self._node.ask(lambda node: node.on_pull(message))
            send_message(connection, reply, self._key)
        elif isinstance(message, Heartbeat):
            self._node.tell(lambda node: node.on_heartbeat(message, message.address))
        elif isinstance(message, SnapshotOffer):
            self._node.ask(lambda node: node.on_snapshot_offer(message))
        elif isinstance(message, EntryReport):
            session.on_report(message)


class EntrySession:
    """The connection of one attached entry process, and what was sent on it."""

    def __init__(self, connection, key, node):
        self._connection = connection
        self._key = key
        self._node = node
        self._name = None
        self._sent_seq = 0
        self._view_key = None
        self._view_frame = b""
        self._view_made_at = 0.0

    def on_report(self, report):
        """Record a report and send a view as its reply."""
        if self._name is None or report.snapshot_wanted:
            self._sent_seq = 0 if report.snapshot_wanted else report.applied_seq
        self._name = report.name
        view = self._node.ask(lambda node: self._record_report(node, report))
        if view is not None:
            signed = sign_message(self._key, encode(view))
            self._view_frame = LENGTH.pack(len(signed)) + signed
        self._connection.sendall(self._view_frame)

    def push(self, seq):
        """Send a state update if ``seq`` is higher than what the entry process has."""
        if self._name is None or seq <= self._sent_seq:
            return
        update, sent = self._node.ask(
            lambda node: (
                node.state_update(self._name, self._sent_seq),
                node.state.seq,
            )
        )
        if update is not None:
            send_message(self._connection, update, self._key)
            self._sent_seq = sent

    def close(self):
        """Tell the node that the entry process is no longer attached."""
        if self._name is not None:
            name = self._name
            self._node.tell(lambda node: node.on_detach(name))

    def _record_report(self, node, report):
        """Record a report; return a new view, or None to send the last one again."""
        node.on_report(report)
        now = time.monotonic()
        key = (report.incarnation, node.view_key(report.name))
        if key == self._view_key and now - self._view_made_at < VIEW_REUSE_S:
            return None
        self._view_key, self._view_made_at = key, now
        return node.peer_view(report.name, VIEW_REUSE_S)


def pull_from(address, name, after_seq, key):
    """
    Request the log after ``after_seq`` from a peer and return its :class:`PullReply`.

    ``name`` is this process's own. Raise OSError if the peer sends no PullReply.
    """
    with contextlib.closing(open_stream(address, CONNECT_TIMEOUT_S)) as connection:
        connection.settimeout(STREAM_TIMEOUT_S)
        send_message(connection, PullRequest(name, after_seq), key)
        reply = receive_message(connection, key)
    if not isinstance(reply, PullReply):
        raise OSError("the peer did not send a pull reply")
    return reply


def send_heartbeat_by_tcp(address, heartbeat, key):
    """Send one heartbeat by TCP, for a peer that receives none of our datagrams."""
    with contextlib.closing(open_stream(address, CONNECT_TIMEOUT_S)) as connection:
        send_message(connection, heartbeat, key)
