"""Records the requests of an entry process as a trace for replay."""

import threading

from magnoliapier.manifest import make_patch
from magnoliapier.traces import (
    Arrival,
    Commit,
    Completion,
    Drain,
    Header,
    TraceRecorder,
)

DESCRIPTION = "Recorded by magnoliapier-entry."
# The end of a drain is not known when it is recorded; no recording lasts this long.
OPEN_DRAIN_S = 86_400.0


class RequestTrace:
    """
    Writes the requests and fleet changes of an entry process as trace events.

    Recording begins with the first manifest, which is written to the header. If the
    setting ``trace_file`` is empty, nothing is recorded and all methods do nothing.

    Example::

        trace = RequestTrace(settings, clock)
        trace.record_fleet_change(manifest, endpoints)
        trace.record_arrival(request)
        trace.record_completion(request, 0.25)
        trace.close()
    """

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._lock = threading.Lock()
        self._recorder = None
        if settings.trace_file:
            self._recorder = TraceRecorder(
                settings.trace_file, settings.trace_max_bytes, clock
            )
        self._manifest_values = None
        self._manifest_version = 0
        self._working_hosts = set()

    def record_fleet_change(self, manifest, endpoints):
        """
        Record a new manifest as a commit, and hosts that accept no more work as drains.

        Only hosts of this data centre are recorded as drains, because hosts of other
        data centres also come and go with grants.
        """
        if self._recorder is None or manifest is None:
            return
        with self._lock:
            self._record_manifest(manifest.model_dump(mode="json"))
            working_hosts = {
                endpoint.host
                for endpoint in endpoints
                if endpoint.data_centre == self._settings.data_centre
                and not endpoint.leaving
            }
            for host in sorted(self._working_hosts - working_hosts):
                if host in manifest.hosts:
                    self._recorder.record(Drain(0.0, host, duration_s=OPEN_DRAIN_S))
            self._working_hosts = working_hosts

    def record_arrival(self, request):
        """
        Record a request that is passed to the dispatcher.

        :meth:`record_completion` adds its run time.
        """
        if self._recorder is None:
            return
        self._recorder.record(
            Arrival(
                t=0.0,
                entry=self._settings.name,
                request_id=request.request_id,
                service=request.service,
                organisation=request.organisation,
                kind=request.kind,
                work_class=request.declared_class.value,
                run_s=0.0,
                deadline_s=max(request.deadline - request.arrived, 0.001),
                idempotent=request.idempotent,
                declared_s=request.declared_s,
                key=request.key,
                body_bytes=request.body_bytes,
            )
        )

    def record_completion(self, request, run_s):
        """Record the run time of a request at an endpoint, in seconds."""
        if self._recorder is not None:
            self._recorder.record(Completion(0.0, request.request_id, run_s))

    def close(self):
        """Close the trace file."""
        if self._recorder is not None:
            self._recorder.close()

    def _record_manifest(self, manifest_values):
        if self._manifest_values is None:
            entry_hosts = {self._settings.name: self._settings.data_centre}
            self._recorder.start(
                Header(
                    self._settings.name,
                    DESCRIPTION,
                    0.0,
                    entry_hosts,
                    manifest_values,
                    self._settings.seed,
                )
            )
        elif manifest_values != self._manifest_values:
            patch = make_patch(self._manifest_values, manifest_values)
            self._recorder.record(
                Commit(0.0, self._settings.name, self._manifest_version, patch)
            )
        else:
            return
        self._manifest_values = manifest_values
        self._manifest_version += 1
