"""
Sockets of a control process: heartbeats over UDP, pulls and entry processes by TCP.

UDP and TCP share one port, so the source of a datagram is also the address for
pulls.
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
# Entry processes report every 0.25 s and pulls ask at once; a connection that stays
# silent must not keep its place from others.
IDLE_LIMIT_S = 10.0
# An entry process gets a new state at most this long after it is in force here.
PUSH_INTERVAL_S = 0.1
# Views carry the demand of all peers, which changes twice a second at most, and are
# costly to encode. A view is sent again for this long unless something urgent changed;
# its grants are shortened by as much.
VIEW_REUSE_S = 0.45

log = get_logger(__name__)


def bind_pair(address):
    """
    Return a UDP socket and a listening TCP socket on the same ``IP:port``.

    Port 0 takes one that is free for both. Raise AddressInUseError otherwise.
    """
    host, port = parse_address(address)
    for _ in range(BIND_ATTEMPTS if port == 0 else 1):
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            listener.bind((host, port))
            listener.listen(LISTEN_BACKLOG)
            datagrams.bind(listener.getsockname())
        except OSError as error:
            failure = error
            listener.close()
            datagrams.close()
        else:
            return datagrams, listener
    raise AddressInUseError(
        f"Cannot listen on {address}: {failure.strerror}. "
        "Choose a free control.address in the settings."
    )


class DatagramLink:
    """Sends and receives sealed heartbeats and counts their bytes."""

    def __init__(self, datagrams, key, receive):
        self._socket = datagrams
        self._key = key
        self._receive = receive
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
        """Receive in a thread."""
        self._thread.start()

    def send(self, address, heartbeat):
        """Send a heartbeat; raise OSError if the network refuses it."""
        data = pack_datagram(heartbeat, self._key)
        self._socket.sendto(data, parse_address(address))
        self._counts["heartbeats_sent"] += 1
        self._counts["heartbeat_bytes_sent"] += len(data)

    def close(self):
        """Stop receiving."""
        self._closed = True
        with contextlib.suppress(OSError):
            self._socket.sendto(b"", self._socket.getsockname())
        if self._thread.is_alive():
            self._thread.join()
        self._socket.close()

    def _run(self):
        while not self._closed:
            try:
                data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                # An unreachable peer is reported on the socket that sent to it.
                continue
            if not self._closed:
                self._take(data, source)

    def _take(self, data, source):
        try:
            message = unpack_datagram(data, self._key)
        except MagnoliapierError as error:
            self._counts["heartbeats_refused"] += 1
            log.debug("heartbeat_refused", source=source[0], error=error)
            return
        self._counts["heartbeats_received"] += 1
        self._counts["heartbeat_bytes_received"] += len(data)
        if isinstance(message, Heartbeat):
            self._receive(message, f"{source[0]}:{source[1]}")


class StreamServer:
    """
    Serves pulls of peers and the reports of entry processes.

    Each :class:`EntryReport` gets one :class:`PeerView` in answer, in order, so an
    entry process can time grants from the report that it sent. State updates are
    sent between them when the seq in force grows.
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
        """Accept in a thread."""
        self._thread.start()

    def publish(self, seq):
        """Tell the connections of entry processes which seq is in force."""
        self._seq = seq

    def close(self):
        """Close all connections."""
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
    """The connection of one attached entry process."""

    def __init__(self, connection, key, node):
        self._connection = connection
        self._key = key
        self._node = node
        self._name = None
        self._sent_seq = 0
        self._view_key = None
        self._view_frame = b""
        self._viewed_at = 0.0

    def on_report(self, report):
        """Take a report and answer it."""
        if self._name is None or report.snapshot_wanted:
            self._sent_seq = 0 if report.snapshot_wanted else report.applied_seq
        self._name = report.name
        view = self._node.ask(lambda node: self._exchange(node, report))
        if view is not None:
            sealed = sign_message(self._key, encode(view))
            self._view_frame = LENGTH.pack(len(sealed)) + sealed
        self._connection.sendall(self._view_frame)

    def push(self, seq):
        """Send what the entry process lacks if ``seq`` is beyond it."""
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
        """The connection ended."""
        if self._name is not None:
            name = self._name
            self._node.tell(lambda node: node.on_detach(name))

    def _exchange(self, node, report):
        node.on_report(report)
        now = time.monotonic()
        key = (report.incarnation, node.view_key(report.name))
        if key == self._view_key and now - self._viewed_at < VIEW_REUSE_S:
            return None
        self._view_key, self._viewed_at = key, now
        return node.peer_view(report.name, VIEW_REUSE_S)


def pull_from(address, name, after_seq, key):
    """Return the :class:`PullReply` of the peer at ``address``."""
    with contextlib.closing(open_stream(address, CONNECT_TIMEOUT_S)) as connection:
        connection.settimeout(STREAM_TIMEOUT_S)
        send_message(connection, PullRequest(name, after_seq), key)
        reply = receive_message(connection, key)
    if not isinstance(reply, PullReply):
        raise OSError("the peer closed the connection without a reply")
    return reply


def send_direct(address, heartbeat, key):
    """Send one heartbeat by TCP to a peer that our datagrams do not reach."""
    with contextlib.closing(open_stream(address, CONNECT_TIMEOUT_S)) as connection:
        send_message(connection, heartbeat, key)
