"""The stored form of submissions and their progress: MessagePack, by msgspec."""

import msgspec

from magnoliapier.state.decoding import decode_stored
from magnoliapier.submissions.model import Submission
from magnoliapier.submissions.progress import StoredProgress

_ENCODER = msgspec.msgpack.Encoder()
_SUBMISSION = msgspec.msgpack.Decoder(Submission)
_PROGRESS = msgspec.msgpack.Decoder(StoredProgress)
# The longest stored form without tasks.
_PIECE = StoredProgress("completed", 2**63 - 1, (), 2**32)


def encode(value):
    """Return the stored bytes of a Submission or a StoredProgress."""
    return _ENCODER.encode(value)


def encode_progress(stored, max_bytes):
    """
    Return the stored bytes of a StoredProgress, in pieces of at most ``max_bytes``.

    Each piece is a StoredProgress with some of the tasks.
    """
    data = encode(stored)
    if len(data) <= max_bytes:
        return [data]
    groups = list(_group_tasks(stored.tasks, max_bytes - len(encode(_PIECE))))
    return [
        encode(
            msgspec.structs.replace(stored, tasks=tuple(group), row_count=len(groups))
        )
        for group in groups
    ]


def _group_tasks(tasks, max_bytes):
    """Yield lists of tasks whose stored forms take at most ``max_bytes`` together."""
    group, size = [], 0
    for task in tasks:
        task_size = len(encode(task))
        if group and size + task_size > max_bytes:
            yield group
            group, size = [], 0
        group.append(task)
        size += task_size
    if group:
        yield group


def decode_submission(data):
    """Return the Submission in ``data``; raise MessageError if it is not one."""
    return decode_stored(_SUBMISSION, data)


def decode_progress(data):
    """Return the StoredProgress in ``data``; raise MessageError if it is not one."""
    return decode_stored(_PROGRESS, data)
