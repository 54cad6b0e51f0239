from magnoliapier.traces import Drain, Fault
from tests.request_replay.samples import ReplayTestCase, make_arrival, make_header


class DriverTests(ReplayTestCase):
    def test_silence_cancel_restart_and_drain_end_every_request(self):
        """Guards against a request that the driver loses, so that it never ends."""
        header = make_header(("entry-1", "entry-2"))
        events = [
            make_arrival(0.0, 1),
            Fault(1.0, "endpoint_silent", 4.0, "wire-0"),
            Drain(1.0, "wire-1", duration_s=2.0),
            *(make_arrival(1.5 + n / 10, 10 + n, cancel_s=5.0) for n in range(20)),
            make_arrival(4.0, 50, entry="entry-2", run_s=6.0),
            Fault(5.0, "entry_restart", 1.0, "entry-2"),
        ]
        report = self.replay(events, header)
        self.assertTrue(all(record.end for record in report.records))
        self.assertEqual(report.records[-1].end, "entry_lost")
        self.assertEqual(report.late_sends, [])
        self.assertIn("cancelled", {record.end for record in report.records})
