"""Reduce every event of an entry host."""

from itertools import chain

from nutmegslip_decisions import limits, once, work
from nutmegslip_decisions.entry import (
    _answers,
    _arrivals,
    _attempts,
    _losses,
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
    StopAsked,
    Tick,
    finish_stop,
)

Step = tuple[EntryState, tuple[EntryEffect, ...]]


def reduce(state: EntryState, event: EntryEvent) -> Step:
    """Return the next state of the entry and what is to be done."""
    if isinstance(event, PeerPieces):
        # Most events are these, and nothing but a stream hangs on them.
        return _answers.take_pieces(state, event.batches, event.now_ms)
    state, effects = _published.follow(state, event, event.now_ms)
    state, more = _handle(state, event)
    state, admitted = _arrivals.catch_up(state, event.now_ms)
    idle = state.stopping and not state.requests
    state, last = finish_stop(state, idle, event.now_ms)
    return state, tuple(chain(effects, more, admitted, last))


def _handle(state: EntryState, event: EntryEvent) -> Step:
    match event:
        case CallerArrived():
            return _arrivals.arrive(state, event)
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
            return _lose_peer(state, host, now_ms)
        case SendFailed(now_ms, host, message):
            return _send_failed(state, host, message, now_ms)
        case StopAsked(now_ms, deadline_ms):
            state = state._replace(stopping=True)
            asked = once.StopRequested(now_ms, deadline_ms)
            state, effects = _once.apply(state, asked)
            return state, (LogEvent(LogEventKind.DRAIN_STARTED), *effects)
    return state, ()


def _receive(state: EntryState, host: str, message: object, now_ms: int) -> Step:
    match message:
        case work.Finished() | work.Refused() | work.Failed() | work.LoadReport():
            return _attempts.receive(state, host, message, now_ms)
        case limits.ShareRequested() | limits.ShareGranted():
            received = limits.MessageReceived(now_ms, host, message)
            return _arrivals.limit(state, received)
        case _ if isinstance(message, once.MESSAGES):
            return _once.apply(state, once.Received(now_ms, message))
    return state, ()


def _tick(state: EntryState, now_ms: int) -> Step:
    state, admitted = _arrivals.limit(state, limits.Tick(now_ms))
    state, answered = _once.apply(state, once.Tick(now_ms))
    state, left = _losses.leave_silent_hosts(state, now_ms)
    state, retried = _attempts.act_on_deadlines(state, now_ms)
    return state, (*admitted, *answered, *left, *retried)


def _lose_peer(state: EntryState, host: str, now_ms: int) -> Step:
    state, failed = _losses.lose_host(state, host, now_ms)
    state, answered = _once.apply(state, once.PeerUnreachable(now_ms, host))
    note = LogEvent(LogEventKind.LINK_DOWN, fields=(("peer", host),))
    return state, (note, *failed, *answered)


def _send_failed(state: EntryState, host: str, message: object, now_ms: int) -> Step:
    match message:
        case work.Submit(attempt_id):
            return _losses.never_sent(state, attempt_id, now_ms)
        case once.StartRequest():
            failed = once.SendFailed(now_ms, host, message.request)
            return _once.apply(state, failed)
    # Shares and polls are asked for again when they are due.
    return state, ()
