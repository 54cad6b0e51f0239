"""Arithmetic that replay drivers, checks of outcomes and benchmarks share."""

import math


def nearest_rank(values, percent):
    """Return the nearest-rank percentile of a non-empty list."""
    ordered = sorted(values)
    rank = math.ceil(percent / 100 * len(ordered))
    return ordered[max(rank, 1) - 1]


def overlap(start, end, low, high):
    """Return the length of the part of start..end that lies inside low..high."""
    return max(0.0, min(end, high) - max(start, low))


def fair_shares(capacity, demands, weights=None):
    """
    Return the max-min fair part of ``capacity`` for each name in ``demands``.

    Nobody gets more than demanded; what one leaves is shared by the others in
    proportion to their weights.
    """
    weights = weights or {}
    shares = {}
    remaining = capacity
    open_names = set(demands)
    while open_names:
        total = sum(weights.get(name, 1.0) for name in open_names)
        level = remaining / total
        met = [n for n in open_names if demands[n] <= level * weights.get(n, 1.0)]
        if not met:
            shares.update({n: level * weights.get(n, 1.0) for n in open_names})
            break
        for name in met:
            shares[name] = demands[name]
            remaining -= demands[name]
            open_names.discard(name)
    return shares
