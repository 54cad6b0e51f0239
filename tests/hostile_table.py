"""A table whose answers are lost and whose writes may land late, for tests."""

from collections import deque

from hypothesis import HealthCheck, settings, strategies as st

from magnoliapier.exceptions import (
    ConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.platform_api import TableService

# Each run explores the same examples, and no example database is written.
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
        st.sampled_from([DONE, ANSWER_LOST, WRITE_LOST, WRITE_LATE, UNAVAILABLE]), max_size=3
    ),
    # More lost answers than a writer's attempts.
    st.sampled_from([[WRITE_LATE] * 6, [WRITE_LOST] * 6, [ANSWER_LOST] * 6]),
)


class FaultyTable(TableService):
    """
    Passes calls on; each transaction takes its outcome from ``script``.

    A transaction with an outcome other than DONE raises; a late one is applied by
    :meth:`apply_late`. An empty script means DONE. Reads fail while ``unavailable``.
    """

    def __init__(self, table):
        self._table = table
        self.script = deque()
        self.late = []
        self.applied = []
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
        """Apply, lose or delay a transaction as scripted."""
        self._check()
        outcome = self.script.popleft() if self.script else DONE
        if outcome == UNAVAILABLE:
            raise StoreUnavailableError("The table is unavailable.")
        if outcome == WRITE_LATE:
            self.late.append((list(writes), list(checks)))
        if outcome in (WRITE_LATE, WRITE_LOST):
            raise StoreOutcomeUnknownError("The write is late or lost.")
        versions = self._apply(writes, checks)
        if outcome == ANSWER_LOST:
            raise StoreOutcomeUnknownError("The answer is lost.")
        return versions

    def apply_late(self, index):
        """Apply one late transaction if its conditions still hold."""
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
