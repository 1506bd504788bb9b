"""Format times and fields for both text and HTML output."""

from datetime import UTC, datetime

from nutmegslip_runtime.timeline._lines import LogEntry
from nutmegslip_runtime.timeline._merge import Timeline


def clock_time(time_ms: float) -> str:
    """Return the time of day in UTC, with milliseconds."""
    try:
        moment = datetime.fromtimestamp(time_ms / 1_000, UTC)
    except (ValueError, OverflowError, OSError):
        return "out of range"
    return moment.strftime("%H:%M:%S.") + f"{moment.microsecond // 1_000:03}"


def fields_text(entry: LogEntry) -> str:
    """Return the fields of an entry as ``name=value`` pairs."""
    return " ".join(f"{name}={value}" for name, value in entry.fields)


def bad_lines_text(timeline: Timeline) -> list[str]:
    """Return one line per source and reason for skipped lines."""
    return [
        f"{source}: skipped {count} invalid lines: {reason}"
        for source, reason, count in timeline.bad_lines
    ]
