"""Decide which attempts are dispatched to the upstream, and when.

An upstream can turn cold without notice, and its reports lag. The gate therefore
bounds the dispatched but unacknowledged attempts by the cold limit: an upstream
that has just turned cold can have received no others since, and the first
acknowledgement that reports it as cold lowers the concurrency limit.
"""

from itertools import chain

from nutmegslip_decisions.gate._events import (
    Acknowledged,
    Cancelled,
    Dispatch,
    Drained,
    DrainStarted,
    Ended,
    GateEffect,
    GateEvent,
    LimitsChanged,
    MarkChanged,
    Offered,
    Refuse,
    Reported,
    Tick,
    Unreachable,
)
from nutmegslip_decisions.gate._state import GateState, Running, Waiting
from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.work import RefusalKind

RETRY_AFTER_BUSY_MS = 100
RETRY_AFTER_COLD_MS = 500
RETRY_AFTER_UNAVAILABLE_MS = 2_000

_RETRY_AFTER_MS = {
    RefusalKind.BUSY: RETRY_AFTER_BUSY_MS,
    RefusalKind.COLD: RETRY_AFTER_COLD_MS,
    RefusalKind.DEADLINE: 0,
}

Step = tuple[GateState, tuple[GateEffect, ...]]


def reduce(state: GateState, event: GateEvent) -> Step:
    """Return the next state of the gate and the effects."""
    match event:
        case Offered():
            return _offered(state, event)
        case Acknowledged():
            return _acknowledged(state, event)
        case Ended(now_ms, attempt_id, lease_deadline_ms):
            ended = _remove_running(state, attempt_id)
            return _admit(ended, now_ms, lease_deadline_ms)
        case Cancelled(_, attempt_id):
            waiting = state.waiting
            if attempt_id in waiting:
                state = state._replace(waiting=waiting.delete(attempt_id))
            return _check_drained(state)
        case Reported():
            return _reported(state, event), ()
        case Unreachable():
            return state._replace(cold=True), ()
        case LimitsChanged(cold_limit, warm_limit):
            return state._replace(cold_limit=cold_limit, warm_limit=warm_limit), ()
        case MarkChanged(_, takes_work):
            state = state._replace(takes_work=takes_work)
            if takes_work:
                return state, ()
            return _refuse_all(state, RefusalKind.MARKED_OUT)
        case DrainStarted():
            return _drain(state)
        case Tick(now_ms, lease_deadline_ms):
            return _admit(state, now_ms, lease_deadline_ms)


def free_slots(state: GateState) -> int:
    """Return how many more requests may be dispatched to the upstream."""
    if state.inherited is None:
        return 0
    return max(0, state.limit - len(state.running) - state.inherited)


def _offered(state: GateState, event: Offered) -> Step:
    if event.attempt_id in state.running or event.attempt_id in state.waiting:
        return state, ()
    refusal = _refusal(state, event.now_ms, event.deadline_ms, event.lease_deadline_ms)
    if refusal is not None:
        return state, (_refuse(event.attempt_id, refusal),)
    waiting = Waiting(state.arrivals, event.priority, event.deadline_ms)
    state = state._replace(
        waiting=state.waiting.set(event.attempt_id, waiting),
        arrivals=state.arrivals + 1,
    )
    return _admit(state, event.now_ms, event.lease_deadline_ms)


def _refusal(
    state: GateState, now_ms: Millis, deadline_ms: Millis, lease_deadline_ms: Millis
) -> RefusalKind | None:
    if state.draining:
        return RefusalKind.DRAINING
    if not state.takes_work:
        return RefusalKind.MARKED_OUT
    if now_ms >= lease_deadline_ms:
        return RefusalKind.NO_LEASE
    if now_ms >= deadline_ms:
        return RefusalKind.DEADLINE
    if free_slots(state) <= len(state.waiting):
        return RefusalKind.COLD if state.cold else RefusalKind.BUSY
    return None


def _acknowledged(state: GateState, event: Acknowledged) -> Step:
    running = state.running.get(event.attempt_id)
    if running is not None and not running.acknowledged:
        state = state._replace(
            running=state.running.set(event.attempt_id, Running(True)),
            unacknowledged=state.unacknowledged - 1,
        )
    state = _observe(state, event.cold, event.epoch)
    return _admit(state, event.now_ms, event.lease_deadline_ms)


def _observe(state: GateState, cold: bool, epoch: int) -> GateState:
    """Apply a newer epoch; within one epoch an upstream only turns warm."""
    if epoch < state.epoch:
        return state
    if epoch == state.epoch:
        return state._replace(cold=state.cold and cold)
    return state._replace(cold=cold, epoch=epoch)


def _reported(state: GateState, event: Reported) -> GateState:
    """Apply a report; the number of inherited requests only decreases."""
    inherited = event.running if state.inherited is None else state.inherited
    state = state._replace(inherited=min(inherited, event.running))
    return _observe(state, event.cold, event.epoch)


def _remove_running(state: GateState, attempt_id: str) -> GateState:
    running = state.running.get(attempt_id)
    if running is None:
        return state
    return state._replace(
        running=state.running.delete(attempt_id),
        unacknowledged=state.unacknowledged - (not running.acknowledged),
    )


def _admit(state: GateState, now_ms: Millis, lease_deadline_ms: Millis) -> Step:
    """Dispatch queued attempts up to the limit; refuse expired ones."""
    state, expired = _refuse_expired(state, now_ms, lease_deadline_ms)
    ordered = sorted(
        state.waiting,
        key=lambda attempt_id: _admission_order(state.waiting[attempt_id]),
    )
    slots = min(free_slots(state), state.cold_limit - state.unacknowledged)
    admitted = ordered[: max(0, slots)]
    for attempt_id in admitted:
        state = state._replace(
            waiting=state.waiting.delete(attempt_id),
            running=state.running.set(attempt_id, Running(False)),
            unacknowledged=state.unacknowledged + 1,
        )
    state, excess = _refuse_excess(state)
    dispatched = tuple(Dispatch(attempt_id) for attempt_id in admitted)
    state, drained = _check_drained(state)
    return state, (*expired, *dispatched, *excess, *drained)


def _admission_order(waiting: Waiting) -> tuple[int, int]:
    return -waiting.priority, waiting.order


def _refuse_expired(
    state: GateState, now_ms: Millis, lease_deadline_ms: Millis
) -> Step:
    if now_ms >= lease_deadline_ms:
        return _refuse_all(state, RefusalKind.NO_LEASE)
    expired = [
        attempt_id
        for attempt_id, waiting in state.waiting.items()
        if now_ms >= waiting.deadline_ms
    ]
    return _refuse_attempts(state, expired, RefusalKind.DEADLINE)


def _refuse_excess(state: GateState) -> Step:
    """Refuse queued attempts that exceed the free slots of a cold upstream."""
    if not state.cold:
        return state, ()
    ordered = sorted(
        state.waiting,
        key=lambda attempt_id: _admission_order(state.waiting[attempt_id]),
    )
    return _refuse_attempts(state, ordered[free_slots(state) :], RefusalKind.COLD)


def _refuse_all(state: GateState, kind: RefusalKind) -> Step:
    return _refuse_attempts(state, list(state.waiting), kind)


def _refuse_attempts(
    state: GateState, attempt_ids: list[str], kind: RefusalKind
) -> Step:
    waiting = state.waiting
    for attempt_id in attempt_ids:
        waiting = waiting.delete(attempt_id)
    refused = tuple(_refuse(attempt_id, kind) for attempt_id in sorted(attempt_ids))
    return state._replace(waiting=waiting), refused


def _refuse(attempt_id: str, kind: RefusalKind) -> Refuse:
    return Refuse(
        attempt_id, kind, _RETRY_AFTER_MS.get(kind, RETRY_AFTER_UNAVAILABLE_MS)
    )


def _drain(state: GateState) -> Step:
    state, refused = _refuse_all(state._replace(draining=True), RefusalKind.DRAINING)
    state, drained = _check_drained(state)
    return state, tuple(chain(refused, drained))


def _check_drained(state: GateState) -> Step:
    if not state.draining or state.drained or state.running or state.waiting:
        return state, ()
    return state._replace(drained=True), (Drained(),)
