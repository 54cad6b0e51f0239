"""Follows the changes of one table."""

import asyncio
import contextlib
from asyncio import FIRST_COMPLETED

from magnoliapier.exceptions import (
    HistoryLostError,
    MagnoliapierError,
    StoreOutcomeUnknownError,
)
from magnoliapier.logs import get_logger
from magnoliapier.service.background import cancel_tasks
from magnoliapier.service.clock import boottime

RETRY_DELAY_S = 0.2
SHORT_LOSS_S = 0.5  # single refused calls; no lease expires meanwhile

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
        self._lost_at = None
        self._steady_since = 0.0
        self._task = None
        self._hurry = asyncio.Event()
        self._refreshes = []
        self.loaded = asyncio.Event()

    @property
    def steady_since(self):
        """Return since when the table can be read, or None while it cannot."""
        return self._steady_since if self._lost_at is None else None

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
            self._hurry.clear()
            asked = len(self._refreshes)
            try:
                if version is None:
                    version = await self._read()
                followed = await self._follow(version, 0.0 if asked else self._wait_s)
            except HistoryLostError:
                log.info("history_lost", table=self._table, version=version)
                version = None
            except MagnoliapierError as error:
                self._mark_lost(error)
                if self._latest_only and isinstance(error, StoreOutcomeUnknownError):
                    version = None
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                if followed is None:
                    continue
                version = followed
                self._mark_available()
                self._answer_refreshes(asked)
                await self._pause()

    def _answer_refreshes(self, count):
        for refreshed in self._refreshes[:count]:
            if not refreshed.done():
                refreshed.set_result(None)
        del self._refreshes[:count]

    async def _pause(self):
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
        self.loaded.set()
        return min(versions)

    async def _follow(self, version, wait_s):
        """
        Apply changes and return the version to go on from.

        Returns None if a refresh was asked for meanwhile: a call that was sent to a
        silent store would last longer than a new one.
        """
        following = asyncio.create_task(
            self._store.changes(self._table, version, wait_s)
        )
        hurried = asyncio.create_task(self._hurry.wait())
        try:
            await asyncio.wait({following, hurried}, return_when=FIRST_COMPLETED)
            if not following.done():
                return None
            changes = following.result()
        finally:
            await cancel_tasks(following, hurried)
        if changes.rows:
            self._on_rows(changes.rows, False)
        return max(version, changes.version)

    def _mark_available(self):
        if self._lost_at is None:
            return
        log.info("dependency_regained", table=self._table)
        now = boottime()
        if now - self._lost_at >= SHORT_LOSS_S:
            self._steady_since = now
        self._lost_at = None

    def _mark_lost(self, error):
        if self._lost_at is None:
            log.warning("dependency_lost", table=self._table, error=error)
            self._lost_at = boottime()
