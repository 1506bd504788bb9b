"""Define the kinds and levels of log events."""

from enum import IntEnum
from typing import NamedTuple


class Level(IntEnum):
    """Severity of an event, with the values of Python's ``logging``."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


class EventKind(NamedTuple):
    """One kind of numbered event.

    ``fields`` lists the fields that a line of this event may have. ``remedy`` is
    what an operator can do, or "None needed." if no action is required.
    """

    number: int
    name: str
    level: Level
    message: str
    remedy: str
    fields: tuple[str, ...] = ()

    @property
    def code(self) -> str:
        """Return the number with its prefix, as the documentation shows it."""
        return f"NS{self.number}"
