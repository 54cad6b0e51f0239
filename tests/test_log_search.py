import unittest

from magnoliapier.log_search import parse_line, search_logs
from magnoliapier.logs import quote

ID = "9cdc25f25566cd49"
FIRST = [
    f"time=2026-04-23T02:13:25Z level=INFO module=service.entry event=accepted id={ID}",
    "time=2026-04-23T02:13:25Z level=INFO module=service.entry event=accepted id=other",
    "a line of another program",
]
SECOND = [
    "time=2026-04-23T02:13:29Z level=INFO module=service.shard event=finished "
    f'id={ID} state=failed cause="no room"',
    "time=2026-04-23T02:13:26Z level=INFO module=service.shard event=run_ended "
    f"task={ID}.0.1.2 run=1 reason=failed",
]


class LogSearchTests(unittest.TestCase):
    def test_lines_of_several_hosts_in_order(self):
        """Guards against a search that leaves out lines of other hosts."""
        entries = search_logs(ID, [("a", FIRST), ("b", SECOND)])
        self.assertEqual(
            [(e.source, e.event) for e in entries],
            [("a", "accepted"), ("b", "run_ended"), ("b", "finished")],
        )
        self.assertTrue(entries[-1].is_final)

    def test_quoted_values(self):
        """Guards against quoted values that are cut at their first space."""
        entry = parse_line(SECOND[0], "b")
        self.assertEqual(entry.fields["cause"], "no room")

    def test_escaped_quotes_are_read_as_written(self):
        """Guards against an error message that a search shows garbled or cut."""
        cause = 'the store answered "busy"\n'
        line = f"time=t event=refused id={ID} cause={quote(cause)} code=1"
        entry = parse_line(line, "a")
        self.assertEqual(entry.fields["cause"], cause)
        self.assertEqual(entry.fields["code"], "1")
