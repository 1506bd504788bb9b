"""Describe what is wrong with published configuration."""

from enum import StrEnum
from typing import NamedTuple


class ErrorKind(StrEnum):
    """Name each way in which configuration can be wrong."""

    NOT_JSON = "not-json"
    UNKNOWN_KEY = "unknown-key"
    UNKNOWN_FIELD = "unknown-field"
    MISSING_FIELD = "missing-field"
    BAD_VALUE = "bad-value"
    LIMITS_CROSSED = "limits-crossed"
    NOT_REPEATABLE = "not-repeatable"
    DUPLICATE_DIGEST = "duplicate-digest"


class ConfigurationError(NamedTuple):
    """Say where configuration is wrong, how, and what puts it right.

    ``where`` is the key and the path of the field in it, ``version`` the version
    that brought it, or 0 for a document that is not published yet.
    """

    kind: ErrorKind
    where: str
    found: str
    allowed: str
    remedy: str
    version: int = 0

    def __str__(self) -> str:
        """Return one line for a log or a terminal."""
        return (
            f"{self.where}: {self.kind}: found {self.found}, "
            f"allowed {self.allowed}; {self.remedy}"
        )


ConfigurationErrors = tuple[ConfigurationError, ...]
