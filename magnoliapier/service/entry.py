"""
Handles the requests of callers: submit, cancel, state and pending.

A submission is stored before it is accepted. A refusal says that the submission has not
been accepted, so it is given only if the store has certainly written nothing.
"""

import asyncio
from enum import StrEnum

import msgspec

from magnoliapier.exceptions import (
    ConflictError,
    MagnoliapierError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.logs import get_logger
from magnoliapier.service.background import Backoff
from magnoliapier.state.rows import ABSENT, Expect, Put
from magnoliapier.state.tables import (
    CANCEL_SUFFIX,
    intake_part,
    progress_table,
    submissions_table,
)
from magnoliapier.submissions.codec import decode_progress, encode
from magnoliapier.submissions.model import SubmissionState

STORE_RETRY_AFTER_S = 1  # short, as another host may reach the store
# Leaves callers with the shortest deadline enough time to ask another host.
WRITE_RETRY_LIMIT_S = 1.6
FIRST_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.4

log = get_logger(__name__)


class AnswerKind(StrEnum):
    """The outcome of a caller's request."""

    OK = "ok"
    REFUSED = "refused"  # certainly not accepted
    UNKNOWN = "unknown"  # may have been accepted; ask again with the same id
    UNAVAILABLE = "unavailable"  # a request that changes nothing could not be answered
    ABSENT = "absent"  # no such submission is stored


class Answer(msgspec.Struct, frozen=True):
    """
    An answer to a caller.

    ``retry_after_s`` is set for REFUSED and UNAVAILABLE.
    """

    kind: AnswerKind
    state: SubmissionState | None = None
    pending: int = 0
    reason: str = ""
    retry_after_s: int = 0


class Entry:
    """
    Answers callers on one host.

    ``peers`` asks the holder of a shard, ``probe`` tells whether the store answers.
    Submissions are not refused because of a long queue: new work is scheduled before
    work that is late already, so a backlog does not delay it.
    """

    def __init__(self, store, peers, probe, clock, metrics):
        self._store = store
        self._peers = peers
        self._probe = probe
        self._clock = clock
        self._metrics = metrics

    async def submit(self, queue, submission):
        """Store a submission and return an Answer."""
        if not await self._probe.answers():
            return self._refuse(submission, "store_silent", STORE_RETRY_AFTER_S)
        key = submission.submission_id
        submission.terms = queue.terms
        table = submissions_table(queue.service)
        part = intake_part(queue.service, key)
        expects = [Expect(table, part, key, ABSENT)]
        put = Put(table, part, key, encode(submission))
        retry_until = self._clock() + WRITE_RETRY_LIMIT_S
        may_be_stored = False
        backoff = Backoff(FIRST_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        while True:
            try:
                version = await self._store.commit(expects, [put])
            except ConflictError:
                log.info("known_submission", id=key, queue=queue.name)
                return Answer(AnswerKind.OK)
            except StoreOutcomeUnknownError:
                self._probe.mark_silent()
                may_be_stored = True
            except StoreUnavailableError as error:
                if not may_be_stored:
                    return self._refuse(submission, "store", STORE_RETRY_AFTER_S, error)
            else:
                log.info("accepted", id=key, queue=queue.name, version=version)
                return Answer(AnswerKind.OK)
            if self._clock() >= retry_until:
                self._metrics.count("uncertain_submissions_total")
                log.warning("acceptance_unknown", id=key, queue=queue.name)
                return Answer(AnswerKind.UNKNOWN, reason="store")
            await asyncio.sleep(backoff.next_s())

    def _refuse(self, submission, reason, retry_after_s, cause=""):
        self._metrics.count("refusals_total", reason=reason)
        log.info(
            "refused",
            id=submission.submission_id,
            queue=submission.queue,
            reason=reason,
            retry_after_s=retry_after_s,
            cause=cause,
        )
        return Answer(AnswerKind.REFUSED, reason=reason, retry_after_s=retry_after_s)

    async def cancel(self, queue, submission_id):
        """Store a cancellation and return an Answer."""
        service = queue.service
        table = submissions_table(service)
        part = intake_part(service, submission_id)
        put = Put(table, part, submission_id + CANCEL_SUFFIX, b"")
        retry_until = self._clock() + WRITE_RETRY_LIMIT_S
        backoff = Backoff(FIRST_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        while True:
            try:
                rows = await self._read_rows(table, part, submission_id)
                if not rows:
                    return Answer(AnswerKind.ABSENT)
                if not rows[0].value:  # a tombstone: the submission has finished
                    return Answer(AnswerKind.OK)
                expect = Expect(table, part, submission_id, rows[0].version)
                await self._store.commit([expect], [put])
            except ConflictError:
                continue
            except MagnoliapierError as error:
                if self._clock() >= retry_until:
                    log.warning("cancel_unknown", id=submission_id, error=error)
                    return Answer(AnswerKind.UNKNOWN, reason="store")
                await asyncio.sleep(backoff.next_s())
            else:
                log.info("cancel_stored", id=submission_id, queue=queue.name)
                return Answer(AnswerKind.OK)

    async def state(self, queue, submission_id):
        """Return an Answer with the state of a submission."""
        state = await self._peers.state(queue.service, submission_id)
        if state is not None:
            return Answer(AnswerKind.OK, state=state)
        try:
            answer = await self._stored_state(queue.service, submission_id)
            if answer.kind != AnswerKind.ABSENT:
                return answer
            table = submissions_table(queue.service)
            part = intake_part(queue.service, submission_id)
            rows = await self._read_rows(table, part, submission_id)
            if rows and rows[0].value:
                return Answer(AnswerKind.OK, state=SubmissionState.QUEUED)
            # If the row is a tombstone, progress has been stored since the first read.
            return await self._stored_state(queue.service, submission_id)
        except MagnoliapierError as error:
            log.info("state_unavailable", id=submission_id, error=error)
            return Answer(AnswerKind.UNAVAILABLE, retry_after_s=1)

    async def _stored_state(self, service, submission_id):
        rows = await self._read_rows(progress_table(service), service, submission_id)
        if not rows:
            return Answer(AnswerKind.ABSENT)
        progress = decode_progress(rows[0].value)
        return Answer(AnswerKind.OK, state=SubmissionState(progress.state))

    async def _read_rows(self, table, part, key):
        changes = await self._store.read(table, part, key, key + "\x00")
        return changes.rows

    async def pending(self, queue):
        """Return an Answer with the number of submissions that have not started."""
        pending = await self._peers.pending(queue.service, queue.name)
        if pending is None:
            return Answer(AnswerKind.UNAVAILABLE, retry_after_s=1)
        return Answer(AnswerKind.OK, pending=pending)
