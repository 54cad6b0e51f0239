"""Calculations shared by replay drivers, outcome checks and benchmarks."""

import math


def nearest_rank(values, percent):
    """Return the nearest-rank percentile of a non-empty list."""
    ordered = sorted(values)
    rank = math.ceil(percent / 100 * len(ordered))
    return ordered[max(rank, 1) - 1]


def percentile(values, percent):
    """Return the nearest-rank percentile of ``values``, 0.0 if empty."""
    return nearest_rank(values, percent) if values else 0.0


def overlap(start, end, low, high):
    """Return the length of the part of start..end that lies inside low..high."""
    return max(0.0, min(end, high) - max(start, low))


def fair_shares(capacity, demands, weights=None):
    """
    Return the max-min fair share of ``capacity`` for each name in ``demands``.

    No share exceeds its demand. Capacity that a name does not need is divided among
    the others in proportion to their weights, which are 1 by default.
    """
    weights = weights or {}
    shares = {}
    remaining = capacity
    unsatisfied = set(demands)
    while unsatisfied:
        total = sum(weights.get(name, 1.0) for name in unsatisfied)
        level = remaining / total
        satisfied = [
            n for n in unsatisfied if demands[n] <= level * weights.get(n, 1.0)
        ]
        if not satisfied:
            shares.update({n: level * weights.get(n, 1.0) for n in unsatisfied})
            break
        for name in satisfied:
            shares[name] = demands[name]
            remaining -= demands[name]
            unsatisfied.discard(name)
    return shares
