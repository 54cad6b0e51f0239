"""
The platform's messages, and their conversion to the product's types.

Fields are named as on the wire, or give the name on the wire with ``name=``. The
platform calls an endpoint a server or instance, a host a machine, a data centre a zone,
a queue a route, an organisation a tenant and the maintenance of a host its upkeep.
"""

from typing import Annotated

import msgspec
from msgspec import field

from magnoliapier.exceptions import MessageError
from magnoliapier.placement.endpoint import EndpointRecord
from magnoliapier.platform.addresses import (
    check_address,
    check_endpoint_id,
    shorten,
)
from magnoliapier.pools.hosts import Host, HostState, Wave
from magnoliapier.service.orders import Inspection, ListedRun, RunEnd
from magnoliapier.submissions.configuration import (
    Configuration,
    Organisation,
    Queue,
    RequestLimits,
    Service,
)
from magnoliapier.submissions.model import Resources, Step, Submission

ENDPOINT_HEADER = "X-Magnoliapier-Target-Instance"
HOLDER_HEADER = "X-Magnoliapier-Lease-Holder"
TOKEN_HEADER = "X-Magnoliapier-Fencing-Token"

OPERATOR_TABLE = "op"
SERVERS_TABLE = "servers"
STATUS_TABLE = "status"
CONFIG_KEY = "config"
WAVE_PREFIX = "wave/"

# Integers up to here are exact in every JSON reader, and fit the stored form.
MAX_NUMBER = 2**53
Whole = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Measure = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]

# A field of type Raw takes any JSON; a union of Raw and None takes nothing but null.
NO_VALUE = msgspec.Raw()

MAX_SPEC_BYTES = 4000
MAX_TASKS = 20_000  # of one submission, over all its steps and occurrences
MAX_LISTED_ENDS = 500  # in one answer of an endpoint


class CapacityBody(msgspec.Struct, frozen=True):
    """Resources of a host or endpoint."""

    cpu: Whole = 0  # millicores
    mem_mb: Whole = 0
    gpu: Whole = 0

    def resources(self):
        """Return the product's resources."""
        return Resources(self.cpu, self.mem_mb, self.gpu)


class StepBody(msgspec.Struct):
    """One step of a submission."""

    task_count: Whole = field(name="count", default=0)
    cpu: Whole = 0  # millicores
    mem_mb: Whole = 0
    gpu: Whole = 0
    estimated_ms: Measure = 0
    after: tuple[int, ...] = ()  # indexes of the steps that must be done first
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_endpoint: Whole = field(name="max_per_server", default=0)
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    # The latency that the step's own users should see, not a deadline of the step.
    latency_target_ms: Whole = field(name="target_ms", default=0)
    fills: bool = False  # best-effort: uses the CPU that other tasks leave idle
    may_miss: Whole = 0  # number of long-running tasks that may be unavailable at once

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
    repeat_count: Whole = 0
    start_at_ms: Whole = 0
    interval_ms: Whole = 0

    def submission(self, submission_id, queue, accepted_ms):
        """Return the product's submission; raise MessageError if it is invalid."""
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
    host: str  # as in the Host header of requests
    path_prefix: str
    service: str  # the pool whose endpoints run the tasks
    priority: Whole = 0
    max_attempts: Whole = 1
    # A submission should complete within ``stretch`` times the duration of its critical
    # path plus ``target_completion_ms``.
    stretch: Measure = 1.0
    target_completion_ms: Whole = 0
    timeout_ms: Whole = 0
    advice: msgspec.Raw = NO_VALUE  # only its presence is read
    public: bool = False  # calls need no key

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
            advised=bytes(self.advice) not in (b"", b"null"),
            public=self.public,
        )


class ServiceBody(msgspec.Struct):
    """A service of the configuration: a pool of hosts."""

    name: str
    rejects_overload: bool = True
    standby: bool = False  # the hosts of the pool are off and cost nothing


class LimitsBody(msgspec.Struct, frozen=True):
    """Limits on callers' requests."""

    max_body_bytes: Whole = 262_144
    max_header_bytes: Whole = 16_384
    header_timeout_ms: Whole = 3_000
    idle_timeout_ms: Whole = 15_000

    def request_limits(self):
        """
        Return the product's limits on heads and pauses.

        Zero or less stands for the default: with it no call could be answered.
        """
        values = {
            name: getattr(self, name)
            for name in RequestLimits.__struct_fields__
            if getattr(self, name) > 0
        }
        return RequestLimits(**values)


class TenantBody(msgspec.Struct):
    """A tenant of the configuration: the product's organisation."""

    name: str
    api_keys: tuple[str, ...] = ()
    weight: Measure = 1.0  # its share, and the submissions a second it is entitled to
    maximum: CapacityBody = CapacityBody()  # of all its runs; 0 for no limit

    def organisation(self):
        """Return the product's organisation."""
        return Organisation(
            self.name, self.api_keys, self.weight, self.maximum.resources()
        )


class ConfigBody(msgspec.Struct):
    """The operator's configuration, always complete."""

    version: Whole
    routes: tuple[RouteBody, ...]
    services: tuple[ServiceBody, ...] = ()
    limits: LimitsBody = LimitsBody()
    tenants: tuple[TenantBody, ...] = ()

    def configuration(self):
        """Return the product's configuration."""
        return Configuration(
            version=self.version,
            queues=tuple(route.queue() for route in self.routes),
            services=tuple(
                Service(s.name, s.rejects_overload, s.standby) for s in self.services
            ),
            max_body_bytes=self.limits.max_body_bytes,
            organisations=tuple(tenant.organisation() for tenant in self.tenants),
            request_limits=self.limits.request_limits(),
        )


class WaveBody(msgspec.Struct):
    """A wave of maintenance that the operator requests."""

    wave: Whole  # number of the wave
    machines: tuple[str, ...]
    duration_s: Measure = 0
    maximum: Whole = 1  # number of hosts that may be down for the wave at once

    def maintenance_wave(self):
        """Return the product's wave."""
        return Wave(self.wave, self.machines, self.duration_s, max(1, self.maximum))


class ServerBody(msgspec.Struct):
    """The row that an endpoint writes about itself."""

    service: str
    address: str
    zone: str  # its data centre
    state: str  # "ready" or "draining"
    capacity: CapacityBody = CapacityBody()
    labels: tuple[str, ...] = ()  # the first two are its kind and its rack
    machine: str = ""  # the host that it runs on
    born: Whole = 0  # Unix ms when this incarnation of the endpoint started
    drain_remaining_ms: Measure = 0  # minimum time before a draining endpoint leaves

    def record(self, endpoint_id):
        """Return the product's record; raise MessageError if it cannot be used."""
        if self.state not in ("ready", "draining"):
            raise MessageError(f"Unknown state {shorten(self.state)}; ignore the row.")
        check_endpoint_id(endpoint_id)
        check_address(self.address)
        capacity = self.capacity
        if capacity.cpu < 1 or capacity.mem_mb < 1 or capacity.gpu < 0:
            raise MessageError("Give a capacity of at least 1 for cpu and mem_mb.")
        return EndpointRecord(
            endpoint_id=endpoint_id,
            service=self.service,
            address=self.address,
            data_centre=self.zone,
            draining=self.state == "draining",
            capacity=capacity.resources(),
            labels=self.labels,
            host=self.machine,
            started_ms=self.born,
            leaves_in_s=self.drain_remaining_ms / 1000,
        )


class MachineBody(msgspec.Struct):
    """An entry of the platform's machine list: a host of the product."""

    machine: str  # name of the host
    pool: str  # name of the service
    state: str  # a HostState
    zone: str = ""  # its data centre
    labels: tuple[str, ...] = ()
    capacity: CapacityBody = CapacityBody()
    id: str | None = None  # id of the endpoint that runs on the host now

    def host(self):
        """Return the product's host; raise MessageError for an unknown state."""
        if self.state not in set(HostState):
            raise MessageError(f"Unknown state {shorten(self.state)} of a host.")
        return Host(
            name=self.machine,
            service=self.pool,
            state=HostState(self.state),
            data_centre=self.zone,
            labels=self.labels,
            endpoint_id=self.id or "",
            capacity=self.capacity.resources(),
        )


class MachineName(msgspec.Struct):
    """What remains to be read of an odd entry of the machine list."""

    machine: str  # name of the host


class MachinePage(msgspec.Struct):
    """
    A page of the machine list. The last page has no ``next_page_token``.

    Each entry is decoded as a ``MachineBody`` on its own, so that an odd one does not
    make the whole list unreadable.
    """

    machines: tuple[msgspec.Raw, ...]
    next_page_token: str | None = None


class MoveBody(msgspec.Struct):
    """The order to move a host to another pool."""

    machine: str  # name of the host
    pool: str  # name of the service


class UpkeepBody(msgspec.Struct):
    """The order to take a host down for its maintenance in a wave."""

    machine: str  # name of the host
    wave: Whole  # number of the wave


class ReasonBody(msgspec.Struct):
    """The reason for a refusal; ``clock_ms`` is set if an endpoint refused."""

    reason: str = ""
    clock_ms: Whole = 0


class ClockBody(msgspec.Struct):
    """An endpoint's response to an order: a reading of its clock."""

    clock_ms: Whole


class StartBody(msgspec.Struct, omit_defaults=True):
    """The order to start a run."""

    task: str
    run: Whole
    spec: str
    deadline_ms: Whole  # end of the endpoint's lease, on its clock
    fencing_token: Whole
    checkpoint: str = ""
    ticket: str = ""  # permission by the advice service


class StopBody(msgspec.Struct):
    """The order to stop a run."""

    task: str
    run: Whole
    fencing_token: Whole


class PaceBody(msgspec.Struct):
    """The order to throttle a run to ``percent`` of its full speed."""

    task: str
    run: Whole
    percent: Whole
    fencing_token: Whole


class HoldBody(msgspec.Struct, omit_defaults=True):
    """The order to list the runs and, with a deadline, to extend the lease."""

    fencing_token: Whole
    acked_through: Whole  # number of the last ended run that is stored
    wait_ms: Whole = 0  # how long the endpoint may hold back its response
    deadline_ms: Whole | None = None  # new end of the lease, on the endpoint's clock


class RunningRow(msgspec.Struct, array_like=True):
    """A running task; see ``service.orders.ListedRun``."""

    task: str
    run: Whole
    saved: str  # the newest checkpoint
    percent: Measure  # progress
    reading: Measure = 0  # tail latency in ms, or CPU in use in millicores


class EndedRow(msgspec.Struct, array_like=True):
    """An ended run."""

    number: Whole  # increases within one incarnation of the endpoint
    task: str
    run: Whole
    how: str  # an EndReason
    saved: str = ""  # the newest checkpoint


class HoldAnswer(msgspec.Struct):
    """An endpoint's response to a HoldBody."""

    clock_ms: Whole
    running: tuple[RunningRow, ...] = ()
    ended: tuple[EndedRow, ...] = ()  # those that are not acknowledged yet
    born: Whole = 0  # Unix ms when this incarnation of the endpoint started

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
            lists_all_ends=len(self.ended) < MAX_LISTED_ENDS,
        )


class RowVersion(msgspec.Struct):
    """A condition of a transaction: the version that a row must have."""

    table: str
    part: str
    key: str
    ver: Whole  # 0 if the row must not exist


class RowPut(msgspec.Struct):
    """A row that a transaction writes; ``value`` is sent as base64."""

    table: str
    part: str
    key: str
    value: bytes


class RowKey(msgspec.Struct):
    """A row that a transaction deletes."""

    table: str
    part: str
    key: str


class TransactionBody(msgspec.Struct, omit_defaults=True):
    """A transaction: its conditions, writes and deletions."""

    expected_rev: list[RowVersion] = []
    puts: list[RowPut] = []
    remove: list[RowKey] = []


class RowBody(msgspec.Struct):
    """
    A row as the store returns it.

    ``value`` should be base64. It is a string here so that a value that another program
    wrote in a wrong form does not make the whole response unreadable.
    """

    table: str
    key: str
    part: str = ""
    value: str = ""
    ver: Whole = 0  # version
    removed: bool = False


class RowsAnswer(msgspec.Struct):
    """
    The store's response with rows of a key range, of a conflict or of the feed.

    The response to a successful transaction has no rows.
    """

    rows: list[RowBody] = []
    more_pages: bool = False
    ver: Whole = 0  # version of the transaction, or version to follow changes from
    now_ms: Whole = 0  # reading of the table's monotonic clock, 0 for none


class PartsAnswer(msgspec.Struct):
    """The parts of a table."""

    parts: list[str] = []
    more_pages: bool = False
    ver: Whole = 0  # version to follow the table's changes from


class StateBody(msgspec.Struct):
    """The state of a submission, for callers."""

    state: str


class PendingBody(msgspec.Struct):
    """The number of accepted submissions that have not started, for callers."""

    pending: Whole


class WaveStatusBody(msgspec.Struct):
    """The state of a wave, for the operator: "running" or "completed"."""

    state: str


class ErrorBody(msgspec.Struct):
    """An error, for callers: what is wrong and what to do about it."""

    error: str


_ENCODER = msgspec.json.Encoder()
_DECODERS = {}


def encode(body):
    """Return the JSON bytes of a message."""
    return _ENCODER.encode(body)


def decode(message_type, data):
    """Decode JSON bytes as ``message_type``; raise MessageError if they are invalid."""
    decoder = _DECODERS.get(message_type)
    if decoder is None:
        decoder = _DECODERS[message_type] = msgspec.json.Decoder(message_type)
    try:
        return decoder.decode(data)
    # The decoder reads unknown fields too; deep ones exceed Python's recursion limit.
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MessageError(f"Send a valid {message_type.__name__}: {error}") from error
