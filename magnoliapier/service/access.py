"""
Decides whether a call may use a queue, by the API key that it carries.

Keys are added and withdrawn by new configurations. A key that this host does not know
may be new, so the configuration is read again before the call is refused. If that is
not possible, the host can't tell, and another host may know the key.
"""

import asyncio
from enum import StrEnum

import msgspec

from magnoliapier.submissions.configuration import Organisation

REFRESH_TIMEOUT_S = 0.4  # a hundred times the store's usual latency
# Calls with unknown keys share a read for this time, so that many cost few reads.
REFRESH_MAX_AGE_S = 0.5


class AccessKind(StrEnum):
    """Whether a call may use a queue."""

    ALLOWED = "allowed"
    UNKNOWN_KEY = "unknown_key"
    UNVERIFIED_KEY = "unverified_key"  # this host can't read the configuration now


class Access(msgspec.Struct, frozen=True):
    """The decision on a call; ``organisation`` is None for one to a public queue."""

    kind: AccessKind
    organisation: Organisation | None = None


ALLOWED_TO_ALL = Access(AccessKind.ALLOWED)


class AccessControl:
    """
    Checks the API keys of calls.

    ``configuration()`` returns the configuration in force, and ``refresh()`` waits
    until all that is stored by now has been read.

    Example::

        access = await access_control.check(queue, key)
        if access.kind != AccessKind.ALLOWED:
            refuse()
    """

    def __init__(self, configuration, refresh, clock):
        self._configuration = configuration
        self._refresh = refresh
        self._clock = clock
        self._refreshing = None
        self._refreshed_at = float("-inf")

    async def check(self, queue, key):
        """Return the Access of a call to a queue; ``key`` is empty if it has none."""
        access = self._decide(queue, key)
        if access.kind == AccessKind.UNKNOWN_KEY and key:
            if await self._read_configuration():
                access = self._decide(queue, key)
            else:
                access = Access(AccessKind.UNVERIFIED_KEY)
        return access

    def _decide(self, queue, key):
        configuration = self._configuration()
        if not configuration.requires_key(queue):
            return ALLOWED_TO_ALL
        organisation = configuration.organisation_with_key(key) if key else None
        if organisation is None:
            return Access(AccessKind.UNKNOWN_KEY)
        return Access(AccessKind.ALLOWED, organisation)

    async def _read_configuration(self):
        """
        Return whether the configuration has been read lately, or could be now.

        A read that takes too long goes on, and later calls wait for the same one. A
        new request to refresh would start it anew, so that a flood of unknown keys
        could keep this host from ever reading a slow store.
        """
        oldest = self._clock() - REFRESH_MAX_AGE_S
        if self._refreshed_at <= oldest:
            if self._refreshing is None:
                self._refreshing = asyncio.create_task(self._refresh_once())
            await asyncio.wait({self._refreshing}, timeout=REFRESH_TIMEOUT_S)
        return self._refreshed_at > oldest

    async def _refresh_once(self):
        started_at = self._clock()
        try:
            await self._refresh()
        finally:
            self._refreshing = None
        self._refreshed_at = started_at
