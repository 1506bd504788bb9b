"""Choose the upstream of a request.

Answers the load pattern in which several entries send to the same few upstreams,
whose slots are scarce: takes the least loaded of a random sample, by the requests
that all entries have in flight. With the least loaded of all, every entry would send
to the same upstream until the next reports arrive. Of two that differ by less than a
slot it takes one in its own availability zone: traffic between zones is dear, and the
ranks of a group run in one pass, whichever of them has the request. Cold upstreams
are limited to their rate, failing upstreams are avoided for a while, and slow ranks
get nothing while their group can spare them. A request that dead addresses have
refused goes to another group, as a zone loses many at once.
"""

from collections import Counter
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

import xxhash

from nutmegslip_decisions.direct._budget import load_of
from nutmegslip_decisions.direct._connections import has_connection, meets_rarely
from nutmegslip_decisions.direct._groups import is_usable
from nutmegslip_decisions.direct._last_resort import usable_zones
from nutmegslip_decisions.direct._pace import open_slots
from nutmegslip_decisions.direct._slow_ranks import avoided_ranks
from nutmegslip_decisions.direct._state import State, UpstreamStats
from nutmegslip_decisions.direct._types import Request, Upstream
from nutmegslip_decisions.direct._upstream_shares import (
    cold_limit_per_entry,
    has_credit,
    limit_shares,
)
from nutmegslip_decisions.model import Millis

SAMPLE_SIZE = 12  # of 72 upstreams; about 2 of 13 sends between reports collide
NEW_CONNECTION_SLOTS = 0.5  # decides between equal loads only
OUTSIDE_SLOTS = 1  # subsets differ, so that entries seldom meet at the same upstream
DISTANT_ZONE_SLOTS = 1  # more evens the load less, and the ranks of a group share it


class Candidate(NamedTuple):
    """An upstream and the requests that all entries have in flight there.

    ``is_limited`` is whether it names a rate, of which this entry has a request left,
    ``opens_connection`` whether a request would open a connection that matters,
    ``is_outside`` whether it is not in the subset that this entry prefers.
    """

    upstream: Upstream
    in_flight: int
    is_limited: bool = False
    opens_connection: bool = False
    is_outside: bool = False

    @property
    def load(self) -> float:
        """Return the share of slots that are taken."""
        return self.in_flight / self.upstream.slots

    def cost(self, zone: str) -> float:
        """Return the load, one slot higher in another availability zone.

        It is one slot higher outside the subset, and half a slot where a connection has
        to be opened.

        A share of a named rate is used wherever the upstream is; it is small.
        """
        if self.is_limited:
            return self.load
        slots = (
            (self.upstream.zone != zone) * DISTANT_ZONE_SLOTS
            + self.opens_connection * NEW_CONNECTION_SLOTS
            + self.is_outside * OUTSIDE_SLOTS
        )
        return self.load + slots / self.upstream.slots

    @property
    def is_full(self) -> bool:
        """Return whether every slot is taken."""
        return self.in_flight >= self.upstream.slots


class Capacity(NamedTuple):
    """The current capacity of a service.

    ``candidates`` are the upstreams that may receive a request, in groups with a
    free open slot; ``slots`` counts the open slots of all usable upstreams, whether
    taken or free; of those that name a rate, as many as the rate keeps busy.
    ``resume_ms`` is when the first paused upstream accepts requests again, None if none
    is paused. ``is_limited`` is whether an upstream names a rate. ``taken`` counts the
    requests that all entries have in flight at usable upstreams.
    """

    candidates: tuple[Candidate, ...]
    slots: float
    resume_ms: Millis | None = None
    is_limited: bool = False
    taken: int = 0

    @property
    def free_slots(self) -> float:
        """Return the open slots that no entry uses."""
        return self.slots - self.taken

    @property
    def is_paused(self) -> bool:
        """Return whether every usable upstream has asked for a pause."""
        return not self.slots and self.resume_ms is not None


def choose(
    state: State, capacity: Capacity, request: Request, now_ms: Millis
) -> Upstream | None:
    """Return the least loaded sampled upstream with a free slot, None without one."""
    candidates = [
        candidate
        for candidate in capacity.candidates
        if candidate.upstream.id not in request.tried and not candidate.is_full
    ]
    if not candidates:
        return None
    preferred = [
        candidate
        for candidate in candidates
        if not _is_avoided(state, candidate.upstream, now_ms)
    ]
    sampled = _sample(
        _in_other_groups(state, preferred or candidates, request), request
    )
    zone = state.options.zone
    return min(sampled, key=lambda candidate: candidate.cost(zone)).upstream


def capacity_of(
    state: State, service: str, now_ms: Millis, *, open_group: str | None = None
) -> Capacity:
    """Return the current capacity of a service.

    All slots of ``open_group`` count as open, also those that its pace closes.
    """
    cold_limit = cold_limit_per_entry(state, service)
    load = load_of(state, service)
    slots: Counter[str] = Counter()
    busy_slots: Counter[str] = Counter()
    taken: Counter[str] = Counter()
    candidates: list[Candidate] = []
    pauses: list[Millis] = []
    shares = limit_shares(state, now_ms)
    limited = False
    rare = meets_rarely(state, service, now_ms)
    subset = state.subsets.get(service) if rare else None
    avoided = avoided_ranks(state, service)
    for upstream, stats in _usable_upstreams(state, service, now_ms):
        if upstream.id in avoided:
            continue
        if stats.paused_until_ms > now_ms:
            pauses.append(stats.paused_until_ms)
            continue
        in_flight = stats.in_flight + state.peer_in_flight.get(upstream.id, 0)
        slots[upstream.group] += upstream.slots
        taken[upstream.group] += in_flight
        share = shares.get(upstream.id)
        limited = limited or share is not None
        busy_slots[upstream.group] += _busy_slots(state, upstream, share, load.hold_ms)
        if cold_limit is not None and stats.sent.count(now_ms) >= cold_limit:
            continue
        if has_credit(state, stats, share, now_ms):
            opens = rare and not has_connection(stats, now_ms)
            outside = subset is not None and upstream.id not in subset.members
            candidates.append(
                Candidate(upstream, in_flight, share is not None, opens, outside)
            )
    open_counts = {
        group: open_slots(state, service, group, count, now_ms)
        for group, count in slots.items()
    }
    free_groups = {
        group
        for group, count in open_counts.items()
        if taken[group] < count or group == open_group
    }
    return Capacity(
        tuple(
            candidate
            for candidate in candidates
            if candidate.upstream.group in free_groups
        ),
        sum(
            count * open_counts[group] / slots[group]
            for group, count in busy_slots.items()
            if count
        ),
        min(pauses, default=None),
        limited,
        taken.total(),
    )


def _busy_slots(
    state: State, upstream: Upstream, share: float | None, hold_ms: float
) -> float:
    """Return the slots of an upstream that are busy if this entry's share is used.

    Entries predict waits as if all of them used the same slots, so that the share
    counts once for each.
    """
    if share is None:
        return upstream.slots
    return min(upstream.slots, share * state.serving_count() * hold_ms / 1_000)


def _usable_upstreams(
    state: State, service: str, now_ms: Millis
) -> Iterable[tuple[Upstream, UpstreamStats]]:
    listed = _listed_upstreams(state, service, now_ms)
    for upstream in usable_zones(state, listed, now_ms):
        yield upstream, state.stats_of(upstream.id)


def _listed_upstreams(state: State, service: str, now_ms: Millis) -> Iterable[Upstream]:
    for upstream_id in state.by_service.get(service, ()):
        upstream = state.upstreams[upstream_id]
        if upstream.leaving or upstream_id in state.withheld:
            continue
        if is_usable(state, upstream, now_ms):
            yield upstream


def _in_other_groups(
    state: State, candidates: list[Candidate], request: Request
) -> list[Candidate]:
    """Prefer the groups that a request has not tried, if none has got it yet.

    All ranks of a group stall if one of them fails, and many fail at once with a zone.
    A request that did arrive may have crashed its group, and could crash another one.
    """
    if request.sends:
        return candidates
    tried = {
        state.upstreams[upstream_id].group
        for upstream_id in request.tried
        if upstream_id in state.upstreams
    } - {""}
    others = [item for item in candidates if item.upstream.group not in tried]
    return others or candidates


def _is_avoided(state: State, upstream: Upstream, now_ms: Millis) -> bool:
    return state.stats_of(upstream.id).avoid_until_ms > now_ms


def _sample(candidates: list[Candidate], request: Request) -> list[Candidate]:
    # Seeded with the request's id, so that entries draw and break ties differently.
    generator = Random(xxhash.xxh3_64_intdigest(request.request_id.encode()))
    drawn = generator.sample(candidates, min(SAMPLE_SIZE, len(candidates)))
    inside = [candidate for candidate in candidates if not candidate.is_outside]
    if len(inside) == len(candidates):
        return drawn
    return drawn + generator.sample(inside, min(SAMPLE_SIZE, len(inside)))
