"""Decide whether a sidecar has the right to start a key.

The right is exclusive. It can be obtained in three ways, tried in this order.

Committee: the first few sidecars in rendezvous order are the committee of a key. A
majority of them, each with a memory of the whole memory period, has promised not to
start it, and none has promised it to a sidecar that may still start it.

All sidecars: every sidecar listed in the memory period has promised, each with a
memory of the whole period.

Entries: every entry listed in the memory period reports which sidecars it has sent
the key to and binds itself to send it to no other; those sidecars have promised.
"""

from dataclasses import dataclass

from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.once._committee import (
    committee_of,
    confirmed_committee,
    has_full_memory,
    known_guards,
)
from nutmegslip_decisions.once._membership import recently_listed
from nutmegslip_decisions.once._messages import AttestReply, Holder
from nutmegslip_decisions.once._records import Gather, Pending
from nutmegslip_decisions.once._sidecar_types import SidecarState


@dataclass(frozen=True, slots=True)
class Granted:
    """The sidecar has the right to start the key."""


@dataclass(frozen=True, slots=True)
class Undecidable:
    """The right cannot be obtained: a process that has to reply is gone."""


@dataclass(frozen=True, slots=True)
class FallBackToEntries:
    """The promises of sidecars cannot suffice; the entries are asked as well."""


@dataclass(frozen=True, slots=True)
class Ask:
    """Replies are missing; the named hosts have not been asked yet."""

    sidecars: frozenset[str] = frozenset()
    entries: frozenset[str] = frozenset()


Assessment = Granted | Undecidable | FallBackToEntries | Ask


def assess(
    state: SidecarState, key: str, pending: Pending, now_ms: Millis
) -> Assessment:
    """Return the result of a gather or its next step."""
    if pending.gather.asks_entries:
        return _assess_entries(state, pending.gather, now_ms)
    stage_expired = now_ms >= pending.gather.stage_deadline_ms
    by_committee = _assess_committee(state, key, pending, now_ms)
    if by_committee == Granted() or (
        by_committee != FallBackToEntries() and not stage_expired
    ):
        return by_committee
    by_all_sidecars = _assess_all_sidecars(state, pending, now_ms)
    if stage_expired and by_all_sidecars != Granted():
        return FallBackToEntries()
    return by_all_sidecars


def _assess_committee(
    state: SidecarState, key: str, pending: Pending, now_ms: Millis
) -> Assessment:
    gather = pending.gather
    committee = committee_of(state, pending.workload, key, now_ms)
    peers = frozenset(committee) - {state.host}
    waiting = peers - set(gather.promises) - gather.unreachable
    votes = _votes(state, key, pending, committee, now_ms)
    quorum = len(committee) // 2 + 1
    if votes + len(waiting) < quorum:
        return FallBackToEntries()
    if votes < quorum:
        return Ask(waiting - gather.asked, _unasked_guards(gather))
    if not _is_guarded(state, gather, now_ms):
        unanswered = set(gather.guards) - set(gather.attested) - gather.unreachable
        if gather.sender_is_guard or not unanswered:
            return FallBackToEntries()
        return Ask(entries=_unasked_guards(gather))
    unresolved = frozenset(h.host for h in _unresolved_holders(state, gather, now_ms))
    if not unresolved:
        return Granted()
    if unresolved & (gather.unreachable | set(gather.promises) | {state.host}):
        return FallBackToEntries()
    return Ask(sidecars=unresolved - gather.asked)


def _votes(
    state: SidecarState,
    key: str,
    pending: Pending,
    committee: tuple[str, ...],
    now_ms: Millis,
) -> int:
    own_view = confirmed_committee(state, pending.workload, key, now_ms)
    own = state.host in committee and own_view == committee
    memory_ms = state.options.memory_ms
    return own + sum(
        host in committee
        and promise.committee == committee
        and promise.remembers_ms >= memory_ms
        for host, promise in pending.gather.promises.items()
    )


def _is_guarded(state: SidecarState, gather: Gather, now_ms: Millis) -> bool:
    """Return whether a long-listed entry shows that the key is not bound elsewhere.

    A sidecar that starts a key on attestations of entries has bound every such entry.
    """
    known = set(known_guards(state, gather.guards, now_ms))
    known.update(g for p in gather.promises.values() for g in p.known_guards)
    memory_ms = state.options.memory_ms
    if gather.sender_is_guard:
        return bool(known)
    return any(
        guard in gather.attested and gather.attested[guard].remembers_ms >= memory_ms
        for guard in known
    )


def _unasked_guards(gather: Gather) -> frozenset[str]:
    # A sender that is a guard itself attests by sending the request.
    if gather.sender_is_guard:
        return frozenset()
    return frozenset(gather.guards) - gather.asked


def _assess_all_sidecars(
    state: SidecarState, pending: Pending, now_ms: Millis
) -> Assessment:
    gather, memory_ms = pending.gather, state.options.memory_ms
    if not has_full_memory(state, now_ms):
        return FallBackToEntries()
    listings = state.members.sidecars_of(pending.workload)
    recent = recently_listed(listings, now_ms, memory_ms)
    promises = gather.promises
    missing = {
        host
        for host in recent - {state.host}
        if host not in promises or promises[host].remembers_ms < memory_ms
    }
    if missing & (gather.unreachable | set(promises)):
        return FallBackToEntries()
    if missing:
        return Ask(sidecars=frozenset(missing - gather.asked))
    # A second incarnation of a host may have started the key while the first one
    # was suspended.
    if _unresolved_holders(state, gather, now_ms):
        return FallBackToEntries()
    return Granted()


def _assess_entries(state: SidecarState, gather: Gather, now_ms: Millis) -> Assessment:
    stage_expired = now_ms >= gather.stage_deadline_ms
    missing = _entries_required(state, gather, now_ms) - set(gather.attested)
    if missing & gather.unreachable or (missing and stage_expired):
        return Undecidable()
    if missing:
        return Ask(entries=missing - gather.asked)
    if not _logs_cover_memory(state, gather, now_ms):
        return Undecidable()
    unresolved = _unresolved_holders(state, gather, now_ms)
    if not unresolved:
        return Granted()
    hosts = frozenset(holder.host for holder in unresolved)
    lost = hosts & (gather.unreachable | set(gather.promises) | {state.host})
    if lost or stage_expired:
        return Undecidable()
    return Ask(sidecars=hosts - gather.asked)


def _entries_required(
    state: SidecarState, gather: Gather, now_ms: Millis
) -> frozenset[str]:
    known = recently_listed(state.members.entries, now_ms, state.options.memory_ms)
    reported = {entry.host for r in gather.attested.values() for entry in r.entries}
    return known | reported


def _unresolved_holders(
    state: SidecarState, gather: Gather, now_ms: Millis
) -> frozenset[Holder]:
    incarnations = (state.incarnation, *state.recent_predecessors(now_ms))
    own = {Holder(state.host, incarnation) for incarnation in incarnations}
    return frozenset(h for h in gather.holders - own if not gather.has_promise(h))


def _logs_cover_memory(state: SidecarState, gather: Gather, now_ms: Millis) -> bool:
    """Return whether the logs together cover the memory period.

    A shorter log suffices if a complete history of the host list shows that its
    entry has not been listed for longer.
    """
    memory_ms = state.options.memory_ms
    replies = tuple(gather.attested.values())
    full_histories = [reply for reply in replies if reply.history_ms >= memory_ms]
    gapless = not state.recent_predecessors(now_ms)
    own_history = gapless and has_full_memory(state, now_ms)
    if not (full_histories or own_history):
        return False
    listed_ms = _listed_ms(state, full_histories, own_history, now_ms)
    lag_ms = state.options.lag_ms
    return all(
        min(memory_ms, listed_ms.get(reply.entry, 0) + lag_ms) <= reply.remembers_ms
        for reply in replies
    )


def _listed_ms(
    state: SidecarState,
    full_histories: list[AttestReply],
    own_history: bool,
    now_ms: Millis,
) -> dict[str, Millis]:
    own = state.members.entries.items() if own_history else ()
    reported = [(host, now_ms - listing.first_ms) for host, listing in own]
    reported += [
        (e.host, e.listed_ms) for reply in full_histories for e in reply.entries
    ]
    return {host: max(ms for h, ms in reported if h == host) for host, _ in reported}
