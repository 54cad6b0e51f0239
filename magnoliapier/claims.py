"""
Claim non-idempotent requests in the table service, so that each runs at most once.

A non-idempotent request with an Idempotency-Key is sent only by the entry process that
inserted the row for its key. The row is deleted once that process knows that it never
sent the request, or when the row is two days old, which is one day longer than a claim
permits sending. No process takes over the claim of another process.
docs/decisions/at-most-once.md gives the reasons.
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
MAX_WRITES_PER_GROUP = 64
MAX_WRITE_ATTEMPTS = 4
MAX_PENDING_WRITES = 2000
MAX_RECORDED_ANSWER_BYTES = 32_768
# At most this many failed writes wait for a retry, each with a row that holds an answer
# of at most MAX_RECORDED_ANSWER_BYTES.
MAX_UNRECORDED_WRITES = 256
MAX_NEVER_SENT = 10_000
CLAIM_VALID_S = 86_400.0
CLAIM_KEPT_S = 2 * CLAIM_VALID_S
EXPIRY_BUCKET_S = 60
# After its start, a process deletes the buckets that expired within this time. Older
# ones were deleted by other entry hosts or stay in the table.
EXPIRY_LOOKBACK_S = 86_400.0
# After a failed call to the store, new claims are refused immediately for this long, so
# that callers of each later group do not wait for the platform's timeout too.
STORE_PAUSE_S = 0.5
RECORD_RETRY_S = 1.0

ANSWER_NOT_KEPT = RefusalReason.ANSWER_NOT_KEPT
OUTCOME_UNKNOWN = RefusalReason.OUTCOME_UNKNOWN
FLUSH = "flush"
TICK = "tick"


@dataclass(eq=False, slots=True)
class Claim:
    """
    The claim of this entry process on one request.

    ``digest`` identifies the request's content, and ``version`` is that of its row. The
    request may be sent while :meth:`sendable` returns True, which is for at most
    ``valid_s`` seconds after ``made``, a wall-clock time. ``outcome`` is what repeats
    at this process get until the row shows how the request ended, or None while the
    request is in progress.
    """

    key: str
    claim_id: str
    digest: str
    valid_s: float
    made: float
    made_monotonic: float
    version: int = 0
    outcome: object = None

    def sendable(self, clock):
        """
        Return whether the request may still be sent.

        Both clocks are read, because the monotonic clock may stop while a machine is
        suspended, and the wall clock may be set back.
        """
        limit_s = min(self.valid_s, CLAIM_VALID_S)
        return (
            clock.monotonic() - self.made_monotonic < limit_s
            and clock.time() - self.made < limit_s
        )


@dataclass(frozen=True, slots=True)
class ClaimRefused:
    """The refusal for a request that must not be sent."""

    reason: RefusalReason
    run_state: RunState


@dataclass(eq=False, slots=True)
class PendingWrite:
    """
    The write of one row in a later group; a value of None deletes the row.

    ``expected`` is the version that the row must have, or 0 if it must not exist.
    When the write ends, ``written`` is called with the new version, ``conflicted``
    with the current row or None, or ``failed`` without arguments. A failed write
    may have been applied. ``is_claim`` is set for the insertion of a claim.
    """

    key: str
    value: dict | None
    expected: int
    written: object
    conflicted: object
    failed: object
    is_claim: bool = False

    def matches(self, row):
        """Return whether ``row`` shows that this write was applied."""
        if self.value is None or row is None:
            return self.value is None and row is None
        return row.value == self.value

    def can_retry(self, row):
        """Return whether the row is as it was before the write, so a retry is safe."""
        return (row.version if row else 0) == self.expected


@dataclass(slots=True)
class SharedState:
    """
    The state of :class:`Claims` that several threads use while they hold ``lock``.

    ``pending`` holds the PendingWrites for the next groups, and ``unrecorded`` those
    that failed and are to be retried. ``live`` maps row keys to the claims of this
    process whose end is not yet stored. ``never_sent`` holds the ids of claims whose
    request was never sent. ``flushing`` tells whether the writer is writing or has been
    told to. New claims are refused until ``store_paused_until``, a time of the
    monotonic clock.
    """

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

    Each group is written in one transaction. One transaction is in flight at a time,
    and at most MAX_TRANSACTIONS_PER_S start each second.
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
        self._group_count = 0
        self._expiry_bucket = None

    def on_receive(self, message):
        """Write a group on FLUSH, or delete old claims on TICK."""
        # An exception would stop the actor, and all later claims would wait forever.
        try:
            if message == FLUSH:
                self._write_group()
            elif message == TICK:
                self._delete_old_claims()
        except Exception as error:
            self._metrics.count("worker_errors_total")
            log.error("claim_writer_failed", error=repr(error))

    def _write_group(self):
        self._wait_for_rate_limit()
        shared = self._shared
        with shared.lock:
            count = min(len(shared.pending), MAX_WRITES_PER_GROUP)
            group = [shared.pending.popleft() for _ in range(count)]
        try:
            self._write_with_retries(group)
        finally:
            with shared.lock:
                shared.flushing = bool(shared.pending)
                more_pending = shared.flushing
            if more_pending:
                self.actor_ref.tell(FLUSH)

    def _wait_for_rate_limit(self):
        now = self._clock.monotonic()
        if now < self._next_start:
            self._clock.sleep(self._next_start - now)
        self._next_start = self._clock.monotonic() + 1 / MAX_TRANSACTIONS_PER_S

    def _write_with_retries(self, group):
        for attempt in range(MAX_WRITE_ATTEMPTS):
            if not group:
                return
            if attempt:
                self._wait_for_rate_limit()
            try:
                group = self._write_once(group)
            except Exception as error:
                group += self._pause_store(error)
                break
        for item in group:
            self._call(item.failed)

    def _write_once(self, group):
        """Write a group in one transaction; return the writes that must be retried."""
        self._metrics.count("claim_transactions_total")
        try:
            versions = self._table.transact(self._build_writes(group))
        except ConflictError as error:
            return self._resolve_writes(group, error.rows, all_rows=False)
        except StoreOutcomeUnknownError:
            self._metrics.count("claim_answers_lost_total")
            rows = self._table.read([item.key for item in group])
            return self._resolve_writes(group, rows, all_rows=True)
        for item in group:
            self._call(item.written, versions.get(item.key, 0))
        return []

    def _resolve_writes(self, group, rows, all_rows):
        """
        Call back for the writes whose result ``rows`` shows; return the others.

        With ``all_rows``, a key that is missing from ``rows`` has no row. Otherwise
        ``rows`` holds only the rows that conflicted.
        """
        unresolved = []
        for item in group:
            if not all_rows and item.key not in rows:
                unresolved.append(item)
                continue
            row = rows.get(item.key)
            if item.matches(row):
                self._call(item.written, row.version if row else 0)
            elif item.can_retry(row):
                unresolved.append(item)
            else:
                self._call(item.conflicted, row)
        return unresolved

    def _build_writes(self, group):
        writes = [Write(item.key, item.value, item.expected) for item in group]
        keys = [item.key for item in group if item.is_claim]
        if keys:
            self._group_count += 1
            bucket = expiry_bucket(self._clock.time())
            name = f"{EXPIRY_PREFIX}{bucket:010d}/{self._name}-{self._group_count}"
            writes.append(Write(name, {"keys": keys}))
        return writes

    def _call(self, callback, *arguments):
        """Call a callback and log its errors, which must not affect other writes."""
        try:
            callback(*arguments)
        except Exception as error:
            self._metrics.count("worker_errors_total")
            log.error("claim_callback_failed", error=repr(error))

    def _pause_store(self, error):
        """
        Refuse new claims for STORE_PAUSE_S after a failed call to the store.

        Return the pending writes, which the caller fails now because they would only
        fail later.
        """
        log.warning("claims_store_failed", error=error)
        self._metrics.count("claim_store_failures_total")
        with self._shared.lock:
            until = self._clock.monotonic() + STORE_PAUSE_S
            self._shared.store_paused_until = until
            waiting = list(self._shared.pending)
            self._shared.pending.clear()
        return waiting

    def _delete_old_claims(self):
        """Delete one bucket of claims that are too old to permit any send."""
        now = self._clock.time()
        if self._expiry_bucket is None:
            start = now - CLAIM_KEPT_S - EXPIRY_LOOKBACK_S
            self._expiry_bucket = expiry_bucket(max(start, 0))
        if (self._expiry_bucket + 1) * EXPIRY_BUCKET_S > now - CLAIM_KEPT_S:
            return
        try:
            for row in self._table.scan(f"{EXPIRY_PREFIX}{self._expiry_bucket:010d}/"):
                self._delete_group(row, now)
        except PlatformError as error:
            log.warning("claims_expiry_failed", error=error)
            return
        self._expiry_bucket += 1

    def _delete_group(self, group, now):
        # A key that was released and claimed again has a newer row, which is kept.
        expired = [
            row
            for row in self._table.read(group.value["keys"]).values()
            if row.value["made"] <= now - CLAIM_KEPT_S
        ]
        writes = [Write(row.key, None, row.version) for row in expired]
        self._wait_for_rate_limit()
        self._table.transact([*writes, Write(group.key, None)])
        self._metrics.count("claims_expired_total", len(expired))


class Claims:
    """
    The claims of one entry process. Only :meth:`close` may wait for the store.

    Example::

        claims.claim(entry, digest, 5.0, done)  # done(Claim), done(Answer) or
                                                # done(ClaimRefused)
        claims.record(claim, answer)            # the request ran or may have run
        claims.release(claim)                   # the request was certainly not sent
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
        """Whether no writes are pending, in flight or waiting for a retry."""
        with self._shared.lock:
            shared = self._shared
            return not (shared.flushing or shared.pending or shared.unrecorded)

    def close(self):
        """Stop the writer; writes that are still pending are discarded."""
        self._writer.stop()

    def tick(self):
        """Retry failed writes and delete old claims, once per RECORD_RETRY_S."""
        if self._clock.monotonic() >= self._retry_at:
            self._retry_at = self._clock.monotonic() + RECORD_RETRY_S
            with self._shared.lock:
                waiting, self._shared.unrecorded = self._shared.unrecorded, []
            for item in waiting:
                self._submit(item)
            self._writer.tell(TICK)

    def claim(self, entry, digest, valid_s, done):
        """
        Claim the key of ``entry`` for the request that has this digest.

        ``valid_s`` is the time in seconds for which the request may be sent. ``done``
        is called once, possibly in another thread, with a Claim, with the Answer to
        the first request or with a ClaimRefused.
        """
        key = claim_key(entry.service, entry.organisation, entry.key)
        shared = self._shared
        now = self._clock.monotonic()
        claim = Claim(key, uuid.uuid4().hex, digest, valid_s, self._clock.time(), now)
        with shared.lock:
            live_claim = shared.live.get(key)
            unavailable = (
                now < shared.store_paused_until
                or len(shared.pending) > MAX_PENDING_WRITES
            )
            if live_claim is None and not unavailable:
                shared.live[key] = claim
        if live_claim is not None:
            done(outcome_for_repeat(live_claim, claim))
        elif unavailable:
            done(UNAVAILABLE)
        else:
            self._insert(claim, 0, done)

    def record(self, claim, answer=None, ran=False):
        """
        Record how a request ended, for repeats of it.

        Repeats get ``answer``; if it is too large for the row, they are refused with
        ANSWER_NOT_KEPT once the row is written. Without an answer, they are refused
        with ANSWER_NOT_KEPT if ``ran`` is set and with OUTCOME_UNKNOWN otherwise.
        """
        value = self._new_row(claim)
        value["state"] = "ran" if ran or answer else "unknown"
        if answer is not None:
            claim.outcome = replace(answer, reserved_bytes=0)
        elif ran:
            claim.outcome = ClaimRefused(ANSWER_NOT_KEPT, RunState.UNKNOWN)
        else:
            claim.outcome = ClaimRefused(OUTCOME_UNKNOWN, RunState.UNKNOWN)
        if answer is not None:
            packed = pack_answer(answer)
            if packed is not None:
                value.update(state="answered", answer=packed)
        self._update(claim, value)

    def release(self, claim):
        """Delete the claim of a request that was not sent and will not be."""
        self._record_never_sent(claim)
        self._update(claim, None)

    def _insert(self, claim, expected, done):
        def written(version):
            claim.version = version
            done(claim)

        def conflicted(row):
            self._remove_live_claim(claim)
            if row is not None and self._was_never_sent(row):
                with self._shared.lock:
                    is_registered = (
                        self._shared.live.setdefault(claim.key, claim) is claim
                    )
                if is_registered:
                    self._insert(claim, row.version, done)
                    return
            done(self._outcome_from_row(row, claim))

        def failed():
            self._record_never_sent(claim)
            self._remove_live_claim(claim)
            done(UNAVAILABLE)

        value = self._new_row(claim)
        self._submit(
            PendingWrite(
                claim.key,
                value,
                expected,
                written,
                conflicted,
                failed,
                is_claim=True,
            )
        )

    def _update(self, claim, value):
        def finished(_):
            self._remove_live_claim(claim)

        def failed():
            with self._shared.lock:
                if len(self._shared.unrecorded) < MAX_UNRECORDED_WRITES:
                    self._shared.unrecorded.append(item)
                    return
            self._metrics.count("claims_unrecorded_total")
            self._remove_live_claim(claim)

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

    def _remove_live_claim(self, claim):
        with self._shared.lock:
            if self._shared.live.get(claim.key) is claim:
                del self._shared.live[claim.key]

    def _record_never_sent(self, claim):
        """
        Record the id of a claim whose request was never sent.

        Its row may exist nevertheless. A repeat at this process may then replace it.
        """
        with self._shared.lock:
            self._shared.never_sent[claim.claim_id] = None
            if len(self._shared.never_sent) > MAX_NEVER_SENT:
                self._shared.never_sent.popitem(last=False)

    def _was_never_sent(self, row):
        with self._shared.lock:
            return row.value["id"] in self._shared.never_sent

    def _new_row(self, claim):
        return {
            "id": claim.claim_id,
            "holder": self._name,
            "incarnation": self._incarnation,
            "request": claim.digest,
            "made": claim.made,
            "until": claim.made + claim.valid_s,
            "state": "claimed",
        }

    def _outcome_from_row(self, row, claim):
        """Return what a repeat gets, given the row of the first request."""
        if row is None:
            return UNAVAILABLE
        value = row.value
        self._metrics.count("claim_repeats_total", state=value["state"])
        if value["request"] != claim.digest:
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


def outcome_for_repeat(first, claim):
    """Return what a repeat gets while ``first`` is a live claim of this process."""
    if first.digest != claim.digest:
        return KEY_REUSED
    return first.outcome or ClaimRefused(RefusalReason.IN_PROGRESS, RunState.UNKNOWN)


def claim_key(service, organisation, key):
    """Return the row key for an Idempotency-Key of an organisation at a service."""
    text = json.dumps([service, organisation, key])
    return CLAIM_PREFIX + hashlib.sha256(text.encode()).hexdigest()


def request_digest(method, target, body):
    """Return the digest that distinguishes a repeat from a different request."""
    head = json.dumps([method, target]).encode()
    return hashlib.sha256(head + b"\n" + body).hexdigest()


def expiry_bucket(instant):
    """
    Return the number of the expiry bucket of a Unix time.

    A bucket lists the claims written during EXPIRY_BUCKET_S seconds, so that they can
    be deleted together later.
    """
    return int(instant // EXPIRY_BUCKET_S)


def pack_answer(answer):
    """Return an answer as JSON values for its row, or None if it is too large."""
    headers = [list(pair) for pair in answer.headers]
    size = len(answer.body) + sum(len(n) + len(v) for n, v in answer.headers)
    if size > MAX_RECORDED_ANSWER_BYTES:
        return None
    return {
        "status": answer.status,
        "phrase": answer.phrase,
        "headers": headers,
        "body": base64.b64encode(answer.body).decode(),
    }


def unpack_answer(value):
    """Return the Answer that :func:`pack_answer` packed."""
    return Answer(
        value["status"],
        value["phrase"],
        [tuple(pair) for pair in value["headers"]],
        base64.b64decode(value["body"]),
    )


def new_incarnation():
    """
    Return a number that is higher for each start of a process.

    It is the Unix time in microseconds.
    """
    return time.time_ns() // 1000
