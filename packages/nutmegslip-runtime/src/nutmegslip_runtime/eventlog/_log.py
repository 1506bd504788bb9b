"""Write numbered events as JSON lines."""

import logging
import sys
import time
from collections.abc import Callable
from logging.handlers import MemoryHandler
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from nutmegslip_decisions.log_events import LogEvent
from nutmegslip_runtime.eventlog._catalogue import event_named
from nutmegslip_runtime.eventlog._kinds import EventKind

MAX_BUFFERED_LINES = 1_000

FieldValue = str | int | float | bool


class EventLog:
    """The event log of one process; ``clock`` returns monotonic milliseconds."""

    def __init__(self, logger: logging.Logger, clock: Callable[[], int]) -> None:
        self._logger = logger
        self._clock = clock

    def write(self, event: LogEvent) -> None:
        """Write an event that a reducer returned as an effect."""
        self.emit(str(event.kind), event.request, **dict(event.fields))

    def emit(
        self,
        name: str,
        request: str = "",
        /,
        error: Exception | None = None,
        **fields: FieldValue,
    ) -> None:
        """Write one event; raise ``KeyError`` if its name is not in the catalogue."""
        kind = _require_kind(name)
        extra: dict[str, object] = {
            "event": kind.name,
            "number": kind.number,
            "monotonic_ms": self._clock(),
            "fields": fields,
        }
        if request:
            extra["request"] = request
        self._logger.log(kind.level, kind.message, extra=extra, exc_info=error)

    def flush(self) -> None:
        """Write buffered lines; formatting each at once would delay requests."""
        for handler in self._logger.handlers:
            handler.flush()

    def log_reducer_error(self, event: object, error: Exception) -> None:
        """Log an event that was dropped because the reducer failed on it."""
        self.emit("event-dropped", error=error, event_type=type(event).__name__)

    def log_rejected_peer(self, reason: str) -> None:
        """Log a peer whose handshake was rejected."""
        self.emit("peer-turned-away", reason=reason)


def make_log(
    level: str,
    host: str,
    zone: str,
    stream: TextIO = sys.stdout,
    *,
    process: str = "",
    clock: Callable[[], int] | None = None,
) -> EventLog:
    """Return the log of a process; ``process`` is its program and incarnation."""
    handler = logging.StreamHandler(stream)
    formatter = JsonFormatter(
        "%(levelname)s %(message)s",
        timestamp="time",
        rename_fields={"levelname": "level"},
        static_fields={"host": host, "zone": zone, "process": process},
    )
    handler.setFormatter(formatter)
    logger = logging.Logger("nutmegslip", level.upper())
    logger.addHandler(MemoryHandler(MAX_BUFFERED_LINES, logging.ERROR, target=handler))
    return EventLog(logger, clock or _monotonic_ms)


def _require_kind(name: str) -> EventKind:
    kind = event_named(name)
    if kind is None:
        raise KeyError(f"{name} is an unknown event; add it to the event catalogue")
    return kind


def _monotonic_ms() -> int:
    return time.monotonic_ns() // 1_000_000
