import unittest

from magnoliapier.request_tables import EndpointEntry, PeerDemand
from magnoliapier.slots import (
    EntryHostDemand,
    SlotShares,
    allocate,
    split_evenly,
    split_max_min,
)


def endpoints(count=4, slots=8, data_centres=2):
    return [
        EndpointEntry(f"e{n}", "wire", f"h{n}", f"dc-{n % data_centres + 1}", "", slots)
        for n in range(count)
    ]


class AllocateTest(unittest.TestCase):
    """The allocation, which every entry host must compute alike."""

    def test_split_is_exact(self):
        """Rounding must not lose or add slots."""
        for total in range(30):
            parts = split_evenly(total, {"a": 1, "b": 2, "c": 4})
            self.assertEqual(sum(parts.values()), total)

    def test_split_is_max_min_fair(self):
        """One entry host's backlog must not take the slots that another needs."""
        self.assertEqual(
            split_max_min(16, {"a": 500, "b": 3, "c": 5}), {"a": 8, "b": 3, "c": 5}
        )
        self.assertEqual(split_max_min(9, {"a": 2, "b": 2}), {"a": 2, "b": 2})

    def test_local_demand_comes_first_and_idle_slots_spill_over(self):
        """Remote demand must not take local slots, and idle slots must not be lost."""
        members = [EntryHostDemand("a", "dc-1", 20), EntryHostDemand("b", "dc-2", 2)]
        shares = allocate({"dc-1": 16, "dc-2": 16}, members)
        self.assertEqual(shares["dc-1"]["a"], 16)
        self.assertEqual(shares["dc-2"]["a"], 4)
        self.assertEqual(shares["dc-2"]["b"], 12)
        members = [EntryHostDemand("a", "dc-1", 90), EntryHostDemand("b", "dc-2", 90)]
        shares = allocate({"dc-1": 16, "dc-2": 16}, members)
        self.assertEqual(shares["dc-2"], {"a": 0, "b": 16})
        members = [EntryHostDemand("a", "dc-1", 90), EntryHostDemand("b", "dc-2", 0)]
        self.assertEqual(allocate({"dc-1": 16, "dc-2": 16}, members)["dc-2"]["a"], 8)


class SlotSharesTest(unittest.TestCase):
    """Shares that must not overlap, also when reports are lost."""

    def test_shares_of_all_entry_hosts_add_up_to_the_slots(self):
        """Entry hosts with the same reports must not oversubscribe an endpoint."""
        names = {f"entry-{n}": f"dc-{n % 2 + 1}" for n in range(7)}
        demand = {name: 3 * n for n, name in enumerate(names)}
        totals = {}
        for own, data_centre in names.items():
            shares = SlotShares(own, data_centre)
            shares.set_endpoints(endpoints())
            peers = [
                PeerDemand(name, names[name], demand[name], 0, 0.1)
                for name in names
                if name != own
            ]
            for name, slots in shares.shares(peers, demand[own], 0.0).items():
                totals[name] = totals.get(name, 0) + slots
        self.assertEqual(totals, {f"e{n}": 8 for n in range(4)})

    def test_demand_of_ejected_endpoints_spills_over(self):
        """An entry host must get remote slots when all its local endpoints fail."""
        shares = SlotShares("a", "dc-1")
        shares.set_endpoints(endpoints())
        peers = [PeerDemand("b", "dc-2", 0, 1, 0.0)]
        given = shares.shares(peers, 6, 0.0, frozenset({"e0", "e2"}))
        self.assertEqual(sum(given.values()), 6)
        self.assertLessEqual(given.keys(), {"e1", "e3"})
        for stopped in (frozenset({"e0"}), frozenset()):
            given = shares.shares(peers, 6, 0.0, stopped)
            self.assertEqual(given["e0"] + given["e2"], 16)

    def test_lost_reports_leave_the_safe_share(self):
        """An entry host that gets no reports must use its safe share only."""
        shares = SlotShares("entry-1", "dc-1")
        shares.set_endpoints(endpoints())
        peers = [PeerDemand("entry-2", "dc-1", 0, 0, 0.1)]
        # dc-2 has no entry host, so entry-1 gets all its slots; in dc-1 it gets all
        # but the one slot of the idle entry-2.
        self.assertEqual(sum(shares.shares(peers, 99, 0.0).values()), 31)
        self.assertEqual(sum(shares.shares(peers, 99, 5.0).values()), 8)
        stale = [PeerDemand("entry-2", "dc-1", 0, 0, 4.0)]
        own = shares.shares(stale, 99, 0.0)
        self.assertEqual(own["e0"] + own["e2"], 8)


if __name__ == "__main__":
    unittest.main()
