"""
A demo that runs a small system in one process and checks its requests.

The system has a platform, endpoints and entry hosts in two data centres. The demo
sends requests of several organisations, commits a new manifest and drains a host
under load, and then compares what callers were told with what the endpoints ran.
"""

import collections
import contextlib
import itertools
import json
import random
import threading
import uuid
from dataclasses import asdict, dataclass, field

import typer
import urllib3

from magnoliapier.clock import Clock
from magnoliapier.control import Control
from magnoliapier.entry import EntryProcess, build_dispatcher
from magnoliapier.logs import configure_logs
from magnoliapier.memory_platform import MemoryPlatform
from magnoliapier.metrics import Metrics
from magnoliapier.operator_client import OperatorClient
from magnoliapier.platform_api import HostStatus, ListedHost
from magnoliapier.reasons import RefusalReason, RunState
from magnoliapier.settings import build_settings
from magnoliapier.standin_endpoint import StandinEndpoint

DATA_CENTRES = ("dc-1", "dc-2")
SERVICES = ("wire", "archive")
HOSTS_PER_CENTRE = 2
ORGANISATIONS = ("desk-a", "desk-b", "support")
NEW_ORGANISATION = "desk-c"
CALLERS_PER_ORGANISATION = 4
DRAINED_HOST = "wire-0"
DRAIN_LIMIT_S = 3.0
COMMIT_LIMIT_S = 2.0
START_LIMIT_S = 20.0
POLL_INTERVAL_S = 0.02
SHORT_RUN_MS = 5
LONG_RUN_MS = 400
CALL_TIMEOUT_S = 30.0
CALL_PAUSE_S = 0.01
MAX_REPEATS = 20
REPEAT_DELAY_S = 0.2
IN_PROGRESS = f"refused {RefusalReason.IN_PROGRESS}"
AUTH_KEYS = {"peer_key": "demo-peer-key", "operator_key": "demo-operator-key"}


@dataclass
class Call:
    """One request of a caller with its result and run state."""

    request_id: str
    organisation: str
    key: str | None
    result: str
    run_state: str


@dataclass
class DemoReport:
    """
    The outcomes of all requests, and the figures of the roll-out and the drain.

    ``results`` counts the results of each organisation. ``lost`` counts requests
    without a response of their own, ``cut`` refusals with an unknown run state other
    than IN_PROGRESS, ``doubled`` idempotency keys that ran more than once, and
    ``false_not_run`` requests that were reported as not run although they ran.
    ``work_after_drain`` counts runs on the drained host after DRAIN_LIMIT_S.
    """

    calls: int = 0
    results: dict = field(default_factory=dict)
    lost: int = 0
    doubled: int = 0
    false_not_run: int = 0
    cut: int = 0
    commit_in_force_s: float = 0.0
    work_after_drain: int = 0

    @property
    def passed(self):
        """Whether there was load, no fault was counted and the commit was in time."""
        faults = (
            self.lost,
            self.cut,
            self.doubled,
            self.false_not_run,
            self.work_after_drain,
        )
        return (
            self.calls > 0
            and not any(faults)
            and self.commit_in_force_s <= COMMIT_LIMIT_S
        )

    def to_values(self):
        """Return the report as plain JSON."""
        return {**asdict(self), "passed": self.passed}


class DemoSystem:
    """The stand-ins, and a control and an entry process in each data centre."""

    def __init__(self):
        self._stack = contextlib.ExitStack()
        self.platform = MemoryPlatform(Clock())
        self.endpoints = {}
        self.entries = []
        self.controls = []

    def start(self):
        """Start all parts of the system; return self."""
        for service in SERVICES:
            for number in range(HOSTS_PER_CENTRE * len(DATA_CENTRES)):
                endpoint = StandinEndpoint().start()
                self._stack.callback(endpoint.close)
                self.endpoints[f"{service}-{number}"] = endpoint
        for name, endpoint in self.endpoints.items():
            self.platform.hosts.set_host(
                ListedHost(name, HostStatus.LIVE, endpoint.address)
            )
        for number, data_centre in enumerate(DATA_CENTRES, 1):
            self._start_entry_host(f"entry-{number}", data_centre)
        for first, second in itertools.permutations(range(len(self.controls)), 2):
            self.controls[first].add_peer(
                f"entry-{second + 1}",
                DATA_CENTRES[second],
                self.controls[second].address,
            )
        return self

    def close(self):
        """Drain the entry processes and stop all parts of the system."""
        for entry in self.entries:
            entry.drain()
        self._stack.close()

    def operator(self):
        """Return an operator client of the first control process."""
        return OperatorClient(
            self.controls[0].operator_address, AUTH_KEYS["operator_key"], "demo"
        )

    def manifest(self):
        """Return the first manifest as plain JSON."""
        return {
            "organisations": {name: {} for name in ORGANISATIONS},
            "services": {name: {"pool": name} for name in SERVICES},
            "pools": {**{name: {"min_hosts": 1} for name in SERVICES}, "spare": {}},
            "hosts": {
                name: {
                    "data_centre": data_centre_of(name),
                    "rack": f"rack-{data_centre_of(name)}",
                    "pool": name.partition("-")[0],
                    "address": endpoint.address,
                }
                for name, endpoint in self.endpoints.items()
            },
        }

    def in_force(self, seq):
        """Return whether all entry processes have applied the log up to ``seq``."""
        return all(entry.view.seq >= seq for entry in self.entries)

    def _start_entry_host(self, name, data_centre):
        values = {
            "name": name,
            "data_centre": data_centre,
            "auth": AUTH_KEYS,
            "entry": {"address": "127.0.0.1:0", "metrics_address": "127.0.0.1:0"},
            "control": {
                "address": "127.0.0.1:0",
                "operator_address": "127.0.0.1:0",
                "metrics_address": "127.0.0.1:0",
            },
        }
        control = Control(build_settings(values), self.platform).start()
        self._stack.callback(control.close)
        self.controls.append(control)
        values["control"]["address"] = control.address
        settings, clock, metrics = build_settings(values), Clock(), Metrics()
        decisions = build_dispatcher(settings, clock, metrics)
        entry = EntryProcess(settings, decisions, self.platform.table, clock, metrics)
        self.entries.append(entry.start())
        self._stack.callback(entry.close)


def data_centre_of(host):
    """Return the data centre of a host, chosen by the number in its name."""
    return DATA_CENTRES[int(host.rpartition("-")[2]) % len(DATA_CENTRES)]


class LoadGenerator:
    """Runs callers of every organisation in threads until it is closed."""

    def __init__(self, system):
        self._urls = [f"http://{entry.address}" for entry in system.entries]
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._run, args=(organisation, number))
            for organisation in ORGANISATIONS
            for number in range(CALLERS_PER_ORGANISATION)
        ]
        self.calls = []

    def start(self):
        """Start the callers; return self."""
        for thread in self._threads:
            thread.start()
        return self

    def close(self):
        """Stop the callers after their current request and wait for them."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, organisation, number):
        rng = random.Random(f"{organisation}/{number}")
        with urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S) as pool:
            while not self._stopped.is_set():
                kind = rng.choices(("short", "long", "filing"), (8, 1, 2))[0]
                send = getattr(self, f"_send_{kind}")
                send(pool, organisation, rng)
                self._stopped.wait(CALL_PAUSE_S)

    def _send_short(self, pool, organisation, rng):
        self._call(pool, rng.choice(self._urls), "GET", organisation, SHORT_RUN_MS)

    def _send_long(self, pool, organisation, rng):
        url = rng.choice(self._urls)
        self._call(pool, url, "GET", organisation, LONG_RUN_MS, service="archive")

    def _send_filing(self, pool, organisation, rng):
        # Every filing is repeated through the other entry host, as a load balancer
        # may do.
        key = uuid.uuid4().hex
        for url in rng.sample(self._urls, len(self._urls)):
            for _ in range(MAX_REPEATS):
                call = self._call(
                    pool, url, "POST", organisation, SHORT_RUN_MS, key=key
                )
                if call.result != IN_PROGRESS:
                    break
                self._stopped.wait(REPEAT_DELAY_S)

    def _call(self, pool, url, method, organisation, run_ms, service="wire", key=None):
        request_id = uuid.uuid4().hex
        headers = {
            "X-Organisation": organisation,
            "X-Request-Id": request_id,
            "X-Request-Class": "long" if service == "archive" else "short",
            "X-Standin-Run-Ms": str(run_ms),
        }
        if key is not None:
            headers |= {"Idempotency-Key": key, "X-Idempotent": "false"}
        try:
            answer = pool.request(method, f"{url}/{service}/item", headers=headers)
            result, run_state = read_result(answer, key is not None, request_id)
        except urllib3.exceptions.HTTPError as error:
            result, run_state = f"lost {type(error).__name__}", RunState.UNKNOWN
        call = Call(request_id, organisation, key, result, run_state)
        with self._lock:
            self.calls.append(call)
        return call


def read_result(answer, repeated, request_id):
    """Return the result and the run state that a response reports."""
    if "X-Refusal-Reason" in answer.headers:
        reason = answer.headers["X-Refusal-Reason"]
        return f"refused {reason}", answer.headers["X-Run-State"]
    if answer.status != 200:
        return f"status {answer.status}", RunState.RAN
    # A repeat gets the response to the first request, with that request's id.
    if not repeated and json.loads(answer.data)["request_id"] != request_id:
        return "lost to another request", RunState.UNKNOWN
    return "answered", RunState.RAN


def run_demo(seconds, quiet=False):
    """Run the demo with ``seconds`` of load; return a :class:`DemoReport`."""
    handler = configure_logs("ERROR")
    system = DemoSystem().start()
    report = DemoReport()
    try:
        run_scenario(system, seconds, report, quiet)
    finally:
        system.close()
        handler.pop_application()
    if not quiet:
        print_report(report)
    return report


def run_scenario(system, seconds, report, quiet):
    """Commit a manifest, start the load, commit again, drain and fill the report."""
    clock = Clock()
    print_progress = (lambda text: None) if quiet else typer.echo
    client = system.operator()
    values = system.manifest()
    first_commit = client.commit(values, 0)
    wait_for(clock, lambda: system.in_force(first_commit["seq"]), START_LIMIT_S)
    print_progress(f"The manifest is in force on {len(system.entries)} entry hosts.")
    load = LoadGenerator(system).start()
    try:
        clock.sleep(seconds / 4)
        values["organisations"][NEW_ORGANISATION] = {}
        second_commit = client.commit(values, first_commit["version"])
        report.commit_in_force_s = wait_for(
            clock, lambda: system.in_force(second_commit["seq"]), START_LIMIT_S
        )
        print_progress(f"Version 2 is in force after {report.commit_in_force_s:.2f} s.")
        client.drain(DRAINED_HOST, "demo")
        print_progress(f"Host {DRAINED_HOST} is draining under load.")
        clock.sleep(DRAIN_LIMIT_S)
        runs_at_drain_limit = sum(system.endpoints[DRAINED_HOST].runs.values())
        clock.sleep(seconds / 2)
    finally:
        load.close()
    runs_at_end = sum(system.endpoints[DRAINED_HOST].runs.values())
    report.work_after_drain = runs_at_end - runs_at_drain_limit
    fill_report(system, load.calls, report)


def wait_for(clock, condition, limit_s):
    """Wait for a condition, about ``limit_s`` at most; return the seconds waited."""
    start = clock.monotonic()
    while not condition() and clock.monotonic() - start < limit_s:
        clock.sleep(POLL_INTERVAL_S)
    return clock.monotonic() - start


def fill_report(system, calls, report):
    """Fill the report by comparing what callers were told with what endpoints ran."""
    runs = collections.Counter()
    for endpoint in system.endpoints.values():
        runs.update(endpoint.runs)
    report.calls = len(calls)
    results = collections.Counter((call.organisation, call.result) for call in calls)
    report.results = {organisation: {} for organisation in ORGANISATIONS}
    for (organisation, result), count in sorted(results.items()):
        report.results[organisation][result] = count
    report.lost = sum(call.result.startswith("lost") for call in calls)
    report.cut = sum(
        call.run_state == RunState.UNKNOWN
        and call.result.startswith("refused")
        and call.result != IN_PROGRESS
        for call in calls
    )
    keys = {call.key for call in calls if call.key is not None}
    report.doubled = sum(runs[key] > 1 for key in keys)
    report.false_not_run = sum(
        call.run_state == RunState.NOT_RUN and runs[call.request_id] > 0
        for call in calls
    )


def print_report(report):
    """Print the report as text."""
    for organisation, results in report.results.items():
        counts = ", ".join(f"{count} {result}" for result, count in results.items())
        typer.echo(f"  {organisation}: {counts}")
    typer.echo(
        f"{report.calls} requests: {report.lost} lost, {report.cut} cut, "
        f"{report.doubled} doubled, {report.false_not_run} wrongly refused as not run, "
        f"{report.work_after_drain} sent to the drained host after "
        f"{DRAIN_LIMIT_S:g} s."
    )
    typer.echo("passed" if report.passed else "FAILED")
