"""Name what the reducers want logged, as data."""

from nutmegslip_decisions.log_events._log_event import LogEvent, LogEventKind

__all__ = ["LogEvent", "LogEventKind"]
