"""
Bounds on the bytes of one connection that belong to no body.

These are heads, the empty lines before them, and the sizes, extensions and trailers of
chunks. The parser keeps or skips them before the product reads anything, so the limit
on bodies does not bound them.
"""

from enum import StrEnum

# Of one read; with more, the chunks hold a few bytes each and are slow to parse.
COSTLY_FRAMING_BYTES = 512


class Excess(StrEnum):
    """The reason to refuse a connection's bytes."""

    HEAD = "head_too_long"
    FRAMING = "chunk_framing_too_long"


class RequestMeter:
    """
    Counts one connection's bytes outside bodies, with each read.

    ``in_head`` tells whether a head has begun and not ended; empty lines begin none.
    ``costly`` tells whether the last read was slow to parse for its size.

    Example::

        if messages:
            meter.end_head(messages[-1].payload)
        elif excess := meter.read(data, 16_384):
            refuse(excess)
    """

    __slots__ = ("in_head", "costly", "_head_bytes", "_framing_bytes", "_body", "_seen")

    def __init__(self):
        self.in_head = False
        self.costly = False
        self._head_bytes = 0
        self._framing_bytes = 0  # since the last byte of a body
        self._body = None
        self._seen = 0

    @property
    def in_body(self):
        """Return whether a body has begun and not ended."""
        return self._body is not None

    def fail_body(self, error):
        """Let the reader of an unfinished body get ``error`` instead of its end."""
        if self._body is not None:
            self._body.set_exception(error)

    def end_head(self, payload):
        """
        Note that a read has completed a head, or several.

        ``payload`` is the body stream of the last one's request.
        """
        self.in_head = False
        self.costly = False
        self._head_bytes = 0
        self._framing_bytes = 0
        self._body = None if payload.is_eof() else payload
        self._seen = payload.total_bytes

    def read(self, data, limit):
        """Count a read that has completed no head; return an Excess, or None."""
        if self._body is not None:
            return self._continue_body(data, limit)
        return self._continue_head(data, limit)

    def _continue_body(self, data, limit):
        received = self._body.total_bytes - self._seen
        framing = len(data) - received
        self._seen += received
        self._framing_bytes = framing if received else self._framing_bytes + framing
        self.costly = framing > COSTLY_FRAMING_BYTES
        if self._body.is_eof():
            self._body = None
            self._framing_bytes = 0
        return Excess.FRAMING if self._framing_bytes > limit + len(data) else None

    def _continue_head(self, data, limit):
        self._head_bytes += len(data)
        self.costly = False
        self.in_head = self.in_head or bool(data.strip(b"\r\n"))
        return Excess.HEAD if self._head_bytes > limit else None
