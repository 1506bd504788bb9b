"""Run non-idempotent requests through the at-most-once record."""

from nutmegslip_decisions import gate, once
from nutmegslip_decisions.log_events import LogEvent, LogEventKind
from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.process import Send
from nutmegslip_decisions.sidecar import _attempts
from nutmegslip_decisions.sidecar._events import (
    OnceCut,
    OnceFinished,
    OnceNotSent,
    SidecarEffect,
    StartOnce,
)
from nutmegslip_decisions.sidecar._state import SidecarState

Step = tuple[SidecarState, tuple[SidecarEffect, ...]]


def apply(state: SidecarState, event: once.SidecarEvent) -> Step:
    """Update the permission of the at-most-once record, then apply an event to it."""
    permission = once.PermissionChanged(
        now_ms=event.now_ms,
        lease_until_ms=state.sync.lease_until_ms,
        takes_work=_takes_work(state.gate),
    )
    once_state, _ = once.reduce_sidecar(state.once, permission)
    once_state, effects = once.reduce_sidecar(once_state, event)
    state = state._replace(once=once_state)
    outgoing: list[SidecarEffect] = []
    for effect in effects:
        match effect:
            case once.SendToPeer(host, message):
                outgoing.append(Send(host, message))
            case once.Stopped():
                state = state._replace(records_handed_over=True)
            case once.StartUpstream():
                state, more = _start(state, effect, event.now_ms)
                outgoing += more
    return state, tuple(outgoing)


def record_outcome(
    state: SidecarState, event: OnceFinished | OnceNotSent | OnceCut
) -> Step:
    """Record the outcome of a non-idempotent request at the upstream."""
    now_ms, key = event.now_ms, event.key
    ended = gate.Ended(now_ms, _gate_id(key), state.sync.lease_until_ms)
    state, admitted = _attempts.apply_gate(state, ended)
    match event:
        case OnceFinished(_, _, answer):
            outcome, name = once.UpstreamFinished(now_ms, key, answer), "finished"
        case OnceNotSent():
            outcome, name = once.UpstreamNotSent(now_ms, key), "not-sent"
        case OnceCut():
            outcome, name = once.UpstreamCutOff(now_ms, key), "cut-off"
    state, effects = apply(state, outcome)
    log_event = LogEvent(
        LogEventKind.ONCE_ENDED, fields=(("key", key), ("outcome", name))
    )
    return state, (log_event, *admitted, *effects)


def _takes_work(state: gate.GateState) -> bool:
    has_free_slot = gate.free_slots(state) > len(state.waiting)
    return has_free_slot and state.takes_work and not state.draining


def _start(state: SidecarState, start: once.StartUpstream, now_ms: Millis) -> Step:
    """Acquire a slot at the gate and start the call in the same step."""
    gate_id = _gate_id(start.key)
    lease_deadline_ms = state.sync.lease_until_ms
    offered = gate.Offered(
        now_ms=now_ms,
        attempt_id=gate_id,
        workload="",
        deadline_ms=start.deadline_ms,
        lease_deadline_ms=lease_deadline_ms,
    )
    gate_state, effects = gate.reduce(state.gate, offered)
    if gate.Dispatch(gate_id) not in effects:
        return apply(state, once.UpstreamNotSent(now_ms, start.key))
    acknowledged = gate.Acknowledged(now_ms, gate_id, False, 0, lease_deadline_ms)
    gate_state, _ = gate.reduce(gate_state, acknowledged)
    state = state._replace(gate=gate_state)
    log_event = LogEvent(LogEventKind.ONCE_STARTED, fields=(("key", start.key),))
    return state, (StartOnce(start.key, start.payload, start.deadline_ms), log_event)


def _gate_id(key: str) -> str:
    return f"once:{key}"
