"""Render a timeline as a self-contained HTML page."""

from html import escape
from importlib.resources import files
from string import Template

from nutmegslip_runtime.timeline._format import bad_lines_text, clock_time, fields_text
from nutmegslip_runtime.timeline._lanes import render_lanes
from nutmegslip_runtime.timeline._lines import LogEntry
from nutmegslip_runtime.timeline._merge import Timeline


def render_page(timeline: Timeline, title: str) -> str:
    """Return the page as HTML; all text from the logs is escaped."""
    folder = files(__package__)
    rows = (
        _row(index, time_ms, entry)
        for index, (time_ms, entry) in enumerate(timeline.entries)
    )
    bad = (f"<li>{escape(line)}</li>" for line in bad_lines_text(timeline))
    template = Template(folder.joinpath("page.html").read_text())
    return template.substitute(
        style=folder.joinpath("page.css").read_text(),
        script=folder.joinpath("page.js").read_text(),
        title=escape(title),
        count=len(timeline.entries),
        bad="\n".join(bad),
        lanes=render_lanes(timeline),
        rows="\n".join(rows),
    )


def _row(index: int, time_ms: float, entry: LogEntry) -> str:
    number = f"NS{entry.number}" if entry.number else ""
    cells = (
        clock_time(time_ms),
        entry.lane,
        entry.zone,
        entry.level.lower(),
        number,
        entry.event,
        entry.request,
        fields_text(entry),
    )
    data = "".join(f"<td>{escape(cell)}</td>" for cell in cells)
    level = escape(entry.level.lower(), quote=True)
    tooltip = escape(entry.message, quote=True)
    return f'<tr id="e{index}" class="{level}" title="{tooltip}">{data}</tr>'
