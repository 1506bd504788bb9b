"""Form a group in a round: query every rank, offer the group, start it."""

from dataclasses import replace

from immutables import Map

from nutmegslip_decisions.experts.agreement._events import (
    AbandonReason,
    Effect,
    MapAbandoned,
)
from nutmegslip_decisions.experts.agreement._messages import (
    Ballot,
    MapAccept,
    MapAnswer,
    MapForm,
    MapQuery,
    MapStart,
)
from nutmegslip_decisions.experts.agreement._sending import schedule_retry, send_to_all
from nutmegslip_decisions.experts.agreement._state import (
    Forming,
    Leading,
    LoadingMap,
    PreparingMap,
    Querying,
    State,
    Transition,
    merge_schedules,
)

ROUND_RETRIES = 4  # retries in a round before a restarted rank restarts it


def start_round(state: State) -> Transition:
    """Query every rank under a new ballot."""
    number = max(state.promised.number, state.highest_ballot_number) + 1
    ballot = Ballot(number, state.rank, state.member)
    proposed = state.proposed
    match state.leadership:
        case Leading(change=LoadingMap() | PreparingMap() as change):
            proposed = proposed or change.map
    state = state._replace(
        leadership=Querying(ballot, Map()),
        proposed=proposed,
        next_round_ms=state.now_ms + ROUND_RETRIES * state.options.retry_interval_ms,
    )
    return schedule_retry(state), send_to_all(state, MapQuery(ballot))


def restart_round(state: State) -> Transition:
    """Start a round unless the last one began only recently."""
    if state.now_ms < state.next_round_ms:
        return state, ()
    return start_round(state)


def on_answer(state: State, leadership: Querying, answer: MapAnswer) -> Transition:
    """Record an answer; offer the group once every rank has answered."""
    answers = leadership.answers.set(answer.rank, answer)
    state = state._replace(leadership=replace(leadership, answers=answers))
    if len(answers) < state.size:
        return state, ()
    by_rank = [answers[rank] for rank in range(state.size)]
    schedule = merge_schedules([known.schedule for known in by_rank])
    maps = {known.digest: known for answer in by_rank for known in answer.maps}
    form = MapForm(
        leadership.ballot,
        tuple(known.incarnation for known in by_rank),
        max(known.step for known in by_rank),
        schedule,
        tuple(maps[entry.digest] for entry in schedule if entry.digest in maps),
    )
    state = state._replace(leadership=Forming(leadership.ballot, form))
    return schedule_retry(state), send_to_all(state, form)


def on_accept(state: State, leadership: Forming, accept: MapAccept) -> Transition:
    """Record an acceptance; start the group once every rank has accepted it."""
    if accept.incarnation != leadership.form.members[accept.rank]:
        return state, ()
    leadership = replace(leadership, accepted=leadership.accepted | {accept.rank})
    if len(leadership.accepted) < state.size:
        return state._replace(leadership=leadership), ()
    state = state._replace(
        leadership=Leading(leadership.ballot, leadership.form.members)
    )
    return state, send_to_all(state, MapStart(leadership.ballot))


def step_down(state: State) -> Transition:
    """Yield to a higher ballot; higher ranks wait longer before the next round."""
    effects: tuple[Effect, ...] = ()
    match state.leadership:
        case Leading(change=LoadingMap() | PreparingMap() as change):
            effects = (MapAbandoned(change.map.version, AbandonReason.LOST_LEAD),)
    delay_ms = state.options.retry_interval_ms * (1 + state.rank)
    return state._replace(
        leadership=None, next_round_ms=state.now_ms + delay_ms
    ), effects
