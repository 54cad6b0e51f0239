import random
import unittest

from magnoliapier.measures import percentile
from magnoliapier.request_policies import policies
from magnoliapier.request_replay.driver import replay_requests
from magnoliapier.traces import Arrival, Fault, Header
from tests.samples import sample_manifest


def make_trace():
    """Return a trace in which long requests fill the slots as short ones arrive."""
    manifest = sample_manifest(services=("wire",), hosts=4, data_centres=2)
    entries = {"entry-1": "dc-1", "entry-2": "dc-2"}
    source = random.Random(5)
    events = [Fault(4.0, "endpoint_failing", 4.0, "wire-0")]
    for number in range(600):
        t = number / 50
        long = number % 10 == 0
        events.append(
            Arrival(
                t,
                source.choice(list(entries)),
                f"r{number}",
                "wire",
                source.choice(("desk-a", "desk-b")),
                "long/archive" if long else "short/filing",
                "long" if long else "short",
                10.0 if long else 0.1,
                60.0,
                idempotent=number % 3 > 0,
                cancel_s=0.5 if number % 50 == 7 else None,
            )
        )
    events.sort(key=lambda event: event.t)
    return Header("policies", "", 12.0, entries, manifest), events


class PoliciesTest(unittest.TestCase):
    """Guards against policies that break the rules and so invalidate comparisons."""

    def test_every_policy_ends_every_request_within_the_rules(self):
        """
        Guards against policies that lose requests or misreport runs.

        Also guards against running a non-idempotent request twice.
        """
        header, events = make_trace()
        for name in policies.names():
            with self.subTest(policy=name):
                report = replay_requests(header, events, policies.get(name), 1)
                self.assertEqual(len(report.records), 600)
                self.assertTrue(all(record.end for record in report.records))
                self.assertEqual((report.double_runs, report.false_not_run), (0, 0))
                self.assertEqual(report.repeated_endpoints, 0)

    def test_equal_seeds_give_equal_reports(self):
        """Guards against a replay that depends on anything but its arguments."""
        header, events = make_trace()
        one, two = (
            replay_requests(header, events, policies.get("dispatcher"), 1).records
            for _ in range(2)
        )
        self.assertEqual(one, two)

    def test_short_work_does_not_wait_behind_long_work(self):
        """Guards against short requests that wait as long as in a FIFO queue."""
        header, events = make_trace()
        waits = {}
        for name in ("fifo", "dispatcher"):
            report = replay_requests(header, events, policies.get(name), 1)
            waits[name] = percentile(report.waits("short"), 95)
        self.assertLess(waits["dispatcher"], 0.05 * waits["fifo"])


if __name__ == "__main__":
    unittest.main()
