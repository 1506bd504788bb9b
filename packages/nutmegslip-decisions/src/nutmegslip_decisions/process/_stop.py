"""End a process that has nothing in hand, once its memory is left or time is up."""

from typing import Protocol, TypeVar

from nutmegslip_decisions.log_events import LogEvent, LogEventKind
from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.process._events import HANDOVER_TIMEOUT_MS, Stopped


class Stoppable(Protocol):
    """Name what the state of a program holds for its stop."""

    records_handed_over: bool
    handover_deadline_ms: Millis | None
    stopped: bool


State = TypeVar("State", bound=Stoppable)


def finish_stop(
    state: State, idle: bool, now_ms: Millis
) -> tuple[State, tuple[LogEvent | Stopped, ...]]:
    """Say once that an idle process may end."""
    if not idle or state.stopped:
        return state, ()
    if state.handover_deadline_ms is None:
        deadline_ms = now_ms + HANDOVER_TIMEOUT_MS
        state = state._replace(handover_deadline_ms=deadline_ms)
    # Where every peer stops as well, nobody is left to take the memory.
    if not state.records_handed_over and now_ms < state.handover_deadline_ms:
        return state, ()
    state = state._replace(stopped=True)
    return state, (LogEvent(LogEventKind.DRAINED), Stopped())
