import unittest

from magnoliapier.state.lease import (
    FIRST_TOKEN,
    LEASE_TTL_S,
    HeldLease,
    LeaseRecord,
    LeaseView,
    decode_lease,
    encode_lease,
)

RECORD = LeaseRecord("host-1", "process-1", "10.0.0.1:7000", 3)


class LeaseTests(unittest.TestCase):
    def test_holder_stops_before_others_may_take(self):
        """Guards against two holders at once when renewals fail."""
        lease = HeldLease(RECORD)
        lease.record_renewal(1, sent_at=10.0)
        view = LeaseView()
        view.observe(RECORD, 1, now=10.0)
        for tenth in range(100):
            now = 10.0 + tenth / 10
            self.assertFalse(lease.may_act(now) and view.expired(now))

    def test_renewal_seen_again_does_not_extend(self):
        """Guards against a dead holder kept alive by repeated readings."""
        view = LeaseView()
        view.observe(RECORD, 1, now=10.0)
        view.observe(RECORD, 1, now=12.0)
        self.assertTrue(view.expired(10.1 + LEASE_TTL_S))

    def test_slow_orders_end_before_the_lease(self):
        """Guards against a host order that arrives after a successor's."""
        lease = HeldLease(RECORD)
        lease.record_renewal(1, sent_at=10.0)
        self.assertTrue(lease.covers_order(10.5))
        self.assertFalse(lease.covers_order(11.5))
        self.assertTrue(lease.may_act(11.5))

    def test_restarted_process_may_follow_itself(self):
        """Guards against waiting for a process that has ended on the same host."""
        view = LeaseView()
        view.observe(RECORD, 1, now=10.0)
        self.assertTrue(view.left_by_predecessor("host-1", "process-2"))
        self.assertFalse(view.left_by_predecessor("host-1", "process-1"))
        self.assertFalse(view.left_by_predecessor("host-2", "process-2"))

    def test_unreadable_row_may_have_an_acting_holder(self):
        """Guards against a takeover beside a holder whose row has another form."""
        view = LeaseView()
        view.observe(None, 9, now=10.0)
        self.assertFalse(view.expired(10.1))
        self.assertTrue(view.expired(10.1 + LEASE_TTL_S))

    def test_token_rises_over_an_unreadable_row(self):
        """
        Guards against two holders with one token.

        A token that started anew would equal an earlier holder's, or stay below those
        that endpoints have seen.
        """
        view = LeaseView()
        self.assertEqual(view.next_token, FIRST_TOKEN)
        view.observe(RECORD, 7, now=10.0)
        self.assertEqual(view.next_token, RECORD.token + 1)
        view.observe(None, 9, now=11.0)
        self.assertGreater(view.next_token, 9)

    def test_stored_form(self):
        """Guards against a lease that the next version cannot read."""
        self.assertEqual(decode_lease(encode_lease(RECORD)), RECORD)
