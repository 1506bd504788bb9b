"""Bound how many lines of each event are written in a second."""

from collections import Counter

from nutmegslip_runtime.eventlog._log import EventLog, FieldValue

LINES_PER_SECOND = 100  # of one event; 2 ms of processor time a second


class PacedLog:
    """Write lines up to a rate for each event, and count those left out."""

    def __init__(self, log: EventLog, lines_per_second: int = LINES_PER_SECOND) -> None:
        self._log = log
        self._lines_per_second = lines_per_second
        self._written: Counter[str] = Counter()

    def emit(self, name: str, request: str = "", /, **fields: FieldValue) -> None:
        """Write one event, or count it where its rate is used up."""
        self._written[name] += 1
        if self._written[name] <= self._lines_per_second:
            self._log.emit(name, request, **fields)

    def fault(self, name: str, error: Exception) -> None:
        """Write an event with the traceback of a fault."""
        self._log.emit(name, error=error)

    def end_second(self) -> None:
        """Write what was left out, and begin a new second."""
        for name, count in self._written.items():
            if count > self._lines_per_second:
                left_out = count - self._lines_per_second
                self._log.emit("lines-left-out", event=name, count=left_out)
        self._written.clear()

    def flush(self) -> None:
        """Write the lines that wait."""
        self._log.flush()
