"""Leave in a time line only what an operator asked for."""

from typing import NamedTuple

from nutmegslip_runtime.timeline._lines import LogEntry
from nutmegslip_runtime.timeline._merge import Timeline


class Selection(NamedTuple):
    """Name the request, host or availability zone to keep; empty keeps all."""

    request: str = ""
    host: str = ""
    zone: str = ""

    def matches(self, entry: LogEntry) -> bool:
        """Return whether an entry fits every name that is given."""
        wanted = zip(self, (entry.request, entry.host, entry.zone), strict=True)
        return all(name in ("", found) for name, found in wanted)


def select(timeline: Timeline, selection: Selection) -> Timeline:
    """Return the time line with only the entries that the selection keeps."""
    kept = tuple(pair for pair in timeline.entries if selection.matches(pair[1]))
    return timeline._replace(entries=kept)
