"""Exchange promises never to start a key."""

from nutmegslip_decisions.model import Millis, rendezvous_order
from nutmegslip_decisions.once._committee import confirmed_committee, known_guards
from nutmegslip_decisions.once._messages import (
    AttestReply,
    Holder,
    StartVerdict,
    TombstoneReply,
    TombstoneRequest,
    TombstoneVerdict,
)
from nutmegslip_decisions.once._records import Gather, Killed, Record, Tombstone
from nutmegslip_decisions.once._settle import find_record, settle
from nutmegslip_decisions.once._sidecar_types import (
    SendToPeer,
    SidecarState,
    SidecarStep,
)
from nutmegslip_decisions.once._start import advance


def tombstone_requested(
    state: SidecarState, request: TombstoneRequest, now_ms: Millis
) -> SidecarStep:
    """Promise never to start a key, or report why that is not possible."""
    key = request.key
    effects = ()
    if key in state.pending:
        if _outranks(state, key, request.host):
            verdict = TombstoneVerdict.PENDING
            return state, _tombstone_reply(state, request, verdict, now_ms)
        state, effects = _yield_to(state, key, request.host, now_ms)
    record = find_record(state, key, now_ms)
    holders = record.promised_to if isinstance(record, Tombstone) else frozenset()
    if record is None or isinstance(record, Tombstone):
        state = _put_tombstone(state, key, record, request, now_ms)
    verdict = _tombstone_verdict(state.records[key])
    reply = _tombstone_reply(state, request, verdict, now_ms, holders)
    return state, (*effects, *reply)


def _outranks(state: SidecarState, key: str, host: str) -> bool:
    """Return whether this sidecar's gather takes precedence over that of a host."""
    first = rendezvous_order(key, (state.host, host))[0]
    return first == state.host and not state.pending[key].ends_only


def _put_tombstone(
    state: SidecarState,
    key: str,
    record: Tombstone | None,
    request: TombstoneRequest,
    now_ms: Millis,
) -> SidecarState:
    requester = Holder(request.host, request.incarnation)
    before = record or Tombstone("", 0)
    tombstone = Tombstone(
        yielded_to=before.yielded_to or request.host,
        expires_ms=now_ms + state.options.memory_ms,
        promised_to=before.promised_to | {requester},
    )
    return state._replace(records=state.records.set(key, tombstone))


def _tombstone_verdict(record: Record) -> TombstoneVerdict:
    match record:
        case Tombstone():
            return TombstoneVerdict.PROMISED
        case Killed():
            return TombstoneVerdict.KILLED
        case _:
            return TombstoneVerdict.STARTED


def _tombstone_reply(
    state: SidecarState,
    request: TombstoneRequest,
    verdict: TombstoneVerdict,
    now_ms: Millis,
    holders: frozenset[Holder] = frozenset(),
) -> tuple[SendToPeer, ...]:
    message = TombstoneReply(
        host=state.host,
        incarnation=state.incarnation,
        to_incarnation=request.incarnation,
        gather=request.gather,
        key=request.key,
        verdict=verdict,
        remembers_ms=max(0, now_ms - state.memory_start_ms),
        holders=tuple(sorted(holders, key=lambda h: (h.host, h.incarnation))),
        committee=confirmed_committee(state, request.workload, request.key, now_ms),
        known_guards=known_guards(state, request.guards, now_ms),
        predecessors=state.recent_predecessors(now_ms),
    )
    return (SendToPeer(request.host, message),)


def tombstone_replied(
    state: SidecarState, reply: TombstoneReply, now_ms: Millis
) -> SidecarStep:
    """Add a promise to the gather that requested it."""
    gather = _gather_for(state, reply)
    if gather is None:
        return state, ()
    match reply.verdict:
        case TombstoneVerdict.PENDING | TombstoneVerdict.STARTED:
            return _yield_to(state, reply.key, reply.host, now_ms)
        case TombstoneVerdict.KILLED:
            waiters = state.pending[reply.key].waiters
            record = Killed(now_ms + state.options.memory_ms)
            return settle(state, reply.key, record, waiters, StartVerdict.NOT_RUN)
    gather = gather._replace(promises=gather.promises.set(reply.host, reply))
    return advance(with_gather(state, reply.key, gather), reply.key, now_ms)


def attest_replied(
    state: SidecarState, reply: AttestReply, now_ms: Millis
) -> SidecarStep:
    """Add an entry's attestation to the gather that requested it."""
    gather = _gather_for(state, reply)
    if gather is None:
        return state, ()
    gather = gather._replace(attested=gather.attested.set(reply.entry, reply))
    return advance(with_gather(state, reply.key, gather), reply.key, now_ms)


def _gather_for(
    state: SidecarState, reply: TombstoneReply | AttestReply
) -> Gather | None:
    """Return the gather that a reply belongs to, if it is still in progress.

    A reply to an earlier gather may be older than the period that it covers.
    """
    pending = state.pending.get(reply.key)
    if pending is None or reply.to_incarnation != state.incarnation:
        return None
    return pending.gather if pending.gather.number == reply.gather else None


def with_gather(state: SidecarState, key: str, gather: Gather) -> SidecarState:
    """Replace the gather of a pending key."""
    pending = state.pending[key]._replace(gather=gather)
    return state._replace(pending=state.pending.set(key, pending))


def _yield_to(state: SidecarState, key: str, host: str, now_ms: Millis) -> SidecarStep:
    waiters = state.pending[key].waiters
    before = find_record(state, key, now_ms)
    promised_to = before.promised_to if isinstance(before, Tombstone) else frozenset()
    record = Tombstone(host, now_ms + state.options.memory_ms, promised_to)
    return settle(state, key, record, waiters, StartVerdict.YIELDED, yielded_to=host)
