"""
The registry of checks, and what a check returns.

A check is a function of a :class:`~magnoliapier.outcomes.observations.ReplayReport`
and of the parameters that an outcome file may give. It returns None, or a
:class:`Violation` that points at the first observation that breaks it. A check that
finds nothing to look at is a violation too, because it would otherwise pass for any
behaviour.
"""

from dataclasses import dataclass

from magnoliapier.registry import Registry

checks = Registry("check")

# Allows for the rounding of sums of seconds and of shares in comparisons.
EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class Violation:
    """
    Why a check failed.

    ``index`` is the first observation that breaks it, None if the check concerns
    something that is missing. ``focus`` names the field that relates others to it.
    """

    message: str
    index: int | None = None
    context_field: str | None = None


def nothing_observed(what):
    """Return the violation of a check that found nothing to look at."""
    return Violation(f"the replay observed no {what}, so nothing was checked")
