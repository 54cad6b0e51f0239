"""Rows and transactions of the platform's table, and the interface of its client."""

from typing import Protocol

import msgspec

MAX_TRANSACTION_ENTRIES = 100
ABSENT = 0  # the version of a row that does not exist


class Row(msgspec.Struct):
    """A stored row; ``removed`` is set for deleted rows in a list of changes."""

    table: str
    part: str
    key: str
    value: bytes
    version: int
    removed: bool = False


class Put(msgspec.Struct, frozen=True):
    """Write ``value`` under a key."""

    table: str
    part: str
    key: str
    value: bytes


class Remove(msgspec.Struct, frozen=True):
    """Delete a key."""

    table: str
    part: str
    key: str


class Expect(msgspec.Struct, frozen=True):
    """The version that a row must have for a transaction to be applied."""

    table: str
    part: str
    key: str
    version: int


class Changes(msgspec.Struct):
    """Changed rows in order, and the version to continue from."""

    rows: list[Row]
    version: int


class RowStore(Protocol):
    """
    The platform's transactional table.

    Every method raises StoreUnavailableError if the call had no effect, and
    StoreOutcomeUnknownError if a read got no answer, or if a write may have been
    applied or may be applied later. ``table_clock`` is a ``service.clock.StoreClock``
    that answers keep up to date.
    """

    table_clock: object

    async def commit(self, expects, puts, removes=()):
        """Apply all or nothing and return the version; ConflictError on a mismatch."""

    async def read(self, table, part, first_key="", end_key=""):
        """Return the rows of a key range as Changes, read page by page."""

    async def parts(self, table):
        """Return all parts of a table, and the version to follow its changes from."""

    async def changes(self, table, after, wait_s):
        """Return Changes after a version; HistoryLostError if they are gone."""
