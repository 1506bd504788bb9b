"""Bound how many lines of each event are written in a second."""

from collections import Counter

from nutmegslip_runtime.eventlog._log import EventLog, FieldValue

MAX_LINES_PER_SECOND = 100  # of one event; 2 ms of processor time a second


class RateLimitedLog:
    """Write lines up to a rate for each event, and count those left out."""

    def __init__(
        self, log: EventLog, max_lines_per_second: int = MAX_LINES_PER_SECOND
    ) -> None:
        self._log = log
        self._max_lines_per_second = max_lines_per_second
        self._counts: Counter[str] = Counter()

    def emit(self, name: str, request: str = "", /, **fields: FieldValue) -> None:
        """Write one event, or count it where its rate is used up."""
        self._counts[name] += 1
        if self._counts[name] <= self._max_lines_per_second:
            self._log.emit(name, request, **fields)

    def emit_error(self, name: str, error: Exception) -> None:
        """Write an event with the traceback of a fault."""
        self._log.emit(name, error=error)

    def end_second(self) -> None:
        """Write what was left out, and begin a new second."""
        for name, count in self._counts.items():
            if count > self._max_lines_per_second:
                omitted = count - self._max_lines_per_second
                self._log.emit("lines-left-out", event=name, count=omitted)
        self._counts.clear()

    def flush(self) -> None:
        """Write the lines that wait."""
        self._log.flush()
