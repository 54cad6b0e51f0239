"""
Specification of the claims of non-idempotent requests with one key.

A caller sends the same key up to three times, each time to any entry host. Each
such attempt makes its own claim id. Requests to the table and to the endpoint may
be delayed, lost or repeated, and answers may be lost. An attempt that takes no step
is paused; an attempt that ends without a reply is one whose entry host restarted.

The rules are:

- C1. A claim is inserted if absent, with the attempt's own id, and nothing is sent
  before the claim is known to be held.
- C2. After a lost answer the row is read back. The claim is held only if the row
  carries the attempt's id.
- C3. A claim never changes hands and never expires.
- C4. A claim is released only if the request provably did not run, only after the
  attempt has ended, and only while the row carries the attempt's id.
- C5. "Not run" is said only if nothing was sent, or if the endpoint said so, and
  nothing is sent after that. Everything else is "unknown".
- C6. While the store is away, the attempt is refused as "not run".

"Not run" concerns the attempt. A repeat that is refused as "not run" says nothing
about an earlier attempt with the same key.
"""

from typing import NamedTuple

from magnoliapier.registry import Registry
from magnoliapier.specifications.specification import Specification, specifications

NEW, INSERTING, CLAIMED, SENT, ENDED = range(5)
NO_REPLY, NOT_RUN, UNKNOWN, ANSWER, RESTARTED = range(5)


class Attempt(NamedTuple):
    """One attempt; ``ran`` counts its runs on an endpoint."""

    phase: int = NEW
    reply: int = NO_REPLY
    ran: int = 0


class Row(NamedTuple):
    """The claim row: the attempt that made it and whether the answer is kept."""

    owner: int
    answered: bool = False


class State(NamedTuple):
    """
    The attempts, the row, and the sets of attempts with a message under way.

    ``inserts``, ``releases`` and ``keeps`` are writes to the table: of the claim, of
    its removal and of the answer. ``sends`` are requests on their way to an endpoint.
    """

    attempts: tuple = (Attempt(), Attempt(), Attempt())
    row: Row | None = None
    inserts: frozenset = frozenset()
    releases: frozenset = frozenset()
    keeps: frozenset = frozenset()
    sends: frozenset = frozenset()


@specifications.register("claims")
class ClaimsSpecification(Specification):
    """The claim rules C1 to C6."""

    name = "claims"
    initial = State()
    mistakes = Registry("claims mistake")
    scenarios = {"three attempts": {"attempts": 3, "keys": 1}}

    def invariants(self):
        """Return the safety properties."""
        return {
            "at_most_once": lambda state: (
                sum(attempt.ran for attempt in state.attempts) <= 1
            ),
            "not_run_is_true": lambda state: all(
                attempt.reply != NOT_RUN
                or (attempt.ran == 0 and index not in state.sends)
                for index, attempt in enumerate(state.attempts)
            ),
            "answer_is_of_the_run": lambda state: (
                all(attempt.reply != ANSWER for attempt in state.attempts)
                or sum(attempt.ran for attempt in state.attempts) == 1
            ),
        }

    def witnesses(self):
        """Return what must be reachable."""
        return {
            "repeat_gets_first_answer": lambda state: (
                state.attempts[0].reply == state.attempts[1].reply == ANSWER
            ),
            "runs_after_not_run": lambda state: (
                state.attempts[0].reply == NOT_RUN
                and state.attempts[1].reply == ANSWER
                and state.attempts[1].ran == 1
            ),
        }

    def inserts_into(self, row):
        """Return whether the table accepts an insert (C1)."""
        return row is None

    def holds_after_read(self, row, index):
        """Return whether a row that was read is the attempt's claim (C2, C3)."""
        return row is not None and row.owner == index

    def trusts_lost_insert(self):
        """Return whether a lost answer counts as a claim (C2)."""
        return False

    def may_release(self, row, index):
        """Return whether the table accepts a release (C4)."""
        return row is not None and row.owner == index

    def reply_without_store(self):
        """Return the attempt when the store is away (C6)."""
        return Attempt(ENDED, NOT_RUN)

    def after_timeout(self, attempt):
        """Return the attempt when the endpoint has not answered (C5)."""
        return attempt._replace(phase=ENDED, reply=UNKNOWN)

    def releases_after_timeout(self):
        """Return whether a claim with unknown outcome is released (C4)."""
        return False

    def successors(self, state):
        """Yield the steps of attempts, table and endpoints."""
        started = True
        for index, attempt in enumerate(state.attempts):
            # Attempts are alike, so only the first unused one may start.
            if attempt.phase == NEW:
                if started:
                    yield from self.start(state, index)
                started = False
            elif attempt.phase != ENDED:
                yield from self.attempt_steps(state, index, attempt)
        yield from self.table_steps(state)
        for index in state.sends:
            attempt = state.attempts[index]
            sends = state._replace(sends=state.sends - {index})
            yield "send lost", sends
            # A second run of one attempt is as wrong as a third.
            ran = attempt._replace(ran=min(2, attempt.ran + 1))
            yield f"endpoint runs {index}", put(sends, index, ran)
            if attempt.phase == SENT and not attempt.ran:
                busy = attempt._replace(phase=CLAIMED)
                yield f"endpoint busy for {index}", put(sends, index, busy)

    def start(self, state, index):
        """Yield the arrival of an attempt."""
        inserting = put(state, index, Attempt(INSERTING))
        yield f"{index} inserts", inserting._replace(inserts=state.inserts | {index})
        yield f"{index} finds no store", put(state, index, self.reply_without_store())

    def attempt_steps(self, state, index, attempt):
        """Yield the steps of a started attempt."""
        yield f"{index} restarts", put(
            state, index, attempt._replace(phase=ENDED, reply=RESTARTED)
        )
        if attempt.phase == INSERTING:
            yield from self.read_back(state, index, attempt)
        elif attempt.phase == CLAIMED:
            sent = put(state, index, attempt._replace(phase=SENT))
            yield f"{index} sends", sent._replace(sends=state.sends | {index})
            ended = put(state, index, attempt._replace(phase=ENDED, reply=NOT_RUN))
            yield f"{index} gives up", ended._replace(releases=state.releases | {index})
        elif attempt.phase == SENT:
            if attempt.ran and index not in state.sends:
                ended = put(state, index, attempt._replace(phase=ENDED, reply=ANSWER))
                yield f"{index} answers", ended._replace(keeps=state.keeps | {index})
            timed_out = put(state, index, self.after_timeout(attempt))
            if self.releases_after_timeout():
                timed_out = timed_out._replace(releases=state.releases | {index})
            yield f"{index} times out", timed_out

    def read_back(self, state, index, attempt):
        """Yield what follows a lost answer to an insert."""
        if self.trusts_lost_insert():
            yield f"{index} trusts", put(state, index, attempt._replace(phase=CLAIMED))
        yield f"{index} reads back", self.see_row(state, index)
        if index not in state.inserts:
            yield f"{index} inserts again", state._replace(
                inserts=state.inserts | {index}
            )

    def see_row(self, state, index):
        """Return the state after an attempt learned of the present row."""
        attempt, row = state.attempts[index], state.row
        if self.holds_after_read(row, index):
            return put(state, index, attempt._replace(phase=CLAIMED))
        if row is None:
            return put(state, index, attempt._replace(phase=ENDED, reply=NOT_RUN))
        reply = ANSWER if row.answered else UNKNOWN
        return put(state, index, attempt._replace(phase=ENDED, reply=reply))

    def table_steps(self, state):
        """Yield the writes that reach the table or are lost, and their answers."""
        for index in state.inserts:
            left = state._replace(inserts=state.inserts - {index})
            yield f"insert of {index} lost", left
            accepted = self.inserts_into(state.row)
            after = left._replace(row=Row(index)) if accepted else left
            yield f"insert of {index} lands, answer lost", after
            if state.attempts[index].phase == INSERTING:
                yield f"insert of {index} lands", self.see_row(after, index)
        for index in state.releases:
            left = state._replace(releases=state.releases - {index})
            released = self.may_release(state.row, index)
            yield f"release of {index} ends", left
            if released:
                # The writer may repeat a release whose answer was lost.
                yield f"release of {index} lands", state._replace(row=None)
        for index in state.keeps:
            left = state._replace(keeps=state.keeps - {index})
            yield f"answer of {index} lost", left
            if state.row == Row(index):
                yield f"answer of {index} kept", left._replace(row=Row(index, True))


def put(state, index, attempt):
    """Return the state with one attempt replaced."""
    attempts = list(state.attempts)
    attempts[index] = attempt
    return state._replace(attempts=tuple(attempts))


def mistake(name):
    """Return a decorator that registers a seeded mistake."""
    return ClaimsSpecification.mistakes.register(name)


@mistake("trusts_lost_answer")
class TrustsLostAnswer(ClaimsSpecification):
    """Drops C2: sends after a lost answer as if the claim were held."""

    def trusts_lost_insert(self):
        """Take the lost answer for a success."""
        return True


@mistake("reads_back_key_only")
class ReadsBackKeyOnly(ClaimsSpecification):
    """Weakens C2: any row with the key counts as one's own."""

    def holds_after_read(self, row, index):
        """Compare the key and not the id."""
        return row is not None


@mistake("claim_expires")
class ClaimExpires(ClaimsSpecification):
    """Drops C3: a repeat takes over the claim of a paused or restarted host."""

    def holds_after_read(self, row, index):
        """Take over a claim without an answer."""
        return row is not None and not row.answered


@mistake("unconditional_insert")
class UnconditionalInsert(ClaimsSpecification):
    """Drops the condition of C1: a repeat overwrites the claim."""

    def inserts_into(self, row):
        """Accept every insert."""
        return True


@mistake("unconditional_release")
class UnconditionalRelease(ClaimsSpecification):
    """Drops the condition of C4: a repeated release removes the next claim."""

    def may_release(self, row, index):
        """Accept every release."""
        return row is not None


@mistake("releases_after_unknown")
class ReleasesAfterUnknown(ClaimsSpecification):
    """Drops C4: a repeat runs beside a request whose outcome is unknown."""

    def releases_after_timeout(self):
        """Release after a timeout."""
        return True


@mistake("resends_after_unknown")
class ResendsAfterUnknown(ClaimsSpecification):
    """Drops C5: retries a request that may have run."""

    def after_timeout(self, attempt):
        """Send again."""
        return attempt._replace(phase=CLAIMED)


@mistake("timeout_is_not_run")
class TimeoutIsNotRun(ClaimsSpecification):
    """Drops C5: says "not run" of a request that may still run."""

    def after_timeout(self, attempt):
        """Refuse as "not run"."""
        return attempt._replace(phase=ENDED, reply=NOT_RUN)


@mistake("serves_without_store")
class ServesWithoutStore(ClaimsSpecification):
    """Drops C6: sends without a claim while the store is away."""

    def reply_without_store(self):
        """Go on without a claim."""
        return Attempt(CLAIMED)
