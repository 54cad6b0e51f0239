"""Hosts and the maintenance waves they belong to."""

from enum import StrEnum

import msgspec

from magnoliapier.submissions.model import Resources


class HostState(StrEnum):
    """The state of a host in the platform's host list."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"
    UNKNOWN = "unknown"  # its entry in the list cannot be read


class Host(msgspec.Struct):
    """
    A host of the fleet.

    ``service`` names its pool, and ``endpoint_id`` the endpoint that runs on it now.
    ``capacity`` is zero if it is unknown.
    """

    name: str
    service: str
    state: HostState
    data_centre: str = ""
    labels: tuple[str, ...] = ()
    endpoint_id: str = ""
    capacity: Resources = Resources()


class Wave(msgspec.Struct, frozen=True):
    """
    A wave of maintenance that the operator requests.

    Each host is maintained once, within ``duration_s``; at most ``max_down`` hosts may
    be down for the wave at once.
    """

    number: int
    hosts: tuple[str, ...]
    duration_s: float
    max_down: int
