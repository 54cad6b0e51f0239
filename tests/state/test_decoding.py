import unittest

import msgspec
from hypothesis import given, settings, strategies as st

from magnoliapier.exceptions import MessageError
from magnoliapier.pools.report import decode_plan, decode_report
from magnoliapier.state.lease import (
    LeaseRecord,
    LeaseView,
    decode_lease,
    encode_lease,
    read_lease,
)
from magnoliapier.state.rows import Row
from magnoliapier.submissions.codec import decode_progress, decode_submission
from magnoliapier.submissions.model import Submission

DEPTH = 100_000
NESTED = {
    "arrays": b"\x91" * DEPTH + b"\xc0",
    "maps": b"\x81\xa1a" * DEPTH + b"\xc0",
}
DECODERS = (
    decode_lease,
    decode_plan,
    decode_progress,
    decode_report,
    decode_submission,
)


def with_field(value, nested):
    """Return the stored bytes of a struct with the field x, which it does not have."""
    fields = msgspec.to_builtins(value)
    data = msgspec.msgpack.encode({**fields, "x": "@"})
    return data.replace(b"\xa1@", nested)


def with_item(items, nested):
    """Return the stored bytes of a struct that is stored as an array, with one more."""
    return msgspec.msgpack.encode([*items, "@"]).replace(b"\xa1@", nested)


class StoredRowTests(unittest.TestCase):
    def test_deep_nesting_is_a_message_error(self):
        """Guards against one stored row that ends every reader of its table."""
        lease = LeaseRecord("h", "p", "a:1", 1)
        submission = Submission("a" * 16, "q", "s", (), 1)
        for name, nested in NESTED.items():
            for decode in DECODERS:
                with self.subTest((name, decode)), self.assertRaises(MessageError):
                    decode(nested)
            for decode, data in (
                (decode_lease, with_field(lease, nested)),
                (decode_submission, with_field(submission, nested)),
                (decode_progress, with_item(["queued", 0, []], nested)),
                (decode_plan, with_item([[], {}, [], {}], nested)),
                (decode_report, with_item([{}, 0, 0], nested)),
            ):
                with self.subTest((name, decode)), self.assertRaises(MessageError):
                    decode(data)

    def test_lease_that_is_nested_too_deeply_counts_as_unreadable(self):
        """Guards against a table of leases that no host can follow any more."""
        data = with_field(LeaseRecord("h", "p", "a:1", 1), NESTED["maps"])
        self.assertIsNone(read_lease(Row("control", "s", "lease", data, 1)))

    def test_next_token_after_an_odd_one_can_be_stored(self):
        """Guards against one lease row after which no host can take a shard."""
        for token in (-1, 2**53, 2**64 - 1):
            fields = msgspec.to_builtins(LeaseRecord("h", "p", "a:1", 1))
            data = msgspec.msgpack.encode({**fields, "token": token})
            view = LeaseView()
            view.observe(read_lease(Row("control", "s", "lease", data, 9)), 9, now=1.0)
            record = LeaseRecord("h", "p", "a:1", view.next_token)
            with self.subTest(token):
                self.assertEqual(decode_lease(encode_lease(record)), record)
                self.assertGreater(record.token, 0)

    @settings(max_examples=300, deadline=None)
    @given(st.sampled_from(DECODERS), st.binary(max_size=60))
    def test_random_bytes_are_a_message_error(self, decode, data):
        """Guards against bytes that end a task of ours."""
        try:
            decode(data)
        except MessageError as error:
            self.assertTrue(str(error))
