"""The reducer of a sidecar."""

from itertools import chain

from nutmegslip_decisions import gate, once, work
from nutmegslip_decisions.experts import agreement
from nutmegslip_decisions.log_events import LogEvent, LogEventKind
from nutmegslip_decisions.model import Role
from nutmegslip_decisions.process import (
    LinkDown,
    LinkUp,
    PeerMessage,
    Send,
    SendFailed,
    Started,
    StopRequested,
    Tick,
    finish_stop,
)
from nutmegslip_decisions.sidecar import (
    _attempts,
    _group,
    _once,
    _published,
    _reports,
)
from nutmegslip_decisions.sidecar._events import (
    EngineAccepted,
    EngineCut,
    EngineFinished,
    EngineLost,
    EngineNotSent,
    EnginePieces,
    EngineReported,
    GroupEvent,
    GroupReported,
    OnceCut,
    OnceFinished,
    OnceNotSent,
    SidecarEffect,
    SidecarEvent,
)
from nutmegslip_decisions.sidecar._state import SidecarState, UpstreamKind

Step = tuple[SidecarState, tuple[SidecarEffect, ...]]


def reduce(state: SidecarState, event: SidecarEvent) -> Step:
    """Return the next state of the sidecar and the effects."""
    if isinstance(event, EnginePieces):
        # Most events are of this kind, and they affect nothing but a stream.
        return _attempts.forward_pieces(state, event.batches)
    before = state.gate
    state, effects = _published.apply(state, event, event.now_ms)
    state, more = _handle(state, event)
    state, last = finish_stop(state, state.gate.drained, event.now_ms)
    log_events = _cold_log_event(before, state.gate)
    return state, tuple(chain(effects, more, log_events, last))


def _handle(state: SidecarState, event: SidecarEvent) -> Step:
    match event:
        case PeerMessage(now_ms, host, message):
            return _receive(state, host, message, now_ms)
        case EngineAccepted() | EngineFinished():
            return _attempts.handle_engine_event(state, event)
        case EngineNotSent() | EngineCut():
            return _attempts.handle_engine_event(state, event)
        case EngineReported(now_ms, cold, epoch, running):
            reported = gate.Reported(now_ms, cold, epoch, running)
            return _attempts.apply_gate(state, reported)
        case EngineLost(now_ms):
            return _attempts.apply_gate(state, gate.Unreachable(now_ms))
        case OnceFinished() | OnceNotSent() | OnceCut():
            return _once.record_outcome(state, event)
        case _ if isinstance(event, GroupEvent):
            return _group.apply(state, event)
        case GroupReported():
            return _group.report(state, event)
        case Started(now_ms):
            return _start(state, now_ms)
        case Tick(now_ms):
            return _tick(state, now_ms)
        case LinkUp():
            return _link_up(state, event)
        case LinkDown(now_ms, host):
            return _link_down(state, host, now_ms)
        case SendFailed(now_ms, host, message):
            return _send_failed(state, host, message, now_ms)
        case StopRequested(now_ms, deadline_ms):
            state, effects = _attempts.apply_gate(state, gate.DrainStarted(now_ms))
            stop_requested = once.StopRequested(now_ms, deadline_ms)
            state, more = _once.apply(state, stop_requested)
            return state, (LogEvent(LogEventKind.DRAIN_STARTED), *effects, *more)
    return state, ()


def _receive(state: SidecarState, host: str, message: object, now_ms: int) -> Step:
    match message:
        case work.Submit():
            return _attempts.submit(state, host, message, now_ms)
        case work.Cancel(attempt_id):
            return _attempts.cancel(state, host, attempt_id, now_ms)
        case once.StartRequest() if not _is_entry(state, host, message.entry):
            return state, ()
        case _ if isinstance(message, agreement.Message):
            return _group.apply(state, agreement.PeerMessage(now_ms, message))
        case _ if isinstance(message, once.MESSAGES):
            return _once.apply(state, once.Received(now_ms, message))
    return state, ()


def _is_entry(state: SidecarState, host: str, claimed: str) -> bool:
    listed = state.sync.roster.hosts.get(host)
    return listed is not None and listed.role is Role.ENTRY and host == claimed


def _start(state: SidecarState, now_ms: int) -> Step:
    if state.options.upstream is UpstreamKind.ENGINE:
        return state, ()
    # A plain service has no cold start and reports no load.
    return _attempts.apply_gate(state, gate.Reported(now_ms, False, 0, 0))


def _tick(state: SidecarState, now_ms: int) -> Step:
    state = _attempts.sweep(state, now_ms)
    tick = gate.Tick(now_ms, state.sync.lease_until_ms)
    state, admitted = _attempts.apply_gate(state, tick)
    state, effects = _once.apply(state, once.Tick(now_ms))
    state, grouped = _group.apply(state, agreement.Tick(now_ms))
    state, reports = _reports.report(state, now_ms)
    return state, (*admitted, *effects, *grouped, *reports)


def _link_up(state: SidecarState, event: LinkUp) -> Step:
    state = state._replace(links=state.links | {event.host})
    fields = (("peer", event.host), ("incarnation", event.incarnation))
    # An entry sends no non-idempotent request before it knows this incarnation.
    heartbeat = once.sidecar_heartbeat(state.once, event.now_ms)
    log_event = LogEvent(LogEventKind.LINK_UP, fields=fields)
    state, more = _group.peer_changed(state, event.host, True, event.now_ms)
    return state, (log_event, Send(event.host, heartbeat), *more)


def _link_down(state: SidecarState, host: str, now_ms: int) -> Step:
    state = _reports.remove_peer(state, host)
    state, cancelled = _attempts.cancel_entry_attempts(state, host, now_ms)
    state, effects = _once.apply(state, once.PeerUnreachable(now_ms, host))
    log_event = LogEvent(LogEventKind.LINK_DOWN, fields=(("peer", host),))
    state, more = _group.peer_changed(state, host, False, now_ms)
    return state, (log_event, *cancelled, *effects, *more)


def _send_failed(state: SidecarState, host: str, message: object, now_ms: int) -> Step:
    if isinstance(message, once.MESSAGES):
        return _once.apply(state, once.PeerUnreachable(now_ms, host))
    return state, ()


def _cold_log_event(old: gate.GateState, new: gate.GateState) -> tuple[LogEvent, ...]:
    if old.cold == new.cold:
        return ()
    kind = LogEventKind.UPSTREAM_COLD if new.cold else LogEventKind.UPSTREAM_WARM
    return (LogEvent(kind, fields=(("epoch", new.epoch),)),)
