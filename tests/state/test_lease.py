import unittest

from magnoliapier.state.lease import (
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
        lease.renewed(1, sent_at=10.0)
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
        lease.renewed(1, sent_at=10.0)
        self.assertTrue(lease.may_order_slowly(10.5))
        self.assertFalse(lease.may_order_slowly(11.5))
        self.assertTrue(lease.may_act(11.5))

    def test_restarted_process_may_follow_itself(self):
        """Guards against waiting for a process that has ended on the same host."""
        view = LeaseView()
        view.observe(RECORD, 1, now=10.0)
        self.assertTrue(view.left_by_predecessor("host-1", "process-2"))
        self.assertFalse(view.left_by_predecessor("host-1", "process-1"))
        self.assertFalse(view.left_by_predecessor("host-2", "process-2"))

    def test_stored_form(self):
        """Guards against a lease that the next version cannot read."""
        self.assertEqual(decode_lease(encode_lease(RECORD)), RECORD)
