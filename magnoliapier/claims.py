"""
Claims: rows of the table service by which a non-idempotent request runs once.

A request with a key is sent only by the entry process that inserted the row for
its key. The row stays until that process knows that it never sent the request, or
until it is two days old, which is a day longer than any request may be sent under
it. Nobody takes over the claim of another process. docs/decisions/at-most-once.md
gives the reasons.
"""

import base64
import collections
import hashlib
import json
import threading
import time
import uuid
from dataclasses import dataclass, field, replace

import pykka

from magnoliapier.connections import Answer
from magnoliapier.exceptions import (
    ConflictError,
    PlatformError,
    StoreOutcomeUnknownError,
)
from magnoliapier.logs import get_logger
from magnoliapier.platform_api import Write
from magnoliapier.reasons import RefusalReason, RunState

log = get_logger(__name__)

CLAIM_PREFIX = "claim/"
EXPIRY_PREFIX = "claim-expiry/"
MAX_TRANSACTIONS_PER_S = 30
MAX_GROUP = 64
MAX_ROUNDS = 4
MAX_PENDING = 2000
MAX_ANSWER_BYTES = 32_768
# Answers that wait for the store hold at most this many times MAX_ANSWER_BYTES.
MAX_UNRECORDED = 256
MAX_NEVER_SENT = 10_000
CLAIM_VALID_S = 86_400.0
CLAIM_KEPT_S = 2 * CLAIM_VALID_S
EXPIRY_BUCKET_S = 60
# Buckets older than this were deleted by other entry hosts or stay in the table.
EXPIRY_LOOKBACK_S = 86_400.0
# After a failed call, claims are refused at once for this long, so that callers do
# not wait for the platform's timeout one group after the other.
STORE_PAUSE_S = 0.5
RECORD_RETRY_S = 1.0

ANSWER_NOT_KEPT = RefusalReason.ANSWER_NOT_KEPT
OUTCOME_UNKNOWN = RefusalReason.OUTCOME_UNKNOWN
FLUSH = "flush"
TICK = "tick"


@dataclass(eq=False, slots=True)
class Claim:
    """
    The claim of one request at this entry process.

    ``version`` is that of its row. A request may be sent while :meth:`sendable`.
    ``outcome`` is what a repeat gets while the row is not yet written.
    """

    key: str
    claim_id: str
    request: str
    valid_s: float
    made: float
    made_monotonic: float
    version: int = 0
    outcome: object = None

    def sendable(self, clock):
        """
        Return whether the request may still be sent.

        Both clocks are asked, because the monotonic one may stand still while a
        machine is suspended and the other one may be set back.
        """
        limit = min(self.valid_s, CLAIM_VALID_S)
        return (
            clock.monotonic() - self.made_monotonic < limit
            and clock.time() - self.made < limit
        )


@dataclass(frozen=True, slots=True)
class ClaimRefused:
    """The request must not be sent; what its caller is told."""

    reason: RefusalReason
    run_state: RunState


@dataclass(eq=False, slots=True)
class PendingWrite:
    """
    One row to write in the next group.

    ``written``, ``conflicted`` and ``failed`` are called with the new version, the
    current row, and nothing.
    """

    key: str
    value: dict | None
    expected: int
    written: object
    conflicted: object
    failed: object
    is_claim: bool = False

    def matches(self, row):
        """Return whether ``row`` shows that this write took effect."""
        if self.value is None or row is None:
            return self.value is None and row is None
        return row.value == self.value

    def may_repeat(self, row):
        """Return whether the row is as it was before the write."""
        return (row.version if row else 0) == self.expected


@dataclass(slots=True)
class SharedState:
    """What this process knows of claims, shared by its threads under ``lock``."""

    lock: object = field(default_factory=threading.Lock)
    pending: collections.deque = field(default_factory=collections.deque)
    live: dict = field(default_factory=dict)
    unrecorded: list = field(default_factory=list)
    never_sent: collections.OrderedDict = field(default_factory=collections.OrderedDict)
    flushing: bool = False
    store_paused_until: float = 0.0


class ClaimWriter(pykka.ThreadingActor):
    """
    Writes claims, answers and releases to the table in groups.

    One transaction is in flight at a time, and at most MAX_TRANSACTIONS_PER_S
    begin each second.
    """

    use_daemon_thread = True

    def __init__(self, table, shared, clock, metrics, name):
        super().__init__()
        self._table = table
        self._shared = shared
        self._clock = clock
        self._metrics = metrics
        self._name = name
        self._next_start = 0.0
        self._groups = 0
        self._expiry_bucket = None

    def on_receive(self, message):
        """Write a group, or do what is due by time."""
        # An exception would end the actor, and all later claims would wait.
        try:
            if message == FLUSH:
                self._flush()
            elif message == TICK:
                self._expire()
        except Exception as error:
            self._metrics.count("worker_errors_total")
            log.error("claim_writer_failed", error=repr(error))

    def _flush(self):
        self._wait_for_turn()
        shared = self._shared
        with shared.lock:
            count = min(len(shared.pending), MAX_GROUP)
            group = [shared.pending.popleft() for _ in range(count)]
        try:
            self._write(group)
        finally:
            with shared.lock:
                shared.flushing = bool(shared.pending)
                again = shared.flushing
            if again:
                self.actor_ref.tell(FLUSH)

    def _wait_for_turn(self):
        now = self._clock.monotonic()
        if now < self._next_start:
            self._clock.sleep(self._next_start - now)
        self._next_start = self._clock.monotonic() + 1 / MAX_TRANSACTIONS_PER_S

    def _write(self, group):
        for attempt in range(MAX_ROUNDS):
            if not group:
                return
            if attempt:
                self._wait_for_turn()
            try:
                group = self._try(group)
            except Exception as error:
                group += self._pause_store(error)
                break
        for item in group:
            self._tell(item.failed)

    def _try(self, group):
        """Write a group once; return the writes that have to be repeated."""
        self._metrics.count("claim_transactions_total")
        try:
            versions = self._table.transact(self._writes(group))
        except ConflictError as error:
            return self._sort(group, error.rows, all_rows=False)
        except StoreOutcomeUnknownError:
            self._metrics.count("claim_answers_lost_total")
            rows = self._table.read([item.key for item in group])
            return self._sort(group, rows, all_rows=True)
        for item in group:
            self._tell(item.written, versions.get(item.key, 0))
        return []

    def _sort(self, group, rows, all_rows):
        """Settle the writes that rows tell about; return the others."""
        repeated = []
        for item in group:
            if not all_rows and item.key not in rows:
                repeated.append(item)
                continue
            row = rows.get(item.key)
            if item.matches(row):
                self._tell(item.written, row.version if row else 0)
            elif item.may_repeat(row):
                repeated.append(item)
            else:
                self._tell(item.conflicted, row)
        return repeated

    def _writes(self, group):
        writes = [Write(item.key, item.value, item.expected) for item in group]
        keys = [item.key for item in group if item.is_claim]
        if keys:
            self._groups += 1
            bucket = expiry_bucket(self._clock.time())
            name = f"{EXPIRY_PREFIX}{bucket:010d}/{self._name}-{self._groups}"
            writes.append(Write(name, {"keys": keys}))
        return writes

    def _tell(self, callback, *arguments):
        """Tell the outcome of a write; one failure must not affect the others."""
        try:
            callback(*arguments)
        except Exception as error:
            self._metrics.count("worker_errors_total")
            log.error("claim_callback_failed", error=repr(error))

    def _pause_store(self, error):
        """Note a failed call; return what waits, which would only fail later."""
        log.warning("claims_store_failed", error=error)
        self._metrics.count("claim_store_failures_total")
        with self._shared.lock:
            until = self._clock.monotonic() + STORE_PAUSE_S
            self._shared.store_paused_until = until
            waiting = list(self._shared.pending)
            self._shared.pending.clear()
        return waiting

    def _expire(self):
        """Delete one bucket of claims that nobody can send under any more."""
        now = self._clock.time()
        if self._expiry_bucket is None:
            start = now - CLAIM_KEPT_S - EXPIRY_LOOKBACK_S
            self._expiry_bucket = expiry_bucket(max(start, 0))
        if (self._expiry_bucket + 1) * EXPIRY_BUCKET_S > now - CLAIM_KEPT_S:
            return
        try:
            for row in self._table.scan(f"{EXPIRY_PREFIX}{self._expiry_bucket:010d}/"):
                self._expire_group(row, now)
        except PlatformError as error:
            log.warning("claims_expiry_failed", error=error)
            return
        self._expiry_bucket += 1

    def _expire_group(self, group, now):
        # A key that was released and claimed again has a younger row.
        old = [
            row
            for row in self._table.read(group.value["keys"]).values()
            if row.value["made"] <= now - CLAIM_KEPT_S
        ]
        writes = [Write(row.key, None, row.version) for row in old]
        self._wait_for_turn()
        self._table.transact([*writes, Write(group.key, None)])
        self._metrics.count("claims_expired_total", len(old))


class Claims:
    """
    Claims of this entry process; all methods return at once.

    Example::

        claims.claim(entry, digest, 5.0, done)  # done(Claim), done(Answer) or
                                                # done(ClaimRefused)
        claims.record(claim, answer)            # it ran, or may have
        claims.release(claim)                   # it was certainly not sent
    """

    def __init__(self, table, clock, metrics, name, incarnation):
        self._clock = clock
        self._metrics = metrics
        self._name = name
        self._incarnation = incarnation
        self._shared = SharedState()
        self._writer = ClaimWriter.start(
            table, self._shared, clock, metrics, f"{name}-{incarnation:x}"
        )
        self._retry_at = 0.0

    @property
    def idle(self):
        """Whether everything to write has been written."""
        with self._shared.lock:
            shared = self._shared
            return not (shared.flushing or shared.pending or shared.unrecorded)

    def close(self):
        """End the writer; what is pending then stays unwritten."""
        self._writer.stop()

    def tick(self):
        """Repeat records that failed and delete old claims."""
        if self._clock.monotonic() >= self._retry_at:
            self._retry_at = self._clock.monotonic() + RECORD_RETRY_S
            with self._shared.lock:
                waiting, self._shared.unrecorded = self._shared.unrecorded, []
            for item in waiting:
                self._submit(item)
            self._writer.tell(TICK)

    def claim(self, entry, request, valid_s, done):
        """
        Claim the key of ``entry`` for a request with the digest ``request``.

        ``done`` is called once, possibly in another thread.
        """
        key = claim_key(entry.service, entry.organisation, entry.key)
        shared = self._shared
        now = self._clock.monotonic()
        claim = Claim(key, uuid.uuid4().hex, request, valid_s, self._clock.time(), now)
        with shared.lock:
            other = shared.live.get(key)
            away = now < shared.store_paused_until or len(shared.pending) > MAX_PENDING
            if other is None and not away:
                shared.live[key] = claim
        if other is not None:
            done(repeat_of(other, claim))
        elif away:
            done(UNAVAILABLE)
        else:
            self._insert(claim, 0, done)

    def record(self, claim, answer=None, ran=False):
        """
        Keep the first answer for repeats, or that the outcome is unknown.

        With ``ran`` and without an answer, repeats learn that it ran.
        """
        value = self._row(claim)
        value["state"] = "ran" if ran or answer else "unknown"
        if answer is not None:
            claim.outcome = replace(answer, reserved_bytes=0)
        elif ran:
            claim.outcome = ClaimRefused(ANSWER_NOT_KEPT, RunState.UNKNOWN)
        else:
            claim.outcome = ClaimRefused(OUTCOME_UNKNOWN, RunState.UNKNOWN)
        if answer is not None:
            kept = pack_answer(answer)
            if kept is not None:
                value.update(state="answered", answer=kept)
        self._update(claim, value)

    def release(self, claim):
        """Delete the claim of a request that was not sent and will not be."""
        self._remember_never_sent(claim)
        self._update(claim, None)

    def _insert(self, claim, expected, done):
        def written(version):
            claim.version = version
            done(claim)

        def conflicted(row):
            self._forget(claim)
            if row is not None and self._was_never_sent(row):
                with self._shared.lock:
                    taken = self._shared.live.setdefault(claim.key, claim) is claim
                if taken:
                    self._insert(claim, row.version, done)
                    return
            done(self._repeat(row, claim))

        def failed():
            self._remember_never_sent(claim)
            self._forget(claim)
            done(UNAVAILABLE)

        value = self._row(claim)
        self._submit(
            PendingWrite(
                claim.key, value, expected, written, conflicted, failed, is_claim=True
            )
        )

    def _update(self, claim, value):
        def finished(_):
            self._forget(claim)

        def failed():
            with self._shared.lock:
                if len(self._shared.unrecorded) < MAX_UNRECORDED:
                    self._shared.unrecorded.append(item)
                    return
            self._metrics.count("claims_unrecorded_total")
            self._forget(claim)

        item = PendingWrite(claim.key, value, claim.version, finished, finished, failed)
        self._submit(item)

    def _submit(self, item):
        shared = self._shared
        with shared.lock:
            shared.pending.append(item)
            start = not shared.flushing
            shared.flushing = True
        if start:
            self._writer.tell(FLUSH)

    def _forget(self, claim):
        with self._shared.lock:
            if self._shared.live.get(claim.key) is claim:
                del self._shared.live[claim.key]

    def _remember_never_sent(self, claim):
        """
        Note an id whose row may exist although its request was never sent.

        A repeat at this process may then take the row over.
        """
        with self._shared.lock:
            self._shared.never_sent[claim.claim_id] = None
            if len(self._shared.never_sent) > MAX_NEVER_SENT:
                self._shared.never_sent.popitem(last=False)

    def _was_never_sent(self, row):
        with self._shared.lock:
            return row.value["id"] in self._shared.never_sent

    def _row(self, claim):
        return {
            "id": claim.claim_id,
            "holder": self._name,
            "incarnation": self._incarnation,
            "request": claim.request,
            "made": claim.made,
            "until": claim.made + claim.valid_s,
            "state": "claimed",
        }

    def _repeat(self, row, claim):
        """Return what the caller of a repeat gets for the row of the first request."""
        if row is None:
            return UNAVAILABLE
        value = row.value
        self._metrics.count("claim_repeats_total", state=value["state"])
        if value["request"] != claim.request:
            return KEY_REUSED
        if value["state"] == "answered":
            return unpack_answer(value["answer"])
        if value["state"] == "ran":
            return ClaimRefused(ANSWER_NOT_KEPT, RunState.UNKNOWN)
        restarted = (
            value["holder"] == self._name and value["incarnation"] != self._incarnation
        )
        running = value["state"] == "claimed" and value["until"] > self._clock.time()
        if running and not restarted:
            return ClaimRefused(RefusalReason.IN_PROGRESS, RunState.UNKNOWN)
        return ClaimRefused(OUTCOME_UNKNOWN, RunState.UNKNOWN)


UNAVAILABLE = ClaimRefused(RefusalReason.CLAIMS_UNAVAILABLE, RunState.NOT_RUN)
KEY_REUSED = ClaimRefused(RefusalReason.KEY_REUSED, RunState.NOT_RUN)


def repeat_of(first, claim):
    """Return what a repeat gets while this process holds the first claim."""
    if first.request != claim.request:
        return KEY_REUSED
    return first.outcome or ClaimRefused(RefusalReason.IN_PROGRESS, RunState.UNKNOWN)


def claim_key(service, organisation, key):
    """Return the row key for a caller's Idempotency-Key."""
    text = json.dumps([service, organisation, key])
    return CLAIM_PREFIX + hashlib.sha256(text.encode()).hexdigest()


def request_digest(method, target, body):
    """Return the digest by which a repeat is told from another request."""
    head = json.dumps([method, target]).encode()
    return hashlib.sha256(head + b"\n" + body).hexdigest()


def expiry_bucket(instant):
    """Return the number of the minute in which claims are listed for deletion."""
    return int(instant // EXPIRY_BUCKET_S)


def pack_answer(answer):
    """Return an answer as JSON for its row, or None if it is too large."""
    headers = [list(pair) for pair in answer.headers]
    size = len(answer.body) + sum(len(n) + len(v) for n, v in answer.headers)
    if size > MAX_ANSWER_BYTES:
        return None
    return {
        "status": answer.status,
        "phrase": answer.phrase,
        "headers": headers,
        "body": base64.b64encode(answer.body).decode(),
    }


def unpack_answer(value):
    """Return the Answer of a row."""
    return Answer(
        value["status"],
        value["phrase"],
        [tuple(pair) for pair in value["headers"]],
        base64.b64decode(value["body"]),
    )


def new_incarnation():
    """Return a number that is higher for each start of a process."""
    return time.time_ns() // 1000
