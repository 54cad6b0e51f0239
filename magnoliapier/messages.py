"""
Messages between the processes, as data classes and as Cap'n Proto bytes.

The data classes mirror the structs of ``messages.capnp``.

Example::

    data = encode(Heartbeat(name="entry-1", data_centre="dc-1", seq=7))
    assert decode(data).seq == 7
"""

import dataclasses
import typing
from dataclasses import dataclass, field
from pathlib import Path

import capnp

from magnoliapier.exceptions import MessageError

MAX_MESSAGE_BYTES = 16_777_216
WORD_BYTES = 8

capnp.remove_import_hook()
SCHEMA = capnp.load(str(Path(__file__).with_name("messages.capnp")))


@dataclass(frozen=True, slots=True)
class Demand:
    """Queued and in-flight requests of one service at one entry host."""

    service: str = ""
    queued: int = 0
    in_flight: int = 0


@dataclass(frozen=True, slots=True)
class Grant:
    """Permission for one sender to send to the hosts of a data centre."""

    holder: str = ""
    holder_incarnation: int = 0
    data_centre: str = ""
    seq: int = 0
    asked_at_ms: int = 0
    duration_ms: int = 0


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The state of one control process and its attached sender, for its peers."""

    name: str = ""
    data_centre: str = ""
    incarnation: int = 0
    seq: int = 0
    staged: int = 0
    sender_incarnation: int = 0
    sender_seq: int = 0
    eligible: bool = False
    sent_at_ms: int = 0
    demand: list[Demand] = field(default_factory=list)
    busy_hosts: list[str] = field(default_factory=list)
    leaving_hosts: list[str] = field(default_factory=list)
    suspected: list[str] = field(default_factory=list)
    grants: list[Grant] = field(default_factory=list)
    address: str = ""


@dataclass(frozen=True, slots=True)
class PullRequest:
    """Asks a peer for the log entries after a sequence number."""

    name: str = ""
    after_seq: int = 0


@dataclass(frozen=True, slots=True)
class PullReply:
    """Log entries, or a snapshot and the entries after it, as canonical JSON."""

    name: str = ""
    eligible: bool = False
    snapshot: bytes = b""
    entries: list[bytes] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """Fleet state for the entry process: a snapshot first, then entries."""

    snapshot: bytes = b""
    entries: list[bytes] = field(default_factory=list)
    eligible: bool = False


@dataclass(frozen=True, slots=True)
class Peer:
    """A live entry host, the age of its last report, and its demand."""

    name: str = ""
    data_centre: str = ""
    age_ms: int = 0
    demand: list[Demand] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class GrantedCentre:
    """A data centre to whose hosts the entry process may send for a while."""

    data_centre: str = ""
    seq: int = 0
    remaining_ms: int = 0


@dataclass(frozen=True, slots=True)
class PeerView:
    """What the control process knows about the other entry hosts."""

    peers: list[Peer] = field(default_factory=list)
    grants: list[GrantedCentre] = field(default_factory=list)
    leaving_hosts: list[str] = field(default_factory=list)
    eligible: bool = False


@dataclass(frozen=True, slots=True)
class EntryReport:
    """What the entry process tells its control process."""

    name: str = ""
    incarnation: int = 0
    applied_seq: int = 0
    demand: list[Demand] = field(default_factory=list)
    busy_hosts: list[str] = field(default_factory=list)
    leaving_hosts: list[str] = field(default_factory=list)
    snapshot_wanted: bool = False
    draining: bool = False


@dataclass(frozen=True, slots=True)
class SnapshotOffer(StateUpdate):
    """The entry process's state, for a control process that was restarted."""


MESSAGE_TYPES = {
    "heartbeat": Heartbeat,
    "pullRequest": PullRequest,
    "pullReply": PullReply,
    "stateUpdate": StateUpdate,
    "peerView": PeerView,
    "entryReport": EntryReport,
    "snapshotOffer": SnapshotOffer,
}
MESSAGE_NAMES = {kind: name for name, kind in MESSAGE_TYPES.items()}


def camel_case(name):
    """Return a snake case field name in the schema's camel case."""
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def describe_fields(kind):
    """Return (attribute, schema name, list item type or None) for each field."""
    hints = typing.get_type_hints(kind)
    return tuple(
        (
            item.name,
            camel_case(item.name),
            (
                typing.get_args(hints[item.name])[0]
                if typing.get_origin(hints[item.name]) is list
                else None
            ),
        )
        for item in dataclasses.fields(kind)
    )


FIELDS = {
    kind: describe_fields(kind)
    for kind in (Demand, Grant, Peer, GrantedCentre, *MESSAGE_TYPES.values())
}


# Structs without lists have a shorter code path, because a peer view can hold hundreds
# of them.
LEAF_FIELDS = {
    kind: tuple((attribute, name) for attribute, name, _ in fields)
    for kind, fields in FIELDS.items()
    if all(item_type is None for _, _, item_type in fields)
}


def to_values(message):
    """Return a message as the dict that pycapnp expects."""
    leaf = LEAF_FIELDS.get(type(message))
    if leaf is not None:
        return {name: getattr(message, attribute) for attribute, name in leaf}
    values = {}
    for attribute, name, item_type in FIELDS[type(message)]:
        value = getattr(message, attribute)
        if item_type in FIELDS:
            value = [to_values(item) for item in value]
        values[name] = value
    return values


def from_reader(kind, reader):
    """Build a data class of ``kind`` from a Cap'n Proto reader."""
    leaf = LEAF_FIELDS.get(kind)
    if leaf is not None:
        return kind(*[getattr(reader, name) for _, name in leaf])
    values = {}
    for attribute, name, item_type in FIELDS[kind]:
        value = getattr(reader, name)
        if item_type in FIELDS:
            value = [from_reader(item_type, item) for item in value]
        elif item_type is not None:
            value = list(value)
        values[attribute] = value
    return kind(**values)


def encode(message):
    """Return a message as packed Cap'n Proto bytes."""
    name = MESSAGE_NAMES[type(message)]
    return SCHEMA.Message.new_message(**{name: to_values(message)}).to_bytes_packed()


def decode(data):
    """
    Return the message in packed bytes.

    Raise MessageError for data that is too large, truncated or not a message.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageError("A message is too large; check the sender's version.")
    try:
        reader = SCHEMA.Message.from_bytes_packed(
            data, traversal_limit_in_words=MAX_MESSAGE_BYTES // WORD_BYTES
        )
        name = reader.which()
        return from_reader(MESSAGE_TYPES[str(name)], getattr(reader, str(name)))
    except (capnp.KjException, KeyError, ValueError, TypeError) as error:
        raise MessageError(
            f"A message cannot be decoded ({type(error).__name__}); "
            "check the sender's version."
        ) from None
