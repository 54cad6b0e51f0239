"""The log lines of one submission, task, endpoint or host, from the logs of hosts."""

import re
from collections.abc import Iterable

import msgspec

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
DECISIVE_EVENTS = ("finished", "refused", "cancelled", "acceptance_unknown")


class LogEntry(msgspec.Struct, frozen=True):
    """A log line that mentions what was asked for."""

    time: str
    source: str
    event: str
    fields: dict[str, str]

    @property
    def decisive(self):
        """Return whether the line tells how a submission ended."""
        return self.event in DECISIVE_EVENTS


def parse_line(line, source):
    """Return a LogEntry, or None for a line that is not of our format."""
    fields = {key: value.strip('"') for key, value in PAIR.findall(line)}
    if "time" not in fields or "event" not in fields:
        return None
    time, event = fields.pop("time"), fields.pop("event")
    return LogEntry(time, source, event, fields)


def find_entries(name: str, lines: Iterable[str], source: str):
    """
    Yield the entries of a log that mention ``name``, in the log's order.

    A name matches whole words and the beginning of a task's name, so that a
    submission's id also finds the lines of its tasks.
    """
    word = re.compile(rf"(?<![\w-]){re.escape(name)}(?![\w-])")
    for line in lines:
        if name in line and word.search(line):
            entry = parse_line(line, source)
            if entry is not None:
                yield entry


def search_logs(name, logs):
    """
    Return all entries that mention ``name``, ordered by time.

    ``logs`` yields pairs of a source's name and its lines; lines are read as a stream.
    """
    entries = []
    for source, lines in logs:
        entries.extend(find_entries(name, lines, source))
    entries.sort(key=lambda entry: entry.time)
    return entries
