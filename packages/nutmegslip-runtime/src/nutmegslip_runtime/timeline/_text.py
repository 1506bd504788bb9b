"""Render a timeline as text."""

from collections.abc import Iterator

from nutmegslip_runtime.timeline._format import bad_lines_text, clock_time, fields_text
from nutmegslip_runtime.timeline._merge import Timeline


def render_text(timeline: Timeline) -> str:
    """Return one line per entry, then the counts of skipped lines."""
    lines = [*_entry_lines(timeline), *bad_lines_text(timeline)]
    return "".join(f"{_printable(line)}\n" for line in lines)


def _entry_lines(timeline: Timeline) -> Iterator[str]:
    width = max((len(entry.lane) for _, entry in timeline.entries), default=0)
    for time_ms, entry in timeline.entries:
        number = f"NS{entry.number}" if entry.number else "-"
        parts = (
            clock_time(time_ms),
            f"{entry.lane:{width}}",
            f"{number:6}",
            entry.event,
            entry.request,
            fields_text(entry),
        )
        yield " ".join(part for part in parts if part).rstrip()


def _printable(line: str) -> str:
    """Replace control characters, which could affect the terminal."""
    return "".join(
        character if character.isprintable() else "\N{REPLACEMENT CHARACTER}"
        for character in line
    )
