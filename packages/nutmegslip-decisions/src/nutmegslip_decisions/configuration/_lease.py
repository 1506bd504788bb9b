"""Renew the lease on accepting new work, and track the state of a witness."""

from nutmegslip_decisions.configuration._placement import WitnessSet
from nutmegslip_decisions.configuration._state import (
    LONG_AGO_MS,
    Admission,
    PeerReply,
    PreviousWitnessSet,
    SyncState,
)
from nutmegslip_decisions.model import Millis

PREVIOUS_SETS_MAX = 8  # further changes within the settling time drop the oldest


def begin_witness_change(
    state: SyncState, old: WitnessSet, now_ms: Millis
) -> SyncState:
    """Begin a change of witness set.

    The new set grants no lease until a majority of the old one knows of the
    change, or the settling time has passed.
    """
    if not old.members:
        return state
    replaced = PreviousWitnessSet(old, now_ms + state.options.settle_ms)
    return state._replace(
        previous_sets=(*state.previous_sets, replaced)[-PREVIOUS_SETS_MAX:],
        set_change_version=state.hosts.version,
        settled=False,
    )


def renew(state: SyncState, now_ms: Millis) -> SyncState:
    """Renew the lease from the replies whose versions this process now has."""
    counted = {
        host: reply
        for host, reply in state.pending_replies.items()
        if _has_versions(state, reply)
    }
    if counted:
        pending_replies = state.pending_replies.mutate()
        for host in counted:
            del pending_replies[host]
        state = state._replace(
            pending_replies=pending_replies.finish(),
            counted_replies=state.counted_replies.update(counted),
        )
    state = _settle(state, now_ms)
    state = _sync(state)
    chained = [
        reply.lease_until_ms
        for reply in counted.values()
        if _granted_since_start(state, reply)
    ]
    until_ms = max([state.lease_until_ms, _direct_until_ms(state, now_ms), *chained])
    return _admit(state._replace(lease_until_ms=until_ms), now_ms)


def _has_versions(state: SyncState, reply: PeerReply) -> bool:
    return (
        reply.catalogue <= state.catalogue.version
        and reply.hosts <= state.hosts.version
    )


def _granted_since_start(state: SyncState, reply: PeerReply) -> bool:
    """Return whether a peer's lease was granted after this process started.

    Such a peer has every version that was accepted before the start.
    """
    return reply.lease_until_ms - state.options.lease_ms >= state.started_ms


def _settle(state: SyncState, now_ms: Millis) -> SyncState:
    if state.settled:
        return state
    informed = [old for old in state.previous_sets if _is_informed(state, old.members)]
    waiting = tuple(
        old
        for old in state.previous_sets
        if old not in informed and old.until_ms > now_ms
    )
    all_informed = len(informed) == len(state.previous_sets)
    return state._replace(
        previous_sets=waiting,
        settled=not waiting,
        synced=state.synced or all_informed,
    )


def _is_informed(state: SyncState, old: WitnessSet) -> bool:
    """Return whether a majority of a previous set knows of the change."""
    informed = [
        host
        for host, reply in state.counted_replies.items()
        if host in old.members
        and reply.synced
        and reply.hosts >= state.set_change_version
    ]
    own = state.options.host in old.members and state.synced
    return len(informed) + own >= old.majority


def _sync(state: SyncState) -> SyncState:
    """Mark this witness as synced once it knows all versions accepted earlier.

    That is the case once the granting witnesses that replied intersect every
    majority. If no witness has kept that state, every other member must have
    replied, and the service must have answered a read of each source.
    """
    if state.synced or not state.is_witness:
        return state
    witnesses = state.placement.witnesses
    replies = _witness_replies(state)
    granting = sum(reply.grants for reply in replies)
    others = len(witnesses.members) - 1
    state_lost = (
        len(replies) == others
        and not any(reply.synced and not reply.grants for reply in replies)
        and all(reader.answered for reader in state.readers.values())
    )
    by_quorum = witnesses.sync_quorum <= granting
    return state._replace(synced=by_quorum or state_lost)


def _witness_replies(state: SyncState) -> list[PeerReply]:
    """Return the replies of the other members that use the same witness set."""
    witnesses = state.placement.witnesses
    digest = witnesses.digest
    replies = (state.counted_replies.get(host) for host in witnesses.members)
    return [reply for reply in replies if reply is not None and reply.digest == digest]


def _direct_until_ms(state: SyncState, now_ms: Millis) -> Millis:
    """Return the end of the lease granted directly by a majority of witnesses."""
    witnesses = state.placement.witnesses
    if not witnesses.members:
        return LONG_AGO_MS
    sent = [reply.sent_ms for reply in _witness_replies(state) if reply.grants]
    own = [now_ms] if state.grants else []
    latest = sorted([*sent, *own], reverse=True)
    if len(latest) < witnesses.majority:
        return LONG_AGO_MS
    return latest[witnesses.majority - 1] + state.options.lease_ms


def _admit(state: SyncState, now_ms: Millis) -> SyncState:
    host = state.options.host
    if host not in state.roster.hosts:
        return state._replace(admission=None)
    version = state.hosts.changes[host].version
    if state.admission is not None and state.admission.version == version:
        return state
    granting = [reply for reply in _witness_replies(state) if reply.grants]
    count = sum(reply.hosts >= version for reply in granting) + state.grants
    admitted = count >= state.placement.witnesses.majority
    return state._replace(admission=Admission(version, now_ms) if admitted else None)
