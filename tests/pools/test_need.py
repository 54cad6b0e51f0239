import unittest

from magnoliapier.pools.hosts import Host, HostState
from magnoliapier.pools.need import (
    MAX_LABEL_CHARS,
    MAX_REPORTED_NEEDS,
    NEEDS_TURN_S,
    HostNeed,
    NeedsInTurn,
)
from magnoliapier.submissions.model import Resources


class HostNeedTests(unittest.TestCase):
    def test_host_meets_a_need_by_label_and_size(self):
        """Guards against a host that is moved and does not help."""
        capacity = Resources(8000, 8000)
        host = Host("h1", "a", HostState.UP, labels=("b", "r1"), capacity=capacity)
        for label, cpu, expected in (
            ("b", 8000, True),
            ("", 8000, True),
            ("c", 0, False),
            ("b", 8001, False),
        ):
            with self.subTest(label=label, cpu=cpu):
                need = HostNeed(label, Resources(cpu, 0), 1)
                self.assertEqual(need.is_met_by(host), expected)


class NeedsInTurnTests(unittest.TestCase):
    def test_each_need_has_its_turn(self):
        """Guards against needs that no host meets before one that a host would meet."""
        needs = [HostNeed(f"l{n}", Resources(), 1) for n in range(205)]
        in_turn = NeedsInTurn()
        seen = set()
        for turn in range(7):
            chosen = in_turn.choose(needs, turn * NEEDS_TURN_S)
            self.assertEqual(len(chosen), MAX_REPORTED_NEEDS)
            seen.update(chosen)
        self.assertEqual(len(seen), len(needs))

    def test_turn_lasts_long_enough(self):
        """Guards against a need that is gone before the fleet has read it."""
        needs = [HostNeed(f"l{n}", Resources(), 1) for n in range(205)]
        in_turn = NeedsInTurn()
        first = in_turn.choose(needs, 100.0)
        self.assertEqual(in_turn.choose(needs, 100.0 + NEEDS_TURN_S / 2), first)

    def test_labels_are_bounded(self):
        """Guards against a label that is longer than the row of the report."""
        long = HostNeed("x" * (MAX_LABEL_CHARS + 1), Resources(), 1)
        short = HostNeed("x", Resources(), 1)
        self.assertEqual(NeedsInTurn().choose([long, short], 0.0), (short,))
