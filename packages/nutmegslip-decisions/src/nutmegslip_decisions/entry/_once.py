"""Run requests that must not be repeated through the at-most-once reducer."""

from nutmegslip_decisions import once
from nutmegslip_decisions.entry._events import (
    EntryEffect,
)
from nutmegslip_decisions.entry._requests import complete, fail
from nutmegslip_decisions.entry._state import EntryState, Request
from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.process import (
    Send,
)
from nutmegslip_decisions.work import FailureKind, Ran, remedy_of

Step = tuple[EntryState, tuple[EntryEffect, ...]]

RETRY_AFTER_MS = 1_000

_FAILURES = {
    once.OutcomeKind.NOT_RUN: (FailureKind.NOT_RUN, Ran.NO),
    once.OutcomeKind.NOT_SENT: (FailureKind.NOT_SENT, Ran.NO),
    once.OutcomeKind.UNKNOWN: (FailureKind.OUTCOME_UNKNOWN, Ran.UNKNOWN),
    once.OutcomeKind.CONFLICT: (FailureKind.KEY_REUSED, Ran.NO),
}


def submit(
    state: EntryState, request: Request, unavailable: frozenset[str], now_ms: Millis
) -> Step:
    """Submit an admitted request to the at-most-once reducer."""
    arrived = request.arrived
    key = once.once_key(arrived.workload, request.account, arrived.idempotency_key)
    submitted = once.Submitted(
        now_ms=now_ms,
        request=arrived.request_id,
        workload=arrived.workload,
        key=key,
        fingerprint=arrived.fingerprint,
        payload=arrived.once_payload,
        deadline_ms=request.deadline_ms,
        avoid=unavailable,
    )
    return apply(state, submitted)


def apply(state: EntryState, event: once.EntryEvent) -> Step:
    """Apply an event to the at-most-once reducer and translate its effects."""
    once_state, effects = once.reduce_entry(state.once, event)
    state = state._replace(once=once_state)
    entry_effects: list[EntryEffect] = []
    for effect in effects:
        match effect:
            case once.SendToPeer(host, message):
                entry_effects.append(Send(host, message))
            case once.Stopped():
                state = state._replace(records_handed_over=True)
            case once.Answered():
                state, more = _answer(state, effect, event.now_ms)
                entry_effects += more
    return state, tuple(entry_effects)


def _answer(state: EntryState, answered: once.Answered, now_ms: Millis) -> Step:
    answer = answered.answer
    if answered.kind is once.OutcomeKind.FINISHED and answer is not None:
        return complete(
            state,
            answered.request,
            (answer.status, answer.content_type, answer.body),
            now_ms,
        )
    kind, ran = _FAILURES[answered.kind]
    return fail(
        state, answered.request, kind, ran, now_ms, RETRY_AFTER_MS, remedy_of(kind)
    )
