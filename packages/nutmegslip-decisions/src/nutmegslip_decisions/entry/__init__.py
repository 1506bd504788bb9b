"""Compose the decisions of an entry host in one reducer."""

from nutmegslip_decisions.entry._events import (
    CallerArrived,
    CallerGone,
    Complete,
    Deliver,
    EntryEffect,
    EntryEvent,
    Fail,
    KeepLinks,
)
from nutmegslip_decisions.entry._reduce import reduce
from nutmegslip_decisions.entry._state import (
    EntryOptions,
    EntryState,
    Request,
    is_ready,
    new_state,
)

__all__ = [
    "CallerArrived",
    "CallerGone",
    "Complete",
    "Deliver",
    "EntryEffect",
    "EntryEvent",
    "EntryOptions",
    "EntryState",
    "Fail",
    "KeepLinks",
    "Request",
    "is_ready",
    "new_state",
    "reduce",
]
