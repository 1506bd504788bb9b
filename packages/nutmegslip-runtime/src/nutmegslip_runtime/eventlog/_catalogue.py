"""List all events, and look them up by name or number."""

from nutmegslip_runtime.eventlog._direct_events import DIRECT_EVENTS
from nutmegslip_runtime.eventlog._kinds import EventKind
from nutmegslip_runtime.eventlog._process_events import PROCESS_EVENTS
from nutmegslip_runtime.eventlog._request_events import REQUEST_EVENTS

EVENTS = tuple(sorted(PROCESS_EVENTS + REQUEST_EVENTS + DIRECT_EVENTS))

_BY_NAME = {kind.name: kind for kind in EVENTS}
_BY_NUMBER = {kind.number: kind for kind in EVENTS}


def event_named(name: str) -> EventKind | None:
    """Return the event with this name, or None."""
    return _BY_NAME.get(name)


def event_numbered(number: int) -> EventKind | None:
    """Return the event with this number, or None."""
    return _BY_NUMBER.get(number)
