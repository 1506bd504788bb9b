"""Route non-idempotent requests and log which sidecars each was sent to."""

from nutmegslip_decisions.model import NEVER_MS, Millis, rendezvous_order
from nutmegslip_decisions.once import _log
from nutmegslip_decisions.once._entry_types import (
    Answered,
    EntryEvent,
    EntryState,
    EntryStep,
    Link,
    OpenRequest,
    OutcomeKind,
    SendFailed,
    Submitted,
)
from nutmegslip_decisions.once._lifecycle import (
    needs_transfer,
    record_event_time,
    transfer_received,
    transfer_tick,
)
from nutmegslip_decisions.once._membership import is_listed, update_membership
from nutmegslip_decisions.once._memory import pack_entry, unpack_entry
from nutmegslip_decisions.once._messages import (
    Answer,
    AttestRequest,
    Holder,
    SidecarBeat,
    StartReply,
    StartRequest,
    StartVerdict,
)
from nutmegslip_decisions.once._sidecar_types import (
    PeerUnreachable,
    Received,
    RosterChanged,
    SendToPeer,
    StopRequested,
    Tick,
)
from nutmegslip_decisions.once._transfer_messages import TRANSFER_MESSAGES

MAX_HOPS = 8  # sends of a request, after which it follows no yield


def reduce_entry(state: EntryState, event: EntryEvent) -> EntryStep:
    """Return the next state and the effects of one event."""
    state = record_event_time(state, event.now_ms)
    match event:
        case Submitted(now_ms, request):
            state = state._replace(open=state.open.set(request, OpenRequest(event)))
            if state.is_active(now_ms) and not state.is_sealed:
                return _send_next(state, request, now_ms)
            return _retry_later(state, request, now_ms)
        case Received(now_ms, SidecarBeat() as beat):
            return _heartbeat_received(state, beat, now_ms), ()
        case Received(now_ms, StartReply() as reply):
            return _reply_received(state, reply, now_ms)
        case Received(now_ms, AttestRequest() as request):
            # Do not attest with a sealed log, or while an earlier one can be claimed.
            if state.is_sealed or not state.is_active(now_ms):
                return state, ()
            state, reply = _log.bind(state, request, now_ms)
            return state, (SendToPeer(request.host, reply),)
        case SendFailed(now_ms, host, request):
            return _send_failed(state, host, request, now_ms)
        case PeerUnreachable(now_ms, host):
            return _peer_unreachable(state, host, now_ms)
        case RosterChanged(now_ms, roster, contiguous):
            memory_ms = state.options.memory_ms
            is_first = state.first_start and state.members.version < 0
            at_ms = state.started_ms if is_first else now_ms
            members = update_membership(
                state.members, roster, at_ms, memory_ms, contiguous
            )
            return state._replace(members=members), ()
        case StopRequested(_, deadline_ms):
            return state._replace(stop_deadline_ms=deadline_ms), ()
        case Tick(now_ms):
            return _tick(state, now_ms)
        case Received(now_ms, message) if isinstance(message, TRANSFER_MESSAGES):
            return transfer_received(state, message, now_ms, unpack_entry)
        case _:
            return state, ()


def _heartbeat_received(
    state: EntryState, beat: SidecarBeat, now_ms: Millis
) -> EntryState:
    known = state.links.get(beat.host)
    offset_ms = beat.clock_ms - now_ms
    if known and known.incarnation == beat.incarnation:
        # The heartbeat with the least delay gives the tightest bound.
        offset_ms = max(offset_ms, known.offset_ms)
    link = Link(beat.incarnation, offset_ms, beat.predecessors)
    return state._replace(links=state.links.set(beat.host, link))


def _send_next(state: EntryState, request: str, now_ms: Millis) -> EntryStep:
    """Try the next sidecar in rendezvous order, or end the request."""
    open_ = state.open[request]
    candidates = _candidates(state, open_, now_ms)
    if not candidates or now_ms >= open_.submitted.deadline_ms:
        return _give_up(state, request, now_ms)
    return _send(state, request, candidates[0], len(candidates) == 1, now_ms)


def _candidates(
    state: EntryState, open_: OpenRequest, now_ms: Millis
) -> tuple[str, ...]:
    submitted = open_.submitted
    listings = state.members.sidecars_of(submitted.workload)
    log = _log.find_log(state, submitted.key, now_ms)
    hosts = (
        host
        for host in listings
        if is_listed(listings, host)
        and host not in open_.tried
        and (link := state.links.get(host))
        and log.permits(host, link)
    )
    order = rendezvous_order(submitted.key, hosts)
    return tuple(sorted(order, key=lambda host: host in submitted.avoid))


def _send(
    state: EntryState, request: str, host: str, last: bool, now_ms: Millis
) -> EntryStep:
    open_ = state.open[request]
    submitted = open_.submitted
    link = state.links[host]
    holder = Holder(host, link.incarnation)
    state = _log.record_send(state, submitted.key, holder, now_ms)
    attempt_deadline_ms = now_ms + state.options.attempt_timeout_ms
    open_ = open_._replace(
        tried=open_.tried | {host},
        holder=holder,
        attempt_deadline_ms=min(attempt_deadline_ms, submitted.deadline_ms),
        hops=open_.hops + 1,
    )
    message = StartRequest(
        entry=state.host,
        entry_incarnation=state.incarnation,
        request=request,
        to_incarnation=link.incarnation,
        workload=submitted.workload,
        key=submitted.key,
        fingerprint=submitted.fingerprint,
        payload=submitted.payload,
        deadline_ms=submitted.deadline_ms + link.offset_ms,
        remembers_ms=now_ms - state.started_ms,
        last=last,
    )
    state = state._replace(open=state.open.set(request, open_))
    return state, (SendToPeer(host, message),)


def _reply_received(state: EntryState, reply: StartReply, now_ms: Millis) -> EntryStep:
    if reply.to_incarnation != state.incarnation:
        return state, ()
    holder = Holder(reply.host, reply.incarnation)
    open_ = state.open.get(reply.request)
    # A reply to an ended request may report a promise that has expired since.
    if open_ is None:
        return state, ()
    if reply.verdict in (StartVerdict.DECLINED, StartVerdict.YIELDED):
        state = _log.release(state, reply.key, holder, now_ms)
    match reply.verdict:
        case StartVerdict.FINISHED:
            return _end(state, reply.request, OutcomeKind.FINISHED, reply.answer)
        case StartVerdict.NOT_RUN:
            return _end(state, reply.request, OutcomeKind.NOT_RUN)
        case StartVerdict.CONFLICT:
            return _end(state, reply.request, OutcomeKind.CONFLICT)
    # Only the sidecar that was asked last advances the request; a rejection may
    # come from a later incarnation of it.
    if open_.holder is None or open_.holder.host != holder.host:
        return state, ()
    if open_.holder != holder and reply.verdict is not StartVerdict.REJECTED:
        return state, ()
    match reply.verdict:
        case StartVerdict.YIELDED:
            return _follow_yield(state, reply.request, reply.yielded_to, now_ms)
        case StartVerdict.DECLINED:
            return _send_next(state, reply.request, now_ms)
        case StartVerdict.REJECTED:
            return _rejected(state, reply.request, now_ms)
    return _end(state, reply.request, OutcomeKind.UNKNOWN)


def _rejected(state: EntryState, request: str, now_ms: Millis) -> EntryStep:
    """Try the next sidecar; after the last, retry all of them after a delay.

    A sidecar rejects requests while its host list, or this entry's view of its
    incarnation, is stale.
    """
    if _candidates(state, state.open[request], now_ms):
        return _send_next(state, request, now_ms)
    return _retry_later(state, request, now_ms)


def _retry_later(state: EntryState, request: str, now_ms: Millis) -> EntryStep:
    """Retry all sidecars after ``rejected_retry_ms``."""
    waiting = state.open[request]._replace(
        tried=frozenset(),
        holder=None,
        attempt_deadline_ms=now_ms + state.options.rejected_retry_ms,
    )
    return state._replace(open=state.open.set(request, waiting)), ()


def _follow_yield(
    state: EntryState, request: str, host: str, now_ms: Millis
) -> EntryStep:
    """Send a request to the sidecar that another one has yielded to."""
    open_ = state.open[request]
    key, deadline_ms = open_.submitted.key, open_.submitted.deadline_ms
    link = state.links.get(host)
    log = _log.find_log(state, key, now_ms)
    permitted = link and log.permits(host, link)
    if not permitted or open_.hops >= MAX_HOPS or now_ms >= deadline_ms:
        return _end(state, request, OutcomeKind.UNKNOWN)
    rest = set(_candidates(state, open_, now_ms)) - {host}
    return _send(state, request, host, not rest, now_ms)


def _send_failed(
    state: EntryState, host: str, request: str, now_ms: Millis
) -> EntryStep:
    open_ = state.open.get(request)
    if open_ is None or open_.holder is None or open_.holder.host != host:
        return state, ()
    state = _log.undo_send(state, open_.submitted.key, open_.holder, now_ms)
    return _send_next(state, request, now_ms)


def _peer_unreachable(state: EntryState, host: str, now_ms: Millis) -> EntryStep:
    if host in state.links:
        state = state._replace(links=state.links.delete(host))
    return _for_each_matching(
        state, _send_next, lambda o: o.holder and o.holder.host == host, now_ms
    )


def _tick(state: EntryState, now_ms: Millis) -> EntryStep:
    if now_ms >= state.next_sweep_ms:
        state = _log.sweep(state, now_ms)
    state, ended = _for_each_matching(
        state, _give_up, lambda o: o.submitted.deadline_ms <= now_ms, now_ms
    )
    state, retried = _for_each_matching(
        state, _attempt_timed_out, lambda o: o.attempt_deadline_ms <= now_ms, now_ms
    )
    if not needs_transfer(state, now_ms):
        return state, (*ended, *retried)
    entries = state.members.entries
    peers = frozenset(h for h in entries if is_listed(entries, h)) - {state.host}
    state, transfer_effects = transfer_tick(
        state, peers, not state.open, pack_entry, now_ms
    )
    return state, (*ended, *retried, *transfer_effects)


def _attempt_timed_out(state: EntryState, request: str, now_ms: Millis) -> EntryStep:
    if state.is_sealed or not state.is_active(now_ms):
        return _retry_later(state, request, now_ms)
    open_ = state.open[request]
    if _candidates(state, open_, now_ms):
        return _send_next(state, request, now_ms)
    waiting = open_._replace(attempt_deadline_ms=NEVER_MS)
    return state._replace(open=state.open.set(request, waiting)), ()


def _give_up(state: EntryState, request: str, now_ms: Millis) -> EntryStep:
    """End a request that no sidecar has decided."""
    key = state.open[request].submitted.key
    sent = _log.find_log(state, key, now_ms).holders
    kind = OutcomeKind.UNKNOWN if sent else OutcomeKind.NOT_SENT
    return _end(state, request, kind)


def _end(
    state: EntryState, request: str, kind: OutcomeKind, answer: Answer | None = None
) -> EntryStep:
    state = state._replace(open=state.open.delete(request))
    return state, (Answered(request, kind, answer),)


def _for_each_matching(state: EntryState, step, matches, now_ms: Millis) -> EntryStep:
    effects = []
    for request, open_ in sorted(state.open.items()):
        if matches(open_):
            state, more = step(state, request, now_ms)
            effects += more
    return state, tuple(effects)
