import unittest

from magnoliapier.measures import fair_shares


class FairSharesTests(unittest.TestCase):
    def test_capacity_a_small_demand_leaves_goes_to_the_others(self):
        shares = fair_shares(12.0, {"a": 1.0, "b": 50.0, "c": 6.0})
        self.assertEqual(shares, {"a": 1.0, "b": 5.5, "c": 5.5})

    def test_weights_scale_the_shares(self):
        shares = fair_shares(9.0, {"a": 50.0, "b": 50.0}, {"a": 2.0})
        self.assertEqual(shares, {"a": 6.0, "b": 3.0})
