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
from magnoliapier.service.background import cancel_tasks, supervise
from magnoliapier.service.clock import boottime

RETRY_DELAY_S = 0.2
# No lease expires during shorter outages, such as a single refused call.
SHORT_OUTAGE_S = 0.5

log = get_logger(__name__)


class TableWatcher:
    """
    Reads a table in full, then follows its changes.

    ``on_rows(rows, complete)`` is called with all rows and True after each full read,
    and with the changed rows and False otherwise. ``parts`` is None for all parts of
    the table. The watcher sleeps for ``gap_s`` between two calls, so that one call
    returns several changes. With ``latest_only``, a call that gets no answer is
    followed by a full read: reading the newest values of a few large rows takes less
    time than reading all of their changes.
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
        self._unavailable_since = None
        self._available_since = 0.0
        self._task = None
        self._refresh_requested = asyncio.Event()
        self._pending_refreshes = []
        self.loaded = asyncio.Event()

    @property
    def available_since(self):
        """
        Return since when the table can be read, or None while it cannot.

        Outages shorter than ``SHORT_OUTAGE_S`` do not change the time.
        """
        return self._available_since if self._unavailable_since is None else None

    def start(self):
        """Start following the table."""
        self._task = supervise(f"watch_{self._table}", self._run)

    async def close(self):
        """Stop following."""
        await cancel_tasks(self._task)

    async def refresh(self):
        """Wait until ``on_rows`` has received all changes that are stored by now."""
        refreshed = asyncio.get_running_loop().create_future()
        self._pending_refreshes.append(refreshed)
        self._refresh_requested.set()
        await refreshed

    async def _run(self):
        version = None
        while True:
            self._refresh_requested.clear()
            refresh_count = len(self._pending_refreshes)
            try:
                if version is None:
                    version = await self._read_table()
                next_version = await self._follow(
                    version, 0.0 if refresh_count else self._wait_s
                )
            except HistoryLostError:
                log.info("history_lost", table=self._table, version=version)
                version = None
            except MagnoliapierError as error:
                self._mark_unavailable(error)
                if self._latest_only and isinstance(error, StoreOutcomeUnknownError):
                    version = None
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                if next_version is None:
                    continue
                version = next_version
                self._mark_available()
                self._complete_refreshes(refresh_count)
                await self._wait_for_next_call()

    def _complete_refreshes(self, count):
        for refreshed in self._pending_refreshes[:count]:
            if not refreshed.done():
                refreshed.set_result(None)
        del self._pending_refreshes[:count]

    async def _wait_for_next_call(self):
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._refresh_requested.wait(), self.gap_s)

    async def _read_table(self):
        rows = []
        versions = []
        parts = self._parts
        if parts is None:
            parts, version = await self._store.parts(self._table)
            versions.append(version)
        reads = (self._store.read(self._table, part) for part in parts)
        for changes in await asyncio.gather(*reads):
            rows.extend(changes.rows)
            versions.append(changes.version)
        self._on_rows(rows, True)
        self.loaded.set()
        return min(versions)

    async def _follow(self, version, wait_s):
        """
        Apply changes and return the version to go on from.

        Returns None if a refresh was requested meanwhile: a call that is waiting for a
        silent store would end later than a new one.
        """
        changes_task = asyncio.create_task(
            self._store.changes(self._table, version, wait_s)
        )
        refresh_task = asyncio.create_task(self._refresh_requested.wait())
        try:
            await asyncio.wait(
                {changes_task, refresh_task}, return_when=FIRST_COMPLETED
            )
            if not changes_task.done():
                return None
            changes = changes_task.result()
        finally:
            await cancel_tasks(changes_task, refresh_task)
        if changes.rows:
            self._on_rows(changes.rows, False)
        return max(version, changes.version)

    def _mark_available(self):
        if self._unavailable_since is None:
            return
        log.info("dependency_regained", table=self._table)
        now = boottime()
        if now - self._unavailable_since >= SHORT_OUTAGE_S:
            self._available_since = now
        self._unavailable_since = None

    def _mark_unavailable(self, error):
        if self._unavailable_since is None:
            log.warning("dependency_lost", table=self._table, error=error)
            self._unavailable_since = boottime()
