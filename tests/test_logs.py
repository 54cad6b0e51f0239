import os
import unittest

import logbook

from magnoliapier.logs import BoundedHandler, get_logger

LINES_PER_S = 20


class BoundedHandlerTests(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.handler = BoundedHandler(self.writer, LINES_PER_S, clock=lambda: self.now)
        self.log = get_logger("magnoliapier.test")
        logbook.set_datetime_format("utc")

    def test_flood_is_bounded_and_counted(self):
        """Guards against logging that uses up the CPU during a flood of events."""
        with self.handler.applicationbound():
            for number in range(100):
                self.log.info("flood", number=number)
            self.now += 1
            self.log.info("after")
        lines = os.read(self.reader, 1_000_000).decode().splitlines()
        self.assertEqual(len(lines), LINES_PER_S + 1)
        self.assertIn("lines_dropped=80", lines[-1])

    def test_routine_lines_leave_room_for_the_fate_of_a_request(self):
        """Guards against a refusal that is missing because many runs ended as usual."""
        with self.handler.applicationbound():
            for number in range(100):
                self.log.routine("run_ended", number=number)
            self.log.info("refused")
        lines = os.read(self.reader, 1_000_000).decode().splitlines()
        self.assertIn("event=refused", lines[-1])
        self.assertLess(len(lines), LINES_PER_S)

    def test_full_pipe_never_blocks(self):
        """Guards against a process that blocks because its log reader has stopped."""
        handler = BoundedHandler(self.writer, 10**9, clock=lambda: self.now)
        with handler.applicationbound():
            for _ in range(5000):
                self.log.info("event", text="x" * 200)
        self.assertGreater(handler.dropped, 0)
        os.read(self.reader, 1_000_000)
        with handler.applicationbound():
            self.log.info("again")
        self.assertIn("lines_dropped=", os.read(self.reader, 1_000_000).decode())
