"""Apply the published catalogue and list of hosts to all parts of the state."""

from itertools import chain

from immutables import Map

from nutmegslip_decisions import limits, once, routing
from nutmegslip_decisions.entry import _arrivals, _once
from nutmegslip_decisions.entry._events import EntryEffect, KeepLinks
from nutmegslip_decisions.entry._state import EntryState
from nutmegslip_decisions.model import Catalogue, HostState, Millis, Role, Roster
from nutmegslip_decisions.process import reduce_sync, roster_is_contiguous

Step = tuple[EntryState, tuple[EntryEffect, ...]]


def apply_event(state: EntryState, event: object, now_ms: Millis) -> Step:
    """Apply an event to configuration sync, then any change that is now in force."""
    before = state.sync.roster
    step = reduce_sync(state.sync, event)
    state = state._replace(sync=step.sync)
    if step.catalogue_changed:
        state = _apply_catalogue(state, step.sync.catalogue_in_force)
    if step.roster_changed:
        state, more = _apply_roster(state, before, step.sync.roster, now_ms)
    elif step.catalogue_changed:
        state, more = _apply_configuration(state, now_ms)
    else:
        more = ()
    return state, (*step.effects, *more)


def _apply_catalogue(state: EntryState, catalogue: Catalogue) -> EntryState:
    by_token = {
        digest: account.name
        for account in catalogue.accounts.values()
        for digest in account.key_sha256
    }
    return state._replace(accounts_by_token=Map(by_token))


def _apply_roster(state: EntryState, old: Roster, new: Roster, now_ms: Millis) -> Step:
    contiguous = roster_is_contiguous(old, new)
    changed = once.RosterChanged(now_ms, new, contiguous)
    state, answered = _once.apply(state, changed)
    state, more = _apply_configuration(state, now_ms)
    return state, (*answered, *more)


def _apply_configuration(state: EntryState, now_ms: Millis) -> Step:
    catalogue, roster = state.sync.catalogue_in_force, state.sync.roster
    changed = routing.UpstreamsChanged(now_ms, catalogue, roster)
    state = state._replace(routing=routing.reduce(state.routing, changed)[0])
    entries = tuple(host.name for host in _live_entries(state, roster))
    event = limits.LimitsChanged(now_ms, catalogue, entries)
    state = state._replace(changed_workloads=frozenset(catalogue.workloads))
    state, effects = _arrivals.apply_limits_event(state, event)
    return state, (KeepLinks(_wanted_links(state)), *effects)


def _wanted_links(state: EntryState) -> tuple[str, ...]:
    """Return the sidecars that this entry may send work to."""
    region = state.options.sync.region
    same_region = (
        host.name
        for host in state.sync.roster.hosts.values()
        if host.role is Role.SIDECAR and host.region == region
    )
    pools = (pool.all.hosts for pool in state.routing.pools.values())
    return tuple(sorted({*same_region, *chain.from_iterable(pools)}))


def _live_entries(state: EntryState, roster: Roster):
    region = state.options.sync.region
    return (
        host
        for host in roster.hosts.values()
        if host.role is Role.ENTRY
        and host.region == region
        and host.state is HostState.LIVE
    )
