"""The effect that writes one log line."""

from dataclasses import dataclass
from enum import StrEnum


class LogEventKind(StrEnum):
    """The kind of a log event; the event catalogue assigns each a number."""

    CATALOGUE_IN_FORCE = "catalogue-in-force"
    CATALOGUE_REFUSED = "catalogue-refused"
    HOSTS_IN_FORCE = "hosts-in-force"
    LEASE_HELD = "lease-held"
    LEASE_LOST = "lease-lost"
    MARKED_IN = "marked-in"
    MARKED_OUT = "marked-out"
    REQUEST_ARRIVED = "request-arrived"
    REQUEST_ADMITTED = "request-admitted"
    REQUEST_ANSWERED = "request-answered"
    REQUEST_FAILED = "request-failed"
    CALLER_GONE = "caller-gone"
    ATTEMPT_SENT = "attempt-sent"
    ATTEMPT_FAILED = "attempt-failed"
    ATTEMPT_STARTED = "attempt-started"
    ATTEMPT_ENDED = "attempt-ended"
    ATTEMPT_REFUSED = "attempt-refused"
    UPSTREAM_COLD = "upstream-cold"
    UPSTREAM_WARM = "upstream-warm"
    ONCE_STARTED = "once-started"
    ONCE_ENDED = "once-ended"
    DRAIN_STARTED = "drain-started"
    DRAINED = "drained"
    LINK_UP = "link-up"
    LINK_DOWN = "link-down"
    EXPERT_MAP_IN_FORCE = "expert-map-in-force"
    EXPERT_MAP_ABORTED = "expert-map-aborted"
    GROUP_FORMED = "group-formed"


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One log line to write.

    ``request`` is the id of the request that it belongs to, or empty.
    """

    kind: LogEventKind
    request: str = ""
    fields: tuple[tuple[str, str | int | bool], ...] = ()
