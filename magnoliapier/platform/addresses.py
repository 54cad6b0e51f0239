"""Checks of the addresses and endpoint ids that other programs write."""

import ipaddress
import re

from magnoliapier.exceptions import MessageError

MAX_PORT = 65535
MAX_HOST_CHARACTERS = 253  # of a name in DNS
HOST_NAME_PATTERN = re.compile(
    r"(?!-)[0-9A-Za-z-]{1,63}(?<!-)(\.(?!-)[0-9A-Za-z-]{1,63}(?<!-))*\Z"
)
ADDRESS_PATTERN = re.compile(
    r"(?:\[(?P<ipv6>[0-9A-Fa-f:.]+)\]|(?P<host>[0-9A-Za-z.-]+)):(?P<port>[0-9]{1,5})\Z"
)
ENDPOINT_ID_PATTERN = re.compile(r"[!-~]+\Z")  # what a header field can hold


def check_address(address):
    """Raise MessageError unless ``address`` is ``host:port`` that a URL can hold."""
    match = ADDRESS_PATTERN.match(address)
    if match is None or not 1 <= int(match["port"]) <= MAX_PORT:
        raise MessageError(f"Give {shorten(address)} as host:port, port 1 to 65535.")
    if not _is_host(match["ipv6"], match["host"]):
        raise MessageError(f"Give an IP address or a host name in {shorten(address)}.")


def _is_host(ipv6, name):
    try:
        if ipv6 is not None:
            return bool(ipaddress.IPv6Address(ipv6))
        if name.rpartition(".")[2].isdigit():
            return bool(ipaddress.IPv4Address(name))
    except ValueError:
        return False
    return len(name) <= MAX_HOST_CHARACTERS and bool(HOST_NAME_PATTERN.match(name))


def check_endpoint_id(endpoint_id):
    """Raise MessageError unless a header field can hold ``endpoint_id``."""
    if not ENDPOINT_ID_PATTERN.match(endpoint_id):
        raise MessageError(
            f"Use printable ASCII characters for the id {shorten(endpoint_id)}."
        )


def shorten(text, max_characters=60):
    """Return ``text`` in quotes, cut so that a log line or message can hold it."""
    quoted = ascii(text[:max_characters])
    return quoted if len(text) <= max_characters else f"{quoted}..."
