import unittest

from magnoliapier.state.lease import (
    FIRST_TOKEN,
    LEASE_TTL_S,
    TOKENS_PER_TERM,
    HeldLease,
    LeaseRecord,
    LeaseView,
    decode_lease,
    encode_lease,
)

RECORD = LeaseRecord("host-1", "process-1", "10.0.0.1:7000", 3)


class LeaseTests(unittest.TestCase):
    def test_holder_stops_before_others_may_take_over(self):
        """Guards against two holders at once when renewals fail."""
        lease = HeldLease(RECORD)
        lease.record_renewal(1, sent_at=10.0)
        view = LeaseView()
        view.observe(RECORD, 1, now=10.0)
        for tenth in range(100):
            now = 10.0 + tenth / 10
            self.assertFalse(lease.may_act(now) and view.expired(now))

    def test_reading_a_version_again_does_not_extend_the_lease(self):
        """Guards against a dead holder whose lease is extended by repeated reads."""
        view = LeaseView()
        view.observe(RECORD, 1, now=10.0)
        view.observe(RECORD, 1, now=12.0)
        self.assertTrue(view.expired(10.1 + LEASE_TTL_S))

    def test_slow_orders_end_before_the_lease(self):
        """Guards against a host order that arrives after one of the next holder."""
        lease = HeldLease(RECORD)
        lease.record_renewal(1, sent_at=10.0)
        self.assertTrue(lease.covers_order(10.5))
        self.assertFalse(lease.covers_order(11.5))
        self.assertTrue(lease.may_act(11.5))

    def test_restarted_process_need_not_wait_for_its_own_lease(self):
        """Guards against waiting for the lease of an ended process on the same host."""
        view = LeaseView()
        view.observe(RECORD, 1, now=10.0)
        self.assertTrue(view.held_by_earlier_process("host-1", "process-2"))
        self.assertFalse(view.held_by_earlier_process("host-1", "process-1"))
        self.assertFalse(view.held_by_earlier_process("host-2", "process-2"))

    def test_unreadable_row_may_have_an_acting_holder(self):
        """Guards against a takeover from a holder whose row has another format."""
        view = LeaseView()
        view.observe(None, 9, now=10.0)
        self.assertFalse(view.expired(10.1))
        self.assertTrue(view.expired(10.1 + LEASE_TTL_S))

    def test_token_increases_after_an_unreadable_row(self):
        """
        Guards against two holders with the same token.

        If tokens started from the first one again, a token could equal an earlier
        holder's, or be lower than those that endpoints have seen.
        """
        view = LeaseView()
        self.assertEqual(view.next_token, FIRST_TOKEN)
        view.observe(RECORD, 7, now=10.0)
        self.assertEqual(view.next_token, RECORD.token + TOKENS_PER_TERM)
        view.observe(None, 9, now=11.0)
        ninth_token = FIRST_TOKEN + 8 * TOKENS_PER_TERM
        self.assertEqual(view.next_token, ninth_token + TOKENS_PER_TERM)

    def test_encoded_record_can_be_decoded(self):
        """Guards against a lease that the next version cannot read."""
        self.assertEqual(decode_lease(encode_lease(RECORD)), RECORD)
