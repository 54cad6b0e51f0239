"""Reasons for refusals and retries, and whether a refused request ran."""

import enum
from dataclasses import dataclass


class RunState(enum.StrEnum):
    """Whether a request ran on an endpoint, as far as the system knows."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class RefusalReason(enum.StrEnum):
    """Why a caller got a refusal instead of an endpoint's response."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ORGANISATION = "unknown_organisation"
    KEY_REQUIRED = "key_required"
    KEY_REUSED = "key_reused"
    BODY_TOO_LARGE = "body_too_large"
    NO_MANIFEST = "no_manifest"
    STALE_STATE = "stale_state"
    DRAINING = "draining"
    QUEUE_FULL = "queue_full"
    FAIR_SHARE = "fair_share"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    CALLER_GONE = "caller_gone"
    NO_ENDPOINT = "no_endpoint"
    MEMORY_LIMIT = "memory_limit"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_NOT_KEPT = "answer_not_kept"
    CONNECT_FAILED = "connect_failed"
    ENDPOINT_BUSY = "endpoint_busy"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_TIMEOUT = "endpoint_timeout"
    ANSWER_INCOMPLETE = "answer_incomplete"
    RETRY_BUDGET = "retry_budget"


class RetryReason(enum.StrEnum):
    """Why a request is sent to another endpoint."""

    CONNECT_FAILED = "connect_failed"
    ENDPOINT_BUSY = "endpoint_busy"
    ENDPOINT_DRAINING = "endpoint_draining"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_TIMEOUT = "endpoint_timeout"
    CONNECTION_SILENT = "connection_silent"
    CONNECTION_RESET = "connection_reset"
    ANSWER_INCOMPLETE = "answer_incomplete"


@dataclass(frozen=True)
class RefusalKind:
    """HTTP status, advice to the caller and default Retry-After of a refusal reason."""

    status: int
    remedy: str
    retry_after_s: int | None = None


REFUSALS = {
    RefusalReason.BAD_REQUEST: RefusalKind(400, "Correct the request."),
    RefusalReason.UNKNOWN_SERVICE: RefusalKind(404, "Use a service of the manifest."),
    RefusalReason.UNKNOWN_ORGANISATION: RefusalKind(
        403, "Send X-Organisation with an organisation of the manifest."
    ),
    RefusalReason.KEY_REQUIRED: RefusalKind(
        400, "Send an Idempotency-Key with a non-idempotent request."
    ),
    RefusalReason.KEY_REUSED: RefusalKind(
        422, "Use a new Idempotency-Key for a different request."
    ),
    RefusalReason.BODY_TOO_LARGE: RefusalKind(413, "Send a smaller body."),
    RefusalReason.NO_MANIFEST: RefusalKind(503, "Try again or another host.", 2),
    RefusalReason.STALE_STATE: RefusalKind(503, "Try again or another host.", 1),
    RefusalReason.DRAINING: RefusalKind(503, "Try another entry host.", 1),
    RefusalReason.QUEUE_FULL: RefusalKind(503, "Try again later.", 2),
    RefusalReason.FAIR_SHARE: RefusalKind(429, "Send fewer requests at once.", 2),
    RefusalReason.DEADLINE_UNREACHABLE: RefusalKind(
        503, "Try again later or allow a longer deadline.", 2
    ),
    RefusalReason.DEADLINE_PASSED: RefusalKind(504, "Allow a longer deadline."),
    RefusalReason.CALLER_GONE: RefusalKind(499, "Keep the connection open."),
    RefusalReason.NO_ENDPOINT: RefusalKind(503, "Try again later.", 2),
    RefusalReason.MEMORY_LIMIT: RefusalKind(503, "Try again later.", 1),
    RefusalReason.CLAIMS_UNAVAILABLE: RefusalKind(
        503, "Repeat the request with the same Idempotency-Key later.", 5
    ),
    RefusalReason.IN_PROGRESS: RefusalKind(
        409, "Repeat with the same Idempotency-Key to get the first answer.", 1
    ),
    RefusalReason.OUTCOME_UNKNOWN: RefusalKind(
        409, "Ask the service whether the request took effect."
    ),
    RefusalReason.ANSWER_NOT_KEPT: RefusalKind(
        409, "The request ran once; ask the service for its result."
    ),
    RefusalReason.CONNECT_FAILED: RefusalKind(502, "Try again.", 1),
    RefusalReason.ENDPOINT_BUSY: RefusalKind(503, "Try again later.", 1),
    RefusalReason.ENDPOINT_FAILED: RefusalKind(502, "Try again later.", 1),
    RefusalReason.ENDPOINT_TIMEOUT: RefusalKind(504, "Try again later.", 1),
    RefusalReason.ANSWER_INCOMPLETE: RefusalKind(502, "Try again later.", 1),
    RefusalReason.RETRY_BUDGET: RefusalKind(503, "Try again later.", 2),
}
