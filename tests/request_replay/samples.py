import unittest

from magnoliapier.request_policies import policies
from magnoliapier.request_replay.driver import replay_requests
from magnoliapier.traces import Arrival, Header
from tests.samples import sample_manifest


def make_header(entries=("entry-1",), **options):
    """Return a trace header with entry hosts in dc-1."""
    manifest = sample_manifest(data_centres=1, **options)
    return Header("test", "", 10.0, dict.fromkeys(entries, "dc-1"), manifest)


def make_arrival(t, number, **options):
    """Return the arrival of a short request that runs for 0.1 s."""
    values = {
        "entry": "entry-1",
        "service": "wire",
        "organisation": "desk-a",
        "kind": "short/file",
        "work_class": "short",
        "run_s": 0.1,
        "deadline_s": 20.0,
    }
    return Arrival(t, request_id=f"r{number}", **(values | options))


class ReplayTestCase(unittest.TestCase):
    """Base of the driver tests; wrong records would hide faults of every policy."""

    def replay(self, events, header=None, policy="uncoordinated"):
        return replay_requests(
            header or make_header(), events, policies.get(policy), seed=1
        )
