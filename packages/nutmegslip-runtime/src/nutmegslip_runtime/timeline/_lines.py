"""Parse lines of a JSON log."""

import json
import math
from datetime import UTC, datetime
from typing import Any, NamedTuple

from expression import Error, Ok, Result

_STANDARD_FIELDS = frozenset(
    {
        "event",
        "exc_info",
        "fields",
        "host",
        "level",
        "message",
        "monotonic_ms",
        "number",
        "process",
        "request",
        "time",
        "zone",
    }
)


class LogEntry(NamedTuple):
    """One event of one process.

    ``wall_ms`` is the wall clock in milliseconds since 1970, UTC.
    ``monotonic_ms`` is None if the line has no valid one. ``fields`` are pairs of
    name and value, sorted by name.
    """

    wall_ms: float
    monotonic_ms: float | None
    level: str
    number: int
    event: str
    message: str
    host: str
    zone: str
    process: str
    request: str
    fields: tuple[tuple[str, str], ...]

    @property
    def lane(self) -> str:
        """Return the host and process, which identify a lane of the timeline."""
        return f"{self.host} {self.process}".strip()


class BadLine(NamedTuple):
    """A line that is not a log entry."""

    reason: str

    @property
    def message(self) -> str:
        """Return the error and its remedy in one line."""
        return f"{self.reason}; use the unmodified log output of a process"


def parse_line(line: str) -> Result[LogEntry, BadLine]:
    """Parse a line; any JSON object with a time and an event is an entry."""
    try:
        content = json.loads(line)
    except (ValueError, RecursionError):
        return Error(BadLine("not JSON"))
    if not isinstance(content, dict):
        return Error(BadLine("not a JSON object"))
    wall_ms = _wall_ms(content.get("time"))
    if wall_ms is None:
        return Error(BadLine("without a time"))
    if not _text(content, "event"):
        return Error(BadLine("without an event"))
    return Ok(_entry(content, wall_ms))


def _entry(content: dict[str, Any], wall_ms: float) -> LogEntry:
    number = content.get("number")
    return LogEntry(
        wall_ms=wall_ms,
        monotonic_ms=_finite(content.get("monotonic_ms")),
        level=_text(content, "level").upper(),
        number=number if isinstance(number, int) else 0,
        event=_text(content, "event"),
        message=_text(content, "message"),
        host=_text(content, "host"),
        zone=_text(content, "zone"),
        process=_text(content, "process"),
        request=_text(content, "request"),
        fields=_fields(content),
    )


def _fields(content: dict[str, Any]) -> tuple[tuple[str, str], ...]:
    nested = content.get("fields")
    own = nested if isinstance(nested, dict) else {}
    others = {
        name: value for name, value in content.items() if name not in _STANDARD_FIELDS
    }
    return tuple((name, str(value)) for name, value in sorted((own | others).items()))


def _text(content: dict[str, Any], name: str) -> str:
    value = content.get(name, "")
    return value if isinstance(value, str) else ""


def _finite(value: object) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    # A JSON integer can be too large for a float.
    return float(value) if abs(value) < 2**62 and math.isfinite(value) else None


def _wall_ms(value: object) -> float | None:
    try:
        time = datetime.fromisoformat(value) if isinstance(value, str) else None
        aware = time and (time if time.tzinfo else time.replace(tzinfo=UTC))
        return aware and aware.timestamp() * 1_000
    except (ValueError, OverflowError):
        return None
