"""Merge the entries of several logs in order of time."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from statistics import median
from typing import NamedTuple

from nutmegslip_runtime.timeline._lines import LogEntry, parse_line


class Timeline(NamedTuple):
    """Entries in order, with their times in milliseconds since 1970.

    ``bad_lines`` counts skipped lines by source and reason.
    """

    entries: tuple[tuple[float, LogEntry], ...]
    bad_lines: tuple[tuple[str, str, int], ...] = ()


def merge(sources: Mapping[str, Iterable[str]]) -> Timeline:
    """Merge the lines of logs, by source name, into one timeline.

    Entries of one process are spaced by its monotonic clock, so that a jump of its
    wall clock does not reorder them. Processes are aligned with each other by the
    median difference between their wall and monotonic clocks.
    """
    entries: list[tuple[str, LogEntry]] = []
    bad_counts: Counter[tuple[str, str]] = Counter()
    for source, lines in sources.items():
        for line in filter(str.strip, lines):
            parsed = parse_line(line)
            if parsed.is_ok():
                entries.append((source, parsed.ok))
            else:
                bad_counts[source, parsed.error.reason] += 1
    timed = _with_aligned_times(entries)
    counts = sorted(
        (source, reason, count) for (source, reason), count in bad_counts.items()
    )
    return Timeline(tuple(sorted(timed, key=lambda pair: pair[0])), tuple(counts))


def _with_aligned_times(
    entries: list[tuple[str, LogEntry]],
) -> list[tuple[float, LogEntry]]:
    differences: dict[tuple[str, str], list[float]] = defaultdict(list)
    for source, entry in entries:
        if entry.monotonic_ms is not None:
            difference = entry.wall_ms - entry.monotonic_ms
            differences[source, entry.lane].append(difference)
    offsets = {process: median(values) for process, values in differences.items()}
    return [
        (_aligned_time_ms(entry, offsets.get((src, entry.lane))), entry)
        for src, entry in entries
    ]


def _aligned_time_ms(entry: LogEntry, offset_ms: float | None) -> float:
    if entry.monotonic_ms is None or offset_ms is None:
        return entry.wall_ms
    return entry.monotonic_ms + offset_ms
