"""Choose the committee of a key and check that every view of it agrees."""

from nutmegslip_decisions.model import Millis, rendezvous_order
from nutmegslip_decisions.once._membership import listed_throughout, recently_listed
from nutmegslip_decisions.once._sidecar_types import SidecarState

COMMITTEE_SIZE = 3  # tolerates the loss of one; more would add messages


def has_full_memory(state: SidecarState, now_ms: Millis) -> bool:
    """Return whether the memory covers the whole memory period without a gap."""
    return state.memory_start_ms + state.options.memory_ms <= now_ms


def committee_of(
    state: SidecarState, workload: str, key: str, now_ms: Millis
) -> tuple[str, ...]:
    """Return the committee of a key, chosen from all recently listed sidecars.

    The members are in different availability zones if there are enough zones.
    Removing a host that is not a member does not change the committee.
    """
    listings = state.members.sidecars_of(workload)
    recent = recently_listed(listings, now_ms, state.options.memory_ms)
    order = rendezvous_order(key, recent)
    first_of_zone: dict[str, str] = {}
    for host in order:
        first_of_zone.setdefault(listings[host].zone, host)
    spread = tuple(first_of_zone.values())
    rest = tuple(host for host in order if host not in spread)
    return (spread + rest)[:COMMITTEE_SIZE]


def confirmed_committee(
    state: SidecarState, workload: str, key: str, now_ms: Millis
) -> tuple[str, ...]:
    """Return the committee, or nothing if the view of another sidecar may differ.

    Two sidecars with a lease whose memory periods overlap have a list in common. All
    members were on it, and no list named a host that ranks before them, so both
    sidecars choose the same committee.
    """
    if now_ms >= state.lease_until_ms or not has_full_memory(state, now_ms):
        return ()
    committee = committee_of(state, workload, key, now_ms)
    listings = state.members.sidecars_of(workload)
    memory_ms = state.options.memory_ms
    stable = all(listed_throughout(listings, h, now_ms, memory_ms) for h in committee)
    return committee if stable else ()


def known_guards(
    state: SidecarState, guards: tuple[str, ...], now_ms: Millis
) -> tuple[str, ...]:
    """Return the guards that every sidecar with a lease must have known."""
    if not has_full_memory(state, now_ms):
        return ()
    entries, memory_ms = state.members.entries, state.options.memory_ms
    return tuple(g for g in guards if listed_throughout(entries, g, now_ms, memory_ms))
