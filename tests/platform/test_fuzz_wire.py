import json
import unittest

from hypothesis import given, settings, strategies as st
from yarl import URL

from magnoliapier.exceptions import MessageError
from magnoliapier.platform import wire
from magnoliapier.platform.machines import decode_hosts
from magnoliapier.platform.store import decode_row
from magnoliapier.pools.report import FleetPlan, encode as encode_plan
from magnoliapier.submissions.codec import encode
from tests.platform.test_addresses import ODD_ADDRESSES

EXAMPLES = 300
DEPTH = 100_000

numbers = st.one_of(
    st.integers(-(2**70), 2**70),
    st.floats(allow_nan=False, allow_infinity=False),
    st.just(1e308),
)
values = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        numbers,
        st.text(max_size=12),
        st.sampled_from(ODD_ADDRESSES),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.text(max_size=8), inner, max_size=4),
    ),
    max_leaves=8,
)


def call_url(record):
    """Return the URL that calls of an endpoint use; ids are part of its headers."""
    assert record.endpoint_id.isprintable() and record.endpoint_id.isascii()
    return URL(f"http://{record.address}/hold").host.encode("idna")


# What the process does with each message that other programs send. What it stores of
# them must fit the stored form.
CONVERSIONS = {
    wire.SubmissionBody: lambda body: encode(body.submission("0" * 16, "q", 0)),
    wire.ConfigBody: lambda body: [
        encode(queue.terms) for queue in body.configuration().queues
    ],
    wire.WaveBody: lambda body: encode_plan(
        FleetPlan(maintained={body.maintenance_wave().number: ()})
    ),
    wire.ServerBody: lambda body: call_url(body.record("i-1")),
    wire.MachinePage: lambda body: list(decode_hosts(body)),
    wire.HoldAnswer: lambda body: body.inspection(),
    wire.ClockBody: lambda body: body.clock_ms,
    wire.ReasonBody: lambda body: body.reason,
    wire.RowsAnswer: lambda body: [decode_row(row) for row in body.rows],
    wire.PartsAnswer: lambda body: body.parts,
}
VALID = {
    wire.SubmissionBody: {"spec": "x", "steps": [{"count": 1, "after": []}]},
    wire.ConfigBody: {
        "version": 1,
        "routes": [
            {
                "name": "q",
                "host": "h",
                "path_prefix": "/",
                "service": "s",
                "advice": {"decide_ms": 5},
            }
        ],
        "services": [{"name": "s"}],
    },
    wire.WaveBody: {"wave": 1, "machines": ["m"], "duration_s": 1.5, "maximum": 1},
    wire.ServerBody: {
        "service": "s",
        "address": "10.0.0.1:1",
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": 1, "mem_mb": 1},
        "born": 1,
    },
    wire.MachinePage: {"machines": [{"machine": "m", "pool": "s", "state": "up"}]},
    wire.HoldAnswer: {
        "clock_ms": 1,
        "running": [["a.0.0.0", 1, "", 10, 5]],
        "ended": [[1, "a.0.0.0", 1, "done", ""]],
    },
    wire.ClockBody: {"clock_ms": 1},
    wire.ReasonBody: {"reason": "room"},
    wire.RowsAnswer: {"rows": [{"table": "t", "key": "k", "value": "AA=="}]},
    wire.PartsAnswer: {"parts": ["p"], "ver": 1},
}


def replace_one(draw, message):
    """Return ``message`` with one of its values replaced, at any depth."""
    if isinstance(message, dict) and message and draw(st.integers(0, 3)):
        key = draw(st.sampled_from(sorted(message)))
        return {**message, key: replace_one(draw, message[key])}
    if isinstance(message, list) and message and draw(st.integers(0, 3)):
        index = draw(st.integers(0, len(message) - 1))
        changed = replace_one(draw, message[index])
        return [*message[:index], changed, *message[index + 1 :]]
    return draw(values)


@st.composite
def damaged_messages(draw):
    """Return a message type, and bytes that are almost a message of that type."""
    message_type = draw(st.sampled_from(sorted(VALID, key=lambda t: t.__name__)))
    data = json.dumps(replace_one(draw, VALID[message_type])).encode()
    if draw(st.booleans()):
        data = data[: draw(st.integers(0, len(data)))]
    return message_type, data


class DamagedMessageTests(unittest.TestCase):
    def convert(self, message_type, data):
        """Decode and convert ``data``; only MessageError may be raised."""
        try:
            CONVERSIONS[message_type](wire.decode(message_type, data))
        except MessageError as error:
            self.assertTrue(str(error))

    def test_valid_messages_are_read(self):
        """Guards against a fuzz test that never gets past the decoder."""
        for message_type, message in VALID.items():
            body = wire.decode(message_type, json.dumps(message).encode())
            CONVERSIONS[message_type](body)

    @settings(max_examples=EXAMPLES, deadline=None)
    @given(damaged_messages())
    def test_damaged_message_is_a_message_error(self, damaged):
        """Guards against a message of another writer that ends a task."""
        self.convert(*damaged)

    @settings(max_examples=EXAMPLES, deadline=None)
    @given(st.sampled_from(sorted(CONVERSIONS, key=str)), st.binary(max_size=60))
    def test_random_bytes_are_a_message_error(self, message_type, data):
        """Guards against bytes that are no JSON at all."""
        self.convert(message_type, data)

    @settings(max_examples=EXAMPLES, deadline=None)
    @given(st.text(max_size=12), st.one_of(st.sampled_from(ODD_ADDRESSES), st.text()))
    def test_damaged_endpoint_row_is_a_message_error(self, endpoint_id, address):
        """Guards against an endpoint that no call can be sent to."""
        data = json.dumps({**VALID[wire.ServerBody], "address": address}).encode()
        try:
            call_url(wire.decode(wire.ServerBody, data).record(endpoint_id))
        except MessageError as error:
            self.assertTrue(str(error))

    def test_deep_nesting_is_a_message_error(self):
        """Guards against a message of another writer that exceeds the stack."""
        arrays = b"[" * DEPTH + b"]" * DEPTH
        objects = b'{"a":' * DEPTH + b"1" + b"}" * DEPTH
        for message_type, message in VALID.items():
            for nested in (arrays, objects):
                with self.subTest(message_type.__name__):
                    self.convert(message_type, nested)
                    for field in ("unknown", *message):
                        data = json.dumps({**message, field: "@"}).encode()
                        self.convert(message_type, data.replace(b'"@"', nested))

    def test_numbers_outside_the_range_are_message_errors(self):
        """Guards against numbers that the decoder takes and a conversion does not."""
        for number in ("1e999", "-1e999", "1e308", "123456789012345678901234567890"):
            row = f'["a.0.0.0", 1, "", {number}, {number}]'
            answer = f'{{"clock_ms": 1, "running": [{row}]}}'
            self.convert(wire.HoldAnswer, answer.encode())
            step = f'{{"count": 1, "estimated_ms": {number}}}'
            submission = f'{{"spec": "x", "steps": [{step}]}}'
            self.convert(wire.SubmissionBody, submission.encode())
