"""
The checks of replays that are known to fail, read from KNOWN-RED.txt.

An entry begins with a line ``replay TRACE CHECK [CHECK ...]``; the indented lines
after it say what was seen. Other lines are for people.
"""

from pathlib import Path

PREFIX = "replay "


def read_known_red(path):
    """
    Return a dict from trace name to the set of its checks that are known to fail.

    A file that does not exist lists none.
    """
    path = Path(path)
    if not path.exists():
        return {}
    known = {}
    for line in path.read_text(encoding="utf-8").splitlines():
        if line.startswith(PREFIX):
            _, trace, *checks = line.split()
            known.setdefault(trace, set()).update(checks)
    return known


def split_known_failures(results, known):
    """
    Return (unexpected, expected, mended) of a trace's check results.

    ``unexpected`` are failed results that are not listed, ``expected`` failed ones
    that are, ``mended`` the names of listed checks of which none failed any more.
    """
    failed = [result for result in results if not result.passed]
    unexpected = [result for result in failed if result.name not in known]
    expected = [result for result in failed if result.name in known]
    mended = sorted(known - {result.name for result in expected})
    return unexpected, expected, mended
