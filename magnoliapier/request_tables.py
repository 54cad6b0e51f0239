"""
Tables of the request path, and the interface between decisions and I/O.

Times are seconds on the injected clock's ``monotonic`` reading; run times are
seconds as well.
"""

import enum
from dataclasses import dataclass, field
from typing import Protocol

from magnoliapier.reasons import RefusalReason, RetryReason, RunState


class WorkClass(enum.StrEnum):
    """The class of a request, declared by its caller and corrected by learning."""

    SHORT = "short"
    LONG = "long"


@dataclass(slots=True)
class RequestEntry:
    """
    One request from arrival to its end.

    ``kind`` is the class and first path segment, the key of learned run times.
    ``excluded`` names endpoints that this request must not be sent to again.
    ``payload`` belongs to the I/O side and is not read by decisions.
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

    ``share`` is the number of slots this entry host may use at present and
    ``in_flight`` how many it uses. ``leaving`` endpoints get no new work.
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
    """The decision to refuse a request, and what is known of its run."""

    request: RequestEntry
    reason: RefusalReason
    run_state: RunState
    retry_after_s: int | None = None


class SendOutcome(enum.StrEnum):
    """How one send to an endpoint ended."""

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
    What the I/O side reports of one send.

    ``run_state`` is NOT_RUN only if no byte left or the endpoint said so.
    ``OK`` covers every complete answer below 500 and those that the endpoint
    meant for the caller; ``FAILED`` is a complete 5xx answer. ``fresh`` tells
    whether the connection was new.
    """

    outcome: SendOutcome
    run_state: RunState
    fresh: bool = True


@dataclass(frozen=True, slots=True)
class Retry:
    """The decision to queue a request again for another endpoint."""

    request: RequestEntry
    reason: RetryReason


@dataclass(frozen=True, slots=True)
class PeerDemand:
    """
    What another entry host reports of one service.

    ``age_s`` is how long ago the report was received.
    """

    name: str
    data_centre: str
    queued: int
    in_flight: int
    age_s: float


class RequestDecisions(Protocol):
    """
    The decisions of the request path, implemented by ``dispatcher.Dispatcher``.

    Every method is called under the dispatcher's lock by the I/O side, and each
    returns the decisions that became possible, as a list of :class:`Dispatch`,
    :class:`Refusal` and :class:`Retry`; the I/O side carries them out in order.
    A Retry is for logs and counters: its request is queued already.
    """

    def arrive(self, request: RequestEntry) -> list:
        """Admit a request or refuse it."""

    def cancel(self, request_id: str) -> list:
        """Take note that the caller left; a queued request is dropped."""

    def complete(self, request: RequestEntry, result: SendResult) -> list:
        """Take note that a send ended; may retry or refuse it, and starts others."""

    def tick(self) -> list:
        """Drop requests past their deadline, probe ejected endpoints."""

    def set_fleet(self, manifest, endpoints: list) -> list:
        """Replace services, organisations and the list of EndpointEntry."""

    def set_peers(self, demand: dict) -> list:
        """Replace peers' demand: a dict from service to a list of PeerDemand."""

    def mark_leaving(self, host: str) -> list:
        """Stop new work for all endpoints of a host."""

    def demand(self) -> dict:
        """Return a dict from service to (queued, in_flight)."""
