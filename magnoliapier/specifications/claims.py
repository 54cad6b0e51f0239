"""
Specification of the claims of non-idempotent requests with one key.

A caller sends the same key up to three times, each time to any entry host. Each
such attempt creates its own claim id. Requests to the table and to the endpoint may
be delayed, lost or repeated, and answers may be lost. Pauses are not modelled as a
state: an attempt that takes no step is paused. An attempt ends without a reply if its
entry host restarts.

The rules are:

- C1. A claim is inserted if absent, with the attempt's own id, and nothing is sent
  before the claim is known to be held.
- C2. After a lost answer the row is read back. The claim is held only if the row
  contains the attempt's id.
- C3. A claim never changes its owner and never expires.
- C4. A claim is released only if the request provably did not run, only after the
  attempt has ended, and only while the row contains the attempt's id.
- C5. An attempt is reported as "not run" only if nothing was sent, or if the endpoint
  reported so, and nothing is sent after that. Otherwise its outcome is "unknown".
- C6. During a store outage the attempt is refused as "not run".

"Not run" concerns one attempt. A repeat that is refused as "not run" says nothing
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
    """The claim row: the attempt that inserted it and whether it holds the answer."""

    owner: int
    answered: bool = False


class State(NamedTuple):
    """
    The attempts, the row, and the sets of attempts with a message in transit.

    ``inserts``, ``releases`` and ``answer_writes`` are writes to the table, which
    insert the claim, remove it and store the answer. ``sends`` are requests in transit
    to an endpoint.
    """

    attempts: tuple = (Attempt(), Attempt(), Attempt())
    row: Row | None = None
    inserts: frozenset = frozenset()
    releases: frozenset = frozenset()
    answer_writes: frozenset = frozenset()
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
        """Return the states that must be reachable."""
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

    def accepts_insert(self, row):
        """Return whether the table accepts an insert (C1)."""
        return row is None

    def holds_claim(self, row, index):
        """Return whether the row that was read is the attempt's claim (C2, C3)."""
        return row is not None and row.owner == index

    def trusts_lost_answer(self):
        """Return whether an insert with a lost answer counts as successful (C2)."""
        return False

    def accepts_release(self, row, index):
        """Return whether the table accepts a release (C4)."""
        return row is not None and row.owner == index

    def attempt_without_store(self):
        """Return a new attempt that finds the store unavailable (C6)."""
        return Attempt(ENDED, NOT_RUN)

    def attempt_after_timeout(self, attempt):
        """Return the attempt after its endpoint did not answer in time (C5)."""
        return attempt._replace(phase=ENDED, reply=UNKNOWN)

    def releases_after_timeout(self):
        """Return whether the claim is released when the outcome is unknown (C4)."""
        return False

    def successors(self, state):
        """Yield the steps of attempts, table and endpoints."""
        first_unused = True
        for index, attempt in enumerate(state.attempts):
            # Attempts are interchangeable, so only the first unused one may start.
            if attempt.phase == NEW:
                if first_unused:
                    yield from self.start_attempt(state, index)
                first_unused = False
            elif attempt.phase != ENDED:
                yield from self.attempt_steps(state, index, attempt)
        yield from self.table_steps(state)
        for index in state.sends:
            attempt = state.attempts[index]
            sends = state._replace(sends=state.sends - {index})
            yield "send lost", sends
            # Two runs already violate "at_most_once", so more are not counted.
            executed = attempt._replace(ran=min(2, attempt.ran + 1))
            yield f"endpoint runs {index}", replace_attempt(sends, index, executed)
            if attempt.phase == SENT and not attempt.ran:
                busy = attempt._replace(phase=CLAIMED)
                yield f"endpoint busy for {index}", replace_attempt(sends, index, busy)

    def start_attempt(self, state, index):
        """Yield the first step of an attempt: an insert, or a store outage."""
        inserting = replace_attempt(state, index, Attempt(INSERTING))
        yield f"{index} inserts", inserting._replace(inserts=state.inserts | {index})
        yield f"{index} finds the store unavailable", replace_attempt(
            state, index, self.attempt_without_store()
        )

    def attempt_steps(self, state, index, attempt):
        """Yield the steps of a started attempt."""
        yield f"{index} restarts", replace_attempt(
            state, index, attempt._replace(phase=ENDED, reply=RESTARTED)
        )
        if attempt.phase == INSERTING:
            yield from self.read_back(state, index, attempt)
        elif attempt.phase == CLAIMED:
            sent = replace_attempt(state, index, attempt._replace(phase=SENT))
            yield f"{index} sends", sent._replace(sends=state.sends | {index})
            ended = replace_attempt(
                state, index, attempt._replace(phase=ENDED, reply=NOT_RUN)
            )
            yield f"{index} gives up", ended._replace(releases=state.releases | {index})
        elif attempt.phase == SENT:
            if attempt.ran and index not in state.sends:
                ended = replace_attempt(
                    state, index, attempt._replace(phase=ENDED, reply=ANSWER)
                )
                yield f"{index} answers", ended._replace(
                    answer_writes=state.answer_writes | {index}
                )
            timed_out = replace_attempt(
                state, index, self.attempt_after_timeout(attempt)
            )
            if self.releases_after_timeout():
                timed_out = timed_out._replace(releases=state.releases | {index})
            yield f"{index} times out", timed_out

    def read_back(self, state, index, attempt):
        """Yield the steps of an attempt whose insert has not been answered."""
        if self.trusts_lost_answer():
            yield f"{index} assumes that its insert succeeded", replace_attempt(
                state, index, attempt._replace(phase=CLAIMED)
            )
        yield f"{index} reads back", self.after_reading_row(state, index)
        if index not in state.inserts:
            yield f"{index} inserts again", state._replace(
                inserts=state.inserts | {index}
            )

    def after_reading_row(self, state, index):
        """Return the state after an attempt has read the current row."""
        attempt, row = state.attempts[index], state.row
        if self.holds_claim(row, index):
            return replace_attempt(state, index, attempt._replace(phase=CLAIMED))
        if row is None:
            return replace_attempt(
                state, index, attempt._replace(phase=ENDED, reply=NOT_RUN)
            )
        reply = ANSWER if row.answered else UNKNOWN
        return replace_attempt(state, index, attempt._replace(phase=ENDED, reply=reply))

    def table_steps(self, state):
        """Yield the writes that reach the table or are lost, and the lost answers."""
        for index in state.inserts:
            remaining = state._replace(inserts=state.inserts - {index})
            yield f"insert of {index} lost", remaining
            accepted = self.accepts_insert(state.row)
            after = remaining._replace(row=Row(index)) if accepted else remaining
            yield f"insert of {index} reaches the table, answer lost", after
            if state.attempts[index].phase == INSERTING:
                yield f"insert of {index} reaches the table", self.after_reading_row(
                    after, index
                )
        for index in state.releases:
            remaining = state._replace(releases=state.releases - {index})
            released = self.accepts_release(state.row, index)
            yield f"release of {index} ends", remaining
            if released:
                # The release stays pending: it may be repeated after a lost answer.
                yield f"release of {index} reaches the table", state._replace(row=None)
        for index in state.answer_writes:
            remaining = state._replace(answer_writes=state.answer_writes - {index})
            yield f"answer of {index} lost", remaining
            if state.row == Row(index):
                yield f"answer of {index} stored", remaining._replace(
                    row=Row(index, True)
                )


def replace_attempt(state, index, attempt):
    """Return the state with one attempt replaced."""
    attempts = list(state.attempts)
    attempts[index] = attempt
    return state._replace(attempts=tuple(attempts))


def mistake(name):
    """Return a decorator that registers a seeded mistake."""
    return ClaimsSpecification.mistakes.register(name)


@mistake("trusts_lost_answer")
class TrustsLostAnswer(ClaimsSpecification):
    """Drops C2: an attempt sends after a lost answer as if it held the claim."""

    def trusts_lost_answer(self):
        """Treat a lost answer as success."""
        return True


@mistake("reads_back_key_only")
class ReadsBackKeyOnly(ClaimsSpecification):
    """Weakens C2: any row with the key counts as the attempt's own claim."""

    def holds_claim(self, row, index):
        """Compare the key but not the claim id."""
        return row is not None


@mistake("claim_expires")
class ClaimExpires(ClaimsSpecification):
    """Drops C3: a repeat takes over the claim of a paused or restarted host."""

    def holds_claim(self, row, index):
        """Take over a claim without an answer."""
        return row is not None and not row.answered


@mistake("unconditional_insert")
class UnconditionalInsert(ClaimsSpecification):
    """Drops the condition of C1: a repeat overwrites the claim."""

    def accepts_insert(self, row):
        """Accept every insert."""
        return True


@mistake("unconditional_release")
class UnconditionalRelease(ClaimsSpecification):
    """Drops the condition of C4: a repeated release removes the next claim."""

    def accepts_release(self, row, index):
        """Accept every release."""
        return row is not None


@mistake("releases_after_unknown")
class ReleasesAfterUnknown(ClaimsSpecification):
    """Drops C4: a repeat runs although the outcome of the first request is unknown."""

    def releases_after_timeout(self):
        """Release after a timeout."""
        return True


@mistake("resends_after_unknown")
class ResendsAfterUnknown(ClaimsSpecification):
    """Drops C5: an attempt retries a request that may have run."""

    def attempt_after_timeout(self, attempt):
        """Send again."""
        return attempt._replace(phase=CLAIMED)


@mistake("timeout_is_not_run")
class TimeoutIsNotRun(ClaimsSpecification):
    """Drops C5: an attempt reports "not run" although its request may still run."""

    def attempt_after_timeout(self, attempt):
        """Refuse as "not run"."""
        return attempt._replace(phase=ENDED, reply=NOT_RUN)


@mistake("serves_without_store")
class ServesWithoutStore(ClaimsSpecification):
    """Drops C6: an attempt sends without a claim during a store outage."""

    def attempt_without_store(self):
        """Continue without a claim."""
        return Attempt(CLAIMED)
