"""
The stored rows that divide the limits of organisations and report their use.

The holder of the fleet's shard writes an allowance row for each organisation, and the
holder of a service's shard one usage row. Both only increase their numbers, so that of
two rows the newer one is known whatever the order in which they are read.
"""

import hashlib

import msgspec

from magnoliapier.exceptions import MessageError
from magnoliapier.logs import get_logger
from magnoliapier.organisations.amounts import NOTHING
from magnoliapier.state.decoding import decode_stored
from magnoliapier.submissions.model import Resources

ALLOWANCE_PREFIX = "allowance/"
ALLOWANCE_END = "allowance0"  # follows all keys with the prefix
USAGE_KEY = "usage"
MAX_KEY_BYTES = 200  # the limit of the platform's table
MAX_ROW_BYTES = 48_000  # 64,000 in base64; the table takes 65,536

log = get_logger(__name__)


class ServiceAllowance(msgspec.Struct, frozen=True, array_like=True):
    """
    What the runs of an organisation may take on one service.

    ``allowed`` holds now. ``bound`` is the most that the service's holder may still act
    on: it may not have read a row that lowered the allowance. Once it acknowledges a
    row with at least the number ``since``, it acts on ``allowed`` at most.
    """

    allowed: Resources = NOTHING
    bound: Resources = NOTHING
    since: int = 0


class AllowanceRow(msgspec.Struct, frozen=True, array_like=True):
    """
    The division of one organisation's limit among the services.

    ``number`` increases with each change. A service that is not listed is allowed
    nothing. ``organisation`` is empty if the row's key holds the name.
    """

    number: int = 0
    services: dict[str, ServiceAllowance] = {}
    organisation: str = ""

    def allowed(self, service):
        """Return what a service is allowed."""
        return self.services.get(service, NO_ALLOWANCE).allowed


class OrganisationUse(msgspec.Struct, frozen=True, array_like=True):
    """
    What an organisation takes on one service, as its holder saw it at one moment.

    From that moment on, the holder starts runs only within allowance rows whose number
    is at least ``acknowledged``; 0 means that it starts none without a row. ``use`` is
    what all runs take that may exist, and ``demand`` what the waiting tasks could use
    besides. ``largest`` and ``smallest`` bound what they take that have to start at
    once: one task, or all of a gang. ``lasting`` is the part of the use that ends with
    the submission only.
    """

    acknowledged: int = 0
    use: Resources = NOTHING
    demand: Resources = NOTHING
    largest: Resources = NOTHING
    smallest: Resources = NOTHING
    lasting: Resources = NOTHING


class UsageRow(msgspec.Struct, frozen=True, array_like=True):
    """The use of each limited organisation on one service."""

    organisations: dict[str, OrganisationUse] = {}


NO_ALLOWANCE = ServiceAllowance()
NO_ROW = AllowanceRow()
NO_REPORT = OrganisationUse()

_ENCODER = msgspec.msgpack.Encoder()
_ALLOWANCE = msgspec.msgpack.Decoder(AllowanceRow)
_USAGE = msgspec.msgpack.Decoder(UsageRow)


def allowance_key(organisation):
    """Return the key of an organisation's allowance row, a digest for long names."""
    key = ALLOWANCE_PREFIX + organisation
    data = key.encode("utf-8", "surrogateescape")
    if len(data) <= MAX_KEY_BYTES:
        return key
    return ALLOWANCE_PREFIX + hashlib.sha256(data).hexdigest()


def with_name(row, organisation):
    """Return an AllowanceRow that names an organisation whose key does not."""
    if allowance_key(organisation) == ALLOWANCE_PREFIX + organisation:
        return row
    return msgspec.structs.replace(row, organisation=organisation)


def read_allowances(rows):
    """
    Return what stored rows hold: AllowanceRows, and the versions of unreadable rows.

    Both are dictionaries by organisation; rows of other kinds are left out.
    """
    allowances = {}
    unreadable = {}
    for row in rows:
        if row.removed or not row.key.startswith(ALLOWANCE_PREFIX):
            continue
        name = row.key.removeprefix(ALLOWANCE_PREFIX)
        try:
            allowance = decode_allowance(row.value)
        except MessageError as error:
            log.error("unreadable_allowance", organisation=name, error=error)
            unreadable[name] = row.version
        else:
            allowances[allowance.organisation or name] = allowance
    return allowances, unreadable


def encode(row):
    """Return the stored bytes of an allowance or usage row."""
    return _ENCODER.encode(row)


def decode_allowance(data):
    """Return the AllowanceRow in ``data``; raise MessageError if it is not one."""
    return decode_stored(_ALLOWANCE, data)


def decode_usage(data):
    """Return the UsageRow in ``data``; raise MessageError if it is not one."""
    return decode_stored(_USAGE, data)
