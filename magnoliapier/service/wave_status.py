"""Writes the rows in which operators read the state of waves."""

from magnoliapier.exceptions import ConflictError
from magnoliapier.logs import get_logger
from magnoliapier.state.rows import ABSENT, Expect

log = get_logger(__name__)


class WaveStatusWriter:
    """
    Writes the state of each wave when it changes.

    Each write expects the row version that was seen last, so that the table refuses a
    write that it would otherwise apply late, after newer ones. ``encode(number,
    completed)`` returns the Put of the row that operators read.
    """

    def __init__(self, store, encode):
        self._store = store
        self._encode = encode
        self._versions = {}
        self._written = {}

    async def write(self, number, completed):
        """Write a wave's state if it has changed; after a conflict, call again."""
        if self._written.get(number) == completed:
            return
        put = self._encode(number, completed)
        version = self._versions.get(number, ABSENT)
        expect = Expect(put.table, put.part, put.key, version)
        try:
            self._versions[number] = await self._store.commit([expect], [put])
        except ConflictError as error:
            row = error.rows.get(put.key)
            self._versions[number] = row.version if row else ABSENT
            log.info("wave_state_conflict", wave=number, version=self._versions[number])
            return
        self._written[number] = completed
        log.info("wave_state", wave=number, completed=completed)
