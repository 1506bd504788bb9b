"""Maintain the pool of upstreams that may take requests of each workload."""

import itertools

from immutables import Map

from nutmegslip_decisions.model import (
    Catalogue,
    Host,
    HostState,
    Role,
    Roster,
    Workload,
)
from nutmegslip_decisions.routing._ring import build_ring
from nutmegslip_decisions.routing._state import (
    Candidates,
    Pool,
    RoutingState,
    Upstream,
)


def apply_upstreams(
    state: RoutingState, catalogue: Catalogue, roster: Roster
) -> RoutingState:
    """Return the state with pools for a new catalogue and list of hosts.

    A host that may take no new requests is kept until its requests have ended.
    """
    marks = (catalogue.host_marks, catalogue.zone_marks)
    # Most changes affect neither hosts nor marks, and a full rebuild is expensive.
    same_hosts = roster == state.roster and marks == state.marks
    if not same_hosts:
        state = _apply_hosts(state._replace(marks=marks), roster)
    kept = {
        name: pool
        for name, pool in state.pools.items()
        if same_hosts and catalogue.workloads.get(name) == pool.workload
    }
    stale = [w for name, w in catalogue.workloads.items() if name not in kept]
    by_workload = _by_workload(_sidecars(roster)) if stale else {}
    rebuilt = {
        workload.name: _pool(
            state, catalogue, workload, by_workload.get(workload.name, ())
        )
        for workload in stale
    }
    return state._replace(pools=Map(kept | rebuilt))


def change_upstream(state: RoutingState, name: str, upstream: Upstream) -> RoutingState:
    """Return the state with one upstream replaced and the pool totals updated."""
    old = state.upstreams[name]
    state = state._replace(upstreams=state.upstreams.set(name, upstream))
    if _pool_inputs(old) == _pool_inputs(upstream):
        return state
    pools = state.pools
    for workload in upstream.workloads:
        pool = pools.get(workload)
        if pool is not None and name in pool.all.host_set:
            pools = pools.set(workload, _updated_pool(state, pool, old, upstream))
    return state._replace(pools=pools)


def _pool_inputs(upstream: Upstream) -> tuple[int, bool, int]:
    return upstream.load, upstream.cold, upstream.credits


def _updated_pool(
    state: RoutingState, pool: Pool, old: Upstream, new: Upstream
) -> Pool:
    change = new.load - old.load
    return pool._replace(
        load=pool.load + change,
        same_zone_load=pool.same_zone_load + (change if new.zone == state.zone else 0),
        room=pool.room + new.room(pool.workload) - old.room(pool.workload),
    )


def _apply_hosts(state: RoutingState, roster: Roster) -> RoutingState:
    published = {
        host.name: _updated_upstream(state, host) for host in _sidecars(roster)
    }
    retained = {
        name: upstream._replace(workloads=())
        for name, upstream in state.upstreams.items()
        if name not in published and upstream.own_in_flight
    }
    entry_count = sum(host.region == state.region for host in roster.entries())
    return state._replace(
        roster=roster,
        upstreams=Map(published | retained),
        entry_count=max(entry_count, 1),
    )


def _sidecars(roster: Roster) -> list[Host]:
    return [host for host in roster.hosts.values() if host.role is Role.SIDECAR]


def _updated_upstream(state: RoutingState, host: Host) -> Upstream:
    known = state.upstreams.get(host.name, Upstream(host.zone, host.workloads))
    return known._replace(zone=host.zone, workloads=host.workloads)


def _by_workload(sidecars: list[Host]) -> dict[str, list[Host]]:
    pairs = sorted((workload, host) for host in sidecars for workload in host.workloads)
    groups = itertools.groupby(pairs, key=lambda pair: pair[0])
    return {name: [host for _, host in group] for name, group in groups}


def _pool(
    state: RoutingState,
    catalogue: Catalogue,
    workload: Workload,
    serving: list[Host] | tuple[()],
) -> Pool:
    eligible = [
        host
        for host in serving
        if host.state is HostState.LIVE and catalogue.takes_work(host.name, host.zone)
    ]
    # Other regions have a high latency, so they are used only when this region
    # has no eligible host.
    hosts = [host for host in eligible if host.region == state.region] or eligible
    same_zone = tuple(host.name for host in hosts if host.zone == state.zone)
    all_names = tuple(host.name for host in hosts)
    old = state.pools.get(workload.name)
    return Pool(
        workload=workload,
        served=bool(serving),
        all=_candidates(old.all if old else None, all_names),
        same_zone=_candidates(old.same_zone if old else None, same_zone),
        load=_load(state, all_names),
        same_zone_load=_load(state, same_zone),
        room=sum(state.upstreams[host].room(workload) for host in all_names),
    )


def _candidates(old: Candidates | None, hosts: tuple[str, ...]) -> Candidates:
    # Most catalogue changes keep the hosts, and building a ring is expensive.
    if old is not None and old.hosts == hosts:
        return old
    return Candidates(hosts, frozenset(hosts), build_ring(hosts))


def _load(state: RoutingState, hosts: tuple[str, ...]) -> int:
    return sum(state.upstreams[host].load for host in hosts)
