"""The coordinator: form a group and change its expert map."""

import xxhash

from nutmegslip_decisions.experts._layer import Placement
from nutmegslip_decisions.experts.agreement._change import (
    abandon,
    begin_change,
    on_done,
    on_loaded,
    on_promise,
    retry_prepare,
    within_abort_margin,
)
from nutmegslip_decisions.experts.agreement._events import AbandonReason, Effect, Send
from nutmegslip_decisions.experts.agreement._messages import (
    ExpertMap,
    MapAccept,
    MapAnswer,
    MapDone,
    MapLoad,
    MapLoaded,
    MapPrepare,
    MapPromise,
    MapPulse,
    MapQuery,
    MapRefusal,
    MapStart,
)
from nutmegslip_decisions.experts.agreement._round import (
    on_accept,
    on_answer,
    restart_round,
    start_round,
    step_down,
)
from nutmegslip_decisions.experts.agreement._sending import (
    schedule_retry,
    send_to_remaining,
)
from nutmegslip_decisions.experts.agreement._state import (
    ClosingMap,
    Forming,
    Leading,
    LoadingMap,
    PreparingMap,
    Querying,
    State,
    Transition,
)

#: Messages from a rank's sidecar to a coordinator.
Reply = MapPulse | MapAnswer | MapAccept | MapLoaded | MapPromise | MapRefusal | MapDone


def advance_coordinator(state: State) -> Transition:
    """Run the coordinator's due work: a round, a change, a timeout or a retry."""
    if state.leadership is None:
        due = state.coordinator == state.rank and state.now_ms >= state.next_round_ms
        return start_round(state) if due and state.attached else (state, ())
    match state.leadership:
        case Leading(change=None):
            return begin_change(state, state.leadership)
        case Leading(change=LoadingMap() as change) if (
            state.now_ms >= change.deadline_ms
        ):
            return abandon(state, state.leadership, change, AbandonReason.LOAD_TIMEOUT)
        case Leading(change=PreparingMap() as change) if (
            state.now_ms >= change.deadline_ms
        ):
            return abandon(state, state.leadership, change, AbandonReason.NO_PROMISE)
        case Leading(change=PreparingMap() as change) if within_abort_margin(
            state, change
        ):
            return retry_prepare(state, state.leadership, change, state.step)
    if state.now_ms < state.retry_deadline_ms:
        return state, ()
    return schedule_retry(state), _unanswered_requests(state)


def propose(state: State, placement: Placement) -> Transition:
    """Store a placement until the group can change to it."""
    if state.coordinator != state.rank:
        return state, ()
    current = state.schedule[-1].digest if state.schedule else ""
    known = state.maps.get(current)
    if known is not None and known.placement == placement:
        return state._replace(proposed=None), ()
    version = state.highest_version + 1
    proposed = ExpertMap(version, _digest(version, placement), placement)
    return advance_coordinator(state._replace(proposed=proposed))


def on_reply(state: State, reply: Reply) -> Transition:
    """Handle a rank's reply."""
    if isinstance(reply, MapPulse):
        return _on_heartbeat(state, reply)
    if state.leadership is None or reply.ballot != state.leadership.ballot:
        return state, ()
    if isinstance(reply, MapRefusal):
        return _on_refusal(state, reply)
    match state.leadership, reply:
        case Querying(), MapAnswer():
            return on_answer(state, state.leadership, reply)
        case Forming(), MapAccept():
            return on_accept(state, state.leadership, reply)
        case Leading(change=LoadingMap() as change), MapLoaded():
            return on_loaded(state, state.leadership, change, reply)
        case Leading(change=PreparingMap() as change), MapPromise():
            return on_promise(state, state.leadership, change, reply)
        case Leading(change=ClosingMap() as change), MapDone():
            return on_done(state, state.leadership, change, reply)
    return state, ()


def _on_heartbeat(state: State, pulse: MapPulse) -> Transition:
    state = state._replace(
        highest_ballot_number=max(state.highest_ballot_number, pulse.promised.number)
    )
    if state.leadership is None or pulse.rank == state.rank:
        return state, ()
    if pulse.promised > state.leadership.ballot:
        return step_down(state)
    match state.leadership:
        case Querying(answers=answers):
            answer = answers.get(pulse.rank)
            expected = answer.incarnation if answer else pulse.incarnation
        case Forming(form=form):
            expected = form.members[pulse.rank]
        case Leading(members=members):
            expected = members[pulse.rank]
    if pulse.incarnation != expected:
        return restart_round(state)
    started = pulse.formation == state.leadership.ballot
    accepted = pulse.promised == state.leadership.ballot
    if isinstance(state.leadership, Leading) and accepted and not started:
        return state, (Send(pulse.rank, MapStart(state.leadership.ballot)),)
    return state, ()


def _on_refusal(state: State, refusal: MapRefusal) -> Transition:
    state = state._replace(
        highest_ballot_number=max(state.highest_ballot_number, refusal.promised.number)
    )
    if refusal.promised > refusal.ballot:
        return step_down(state)
    match state.leadership:
        case Forming():
            return restart_round(state)
        case Leading(change=PreparingMap() as change) as leadership if (
            change.attempt == refusal.attempt
        ):
            return retry_prepare(state, leadership, change, refusal.step)
    return state, ()


def _unanswered_requests(state: State) -> tuple[Effect, ...]:
    """Return the current phase's request to the ranks that have not replied."""
    match state.leadership:
        case Querying(ballot=ballot, answers=answers):
            return send_to_remaining(state, MapQuery(ballot), frozenset(answers))
        case Forming(form=form, accepted=accepted):
            return send_to_remaining(state, form, accepted)
        case Leading(ballot=ballot, change=LoadingMap(map=map_, loaded=loaded)):
            return send_to_remaining(state, MapLoad(ballot, map_), loaded)
        case Leading(ballot=ballot, change=PreparingMap() as change):
            request = MapPrepare(ballot, change.attempt, change.entry)
            return send_to_remaining(state, request, change.promises)
        case Leading(change=ClosingMap(outcome=outcome, done=done)):
            return send_to_remaining(state, outcome, done)
    return ()


def _digest(version: int, placement: Placement) -> str:
    return xxhash.xxh3_64_hexdigest(repr((version, placement)).encode())
