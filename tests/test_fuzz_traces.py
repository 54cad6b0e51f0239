import gzip
import io
import json
import tempfile
import unittest
from pathlib import Path

from hypothesis import given, strategies as st

from magnoliapier.exceptions import TraceError
from magnoliapier.traces import Arrival, Header, encode_event, parse_trace, read_trace
from tests.hostile_table import FUZZ_SETTINGS
from tests.samples import sample_manifest
from tests.test_fuzz_manifest import values

HEADER = Header("t", "a trace", 10.0, {"entry-1": "dc-1"}, sample_manifest(hosts=1))
ARRIVAL = Arrival(1.0, "entry-1", "r1", "wire", "desk-a", "short/x", "short", 0.1, 5.0)
LINES = [encode_event(HEADER), encode_event(ARRIVAL)]
TRACE = b"".join(LINES)


class TraceFuzzTests(unittest.TestCase):
    """Guards against a trace file that raises anything but a TraceError."""

    def parse(self, data):
        try:
            return parse_trace(io.BytesIO(data))
        except TraceError:
            return None

    def test_sample_is_accepted(self):
        self.assertEqual(len(self.parse(TRACE).events), 1)

    @FUZZ_SETTINGS
    @given(st.binary(max_size=200))
    def test_any_bytes(self, data):
        self.parse(data)
        self.parse(LINES[0] + data + b"\n")

    @FUZZ_SETTINGS
    @given(st.integers(0, len(TRACE)), st.integers(0, 12), st.binary(max_size=6))
    def test_mutated(self, start, length, data):
        self.parse(TRACE[:start] + data + TRACE[start + length :])

    @FUZZ_SETTINGS
    @given(st.sampled_from([0, 1]), st.data(), values)
    def test_replaced_fields(self, line, data, value):
        events = [json.loads(text) for text in LINES]
        events[line][data.draw(st.sampled_from(sorted(events[line])))] = value
        text = "\n".join(json.dumps(event) for event in events) + "\n"
        self.parse(text.encode())

    @FUZZ_SETTINGS
    @given(st.integers(0, 300), st.binary(min_size=1, max_size=4))
    def test_damaged_compression(self, position, data):
        packed = gzip.compress(TRACE, mtime=0)
        position %= len(packed)
        damaged = packed[:position] + data + packed[position + len(data) :]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "t.jsonl.gz")
            path.write_bytes(damaged)
            try:
                read_trace(path)
            except TraceError:
                return
