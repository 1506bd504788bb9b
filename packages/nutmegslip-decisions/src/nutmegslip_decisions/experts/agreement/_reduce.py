"""The reducer that makes all ranks of a group use one expert map in each step."""

from collections import deque

from nutmegslip_decisions.experts.agreement._coordinator import (
    advance_coordinator,
    on_reply,
    propose,
)
from nutmegslip_decisions.experts.agreement._events import (
    Effect,
    EngineAttached,
    EngineConfirmed,
    EngineLost,
    Event,
    LeaveReason,
    MapProposed,
    PeerDown,
    PeerMessage,
    PeerUp,
    Send,
    StepReached,
    Tick,
    WeightsLoaded,
)
from nutmegslip_decisions.experts.agreement._member import (
    Request,
    answer_engine,
    attach,
    confirm,
    leave,
    on_request,
    on_weights_loaded,
)
from nutmegslip_decisions.experts.agreement._messages import MapPulse, Message
from nutmegslip_decisions.experts.agreement._state import State, Transition


def reduce(state: State, event: Event) -> Transition:
    """Return the state after an event, and the effects to perform."""
    state = state._replace(now_ms=max(state.now_ms, event.now_ms))
    state, effects = _on_event(state, event)
    state, effects = _deliver_to_self(state, effects)
    state, answer = answer_engine(state)
    return state, (*effects, *answer)


def _on_event(state: State, event: Event) -> Transition:
    match event:
        case Tick():
            return _on_tick(state)
        case PeerMessage(message=message):
            return _on_peer_message(state, message)
        case StepReached(step=step):
            return advance_coordinator(
                state._replace(requested_step=step, hold_reason=None)
            )
        case EngineAttached():
            return _on_attached(state, event)
        case EngineLost():
            return leave(state, LeaveReason.ENGINE_LOST)
        case EngineConfirmed(token=token):
            return confirm(state, token)
        case WeightsLoaded(digest=digest):
            return on_weights_loaded(state, digest)
        case MapProposed(placement=placement):
            return propose(state, placement)
        case PeerDown(rank=rank):
            return state._replace(suspected=state.suspected | {rank}), ()
        case PeerUp(rank=rank):
            return state._replace(suspected=state.suspected - {rank}), ()


def _on_attached(state: State, event: EngineAttached) -> Transition:
    effects: tuple[Effect, ...] = ()
    if state.attached:
        # The new connection was reported before the end of the old one.
        state, (left, _) = leave(state, LeaveReason.ENGINE_REPLACED)
        effects = (left,)
    return attach(state, event), effects


def _on_tick(state: State) -> Transition:
    coordinator = state.coordinator
    suspects = coordinator != state.rank and (
        state.now_ms >= state.coordinator_deadline_ms
    )
    if suspects:
        state = state._replace(
            suspected=state.suspected | {coordinator},
            coordinator_deadline_ms=state.now_ms + state.options.suspect_timeout_ms,
        )
    state, pulses = _send_heartbeat(state)
    state, effects = advance_coordinator(state)
    return state, (*pulses, *effects)


def _send_heartbeat(state: State) -> Transition:
    if state.now_ms < state.heartbeat_deadline_ms:
        return state, ()
    pulse = MapPulse(
        state.rank, state.member, state.promised, state.formation, state.step
    )
    coordinator = state.coordinator
    leads = coordinator == state.rank
    ranks = range(state.size) if leads else (coordinator,)
    effects = tuple(Send(rank, pulse) for rank in ranks if rank != state.rank)
    formed = state.formation is not None
    options = state.options
    period_ms = (
        options.heartbeat_interval_ms
        if formed
        else options.forming_heartbeat_interval_ms
    )
    deadline_ms = state.now_ms + period_ms
    return state._replace(heartbeat_deadline_ms=deadline_ms), effects


def _on_peer_message(state: State, message: Message) -> Transition:
    sender = message.ballot.rank if isinstance(message, Request) else message.rank
    if sender not in range(state.size):
        return state, ()
    state = state._replace(suspected=state.suspected - {sender})
    if sender == state.coordinator:
        deadline_ms = state.now_ms + state.options.suspect_timeout_ms
        state = state._replace(coordinator_deadline_ms=deadline_ms)
    return _on_message(state, message)


def _on_message(state: State, message: Message) -> Transition:
    if isinstance(message, Request):
        return on_request(state, message)
    return on_reply(state, message)


def _deliver_to_self(state: State, effects: tuple[Effect, ...]) -> Transition:
    """Process the coordinator's messages to its own rank at once."""
    waiting = deque(effects)
    remote = []
    while waiting:
        effect = waiting.popleft()
        if not isinstance(effect, Send) or effect.rank != state.rank:
            remote.append(effect)
            continue
        state, more = _on_message(state, effect.message)
        waiting.extend(more)
    return state, tuple(remote)
