"""Use an availability zone that goes out of service while nothing else serves.

Answers the load pattern in which the operator takes out the zone of the last upstreams
of a service while those elsewhere are replaced or fail: until shortly before the time
at which the zone must get nothing more, its upstreams serve what no other can take.
That time counts from the operator's order, of which an entry knows only that it was
not there at its previous read of the store. An entry that has not read the store
before, or a store that was restored from a copy, leaves the age of an order unknown;
such a zone gets nothing.
"""

from collections.abc import Iterable

from immutables import Map

from nutmegslip_decisions.direct._options import LATE_ARRIVAL_MS
from nutmegslip_decisions.direct._state import State
from nutmegslip_decisions.direct._types import Upstream
from nutmegslip_decisions.model import Millis


def zone_deadlines(
    state: State, out: frozenset[str], unmarked_ms: Millis | None, now_ms: Millis
) -> Map[str, Millis]:
    """Return until when zones that are put out of service may get requests, by zone.

    At ``unmarked_ms`` none of the zones that are new in ``out`` was out, None if
    unknown. A zone keeps the deadline that it has.
    """
    kept = {
        zone: deadline_ms
        for zone, deadline_ms in state.zone_deadlines.items()
        if zone in out and zone in state.zones_out
    }
    evacuation_ms = state.options.evacuation_ms
    in_doubt = state.awaits_copy or now_ms < state.copy_until_ms
    if evacuation_ms is None or unmarked_ms is None or in_doubt:
        return Map(kept)
    deadline_ms = unmarked_ms + evacuation_ms - LATE_ARRIVAL_MS
    return Map(dict.fromkeys(out - state.zones_out, deadline_ms) | kept)


def usable_zones(
    state: State, upstreams: Iterable[Upstream], now_ms: Millis
) -> Iterable[Upstream]:
    """Leave out the upstreams in zones out of service, unless nothing else serves."""
    if not state.zones_out:
        return upstreams
    upstreams = tuple(upstreams)
    served = tuple(u for u in upstreams if u.zone not in state.zones_out)
    if any(_can_serve(state, upstream, now_ms) for upstream in served):
        return served
    return tuple(
        upstream
        for upstream in upstreams
        if upstream.zone not in state.zones_out
        or now_ms < state.zone_deadlines.get(upstream.zone, 0)
    )


def send_by_ms(state: State, upstream: Upstream) -> Millis | None:
    """Return the latest time to send to an upstream, None without a limit."""
    if upstream.zone not in state.zones_out:
        return None
    return state.zone_deadlines.get(upstream.zone, 0)


def depends_on_one_zone(state: State) -> bool:
    """Return whether one zone is left to a service, and others exist.

    The age of an order for such a zone matters, so that the store is read more often;
    not where no upstream has left of late, as for a service that is in one zone always.
    """
    if state.options.evacuation_ms is None or not state.departures:
        return False
    zones = {upstream.zone for upstream in state.upstreams.values()}
    return len(zones) > 1 and any(
        len(serving) == 1 and not serving & state.zones_out
        for serving in (
            _zones_of(state, upstream_ids) for upstream_ids in state.by_service.values()
        )
    )


def _zones_of(state: State, upstream_ids: Iterable[str]) -> set[str]:
    """Return the zones of the upstreams that stay in service."""
    upstreams = (state.upstreams[upstream_id] for upstream_id in upstream_ids)
    return {
        upstream.zone
        for upstream in upstreams
        if not upstream.leaving and upstream.id not in state.lapsing
    }


def _can_serve(state: State, upstream: Upstream, now_ms: Millis) -> bool:
    stats = state.stats_of(upstream.id)
    return max(stats.avoid_until_ms, stats.paused_until_ms) <= now_ms
