"""Hosts and the maintenance waves they belong to."""

from enum import StrEnum

import msgspec


class HostState(StrEnum):
    """What a host is doing, as the platform lists it."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class Host(msgspec.Struct):
    """
    A host of the fleet.

    ``service`` names its pool and ``endpoint_id`` the endpoint that runs on it now.
    """

    name: str
    service: str
    state: HostState
    data_centre: str = ""
    labels: tuple[str, ...] = ()
    endpoint_id: str = ""


class Wave(msgspec.Struct, frozen=True):
    """Maintenance that the operator asks for: each host once, in ``duration_s``."""

    number: int
    hosts: tuple[str, ...]
    duration_s: float
    max_down: int
