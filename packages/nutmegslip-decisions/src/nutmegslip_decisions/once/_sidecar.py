"""Keep the at-most-once records of one upstream."""

from immutables import Map

from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.once._lifecycle import (
    needs_transfer,
    record_event_time,
    transfer_received,
    transfer_tick,
)
from nutmegslip_decisions.once._membership import is_listed, update_membership
from nutmegslip_decisions.once._memory import pack_sidecar, unpack_sidecar
from nutmegslip_decisions.once._messages import (
    AttestReply,
    SidecarBeat,
    StartRequest,
    StartVerdict,
    TombstoneReply,
    TombstoneRequest,
)
from nutmegslip_decisions.once._promise import (
    attest_replied,
    tombstone_replied,
    tombstone_requested,
    with_gather,
)
from nutmegslip_decisions.once._records import (
    CutOff,
    Finished,
    Started,
)
from nutmegslip_decisions.once._settle import decline, reject, settle
from nutmegslip_decisions.once._sidecar_types import (
    PeerUnreachable,
    PermissionChanged,
    Received,
    RosterChanged,
    SendToPeer,
    SidecarEvent,
    SidecarState,
    SidecarStep,
    StopRequested,
    Tick,
    UpstreamCutOff,
    UpstreamFinished,
    UpstreamNotSent,
)
from nutmegslip_decisions.once._start import advance, start_requested
from nutmegslip_decisions.once._transfer import sweep_kept
from nutmegslip_decisions.once._transfer_messages import TRANSFER_MESSAGES

HEARTBEAT_INTERVAL_MS = 10_000  # clocks drift by less than a millisecond in that time


def reduce_sidecar(state: SidecarState, event: SidecarEvent) -> SidecarStep:
    """Return the next state and the effects of one event."""
    state = record_event_time(state, event.now_ms)
    match event:
        case Received(_, TombstoneRequest()) if state.is_sealed:
            return state, ()
        case Received(now_ms, StartRequest() as request):
            # With no other sidecar to try, the entry retries here after a rejection.
            must_wait = request.last and not state.is_active(now_ms)
            if state.is_sealed or must_wait:
                return state, reject(state, request)
            return start_requested(state, request, now_ms)
        case Received(now_ms, TombstoneRequest() as request):
            return tombstone_requested(state, request, now_ms)
        case Received(now_ms, TombstoneReply() as reply):
            return tombstone_replied(state, reply, now_ms)
        case Received(now_ms, AttestReply() as reply):
            return attest_replied(state, reply, now_ms)
        case RosterChanged(now_ms, roster, contiguous):
            memory_ms = state.options.memory_ms
            is_first = state.first_start and state.members.version < 0
            at_ms = state.started_ms if is_first else now_ms
            members = update_membership(
                state.members, roster, at_ms, memory_ms, contiguous
            )
            return _advance_all(state._replace(members=members), now_ms)
        case PermissionChanged(_, lease_until_ms, takes_work):
            takes_work = takes_work and state.stop_deadline_ms is None
            state = state._replace(lease_until_ms=lease_until_ms, takes_work=takes_work)
            return state, ()
        case StopRequested(_, deadline_ms):
            state = state._replace(stop_deadline_ms=deadline_ms, takes_work=False)
            return state, ()
        case UpstreamFinished() | UpstreamNotSent() | UpstreamCutOff():
            return _upstream_ended(state, event)
        case PeerUnreachable(now_ms, host):
            return _peer_unreachable(state, host, now_ms)
        case Tick(now_ms):
            return _tick(state, now_ms)
        case Received(now_ms, message) if isinstance(message, TRANSFER_MESSAGES):
            return transfer_received(state, message, now_ms, unpack_sidecar)
        case _:
            return state, ()


def _upstream_ended(
    state: SidecarState, event: UpstreamFinished | UpstreamNotSent | UpstreamCutOff
) -> SidecarStep:
    record = state.records.get(event.key)
    if not isinstance(record, Started):
        return state, ()
    expires_ms = event.now_ms + state.options.memory_ms
    match event:
        case UpstreamFinished(answer=answer):
            return settle(
                state,
                event.key,
                Finished(record.fingerprint, answer, expires_ms),
                record.waiters,
                StartVerdict.FINISHED,
                answer=answer,
            )
        case UpstreamNotSent():
            return decline(state, event.key, record.waiters, event.now_ms)
        case UpstreamCutOff():
            cut_off = CutOff(record.fingerprint, expires_ms)
            verdict = StartVerdict.UNKNOWN
            return settle(state, event.key, cut_off, record.waiters, verdict)


def _peer_unreachable(state: SidecarState, host: str, now_ms: Millis) -> SidecarStep:
    for key, pending in state.pending.items():
        if host in pending.gather.asked:
            unreachable = pending.gather.unreachable | {host}
            gather = pending.gather._replace(unreachable=unreachable)
            state = with_gather(state, key, gather)
    return _advance_all(state, now_ms)


def _tick(state: SidecarState, now_ms: Millis) -> SidecarStep:
    state, effects = _advance_all(state, now_ms)
    if now_ms >= state.next_sweep_ms:
        state = _sweep(state, now_ms)
    transfer_effects = ()
    if needs_transfer(state, now_ms):
        peers, is_idle = _siblings(state), _is_idle(state)
        state, transfer_effects = transfer_tick(
            state, peers, is_idle, pack_sidecar, now_ms
        )
    state, beats = _send_heartbeats(state, now_ms)
    return state, (*effects, *transfer_effects, *beats)


def _send_heartbeats(state: SidecarState, now_ms: Millis) -> SidecarStep:
    if now_ms < state.next_heartbeat_ms or state.is_sealed:
        return state, ()
    beat = sidecar_heartbeat(state, now_ms)
    entries = state.members.entries
    beats = (SendToPeer(h, beat) for h in sorted(entries) if is_listed(entries, h))
    return state._replace(next_heartbeat_ms=now_ms + HEARTBEAT_INTERVAL_MS), tuple(
        beats
    )


def sidecar_heartbeat(state: SidecarState, now_ms: Millis) -> SidecarBeat:
    """Return the heartbeat for an entry, sent when a link opens and periodically."""
    predecessors = state.recent_predecessors(now_ms)
    return SidecarBeat(state.host, state.incarnation, now_ms, predecessors)


def _is_idle(state: SidecarState) -> bool:
    started = any(isinstance(record, Started) for record in state.records.values())
    return not state.pending and not started


def _siblings(state: SidecarState) -> frozenset[str]:
    """Return the other sidecars that share a workload with this one."""
    return frozenset(
        host
        for listings in state.members.sidecars.values()
        if state.host in listings
        for host in listings
        if host != state.host and is_listed(listings, host)
    )


def _advance_all(state: SidecarState, now_ms: Millis) -> SidecarStep:
    effects = []
    for key in sorted(state.pending):
        state, more = advance(state, key, now_ms)
        effects += more
    return state, tuple(effects)


def _sweep(state: SidecarState, now_ms: Millis) -> SidecarState:
    kept = {k: r for k, r in state.records.items() if now_ms < r.expires_ms}
    next_sweep_ms = now_ms + state.options.margin_ms
    return state._replace(
        records=Map(kept),
        transfer=sweep_kept(state.transfer, now_ms),
        next_sweep_ms=next_sweep_ms,
    )
