"""Apply the configurations and upstreams that the platform publishes."""

from collections.abc import Iterable

from immutables import Map

from nutmegslip_decisions.direct._crash_parts import with_upstream_gone
from nutmegslip_decisions.direct._departures import (
    announces_leaving,
    with_announcement,
    with_removal,
)
from nutmegslip_decisions.direct._groups import is_open, with_suspicion
from nutmegslip_decisions.direct._restored import (
    is_superseded,
    with_copy_listed,
    with_revived_withheld,
    without_withheld,
)
from nutmegslip_decisions.direct._routes import RouteTable
from nutmegslip_decisions.direct._state import State
from nutmegslip_decisions.direct._types import Configuration, Upstream
from nutmegslip_decisions.model import Millis


def with_configuration(state: State, configuration: Configuration) -> State:
    """Put a version in force if it is newer than the one in force."""
    current = state.configuration
    if current is not None and configuration.version <= current.version:
        return state
    table = RouteTable(configuration)
    return state._replace(configuration=configuration, table=table)


def with_upstream(state: State, upstream: Upstream, now_ms: Millis) -> State:
    """Add or update an upstream; a new incarnation starts without failures.

    An incarnation that has said that it leaves stays leaving, whatever is listed.
    """
    old = state.upstreams.get(upstream.id)
    if old is not None and old.born_ms != upstream.born_ms:
        state = with_upstream_gone(state, upstream.id, now_ms)
    if announces_leaving(state, upstream):
        upstream = upstream._replace(leaving=True)
    upstreams = state.upstreams.set(upstream.id, upstream)
    lapsing, upstream_stats = state.lapsing, state.upstream_stats
    if upstream.id in lapsing:
        lapsing = lapsing.delete(upstream.id)
    if old is not None and old.born_ms != upstream.born_ms and old.id in upstream_stats:
        fresh = upstream_stats[old.id]._replace(
            failures=0, avoid_until_ms=0, paused_until_ms=0, credit=0.0, idle_until=()
        )
        upstream_stats = upstream_stats.set(old.id, fresh)
    if upstream.rank and not upstream.rank.is_open and old and is_open(old):
        state = with_suspicion(state, upstream, now_ms)
    departures = state.departures
    if upstream.id in departures:
        departures = departures.delete(upstream.id)
    state = _with_service_index(
        state._replace(
            upstreams=upstreams,
            lapsing=lapsing,
            upstream_stats=upstream_stats,
            departures=departures,
        ),
        {upstream.service} | ({old.service} if old else set()),
    )
    return with_announcement(state, upstream, now_ms) if upstream.leaving else state


def without_upstream(state: State, upstream_id: str, now_ms: Millis) -> State:
    """Remove an upstream from the list; its requests in flight continue.

    For the rejoin time after a store outage, removed upstreams stay in use, since
    their registration may only have lapsed and may be renewed.
    """
    if upstream_id not in state.upstreams:
        return state
    if state.store_lost or now_ms < state.lapse_until_ms:
        until_ms = max(state.lapse_until_ms, now_ms)
        return state._replace(lapsing=state.lapsing.set(upstream_id, until_ms))
    return _delete_upstream(state, upstream_id, now_ms)


def with_listing(
    state: State, upstreams: tuple[Upstream, ...], now_ms: Millis
) -> State:
    """Replace the list of upstreams."""
    listed = {upstream.id for upstream in upstreams}
    state = with_copy_listed(state, now_ms)
    state = with_revived_withheld(state, upstreams, now_ms)
    for upstream in upstreams:
        if not is_superseded(state, upstream, now_ms):
            state = with_upstream(state, upstream, now_ms)
    for upstream_id in [name for name in state.upstreams if name not in listed]:
        state = without_upstream(state, upstream_id, now_ms)
    return state


def without_lapsed(state: State, now_ms: Millis) -> State:
    """Remove the upstreams that were not listed again in time."""
    for upstream_id, until_ms in state.lapsing.items():
        if until_ms <= now_ms:
            state = _delete_upstream(state, upstream_id, now_ms)
    return state


def _delete_upstream(state: State, upstream_id: str, now_ms: Millis) -> State:
    old = state.upstreams[upstream_id]
    state = with_upstream_gone(state, upstream_id, now_ms)
    state = with_removal(without_withheld(state, upstream_id), old, now_ms)
    lapsing = state.lapsing
    if upstream_id in lapsing:
        lapsing = lapsing.delete(upstream_id)
    upstreams = state.upstreams.delete(upstream_id)
    return _with_service_index(
        state._replace(upstreams=upstreams, lapsing=lapsing), {old.service}
    )


def _with_service_index(state: State, services: Iterable[str]) -> State:
    by_service: Map[str, tuple[str, ...]] = state.by_service
    for service in services:
        ids = sorted(
            upstream.id
            for upstream in state.upstreams.values()
            if upstream.service == service
        )
        by_service = by_service.set(service, tuple(ids))
    return state._replace(by_service=by_service)
