"""Start a key, look up its record, or gather the right to start it."""

from dataclasses import replace

from nutmegslip_decisions.model import NEVER_MS, Millis, rendezvous_order
from nutmegslip_decisions.once import _gather
from nutmegslip_decisions.once._gather import (
    Ask,
    FallBackToEntries,
    Granted,
    Undecidable,
)
from nutmegslip_decisions.once._membership import is_listed
from nutmegslip_decisions.once._messages import (
    AttestRequest,
    StartRequest,
    StartVerdict,
    TombstoneRequest,
)
from nutmegslip_decisions.once._records import (
    CutOff,
    Finished,
    Gather,
    Killed,
    Pending,
    Record,
    Started,
    Tombstone,
    Waiter,
)
from nutmegslip_decisions.once._settle import (
    decline,
    drop_pending,
    find_record,
    reject,
    reply,
    settle,
    waiter_of,
)
from nutmegslip_decisions.once._sidecar_types import (
    SendToPeer,
    SidecarState,
    SidecarStep,
    StartUpstream,
)

GUARD_COUNT = 2  # one may be unreachable


def start_requested(
    state: SidecarState, request: StartRequest, now_ms: Millis
) -> SidecarStep:
    """Reply from the record, or decide which sidecar starts the key."""
    waiter = waiter_of(request)
    if request.to_incarnation != state.incarnation:
        return state, reject(state, request)
    if not is_listed(state.members.entries, request.entry):
        return state, reject(state, request)
    if pending := state.pending.get(request.key):
        if now_ms < pending.deadline_ms:
            return _join_pending(state, pending, request, waiter)
        # After a suspension, the replies of the old gather must not be used.
        state, ended = drop_pending(state, request.key, StartVerdict.UNKNOWN)
        state, effects = start_requested(state, request, now_ms)
        return state, (*ended, *effects)
    if record := find_record(state, request.key, now_ms):
        if request.last and isinstance(record, Tombstone) and not record.yielded_to:
            return _begin_ending(state, request, waiter, now_ms)
        return _answer_from_record(state, record, request, waiter)
    if now_ms >= request.deadline_ms:
        return state, reject(state, request)
    return _begin(state, request, waiter, now_ms)


def advance(state: SidecarState, key: str, now_ms: Millis) -> SidecarStep:
    """Advance a pending key as far as the received replies allow."""
    pending = state.pending[key]
    if now_ms >= pending.deadline_ms:
        return drop_pending(state, key, StartVerdict.UNKNOWN)
    match _gather.assess(state, key, pending, now_ms):
        case Granted():
            return _start_or_decline(state, key, pending, now_ms)
        case Undecidable():
            return drop_pending(state, key, StartVerdict.UNKNOWN)
        case FallBackToEntries():
            return _fall_back_to_entries(state, key, pending, now_ms)
        case Ask(sidecars, entries):
            return _ask(state, key, pending, sidecars, entries)


def may_decide(state: SidecarState, workload: str, now_ms: Millis) -> bool:
    """Return whether this sidecar is active, has a lease and is listed."""
    if now_ms >= state.lease_until_ms or not state.is_active(now_ms):
        return False
    return is_listed(state.members.sidecars_of(workload), state.host)


def _begin(
    state: SidecarState, request: StartRequest, waiter: Waiter, now_ms: Millis
) -> SidecarStep:
    decides = may_decide(state, request.workload, now_ms)
    if not decides or not (state.takes_work or request.last):
        record = Tombstone("", now_ms + state.options.memory_ms)
        verdict = StartVerdict.DECLINED
        return settle(state, request.key, record, [waiter], verdict)
    pending = _new_pending(state, request, waiter, now_ms)
    return _begin_gather(state, request.key, pending, now_ms)


def _begin_ending(
    state: SidecarState, request: StartRequest, waiter: Waiter, now_ms: Millis
) -> SidecarStep:
    """Gather the right to end a key that this sidecar has declined."""
    pending = _new_pending(state, request, waiter, now_ms)._replace(ends_only=True)
    return _begin_gather(state, request.key, pending, now_ms)


def _new_pending(
    state: SidecarState, request: StartRequest, waiter: Waiter, now_ms: Millis
) -> Pending:
    sender_is_guard = request.remembers_ms >= state.options.memory_ms
    gather = Gather(
        number=state.next_gather,
        stage_deadline_ms=now_ms + state.options.stage_timeout_ms,
        guards=(request.entry,) if sender_is_guard else _guards(state, request),
        sender_is_guard=sender_is_guard,
    )
    return Pending(
        workload=request.workload,
        fingerprint=request.fingerprint,
        payload=request.payload,
        deadline_ms=request.deadline_ms,
        waiters=(waiter,),
        gather=gather,
    )


def _begin_gather(
    state: SidecarState, key: str, pending: Pending, now_ms: Millis
) -> SidecarStep:
    state = state._replace(
        pending=state.pending.set(key, pending), next_gather=state.next_gather + 1
    )
    return advance(state, key, now_ms)


def _guards(state: SidecarState, request: StartRequest) -> tuple[str, ...]:
    """Return the entries to ask if the log of the sender is too short."""
    entries = state.members.entries
    others = (h for h in entries if h != request.entry and is_listed(entries, h))
    return rendezvous_order(request.key, others)[:GUARD_COUNT]


def _start_or_decline(
    state: SidecarState, key: str, pending: Pending, now_ms: Millis
) -> SidecarStep:
    # Check the clock and the lease and store the record in the same step as the call:
    # a process suspended in between would start work on stale state.
    if now_ms >= pending.deadline_ms or not may_decide(state, pending.workload, now_ms):
        state = state._replace(pending=state.pending.set(key, pending))
        return drop_pending(state, key, StartVerdict.UNKNOWN)
    if pending.ends_only or not state.takes_work:
        return decline(state, key, pending.waiters, now_ms)
    record = Started(pending.fingerprint, pending.waiters, NEVER_MS)
    state, effects = settle(state, key, record, (), StartVerdict.IN_PROGRESS)
    start = StartUpstream(key, pending.payload, pending.deadline_ms)
    return state, (*effects, start)


def _join_pending(
    state: SidecarState, pending: Pending, request: StartRequest, waiter: Waiter
) -> SidecarStep:
    key = request.key
    if request.fingerprint != pending.fingerprint:
        return state, reply(state, [waiter], key, StartVerdict.CONFLICT)
    if not _has_room(state, pending.waiters, waiter):
        return state, reply(state, [waiter], key, StartVerdict.IN_PROGRESS)
    pending = pending._replace(waiters=_with_waiter(pending.waiters, waiter))
    return state._replace(pending=state.pending.set(key, pending)), ()


def _answer_from_record(
    state: SidecarState, record: Record, request: StartRequest, waiter: Waiter
) -> SidecarStep:
    key = request.key
    match record:
        case Started() | Finished() | CutOff() if (
            record.fingerprint != request.fingerprint
        ):
            return state, reply(state, [waiter], key, StartVerdict.CONFLICT)
        case Started() if not _has_room(state, record.waiters, waiter):
            return state, reply(state, [waiter], key, StartVerdict.IN_PROGRESS)
        case Started():
            record = replace(record, waiters=_with_waiter(record.waiters, waiter))
            return state._replace(records=state.records.set(key, record)), ()
        case Finished():
            verdict = StartVerdict.FINISHED
            return state, reply(state, [waiter], key, verdict, answer=record.answer)
        case CutOff():
            return state, reply(state, [waiter], key, StartVerdict.UNKNOWN)
        case Killed():
            return state, reply(state, [waiter], key, StartVerdict.NOT_RUN)
        case Tombstone(""):
            return state, reply(state, [waiter], key, StartVerdict.DECLINED)
        case Tombstone(host):
            verdict = StartVerdict.YIELDED
            return state, reply(state, [waiter], key, verdict, yielded_to=host)


def _fall_back_to_entries(
    state: SidecarState, key: str, pending: Pending, now_ms: Millis
) -> SidecarStep:
    gather = pending.gather._replace(
        asks_entries=True,
        stage_deadline_ms=now_ms + state.options.stage_timeout_ms,
    )
    pending = pending._replace(gather=gather)
    state = state._replace(pending=state.pending.set(key, pending))
    return advance(state, key, now_ms)


def _ask(
    state: SidecarState,
    key: str,
    pending: Pending,
    sidecars: frozenset[str],
    entries: frozenset[str],
) -> SidecarStep:
    gather = pending.gather._replace(asked=pending.gather.asked | sidecars | entries)
    pending = pending._replace(gather=gather)
    state = state._replace(pending=state.pending.set(key, pending))
    sender = (state.host, state.incarnation, gather.number)
    promise = TombstoneRequest(*sender, pending.workload, key, gather.guards)
    attest = AttestRequest(*sender, key)
    return state, (
        *(SendToPeer(host, promise) for host in sorted(sidecars)),
        *(SendToPeer(host, attest) for host in sorted(entries)),
    )


def _has_room(state: SidecarState, waiters: tuple[Waiter, ...], waiter: Waiter) -> bool:
    return len(_with_waiter(waiters, waiter)) <= state.options.max_waiters


def _with_waiter(waiters: tuple[Waiter, ...], waiter: Waiter) -> tuple[Waiter, ...]:
    # A duplicate of a request replaces the first copy.
    others = (w for w in waiters if w[:3] != waiter[:3])
    return (*others, waiter)
