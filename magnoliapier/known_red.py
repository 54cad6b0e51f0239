"""
Replay checks that are known to fail, read from KNOWN-RED.txt.

An entry is a line ``replay TRACE CHECK [CHECK ...]``. All other lines are for
readers and ignored here, such as the indented ones that say what was seen.
"""

from pathlib import Path

ENTRY_PREFIX = "replay "


def read_known_red(path):
    """
    Return a dict from trace name to the set of its checks that are known to fail.

    The dict is empty if the file does not exist.
    """
    path = Path(path)
    if not path.exists():
        return {}
    known = {}
    for line in path.read_text(encoding="utf-8").splitlines():
        if line.startswith(ENTRY_PREFIX):
            _, trace, *checks = line.split()
            known.setdefault(trace, set()).update(checks)
    return known


def split_known_failures(results, known):
    """
    Return (unexpected, expected, fixed) for the check results of a trace.

    ``unexpected`` are the failed results whose check is not in ``known``, ``expected``
    the failed ones whose check is, and ``fixed`` the names in ``known`` without a
    failed result.
    """
    failed = [result for result in results if not result.passed]
    unexpected = [result for result in failed if result.name not in known]
    expected = [result for result in failed if result.name in known]
    fixed = sorted(known - {result.name for result in expected})
    return unexpected, expected, fixed
