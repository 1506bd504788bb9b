"""Limit how many lines of each event are written per second."""

from collections import Counter
from collections.abc import Callable

from nutmegslip_runtime.eventlog._log import EventLog, FieldValue

MAX_LINES_PER_SECOND = 100  # per event; costs 2 ms of CPU time per second


class RateLimitedLog:
    """A log that limits the rate of each event and counts omitted lines.

    ``count`` is called with the name of each event, also if its line is omitted.
    """

    def __init__(
        self,
        log: EventLog,
        max_lines_per_second: int = MAX_LINES_PER_SECOND,
        *,
        count: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._log = log
        self._max_lines_per_second = max_lines_per_second
        self._count = count
        self._counts: Counter[str] = Counter()

    def emit(self, name: str, request: str = "", /, **fields: FieldValue) -> None:
        """Write one event, or only count it if its rate limit is reached."""
        self._count(name)
        self._counts[name] += 1
        if self._counts[name] <= self._max_lines_per_second:
            self._log.emit(name, request, **fields)

    def emit_error(self, name: str, error: Exception) -> None:
        """Write an event with the traceback of an error, without a rate limit."""
        self._count(name)
        self._log.emit(name, error=error)

    def end_second(self) -> None:
        """Log how many lines were omitted, and reset the counts."""
        for name, count in self._counts.items():
            if count > self._max_lines_per_second:
                omitted = count - self._max_lines_per_second
                self._log.emit("lines-left-out", event=name, count=omitted)
        self._counts.clear()

    def flush(self) -> None:
        """Write buffered lines."""
        self._log.flush()
