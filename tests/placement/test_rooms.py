import random
import unittest

from magnoliapier.placement.rooms import LargestRooms
from magnoliapier.submissions.model import Resources, Step
from tests.placement.test_scheduler import FakeSession

SEEDS = range(200)


def make_session(rng, number):
    session = FakeSession(f"e{number}")
    session.room.cpu_millicores = rng.randint(-1, 6) * 500
    session.room.memory_mb = rng.randint(-1, 6) * 500
    session.room.accelerators = rng.randint(0, 2)
    return session


def make_step(rng):
    resources = Resources(rng.randint(0, 3000), rng.randint(0, 3000), rng.randint(0, 2))
    return Step(1, resources, fills=rng.random() < 0.3)


class LargestRoomsTests(unittest.TestCase):
    def test_answer_is_that_of_a_search(self):
        """Guards against a task that waits beside room, or a search for none."""
        for seed in SEEDS:
            rng = random.Random(seed)
            sessions = [make_session(rng, number) for number in range(8)]
            rooms = LargestRooms(sessions)
            for _ in range(20):
                step = make_step(rng)
                with_room = [s for s in sessions if s.room.fits(step)]
                self.assertEqual(rooms.fit(step), bool(with_room), seed)
                if with_room:
                    session = rng.choice(with_room)
                    session.room.allocate(step)
                    rooms.reserved(session)

    def test_no_session_has_no_room(self):
        """Guards against a required label that no endpoint has and that finds room."""
        self.assertFalse(LargestRooms([]).fit(Step(1)))
