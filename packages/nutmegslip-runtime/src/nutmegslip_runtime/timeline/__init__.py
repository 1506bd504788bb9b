"""Merge the logs of several processes into one timeline."""

from nutmegslip_runtime.timeline._command import show_timeline
from nutmegslip_runtime.timeline._lines import BadLine, LogEntry, parse_line
from nutmegslip_runtime.timeline._merge import Timeline, merge
from nutmegslip_runtime.timeline._page import render_page
from nutmegslip_runtime.timeline._select import Selection, select
from nutmegslip_runtime.timeline._text import render_text

__all__ = [
    "BadLine",
    "LogEntry",
    "Selection",
    "Timeline",
    "merge",
    "parse_line",
    "render_page",
    "render_text",
    "select",
    "show_timeline",
]
