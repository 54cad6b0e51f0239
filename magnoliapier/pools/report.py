"""What a shard's controller and the fleet controller tell each other."""

import msgspec

from magnoliapier.exceptions import MessageError

REPORT_KEY = "pool"
PLAN_KEY = "plan"


class PoolReport(msgspec.Struct, array_like=True):
    """
    The state of a pool, written by the controller of its shard.

    ``released`` maps an endpoint to its host; nothing runs there or will be started
    there, so the host may be moved or maintained. ``wanted`` is how many more hosts
    the pool could use now.
    """

    released: dict[str, str] = {}
    wanted: int = 0
    hosts: int = 0


class FleetPlan(msgspec.Struct, array_like=True):
    """
    What the fleet controller wants, what it has done, and what it has seen.

    ``to_maintain`` holds hosts that their pools should empty now. ``maintained`` maps
    the number of a wave to the hosts whose maintenance has begun. ``crashed`` holds the
    endpoints whose hosts went down lately. ``ordered`` maps hosts that
    were ordered lately to when the order's call had ended, in ms of the table's clock,
    0 while it may be under way; a successor leaves them alone for a while.
    """

    to_maintain: tuple[str, ...] = ()
    maintained: dict[int, tuple[str, ...]] = {}
    crashed: tuple[str, ...] = ()
    ordered: dict[str, int] = {}


_ENCODER = msgspec.msgpack.Encoder()
_REPORT = msgspec.msgpack.Decoder(PoolReport)
_PLAN = msgspec.msgpack.Decoder(FleetPlan)


def encode(value):
    """Return the stored bytes of a report or plan."""
    return _ENCODER.encode(value)


def decode_report(data):
    """Return the PoolReport in ``data``; raise MessageError if it is not one."""
    return _decode(_REPORT, data)


def decode_plan(data):
    """Return the FleetPlan in ``data``; raise MessageError if it is not one."""
    return _decode(_PLAN, data)


def _decode(decoder, data):
    try:
        return decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise MessageError(f"Remove or rewrite the stored row: {error}") from error
