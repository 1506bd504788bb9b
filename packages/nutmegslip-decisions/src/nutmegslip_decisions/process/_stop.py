"""Stop an idle process once its records are handed over or a timeout passes."""

from typing import Protocol, TypeVar

from nutmegslip_decisions.log_events import LogEvent, LogEventKind
from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.process._events import HANDOVER_TIMEOUT_MS, Stopped


class Stoppable(Protocol):
    """The fields of a program's state that a stop uses."""

    records_handed_over: bool
    handover_deadline_ms: Millis | None
    stopped: bool


State = TypeVar("State", bound=Stoppable)


def finish_stop(
    state: State, idle: bool, now_ms: Millis
) -> tuple[State, tuple[LogEvent | Stopped, ...]]:
    """Return ``Stopped`` once an idle process may exit."""
    if not idle or state.stopped:
        return state, ()
    if state.handover_deadline_ms is None:
        deadline_ms = now_ms + HANDOVER_TIMEOUT_MS
        state = state._replace(handover_deadline_ms=deadline_ms)
    # If every peer stops as well, none remains to accept the records.
    if not state.records_handed_over and now_ms < state.handover_deadline_ms:
        return state, ()
    state = state._replace(stopped=True)
    return state, (LogEvent(LogEventKind.DRAINED), Stopped())
