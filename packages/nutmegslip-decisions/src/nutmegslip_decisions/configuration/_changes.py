"""Keep keyed changes and page them to others."""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate, chain, groupby, pairwise, takewhile
from operator import attrgetter

PAGE_MAX_BYTES = 65_536  # a page must not hold up the other messages of a link


@dataclass(frozen=True, slots=True, order=True)
class Change:
    """Set a key to a value, as JSON text, or remove it where that is None."""

    key: str
    version: int
    value: str | None


@dataclass(frozen=True, slots=True)
class Delta:
    """Carry the latest change of each key that changed after a version.

    ``version`` is the sender's version. ``oldest`` is the lowest ``after`` for
    which removals are complete: a reader below it takes the changes as the whole
    list. ``more`` says that changes up to ``version`` are still to be asked for.
    A key may come twice where its latest change was refused: the one in force
    comes before it. ``kept`` names the set of such earlier changes that the
    sender keeps in force.
    """

    after: int
    version: int
    oldest: int = 0
    changes: tuple[Change, ...] = ()
    more: bool = False
    kept: int = 0

    @property
    def end(self) -> int:
        """Return the version up to which the reader now holds every change."""
        return self.changes[-1].version if self.more else self.version


def page(
    changes: Iterable[Change], after: int, version: int, oldest: int, max_bytes: int
) -> Delta:
    """Return the first page of changes; a version is never split over pages."""
    ordered = sorted(changes, key=attrgetter("version", "key"))
    versions = [tuple(group) for _, group in groupby(ordered, attrgetter("version"))]
    sizes = accumulate(sum(map(size_bytes, group)) for group in versions)
    fitting = sum(1 for _ in takewhile(lambda size: size <= max_bytes, sizes))
    chosen = versions[: max(fitting, 1)]
    more = len(chosen) < len(versions)
    return Delta(after, version, oldest, tuple(chain(*chosen)), more)


def is_consistent(delta: Delta) -> bool:
    """Return whether the versions of a page fit together."""
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
    """Return about how many bytes a change takes in a message."""
    return len(change.key) + len(change.value or "") + 16
