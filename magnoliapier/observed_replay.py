"""
Records observations of the request and fleet drivers for the outcome checks.

The classes extend the drivers where an event takes place (a request is sent, an
endpoint runs it, a log entry is applied). They change no decision.
"""

from magnoliapier.fleet_replay import MINUTE_S, FleetReplay
from magnoliapier.fleet_state import HostState
from magnoliapier.outcomes.observations import Observation, ReplayReport
from magnoliapier.planner_tables import hosts_required
from magnoliapier.request_replay.driver import RequestReplay
from magnoliapier.traces import Fault

CANCELLED = "cancelled"
# Ends with which the caller gets an endpoint's answer; apart from CANCELLED, all other
# ends are refusals.
ANSWERED = frozenset({"ok", "repeat"})


def arrival_fields(arrival):
    """Return the fields of the observation of an arrival."""
    return {
        name: getattr(arrival, name)
        for name in (
            "request_id",
            "entry",
            "organisation",
            "service",
            "work_class",
            "idempotent",
            "key",
            "run_s",
            "deadline_s",
        )
    }


class ObservedRequestReplay(RequestReplay):
    """The request driver that also records a list of :class:`Observation`."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.observations = []
        self._ejected = {}
        # The decisions of an entry host keep their own copies of the endpoints. Each
        # Dispatch refers to a copy; it is kept here to read its ejection state.
        self._views = {}

    def observe(self, kind, **fields):
        """Record an observation at the current time."""
        self.observations.append(Observation(self.now, kind, fields))

    def _arrive(self, arrival):
        self.observe("arrival", **arrival_fields(arrival))
        super()._arrive(arrival)

    def _cancel(self, request_id):
        if self._records[request_id].ended is None:
            self.observe("cancel", request_id=request_id)
        super()._cancel(request_id)

    def _end_request(self, request_id, end, run_state):
        was_open = self._records[request_id].ended is None
        super()._end_request(request_id, end, run_state)
        if not was_open:
            return
        refused = end not in ANSWERED and end != CANCELLED
        self.observe(
            "answer",
            request_id=request_id,
            outcome="ok" if end in ANSWERED else "refused" if refused else end,
            reason=end if refused else None,
            run_state=run_state.value,
        )

    def _send(self, entry, dispatch):
        self._views[entry.name, dispatch.endpoint.name] = dispatch.endpoint
        self.observe(
            "send",
            request_id=dispatch.request.request_id,
            entry=entry.name,
            host=dispatch.endpoint.host,
            pool=self._pools[dispatch.endpoint.host],
        )
        super()._send(entry, dispatch)

    def _run_request(self, send, request):
        record = self._records[request.request_id]
        runs_before, now = record.runs, self.now
        slots_before = send.endpoint.slots_in_use(now)
        super()._run_request(send, request)
        if record.runs == runs_before:
            return
        until = now
        if send.endpoint.slots_in_use(now) > slots_before:
            delays_s = self.fault_values("endpoint_slow", send.endpoint)
            until += request.payload.run_s + sum(delays_s)
        self.observe(
            "run",
            request_id=request.request_id,
            host=send.endpoint.host,
            pool=self._pools[send.endpoint.host],
            until=until,
        )

    def _tick(self, entry, incarnation):
        super()._tick(entry, incarnation)
        self._observe_ejections(entry)

    def _observe_ejections(self, entry):
        counts = {}
        for service, name in self._endpoints:
            ejected, total = counts.get(service, (0, 0))
            view = self._views.get((entry.name, f"{name}/{service}"))
            counts[service] = (ejected + bool(view and view.ejected), total + 1)
        for service, (ejected, total) in counts.items():
            if ejected != self._ejected.get((entry.name, service), 0):
                self._ejected[(entry.name, service)] = ejected
                self.observe(
                    "eject",
                    entry=entry.name,
                    service=service,
                    ejected=ejected,
                    endpoints=total,
                )

    def _drain(self, drain):
        self.observe("leaving", host=drain.host, source="drain")
        super()._drain(drain)

    def _return_host(self, drain):
        self.observe("back", host=drain.host)
        super()._return_host(drain)


def observe_requests(header, events, factory, seed):
    """Replay a request trace and return a :class:`ReplayReport`."""
    replay = ObservedRequestReplay(header, events, factory, seed)
    report = replay.run()
    figures = {
        "requests": len(report.records),
        "double_runs": report.double_runs,
        "false_not_run": report.false_not_run,
        "late_sends": len(report.late_sends),
    }
    return ReplayReport(header.name, replay.observations, figures)


class ObservedFleetReplay(FleetReplay):
    """The fleet driver that also records a list of :class:`Observation`."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.observations = []
        self._done_by_wave = {}

    def observe(self, kind, **fields):
        """Record an observation at the current time."""
        self.observations.append(Observation(self.clock.time(), kind, fields))

    def _append(self, kind, body, author="operator", epoch=None):
        now = self.clock.time()
        host = body.get("host")
        before = self.state.assignments.get(host)
        has_work = self._last_request_end(host) > now
        known_hosts = set(self.state.assignments)
        super()._append(kind, body, author, epoch)
        if kind == "manifest_commit":
            for name in sorted(set(self.state.assignments) - known_hosts):
                self._observe_assignment(name)
        if before is None:
            return
        if kind == "host_drain":
            self.observe(
                "run",
                request_id=f"drain/{host}",
                host=host,
                pool=before.pool,
                until=self._last_request_end(host),
            )
        if kind == "host_maintenance":
            self.observe("stop", host=host, in_flight=int(has_work))
        after = self.state.assignments[host]
        if after.pool != before.pool and author == "planner":
            self.observe("move", host=host, source=before.pool, target=after.pool)
        self._observe_assignment(host)

    def _observe_assignment(self, host):
        assignment = self.state.assignments[host]
        self.observe(
            "assign",
            host=host,
            pool=assignment.pool,
            state=assignment.state.value,
            epoch=assignment.epoch,
            view="log",
        )

    def _last_request_end(self, host):
        """
        Return when the last request to a draining host ends.

        Entry hosts in a data centre that is cut off are not informed of the drain and
        continue to send until the cut ends.
        """
        drain_end = self._drain_ends.get(host, 0.0)
        declared = self.state.manifest and self.state.manifest.hosts.get(host)
        if not declared or not self.cut_data_centres[declared.data_centre]:
            return drain_end
        assignment = self.state.assignments[host]
        if (
            assignment.state is not HostState.ASSIGNED
            and drain_end <= self.clock.time()
        ):
            return drain_end
        return max(drain_end, self._cut_end(declared.data_centre))

    def _cut_end(self, data_centre):
        now = self.clock.time()
        return max(
            (
                event.t + event.duration_s
                for event in self.events
                if isinstance(event, Fault)
                and event.kind == "data_centre_cut"
                and event.target == data_centre
                and event.t <= now
            ),
            default=0.0,
        )

    def _measure(self, now):
        missed_before = set(self._missed_minutes)
        sample_count = len(self.report.series)
        super()._measure(now)
        for sample in self.report.series[sample_count:]:
            self.observe(
                "budget",
                service=sample.pool,
                serving=sample.serving,
                required=sample.required,
                held=sample.held,
                demand=sample.demand,
            )
        for minute, pool in sorted(self._missed_minutes - missed_before):
            if minute == int(now // MINUTE_S):
                self._observe_budget_miss(pool, now)

    def _observe_budget_miss(self, pool, now):
        serving = sum(
            assignment.takes_work and self.platform.hosts.is_up(name)
            for name, assignment in self.state.assignments.items()
            if assignment.pool == pool
        )
        demand = self.demand.level(pool, now)
        required = hosts_required(self.state.manifest, pool, demand)
        self.observe("budget", service=pool, serving=serving, required=required)

    def _record_wave(self, now, body):
        super()._record_wave(now, body)
        wave = body["wave"]
        if wave is None:
            return
        # The planner keeps one wave for each pool: <maintenance>/<pool>.
        name, _, pool = body["name"].partition("/")
        self._done_by_wave[name, pool] = len(wave.get("done", ()))
        manifest = self.state.manifest
        declared = manifest.maintenance.get(name)
        pools = declared.pools if declared else ()
        # Hosts change pools during a wave, so the total is taken from the manifest.
        total = sum(host.pool in pools for host in manifest.hosts.values())
        self.observe(
            "wave",
            name=name,
            pool=pool,
            done=sum(
                n for (owner, _), n in self._done_by_wave.items() if owner == name
            ),
            failed=len(wave.get("failed", ())),
            total=total,
            state=wave.get("state", "running"),
            reason=wave.get("reason", ""),
        )


def observe_fleet(header, events, policy, seed):
    """Replay a fleet trace and return a :class:`ReplayReport`."""
    replay = ObservedFleetReplay(header, list(events), policy, seed)
    report = replay.run()
    for start in report.first_starts(urgent=True):
        fields = {"job": start.job, "wait_s": start.wait_s}
        replay.observations.append(Observation(start.t_start, "urgent", fields))
    for start in report.job_starts:
        fields = {"job": start.job, "host": start.host, "run": start.run}
        replay.observations.append(Observation(start.t_start, "job_start", fields))
    for end in report.job_ends:
        fields = {"job": end.job, "host": end.host, "outcome": end.outcome}
        replay.observations.append(Observation(end.t, "job_end", fields))
    figures = {
        "buffer_host_hours": report.buffer_host_hours,
        "moves": report.moves,
        "budget_misses": report.budget_misses,
        "double_runs": report.double_runs,
        "rejected_entries": report.rejected_entries,
    }
    return ReplayReport(header.name, replay.observations, figures)
