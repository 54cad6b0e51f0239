import unittest

from magnoliapier.service.fencing import EndpointFencing

FIRST = 7
LAST = 12


class EndpointFencingTests(unittest.TestCase):
    def setUp(self):
        self.fencing = EndpointFencing(FIRST, LAST)
        self.fencing.record_listing(self.fencing.token)

    def test_first_listing_outdates_the_calls_of_former_holders(self):
        """Guards against an endpoint that is never used, or used before it answers."""
        fencing = EndpointFencing(FIRST, LAST)
        self.assertTrue(fencing.pending)
        fencing.record_listing(FIRST)
        self.assertFalse(fencing.pending)

    def test_listing_from_before_a_suspicion_does_not_end_it(self):
        """Guards against a restart that an earlier answer hides."""
        self.fencing.expect_restart()
        self.fencing.record_listing(FIRST)
        self.assertTrue(self.fencing.pending)
        self.fencing.record_listing(self.fencing.token)
        self.assertFalse(self.fencing.pending)

    def test_new_incarnation_needs_a_token_above_all_bound_calls(self):
        """Guards against calls for a former incarnation that are carried out late."""
        bound = self.fencing.bind()
        self.fencing.begin_incarnation()
        self.fencing.record_listing(bound)
        self.assertTrue(self.fencing.pending)
        self.assertGreater(self.fencing.token, bound)
        self.assertTrue(self.fencing.is_outdated(bound))

    def test_listing_with_a_raised_token_is_enough(self):
        """Guards against a call more after each restart."""
        self.fencing.bind()
        self.fencing.outdate_calls()
        token = self.fencing.token
        self.fencing.begin_incarnation()
        self.fencing.record_listing(token)
        self.assertFalse(self.fencing.pending)
        self.assertEqual(self.fencing.token, token)

    def test_tokens_stay_below_those_of_the_next_holder(self):
        """Guards against two holders whose calls an endpoint can't tell apart."""
        for _ in range(LAST):
            self.fencing.outdate_calls()
        self.assertEqual(self.fencing.token, LAST)
        self.assertTrue(self.fencing.used_up)
        self.fencing.bind()
        self.fencing.expect_restart()
        self.fencing.record_listing(self.fencing.token)
        self.assertTrue(self.fencing.pending)

    def test_start_outdates_an_acknowledgement_under_way(self):
        """Guards against an end that is forgotten unread (TWICE)."""
        acknowledging = self.fencing.bind_acknowledgement()
        start = self.fencing.bind_start()
        self.assertGreater(start, acknowledging)
        self.assertEqual(self.fencing.bind_start(), start)
