"""
The use and the demand of organisations on one service, for the holder of its shard.

A run counts from the moment when it is reserved until it is certainly gone. The holder
starts a run only if the use stays within its allowance, and reports use, demand and the
number of the row that it acts on as one snapshot: whatever it starts later is within
rows of that number or a higher one.
"""

import math
from collections import Counter

import msgspec

from magnoliapier.organisations.amounts import (
    NOTHING,
    admits,
    bounds_of,
    highest,
    minus,
    plus,
    times,
    values,
)
from magnoliapier.organisations.limits import UsageLimits
from magnoliapier.organisations.rooms import Room
from magnoliapier.organisations.rows import (
    NO_ALLOWANCE,
    NO_ROW,
    AllowanceRow,
    UsageRow,
)
from magnoliapier.submissions.model import Resources, fits

# Changes within this time are reported in one row, as about forty hosts read each row
# over slow links.
MIN_REPORT_INTERVAL_S = 0.2
# Between reports of changes that matter only once other services ask for room.
LAZY_REPORT_INTERVAL_S = 1.0
# Smaller changes, as a share of the use or demand, are not reported.
CHANGE_SHARE = 0.125
# An organisation that the configuration doesn't name may have a limit in a newer one,
# which is in force everywhere after this time.
UNKNOWN_HOLD_S = 3.0
# By then this host has read back the row that it wrote. A row that it can't read is
# written anew, as the fleet's holder can't read it either.
OWN_ROW_READ_S = 2.0


class KnownLimits(msgspec.Struct, frozen=True):
    """
    What a host has read about the limits of organisations.

    ``configured`` maps all organisations of the configuration to their limits,
    ``allowances`` organisations to the newest AllowanceRows, and ``usages`` services to
    their UsageRows.
    """

    configured: dict[str, Resources] = {}
    allowances: dict[str, AllowanceRow] = {}
    usages: dict[str, UsageRow] = {}

    @property
    def limited(self):
        """Return the names of the organisations that have, or had, a limit."""
        configured = {n for n, limit in self.configured.items() if limit != NOTHING}
        return configured | self.allowances.keys()

    @property
    def any(self):
        """Return whether any organisation has, or had, a limit."""
        return bool(self.limited)


class ServiceUsage:
    """
    Knows the limits of organisations on one service, and when to report their use.

    Example::

        usage = ServiceUsage("desk")
        usage.restore(stored_row, stored_allowances)
        limits = usage.begin_pass(known, sessions, progresses, now)
        Scheduler(sessions, now, limits).place(progresses)
        row = usage.row_to_write(limits, now)
    """

    def __init__(self, service):
        self._service = service
        self._floors = {}
        self._allowances = {}
        self._reported = {}
        self._reported_at = -math.inf
        self._unknown_since = {}

    def restore(self, row, allowances):
        """
        Take over from the former holder, by what it stored last.

        ``row`` is its UsageRow, empty if unreadable, and ``allowances`` maps the
        organisations to their AllowanceRows. Nothing starts under older rows.
        """
        self._floors = {
            name: report.acknowledged for name, report in row.organisations.items()
        }
        self._observe(allowances)
        for name, allowance in allowances.items():
            self._floors[name] = max(self._floors.get(name, 0), allowance.number)
        self._reported = dict(row.organisations)

    def _observe(self, allowances):
        for name, row in allowances.items():
            if row.number > self._allowances.get(name, NO_ROW).number:
                self._allowances[name] = row

    def begin_pass(self, known, sessions, progresses, now):
        """Return the UsageLimits of a scheduling pass; ``known`` is a KnownLimits."""
        self._observe(known.allowances)
        self._check_own_row(known, now)
        sessions = list(sessions)
        limited = known.limited | self._allowances.keys() | self._floors.keys()
        uses = use_by_organisation(sessions) if limited else {}
        rooms = {name: self._room(name, known, uses) for name in limited}
        open_limits = {
            name: self._open_limit(name, room, known) for name, room in rooms.items()
        }
        held_back = self._held_back(known, rooms, progresses, now)
        return UsageLimits(rooms, open_limits, held_back, sessions, now)

    def _check_own_row(self, known, now):
        read = self._service in known.usages
        if not read and now - self._reported_at >= OWN_ROW_READ_S:
            self.mark_uncertain()

    def _room(self, name, known, uses):
        limit = bounds_of(known.configured.get(name, NOTHING))
        floor = self._floors.get(name, 0)
        row = self._allowances.get(name)
        if row is None or row.number < floor:
            return Room(limit, floor, None, *uses.get(name, ()))
        allowed = row.allowed(self._service)
        return Room(limit, row.number, allowed, *uses.get(name, ()))

    def _open_limit(self, name, room, known):
        """Return what the limit leaves if this service gets all that is unused."""
        used = room.use
        for service, usage in known.usages.items():
            report = usage.organisations.get(name)
            if service != self._service and report is not None:
                used = plus(used, report.use)
        allowed = room.allowed or NOTHING
        return highest(minus(room.limit, used), minus(allowed, room.use))

    def _held_back(self, known, rooms, progresses, now):
        """
        Return the organisations that have been unknown to this host for a short time.

        One that the configuration doesn't name is in a newer configuration, which may
        limit it, or was dropped.
        """
        seen = {progress.submission.organisation for progress in progresses}
        unknown = seen - known.configured.keys() - rooms.keys() - {""}
        self._unknown_since = {
            name: self._unknown_since.get(name, now) for name in unknown
        }
        return {
            name
            for name, since in self._unknown_since.items()
            if now - since < UNKNOWN_HOLD_S
        }

    def row_to_write(self, limits, now):
        """
        Return the UsageRow to store with what the pass started, or None.

        It is written if the fleet's holder waits for it, if this service needs more
        room, or if the room that it no longer needs may be given to others.
        """
        reports = limits.reports()
        if self._urgent(reports):
            return UsageRow(reports)
        idle_s = now - self._reported_at
        if idle_s >= MIN_REPORT_INTERVAL_S and self._awaited(reports):
            return UsageRow(reports)
        if idle_s >= LAZY_REPORT_INTERVAL_S and self._changed(reports):
            return UsageRow(reports)
        return None

    def mark_stored(self, row, now):
        """Record that a row was stored."""
        self._reported = dict(row.organisations)
        self._reported_at = now

    def mark_uncertain(self):
        """Record that it is unknown which row is stored."""
        self._reported = {}

    def _entry(self, name):
        row = self._allowances.get(name, NO_ROW)
        return row.services.get(self._service, NO_ALLOWANCE)

    def _urgent(self, reports):
        """Return whether the fleet's holder may count too little."""
        for name, report in reports.items():
            reported = self._reported.get(name)
            if reported is None:
                return True
            counted = highest(reported.use, self._entry(name).allowed)
            if not fits(report.use, counted):
                return True
        return False

    def _awaited(self, reports):
        """Return whether another service or this one may get room by a report."""
        return any(
            self._acknowledges(name, report)
            or self._gives_back(name, report)
            or self._asks_for_more(name, report)
            or self._needs_much_less(name, report)
            for name, report in reports.items()
        )

    def _acknowledges(self, name, report):
        entry = self._entry(name)
        reported = self._reported[name]
        lowered = entry.bound != entry.allowed
        return lowered and reported.acknowledged < entry.since <= report.acknowledged

    def _gives_back(self, name, report):
        """Return whether a use that is above its allowance has become less."""
        allowed = values(self._entry(name).allowed)
        uses = zip(
            values(report.use), values(self._reported[name].use), allowed, strict=True
        )
        return any(use < before and before > amount for use, before, amount in uses)

    def _asks_for_more(self, name, report):
        reported = self._reported[name]
        wanted = plus(report.use, report.demand)
        if report.demand == NOTHING or fits(wanted, self._entry(name).allowed):
            return False
        if reported.demand == NOTHING or not fits(report.largest, reported.largest):
            return True
        left = minus(self._entry(name).allowed, report.use)
        if not fits(report.use, reported.use) and not admits(report.largest, left):
            return True  # smaller tasks have taken the room of the largest
        before = plus(reported.use, reported.demand)
        return any(
            value > former * (1 + CHANGE_SHARE)
            for value, former in zip(values(wanted), values(before), strict=True)
        )

    def _needs_much_less(self, name, report):
        """
        Return whether use and demand have fallen by half since the last report.

        This is the end of a burst. If the next one is another service's, it
        then waits for one row fewer.
        """
        reported = self._reported[name]
        wanted = plus(report.use, report.demand)
        before = plus(reported.use, reported.demand)
        return wanted != before and fits(times(wanted, 2), before)

    def _changed(self, reports):
        """Return whether any organisation's report differs much from the last one."""
        return any(
            _differs(report, self._reported[name]) for name, report in reports.items()
        )


def _differs(report, reported):
    """
    Return whether the fleet's holder should know of a change soon.

    The use is compared by itself too, as a large demand hides a small use: if that has
    ended unreported, a task or gang that waits may seem not to fit the limit.
    """
    if (report.largest, report.smallest) != (reported.largest, reported.smallest):
        return True
    pairs = (
        (report.use, reported.use),
        (report.lasting, reported.lasting),
        (plus(report.use, report.demand), plus(reported.use, reported.demand)),
    )
    return any(
        abs(value - before) > CHANGE_SHARE * max(value, before)
        for pair in pairs
        for value, before in zip(*map(values, pair), strict=True)
    )


def use_by_organisation(sessions):
    """
    Return what the runs of each organisation take that may exist.

    The values are pairs of Resources: of all runs, and of the long-running ones.
    """
    counts = Counter(
        (live.progress.submission.organisation, live.step.resources, long_running)
        for session in sessions
        for live in session.live.values()
        for long_running in {False, live.step.long_running}
    )
    uses = {}
    for (organisation, resources, long_running), count in counts.items():
        pair = list(uses.get(organisation, (NOTHING, NOTHING)))
        pair[long_running] = plus(pair[long_running], times(resources, count))
        uses[organisation] = tuple(pair)
    return uses
