"""Decide who waits for a slot, for how long, and who is turned away at once.

Answers the pattern in which more arrives than the slots can serve: the wait is
predicted on arrival from what is ahead and the measured time in hand, and who
would wait beyond use is refused at once with the time at which a slot is likely.
"""

from itertools import takewhile

import xxhash

from nutmegslip_decisions.direct._budget import load_of
from nutmegslip_decisions.direct._choice import slots_of
from nutmegslip_decisions.direct._state import State
from nutmegslip_decisions.direct._types import Request, RequestKind
from nutmegslip_decisions.model import Millis

LEAST_RETRY_AFTER_MS = 200  # below it a return meets the same queue
NO_UPSTREAM_RETRY_MS = 1_000  # a replaced upstream takes about this long to start
START_MS = 250  # from a free slot to the first event, kept off the caller's patience


def enqueue(state: State, request: Request) -> State:
    """Put a request into its service's queue, by priority and arrival."""
    queue = state.waiting.get(request.service, ())
    ahead = tuple(takewhile(lambda t: not _goes_before(state, request, t), queue))
    changed = (*ahead, request.ticket, *queue[len(ahead) :])
    return state._replace(waiting=state.waiting.set(request.service, changed))


def dequeue(state: State, request: Request) -> State:
    """Take a request out of its service's queue."""
    queue = state.waiting.get(request.service, ())
    if request.ticket not in queue:
        return state
    changed = tuple(ticket for ticket in queue if ticket != request.ticket)
    return state._replace(waiting=state.waiting.set(request.service, changed))


def predicted_wait_ms(state: State, request: Request) -> float | None:
    """Return the time until a slot is likely free, None where no slot exists."""
    slots = slots_of(state, request.service)
    if not slots:
        return None
    queue = state.waiting.get(request.service, ())
    ahead = sum(not _goes_before(state, request, ticket) for ticket in queue)
    free_every_ms = load_of(state, request.service).hold_ms / slots
    return (ahead + 1) * free_every_ms * state.entries()


def wait_until_ms(state: State, request: Request) -> Millis:
    """Return the latest time at which a slot is still of use to the caller."""
    if request.route.kind is RequestKind.STREAM:
        patience_end_ms = request.arrived_ms + state.options.patience_ms
        return min(request.deadline_ms, patience_end_ms) - START_MS
    hold_ms = load_of(state, request.service).hold_ms
    return request.deadline_ms - int(hold_ms)


def retry_after_ms(state: State, request: Request) -> int:
    """Return when a refused caller may best return; spread over one more wait."""
    wait_ms = predicted_wait_ms(state, request)
    if wait_ms is None:
        wait_ms = NO_UPSTREAM_RETRY_MS
    spread = xxhash.xxh3_64_intdigest(request.request_id.encode()) % 1_000 / 1_000
    return int(max(wait_ms, LEAST_RETRY_AFTER_MS) * (1 + spread))


def _goes_before(state: State, request: Request, ticket: int) -> bool:
    other = state.requests[ticket]
    return (request.priority, request.arrived_ms) < (other.priority, other.arrived_ms)
