"""Define numbered log events, write them as JSON lines and explain them."""

from nutmegslip_runtime.eventlog._bounded_stream import BoundedStream
from nutmegslip_runtime.eventlog._catalogue import EVENTS, event_named, event_numbered
from nutmegslip_runtime.eventlog._explain import UnknownTopic, explain
from nutmegslip_runtime.eventlog._kinds import EventKind, Level
from nutmegslip_runtime.eventlog._log import EventLog, make_log
from nutmegslip_runtime.eventlog._page import render_page
from nutmegslip_runtime.eventlog._rate_limit import RateLimitedLog

__all__ = [
    "EVENTS",
    "BoundedStream",
    "EventKind",
    "EventLog",
    "Level",
    "RateLimitedLog",
    "UnknownTopic",
    "event_named",
    "event_numbered",
    "explain",
    "make_log",
    "render_page",
]
