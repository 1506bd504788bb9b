"""Prefer a subset of a service's upstreams that differs between entries.

Answers the load pattern in which entries together send often to each upstream, but
each entry so seldom that its idle connections expire: with its own subset an entry
meets each of its upstreams more often. All entries compute the same subsets, from the
list of upstreams and from the entries that they hear, and each upstream is in as many
subsets as any other. Which entries prefer an upstream changes little as entries and
upstreams come and go: they are the first after it on a hash ring.
"""

from bisect import bisect
from collections.abc import Iterable, Iterator
from functools import lru_cache
from itertools import islice, product

import xxhash

from nutmegslip_decisions.direct._budget import load_of
from nutmegslip_decisions.direct._connections import FEW_UPSTREAMS
from nutmegslip_decisions.direct._state import State, Subset
from nutmegslip_decisions.model import Millis

MEETING_INTERVAL_MS = 2_000  # with an upstream of the subset; connections live longer
MIN_OWNERS = 3  # entries of an upstream, so that it is used while two are gone
POINTS = 64  # of an entry on the ring, so that arcs even out

Ring = tuple[tuple[int, str], ...]


def with_subsets(state: State, now_ms: Millis) -> State:
    """Compute the subsets again whose entries, upstreams or demand have changed."""
    entries = tuple(sorted({state.options.address, *state.peers}))
    subsets = state.subsets
    for service, upstreams in state.by_service.items():
        if len(upstreams) <= FEW_UPSTREAMS:
            continue
        old = subsets.get(service, Subset())
        owners = _owners(state, service, len(entries), old.owners, now_ms)
        subset = Subset(entries, upstreams, owners)
        if old._replace(members=frozenset()) == subset:
            continue
        known = frozenset()
        if (old.entries, old.owners) == (entries, owners):
            known = frozenset(old.upstreams)  # only others can change what is preferred
        added = (upstream for upstream in upstreams if upstream not in known)
        members = subset_of(state.options.address, entries, added, owners)
        members |= known.intersection(old.members, upstreams)
        subsets = subsets.set(service, subset._replace(members=members))
    return state if subsets is state.subsets else state._replace(subsets=subsets)


def subset_of(
    own: str, entries: tuple[str, ...], upstreams: Iterable[str], owners: int
) -> frozenset[str]:
    """Return the upstreams that an entry prefers if each has as many ``owners``."""
    if owners >= len(entries):
        return frozenset(upstreams)
    ring = _ring(entries)
    return frozenset(
        upstream
        for upstream in upstreams
        if own in islice(_entries_after(ring, upstream), owners)
    )


@lru_cache(maxsize=1)
def _ring(entries: tuple[str, ...]) -> Ring:
    points = product(entries, range(POINTS))
    return tuple(sorted((_hash(f"{entry} {n}"), entry) for entry, n in points))


def _entries_after(ring: Ring, upstream: str) -> Iterator[str]:
    """Yield the entries in their order after an upstream on the ring."""
    start = bisect(ring, (_hash(upstream), ""))
    seen = set()
    for position in range(start, start + len(ring)):
        _, entry = ring[position % len(ring)]
        if entry not in seen:
            seen.add(entry)
            yield entry


def _owners(
    state: State, service: str, entries: int, known: int, now_ms: Millis
) -> int:
    """Return how many entries prefer an upstream, by the demand of this entry.

    A demand that changes by less than an owner changes nothing.
    """
    arrivals = load_of(state, service).arrivals.count(now_ms)
    wanted = arrivals * MEETING_INTERVAL_MS / state.options.budget_window_ms
    share = wanted * entries / max(len(state.by_service[service]), 1)
    owners = known if abs(share - known) < 1 else round(share)
    return min(max(owners, MIN_OWNERS), entries)


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
