"""Filter the entries of a timeline."""

from typing import NamedTuple

from nutmegslip_runtime.timeline._lines import LogEntry
from nutmegslip_runtime.timeline._merge import Timeline


class Selection(NamedTuple):
    """A filter by request, host and availability zone; empty matches all."""

    request: str = ""
    host: str = ""
    zone: str = ""

    def matches(self, entry: LogEntry) -> bool:
        """Return whether an entry matches every filter that is set."""
        pairs = zip(self, (entry.request, entry.host, entry.zone), strict=True)
        return all(expected in ("", found) for expected, found in pairs)


def select(timeline: Timeline, selection: Selection) -> Timeline:
    """Return the timeline with only the entries that the selection matches."""
    kept = tuple(pair for pair in timeline.entries if selection.matches(pair[1]))
    return timeline._replace(entries=kept)
