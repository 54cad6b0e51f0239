"""
Define the records of the request path and the interface between decisions and I/O.

Times are in seconds, as read from the injected clock's ``monotonic`` method. Run times
and other durations are in seconds too.
"""

import enum
from dataclasses import dataclass, field
from typing import Protocol

from magnoliapier.reasons import RefusalReason, RetryReason, RunState


class WorkClass(enum.StrEnum):
    """The class of a request, declared by its caller and corrected by measured runs."""

    SHORT = "short"
    LONG = "long"


@dataclass(slots=True)
class RequestEntry:
    """
    One request from its arrival to its end.

    ``kind`` is the declared class and the first path segment; run times are learned
    for each kind. ``excluded`` holds the names of endpoints that this request must not
    be sent to again. ``payload`` belongs to the I/O side; decisions do not read it.
    """

    request_id: str
    service: str
    organisation: str
    kind: str
    declared_class: WorkClass
    idempotent: bool
    arrived: float
    deadline: float
    body_bytes: int = 0
    declared_s: float | None = None
    key: str | None = None
    work_class: WorkClass = WorkClass.SHORT
    estimate_s: float = 0.0
    started: float | None = None
    endpoint: str | None = None
    attempts: int = 0
    excluded: set = field(default_factory=set)
    cancelled: bool = False
    payload: object = None


@dataclass(slots=True)
class EndpointEntry:
    """
    One endpoint of a service as this entry host sees it.

    ``slots`` is the number of requests the endpoint runs at once, ``share`` the number
    of its slots that this entry host may use now, and ``in_flight`` the number that it
    uses. A ``leaving`` endpoint gets no new work.
    """

    name: str
    service: str
    host: str
    data_centre: str
    address: str
    slots: int
    share: int = 0
    in_flight: int = 0
    leaving: bool = False
    ejected: bool = False


@dataclass(frozen=True, slots=True)
class Dispatch:
    """The decision to send a request to an endpoint now."""

    request: RequestEntry
    endpoint: EndpointEntry


@dataclass(frozen=True, slots=True)
class Refusal:
    """The decision to refuse a request, and whether it may have run."""

    request: RequestEntry
    reason: RefusalReason
    run_state: RunState
    retry_after_s: int | None = None


class SendOutcome(enum.StrEnum):
    """The outcome of one send to an endpoint."""

    OK = "ok"
    FAILED = "failed"
    BUSY = "busy"
    DRAINING = "draining"
    CONNECT_FAILED = "connect_failed"
    TIMEOUT = "timeout"
    SILENT = "silent"
    RESET = "reset"
    INCOMPLETE = "incomplete"
    CALLER_GONE = "caller_gone"


@dataclass(frozen=True, slots=True)
class SendResult:
    """
    The result of one send, reported by the I/O side.

    ``run_state`` is NOT_RUN only if no byte was sent or the endpoint said so. The
    outcome is OK for every complete response with a status below 500, and FAILED for a
    complete 5xx response that does not say that the endpoint is busy or draining.
    ``fresh`` tells whether the connection was new.
    """

    outcome: SendOutcome
    run_state: RunState
    fresh: bool = True


@dataclass(frozen=True, slots=True)
class Retry:
    """The decision to queue a request again, to be sent to another endpoint."""

    request: RequestEntry
    reason: RetryReason


@dataclass(frozen=True, slots=True)
class PeerDemand:
    """
    The demand for one service that another entry host reported.

    ``age_s`` is the number of seconds since the report was received.
    """

    name: str
    data_centre: str
    queued: int
    in_flight: int
    age_s: float


class RequestDecisions(Protocol):
    """
    The decisions of the request path, implemented by ``dispatcher.Dispatcher``.

    The I/O side holds the dispatcher's lock when it calls a method. Every method
    except :meth:`demand` returns a list of :class:`Dispatch`, :class:`Refusal` and
    :class:`Retry`, which the I/O side carries out in order. A Retry is only for logs
    and counters, because its request is queued already.
    """

    def arrive(self, request: RequestEntry) -> list:
        """Admit a request or refuse it."""

    def cancel(self, request_id: str) -> list:
        """Record that the caller disconnected; drop the request if it is queued."""

    def complete(self, request: RequestEntry, result: SendResult) -> list:
        """Record that a send ended; retry or refuse the request, and start others."""

    def tick(self) -> list:
        """Drop requests whose deadline has passed, resume endpoints, start requests."""

    def set_fleet(self, manifest, endpoints: list) -> list:
        """Replace services, organisations and endpoints (a list of EndpointEntry)."""

    def set_peers(self, demand: dict) -> list:
        """Replace the peers' demand, a dict from service to a list of PeerDemand."""

    def mark_leaving(self, host: str) -> list:
        """Stop new work for all endpoints of a host."""

    def demand(self) -> dict:
        """Return a dict from service to (queued, in_flight)."""
