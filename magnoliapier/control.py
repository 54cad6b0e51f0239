"""
The program ``magnoliapier-control``: the control process of an entry host.

Each kind of work has an actor of its own: the node's decisions, reading the log,
registering senders, pulling from peers and planning. A slow store therefore never
delays heartbeats, replies to pulls or entry processes.
"""

import contextlib
import ipaddress
import random
import signal
import threading
from pathlib import Path

import pykka
import typer

from magnoliapier.clock import Clock
from magnoliapier.control_links import (
    DatagramLink,
    StreamServer,
    bind_udp_and_tcp,
    pull_from,
    send_heartbeat_by_tcp,
)
from magnoliapier.control_node import Node
from magnoliapier.control_planning import PlannerRunner
from magnoliapier.control_store import LogReader, Registrar, StoreHealth
from magnoliapier.exceptions import (
    ControlBusyError,
    MagnoliapierError,
    MessageError,
)
from magnoliapier.fleet_log import FleetLog
from magnoliapier.http_server import HttpServer
from magnoliapier.leases import PlannerLease
from magnoliapier.logs import configure_logs, get_logger
from magnoliapier.manifest import canonical_json
from magnoliapier.metrics import Metrics
from magnoliapier.operators import OperatorApplication
from magnoliapier.ownership import TICK_S
from magnoliapier.platform_http import connect_platform
from magnoliapier.settings import load_settings, warn_about_insecure_settings
from magnoliapier.transport import parse_address

LOG_POLL_S = 0.5
REGISTER_POLL_S = 0.25
OPERATOR_THREADS = 4
OPERATOR_MAX_BODY_BYTES = 16_777_216
ASK_TIMEOUT_S = 5.0

log = get_logger(__name__)


class CallActor(pykka.ThreadingActor):
    """Calls functions with the value that it owns, one at a time."""

    use_daemon_thread = True

    def __init__(self, owned):
        super().__init__()
        self._owned = owned

    def on_receive(self, message):
        """Call ``message`` with the owned value."""
        return message(self._owned)


class ActorHandle:
    """A handle on a :class:`CallActor`: ``tell`` and ``ask`` with a callable."""

    def __init__(self, owned):
        self._ref = CallActor.start(owned)

    def tell(self, call):
        """Queue ``call`` for the actor and log its errors."""
        self._ref.tell(log_errors(call))

    def ask(self, call, timeout_s=ASK_TIMEOUT_S):
        """
        Run ``call`` in the actor and return its result or raise its error.

        Raise ControlBusyError if the actor is stopped or needs more than
        ``timeout_s``.
        """
        try:
            return self._ref.ask(call, timeout=timeout_s)
        except (pykka.Timeout, pykka.ActorDeadError):
            raise ControlBusyError(
                "The control process is busy or stopping; try again."
            ) from None

    def close(self):
        """Stop the actor after the calls that are already queued."""
        with contextlib.suppress(pykka.Timeout):
            self._ref.stop(timeout=ASK_TIMEOUT_S)


def log_errors(call):
    """Return a function that runs ``call`` and logs its errors instead of raising."""

    def run(owned):
        try:
            call(owned)
        except Exception as error:
            log.error("actor_call_failed", error=f"{type(error).__name__}: {error}")

    return run


class Ticker:
    """
    Has actors call functions at fixed intervals, with one thread for all.

    A function is not called again while its previous call waits or runs.
    """

    def __init__(self, clock):
        self._clock = clock
        self._jobs = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="ticker", daemon=True)

    def add(self, interval_s, handle, call):
        """Have the actor of ``handle`` run ``call`` every ``interval_s`` seconds."""
        self._jobs.append(
            {"interval": interval_s, "at": 0.0, "busy": False, "run": (handle, call)}
        )

    def start(self):
        """Start the thread."""
        self._thread.start()

    def close(self):
        """Stop the thread."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self):
        while not self._stopped.is_set():
            now = self._clock.monotonic()
            for job in self._jobs:
                if job["at"] <= now and not job["busy"]:
                    job["at"] = now + job["interval"]
                    self._start_job(job)
            delay_s = min(job["at"] for job in self._jobs) - self._clock.monotonic()
            self._stopped.wait(min(max(delay_s, TICK_S / 10), TICK_S))

    def _start_job(self, job):
        handle, call = job["run"]
        job["busy"] = True

        def run(owned):
            try:
                call(owned)
            finally:
                job["busy"] = False

        handle.tell(run)


class Control:
    """
    A control process: sockets, actors and the node.

    Example::

        control = Control(settings, connect_platform(settings.platform)).start()
        control.close()
    """

    def __init__(self, settings, platform, clock=None):
        self._settings = settings
        self._clock = clock or Clock()
        self._key = settings.auth.peer_key
        self.metrics = Metrics()
        self._datagram_socket, listener = bind_udp_and_tcp(settings.control.address)
        self._address = "{}:{}".format(*listener.getsockname())
        rng = random.Random(f"{settings.seed}/{settings.name}")
        incarnation = int(self._clock.time() * 1000)
        self.node = ActorHandle(
            Node(
                self._clock,
                settings.name,
                settings.data_centre,
                settings.control.peers,
                rng,
                incarnation,
                announced_address(self._address),
            )
        )
        self._datagram_link = DatagramLink(
            self._datagram_socket, self._key, self._on_datagram
        )
        self._server = StreamServer(listener, self._key, self.node)
        self.log = FleetLog(platform, self._clock, settings.name)
        self.health = StoreHealth()
        self._reader = ActorHandle(LogReader(self.log, self.node, self.health))
        self._registrar = ActorHandle(
            Registrar(platform.table, self.log, self.node, self.health)
        )
        self._puller = ActorHandle(None)
        self.planning = PlannerRunner(
            platform,
            self._clock,
            self.log,
            PlannerLease(platform.table, self._clock, settings.name),
            self.node,
        )
        self._planner = ActorHandle(self.planning)
        self._operators = self._serve_operators(platform)
        self._metrics_server = HttpServer(
            self._render_metrics, settings.control.metrics_address, threads=1
        )
        self._ticker = Ticker(self._clock)

    @property
    def address(self):
        """The IP:port for heartbeats, pulls and connections of entry processes."""
        return self._address

    @property
    def operator_address(self):
        """The IP:port of the operators' interface."""
        return self._operators.address

    @property
    def metrics_address(self):
        """The IP:port of the metrics page."""
        return self._metrics_server.address

    def start(self):
        """Start all threads."""
        self._datagram_link.start()
        self._server.start()
        self._operators.start()
        self._metrics_server.start()
        self._ticker.add(TICK_S, self.node, self._tick)
        self._ticker.add(LOG_POLL_S, self._reader, lambda reader: reader.poll())
        self._ticker.add(
            REGISTER_POLL_S, self._registrar, lambda registrar: registrar.poll()
        )
        if self._settings.control.planner:
            self._ticker.add(
                self._settings.control.tick_s,
                self._planner,
                lambda planner: planner.tick(),
            )
        self._ticker.start()
        log.info("control_started", name=self._settings.name, address=self._address)
        return self

    def close(self):
        """Release the lease, stop all threads and close all sockets."""
        self._ticker.close()
        self._operators.close()
        self._metrics_server.close()
        self._server.close()
        self._datagram_link.close()
        self._planner.tell(lambda planner: planner.close())
        for handle in (self._planner, self._registrar, self._reader, self._puller):
            handle.close()
        self.node.close()
        log.info("control_stopped", name=self._settings.name)

    def add_peer(self, name, data_centre, address):
        """Add a peer whose address was not known when the settings were made."""
        self.node.tell(lambda node: node.members.add_seed(name, data_centre, address))

    def _serve_operators(self, platform):
        application = OperatorApplication(
            self._settings,
            self._clock,
            platform,
            self.log,
            self.node,
            self.planning,
            self.health,
        )
        return HttpServer(
            application,
            self._settings.control.operator_address,
            threads=OPERATOR_THREADS,
            max_request_body_size=OPERATOR_MAX_BODY_BYTES,
        )

    def _on_datagram(self, heartbeat, source):
        self.node.tell(lambda node: node.on_heartbeat(heartbeat, source))

    def _tick(self, node):
        actions = node.tick()
        for address, heartbeat in actions.heartbeats:
            try:
                self._datagram_link.send(address, heartbeat)
            except (OSError, MessageError) as error:
                self.metrics.count("heartbeats_not_sent_total")
                log.debug("heartbeat_not_sent", address=address, error=error)
        if actions.pull is not None:
            address, seq = actions.pull
            self._puller.tell(lambda _: self._pull(address, seq))
        for address, heartbeat in actions.tcp_heartbeats:
            self._puller.tell(
                lambda _, a=address, h=heartbeat: self._send_tcp_heartbeat(a, h)
            )
        self._server.publish(node.state.seq)

    def _pull(self, address, seq):
        try:
            reply = pull_from(address, self._settings.name, seq, self._key)
        except (OSError, MagnoliapierError) as error:
            log.debug("pull_failed", address=address, error=error)
            self.node.tell(lambda node: node.on_pull_failed())
            return
        self.metrics.count("pulls_total")
        self.node.tell(lambda node: node.on_pull_reply(reply))

    def _send_tcp_heartbeat(self, address, heartbeat):
        try:
            send_heartbeat_by_tcp(address, heartbeat, self._key)
        except (OSError, MagnoliapierError) as error:
            log.debug("tcp_heartbeat_failed", address=address, error=error)

    def _render_metrics(self, environ, start_response):
        self.node.ask(self._record_gauges)
        data = self.metrics.render().encode()
        start_response(
            "200 OK",
            [
                ("Content-Type", "text/plain; version=0.0.4"),
                ("Content-Length", str(len(data))),
            ],
        )
        return [data]

    def _record_gauges(self, node):
        self.metrics.gauge("seq", node.state.seq)
        self.metrics.gauge("staged_seq", node.follower.staged_seq)
        self.metrics.gauge("manifest_version", node.state.manifest_version)
        self.metrics.gauge("live_peers", len(node.members.live()))
        self.metrics.gauge("leaving_hosts", len(node.leaving.current()))
        self.metrics.gauge("planner_lease_held", int(self.planning.is_holder))
        for name, value in self._datagram_link.counters().items():
            self.metrics.gauge(name, value)


def announced_address(address):
    """Return the address to announce to peers, empty if it is the unspecified IP."""
    host, _ = parse_address(address)
    return "" if ipaddress.ip_address(host).is_unspecified else address


def main():
    """Run the program ``magnoliapier-control``."""
    typer.run(run_control)


def run_control(
    settings: Path = typer.Option(..., help="JSON settings file."),
    print_settings: bool = typer.Option(
        False, help="Print the settings without secrets and exit."
    ),
):
    """Run the control process of an entry host until SIGTERM or SIGINT."""
    try:
        values = load_settings(settings)
        if print_settings:
            typer.echo(canonical_json(values.public()).decode())
            return
        configure_logs(values.log_level)
        warn_about_insecure_settings(values, log)
        control = Control(values, connect_platform(values.platform)).start()
    except MagnoliapierError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(error.exit_code) from None
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    stopped.wait()
    control.close()


if __name__ == "__main__":
    main()
