"""Apply the published catalogue and list of hosts to the sidecar's state."""

from nutmegslip_decisions import gate, once
from nutmegslip_decisions.log_events import LogEvent, LogEventKind
from nutmegslip_decisions.model import HostState, Millis, Roster
from nutmegslip_decisions.process import reduce_sync, roster_is_contiguous
from nutmegslip_decisions.sidecar import _attempts, _group, _once
from nutmegslip_decisions.sidecar._events import SidecarEffect
from nutmegslip_decisions.sidecar._state import SidecarState

Step = tuple[SidecarState, tuple[SidecarEffect, ...]]


def apply(state: SidecarState, event: object, now_ms: Millis) -> Step:
    """Apply an event to configuration sync, and any new version to the state."""
    before = state.sync.roster
    step = reduce_sync(state.sync, event)
    state = state._replace(sync=step.sync)
    if step.roster_changed:
        state, more = _apply_roster(state, before, step.sync.roster, now_ms)
    elif step.catalogue_changed:
        state, more = _apply_limits_and_marks(state, now_ms)
    else:
        more = ()
    return state, (*step.effects, *more)


def _apply_roster(
    state: SidecarState, old: Roster, new: Roster, now_ms: Millis
) -> Step:
    contiguous = roster_is_contiguous(old, new)
    changed = once.RosterChanged(now_ms, new, contiguous)
    state, effects = _once.apply(state, changed)
    state, more = _apply_limits_and_marks(state, now_ms)
    state, joined = _group.join(state, now_ms)
    return state, (*effects, *more, *joined)


def _apply_limits_and_marks(state: SidecarState, now_ms: Millis) -> Step:
    """Apply limits and marks, which depend on both the catalogue and the host list."""
    served = state.served()
    cold_limit = min((w.cold_limit for w in served), default=0)
    warm_limit = min((w.warm_limit for w in served), default=0)
    before = state.gate.takes_work
    limits = gate.LimitsChanged(cold_limit, warm_limit)
    state, _ = _attempts.apply_gate(state, limits)
    marks = gate.MarkChanged(now_ms, _takes_work(state))
    state, effects = _attempts.apply_gate(state, marks)
    return state, (*_mark_log_event(before, state.gate.takes_work), *effects)


def _takes_work(state: SidecarState) -> bool:
    host = state.host
    if host is None or host.state is HostState.LEAVING:
        return False
    return state.sync.catalogue_in_force.takes_work(host.name, host.zone)


def _mark_log_event(before: bool, after: bool) -> tuple[LogEvent, ...]:
    if before == after:
        return ()
    return (LogEvent(LogEventKind.MARKED_IN if after else LogEventKind.MARKED_OUT),)
