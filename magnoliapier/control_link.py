"""
The entry process's link to a control process, and its view of the fleet.

The link connects to the control process of its own host. After 1 s without a
connection it also tries the others of its data centre. It receives StateUpdate and
PeerView and sends an EntryReport every 0.25 s. After connecting it offers its state,
as the control process may have restarted without one.
"""

import collections
import contextlib
import json
import socket
import threading
from dataclasses import dataclass

import pykka

from magnoliapier.exceptions import (
    AuthenticationError,
    ManifestError,
    MessageError,
    StateOrderError,
)
from magnoliapier.fleet_state import FleetState, LogEntry
from magnoliapier.logs import get_logger
from magnoliapier.manifest import canonical_json
from magnoliapier.messages import (
    PeerView,
    SnapshotOffer,
    StateUpdate,
)
from magnoliapier.ownership import DROP_GRANTS_GAP_S, STALE_GAP_S, allowed_hosts
from magnoliapier.request_tables import EndpointEntry, PeerDemand
from magnoliapier.transport import open_stream, receive_message, send_message

log = get_logger(__name__)

REPORT_INTERVAL_S = 0.25
OWN_CONTROL_GRACE_S = 1.0
CONNECT_TIMEOUT_S = 0.5
# Each report gets a reply, so a control process that sends nothing for this long
# counts as lost. A pause of this process causes the same gap and leaves outdated
# messages in the socket. The link reconnects in both cases.
SILENT_LINK_S = 1.0
RETRY_PAUSE_S = 0.1
# How long a host counts as leaving. A refused connection may only mean a restart,
# whereas a response with a draining mark is definite. Both end earlier when the host
# gets a new assignment.
REFUSED_LEAVING_S = 5.0
DRAINING_LEAVING_S = 600.0


@dataclass(frozen=True, slots=True)
class DataCentreGrant:
    """Permission to send to a data centre until the monotonic time ``expires``."""

    seq: int
    expires: float


@dataclass(frozen=True, slots=True)
class LeavingSign:
    """
    A sign that a host is leaving, valid until the monotonic time ``until``.

    ``epoch`` is that of the host's assignment when the sign was recorded; the sign is
    void under another assignment.
    """

    epoch: int
    until: float


class FleetView:
    """
    The fleet state in force at this entry process, and the hosts it may send to.

    The link changes it and the request path reads it. The state never goes back to a
    lower sequence number. Changes are passed to the listener's methods ``set_fleet``,
    ``set_peers`` and ``mark_leaving``.
    """

    def __init__(self, data_centre, clock, metrics):
        self._data_centre = data_centre
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.RLock()
        self._listener = None
        self._state = None
        self._eligible = False
        self._grants = {}
        self._leaving_signs = {}
        self._peer_leaving = frozenset()
        self._allowed = frozenset()
        self._last_shown = None
        self.snapshot_wanted = True

    @property
    def manifest(self):
        """The manifest in force, or None."""
        return None if self._state is None else self._state.manifest

    @property
    def state(self):
        """The FleetState in force, or None."""
        return self._state

    @property
    def seq(self):
        """The sequence number of the state, 0 without one."""
        return 0 if self._state is None else self._state.seq

    @property
    def allowed(self):
        """The names of the hosts that may be sent to, as last computed."""
        return self._allowed

    def attach(self, listener):
        """Set the listener of changes."""
        self._listener = listener

    def allows(self, host):
        """Return whether ``host`` may be sent to."""
        return host in self._allowed

    def apply_update(self, update):
        """
        Apply the parts of a StateUpdate that are newer than the state in force.

        Its ``eligible`` is not used: the update may have been sent before a pause of
        this process, and a PeerView follows within the report interval.
        """
        with self._lock:
            state = self._state
            try:
                if update.snapshot:
                    offered = FleetState.from_values(json.loads(update.snapshot))
                    if state is None or offered.seq > state.seq:
                        state = offered
                for data in update.entries:
                    entry = LogEntry.from_row(json.loads(data))
                    if state is None:
                        raise StateOrderError(
                            "Received log entries without a snapshot."
                        )
                    if entry.seq > state.seq:
                        state = state.copy() if state is self._state else state
                        state.apply(entry)
            except (StateOrderError, ManifestError, ValueError, KeyError) as error:
                log.warning("state_update_refused", error=error)
                self._metrics.count("state_updates_refused_total")
                self.snapshot_wanted = True
            else:
                self.snapshot_wanted = state is None
            self._state = state
            self.refresh()

    def apply_view(self, view, asked_at, eligible):
        """
        Apply what the control process knows of peers, grants and leaving hosts.

        A view is the reply to a report. ``asked_at`` is the monotonic time just
        before that report was sent; the durations of grants count from it (R2).
        ``eligible`` is whether the view says that the sender is eligible and the
        sender still has the incarnation that the report named.
        """
        with self._lock:
            self._eligible = eligible
            self._grants = {
                grant.data_centre: DataCentreGrant(
                    grant.seq, asked_at + grant.remaining_ms / 1000
                )
                for grant in view.grants
            }
            self._peer_leaving = frozenset(view.leaving_hosts)
            self.refresh()
        self._listener.set_peers(peer_demand(view))

    def refresh(self, gap_s=0.0):
        """
        Compute the allowed hosts and pass changes to the listener.

        ``gap_s`` is how long the process was paused. Under rule R5 it drops its
        grants after more than DROP_GRANTS_GAP_S, and after more than STALE_GAP_S it
        is not eligible until a view says that it is registered again.
        """
        now = self._clock.monotonic()
        with self._lock:
            if gap_s > DROP_GRANTS_GAP_S:
                self._grants = {}
            if gap_s > STALE_GAP_S:
                self._eligible = False
            if self._state is None:
                return
            self._leaving_signs = {
                host: sign
                for host, sign in self._leaving_signs.items()
                if now < sign.until and sign.epoch == self._epoch(host)
            }
            allowed = allowed_hosts(
                self._state, self._data_centre, self._eligible, self._grants, now
            )
            leaving = (self._peer_leaving | self._leaving_signs.keys()) & allowed
            self._allowed = frozenset(allowed) - leaving
            shown = (self._state, self._allowed, leaving)
            if shown != self._last_shown:
                self._last_shown = shown
                self._listener.set_fleet(
                    self._state.manifest, self._endpoints(allowed, leaving)
                )
        self._metrics.gauge("state_seq", self.seq)

    def record_leaving_host(self, host, draining):
        """
        Record that ``host`` is leaving, as seen from an endpoint's behaviour.

        ``draining`` is whether the endpoint said so; otherwise it refused a
        connection.
        """
        duration_s = DRAINING_LEAVING_S if draining else REFUSED_LEAVING_S
        sign = LeavingSign(self._epoch(host), self._clock.monotonic() + duration_s)
        with self._lock:
            known = self._leaving_signs.get(host)
            if known is None or known.until < sign.until:
                self._leaving_signs[host] = sign
            self._allowed -= {host}
        if known is None:
            log.info("host_leaving", host=host, draining=draining)
            self._listener.mark_leaving(host)

    def leaving_hosts(self):
        """Return the hosts that this process itself has found to be leaving."""
        with self._lock:
            return sorted(self._leaving_signs)

    def _epoch(self, host):
        state = self._state
        assignment = state.assignments.get(host) if state else None
        return assignment.epoch if assignment else 0

    def _endpoints(self, allowed, leaving):
        manifest = self._state.manifest
        endpoints = []
        for service, settings in manifest.services.items():
            for host in self._state.hosts_of(settings.pool):
                if host in allowed:
                    declared = manifest.hosts[host]
                    endpoints.append(
                        EndpointEntry(
                            name=f"{service}/{host}",
                            service=service,
                            host=host,
                            data_centre=declared.data_centre,
                            address=declared.address,
                            slots=settings.slots_per_endpoint,
                            leaving=host in leaving,
                        )
                    )
        return endpoints


class ControlLink(pykka.ThreadingActor):
    """
    The actor that owns the link.

    A reader thread connects, receives messages and passes them to the actor. The
    actor applies them and sends reports on the connection that the reader opened.
    """

    use_daemon_thread = True

    def __init__(self, settings, view, report, clock, metrics):
        super().__init__()
        self._key = settings.auth.peer_key
        self._own_address = settings.control.address
        self._other_addresses = [
            peer.address
            for peer in settings.control.peers
            if peer.data_centre == settings.data_centre and peer.name != settings.name
        ]
        self._view = view
        self._report = report
        self._clock = clock
        self._metrics = metrics
        self._connection = None
        # (time sent, incarnation) of each report that has no reply yet.
        self._open_reports = collections.deque()
        self._closed = threading.Event()
        self._reader = threading.Thread(
            target=self._run_reader, name="control-link", daemon=True
        )

    def on_start(self):
        """Start to connect."""
        self._reader.start()

    def on_stop(self):
        """Close the connection."""
        self._closed.set()
        self._shut_down(self._connection)
        self._reader.join(CONNECT_TIMEOUT_S + SILENT_LINK_S)

    def on_receive(self, message):
        """Apply a message of the control process, or send a report when told."""
        # An uncaught exception would stop the actor, and with it all state updates.
        try:
            self._handle(*message)
        except Exception as error:
            self._metrics.count("worker_errors_total")
            log.error("control_link_failed", error=repr(error))

    def _handle(self, kind, value):
        if kind == "connected":
            self._connection = value
            self._open_reports.clear()
            state = self._view.state
            if state is not None and state.seq:
                offer = SnapshotOffer(snapshot=canonical_json(state.to_values()))
                self._send(offer)
            self._send_report()
        elif kind == "report":
            self._send_report()
        elif isinstance(value, StateUpdate):
            self._view.apply_update(value)
            self._send_report()
        elif isinstance(value, PeerView):
            self._apply_view(value)

    def _apply_view(self, view):
        """Apply a view, the reply to the oldest open report of this connection."""
        if not self._open_reports:
            log.warning("control_view_unexpected")
            self._shut_down(self._connection)
            return
        asked_at, incarnation = self._open_reports.popleft()
        current = incarnation == self._report().incarnation
        self._view.apply_view(view, asked_at, view.eligible and current)

    def _send_report(self):
        if self._connection is None:
            return
        report = self._report()
        self._open_reports.append((self._clock.monotonic(), report.incarnation))
        self._send(report)

    def _send(self, message):
        connection = self._connection
        if connection is None:
            return
        try:
            send_message(connection, message, self._key)
        except OSError:
            self._shut_down(connection)
            self._connection = None

    def _shut_down(self, connection):
        if connection is not None:
            # Wakes the reader, which closes the socket.
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _run_reader(self):
        lost_at = self._clock.monotonic()
        while not self._closed.is_set():
            connection = self._connect(lost_at)
            if connection is None:
                self._closed.wait(RETRY_PAUSE_S)
                continue
            self._receive(connection)
            lost_at = self._clock.monotonic()

    def _connect(self, lost_at):
        candidates = [self._own_address]
        if self._clock.monotonic() - lost_at >= OWN_CONTROL_GRACE_S:
            candidates += self._other_addresses
        for address in candidates:
            try:
                connection = open_stream(address, CONNECT_TIMEOUT_S)
            except OSError:
                continue
            connection.settimeout(SILENT_LINK_S)
            log.info("control_attached", address=address)
            self._metrics.gauge(
                "control_attached_to_own", int(address == self._own_address)
            )
            return connection
        self._metrics.gauge("control_attached_to_own", 0)
        return None

    def _receive(self, connection):
        with connection:
            try:
                previous = self._clock.monotonic()
                self.actor_ref.tell(("connected", connection))
                while not self._closed.is_set():
                    message = receive_message(connection, self._key)
                    now = self._clock.monotonic()
                    if message is None or now - previous > SILENT_LINK_S:
                        log.warning("control_lost", gap_s=now - previous)
                        return
                    previous = now
                    self.actor_ref.tell(("message", message))
            except (OSError, MessageError, AuthenticationError) as error:
                log.warning("control_lost", error=error)
            except pykka.ActorDeadError:
                return


def peer_demand(view):
    """Return the demand in a PeerView, as a list of PeerDemand by service."""
    demand = {}
    for peer in view.peers:
        for item in peer.demand:
            demand.setdefault(item.service, []).append(
                PeerDemand(
                    peer.name,
                    peer.data_centre,
                    item.queued,
                    item.in_flight,
                    peer.age_ms / 1000,
                )
            )
    return demand
