"""Pack the memory of a process into parts, and restore it.

The memory of a sidecar is its records and its history of the host list; that of an
entry is its logs.
"""

from collections.abc import Iterable, Iterator
from dataclasses import replace

from immutables import Map

from nutmegslip_decisions.model import NEVER_MS, Millis
from nutmegslip_decisions.once._entry_types import EntryState, KeyLog
from nutmegslip_decisions.once._membership import Listing, Listings
from nutmegslip_decisions.once._messages import Holder
from nutmegslip_decisions.once._records import (
    CutOff,
    Finished,
    Killed,
    Record,
    Tombstone,
)
from nutmegslip_decisions.once._sidecar_types import SidecarState
from nutmegslip_decisions.once._transfer import OutgoingMemory, split
from nutmegslip_decisions.once._transfer_messages import (
    KeptListing,
    KeptLog,
    KeptRecord,
    MemoryPart,
)


def pack_sidecar(state: SidecarState, now_ms: Millis) -> OutgoingMemory:
    """Pack the records and the host list history of an idle sidecar."""
    listings = tuple(_pack_listings(state, now_ms))
    records = [
        _pack_record(key, record, now_ms)
        for key, record in sorted(state.records.items())
        if now_ms < record.expires_ms
    ]
    parts = split(records)
    return OutgoingMemory(
        tuple(
            _memory_part(
                state,
                n,
                len(parts),
                now_ms,
                records=part,
                listings=() if n else listings,
            )
            for n, part in enumerate(parts)
        )
    )


def pack_entry(state: EntryState, now_ms: Millis) -> OutgoingMemory:
    """Pack the logs of an idle entry."""
    logs = [
        KeptLog(
            key,
            log.expires_ms - now_ms,
            _sorted_holders(log.sends),
            _sorted_holders(log.bound_to),
        )
        for key, log in sorted(state.logs.items())
        if now_ms < log.expires_ms
    ]
    parts = split(logs)
    return OutgoingMemory(
        tuple(
            _memory_part(state, n, len(parts), now_ms, logs=part)
            for n, part in enumerate(parts)
        )
    )


def unpack_sidecar(state: SidecarState, now_ms: Millis) -> SidecarState:
    """Restore the memory of the previous sidecar of this host.

    The host lists between the two incarnations are unknown. With one short gap in a
    memory period, views still overlap enough; with a second one, this incarnation
    counts as newly started.
    """
    parts = state.transfer.claimed
    state = state._replace(
        records=_merge_records(state, now_ms),
        predecessors=(parts[0].incarnation, *parts[0].predecessors),
        claimed_ms=now_ms,
        active_from_ms=now_ms,
    )
    if parts[0].predecessors:
        return state
    members = state.members
    claimed_listings = [kept for part in parts[:1] for kept in part.listings]
    workloads = {kept.workload for kept in claimed_listings if kept.workload}
    merged = {
        name: _merge_listings(claimed_listings, name, members.sidecars_of(name), now_ms)
        for name in workloads | set(members.sidecars)
    }
    started_ms = now_ms - parts[0].remembers_ms
    return state._replace(
        started_ms=started_ms,
        members=members._replace(
            complete_since_ms=started_ms,
            sidecars=Map(merged),
            entries=_merge_listings(claimed_listings, "", members.entries, now_ms),
        ),
    )


def _merge_records(state: SidecarState, now_ms: Millis) -> Map[str, Record]:
    """Merge the records of both incarnations; this one has made promises only."""
    records = dict(state.records)
    for kept in (kept for part in state.transfer.claimed for kept in part.records):
        claimed, own = _restore_record(kept, now_ms), records.get(kept.key)
        if isinstance(claimed, Tombstone) and isinstance(own, Tombstone):
            claimed = replace(
                claimed,
                yielded_to=claimed.yielded_to or own.yielded_to,
                promised_to=claimed.promised_to | own.promised_to,
                expires_ms=max(claimed.expires_ms, own.expires_ms),
            )
        records[kept.key] = claimed
    return Map(records)


def unpack_entry(state: EntryState, now_ms: Millis) -> EntryState:
    """Restore the memory of the previous entry of this host."""
    parts = state.transfer.claimed
    logs = {
        kept.key: KeyLog(
            sends=Map(dict.fromkeys(kept.holders, 1)),
            bound_to=frozenset(kept.bound_to),
            expires_ms=now_ms + kept.remaining_ms,
        )
        for part in parts
        for kept in part.logs
    }
    return state._replace(
        logs=Map(logs),
        started_ms=now_ms - parts[0].remembers_ms,
        active_from_ms=now_ms,
    )


def _memory_part(
    state: SidecarState | EntryState, part: int, parts: int, now_ms: Millis, **items
) -> MemoryPart:
    return MemoryPart(
        host=state.host,
        incarnation=state.incarnation,
        keeper_incarnation="",
        until_ms=0,
        part=part,
        parts=parts,
        remembers_ms=now_ms - state.memory_start_ms,
        predecessors=state.recent_predecessors(now_ms),
        **items,
    )


def _pack_listings(state: SidecarState, now_ms: Millis) -> Iterator[KeptListing]:
    own = {w: ls for w, ls in state.members.sidecars.items() if state.host in ls}
    groups = {"": state.members.entries} | own
    for workload, listings in sorted(groups.items()):
        for host, listing in sorted(listings.items()):
            is_removed = listing.until_ms != NEVER_MS
            yield KeptListing(
                workload,
                host,
                now_ms - listing.first_ms,
                now_ms - listing.since_ms,
                now_ms - listing.until_ms if is_removed else -1,
                listing.zone,
            )


def _merge_listings(
    claimed_listings: Iterable[KeptListing],
    workload: str,
    present: Listings,
    now_ms: Millis,
) -> Listings:
    merged = dict(present)
    for kept in claimed_listings:
        if kept.workload != workload:
            continue
        current = present.get(kept.host)
        until_ms = now_ms if kept.until_age_ms < 0 else now_ms - kept.until_age_ms
        since_ms = now_ms - kept.since_age_ms
        if current is not None:
            until_ms = current.until_ms
            since_ms = since_ms if kept.until_age_ms < 0 else current.since_ms
        first_ms = now_ms - kept.first_age_ms
        merged[kept.host] = Listing(first_ms, since_ms, until_ms, kept.zone)
    return Map(merged)


def _pack_record(key: str, record: Record, now_ms: Millis) -> KeptRecord:
    kind, remaining_ms = type(record).__name__, record.expires_ms - now_ms
    match record:
        case Finished(fingerprint, answer):
            return KeptRecord(key, kind, remaining_ms, fingerprint, answer)
        case CutOff(fingerprint):
            return KeptRecord(key, kind, remaining_ms, fingerprint)
        case Tombstone(yielded_to, _, promised_to):
            return KeptRecord(
                key,
                kind,
                remaining_ms,
                yielded_to=yielded_to,
                promised_to=_sorted_holders(promised_to),
            )
        case _:
            return KeptRecord(key, kind, remaining_ms)


def _restore_record(kept: KeptRecord, now_ms: Millis) -> Record:
    expires_ms = now_ms + kept.remaining_ms
    match kept.kind:
        case "Finished" if kept.answer is not None:
            return Finished(kept.fingerprint, kept.answer, expires_ms)
        case "Tombstone":
            promised_to = frozenset(kept.promised_to)
            return Tombstone(kept.yielded_to, expires_ms, promised_to)
        case "Killed":
            return Killed(expires_ms)
        case _:
            return CutOff(kept.fingerprint, expires_ms)


def _sorted_holders(holders: Iterable[Holder]) -> tuple[Holder, ...]:
    return tuple(sorted(holders, key=lambda h: (h.host, h.incarnation)))
