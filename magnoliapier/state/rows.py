"""Rows of the platform's table as the product sees them, and the client's interface."""

from typing import Protocol

import msgspec

MAX_TRANSACTION_ENTRIES = 100
ABSENT = 0  # the version of a row that does not exist


class Row(msgspec.Struct):
    """A stored row; ``removed`` is set only in changes."""

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
    """The version that a row must have for a transaction to apply."""

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

    Every method raises StoreUnavailableError if nothing was done and
    StoreOutcomeUnknownError if a write may have been or may yet be applied.
    ``table_clock`` is a ``service.clock.StoreClock`` that answers keep up to date.
    """

    table_clock: object

    async def commit(self, expects, puts, removes=()):
        """Apply all or nothing and return the version; ConflictError if refused."""

    async def read(self, table, part, first_key="", end_key=""):
        """Return all rows of a range as Changes, read page by page."""

    async def parts(self, table):
        """Return all parts of a table, and a version to follow it from."""

    async def changes(self, table, after, wait_s):
        """Return Changes after a version; HistoryLostError if they are gone."""
