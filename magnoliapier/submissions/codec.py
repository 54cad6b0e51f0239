"""The stored form of submissions and their progress: MessagePack, by msgspec."""

import msgspec

from magnoliapier.state.decoding import decode_stored
from magnoliapier.submissions.model import Submission
from magnoliapier.submissions.progress import StoredProgress

_ENCODER = msgspec.msgpack.Encoder()
_SUBMISSION = msgspec.msgpack.Decoder(Submission)
_PROGRESS = msgspec.msgpack.Decoder(StoredProgress)


def encode(value):
    """Return the stored bytes of a Submission or a StoredProgress."""
    return _ENCODER.encode(value)


def decode_submission(data):
    """Return the Submission in ``data``; raise MessageError if it is not one."""
    return decode_stored(_SUBMISSION, data)


def decode_progress(data):
    """Return the StoredProgress in ``data``; raise MessageError if it is not one."""
    return decode_stored(_PROGRESS, data)
