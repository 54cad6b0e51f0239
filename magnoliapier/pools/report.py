"""The rows in which shard controllers and the fleet controller share their state."""

import msgspec

from magnoliapier.pools.need import HostNeed
from magnoliapier.pools.order_retries import FailedOrder
from magnoliapier.state.decoding import decode_stored

REPORT_KEY = "pool"
PLAN_KEY = "plan"


class PoolReport(msgspec.Struct, array_like=True):
    """
    The state of a pool, written by the controller of its shard.

    ``released`` maps endpoints to their hosts; nothing runs or will be started there,
    so the hosts may be moved or maintained. ``wanted`` is the number of further hosts
    that the pool could use now, whatever their kind, and ``hosts`` the number that it
    keeps in use. ``further_needs`` tells which hosts of a kind it could use as well.
    ``release_numbers`` tells the releases of an endpoint apart: the numbers of a pool
    increase, up to ``last_release``. ``released_ms`` maps the endpoints to when they
    were released, in ms on the table's clock, 0 if unknown.
    """

    released: dict[str, str] = {}
    wanted: int = 0
    hosts: int = 0
    further_needs: tuple[HostNeed, ...] = ()
    release_numbers: dict[str, int] = {}
    last_release: int = 0
    released_ms: dict[str, int] = {}

    def release_number(self, endpoint_id):
        """Return the number of an endpoint's release, or None if it is not released."""
        if endpoint_id not in self.released:
            return None
        return self.release_numbers.get(endpoint_id, 0)


class FleetPlan(msgspec.Struct, array_like=True):
    """
    The state that the fleet controller stores for pools and for its successor.

    ``to_maintain`` holds hosts that their pools should empty now. ``maintained`` maps
    the number of a wave to the hosts whose maintenance has started. ``crashed`` holds
    the endpoints whose hosts went down recently. ``ordered`` maps hosts that were
    ordered recently to the end of the order's call, in ms on the table's clock, or to 0
    while the order may be under way; a successor sends them no orders for a while.
    ``returned`` maps released endpoints to the numbers of the releases that are not
    used: no order is or will be sent for these hosts before their pool releases them
    under a higher number, so that it may use them until then. ``last_up_ms`` maps the
    crashed endpoints to when the host list last showed them up, in ms on the table's
    clock, 0 if unknown; their incarnations of that time have ended. ``failed`` has the
    orders that took no effect, by host and destination. ``kept`` holds the endpoints
    whose hosts can be moved to no pool now, so that their pools keep them in use.
    ``paused`` is whether that holds for all, as the platform does not list its hosts.
    """

    to_maintain: tuple[str, ...] = ()
    maintained: dict[int, tuple[str, ...]] = {}
    crashed: tuple[str, ...] = ()
    ordered: dict[str, int] = {}
    returned: dict[str, int] = {}
    last_up_ms: dict[str, int] = {}
    failed: dict[str, dict[str, FailedOrder]] = {}
    kept: tuple[str, ...] = ()
    paused: bool = False

    def keeps(self, endpoint_id):
        """Return whether a pool should keep an endpoint, even if it is surplus."""
        return self.paused or endpoint_id in self.kept


_ENCODER = msgspec.msgpack.Encoder()
_REPORT = msgspec.msgpack.Decoder(PoolReport)
_PLAN = msgspec.msgpack.Decoder(FleetPlan)


def encode(value):
    """Return the stored bytes of a report or plan."""
    return _ENCODER.encode(value)


def decode_report(data):
    """Return the PoolReport in ``data``; raise MessageError if it is not one."""
    return decode_stored(_REPORT, data)


def decode_plan(data):
    """Return the FleetPlan in ``data``; raise MessageError if it is not one."""
    return decode_stored(_PLAN, data)
