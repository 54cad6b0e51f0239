"""
Outcomes: checks of what a replay observed, written as JSON.

``language`` reads outcome files; ``results`` runs their checks on a report, which
``observations`` defines. The modules of checks are imported here, so that every check
is registered as soon as any part of the package is imported; a new module of checks
is added to the list below.
"""

from magnoliapier.outcomes import (
    fleet_checks,
    request_checks,
    slot_checks,
    store_checks,
    wait_checks,
)

__all__ = [
    "fleet_checks",
    "request_checks",
    "slot_checks",
    "store_checks",
    "wait_checks",
]
