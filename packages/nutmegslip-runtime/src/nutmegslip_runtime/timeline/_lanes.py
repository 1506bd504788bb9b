"""Draw one lane per process, with a mark per event."""

from html import escape

from nutmegslip_runtime.timeline._format import clock_time
from nutmegslip_runtime.timeline._lines import LogEntry
from nutmegslip_runtime.timeline._merge import Timeline

LABEL_PX = 350
LANE_PX = 22
WIDTH_PX = 1_300
MARK_PX = 4
#: Level is also shown by size, for readers who cannot distinguish the colours.
ALERT_MARK_PX = 7
MARGIN_PX = 12
AXIS_PX = 20
TICKS = 6
ROUTINE_LEVELS = frozenset({"", "DEBUG", "INFO"})


def render_lanes(timeline: Timeline) -> str:
    """Return an SVG image; each mark links to its table row."""
    lanes = sorted({entry.lane for _, entry in timeline.entries})
    axis_y = LANE_PX * len(lanes) + AXIS_PX
    lane_ys = {lane: LANE_PX * index + LANE_PX // 2 for index, lane in enumerate(lanes)}
    parts = [_lane(lane, y) for lane, y in lane_ys.items()]
    for index, (time_ms, entry) in enumerate(timeline.entries):
        x = _x(time_ms, timeline)
        parts.append(_mark(index, x, lane_ys[entry.lane], time_ms, entry))
    body = "\n".join([*parts, *_ticks(timeline, axis_y)])
    return (
        f'<svg role="group" aria-label="Events by process" '
        f'viewBox="0 0 {WIDTH_PX} {axis_y + MARGIN_PX}">\n{body}\n</svg>'
    )


def _lane(lane: str, y: int) -> str:
    end = WIDTH_PX - MARGIN_PX
    return (
        f'<text x="0" y="{y + MARK_PX}">{escape(lane)}</text>'
        f'<line x1="{LABEL_PX}" y1="{y}" x2="{end}" y2="{y}"/>'
    )


def _mark(index: int, x: float, y: int, time_ms: float, entry: LogEntry) -> str:
    level = escape(entry.level.lower(), quote=True)
    radius = MARK_PX if entry.level in ROUTINE_LEVELS else ALERT_MARK_PX
    text = f"{clock_time(time_ms)} {entry.lane} {entry.event}"
    return (
        f'<a href="#e{index}" id="m{index}" tabindex="-1">'
        f'<circle class="{level}" cx="{x:.1f}" cy="{y}" r="{radius}">'
        f"<title>{escape(text)}</title></circle></a>"
    )


def _ticks(timeline: Timeline, y: int) -> list[str]:
    """Return labels with the time of day at even intervals below the lanes."""
    if not timeline.entries:
        return []
    first, last = timeline.entries[0][0], timeline.entries[-1][0]
    step = (last - first) / (TICKS - 1)
    times = sorted({first + step * tick for tick in range(TICKS)})
    return [
        f'<text x="{_x(time, timeline):.1f}" y="{y}" text-anchor="middle">'
        f"{clock_time(time)}</text>"
        for time in times
    ]


def _x(time_ms: float, timeline: Timeline) -> float:
    first, last = timeline.entries[0][0], timeline.entries[-1][0]
    share = (time_ms - first) / (last - first) if last > first else 0.0
    return LABEL_PX + MARGIN_PX + share * (WIDTH_PX - LABEL_PX - 5 * MARGIN_PX)
