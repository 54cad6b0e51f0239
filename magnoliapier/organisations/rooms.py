"""What an organisation takes on one service, may still take, and has waiting there."""

from collections import Counter
from functools import reduce
from typing import NamedTuple

from magnoliapier.organisations.amounts import (
    NOTHING,
    admits,
    highest,
    lowest,
    minus,
    plus,
    times,
    total,
)
from magnoliapier.organisations.rows import OrganisationUse
from magnoliapier.submissions.model import Resources, fits, tasks_that_fit


class Kind(NamedTuple):
    """What all tasks of one kind require; ``at_once`` of them have to start at once."""

    resources: Resources
    at_once: int
    label: str
    fills: bool

    @property
    def required(self):
        """Return what has to be free before any of them can start."""
        return times(self.resources, self.at_once)


class Waiting:
    """
    The waiting tasks of one organisation on one service.

    They are counted by kind: thousands may wait in each pass, of a few kinds.
    """

    def __init__(self):
        self.count = 0
        self._counts = Counter()

    def add(self, step, count):
        """Add waiting tasks of a step."""
        self.count += count
        at_once = count if step.gang else 1
        kind = Kind(step.resources, at_once, step.required_label, step.fills)
        self._counts[kind] += count

    def kinds(self):
        """Return the kinds with their numbers of tasks."""
        return self._counts.items()

    @property
    def smallest(self):
        """Return what bounds from below what has to start at once."""
        return reduce(lowest, (kind.required for kind in self._counts))


class Room:
    """
    What an organisation may still take in a pass, and what it takes.

    ``allowed`` is None while the holder has no allowance row that it may act on.
    ``number`` is the one that it acts on, or the lowest that it may act on. ``left`` is
    what further runs may take. A task or gang above ``limit`` can never start.
    """

    def __init__(self, limit, number, allowed, use=NOTHING, lasting=NOTHING):
        self.limit = limit
        self.number = number
        self.allowed = allowed
        self.use = use
        self.lasting = lasting
        self.left = minus(allowed or NOTHING, use)
        self.waiting = Waiting()
        self._placed = NOTHING
        self._placed_count = 0

    def places(self, step):
        """Return how many more tasks of a step may start."""
        return 0 if self.allowed is None else tasks_that_fit(step.resources, self.left)

    def admits(self, step):
        """Return whether one more task of a step may start."""
        return self.allowed is not None and admits(step.resources, self.left)

    def reserve(self, step):
        """Count a run that is placed now."""
        self.use = plus(self.use, step.resources)
        if step.long_running:
            self.lasting = plus(self.lasting, step.resources)
        self.left = minus(self.allowed, self.use)
        self._placed = plus(self._placed, step.resources)
        self._placed_count += 1

    @property
    def waiting_count(self):
        """Return how many tasks wait because of the limit, after the pass."""
        count = max(0, self.waiting.count - self._placed_count)
        if count and self.allowed is not None:
            return 0 if admits(self.waiting.smallest, self.left) else count
        return count

    def report(self, spare, could_run):
        """
        Return the OrganisationUse.

        ``spare`` is what the pool has room for, and ``could_run(kind)`` tells whether
        it has an endpoint for tasks of a kind.
        """
        kinds = [
            (kind, count)
            for kind, count in self.waiting.kinds()
            if could_run(kind) and fits(kind.required, self.limit)
        ]
        required = total(times(kind.resources, count) for kind, count in kinds)
        waiting = minus(required, self._placed)
        if waiting == NOTHING:
            return OrganisationUse(self.number, self.use, lasting=self.lasting)
        at_once = [kind.required for kind, _ in kinds]
        largest = lowest(reduce(highest, at_once), waiting)
        smallest = lowest(reduce(lowest, at_once), waiting)
        demand = highest(lowest(waiting, spare), largest)
        return OrganisationUse(
            self.number, self.use, demand, largest, smallest, self.lasting
        )
