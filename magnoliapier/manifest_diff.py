"""Differences between two manifests, shown to operators."""

from dataclasses import dataclass

MISSING = object()


@dataclass(frozen=True)
class Change:
    """One changed value; ``old`` or ``new`` is None where the path is absent."""

    path: str
    action: str
    old: object = None
    new: object = None

    def __str__(self):
        if self.action == "added":
            return f"+ {self.path} = {self.new}"
        if self.action == "removed":
            return f"- {self.path} = {self.old}"
        return f"~ {self.path}: {self.old} -> {self.new}"


def diff_manifests(old, new, path="$"):
    """
    Yield a :class:`Change` for each difference between two plain JSON manifests.

    An object that was added or removed as a whole is one change.

    Example::

        list(diff_manifests({"a": 1}, {"a": 2})) == [Change("$.a", "changed", 1, 2)]
    """
    for key in sorted(old.keys() | new.keys()):
        inner_path = f"{path}.{key}"
        before, after = old.get(key, MISSING), new.get(key, MISSING)
        if before is MISSING:
            yield Change(inner_path, "added", None, after)
        elif after is MISSING:
            yield Change(inner_path, "removed", before, None)
        elif isinstance(before, dict) and isinstance(after, dict):
            yield from diff_manifests(before, after, inner_path)
        elif before != after:
            yield Change(inner_path, "changed", before, after)


def overlapping_changes(mine, theirs):
    """Return the paths of ``mine`` that equal, contain or lie in one of ``theirs``."""
    return sorted(
        {
            change.path
            for change in mine
            for other in theirs
            if is_within(change.path, other.path) or is_within(other.path, change.path)
        }
    )


def is_within(path, parent):
    """Return whether ``path`` is ``parent`` or lies below it."""
    return path == parent or path.startswith(parent + ".")
