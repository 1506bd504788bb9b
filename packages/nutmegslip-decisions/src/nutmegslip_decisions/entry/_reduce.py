"""Apply events to the state of an entry."""

from itertools import chain

from nutmegslip_decisions import limits, once, work
from nutmegslip_decisions.entry import (
    _answers,
    _arrivals,
    _attempts,
    _host_failures,
    _once,
    _published,
    _requests,
)
from nutmegslip_decisions.entry._events import (
    CallerArrived,
    CallerGone,
    EntryEffect,
    EntryEvent,
)
from nutmegslip_decisions.entry._state import EntryState
from nutmegslip_decisions.log_events import LogEvent, LogEventKind
from nutmegslip_decisions.process import (
    LinkDown,
    LinkUp,
    PeerMessage,
    PeerPieces,
    SendFailed,
    StopRequested,
    Tick,
    finish_stop,
)

Step = tuple[EntryState, tuple[EntryEffect, ...]]


def reduce(state: EntryState, event: EntryEvent) -> Step:
    """Return the next state of the entry and the effects to run."""
    if isinstance(event, PeerPieces):
        # Most events are of this type, and they affect only streams.
        return _answers.deliver_pieces(state, event.batches, event.now_ms)
    state, effects = _published.apply_event(state, event, event.now_ms)
    state, handled = _handle(state, event)
    state, admitted = _arrivals.update_admission(state, event.now_ms)
    idle = state.stopping and not state.requests
    state, stopped = finish_stop(state, idle, event.now_ms)
    return state, tuple(chain(effects, handled, admitted, stopped))


def _handle(state: EntryState, event: EntryEvent) -> Step:
    match event:
        case CallerArrived():
            return _arrivals.handle_arrival(state, event)
        case CallerGone(now_ms, request_id):
            return _requests.abandon(state, request_id, now_ms)
        case PeerMessage(now_ms, host, message):
            return _receive(state, host, message, now_ms)
        case Tick(now_ms):
            return _tick(state, now_ms)
        case LinkUp(_, host, incarnation):
            fields = (("peer", host), ("incarnation", incarnation))
            return state, (LogEvent(LogEventKind.LINK_UP, fields=fields),)
        case LinkDown(now_ms, host):
            return _handle_link_down(state, host, now_ms)
        case SendFailed(now_ms, host, message):
            return _handle_send_failure(state, host, message, now_ms)
        case StopRequested(now_ms, deadline_ms):
            state = state._replace(stopping=True)
            stop_requested = once.StopRequested(now_ms, deadline_ms)
            state, effects = _once.apply(state, stop_requested)
            return state, (LogEvent(LogEventKind.DRAIN_STARTED), *effects)
    return state, ()


def _receive(state: EntryState, host: str, message: object, now_ms: int) -> Step:
    match message:
        case work.Finished() | work.Refused() | work.Failed() | work.LoadReport():
            return _attempts.receive(state, host, message, now_ms)
        case limits.ShareRequested() | limits.ShareGranted():
            received = limits.MessageReceived(now_ms, host, message)
            return _arrivals.apply_limits_event(state, received)
        case _ if isinstance(message, once.MESSAGES):
            return _once.apply(state, once.Received(now_ms, message))
    return state, ()


def _tick(state: EntryState, now_ms: int) -> Step:
    state, admitted = _arrivals.apply_limits_event(state, limits.Tick(now_ms))
    state, answered = _once.apply(state, once.Tick(now_ms))
    state, failed = _host_failures.fail_stale_hosts(state, now_ms)
    state, retried = _attempts.handle_deadlines(state, now_ms)
    return state, (*admitted, *answered, *failed, *retried)


def _handle_link_down(state: EntryState, host: str, now_ms: int) -> Step:
    state, failed = _host_failures.fail_host(state, host, now_ms)
    state, answered = _once.apply(state, once.PeerUnreachable(now_ms, host))
    log_event = LogEvent(LogEventKind.LINK_DOWN, fields=(("peer", host),))
    return state, (log_event, *failed, *answered)


def _handle_send_failure(
    state: EntryState, host: str, message: object, now_ms: int
) -> Step:
    match message:
        case work.Submit(attempt_id):
            return _host_failures.fail_unsent_attempt(state, attempt_id, now_ms)
        case once.StartRequest():
            failed = once.SendFailed(now_ms, host, message.request)
            return _once.apply(state, failed)
    # Shares and polls are requested again when they are due.
    return state, ()
