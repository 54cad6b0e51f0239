"""A table that loses answers, loses writes or delays them, for stateful tests."""

from collections import deque

from hypothesis import HealthCheck, settings, strategies as st

from magnoliapier.exceptions import (
    ConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.platform_api import TableService

# Every run explores the same examples and writes no example database.
STATEFUL_SETTINGS = settings(
    max_examples=150,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
FUZZ_SETTINGS = settings(STATEFUL_SETTINGS, max_examples=150)

DONE, ANSWER_LOST, WRITE_LOST, WRITE_LATE, UNAVAILABLE = (
    "done",
    "answer lost",
    "write lost",
    "write late",
    "unavailable",
)
outcome_scripts = st.one_of(
    st.just([]),
    st.lists(
        st.sampled_from([DONE, ANSWER_LOST, WRITE_LOST, WRITE_LATE, UNAVAILABLE]),
        max_size=3,
    ),
    # More failures in a row than a writer makes attempts.
    st.sampled_from([[WRITE_LATE] * 6, [WRITE_LOST] * 6, [ANSWER_LOST] * 6]),
)


class FaultyTable(TableService):
    """
    Wraps a table; each transaction takes its outcome from ``script``.

    With an empty script the outcome is DONE. A transaction with any other outcome
    raises an error; ANSWER_LOST is applied before that, and WRITE_LATE is applied when
    :meth:`apply_late` is called. All calls fail while ``unavailable`` is set.
    """

    def __init__(self, table):
        self._table = table
        self.script = deque()
        self.late = []  # writes and checks of each delayed transaction
        self.applied = []  # writes of each applied transaction
        self.unavailable = False

    def read(self, keys):
        """Return the rows that exist among ``keys``."""
        self._check()
        return self._table.read(keys)

    def scan(self, prefix):
        """Return the rows under ``prefix``."""
        self._check()
        return self._table.scan(prefix)

    def transact(self, writes, checks=()):
        """Apply, lose or delay a transaction as ``script`` says."""
        self._check()
        outcome = self.script.popleft() if self.script else DONE
        if outcome == UNAVAILABLE:
            raise StoreUnavailableError("The table is unavailable.")
        if outcome == WRITE_LATE:
            self.late.append((list(writes), list(checks)))
        if outcome in (WRITE_LATE, WRITE_LOST):
            raise StoreOutcomeUnknownError("The write may be lost or applied later.")
        versions = self._apply(writes, checks)
        if outcome == ANSWER_LOST:
            raise StoreOutcomeUnknownError("The write was applied; its answer is lost.")
        return versions

    def apply_late(self, index):
        """Apply a delayed transaction; drop it if its conditions no longer hold."""
        writes, checks = self.late.pop(index % len(self.late))
        try:
            self._apply(writes, checks)
        except ConflictError:
            return

    def _apply(self, writes, checks):
        versions = self._table.transact(writes, checks)
        self.applied.append(list(writes))
        return versions

    def _check(self):
        if self.unavailable:
            raise StoreUnavailableError("The table is unavailable.")
