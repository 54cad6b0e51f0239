"""Follows the changes of one table."""

import asyncio
import contextlib

from magnoliapier.exceptions import (
    HistoryLostError,
    MagnoliapierError,
    StoreOutcomeUnknownError,
)
from magnoliapier.logs import get_logger
from magnoliapier.service.background import cancel_tasks

RETRY_DELAY_S = 0.2

log = get_logger(__name__)


class TableWatcher:
    """
    Reads a table whole, then follows its changes.

    ``on_rows(rows, complete)`` is called with all rows after each whole reading and
    with the changed ones otherwise. ``parts`` is None for all parts of the table.
    ``gap_s`` is slept between two calls, so that changes arrive in groups. With
    ``latest_only`` a call without an answer is followed by a whole reading: the newest
    values of a few large rows are read sooner than all of their changes.
    """

    def __init__(
        self,
        store,
        table,
        on_rows,
        parts=("",),
        wait_s=1.0,
        gap_s=0.0,
        latest_only=False,
    ):
        self._store = store
        self._table = table
        self._parts = parts
        self._on_rows = on_rows
        self._wait_s = wait_s
        self.gap_s = gap_s
        self._latest_only = latest_only
        self._available = True
        self._task = None
        self._hurry = asyncio.Event()
        self._refreshes = []
        self.complete = asyncio.Event()

    def start(self):
        """Begin to follow the table."""
        self._task = asyncio.create_task(self._run())

    async def close(self):
        """Stop following."""
        await cancel_tasks(self._task)

    async def refresh(self):
        """Wait until all changes that the store has applied by now are known."""
        refreshed = asyncio.get_running_loop().create_future()
        self._refreshes.append(refreshed)
        self._hurry.set()
        await refreshed

    async def _run(self):
        version = None
        while True:
            asked = len(self._refreshes)
            try:
                if version is None:
                    version = await self._read()
                version = await self._follow(version)
                self._mark_available()
                self._answer_refreshes(asked)
            except HistoryLostError:
                log.info("history_lost", table=self._table, version=version)
                version = None
            except MagnoliapierError as error:
                self._mark_lost(error)
                if self._latest_only and isinstance(error, StoreOutcomeUnknownError):
                    version = None
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                await self._pause()

    def _answer_refreshes(self, count):
        for refreshed in self._refreshes[:count]:
            if not refreshed.done():
                refreshed.set_result(None)
        del self._refreshes[:count]

    async def _pause(self):
        if not self._refreshes:
            self._hurry.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._hurry.wait(), self.gap_s)

    async def _read(self):
        rows = []
        versions = []
        parts = self._parts
        if parts is None:
            parts, version = await self._store.parts(self._table)
            versions.append(version)
        readings = (self._store.read(self._table, part) for part in parts)
        for changes in await asyncio.gather(*readings):
            rows.extend(changes.rows)
            versions.append(changes.version)
        self._on_rows(rows, True)
        self.complete.set()
        return min(versions)

    async def _follow(self, version):
        changes = await self._store.changes(self._table, version, self._wait_s)
        if changes.rows:
            self._on_rows(changes.rows, False)
        return max(version, changes.version)

    def _mark_available(self):
        if not self._available:
            log.info("dependency_regained", table=self._table)
        self._available = True

    def _mark_lost(self, error):
        if self._available:
            log.warning("dependency_lost", table=self._table, error=error)
        self._available = False
