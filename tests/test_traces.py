import gzip
import tempfile
import threading
import unittest
from pathlib import Path

from magnoliapier import traces
from magnoliapier.clock import VirtualClock
from magnoliapier.exceptions import TraceError
from magnoliapier.traces import Arrival, Completion, Drain, Fault, Header, TraceRecorder
from tests.samples import sample_manifest


def sample_header(**changes):
    values = {
        "name": "sample",
        "description": "A sample.",
        "duration_s": 10.0,
        "entry_hosts": {"entry-1": "dc-1"},
        "manifest": sample_manifest(),
    }
    return Header(**(values | changes))


def sample_arrival(t=1.0, request_id="r-1", **changes):
    values = {
        "entry": "entry-1",
        "service": "wire",
        "organisation": "desk-a",
        "kind": "short/filings",
        "work_class": "short",
        "run_s": 0.1,
        "deadline_s": 5.0,
    }
    return Arrival(t, request_id=request_id, **(values | changes))


class TraceFileTestCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)


class RoundTripTests(TraceFileTestCase):
    def test_plain_and_compressed_files_return_the_events(self):
        """Guards against a field that is lost or changed when a trace is written."""
        events = [
            sample_arrival(idempotent=False, key="k", cancel_s=0.5, declared_s=2.0),
            Drain(2.0, "wire-0", "spare", 3.0),
            Fault(3.0, "rack_lost", 4.0, "rack-1-0-0", 0.5),
        ]
        for name in ("a.jsonl", "a.jsonl.gz"):
            path = self.folder / name
            traces.write_trace(path, sample_header(), reversed(events))
            trace = traces.read_trace(path)
            self.assertEqual(trace.events, events)
            self.assertEqual(trace.header, sample_header())

    def test_same_events_give_the_same_bytes(self):
        """Guards against generated files that differ between runs."""
        paths = [self.folder / "a.jsonl.gz", self.folder / "b.jsonl.gz"]
        for path in paths:
            traces.write_trace(path, sample_header(), [sample_arrival()])
        self.assertEqual(paths[0].read_bytes(), paths[1].read_bytes())


class StrictReadingTests(TraceFileTestCase):
    """Guards against invalid traces that are replayed instead of refused."""

    def assert_refused(self, second_line, text, header=None):
        path = self.folder / "bad.jsonl"
        first = traces.encode_event(header or sample_header())
        path.write_bytes(first + second_line)
        with self.assertRaises(TraceError) as caught:
            traces.read_trace(path)
        self.assertIn(text, str(caught.exception))

    def test_error_names_the_line_and_the_remedy(self):
        self.assert_refused(b"{]\n", "Line 2: unusable JSON")
        self.assert_refused(b"[]\n", "Write one object per line")
        self.assert_refused(b'{"type":"feast","t":1}\n', "Use one of: arrival")

    def test_refuses_wrong_fields(self):
        cases = {
            b'{"type":"drain","t":1,"host":"wire-0","colour":1}\n': "$.colour",
            b'{"type":"drain","t":1}\n': "$.host",
            b'{"type":"drain","t":"1","host":"wire-0"}\n': "$.t",
            b'{"type":"drain","t":NaN,"host":"wire-0"}\n': "NaN",
            b'{"type":"drain","t":-1,"host":"wire-0"}\n': "$.t",
            b'{"type":"drain","t":1,"t":2,"host":"wire-0"}\n': "twice",
            b'{"type":"fault","t":1,"kind":"mood","duration_s":1}\n': "$.kind",
        }
        for line, text in cases.items():
            with self.subTest(line=line):
                self.assert_refused(line, text)

    def test_refuses_undeclared_names(self):
        for event in (
            sample_arrival(entry="entry-9"),
            sample_arrival(service="radio"),
            Drain(1.0, "wire-99"),
            Fault(1.0, "rack_lost", 1.0, "rack-9"),
            Fault(1.0, "endpoint_down", 1.0),
        ):
            with self.subTest(event=event):
                self.assert_refused(traces.encode_event(event), "not declared")

    def test_refuses_wrong_times(self):
        late = traces.encode_event(sample_arrival(t=11.0))
        self.assert_refused(late, "after the end")
        unsorted = [sample_arrival(2.0), sample_arrival(1.0)]
        lines = b"".join(map(traces.encode_event, unsorted))
        self.assert_refused(lines, "Line 3: t is before")

    def test_refuses_wrong_headers(self):
        line = traces.encode_event(sample_arrival())
        self.assert_refused(line, "version 2", sample_header(version=2))
        self.assert_refused(line, "$.services", sample_header(manifest={}))
        self.assert_refused(traces.encode_event(sample_header()), "second header")

    def test_refuses_cut_off_and_oversized_lines(self):
        line = traces.encode_event(sample_arrival())
        self.assert_refused(line[:-1], "ends inside this line")
        self.assert_refused(b" " * traces.MAX_EVENT_BYTES + line, "Shorten")
        self.assert_refused(b"[" * 60_000 + b"\n", "Line 2")

    def test_refuses_truncated_compression(self):
        path = self.folder / "cut.jsonl.gz"
        path.write_bytes(gzip.compress(b"x" * 10_000)[:-10])
        with self.assertRaises(TraceError):
            traces.read_trace(path)

    def test_refuses_unknown_endings_and_missing_files(self):
        for name in ("a.json", "missing.jsonl"):
            with self.assertRaises(TraceError):
                traces.read_trace(self.folder / name)


class TraceRecorderTests(TraceFileTestCase):
    def record(self, *events, max_bytes=1_000_000):
        clock = VirtualClock()
        recorder = TraceRecorder(self.folder / "r.jsonl.gz", max_bytes, clock)
        recorder.start(sample_header())
        for event in events:
            clock.advance(1.0)
            recorder.record(event)
        recorder.close()
        return recorder

    def test_recorded_trace_can_be_read_with_run_times(self):
        """Guards against a recording that replay refuses or that has no run times."""
        self.record(sample_arrival(run_s=0.0), Completion(0.0, "r-1", 0.75))
        trace = traces.read_trace(self.folder / "r.jsonl.gz")
        self.assertEqual([event.run_s for event in trace.events], [0.75])
        self.assertEqual(trace.header.duration_s, 2.0)

    def test_caller_chosen_secrets_are_not_written(self):
        """Guards against idempotency keys and request ids of callers on disk."""
        arrival = sample_arrival(request_id="tok-secret", key="pay-secret")
        self.record(arrival, arrival)
        data = gzip.decompress((self.folder / "r.jsonl.gz").read_bytes())
        self.assertNotIn(b"secret", data)
        first, second = traces.read_trace(self.folder / "r.jsonl.gz").events
        self.assertEqual(first.key, second.key)

    def test_size_is_bounded_and_drops_are_counted(self):
        """Guards against a recorder that fills the memory of a diskless host."""
        limit = len(traces.encode_event(sample_header())) + 500
        recorder = self.record(*[sample_arrival()] * 50, max_bytes=limit)
        data = gzip.decompress((self.folder / "r.jsonl.gz").read_bytes())
        self.assertLessEqual(len(data), limit)
        kept = len(traces.read_trace(self.folder / "r.jsonl.gz").events)
        self.assertGreater(kept, 0)
        self.assertEqual(kept + recorder.dropped, 50)

    def test_threads_record_whole_lines_in_order(self):
        """Guards against interleaved lines and times out of order."""
        recorder = TraceRecorder(self.folder / "r.jsonl", 10_000_000)
        recorder.start(sample_header())

        def record_some():
            for _ in range(200):
                recorder.record(sample_arrival())

        threads = [threading.Thread(target=record_some) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        recorder.close()
        self.assertEqual(len(traces.read_trace(self.folder / "r.jsonl").events), 800)

    def test_events_after_close_are_dropped(self):
        """Guards against a request that fails because recording ended."""
        recorder = self.record()
        recorder.record(sample_arrival())
        recorder.close()
        self.assertEqual(recorder.dropped, 1)

    def test_unwritable_file_is_reported_at_start(self):
        recorder = TraceRecorder(self.folder / "no" / "r.jsonl", 1000)
        with self.assertRaises(TraceError):
            recorder.start(sample_header())
