"""Choose the upstream of a request.

Answers the pattern in which several entries send to the same few upstreams, whose
slots are the scarce thing: the least loaded of a few drawn ones by what all entries
have in hand. Were it the least loaded of all, every entry would send there until the
next reports come. Cold upstreams are held to their rate and failing ones avoided for
a while.
"""

from collections import Counter
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

import xxhash

from nutmegslip_decisions.direct._budget import load_of
from nutmegslip_decisions.direct._groups import is_usable
from nutmegslip_decisions.direct._state import State, UpstreamStats
from nutmegslip_decisions.direct._types import Request, Service, Upstream
from nutmegslip_decisions.model import Millis

SAMPLE_SIZE = 12  # a sixth of 72: some two of the 13 sends between reports meet


class Candidate(NamedTuple):
    """Tell what an upstream has in hand over all entries, and its slots."""

    upstream: Upstream
    in_flight: int

    @property
    def load(self) -> float:
        """Return the share of slots that are taken."""
        return self.in_flight / self.upstream.slots

    @property
    def is_full(self) -> bool:
        """Return whether every slot is taken."""
        return self.in_flight >= self.upstream.slots


class Capacity(NamedTuple):
    """Tell what a service can take now.

    ``rooms`` are the upstreams that may be sent a request, of groups that have an
    open slot; ``slots`` counts the open slots of all that may be used, taken or not.
    """

    candidates: tuple[Candidate, ...]
    slots: float


def choose(
    state: State, capacity: Capacity, request: Request, now_ms: Millis
) -> Upstream | None:
    """Return the least loaded upstream with a free slot, or None to wait."""
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
    return _least_loaded(preferred or candidates, request).upstream


def capacity_of(state: State, service: str, now_ms: Millis) -> Capacity:
    """Return what a service can take now."""
    cold_limit = cold_limit_per_entry(state, service)
    open_shares = load_of(state, service).open_shares
    slots: Counter[str] = Counter()
    taken: Counter[str] = Counter()
    candidates: list[Candidate] = []
    for upstream, stats in _usable_upstreams(state, service, now_ms):
        in_flight = stats.in_flight + state.peer_in_flight.get(upstream.id, 0)
        slots[upstream.group] += upstream.slots
        taken[upstream.group] += in_flight
        if cold_limit is None or stats.sent.count(now_ms) < cold_limit:
            candidates.append(Candidate(upstream, in_flight))
    open_slots = {
        group: count * open_shares.get(group, 1.0) for group, count in slots.items()
    }
    free_groups = {group for group, count in open_slots.items() if taken[group] < count}
    return Capacity(
        tuple(
            candidate
            for candidate in candidates
            if candidate.upstream.group in free_groups
        ),
        sum(open_slots.values()),
    )


def cold_limit_per_entry(state: State, service: str) -> int | None:
    """Return this entry's share of what a cold upstream bears in a second.

    None where the service has no cold start. The share holds for warm upstreams
    too, since one may turn cold without notice.
    """
    service_config = _service(state, service)
    if service_config is None or service_config.cold_per_s <= 0:
        return None
    options = state.options
    bound = service_config.cold_per_s * options.cold_multiplier + options.cold_slack
    return max(1, int(bound / state.entry_count()))


def _usable_upstreams(
    state: State, service: str, now_ms: Millis
) -> Iterable[tuple[Upstream, UpstreamStats]]:
    for upstream_id in state.by_service.get(service, ()):
        upstream = state.upstreams[upstream_id]
        if upstream.leaving or upstream.zone in state.zones_out:
            continue
        if not is_usable(state, upstream, now_ms):
            continue
        yield upstream, state.stats_of(upstream_id)


def _service(state: State, service: str) -> Service | None:
    return state.configuration and state.configuration.services.get(service)


def _is_avoided(state: State, upstream: Upstream, now_ms: Millis) -> bool:
    return state.stats_of(upstream.id).avoid_until_ms > now_ms


def _least_loaded(candidates: list[Candidate], request: Request) -> Candidate:
    # Drawn by the request's id, so that entries neither draw nor break ties alike.
    generator = Random(xxhash.xxh3_64_intdigest(request.request_id.encode()))
    sampled = generator.sample(candidates, min(SAMPLE_SIZE, len(candidates)))
    return min(sampled, key=lambda candidate: candidate.load)
