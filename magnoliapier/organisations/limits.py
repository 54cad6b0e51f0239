"""The limits of organisations in one pass of a service's scheduler."""

import math
from functools import cache

from magnoliapier.organisations.amounts import NOTHING, admits, highest, plus, values
from magnoliapier.placement.scheduler import has_label
from magnoliapier.submissions.model import Resources, Step, fits

# The part of the pool's capacity that is expected to come free before more allowance
# arrives, as runs of a burst end within a second or two. Demand is reported for it too.
TURNOVER_SHARE = 0.25


class UsageLimits:
    """
    The limits of one pass of a service's scheduler, see ``placement.limits``.

    ``rooms`` maps the limited organisations to their Rooms, and ``open_limits`` to what
    the limits leave if this service gets all that is unused. ``held_back`` holds the
    organisations of which nothing may start, whatever it requires.
    """

    def __init__(self, rooms, open_limits, held_back, sessions, now):
        self.rooms = rooms
        self._open = {name: list(values(left)) for name, left in open_limits.items()}
        self._held_back = held_back
        self._sessions = list(sessions)
        self._usable = [s for s in self._sessions if s.usable(now)]

    def admits(self, progress, step):
        """Return whether one more task of a step may start."""
        organisation = progress.submission.organisation
        if organisation in self._held_back:
            return False
        room = self.rooms.get(organisation)
        return room is None or room.admits(step)

    def places(self, progress, step):
        """Return how many more tasks of a step may start, possibly infinity."""
        organisation = progress.submission.organisation
        if organisation in self._held_back:
            return 0
        room = self.rooms.get(organisation)
        return math.inf if room is None else room.places(step)

    def reserve(self, progress, step):
        """Count a run of a step that has been placed."""
        room = self.rooms.get(progress.submission.organisation)
        if room is not None:
            room.reserve(step)

    def count_waiting(self, progress, step, count):
        """
        Count waiting tasks of a step; return for how many the pool may need hosts.

        These are the ones that the limit admits if the service gets all of it that is
        not in use.
        """
        organisation = progress.submission.organisation
        if organisation in self._held_back:
            return 0
        room = self.rooms.get(organisation)
        if room is None or not count:
            return count
        room.waiting.add(step, count)
        left = self._open[organisation]
        required = values(step.resources)
        admitted = count
        for each, amount in zip(required, left, strict=True):
            if each:
                admitted = min(admitted, amount // each)
        if step.gang and admitted < count:
            return 0
        for index, each in enumerate(required):
            left[index] -= each * admitted
        return admitted

    def may_need_hosts(self, progress, step):
        """Return whether one more waiting task may need a host, after all others."""
        organisation = progress.submission.organisation
        if organisation in self._held_back:
            return False
        left = self._open.get(organisation)
        return left is None or admits(step.resources, Resources(*left))

    def _could_run(self, kind):
        """Return whether an endpoint of the pool could hold a task if it was empty."""
        step = Step(1, kind.resources, required_label=kind.label, fills=kind.fills)
        return any(
            has_label(session, kind.label)
            and fits(step.allocated, session.record.capacity)
            for session in self._sessions
        )

    def reports(self):
        """Return the OrganisationUse of each limited organisation."""
        spare = self._spare()
        could_run = cache(self._could_run)
        return {
            name: room.report(spare, could_run) for name, room in self.rooms.items()
        }

    def _spare(self):
        """Return the room in the pool that waiting tasks could use soon."""
        spare = NOTHING
        for session in self._usable:
            turnover = (
                math.ceil(TURNOVER_SHARE * value)
                for value in values(session.record.capacity)
            )
            free = highest(session.room.as_resources(), NOTHING)
            spare = plus(spare, plus(free, Resources(*turnover)))
        return spare


class HeldBack:
    """Limits that admit no task of any organisation, for use after an error."""

    def admits(self, progress, step):
        """Return whether one more task of a step may start."""
        return not progress.submission.organisation

    def places(self, progress, step):
        """Return how many more tasks of a step may start, possibly infinity."""
        return math.inf if self.admits(progress, step) else 0

    def reserve(self, progress, step):
        """Count a run of a step that has been placed."""

    def count_waiting(self, progress, step, count):
        """Count waiting tasks of a step; return for how many hosts may be needed."""
        return count if self.admits(progress, step) else 0

    def may_need_hosts(self, progress, step):
        """Return whether one more waiting task of a step may need a host."""
        return self.admits(progress, step)


HELD_BACK = HeldBack()
