"""Decoding of stored rows."""

import msgspec

from magnoliapier.exceptions import MessageError


def decode_stored(decoder, data):
    """Return the value in the bytes of a row; raise MessageError if there is none."""
    try:
        return decoder.decode(data)
    # The decoder reads unknown fields too; deep ones exceed Python's recursion limit.
    except (msgspec.MsgspecError, RecursionError) as error:
        raise MessageError(
            f"Cannot decode the stored row; remove or rewrite it: {error}"
        ) from error
