"""What the operator reads of the waves."""

from magnoliapier.exceptions import ConflictError
from magnoliapier.logs import get_logger
from magnoliapier.state.rows import ABSENT, Expect

log = get_logger(__name__)


class WaveStatusWriter:
    """
    Writes the state of each wave when it changes.

    Each write expects the version that was seen last, so that one which the table
    applies late, after newer ones, is refused. ``encode(number, completed)`` returns
    the row that operators read.
    """

    def __init__(self, store, encode):
        self._store = store
        self._encode = encode
        self._versions = {}
        self._written = {}

    async def write(self, number, completed):
        """Write a wave's state unless it is written; after a conflict, call again."""
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
