"""Orders to endpoints and the answers to them, independent of any wire format."""

from enum import StrEnum
from typing import Protocol

import msgspec


class OrderRefusal(StrEnum):
    """Why an endpoint refused an order."""

    FENCED = "fenced"  # it has seen a higher fencing token
    SUPERSEDED = "superseded"  # this or a later run of the task ended or was stopped
    EXPIRED = "expired"  # the deadline in the order had passed on arrival
    NO_ROOM = "no_room"
    TICKET = "ticket"  # the advice service's permission is missing or outdated
    UNHEALTHY = "unhealthy"
    WRONG_INSTANCE = "wrong_instance"  # another incarnation of the endpoint answered
    INVALID = "invalid"


class ListedRun(msgspec.Struct):
    """
    A running task as its endpoint lists it.

    ``checkpoint`` is the newest checkpoint. ``percent`` is the progress; a long-running
    task reports 100 while it works in full. ``reading`` is the tail latency in ms of a
    latency-sensitive task, and the CPU in use in millicores of any other.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    reading: int = 0


class RunEnd(msgspec.Struct):
    """An ended run; ``number`` increases within one incarnation of the endpoint."""

    number: int
    task: str
    run: int
    reason: str
    checkpoint: str


class Inspection(msgspec.Struct):
    """
    The runs of an endpoint and the ended runs that are not acknowledged yet.

    ``started_ms`` distinguishes the incarnations of an endpoint under one id.
    ``lists_all_ends`` is whether ``ended`` is complete: an endpoint lists a limited
    number, the others once these are acknowledged.
    """

    clock_ms: int
    running: list[ListedRun]
    ended: list[RunEnd]
    started_ms: int = 0
    lists_all_ends: bool = True


class StartOrder(msgspec.Struct):
    """
    The order to start a run.

    ``deadline_ms`` is the end of the endpoint's lease, on the endpoint's clock.
    """

    task: str
    run: int
    spec: str
    deadline_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


class EndpointClient(Protocol):
    """
    Sends orders to endpoints.

    Methods raise OrderRefusedError if the order was not carried out, and
    EndpointUnreachableError if it may have been carried out or may still be.
    """

    async def start(self, endpoint, order):
        """Start a run and return the endpoint's clock in ms."""

    async def stop(self, endpoint, task, run, token):
        """
        Stop a run and return the endpoint's clock in ms.

        If the run's start order has not arrived yet, it will be refused.
        """

    async def inspect(self, endpoint, token, deadline_ms, acknowledged, wait_ms):
        """
        Extend the lease, acknowledge ends and return an Inspection.

        ``deadline_ms`` is the new end of the lease, or None to leave it unchanged.
        ``acknowledged`` is the number of the last stored end. The endpoint may hold
        back its answer for up to ``wait_ms``.
        """

    async def set_pace(self, endpoint, task, run, percent, token):
        """
        Throttle a run to ``percent`` of its full speed.

        Returns the endpoint's clock in ms.
        """
