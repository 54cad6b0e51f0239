import random
import unittest

from magnoliapier.ejection import Ejections
from magnoliapier.request_tables import EndpointEntry, RequestEntry, WorkClass
from magnoliapier.routing import EndpointPool, IndexedSet


def request(idempotent=True, excluded=()):
    entry = RequestEntry("r", "s", "o", "k", WorkClass.SHORT, idempotent, 0.0, 5.0)
    entry.excluded.update(excluded)
    return entry


class EndpointPoolTest(unittest.TestCase):
    """The choice of endpoints."""

    def make(self, count=4, share=2):
        ejections = Ejections()
        entries = {
            f"e{n}": EndpointEntry(
                f"e{n}", "s", f"h{n}", f"dc-{n % 2 + 1}", "", 8, share=share
            )
            for n in range(count)
        }
        ejections.set_endpoints(entries)
        pool = EndpointPool("dc-1", random.Random(1), ejections)
        pool.replace(entries)
        return pool

    def test_local_endpoints_come_first_and_no_endpoint_is_tried_twice(self):
        """Requests must not exceed the share or return to an excluded endpoint."""
        pool = self.make()
        chosen = []
        while pool.has_room:
            endpoint = pool.choose(request())
            pool.begin(endpoint)
            chosen.append(endpoint.name)
        self.assertEqual(sorted(chosen[:4]), ["e0", "e0", "e2", "e2"])
        self.assertEqual(len(chosen), 8)
        pool.end(pool.endpoints["e1"])
        self.assertIsNone(pool.choose(request(excluded={"e1"})))
        self.assertEqual(pool.choose(request()).name, "e1")

    def test_leaving_and_busy_endpoints_get_no_new_work(self):
        """An endpoint that drains or answers busy must not get further requests."""
        pool = self.make(count=1)
        endpoint = pool.endpoints["e0"]
        pool.set_leaving(endpoint, True)
        self.assertFalse(
            pool.has_room or pool.has_room_to_borrow or pool.has_remaining_endpoint
        )
        pool.set_leaving(endpoint, False)
        pool.limit_busy_endpoint(endpoint, 0.0)
        self.assertFalse(pool.has_room)
        pool.raise_busy_limits(0.6)
        self.assertTrue(pool.has_room)

    def test_only_idempotent_requests_probe_an_endpoint(self):
        """A non-idempotent request must not test whether an endpoint has recovered."""
        pool = self.make(count=1)
        pool._ejections.health("e0").limit = 1
        pool.refresh(pool.endpoints["e0"])
        self.assertIsNone(pool.choose(request(idempotent=False)))
        self.assertIsNotNone(pool.choose(request()))

    def test_borrowing_leaves_half_of_the_endpoints_with_a_share(self):
        """Busy answers must not exclude all endpoints that have a share."""
        pool = self.make(count=4)
        self.assertIn(pool.choose_to_borrow(request()).name, ("e0", "e2"))
        excluded = {"e0", "e2"}
        self.assertIn(
            pool.choose_to_borrow(request(excluded=excluded)).name, ("e1", "e3")
        )

    def test_indexed_set_matches_a_set(self):
        """A removal that breaks the index would lose endpoints for good."""
        source, items, model = random.Random(2), IndexedSet(), set()
        for _ in range(2000):
            item = source.randrange(20)
            if source.random() < 0.5:
                items.add(item)
                model.add(item)
            else:
                items.discard(item)
                model.discard(item)
            self.assertEqual(set(items), model)


if __name__ == "__main__":
    unittest.main()
