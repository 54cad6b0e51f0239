"""Searches the logs of several hosts for a submission, task, endpoint or host."""

import json
import re
from collections.abc import Iterable

import msgspec

KEY_VALUE_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
FINAL_EVENTS = ("finished", "refused", "cancelled", "acceptance_unknown")


class LogEntry(msgspec.Struct, frozen=True):
    """A log line that mentions the name searched for."""

    time: str
    source: str
    event: str
    fields: dict[str, str]

    @property
    def is_final(self):
        """Return whether the line says how a submission ended."""
        return self.event in FINAL_EVENTS


def unquote(value):
    """Return a value as it was before ``logs.quote``."""
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError:
        return value.strip('"')


def parse_line(line, source):
    """Return a LogEntry, or None for a line of another format."""
    fields = {key: unquote(value) for key, value in KEY_VALUE_PATTERN.findall(line)}
    if "time" not in fields or "event" not in fields:
        return None
    time, event = fields.pop("time"), fields.pop("event")
    return LogEntry(time, source, event, fields)


def find_entries(name: str, lines: Iterable[str], source: str):
    """
    Yield the entries of a log that mention ``name``, in the log's order.

    The name must be a whole word, which a dot may follow. Task names begin with the
    submission's id and a dot, so the id also finds the lines of its tasks.
    """
    pattern = re.compile(rf"(?<![\w-]){re.escape(name)}(?![\w-])")
    for line in lines:
        if name in line and pattern.search(line):
            entry = parse_line(line, source)
            if entry is not None:
                yield entry


def search_logs(name, logs):
    """
    Return all entries that mention ``name``, ordered by time.

    ``logs`` yields pairs (name of the source, lines); lines are read one at a time.
    """
    entries = []
    for source, lines in logs:
        entries.extend(find_entries(name, lines, source))
    entries.sort(key=lambda entry: entry.time)
    return entries
