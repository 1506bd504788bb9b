"""Judge whether an answer of the store is current, stale, or of a restored store.

Answers the load pattern in which the store comes back from a copy that is some
seconds old: its revisions fall and are given out again, so a watch from an earlier
revision may succeed with another history behind it. Only the era tells.
"""

from enum import Enum, auto
from typing import NamedTuple

REVISIONS_PER_ERA = 1_000_000  # more than the store counts while a copy grows old


class Verdict(Enum):
    """How an answer of the store relates to those that were used before."""

    CURRENT = auto()
    STALE = auto()
    RESTORED = auto()


class StorePosition(NamedTuple):
    """The era and the revision of the latest answer that was used, 0 before any.

    The era rises each time the store is restored from a copy; revisions are
    comparable within one era only.
    """

    era: int = 0
    revision: int = 0

    @property
    def order(self) -> int:
        """Return a number that rises with each change, also across eras."""
        return self.era * REVISIONS_PER_ERA + self.revision


def judge(position: StorePosition, era: int | None, revision: int) -> Verdict:
    """Return the verdict on an answer with this era and revision.

    ``era`` is None for an answer that names none; it is then taken to be of the same
    era.
    """
    if era is not None and era != position.era:
        if position == StorePosition():
            return Verdict.CURRENT
        return Verdict.RESTORED if era > position.era else Verdict.STALE
    return Verdict.STALE if revision < position.revision else Verdict.CURRENT
