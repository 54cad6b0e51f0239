import tempfile
import unittest
from pathlib import Path

from magnoliapier.clock import VirtualClock
from magnoliapier.manifest import validate_manifest
from magnoliapier.request_tables import EndpointEntry, RequestEntry, WorkClass
from magnoliapier.request_trace import RequestTrace
from magnoliapier.settings import build_settings
from magnoliapier.traces import Arrival, Commit, Drain, read_trace
from tests.samples import sample_manifest

KEY = "payment-4711"


class RequestTraceTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, "entry-1.jsonl")
        self.clock = VirtualClock()

    def make_trace(self, path):
        return RequestTrace(build_settings({"trace_file": str(path)}), self.clock)

    def test_recorded_trace_can_be_replayed(self):
        """Guards against a recording that lacks run times or cannot be read."""
        trace = self.make_trace(self.path)
        values = sample_manifest()
        endpoint = EndpointEntry(
            "wire/wire-0", "wire", "wire-0", "dc-1", "127.0.0.1:1", 8
        )
        trace.record_fleet_change(validate_manifest(values), [endpoint])
        request = RequestEntry(
            "r1", "wire", "desk-a", "short:x", WorkClass.SHORT, False, 0.0, 5.0, key=KEY
        )
        trace.record_arrival(request)
        self.clock.advance(0.25)
        trace.record_completion(request, 0.25)
        values["organisations"]["desk-c"] = {}
        endpoint.leaving = True
        trace.record_fleet_change(validate_manifest(values), [endpoint])
        trace.record_fleet_change(validate_manifest(values), [endpoint])
        trace.close()
        events = read_trace(self.path).events
        self.assertEqual([type(event) for event in events], [Arrival, Commit, Drain])
        self.assertEqual(events[0].run_s, 0.25)
        self.assertNotIn(KEY, self.path.read_text())

    def test_nothing_is_recorded_without_a_file(self):
        trace = RequestTrace(build_settings(), self.clock)
        trace.record_fleet_change(validate_manifest(sample_manifest()), [])
        trace.close()
        self.assertFalse(self.path.exists())
