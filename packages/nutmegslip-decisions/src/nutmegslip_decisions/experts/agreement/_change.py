"""Change a group's expert map in two phases, after every rank has loaded it."""

from dataclasses import replace

from nutmegslip_decisions.experts.agreement._events import AbandonReason, MapAbandoned
from nutmegslip_decisions.experts.agreement._messages import (
    ExpertMap,
    MapAbort,
    MapCommit,
    MapDone,
    MapLoad,
    MapLoaded,
    MapPrepare,
    MapPromise,
    ScheduledMap,
)
from nutmegslip_decisions.experts.agreement._sending import schedule_retry, send_to_all
from nutmegslip_decisions.experts.agreement._state import (
    ClosingMap,
    Leading,
    LoadingMap,
    PreparingMap,
    State,
    Transition,
)


def begin_change(state: State, leadership: Leading) -> Transition:
    """Ask every rank to load the proposed map."""
    if state.proposed is None or state.formation != leadership.ballot:
        return state, ()
    deadline_ms = state.now_ms + state.options.load_timeout_ms
    change = LoadingMap(state.proposed, deadline_ms)
    state = state._replace(leadership=replace(leadership, change=change), proposed=None)
    return schedule_retry(state), send_to_all(
        state, MapLoad(leadership.ballot, change.map)
    )


def on_loaded(
    state: State, leadership: Leading, change: LoadingMap, reply: MapLoaded
) -> Transition:
    """Record a loaded map; prepare it once every rank has loaded it."""
    if reply.digest != change.map.digest:
        return state, ()
    change = replace(change, loaded=change.loaded | {reply.rank})
    if len(change.loaded) < state.size:
        return state._replace(leadership=replace(leadership, change=change)), ()
    return _prepare(state, leadership, change.map, state.step, tries=1)


def on_promise(
    state: State, leadership: Leading, change: PreparingMap, reply: MapPromise
) -> Transition:
    """Record a promise; commit once every rank has promised."""
    if reply.attempt != change.attempt:
        return state, ()
    change = replace(change, promises=change.promises | {reply.rank})
    if len(change.promises) < state.size:
        return state._replace(leadership=replace(leadership, change=change)), ()
    return _close(
        state, leadership, MapCommit(leadership.ballot, change.attempt, change.entry)
    )


def retry_prepare(
    state: State, leadership: Leading, change: PreparingMap, step: int
) -> Transition:
    """Prepare again for a later step, or abandon after ``prepare_tries``."""
    if change.tries >= state.options.prepare_tries:
        return abandon(state, leadership, change, AbandonReason.NO_PROMISE)
    step = max(state.step, step)
    return _prepare(state, leadership, change.map, step, change.tries + 1)


def within_abort_margin(state: State, change: PreparingMap) -> bool:
    """Return whether the group is about to reach the step of a change."""
    reached = state.step if state.requested_step is None else state.requested_step
    margin = state.options.abort_margin_steps
    return bool(state.schedule) and reached >= change.entry.from_step - margin


def abandon(
    state: State,
    leadership: Leading,
    change: LoadingMap | PreparingMap,
    reason: AbandonReason,
) -> Transition:
    """Abandon a change; abort it on the ranks if they may have promised."""
    abandoned = MapAbandoned(change.map.version, reason)
    if isinstance(change, LoadingMap):
        return state._replace(leadership=replace(leadership, change=None)), (abandoned,)
    state, effects = _close(
        state, leadership, MapAbort(leadership.ballot, change.attempt)
    )
    return state, (abandoned, *effects)


def on_done(
    state: State, leadership: Leading, change: ClosingMap, reply: MapDone
) -> Transition:
    """Record an acknowledgement; end the change once every rank has acknowledged."""
    if reply.attempt != change.outcome.attempt:
        return state, ()
    change = replace(change, done=change.done | {reply.rank})
    closed = len(change.done) == state.size
    leadership = replace(leadership, change=None if closed else change)
    return state._replace(leadership=leadership), ()


def _prepare(
    state: State, leadership: Leading, proposed: ExpertMap, step: int, tries: int
) -> Transition:
    attempt = leadership.last_attempt + 1
    # Without a map no engine steps, so the first map needs no lead time.
    ahead = state.options.lead_steps * tries if state.schedule else 0
    entry = ScheduledMap(step + 1 + ahead, proposed.version, proposed.digest)
    deadline_ms = state.now_ms + state.options.prepare_timeout_ms
    change = PreparingMap(proposed, attempt, entry, deadline_ms, tries)
    leadership = replace(leadership, change=change, last_attempt=attempt)
    state = schedule_retry(state._replace(leadership=leadership))
    return state, send_to_all(state, MapPrepare(leadership.ballot, attempt, entry))


def _close(
    state: State, leadership: Leading, outcome: MapCommit | MapAbort
) -> Transition:
    state = state._replace(leadership=replace(leadership, change=ClosingMap(outcome)))
    return schedule_retry(state), send_to_all(state, outcome)
