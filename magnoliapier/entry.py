"""The program ``magnoliapier-entry``: the data path of an entry host."""

import json
import logging
import random
import signal
import sys
import threading
from pathlib import Path

import typer

from magnoliapier.callers import CallerServer
from magnoliapier.claims import Claims, new_incarnation
from magnoliapier.clock import Clock
from magnoliapier.connections import EndpointConnections
from magnoliapier.control_link import REPORT_INTERVAL_S, ControlLink, FleetView
from magnoliapier.dispatcher import Dispatcher
from magnoliapier.exceptions import MagnoliapierError
from magnoliapier.http_server import HttpServer
from magnoliapier.logs import configure_logs, get_logger
from magnoliapier.memory_budget import MemoryBudget
from magnoliapier.messages import Demand, EntryReport
from magnoliapier.metrics import Metrics
from magnoliapier.ownership import DROP_GRANTS_GAP_S, STALE_GAP_S
from magnoliapier.platform_http import connect_platform
from magnoliapier.request_path import RequestPath
from magnoliapier.request_trace import RequestTrace
from magnoliapier.settings import load_settings, warn_about_insecure_settings

log = get_logger(__name__)

TICK_S = 0.1
DRAIN_POLL_S = 0.05
# Answers that the store does not take by then stay unrecorded, and repeats of their
# keys are refused with outcome_unknown.
CLAIMS_WAIT_S = 5.0
METRICS_THREADS = 2


class WaitressHandler(logging.Handler):
    """Writes waitress's own messages as events."""

    def emit(self, record):
        """Write one message."""
        log.warning("waitress", message=record.getMessage())


class EntryProcess:
    """
    One entry process: callers, decisions, claims, endpoints and control link.

    ``decisions`` implements RequestDecisions; ``table`` is the table service.

    Example::

        process = EntryProcess(settings, decisions, table, clock, metrics).start()
        ...
        process.drain()
        process.close()
    """

    def __init__(self, settings, decisions, table, clock, metrics):
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._incarnation = new_incarnation()
        self._draining = False
        self._stopped = threading.Event()
        options = settings.entry
        self.budget = MemoryBudget(options.max_buffered_bytes)
        self.view = FleetView(settings.data_centre, clock, metrics)
        self._connections = EndpointConnections(options, self.budget, metrics)
        self._metrics_server = HttpServer(
            self._show_metrics, options.metrics_address, threads=METRICS_THREADS
        )
        self._trace = RequestTrace(settings, clock)
        self._claims = Claims(table, clock, metrics, settings.name, self._incarnation)
        self.path = RequestPath(
            decisions,
            self.view,
            self._connections,
            self._claims,
            self.budget,
            clock,
            metrics,
            self._trace,
        )
        try:
            self.callers = CallerServer(
                options, settings.name, self.path, self.budget, clock, metrics
            )
        except MagnoliapierError:
            self._claims.close()
            self._metrics_server.close()
            raise
        self.path.attach_workers(self.callers.workers)
        self.view.attach(self.path)
        self._link = None
        self._ticker = threading.Thread(
            target=self._run_ticks, name="ticker", daemon=True
        )
        self._report_at = 0.0

    @property
    def address(self):
        """The IP:port that callers reach."""
        return self.callers.address

    @property
    def metrics_address(self):
        """The IP:port of the metrics page."""
        return self._metrics_server.address

    @property
    def incarnation(self):
        """The number that tells this start of the process from earlier ones."""
        return self._incarnation

    def start(self):
        """Attach to a control process and accept callers."""
        self._metrics_server.start()
        self._link = ControlLink.start(
            self._settings, self.view, self.report, self._clock, self._metrics
        )
        self._ticker.start()
        self.callers.start()
        log.info("entry_started", address=self.address, name=self._settings.name)
        return self

    def drain(self):
        """
        Stop accepting, and wait until no request is in flight.

        Return False if requests were left after ``drain_timeout_s``.
        """
        self._draining = True
        self._link.tell(("report", None))
        self.path.drain()
        self.callers.stop_accepting()
        until = self._clock.monotonic() + self._settings.entry.drain_timeout_s
        while self.path.open_requests or self.callers.busy_connections():
            if self._clock.monotonic() >= until:
                log.warning("drain_cut", open_requests=self.path.open_requests)
                return False
            self._clock.sleep(DRAIN_POLL_S)
        self._write_claims()
        return True

    def close(self):
        """Close all connections and end all threads."""
        self._stopped.set()
        if self._ticker.is_alive():
            self._ticker.join()
        self.callers.close()
        self._claims.close()
        if self._link is not None:
            self._link.stop()
        self._connections.close()
        self._trace.close()
        self._metrics_server.close()
        log.info("entry_stopped", name=self._settings.name)

    def report(self):
        """Return the EntryReport of this moment."""
        # The state first: work for a host of a later state is then not left out.
        seq = self.view.seq
        demand, busy = self.path.current_load()
        return EntryReport(
            name=self._settings.name,
            incarnation=self._incarnation,
            applied_seq=seq,
            demand=[
                Demand(service, queued, in_flight)
                for service, (queued, in_flight) in demand.items()
            ],
            busy_hosts=busy,
            leaving_hosts=self.view.leaving_hosts(),
            snapshot_wanted=self.view.snapshot_wanted,
            draining=self._draining,
        )

    def _write_claims(self):
        """Let first answers reach the table, for repeats at other entry hosts."""
        until = self._clock.monotonic() + CLAIMS_WAIT_S
        while not self._claims.idle and self._clock.monotonic() < until:
            self._clock.sleep(DRAIN_POLL_S)

    def _run_ticks(self):
        last = self._clock.monotonic()
        while not self._stopped.wait(TICK_S):
            now = self._clock.monotonic()
            try:
                self._tick(now, now - last)
            except Exception as error:
                # Deadlines and grants depend on the ticks that follow.
                self._metrics.count("worker_errors_total")
                log.error("tick_failed", error=repr(error))
            last = now

    def _tick(self, now, gap):
        if gap > DROP_GRANTS_GAP_S:
            self._metrics.count("tick_gaps_total")
            log.warning("process_paused", gap_s=gap)
        if gap > STALE_GAP_S:
            # The sender has to be registered anew (rule R5).
            self._incarnation = new_incarnation()
        self.view.refresh(gap)
        self.path.tick()
        self._claims.tick()
        if now >= self._report_at:
            self._report_at = now + REPORT_INTERVAL_S
            self._link.tell(("report", None))

    def _show_metrics(self, environ, start_response):
        path = environ["PATH_INFO"]
        status, body = "404 Not Found", "Use /metrics or /health.\n"
        if path == "/metrics":
            status, body = "200 OK", self._metrics.render()
        elif path == "/health":
            ready = self.path.manifest is not None and not self._draining
            status = "200 OK" if ready else "503 Service Unavailable"
            body = "ready\n" if ready else "not ready\n"
        data = body.encode()
        headers = [
            ("Content-Type", "text/plain; charset=utf-8"),
            ("Content-Length", str(len(data))),
        ]
        start_response(status, headers)
        return [data]


def build_dispatcher(settings, clock, metrics):
    """Return the Dispatcher for the settings."""
    return Dispatcher(
        clock,
        random.Random(settings.seed),
        settings.name,
        settings.data_centre,
        settings.entry.max_queue,
        metrics,
    )


def run(settings):
    """Run an entry process until SIGTERM or SIGINT; return the exit code."""
    clock, metrics = Clock(), Metrics()
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    process = EntryProcess(
        settings,
        build_dispatcher(settings, clock, metrics),
        connect_platform(settings.platform).table,
        clock,
        metrics,
    ).start()
    typer.echo(f"listening on {process.address}")
    stopped.wait()
    drained = process.drain()
    process.close()
    return 0 if drained else 1


def serve(
    settings: Path = typer.Option(..., help="Settings file (JSON)."),
    print_settings: bool = typer.Option(
        False, help="Print the settings in force without secrets, and end."
    ),
):
    """Serve callers of one entry host until SIGTERM or SIGINT."""
    try:
        loaded = load_settings(settings)
        if print_settings:
            typer.echo(json.dumps(loaded.public(), indent=2))
            return
        configure_logs(loaded.log_level)
        warn_about_insecure_settings(loaded, log)
        logging.getLogger("waitress").addHandler(WaitressHandler())
        code = run(loaded)
    except MagnoliapierError as error:
        typer.echo(str(error), err=True)
        sys.exit(error.exit_code)
    if code:
        sys.exit(code)


def main():
    """Run the program ``magnoliapier-entry``."""
    typer.run(serve)


if __name__ == "__main__":
    main()
