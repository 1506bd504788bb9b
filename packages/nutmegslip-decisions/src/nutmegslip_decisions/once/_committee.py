"""Choose the sidecars that vouch for a key, and say when a view of them holds."""

from nutmegslip_decisions.model import Millis, rendezvous_order
from nutmegslip_decisions.once._membership import listed_throughout, recently_listed
from nutmegslip_decisions.once._sidecar_types import SidecarState

COMMITTEE_SIZE = 3  # one may be lost; more would add messages


def has_full_memory(state: SidecarState, now_ms: Millis) -> bool:
    """Return whether this life has seen the whole memory time without a gap."""
    return state.memory_start_ms + state.options.memory_ms <= now_ms


def committee_of(
    state: SidecarState, workload: str, key: str, now_ms: Millis
) -> tuple[str, ...]:
    """Return the sidecars that vouch for a key, over every recent list.

    They lie in different availability zones as far as there are as many. Leaving
    out a host that is not chosen changes nothing for the others.
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
    """Return the committee if this sidecar can tell that no other view differs.

    Two sidecars with a lease whose memory times overlap share a list. All members
    were on it, and no list named a host that ranks before them.
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
    """Return the entries that every sidecar with a lease must have known."""
    if not has_full_memory(state, now_ms):
        return ()
    entries, memory_ms = state.members.entries, state.options.memory_ms
    return tuple(g for g in guards if listed_throughout(entries, g, now_ms, memory_ms))
