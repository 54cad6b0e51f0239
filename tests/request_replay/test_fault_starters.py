from magnoliapier.reasons import RunState
from magnoliapier.traces import Fault
from tests.request_replay.samples import ReplayTestCase, make_arrival


class FaultTests(ReplayTestCase):
    def test_failed_and_lost_sends_end_with_their_run_state(self):
        """Guards against a lost answer that is reported as "not run"."""
        faults = [Fault(0.0, "endpoint_failing", 1.0, f"wire-{n}") for n in range(4)]
        loss = [Fault(3.0, "endpoint_down", 1.0, f"wire-{n}") for n in range(4)]
        events = [*faults, make_arrival(0.1, 1), make_arrival(2.0, 2, run_s=5.0), *loss]
        report = self.replay(events)
        self.assertEqual([r.run_state for r in report.records], [RunState.UNKNOWN] * 2)
        self.assertEqual([r.runs for r in report.records], [1, 1])
