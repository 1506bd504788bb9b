"""Define keyed changes and split them into pages."""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate, chain, groupby, pairwise, takewhile
from operator import attrgetter

PAGE_MAX_BYTES = 65_536  # a larger page would delay the other messages of a link


@dataclass(frozen=True, slots=True, order=True)
class Change:
    """The value of a key at a version, as JSON text; None removes the key."""

    key: str
    version: int
    value: str | None


@dataclass(frozen=True, slots=True)
class Delta:
    """The latest change of each key that changed after a version.

    ``version`` is the sender's version. ``oldest`` is the lowest ``after`` for
    which removals are complete; a reader below it treats the changes as the full
    list. ``more`` is set if further pages up to ``version`` follow. If the latest
    change of a key was refused, the change in force comes before it under the
    same key. ``kept`` is a digest of these changes that the sender keeps in force.
    """

    after: int
    version: int
    oldest: int = 0
    changes: tuple[Change, ...] = ()
    more: bool = False
    kept: int = 0

    @property
    def end(self) -> int:
        """Return the version up to which the reader has every change."""
        return self.changes[-1].version if self.more else self.version


def page(
    changes: Iterable[Change], after: int, version: int, oldest: int, max_bytes: int
) -> Delta:
    """Return the first page of changes; a version is never split across pages."""
    ordered = sorted(changes, key=attrgetter("version", "key"))
    versions = [tuple(group) for _, group in groupby(ordered, attrgetter("version"))]
    sizes = accumulate(sum(map(size_bytes, group)) for group in versions)
    fitting = sum(1 for _ in takewhile(lambda size: size <= max_bytes, sizes))
    chosen = versions[: max(fitting, 1)]
    more = len(chosen) < len(versions)
    return Delta(after, version, oldest, tuple(chain(*chosen)), more)


def is_consistent(delta: Delta) -> bool:
    """Return whether the versions in a page are consistent with each other."""
    versions = [change.version for change in delta.changes]
    in_order = all(before <= after for before, after in pairwise(versions))
    in_range = not versions or (versions[0] > 0 and versions[-1] <= delta.version)
    return (
        delta.after >= 0
        and in_order
        and in_range
        and (bool(versions) or not delta.more)
    )


def size_bytes(change: Change) -> int:
    """Return the approximate size of a change in a message."""
    return len(change.key) + len(change.value or "") + 16
