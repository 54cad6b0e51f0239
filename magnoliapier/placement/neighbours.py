"""
Which images slow each other down on one endpoint.

Listings show the tail latency of each latency-sensitive task beside the load of its
neighbours. For each image of latency-sensitive tasks, the Neighbours learn which part
of the latency target a task of another image adds at full load.
"""

from bisect import bisect_right

from magnoliapier.placement.pair_effects import PairEffects
from magnoliapier.submissions.progress import FULL_PERCENT, RunState

MAX_IMAGES = 32  # of latency-sensitive and of other tasks each, with data of their own
# The effects, in parts of the latency target, from which on the cost is 1, 2 and 3. The
# levels are far apart, as noise moves an effect by about 0.1 and must not decide where
# a task goes.
COST_LEVELS = (0.15, 0.35, 0.7)
MIN_EFFECT = COST_LEVELS[0]  # smaller effects are not told from noise
MAX_RATIO = 3.0  # a single outlier must not outweigh all other samples
MAX_LOAD = 2.0  # of a task, relative to the mean at full speed
LOAD_SMOOTHING = 0.1  # the weight of a new reading in the mean at full speed


class NoNeighbours:
    """Knows of no images that slow each other down."""

    def cost(self, session, step):
        """Return how bad the neighbours of a task on an endpoint would be: 0."""
        return 0

    def effect(self, victim, neighbour):
        """Return which part of its target a neighbour costs a victim: 0."""
        return 0.0


NO_NEIGHBOURS = NoNeighbours()


class Neighbours:
    """
    Learns from listings which images slow down latency-sensitive ones.

    ``effects`` maps pairs (image of the latency-sensitive task, image of the other) to
    the part of the target that the other adds at full load. Tasks without an image are
    taken into account as neighbours, but nothing is known of them afterwards.

    Example::

        neighbours.observe(session, now)  # for each endpoint
        neighbours.learn(now)
        neighbours.cost(other_session, step)
    """

    def __init__(self):
        self.effects = {}
        self._concerned = frozenset()
        self._victims = {}
        self._full_loads = {}
        self._observed_at = {}

    def observe(self, session, now):
        """Take a sample from the newest listing of an endpoint's runs."""
        runs = [
            live
            for live in session.live.values()
            if live.run.state == RunState.CONFIRMED
        ]
        victims = [live for live in runs if is_victim(live)]
        if not victims:
            self._observed_at.pop(session.endpoint_id, None)
            return
        listed_at = max(live.run.listed_at for live in victims)
        if self._observed_at.get(session.endpoint_id) == listed_at:
            return
        self._observed_at[session.endpoint_id] = listed_at
        loads = [(live, self._load(live)) for live in runs]
        throttled = {live.step.image for live in runs if live.run.pace < FULL_PERCENT}
        for victim in victims:
            self._add_sample(victim, loads, throttled, now)

    def _add_sample(self, victim, loads, throttled, now):
        image = victim.step.image
        effects = self._victims.pop(image, None) or PairEffects()
        self._victims[image] = effects  # the last one, as the most recent
        if len(self._victims) > MAX_IMAGES:
            del self._victims[next(iter(self._victims))]
        by_image = {}
        for live, load in loads:
            if live is not victim:
                name = live.step.image
                by_image[name] = by_image.get(name, 0.0) + load
        ratio = victim.run.reading / victim.step.latency_target_ms
        effects.add(min(ratio, MAX_RATIO), by_image, now, throttled)

    def _load(self, live):
        """Return the load of a run, relative to a task of its image at full speed."""
        run = live.run
        if live.latency_sensitive:
            return 1.0  # its reading is its latency
        mean = self._full_loads.get(live.step.image, 0.0)
        if run.pace == FULL_PERCENT and run.reading > 0:
            mean += (run.reading - mean) * (LOAD_SMOOTHING if mean else 1.0)
            self._full_loads[live.step.image] = mean
        if not mean:
            return run.pace / FULL_PERCENT
        return min(MAX_LOAD, run.reading / mean)

    def learn(self, now):
        """
        Estimate the effects anew from all samples.

        Return the pairs that are noticed now and were not before.
        """
        before = self.effects
        self._victims = {
            image: effects
            for image, effects in self._victims.items()
            if not effects.is_outdated(now)
        }
        self.effects = {
            (victim, neighbour): effect
            for victim, effects in self._victims.items()
            for neighbour, effect in effects.estimate(now).items()
            if neighbour and effect >= MIN_EFFECT
        }
        self._concerned = frozenset(image for pair in self.effects for image in pair)
        while len(self._full_loads) > MAX_IMAGES:
            del self._full_loads[next(iter(self._full_loads))]
        return self.effects.keys() - before.keys()

    def effect(self, victim, neighbour):
        """Return which part of its target a neighbour costs a victim, by images."""
        return self.effects.get((victim, neighbour), 0.0)

    def cost(self, session, step):
        """
        Return how bad the neighbours of a task on an endpoint would be, in levels.

        It counts what the task would suffer from them, and what it would add to any
        one of them. It is 0 where nothing is known.
        """
        image = step.image
        if image not in self._concerned:
            return 0
        suffered = 0.0
        added = 0.0
        for live in session.live.values():
            other = live.step.image
            if step.latency_target_ms:
                suffered += self.effect(image, other)
            if live.latency_sensitive:
                added = max(added, self.effect(other, image))
        return bisect_right(COST_LEVELS, max(suffered, added))


def is_victim(live):
    """Return whether a listing shows how much a run is slowed down."""
    return live.latency_sensitive and live.step.image and live.run.reading > 0
