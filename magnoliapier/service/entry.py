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
    PlatformError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.logs import get_logger
from magnoliapier.service.background import Backoff
from magnoliapier.service.cleanup import TOMBSTONE
from magnoliapier.state.rows import ABSENT, Expect, Put, Row
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


class StoredSubmission(msgspec.Struct, frozen=True):
    """The row of a submission."""

    row: Row

    @property
    def finished(self):
        """Return whether the row is a tombstone."""
        return self.row.value == TOMBSTONE


class Entry:
    """
    Answers callers on one host.

    ``peers`` asks the holder of a shard, and ``probe`` tells whether the store answers.
    ``queue_services`` are the QueueServices under which submissions are found.
    Submissions are not refused because of a long queue: new work is scheduled before
    work that is late already, so a backlog does not delay it.
    """

    def __init__(self, store, peers, probe, queue_services, clock, metrics):
        self._store = store
        self._peers = peers
        self._probe = probe
        self._queue_services = queue_services
        self._clock = clock
        self._metrics = metrics

    async def submit(self, queue, submission):
        """Store a submission and return an Answer."""
        if not await self._probe.answers():
            return self._refuse(submission, "store_silent", STORE_RETRY_AFTER_S)
        key = submission.submission_id
        try:
            services = await self._queue_services.record(queue)
        except PlatformError as error:
            return self._refuse(submission, "store", STORE_RETRY_AFTER_S, error)
        submission.terms = queue.terms
        submission.former_services = services.former
        submission.home = services.home if services.former else ""
        expects, puts = acceptance_writes(submission, services)
        retry_until = self._clock() + WRITE_RETRY_LIMIT_S
        may_be_stored = False
        backoff = Backoff(FIRST_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        while True:
            try:
                version = await self._store.commit(expects, puts)
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
        retry_until = self._clock() + WRITE_RETRY_LIMIT_S
        backoff = Backoff(FIRST_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        while True:
            try:
                stored = await self._find(queue, submission_id)
                if stored is None:
                    return Answer(AnswerKind.ABSENT)
                if stored.finished:
                    return Answer(AnswerKind.OK)
                await self._store_cancellation(stored)
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

    async def _find(self, queue, submission_id):
        """
        Return the StoredSubmission of a submission, or None.

        Under the other services of the queue, the key of a submission has a tombstone.
        """
        finished = None
        async for service, part in self._places_of(queue, submission_id):
            table = submissions_table(service)
            for row in await self._read_rows(table, part, submission_id):
                stored = StoredSubmission(row)
                if not stored.finished:
                    return stored
                finished = stored
        return finished

    async def _places_of(self, queue, submission_id):
        """
        Yield the services and parts under which a submission may be stored.

        The record is read again once the known ones have been searched, so that nothing
        is absent only because this host has not learned of a service yet.
        """
        known = self._queue_services.of(queue)
        for service in known.all:
            yield service, intake_part(known.home, submission_id)
        newest = await self._queue_services.refresh(queue)
        for service in newest.all if newest != known else ():
            yield service, intake_part(newest.home, submission_id)

    async def _store_cancellation(self, stored):
        row = stored.row
        expect = Expect(row.table, row.part, row.key, row.version)
        put = Put(row.table, row.part, row.key + CANCEL_SUFFIX, b"")
        await self._store.commit([expect], [put])

    async def state(self, queue, submission_id):
        """Return an Answer with the state of a submission."""
        try:
            async for service, part in self._places_of(queue, submission_id):
                answer = await self._state_under(service, part, submission_id)
                if answer.kind != AnswerKind.ABSENT:
                    return answer
        except MagnoliapierError as error:
            log.info("state_unavailable", id=submission_id, error=error)
            return Answer(AnswerKind.UNAVAILABLE, retry_after_s=1)
        return Answer(AnswerKind.ABSENT)

    async def _state_under(self, service, part, submission_id):
        state = await self._peers.state(service, submission_id)
        if state is not None:
            return Answer(AnswerKind.OK, state=state)
        answer = await self._stored_state(service, submission_id)
        if answer.kind != AnswerKind.ABSENT:
            return answer
        table = submissions_table(service)
        rows = await self._read_rows(table, part, submission_id)
        if rows and rows[0].value != TOMBSTONE:
            return Answer(AnswerKind.OK, state=SubmissionState.QUEUED)
        # If the row is a tombstone, progress has been stored since the first read.
        return await self._stored_state(service, submission_id)

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
        total = 0
        for service in self._queue_services.of(queue).all:
            pending = await self._peers.pending(service, queue.name)
            if pending is None:
                return Answer(AnswerKind.UNAVAILABLE, retry_after_s=1)
            total += pending
        return Answer(AnswerKind.OK, pending=total)


def acceptance_writes(submission, services):
    """
    Return the Expects and Puts of the transaction that accepts a submission.

    ``services`` are the ServicesOfQueue of its queue. The tombstones are found by hosts
    that do not know of the present service yet.
    """
    key = submission.submission_id
    part = intake_part(services.home, key)
    tables = [submissions_table(service) for service in services.all]
    expects = [Expect(table, part, key, ABSENT) for table in tables]
    puts = [Put(tables[0], part, key, encode(submission))]
    puts += (Put(table, part, key, TOMBSTONE) for table in tables[1:])
    return expects, puts
