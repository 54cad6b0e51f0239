"""Authenticates messages between processes and the requests of operators."""

import hashlib
import hmac

from magnoliapier.exceptions import AuthenticationError

TAG_BYTES = 16
MAX_CLOCK_SKEW_S = 60.0


def sign_message(key, data):
    """Return ``data`` with its 16-byte HMAC-SHA256 tag in front."""
    return compute_tag(key, data) + data


def verify_message(key, signed):
    """
    Return the data of a message made by :func:`sign_message`.

    Raise AuthenticationError if the tag does not match the data.
    """
    tag, data = signed[:TAG_BYTES], signed[TAG_BYTES:]
    if not hmac.compare_digest(tag, compute_tag(key, data)):
        raise AuthenticationError(
            "The authentication tag of a message does not match its data; "
            "give all processes the same auth.peer_key."
        )
    return data


def compute_tag(key, data):
    """Return the HMAC-SHA256 of ``data``, truncated to TAG_BYTES, under a text key."""
    return hmac.new(key.encode(), data, hashlib.sha256).digest()[:TAG_BYTES]


def make_token(key, name, now):
    """
    Return a bearer token for the operator ``name``, valid for MAX_CLOCK_SKEW_S.

    ``now`` is Unix time in seconds.
    """
    text = f"{name}:{int(now)}"
    return f"{text}:{compute_tag(key, encode_text(text)).hex()}"


def encode_text(text):
    """Return ``text`` as UTF-8; lone surrogates are encoded instead of rejected."""
    return text.encode("utf-8", "surrogatepass")


def check_token(key, token, now):
    """
    Return the operator name in a token made by :func:`make_token`.

    Raise AuthenticationError for a token that is malformed, forged, or older or newer
    than ``now`` by more than MAX_CLOCK_SKEW_S. With an empty key, reject every token.
    """
    text, _, tag = token.rpartition(":")
    name, _, issued_at = text.rpartition(":")
    if not key or not name or not issued_at.isdecimal():
        raise AuthenticationError("Send a token made with auth.operator_key.")
    expected = compute_tag(key, encode_text(text)).hex()
    # Compares bytes, because compare_digest() raises TypeError for non-ASCII text.
    if not hmac.compare_digest(encode_text(tag), expected.encode()):
        raise AuthenticationError("The token does not match auth.operator_key.")
    if abs(now - int(issued_at)) > MAX_CLOCK_SKEW_S:
        raise AuthenticationError("The token is too old; check the clocks.")
    return name
