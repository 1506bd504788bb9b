"""Apply events to the admission state."""

from nutmegslip_decisions.limits._admission import offer, receive
from nutmegslip_decisions.limits._ending import finish
from nutmegslip_decisions.limits._queueing import drain, queue_of, requeue, set_queue
from nutmegslip_decisions.limits._state import LimitsState
from nutmegslip_decisions.limits._sweep import expire, sweep
from nutmegslip_decisions.limits._types import (
    HeadroomChanged,
    LimitsChanged,
    LimitsEffect,
    LimitsEvent,
    MessageReceived,
    RequestDone,
    RequestOffered,
    RequestReturned,
    Tick,
)


def reduce(
    state: LimitsState, event: LimitsEvent
) -> tuple[LimitsState, tuple[LimitsEffect, ...]]:
    """Apply one event.

    A request gets exactly one ``Admit`` or ``Refuse`` each time it is offered or
    returned, unless its caller disconnects first.
    """
    effects: list[LimitsEffect] = []
    match event:
        case LimitsChanged(_, catalogue, entries):
            state = state._replace(catalogue=catalogue, entries=tuple(sorted(entries)))
        case RequestOffered():
            state = offer(state, event, effects)
        case RequestDone(now_ms, request_id):
            state = finish(state, request_id, now_ms, effects)
        case RequestReturned(now_ms, request_id):
            state = requeue(state, request_id, now_ms, effects)
        case HeadroomChanged(_, workload, free):
            queue = queue_of(state, workload)._replace(free=free)
            state = drain(set_queue(state, workload, queue), workload, effects)
        case MessageReceived():
            state = receive(state, event, effects)
        case Tick(now_ms):
            state = sweep(expire(state, now_ms, effects), now_ms, effects)
    return state, tuple(effects)
