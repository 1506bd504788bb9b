"""Choose an upstream: prefix affinity with a load bound, then two random choices."""

import itertools
import math
from collections.abc import Iterable, Iterator

from expression import Error, Ok, Result

from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.routing._pools import change_upstream
from nutmegslip_decisions.routing._random import draw_below
from nutmegslip_decisions.routing._ring import hosts_from
from nutmegslip_decisions.routing._state import (
    Candidates,
    Pool,
    RoutingState,
    Upstream,
)
from nutmegslip_decisions.routing._types import NoUpstream, NoUpstreamKind, Request

MAX_DRAWS = 6
BUSY_RETRY_MS = 200


def choose(
    state: RoutingState, request: Request, now_ms: Millis
) -> tuple[RoutingState, Result[str, NoUpstream]]:
    """Choose an upstream host and count the request as sent to it.

    The caller reports the end of the request with one of the events. The cost is
    a few lookups for any number of upstreams, unless most of them are unusable.
    """
    pool = state.pools.get(request.workload)
    if pool is None or not pool.served:
        return state, _no_upstream(NoUpstreamKind.NOT_SERVED, request)
    if not pool.all.hosts:
        return state, _no_upstream(NoUpstreamKind.ALL_OUT, request)
    state, host = _pick(state, pool, request, now_ms)
    if host is None:
        return state, Error(_no_upstream_reason(state, pool, request, now_ms))
    return count_sent(state, host), Ok(host)


def is_usable(
    state: RoutingState, pool: Pool, request: Request, host: str, now_ms: Millis
) -> bool:
    """Return whether a request may be sent to a host now."""
    upstream = state.upstreams[host]
    return (
        host not in request.excluded
        and upstream.retry_at_ms <= now_ms < upstream.report_deadline_ms
        and _has_room(state, pool, request, upstream)
    )


def count_sent(state: RoutingState, host: str) -> RoutingState:
    """Return the state with one more request of this entry in flight at a host."""
    upstream = state.upstreams[host]
    sent = upstream._replace(
        own_in_flight=upstream.own_in_flight + 1, credits=max(upstream.credits - 1, 0)
    )
    return change_upstream(state, host, sent)


def headroom(state: RoutingState, workload: str, entry_count: int) -> int:
    """Return how many more requests this entry should have in flight.

    The remaining capacity of the workload's upstreams, less the capacity kept free
    for affinity and for higher classes, is divided evenly among the entries.
    """
    pool = state.pools.get(workload)
    if pool is None:
        return 0
    share = state.options.class_shares.of(pool.workload.request_class)
    kept_free = (1 - state.options.fill_share * share) * (pool.room + pool.load)
    room = pool.room - math.floor(kept_free)
    return max(math.ceil(room / max(entry_count, 1)), 0)


def _pick(
    state: RoutingState, pool: Pool, request: Request, now_ms: Millis
) -> tuple[RoutingState, str | None]:
    candidates = _preferred_candidates(state, pool)
    host = _pick_by_affinity(state, pool, candidates, request, now_ms)
    if host is not None:
        return state, host
    for drawn_from in (candidates, pool.all):
        state, host = _pick_by_draw(state, pool, drawn_from, request, now_ms)
        if host is not None:
            return state, host
    return state, _pick_by_scan(state, pool, request, now_ms)


def _preferred_candidates(state: RoutingState, pool: Pool) -> Candidates:
    same_zone_count = len(pool.same_zone.hosts)
    bound = state.options.zone_load_bound * pool.load / len(pool.all.hosts)
    if (
        same_zone_count
        and state.options.zone_load_bound
        and pool.same_zone_load <= bound * same_zone_count + 1
    ):
        return pool.same_zone
    return pool.all


def _pick_by_affinity(
    state: RoutingState,
    pool: Pool,
    candidates: Candidates,
    request: Request,
    now_ms: Millis,
) -> str | None:
    options = state.options
    if not request.prefixes or not options.affinity_blocks:
        return None
    key = request.prefixes[min(options.affinity_blocks, len(request.prefixes)) - 1]
    mean = (pool.load + 1) / len(pool.all.hosts)
    bound = math.ceil(options.load_bound * mean)
    # All entries prefer the same host, and load reports lag too far behind to
    # keep their sum within the bound.
    own_bound = math.ceil(bound / state.entry_count)
    return next(
        (
            host
            for host in hosts_from(candidates.ring, key, options.affinity_candidates)
            if state.upstreams[host].load < bound
            and state.upstreams[host].own_in_flight < own_bound
            and is_usable(state, pool, request, host, now_ms)
        ),
        None,
    )


def _pick_by_draw(
    state: RoutingState,
    pool: Pool,
    candidates: Candidates,
    request: Request,
    now_ms: Millis,
) -> tuple[RoutingState, str | None]:
    drawn = itertools.islice(_draws(state, candidates.hosts), MAX_DRAWS)
    usable_hosts = (h for h in drawn if is_usable(state, pool, request, h, now_ms))
    pair = list(itertools.islice(_distinct(usable_hosts), 2))
    state = state._replace(draws=state.draws + MAX_DRAWS)
    return state, _least_loaded(state, pair)


def _pick_by_scan(
    state: RoutingState, pool: Pool, request: Request, now_ms: Millis
) -> str | None:
    return _least_loaded(
        state,
        [h for h in pool.all.hosts if is_usable(state, pool, request, h, now_ms)],
    )


def _draws(state: RoutingState, hosts: tuple[str, ...]) -> Iterator[str]:
    return (
        hosts[draw_below(state.seed, counter, len(hosts))]
        for counter in itertools.count(state.draws)
    )


def _distinct(hosts: Iterable[str]) -> Iterator[str]:
    seen: set[str] = set()
    for host in hosts:
        if host not in seen:
            seen.add(host)
            yield host


def _least_loaded(state: RoutingState, hosts: list[str]) -> str | None:
    return min(hosts, key=lambda host: state.upstreams[host].load, default=None)


def _has_room(
    state: RoutingState, pool: Pool, request: Request, upstream: Upstream
) -> bool:
    if upstream.cold:
        return upstream.credits > 0
    share = state.options.class_shares.of(request.request_class)
    return upstream.load < pool.workload.warm_limit * share


def _no_upstream_reason(
    state: RoutingState, pool: Pool, request: Request, now_ms: Millis
) -> NoUpstream:
    untried = [h for h in pool.all.hosts if h not in request.excluded]
    if not untried:
        return NoUpstream(NoUpstreamKind.ALL_TRIED, request.workload, BUSY_RETRY_MS)
    soonest = min(state.upstreams[host].retry_at_ms for host in untried)
    retry_after_ms = max(soonest - now_ms, BUSY_RETRY_MS)
    return NoUpstream(NoUpstreamKind.ALL_BUSY, request.workload, retry_after_ms)


def _no_upstream(kind: NoUpstreamKind, request: Request) -> Result[str, NoUpstream]:
    return Error(NoUpstream(kind, request.workload))
