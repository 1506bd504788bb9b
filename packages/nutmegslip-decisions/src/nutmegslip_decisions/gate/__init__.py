"""Admission control for one upstream: cold start, drain, marks and lease."""

from nutmegslip_decisions.gate._events import (
    Acknowledged,
    Cancelled,
    Dispatch,
    Drained,
    DrainStarted,
    Ended,
    GateEffect,
    GateEvent,
    LimitsChanged,
    MarkChanged,
    Offered,
    Refuse,
    Reported,
    Tick,
    Unreachable,
)
from nutmegslip_decisions.gate._reduce import free_slots, reduce
from nutmegslip_decisions.gate._state import GateState, Running, Waiting, new_gate

__all__ = [
    "Acknowledged",
    "Cancelled",
    "Dispatch",
    "DrainStarted",
    "Drained",
    "Ended",
    "GateEffect",
    "GateEvent",
    "GateState",
    "LimitsChanged",
    "MarkChanged",
    "Offered",
    "Refuse",
    "Reported",
    "Running",
    "Tick",
    "Unreachable",
    "Waiting",
    "free_slots",
    "new_gate",
    "reduce",
]
