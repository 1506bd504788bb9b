"""Let requests wait for the first configuration and list of upstreams.

Answers the load pattern in which all entries are killed at once: callers reach a
started entry some milliseconds before it has read the store, and a caller retries
only once. What is read within the time that a request can wait serves it; a store
that does not answer makes the wait hopeless.
"""

from immutables import Map

from nutmegslip_decisions.direct._dispatch import Step
from nutmegslip_decisions.direct._events import RefusalKind, Refuse
from nutmegslip_decisions.direct._requests import admit
from nutmegslip_decisions.direct._state import State, Unadmitted
from nutmegslip_decisions.direct._types import CallerRequest
from nutmegslip_decisions.model import Millis

MAX_START_WAIT_MS = 250  # reading the store after a start takes less than 100 ms
NO_CONFIGURATION_RETRY_MS = 500


def admit_when_started(
    state: State, caller_request: CallerRequest, now_ms: Millis
) -> Step:
    """Admit a request, or let it wait for the first configuration."""
    if state.configuration is not None:
        return admit(state, caller_request, now_ms, now_ms)
    if state.store_lost:
        return state, (_refusal(caller_request.ticket),)
    until_ms = now_ms + MAX_START_WAIT_MS
    if caller_request.caller_deadline_ms is not None:
        until_ms = min(until_ms, caller_request.caller_deadline_ms)
    waiting = Unadmitted(caller_request, now_ms, until_ms)
    return state._replace(
        unadmitted=state.unadmitted.set(caller_request.ticket, waiting)
    ), ()


def admit_all(state: State, now_ms: Millis) -> Step:
    """Admit the requests that have waited for the first list."""
    if not state.unadmitted or state.configuration is None:
        return state, ()
    state, effects = refuse_unadmitted(state, now_ms)
    waiting = sorted(state.unadmitted.items())
    state = state._replace(unadmitted=Map())
    for _, (caller_request, arrived_ms, _) in waiting:
        state, more = admit(state, caller_request, arrived_ms, now_ms)
        effects += more
    return state, effects


def refuse_unadmitted(state: State, now_ms: Millis) -> Step:
    """Refuse the requests that have waited too long; all if the store is lost."""
    late = [
        ticket
        for ticket, waiting in sorted(state.unadmitted.items())
        if state.store_lost or waiting.until_ms <= now_ms
    ]
    for ticket in late:
        state = without_unadmitted(state, ticket)
    return state, tuple(_refusal(ticket) for ticket in late)


def without_unadmitted(state: State, ticket: int) -> State:
    """Forget a request that has waited."""
    return state._replace(unadmitted=state.unadmitted.delete(ticket))


def _refusal(ticket: int) -> Refuse:
    return Refuse(
        ticket, RefusalKind.NO_CONFIGURATION, False, NO_CONFIGURATION_RETRY_MS
    )
