"""
The registry of checks, and what a check returns.

A check is a function of a :class:`~magnoliapier.outcomes.observations.ReplayReport`
and of the parameters that an outcome file may give. It returns None, or a
:class:`Violation` that names the first observation that breaks it. A check that
finds no observation of the kinds it needs returns a violation too, because it would
otherwise pass for any behaviour.
"""

from dataclasses import dataclass

from magnoliapier.registry import Registry

checks = Registry("check")

# Tolerance for floating-point rounding when seconds and shares are compared.
EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class Violation:
    """
    Why a check failed.

    ``index`` is the position of the first observation that breaks the check, or None
    if something is missing or a total is wrong. Observations with the same value in
    ``context_field`` are reported with it.
    """

    message: str
    index: int | None = None
    context_field: str | None = None


def nothing_observed(what):
    """Return the violation of a check for which the replay has no observations."""
    return Violation(f"the replay observed no {what}, so nothing was checked")
