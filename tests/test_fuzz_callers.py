import unittest

from hypothesis import given, strategies as st
from waitress.adjustments import Adjustments

from magnoliapier.callers import (
    RequestRefusedError,
    StrictParser,
    check_host,
    check_parsed,
    read_entry,
    read_target,
)
from tests.hostile_table import FUZZ_SETTINGS
from tests.samples import sample_state

MANIFEST = sample_state().manifest
REQUEST = (
    b"POST /wire/file?x=1 HTTP/1.1\r\nHost: h\r\nX-Organisation: desk-a\r\n"
    b"X-Request-Id: r\r\nIdempotency-Key: k\r\nX-Deadline-Ms: 500\r\n"
    b"X-Declared-Ms: 20\r\nX-Idempotent: false\r\nX-Request-Class: short\r\n"
    b"Content-Length: 3\r\n\r\nabc"
)
HEADERS = (
    "Host",
    "X-Organisation",
    "X-Request-Id",
    "Idempotency-Key",
    "X-Deadline-Ms",
    "X-Declared-Ms",
    "X-Idempotent",
    "X-Request-Class",
    "Content-Length",
    "Transfer-Encoding",
    "Connection",
    "Expect",
)
hostile_values = st.one_of(
    st.binary(max_size=30),
    st.sampled_from(
        [b"\xb2", b"9" * 5000, b"-1", b"0", b"1e3", b"1\n", b" ", b"a,b", b"true,true"]
    ),
)


def parse_request(data, piece_size=0):
    """
    Parse a request as CallerChannel does, in pieces of ``piece_size`` bytes if given.

    Return its RequestEntry, or None if the request is incomplete.
    """
    parser = StrictParser(Adjustments())
    while data and not parser.completed:
        size = min(piece_size or len(data), len(data))
        consumed = parser.received(data[:size])
        if not consumed:
            return None
        data = data[consumed:]
    if not parser.completed:
        return None
    check_parsed(parser)
    target = read_target(parser)
    check_host(parser)
    return read_entry(parser, target, MANIFEST, "id", 0.0)


class CallerFuzzTests(unittest.TestCase):
    """Guards against request bytes that raise an unexpected exception in the parser."""

    def assert_handled(self, data, piece_size=0):
        try:
            entry = parse_request(data, piece_size)
        except RequestRefusedError as error:
            self.assertTrue(error.reason)
            return None
        if entry is not None:
            self.assertIn(entry.organisation, MANIFEST.organisations)
            self.assertTrue(0 < entry.deadline < 1e6)
        return entry

    def test_sample_is_accepted(self):
        """Guards against fuzzing a sample that is refused for an unrelated reason."""
        self.assertEqual(self.assert_handled(REQUEST).key, "k")

    @FUZZ_SETTINGS
    @given(st.binary(max_size=300))
    def test_any_bytes(self, data):
        self.assert_handled(data + b"\r\n\r\n")

    @FUZZ_SETTINGS
    @given(
        st.integers(0, len(REQUEST)),
        st.integers(0, 10),
        st.binary(max_size=6),
        st.integers(0, 9),
    )
    def test_mutated(self, start, length, data, piece_size):
        self.assert_handled(
            REQUEST[:start] + data + REQUEST[start + length :], piece_size
        )

    @FUZZ_SETTINGS
    @given(st.sampled_from(HEADERS), hostile_values, st.booleans())
    def test_headers(self, name, value, replace):
        lines = REQUEST.split(b"\r\n")
        if replace:
            lines = [line for line in lines if not line.startswith(name.encode())]
        lines.insert(1, name.encode() + b": " + value)
        self.assert_handled(b"\r\n".join(lines))

    def test_length_of_thousands_of_digits(self):
        """Guards against a ValueError that closed the connection without a response."""
        lines = [b"POST /wire/x HTTP/1.1", b"Host: h"]
        lines.append(b"Content-Length: " + b"9" * 5000)
        with self.assertRaises(RequestRefusedError):
            parse_request(b"\r\n".join(lines) + b"\r\n\r\n")

    @FUZZ_SETTINGS
    @given(st.text(max_size=40))
    def test_targets(self, target):
        line = f"GET /{target} HTTP/1.1".encode(errors="replace")
        self.assert_handled(line + b"\r\nHost: h\r\nX-Organisation: desk-a\r\n\r\n")
