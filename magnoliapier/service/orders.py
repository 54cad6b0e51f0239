"""Orders to endpoints and their answers, independent of any wire format."""

from enum import StrEnum
from typing import Protocol

import msgspec


class OrderRefusal(StrEnum):
    """Why an endpoint refused an order."""

    FENCED = "fenced"  # it has seen a higher fencing token
    SUPERSEDED = "superseded"  # it has seen this run, or a later one, end
    EXPIRED = "expired"  # the order's lease had ended when it arrived
    NO_ROOM = "no_room"
    TICKET = "ticket"  # the advice service's permission is missing or old
    UNHEALTHY = "unhealthy"
    WRONG_INSTANCE = "wrong_instance"  # another life of the endpoint answers
    INVALID = "invalid"


class ListedRun(msgspec.Struct):
    """
    A running task as its endpoint lists it.

    ``reading`` is the tail latency in ms of a serving task and the processor in use,
    in thousandths of a core, of any other.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    reading: int = 0


class RunEnd(msgspec.Struct):
    """An ended run; ``number`` rises within one life of the endpoint."""

    number: int
    task: str
    run: int
    reason: str
    checkpoint: str


class Inspection(msgspec.Struct):
    """
    What an endpoint runs and which ends it still lists.

    ``started_ms`` tells apart two incarnations of an endpoint under one id.
    """

    clock_ms: int
    running: list[ListedRun]
    ended: list[RunEnd]
    started_ms: int = 0


class StartOrder(msgspec.Struct):
    """Start a run; ``deadline_ms`` is on the endpoint's clock."""

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

    Raises OrderRefusedError if nothing was done and EndpointUnreachableError if the
    order may have been or may yet be carried out.
    """

    async def start(self, endpoint, order):
        """Start a run and return the endpoint's clock in ms."""

    async def stop(self, endpoint, task, run, token):
        """Stop a run, or bar one that has not arrived; return the clock in ms."""

    async def inspect(self, endpoint, token, deadline_ms, acknowledged, wait_ms):
        """Extend the lease, acknowledge ends and return an Inspection."""

    async def set_pace(self, endpoint, task, run, percent, token):
        """Let a run work at a share of its speed."""
