"""Log events, which reducers return as effects."""

from nutmegslip_decisions.log_events._log_event import LogEvent, LogEventKind

__all__ = ["LogEvent", "LogEventKind"]
