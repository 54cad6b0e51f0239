"""The result of a request replay: request records, slot samples and statistics."""

import math
from collections import defaultdict
from dataclasses import dataclass, field

from magnoliapier.reasons import RunState


@dataclass(slots=True)
class RequestRecord:
    """
    The outcome of one request.

    ``end`` is ``ok``, ``cancelled``, ``entry_lost``, ``repeat`` or the value of a
    RefusalReason, and ``run_state`` is the state that the caller was given. ``wait_s``
    is the time from the arrival to the last send, or to the end if nothing was sent.
    ``runs`` counts how often the request ran on an endpoint, leaving out repeats that a
    service deduplicates; ``sends`` counts all sends to endpoints.
    """

    request_id: str
    entry: str
    service: str
    organisation: str
    kind: str
    work_class: str
    idempotent: bool
    key: str | None
    arrived: float
    run_s: float
    deadline_s: float
    ended: float | None = None
    end: str = ""
    run_state: RunState = RunState.NOT_RUN
    wait_s: float = 0.0
    runs: int = 0
    sends: int = 0
    retry_after_s: int | None = None
    endpoints: list = field(default_factory=list)


@dataclass(slots=True)
class ServiceSample:
    """Slots of one service at ``t``, in total and in use, and its queued requests."""

    t: float
    service: str
    slots: int
    running: int
    queued: int


@dataclass
class RequestReport:
    """
    The result of a replay: a record for each request, in order of arrival.

    ``late_sends`` lists (time, request_id, host) of each send to a host that began to
    drain more than DRAIN_LIMIT_S earlier.
    """

    name: str
    duration_s: float
    records: list = field(default_factory=list)
    samples: list = field(default_factory=list)
    late_sends: list = field(default_factory=list)

    def waits(
        self,
        work_class=None,
        organisation=None,
        ends=("ok",),
        longest_run_s=math.inf,
        start=0.0,
    ):
        """
        Return the sorted waits in seconds of the records that match.

        ``ends`` None matches every end; ``longest_run_s`` limits the actual run time.
        """
        return sorted(
            record.wait_s
            for record in self.records
            if (work_class is None or record.work_class == work_class)
            and (organisation is None or record.organisation == organisation)
            and (ends is None or record.end in ends)
            and record.run_s <= longest_run_s
            and record.arrived >= start
        )

    def goodput_s(self, organisation=None, start=0.0, end=math.inf):
        """Return the slot-seconds of requests answered in time, selected by arrival."""
        return sum(
            record.run_s
            for record in self.records
            if record.end == "ok"
            and (organisation is None or record.organisation == organisation)
            and start <= record.arrived < end
        )

    def slot_use(self, service=None, start=0.0, end=math.inf):
        """Return the mean share of slots in use while requests wait, or None."""
        chosen = [
            sample
            for sample in self.samples
            if start <= sample.t < end
            and sample.queued > 0
            and service in (None, sample.service)
        ]
        slots = sum(sample.slots for sample in chosen)
        return sum(sample.running for sample in chosen) / slots if slots else None

    @property
    def double_runs(self):
        """The number of non-idempotent requests or keys that ran more than once."""
        runs = defaultdict(int)
        for record in self.records:
            if not record.idempotent:
                key = record.key or f"\0{record.request_id}"
                runs[(record.service, record.organisation, key)] += record.runs
        return sum(count > 1 for count in runs.values())

    @property
    def false_not_run(self):
        """The number of requests refused as "not run" that ran."""
        return sum(
            record.end not in ("ok", "repeat")
            and record.run_state is RunState.NOT_RUN
            and record.runs > 0
            for record in self.records
        )

    @property
    def repeated_endpoints(self):
        """The number of requests that were sent to one endpoint more than once."""
        return sum(
            len(set(record.endpoints)) < len(record.endpoints)
            for record in self.records
        )
