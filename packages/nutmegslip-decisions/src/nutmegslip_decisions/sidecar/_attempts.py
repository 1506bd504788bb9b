"""Route attempts between entries, the gate and the upstream."""

from immutables import Map

from nutmegslip_decisions import gate, work
from nutmegslip_decisions.log_events import LogEvent, LogEventKind
from nutmegslip_decisions.model import Millis, Role
from nutmegslip_decisions.process import Send
from nutmegslip_decisions.sidecar._events import (
    CancelAttempt,
    EngineAccepted,
    EngineCut,
    EngineFinished,
    EngineNotSent,
    SidecarEffect,
    StartAttempt,
)
from nutmegslip_decisions.sidecar._state import (
    Attempt,
    SidecarState,
    UpstreamKind,
)
from nutmegslip_decisions.work import Ran, RefusalKind

SWEEP_INTERVAL_MS = 1_000

Step = tuple[SidecarState, tuple[SidecarEffect, ...]]
EngineEvent = EngineAccepted | EngineFinished | EngineNotSent | EngineCut


def submit(
    state: SidecarState, entry: str, message: work.Submit, now_ms: Millis
) -> Step:
    """Offer an entry's attempt to the gate, unless it is refused beforehand."""
    if message.attempt_id in state.attempts or message.attempt_id in state.closed:
        return state, ()
    kind = _refusal(state, entry, message)
    if kind is not None:
        state = _close(state, message.attempt_id, message.deadline_ms)
        return state, (Send(entry, work.Refused(message.attempt_id, kind)),)
    attempt = Attempt(entry, message)
    state = state._replace(attempts=state.attempts.set(message.attempt_id, attempt))
    offered = gate.Offered(
        now_ms=now_ms,
        attempt_id=message.attempt_id,
        workload=message.workload,
        deadline_ms=message.deadline_ms,
        lease_deadline_ms=state.sync.lease_until_ms,
        priority=message.priority,
    )
    return apply_gate(state, offered)


def cancel(state: SidecarState, entry: str, attempt_id: str, now_ms: Millis) -> Step:
    """Stop an attempt that its entry has cancelled."""
    attempt = state.attempts.get(attempt_id)
    if attempt is None or attempt.entry != entry:
        return state, ()
    if attempt_id in state.gate.running:
        # The attempt keeps its slot until the upstream reports that it ended.
        return state, (CancelAttempt(attempt_id),)
    state = _close(state, attempt_id, attempt.submit.deadline_ms)
    return apply_gate(state, gate.Cancelled(now_ms, attempt_id))


def cancel_entry_attempts(state: SidecarState, entry: str, now_ms: Millis) -> Step:
    """Stop the attempts of an entry that can no longer receive their answers."""
    attempt_ids = sorted(
        attempt_id
        for attempt_id, attempt in state.attempts.items()
        if attempt.entry == entry
    )
    outgoing: list[SidecarEffect] = []
    for attempt_id in attempt_ids:
        state, more = cancel(state, entry, attempt_id, now_ms)
        outgoing += more
    return state, tuple(outgoing)


def handle_engine_event(state: SidecarState, event: EngineEvent) -> Step:
    """Forward an event of the upstream to the gate and the attempt's entry."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return state, ()
    attempt_id = event.attempt_id
    match event:
        case EngineAccepted(now_ms, _, cold, epoch):
            return _acknowledge(state, attempt_id, cold, epoch, now_ms)
        case EngineFinished(_, _, status, content_type, body, total):
            finished = work.Finished(attempt_id, status, content_type, body, total)
            return _end(state, attempt, finished, event.now_ms)
        case EngineNotSent(_, _, detail):
            failed = work.Failed(attempt_id, Ran.NO, detail)
            return _end(state, attempt, failed, event.now_ms)
        case EngineCut(_, _, detail):
            failed = work.Failed(attempt_id, Ran.UNKNOWN, detail)
            return _end(state, attempt, failed, event.now_ms)


def forward_pieces(state: SidecarState, batches: tuple[work.Pieces, ...]) -> Step:
    """Send pieces of answers to the entries that requested them."""
    found = ((state.attempts.get(batch.attempt_id), batch) for batch in batches)
    return state, tuple(
        Send(attempt.entry, batch) for attempt, batch in found if attempt is not None
    )


def sweep(state: SidecarState, now_ms: Millis) -> SidecarState:
    """Remove closed attempts past their deadline; the gate refuses later duplicates."""
    if now_ms < state.next_sweep_ms:
        return state
    closed = {
        attempt_id: deadline_ms
        for attempt_id, deadline_ms in state.closed.items()
        if now_ms < deadline_ms
    }
    return state._replace(closed=Map(closed), next_sweep_ms=now_ms + SWEEP_INTERVAL_MS)


def apply_gate(state: SidecarState, event: gate.GateEvent) -> Step:
    """Apply an event to the gate, and act on its effects."""
    gate_state, effects = gate.reduce(state.gate, event)
    state = state._replace(gate=gate_state)
    outgoing: list[SidecarEffect] = []
    for effect in effects:
        match effect:
            case gate.Dispatch(attempt_id) if attempt_id in state.attempts:
                state, more = _start(state, attempt_id, event.now_ms)
                outgoing += more
            case gate.Refuse(attempt_id, kind, retry_after_ms):
                state, more = _refuse(state, attempt_id, kind, retry_after_ms)
                outgoing += more
    return state, tuple(outgoing)


def _refusal(
    state: SidecarState, entry: str, message: work.Submit
) -> RefusalKind | None:
    listed = state.sync.roster.hosts.get(entry)
    if listed is None or listed.role is not Role.ENTRY:
        return RefusalKind.UNKNOWN_PEER
    served = {w.name for w in state.served() if w.repeatable}
    if message.workload not in served:
        return RefusalKind.UNKNOWN_WORKLOAD
    return None


def _start(state: SidecarState, attempt_id: str, now_ms: Millis) -> Step:
    attempt = state.attempts[attempt_id]
    log_event = LogEvent(LogEventKind.ATTEMPT_STARTED, _request(attempt_id))
    start = StartAttempt(attempt.submit)
    if state.options.upstream is UpstreamKind.ENGINE:
        return state, (start, log_event)
    state, more = _acknowledge(state, attempt_id, False, 0, now_ms)
    return state, (start, log_event, *more)


def _acknowledge(
    state: SidecarState, attempt_id: str, cold: bool, epoch: int, now_ms: Millis
) -> Step:
    acknowledged = gate.Acknowledged(
        now_ms=now_ms,
        attempt_id=attempt_id,
        cold=cold,
        epoch=epoch,
        lease_deadline_ms=state.sync.lease_until_ms,
    )
    return apply_gate(state, acknowledged)


def _refuse(
    state: SidecarState, attempt_id: str, kind: RefusalKind, retry_after_ms: int
) -> Step:
    attempt = state.attempts.get(attempt_id)
    if attempt is None:
        return state, ()
    state = _close(state, attempt_id, attempt.submit.deadline_ms)
    fields = (("kind", str(kind)), ("entry", attempt.entry))
    log_event = LogEvent(LogEventKind.ATTEMPT_REFUSED, _request(attempt_id), fields)
    refused = work.Refused(attempt_id, kind, retry_after_ms)
    return state, (Send(attempt.entry, refused), log_event)


def _end(
    state: SidecarState,
    attempt: Attempt,
    message: work.Finished | work.Failed,
    now_ms: Millis,
) -> Step:
    attempt_id = message.attempt_id
    state = _close(state, attempt_id, attempt.submit.deadline_ms)
    ended = gate.Ended(now_ms, attempt_id, state.sync.lease_until_ms)
    state, more = apply_gate(state, ended)
    log_event = LogEvent(LogEventKind.ATTEMPT_ENDED, _request(attempt_id))
    return state, (Send(attempt.entry, message), log_event, *more)


def _close(state: SidecarState, attempt_id: str, deadline_ms: Millis) -> SidecarState:
    attempts = state.attempts
    if attempt_id in attempts:
        attempts = attempts.delete(attempt_id)
    closed = state.closed.set(attempt_id, deadline_ms)
    return state._replace(attempts=attempts, closed=closed)


def _request(attempt_id: str) -> str:
    return attempt_id.rpartition(".")[0]
