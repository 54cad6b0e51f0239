"""The program ``magnoliapier-entry``: serves callers on an entry host."""

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
from magnoliapier.ownership import DROP_GRANTS_GAP_S, STALE_GAP_S, PauseMeter
from magnoliapier.platform_http import connect_platform
from magnoliapier.request_path import RequestPath
from magnoliapier.request_trace import RequestTrace
from magnoliapier.settings import load_settings, warn_about_insecure_settings

log = get_logger(__name__)

TICK_INTERVAL_S = 0.1
DRAIN_POLL_S = 0.05
# Time limit for writing claims and responses to the store at the end of a drain. After
# it, responses that the store has not accepted are not recorded, and requests that
# repeat their keys are refused with outcome_unknown.
CLAIMS_FLUSH_TIMEOUT_S = 5.0
METRICS_THREADS = 2


class WaitressHandler(logging.Handler):
    """Writes the log messages of waitress as structured log events."""

    def emit(self, record):
        """Write one log record."""
        log.warning("waitress", message=record.getMessage())


class EntryProcess:
    """
    One entry process: callers, dispatcher, claims, endpoints and control link.

    ``dispatcher`` implements RequestDecisions; ``table`` is the table service.

    Example::

        process = EntryProcess(settings, dispatcher, table, clock, metrics).start()
        ...
        process.drain()
        process.close()
    """

    def __init__(self, settings, dispatcher, table, clock, metrics):
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._incarnation = new_incarnation()
        self._draining = False
        self._stopped = threading.Event()
        entry_settings = settings.entry
        self.budget = MemoryBudget(entry_settings.max_buffered_bytes)
        self.view = FleetView(settings.data_centre, clock, metrics)
        self._connections = EndpointConnections(entry_settings, self.budget, metrics)
        self._metrics_server = HttpServer(
            self._serve_metrics_page,
            entry_settings.metrics_address,
            threads=METRICS_THREADS,
        )
        self._trace = RequestTrace(settings, clock)
        self._claims = Claims(table, clock, metrics, settings.name, self._incarnation)
        self.path = RequestPath(
            dispatcher,
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
                entry_settings, settings.name, self.path, self.budget, clock, metrics
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
        self._next_report_at = 0.0

    @property
    def address(self):
        """The IP:port that callers connect to."""
        return self.callers.address

    @property
    def metrics_address(self):
        """The IP:port of the metrics page."""
        return self._metrics_server.address

    @property
    def incarnation(self):
        """The number that distinguishes this run of the process from earlier ones."""
        return self._incarnation

    def start(self):
        """Connect to a control process and start accepting callers; return self."""
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
        Stop accepting requests, and wait until none is in flight.

        Return False if requests were still in flight after ``drain_timeout_s``.
        """
        self._draining = True
        self._link.tell(("report", None))
        self.path.drain()
        self.callers.stop_accepting()
        deadline = self._clock.monotonic() + self._settings.entry.drain_timeout_s
        while self.path.open_requests or self.callers.busy_connections():
            if self._clock.monotonic() >= deadline:
                log.warning("drain_timed_out", open_requests=self.path.open_requests)
                return False
            self._clock.sleep(DRAIN_POLL_S)
        self._flush_claims()
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
        """Return an EntryReport of the current load."""
        # Read before the load. In the reverse order, the report could name a later
        # state and omit requests sent to hosts of that state.
        seq = self.view.seq
        demand, busy_hosts = self.path.current_load()
        return EntryReport(
            name=self._settings.name,
            incarnation=self._incarnation,
            applied_seq=seq,
            demand=[
                Demand(service, queued, in_flight)
                for service, (queued, in_flight) in demand.items()
            ],
            busy_hosts=busy_hosts,
            leaving_hosts=self.view.leaving_hosts(),
            snapshot_wanted=self.view.snapshot_wanted,
            draining=self._draining,
        )

    def _flush_claims(self):
        """
        Wait until the claims are written to the table, up to CLAIMS_FLUSH_TIMEOUT_S.

        Other entry hosts answer repeated requests with the responses in the table.
        """
        deadline = self._clock.monotonic() + CLAIMS_FLUSH_TIMEOUT_S
        while not self._claims.idle and self._clock.monotonic() < deadline:
            self._clock.sleep(DRAIN_POLL_S)

    def _run_ticks(self):
        meter = PauseMeter(self._clock)
        while not self._stopped.wait(TICK_INTERVAL_S):
            try:
                self._tick(self._clock.monotonic(), meter.tick())
            except Exception as error:
                # Continues, because deadlines and grants depend on later ticks.
                self._metrics.count("worker_errors_total")
                log.error("tick_failed", error=repr(error))

    def _tick(self, now, gap_s):
        if gap_s > DROP_GRANTS_GAP_S:
            self._metrics.count("tick_gaps_total")
            log.warning("process_paused", gap_s=gap_s)
        if gap_s > STALE_GAP_S:
            # This process must be registered as a sender again, under a new incarnation
            # (rule R5).
            self._incarnation = new_incarnation()
        self.view.refresh(gap_s)
        self.path.tick()
        self._claims.tick()
        if now >= self._next_report_at:
            self._next_report_at = now + REPORT_INTERVAL_S
            self._link.tell(("report", None))

    def _serve_metrics_page(self, environ, start_response):
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
    """Return a Dispatcher configured by ``settings``."""
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
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stopped.set())
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
        False, help="Print the effective settings without secrets, and exit."
    ),
):
    """Serve the callers of one entry host until SIGTERM or SIGINT."""
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
