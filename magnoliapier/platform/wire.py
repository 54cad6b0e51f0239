"""
The platform's messages, decoded once into the product's types.

Field names are the product's; ``name=`` gives the platform's where it differs.
"""

import msgspec
from msgspec import field

from magnoliapier.exceptions import MessageError
from magnoliapier.placement.endpoint import EndpointRecord
from magnoliapier.pools.hosts import Host, HostState, Wave
from magnoliapier.service.orders import Inspection, ListedRun, RunEnd
from magnoliapier.submissions.configuration import Configuration, Queue, Service
from magnoliapier.submissions.model import Resources, Step, Submission

ENDPOINT_HEADER = "X-Magnoliapier-Target-Instance"
HOLDER_HEADER = "X-Magnoliapier-Lease-Holder"
TOKEN_HEADER = "X-Magnoliapier-Fencing-Token"

OPERATOR_TABLE = "op"
SERVERS_TABLE = "servers"
STATUS_TABLE = "status"
CONFIG_KEY = "config"
WAVE_PREFIX = "wave/"

MAX_SPEC_BYTES = 4000
MAX_TASKS = 20_000  # of one submission, steps and occurrences together


class CapacityBody(msgspec.Struct, frozen=True):
    """Resources of a host."""

    cpu: int = 0  # thousandths of a core
    mem_mb: int = 0
    gpu: int = 0

    def resources(self):
        """Return the product's resources."""
        return Resources(self.cpu, self.mem_mb, self.gpu)


class StepBody(msgspec.Struct):
    """One step of a submission."""

    task_count: int = field(name="count", default=0)
    cpu: int = 0  # thousandths of a core
    mem_mb: int = 0
    gpu: int = 0
    estimated_ms: float = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_endpoint: int = field(name="max_per_server", default=0)
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    # A latency target of the step's own users, not a deadline of the step.
    latency_target_ms: int = field(name="target_ms", default=0)
    fills: bool = False
    may_miss: int = 0

    def step(self):
        """Return the product's step."""
        return Step(
            task_count=self.task_count,
            resources=Resources(self.cpu, self.mem_mb, self.gpu),
            estimated_ms=int(self.estimated_ms),
            after=self.after,
            checkpointing=self.checkpointing,
            gang=self.gang,
            same_rack=self.same_rack,
            required_label=self.required_label,
            data_rack=self.data_rack,
            max_per_endpoint=self.max_per_endpoint,
            speculative=self.speculative,
            long_running=self.long_running,
            image=self.image,
            latency_target_ms=self.latency_target_ms,
            fills=self.fills,
            may_miss=self.may_miss,
        )


class SubmissionBody(msgspec.Struct):
    """The body of a submission."""

    spec: str
    steps: tuple[StepBody, ...]
    repeat_count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0

    def submission(self, submission_id, queue, accepted_ms):
        """Return the product's submission; raise MessageError for a bad one."""
        self._check()
        return Submission(
            submission_id=submission_id,
            queue=queue,
            spec=self.spec,
            steps=tuple(step.step() for step in self.steps),
            accepted_ms=accepted_ms,
            repeat_count=self.repeat_count,
            start_at_ms=self.start_at_ms,
            interval_ms=self.interval_ms,
        )

    def _check(self):
        if len(self.spec.encode()) > MAX_SPEC_BYTES:
            raise MessageError(f"Shorten spec to {MAX_SPEC_BYTES} bytes.")
        if not self.steps:
            raise MessageError("Give at least one step.")
        total = 0
        for index, step in enumerate(self.steps):
            if step.task_count < 1:
                raise MessageError(f"Give step {index} a count of at least 1.")
            if min(step.cpu, step.mem_mb, step.gpu, step.may_miss) < 0:
                raise MessageError(f"Give step {index} no negative number.")
            if any(not 0 <= i < index for i in step.after):
                raise MessageError(f"Let step {index} follow earlier steps only.")
            total += step.task_count
        if self.repeat_count < 0 or self.interval_ms < 0:
            raise MessageError("Give no negative repeat_count or interval_ms.")
        if total * max(1, self.repeat_count) > MAX_TASKS:
            raise MessageError(f"Split the submission: over {MAX_TASKS} tasks.")


class RouteBody(msgspec.Struct):
    """A route of the configuration: the product's queue."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_completion_ms: int = 0
    timeout_ms: int = 0
    advice: msgspec.Raw | None = None

    def queue(self):
        """Return the product's queue."""
        return Queue(
            name=self.name,
            host=self.host,
            path_prefix=self.path_prefix,
            service=self.service,
            priority=self.priority,
            max_attempts=self.max_attempts,
            stretch=self.stretch,
            target_ms=self.target_completion_ms,
            timeout_ms=self.timeout_ms,
            advised=self.advice is not None,
        )


class ServiceBody(msgspec.Struct):
    """A service of the configuration."""

    name: str
    rejects_overload: bool = True
    standby: bool = False


class LimitsBody(msgspec.Struct, frozen=True):
    """Limits on requests."""

    max_body_bytes: int = 262_144


class ConfigBody(msgspec.Struct):
    """The operator's configuration, always complete."""

    version: int
    routes: tuple[RouteBody, ...]
    services: tuple[ServiceBody, ...] = ()
    limits: LimitsBody = LimitsBody()

    def configuration(self):
        """Return the product's configuration."""
        return Configuration(
            version=self.version,
            queues=tuple(route.queue() for route in self.routes),
            services=tuple(
                Service(s.name, s.rejects_overload, s.standby) for s in self.services
            ),
            max_body_bytes=self.limits.max_body_bytes,
        )


class WaveBody(msgspec.Struct):
    """A wave of maintenance that the operator asks for."""

    wave: int
    machines: tuple[str, ...]
    duration_s: float = 0
    maximum: int = 1  # machines that may be down for the wave at once

    def maintenance_wave(self):
        """Return the product's wave."""
        return Wave(self.wave, self.machines, self.duration_s, max(1, self.maximum))


class ServerBody(msgspec.Struct):
    """
    What an endpoint writes of itself.

    The platform calls an endpoint a server or runner, and a host a machine.
    """

    service: str
    address: str
    zone: str
    state: str
    capacity: CapacityBody = CapacityBody()
    labels: tuple[str, ...] = ()
    machine: str = ""
    born: int = 0  # Unix ms at which this life of the endpoint began

    def record(self, endpoint_id):
        """Return the product's endpoint record."""
        if self.state not in ("ready", "draining"):
            raise MessageError(f"Unknown state {self.state!r}; ignore the row.")
        return EndpointRecord(
            endpoint_id=endpoint_id,
            service=self.service,
            address=self.address,
            data_centre=self.zone,
            draining=self.state == "draining",
            capacity=self.capacity.resources(),
            labels=self.labels,
            host=self.machine,
            started_ms=self.born,
        )


class MachineBody(msgspec.Struct):
    """An entry of the machine list: a host of the product."""

    machine: str
    pool: str
    state: str
    zone: str = ""
    labels: tuple[str, ...] = ()
    capacity: CapacityBody = CapacityBody()
    id: str | None = None  # of the endpoint that runs on the host now

    def host(self):
        """Return the product's host."""
        return Host(
            name=self.machine,
            service=self.pool,
            state=HostState(self.state),
            data_centre=self.zone,
            labels=self.labels,
            endpoint_id=self.id or "",
        )


class MachinePage(msgspec.Struct):
    """A page of the machine list."""

    machines: tuple[MachineBody, ...]
    next_page_token: str | None = None


class MoveBody(msgspec.Struct):
    """Move a host to another pool."""

    machine: str
    pool: str


class UpkeepBody(msgspec.Struct):
    """Take a host down for the maintenance of a wave."""

    machine: str
    wave: int


class ReasonBody(msgspec.Struct):
    """A refusal's reason, and the endpoint's clock where one refuses."""

    reason: str = ""
    clock_ms: int = 0


class ClockBody(msgspec.Struct):
    """The answer to an order."""

    clock_ms: int


class StartBody(msgspec.Struct, omit_defaults=True):
    """Start a run."""

    task: str
    run: int
    spec: str
    deadline_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


class StopBody(msgspec.Struct):
    """Stop a run."""

    task: str
    run: int
    fencing_token: int


class PaceBody(msgspec.Struct):
    """Let a run work at a share of its speed."""

    task: str
    run: int
    percent: int
    fencing_token: int


class HoldBody(msgspec.Struct, omit_defaults=True):
    """Extend the lease and look at the runs; without a deadline, only look."""

    fencing_token: int
    acked_through: int
    wait_ms: int = 0
    deadline_ms: int | None = None


class RunningRow(msgspec.Struct, array_like=True):
    """A running task."""

    task: str
    run: int
    saved: str  # the newest checkpoint
    percent: float
    reading: float = 0


class EndedRow(msgspec.Struct, array_like=True):
    """An ended run."""

    number: int
    task: str
    run: int
    how: str
    saved: str = ""


class LookBody(msgspec.Struct):
    """The answer to a hold."""

    clock_ms: int
    running: tuple[RunningRow, ...] = ()
    ended: tuple[EndedRow, ...] = ()
    born: int = 0

    def inspection(self):
        """Return the product's inspection."""
        return Inspection(
            self.clock_ms,
            [
                ListedRun(r.task, r.run, r.saved, int(r.percent), int(r.reading))
                for r in self.running
            ],
            [RunEnd(e.number, e.task, e.run, e.how, e.saved) for e in self.ended],
            self.born,
        )


class RowVersion(msgspec.Struct):
    """A condition of a transaction."""

    table: str
    part: str
    key: str
    ver: int


class RowPut(msgspec.Struct):
    """A write of a transaction; bytes travel as base64."""

    table: str
    part: str
    key: str
    value: bytes


class RowKey(msgspec.Struct):
    """A removal of a transaction."""

    table: str
    part: str
    key: str


class TransactionBody(msgspec.Struct, omit_defaults=True):
    """A transaction."""

    expected_rev: list[RowVersion] = []
    puts: list[RowPut] = []
    remove: list[RowKey] = []


class RowBody(msgspec.Struct):
    """A row as the store returns it; ``value`` is base64, and may be foreign."""

    table: str
    key: str
    part: str = ""
    value: str = ""
    ver: int = 0
    removed: bool = False


class RowsAnswer(msgspec.Struct):
    """Rows of a range, of a conflict or of the feed."""

    rows: list[RowBody] = []
    more_pages: bool = False
    ver: int = 0
    now_ms: int = 0


class PartsAnswer(msgspec.Struct):
    """The parts of a table."""

    parts: list[str] = []
    more_pages: bool = False
    ver: int = 0


class StateBody(msgspec.Struct):
    """The state of a submission, for callers."""

    state: str


class PendingBody(msgspec.Struct):
    """The number of accepted submissions that have not begun, for callers."""

    pending: int


class WaveStatusBody(msgspec.Struct):
    """How far a wave has come, for the operator."""

    state: str


class ErrorBody(msgspec.Struct):
    """A refusal, for callers."""

    error: str


_ENCODER = msgspec.json.Encoder()
_DECODERS = {}


def encode(body):
    """Return the JSON bytes of a message."""
    return _ENCODER.encode(body)


def decode(message_type, data):
    """Return a message of a type; raise MessageError if ``data`` is not one."""
    decoder = _DECODERS.get(message_type)
    if decoder is None:
        decoder = _DECODERS[message_type] = msgspec.json.Decoder(message_type)
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MessageError(f"Send a valid {message_type.__name__}: {error}") from error
