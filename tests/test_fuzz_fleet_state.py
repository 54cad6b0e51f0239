import unittest

from hypothesis import given, strategies as st

from magnoliapier.clock import VirtualClock
from magnoliapier.exceptions import MagnoliapierError
from magnoliapier.fleet_log import LogFollower
from magnoliapier.fleet_state import LogEntry, entry_kinds
from tests.hostile_table import FUZZ_SETTINGS
from tests.samples import sample_state
from tests.test_fuzz_manifest import values

STATE = sample_state(hosts=1)
FIELDS = ("host", "epoch", "target", "pool", "patch", "digest", "name", "wave", "what")
kinds = st.sampled_from([*entry_kinds.names(), "future_kind"])
bodies = st.one_of(
    st.dictionaries(st.sampled_from(FIELDS), values, max_size=5),
    st.fixed_dictionaries({"host": st.just("wire-0"), "epoch": values}),
    values,
)


class EntryFuzzTests(unittest.TestCase):
    """Guards against an entry that crashes every process that reads the log."""

    @FUZZ_SETTINGS
    @given(kinds, bodies)
    def test_unusable_entries_are_refused(self, kind, body):
        state = STATE.copy()
        entry = LogEntry(state.seq + 1, kind, body, "id", "test", 0.0)
        before = repr(state.to_values())
        try:
            state.apply(entry)
        except MagnoliapierError:
            self.assertEqual(repr(state.to_values()), before)
        follower = LogFollower(VirtualClock())
        follower.offer_state(STATE)
        follower.offer_entries([entry])
        self.assertIn(follower.staged_seq, (STATE.seq, STATE.seq + 1))
