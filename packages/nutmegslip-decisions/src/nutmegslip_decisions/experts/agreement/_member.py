"""A group member: answer the coordinator and permit the engine's steps."""

from collections.abc import Iterable

from immutables import Map

from nutmegslip_decisions.experts.agreement._events import (
    AttachEngine,
    ConfirmEngine,
    Effect,
    EngineAttached,
    GroupFormed,
    GroupLeft,
    HoldReason,
    LeaveReason,
    LoadWeights,
    MapScheduled,
    PermitStep,
    Send,
    StepHeld,
)
from nutmegslip_decisions.experts.agreement._messages import (
    Ballot,
    ExpertMap,
    MapAbort,
    MapAccept,
    MapAnswer,
    MapCommit,
    MapDone,
    MapForm,
    MapLoad,
    MapLoaded,
    MapPrepare,
    MapPromise,
    MapQuery,
    MapRefusal,
    MapStart,
    ScheduledMap,
)
from nutmegslip_decisions.experts.agreement._state import (
    Pending,
    State,
    Transition,
    Unconfirmed,
    merge_schedules,
    prune_schedule,
)

#: Messages from a coordinator to a rank's sidecar.
Request = MapQuery | MapForm | MapStart | MapLoad | MapPrepare | MapCommit | MapAbort


def leave(state: State, reason: LeaveReason) -> Transition:
    """Discard the group and everything agreed in it, as after a restart.

    Scheduled maps are discarded too: an entry stored while another sidecar was attached
    to the engine may not be committed. The engine is attached under a new incarnation,
    so that neither it nor a peer confuses the two.
    """
    state = state._replace(
        generation=state.generation + 1,
        attached=False,
        formation=None,
        offer=None,
        unconfirmed=None,
        schedule=(),
        maps=Map(),
        pending=None,
        last_attempt=0,
        loaded=frozenset(),
        loading=frozenset(),
        requested_step=None,
        hold_reason=None,
        leadership=None,
    )
    return state, (GroupLeft(reason), AttachEngine(state.member))


def attach(state: State, event: EngineAttached) -> State:
    """Adopt the engine's step, the map of that step and its fencing number."""
    state = state._replace(
        attached=True,
        step=event.step,
        loaded=event.loaded,
        promised=max(state.promised, Ballot(event.fencing, -1, "")),
    )
    if event.map is None:
        return state
    used = ScheduledMap(event.step, event.map.version, event.map.digest)
    return state._replace(
        schedule=(used,),
        maps=Map({event.map.digest: event.map}),
        highest_version=max(state.highest_version, event.map.version),
    )


def confirm(state: State, token: int) -> Transition:
    """Answer the request that was waiting for the engine's echo."""
    if state.unconfirmed is None or state.unconfirmed.token != token:
        return state, ()
    request = state.unconfirmed.request
    state = state._replace(unconfirmed=None)
    if request.ballot != state.promised:
        return state, ()
    match request:
        case MapQuery():
            return state, _answer(state, request)
        case MapForm():
            return _store_offer(state, request)


def on_weights_loaded(state: State, digest: str) -> Transition:
    """Record loaded weights, and report them to the coordinator."""
    state = state._replace(
        loaded=state.loaded | {digest}, loading=state.loading - {digest}
    )
    if state.offer is not None:
        return _accept_when_loaded(state, state.offer)
    report = MapLoaded(state.promised, state.rank, digest)
    return state, _to_coordinator(state, report)


def on_request(state: State, request: Request) -> Transition:
    """Handle a coordinator's request."""
    if not state.attached:
        return state, ()
    if request.ballot < state.promised:
        return state, _refuse(state, request)
    match request:
        case MapQuery():
            return _on_query(state, request)
        case MapForm():
            return _on_form(state, request)
        case MapStart():
            return _on_start(state, request)
    if request.ballot != state.formation:
        return state, ()
    match request:
        case MapLoad():
            return _on_load(state, request)
        case MapPrepare():
            return _on_prepare(state, request)
        case MapCommit():
            return _on_commit(state, request)
        case MapAbort():
            return _on_abort(state, request)


def answer_engine(state: State) -> Transition:
    """Permit the step that the engine requested, or report why it is held."""
    if state.requested_step is None:
        return state, ()
    entry = state.map_at(state.requested_step)
    reason = _hold_reason(state, state.requested_step, entry)
    if reason is None and entry is not None and state.formation is not None:
        permit = PermitStep(
            state.requested_step,
            entry.version,
            entry.digest,
            state.formation.number,
            state.member,
        )
        step = max(state.step, state.requested_step)
        return state._replace(step=step, requested_step=None, hold_reason=None), (
            permit,
        )
    if reason is None or reason is state.hold_reason:
        return state, ()
    return state._replace(hold_reason=reason), (StepHeld(state.requested_step, reason),)


def _hold_reason(
    state: State, step: int, entry: ScheduledMap | None
) -> HoldReason | None:
    if state.formation is None:
        return HoldReason.NO_GROUP
    if state.pending is not None and step >= state.pending.entry.from_step:
        return HoldReason.OUTCOME_UNKNOWN
    if entry is None or entry.digest not in state.loaded:
        return HoldReason.NO_MAP
    return None


def _on_query(state: State, query: MapQuery) -> Transition:
    is_own_query = (
        state.leadership is not None and state.leadership.ballot == query.ballot
    )
    keeps_offer = state.offer is not None and state.offer.ballot == query.ballot
    state = state._replace(
        promised=query.ballot,
        leadership=state.leadership if is_own_query else None,
        offer=state.offer if keeps_offer else None,
    )
    return _await_engine(state, query)


def _answer(state: State, query: MapQuery) -> tuple[Effect, ...]:
    answer = MapAnswer(
        query.ballot,
        state.rank,
        state.member,
        state.step,
        state.schedule,
        _scheduled_maps(state, state.schedule),
    )
    return _to_coordinator(state, answer)


def _await_engine(state: State, request: MapQuery | MapForm) -> Transition:
    """Delay a request until the engine confirms that it has no other sidecar.

    A suspended sidecar may resume after a successor has attached to its engine and
    formed the group without it; its answers must then be ignored.
    """
    token = state.last_token + 1
    state = state._replace(unconfirmed=Unconfirmed(token, request), last_token=token)
    return state, (ConfirmEngine(token),)


def _on_form(state: State, form: MapForm) -> Transition:
    if form.ballot != state.promised or form.members[state.rank] != state.member:
        return state, _refuse(state, form)
    if state.formation == form.ballot:
        return state, ()
    return _await_engine(state, form)


def _store_offer(state: State, form: MapForm) -> Transition:
    maps = state.maps.update({known.digest: known for known in form.maps})
    version = max((known.version for known in form.maps), default=0)
    state = state._replace(
        offer=form,
        maps=maps,
        highest_version=max(state.highest_version, version),
    )
    return _accept_when_loaded(state, form)


def _accept_when_loaded(state: State, form: MapForm) -> Transition:
    missing = _needed_digests(state, form) - state.loaded
    if not missing:
        accept = MapAccept(form.ballot, state.rank, state.member)
        return state, _to_coordinator(state, accept)
    orders = tuple(
        LoadWeights(state.maps[digest], form.ballot.number)
        for digest in sorted(missing - state.loading)
        if digest in state.maps
    )
    return state._replace(loading=state.loading | missing), orders


def _needed_digests(state: State, form: MapForm) -> frozenset[str]:
    """Return the digests of the maps that this rank may still need."""
    # A new engine joins at the slowest one's step, one behind the last permitted.
    next_step = max(state.step + 1, form.step - 1)
    current = [entry for entry in form.schedule if entry.from_step <= next_step]
    later = [entry for entry in form.schedule if entry.from_step > next_step]
    return frozenset(entry.digest for entry in current[-1:] + later)


def _on_start(state: State, start: MapStart) -> Transition:
    offer = state.offer
    if offer is None or offer.ballot != start.ballot:
        return state, ()
    if _needed_digests(state, offer) - state.loaded:
        return state, ()
    state = state._replace(
        formation=start.ballot,
        schedule=offer.schedule,
        offer=None,
        pending=None,
        last_attempt=0,
    )
    return _discard_old_maps(state), (GroupFormed(start.ballot),)


def _on_load(state: State, load: MapLoad) -> Transition:
    digest = load.map.digest
    state = state._replace(
        maps=state.maps.set(digest, load.map),
        highest_version=max(state.highest_version, load.map.version),
    )
    if digest in state.loaded:
        report = MapLoaded(load.ballot, state.rank, digest)
        return state, _to_coordinator(state, report)
    if digest in state.loading:
        return state, ()
    order = LoadWeights(load.map, load.ballot.number)
    return state._replace(loading=state.loading | {digest}), (order,)


def _on_prepare(state: State, prepare: MapPrepare) -> Transition:
    if prepare.attempt < state.last_attempt:
        return state, ()
    pending = Pending(prepare.ballot, prepare.attempt, prepare.entry)
    if prepare.attempt == state.last_attempt and state.pending != pending:
        return state, ()
    if prepare.entry.digest not in state.loaded:
        return state, ()
    if prepare.entry.from_step <= state.step:
        return state, _refuse(state, prepare)
    state = state._replace(pending=pending, last_attempt=prepare.attempt)
    promise = MapPromise(prepare.ballot, prepare.attempt, state.rank)
    return state, _to_coordinator(state, promise)


def _on_commit(state: State, commit: MapCommit) -> Transition:
    done = _to_coordinator(state, MapDone(commit.ballot, commit.attempt, state.rank))
    if state.pending is None or state.pending.attempt != commit.attempt:
        closed = commit.attempt <= state.last_attempt and state.pending is None
        return state, done if closed else ()
    entry = commit.entry
    state = state._replace(
        schedule=merge_schedules([state.schedule, (entry,)]), pending=None
    )
    scheduled = MapScheduled(entry.version, entry.digest, entry.from_step)
    return _discard_old_maps(state), (scheduled, *done)


def _on_abort(state: State, abort: MapAbort) -> Transition:
    pending = state.pending
    if pending is not None and pending.attempt <= abort.attempt:
        pending = None
    state = state._replace(
        pending=pending, last_attempt=max(state.last_attempt, abort.attempt)
    )
    done = MapDone(abort.ballot, abort.attempt, state.rank)
    if pending is None:
        state = _discard_old_maps(state)
    return state, _to_coordinator(state, done)


def _refuse(state: State, request: Request) -> tuple[Effect, ...]:
    attempt = request.attempt if isinstance(request, MapPrepare) else 0
    refusal = MapRefusal(
        request.ballot, attempt, state.rank, state.promised, state.step
    )
    return (Send(request.ballot.rank, refusal),)


def _discard_old_maps(state: State) -> State:
    schedule = prune_schedule(state.schedule, state.step)
    digests = {entry.digest for entry in schedule}
    kept = {d: known for d, known in state.maps.items() if d in digests}
    return state._replace(
        schedule=schedule, maps=Map(kept), loaded=state.loaded & digests
    )


def _scheduled_maps(
    state: State, schedule: Iterable[ScheduledMap]
) -> tuple[ExpertMap, ...]:
    return tuple(
        state.maps[entry.digest] for entry in schedule if entry.digest in state.maps
    )


def _to_coordinator(
    state: State,
    message: MapAnswer | MapAccept | MapLoaded | MapPromise | MapDone,
) -> tuple[Effect, ...]:
    return (Send(state.promised.rank, message),)
