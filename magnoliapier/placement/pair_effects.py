"""How much each of several neighbours adds to one measured ratio."""

import math

FORGETTING_S = 4.0  # after which a sample counts 1/e; effects change within seconds
MAX_NEIGHBOURS = 16
SWEEPS = 8  # each starts from the last solution, which is close
# Ridge terms of the least squares, in samples. That of the base is lower, so that a
# ratio that does not change with a neighbour's load is attributed to the task itself.
BASE_RIDGE = 0.02
NEIGHBOUR_RIDGE = 0.2
# The squared deviation of a neighbour's load from its mean, summed over samples, that a
# new estimate needs: a constant load can't be told from the task's own ratio.
MIN_VARIATION = 0.1
# A ratio that differs by more than this from the expected one shows that effects have
# changed; earlier samples would hide the change for as long as they count.
MAX_PREDICTION_ERROR = 0.3
# The weight of earlier samples after such a change; applied at most once for the
# samples of one moment.
CHANGE_DISCOUNT = 0.5
FADE_S = 20.0  # until an estimate that no new samples confirm is dropped
_BASE = None  # in place of a neighbour's name


class PairEffects:
    """
    Estimates by least squares what neighbours add to a ratio, with forgetting.

    A sample is the ratio, and the load of each neighbour: 1 for one task at full load.
    The ratio is modelled as a base and a sum of effects times loads, none of them
    negative. All neighbours of a sample explain it together, and each is attributed
    only what changes with its own load. Times are seconds.

    Example::

        effects = PairEffects()
        effects.add(1.2, {"batch": 1.0}, now)
        effects.add(0.4, {"batch": 0.2}, now)
        effects.estimate(now)["batch"]
    """

    def __init__(self):
        self._products = {_BASE: {}}
        self._ratio_products = {_BASE: 0.0}
        self._solution = {_BASE: 0.0}
        self._estimates = {}
        self._weighted_at = None
        self._changed_at = None
        self._added_at = None

    def add(self, ratio, loads, now, throttled=()):
        """
        Add a sample; ``loads`` maps names of neighbours to their loads.

        The estimates of ``throttled`` neighbours are kept: a steady low load shows
        nothing, and to forget them would leave them throttled for good.
        """
        self._fade(now)
        for name in throttled:
            if name in self._estimates:
                self._estimates[name] = (self._estimates[name][0], now)
        self._added_at = now
        sample = {_BASE: 1.0}
        for name, load in loads.items():
            if load > 0 and self._make_room_for(name):
                sample[name] = load
        self._discount_after_change(ratio, sample, now)
        for name, load in sample.items():
            row = self._products[name]
            for other, other_load in sample.items():
                row[other] = row.get(other, 0.0) + load * other_load
            self._ratio_products[name] += load * ratio

    def is_outdated(self, now):
        """Return whether there have been no samples for as long as estimates last."""
        return self._added_at is None or now - self._added_at > FADE_S

    def _discount_after_change(self, ratio, sample, now):
        expected = sum(load * self._solution[name] for name, load in sample.items())
        error = abs(ratio - expected)
        changed = self._solution[_BASE] and error > MAX_PREDICTION_ERROR
        if changed and now != self._changed_at:
            self._changed_at = now
            self._scale(CHANGE_DISCOUNT)

    def estimate(self, now):
        """Return what one task of each neighbour adds at full load, by name."""
        self._fade(now)
        self._solve()
        for name, effect in self._solution.items():
            if name is not _BASE and self._variation(name) >= MIN_VARIATION:
                self._estimates[name] = (effect, now)
        self._estimates = {
            name: (effect, at)
            for name, (effect, at) in self._estimates.items()
            if now - at < FADE_S
        }
        return {
            name: effect * (1 - (now - at) / FADE_S)
            for name, (effect, at) in self._estimates.items()
        }

    def _variation(self, name):
        row = self._products[name]
        samples = self._load_seen(_BASE)
        return self._load_seen(name) - row.get(_BASE, 0.0) ** 2 / max(samples, 1e-9)

    def _load_seen(self, name):
        """Return the sum of the squared loads of a neighbour."""
        return self._products[name].get(name, 0.0)

    def _make_room_for(self, name):
        """Return whether samples with a neighbour can be counted."""
        if name in self._products:
            return True
        if len(self._products) > MAX_NEIGHBOURS:
            least = min(self._products.keys() - {_BASE}, key=self._load_seen)
            if self._load_seen(least) >= MIN_VARIATION:
                return False
            self._forget(least)
        self._products[name] = {}
        self._ratio_products[name] = self._solution[name] = 0.0
        return True

    def _forget(self, name):
        for values in (self._products, self._ratio_products, self._solution):
            del values[name]
        for row in self._products.values():
            row.pop(name, None)

    def _fade(self, now):
        """Let the samples count less by the time since the last call."""
        if self._weighted_at is not None and now > self._weighted_at:
            self._scale(math.exp((self._weighted_at - now) / FORGETTING_S))
        self._weighted_at = now

    def _scale(self, factor):
        """Let the samples so far count less."""
        for row in self._products.values():
            for name in row:
                row[name] *= factor
        for name in self._ratio_products:
            self._ratio_products[name] *= factor

    def _solve(self):
        """Improve the solution by coordinate descent, which keeps it above zero."""
        for _ in range(SWEEPS):
            for name, row in self._products.items():
                explained = sum(
                    product * self._solution[other]
                    for other, product in row.items()
                    if other != name
                )
                ridge = NEIGHBOUR_RIDGE if name is not _BASE else BASE_RIDGE
                left = self._ratio_products[name] - explained
                self._solution[name] = max(0.0, left / (row.get(name, 0.0) + ridge))
