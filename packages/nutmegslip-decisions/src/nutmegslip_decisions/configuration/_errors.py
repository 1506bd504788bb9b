"""Define the errors of published configuration."""

from enum import StrEnum
from typing import NamedTuple


class ErrorKind(StrEnum):
    """The kind of a configuration error."""

    NOT_JSON = "not-json"
    UNKNOWN_KEY = "unknown-key"
    UNKNOWN_FIELD = "unknown-field"
    MISSING_FIELD = "missing-field"
    BAD_VALUE = "bad-value"
    LIMITS_CROSSED = "limits-crossed"
    NOT_REPEATABLE = "not-repeatable"
    DUPLICATE_DIGEST = "duplicate-digest"


class ConfigurationError(NamedTuple):
    """One error in configuration, with its location and remedy.

    ``where`` is the key and the path of the field in its value. ``version`` is
    the version that introduced the error, or 0 for an unpublished document.
    """

    kind: ErrorKind
    where: str
    found: str
    allowed: str
    remedy: str
    version: int = 0

    def __str__(self) -> str:
        """Return the error as one line for a log or a terminal."""
        return (
            f"{self.where}: {self.kind}: found {self.found}, "
            f"allowed {self.allowed}; {self.remedy}"
        )


ConfigurationErrors = tuple[ConfigurationError, ...]
