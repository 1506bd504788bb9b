"""Handle the events of configuration sync."""

from nutmegslip_decisions.configuration import _lease, _peers, _reading
from nutmegslip_decisions.configuration._errors import ConfigurationErrors
from nutmegslip_decisions.configuration._events import (
    CatalogueInForce,
    Effect,
    Event,
    LeaseChanged,
    LinkDown,
    LinkUp,
    MessageReceived,
    Refused,
    RosterInForce,
    ServiceAnswered,
    ServiceFailed,
    Started,
    Tick,
)
from nutmegslip_decisions.configuration._messages import PollRequest
from nutmegslip_decisions.configuration._placement import place
from nutmegslip_decisions.configuration._source_state import Source
from nutmegslip_decisions.configuration._state import (
    PastRoster,
    RosterHistory,
    SyncState,
    may_take_work,
)
from nutmegslip_decisions.model import Millis

Effects = tuple[Effect, ...]


def reduce(state: SyncState, event: Event) -> tuple[SyncState, Effects]:
    """Return the next state after an event, and the effects to run."""
    now_ms = event.now_ms
    next_state, effects = _apply_event(state, event)
    if _is_poll_request(event):
        return next_state, effects
    next_state = _apply_roster(next_state, state, now_ms)
    next_state = _lease.renew(next_state, now_ms)
    next_state, reads = _reading.due_reads(next_state, now_ms)
    next_state, polls = _peers.due_polls(next_state, now_ms)
    next_state, news = _push_changes(next_state, state, now_ms)
    next_state, lease = _announce_lease(next_state, now_ms)
    changes = _announce_changes(next_state, state)
    return next_state, (*changes, *lease, *effects, *reads, *polls, *news)


def _is_poll_request(event: Event) -> bool:
    """Return whether an event is a poll request.

    Most events of an entry are poll requests. They carry no new information, so the
    remaining steps are skipped.
    """
    match event:
        case MessageReceived(_, _, PollRequest()):
            return True
        case _:
            return False


def _apply_event(state: SyncState, event: Event) -> tuple[SyncState, Effects]:
    match event:
        case Started(now_ms):
            return state._replace(started_ms=now_ms), ()
        case Tick():
            return state, ()
        case ServiceAnswered(now_ms, source, body):
            state, errors = _reading.handle_answer(state, now_ms, source, body)
            return state, _refused(source, errors)
        case ServiceFailed(now_ms, source):
            return _reading.handle_failure(state, now_ms, source), ()
        case MessageReceived(now_ms, host, message):
            return _peers.handle_message(state, now_ms, host, message)
        case LinkUp(_, host):
            return _peers.make_poll_due(state, host), ()
        case LinkDown(_, host):
            return _peers.unsubscribe(state, host), ()


def _refused(source: Source, errors: ConfigurationErrors) -> Effects:
    return (Refused(source, errors),) if errors else ()


def _apply_roster(state: SyncState, before: SyncState, now_ms: Millis) -> SyncState:
    if state.roster is before.roster:
        return state
    old = state.placement.witnesses
    state = state._replace(
        placement=place(state.roster, state.options),
        history=_extend_history(state, now_ms),
    )
    if state.placement.witnesses == old:
        return state
    return _lease.begin_witness_change(state, old, now_ms)


def _extend_history(state: SyncState, now_ms: Millis) -> RosterHistory:
    history = state.history
    if history.since_ms is None:
        return RosterHistory(state.roster, (), now_ms)
    oldest_ms = now_ms - state.options.roster_retention_ms
    past = (*history.past, PastRoster(history.current, now_ms))
    kept = tuple(entry for entry in past if entry.replaced_ms >= oldest_ms)
    return RosterHistory(state.roster, kept, history.since_ms)


def _push_changes(
    state: SyncState, before: SyncState, now_ms: Millis
) -> tuple[SyncState, Effects]:
    if _versions(state) == _versions(before):
        return state, ()
    return _peers.push_news(state, now_ms)


def _versions(state: SyncState) -> tuple[int, int]:
    return state.catalogue.version, state.hosts.version


def _announce_lease(state: SyncState, now_ms: Millis) -> tuple[SyncState, Effects]:
    held = may_take_work(state, now_ms)
    if held == state.lease_announced:
        return state, ()
    return state._replace(lease_announced=held), (LeaseChanged(held),)


def _announce_changes(state: SyncState, before: SyncState) -> Effects:
    effects: list[Effect] = []
    if state.catalogue.view is not before.catalogue.view:
        effects.append(
            CatalogueInForce(state.catalogue_in_force, state.catalogue.version)
        )
    if state.roster is not before.roster:
        effects.append(RosterInForce(state.roster, state.hosts.version))
    effects.extend(
        Refused(source, state.source_state(source).errors)
        for source in Source
        if state.source_state(source).errors != before.source_state(source).errors
    )
    return tuple(effects)
