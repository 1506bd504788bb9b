"""Queue requests for a slot, and predict waits and retry delays.

Answers the load pattern in which more requests arrive than the slots can serve: the
wait is predicted on arrival from the queue, the measured time that requests hold a
slot, and this entry's share of the slots that become free. A request that would wait
too long is refused at once, with a delay after which a slot is likely free.
"""

import math
from itertools import takewhile

import xxhash

from nutmegslip_decisions.direct._budget import load_of
from nutmegslip_decisions.direct._choice import Capacity
from nutmegslip_decisions.direct._demand import entry_share, is_counted
from nutmegslip_decisions.direct._state import State
from nutmegslip_decisions.direct._types import Request
from nutmegslip_decisions.direct._urgency import (
    Turn,
    has_aged,
    is_below_floor,
    turn_of,
)
from nutmegslip_decisions.model import Millis

MIN_RETRY_DELAY_MS = 200  # an earlier retry would find the same queue
RETRY_JITTER_MS = 1_500  # spreads retries over the length of a burst
MAX_RETRY_DELAY_SHARE = 1 / 3  # of the remaining time; callers wait no longer
OUTAGE_JITTER_SHARE = 0.3  # of the maximum delay


def enqueue(state: State, request: Request) -> State:
    """Insert a request into its service's queue, by priority and arrival."""
    queue = state.waiting.get(request.service, ())
    ahead = tuple(takewhile(lambda t: not _precedes(state, request, t), queue))
    changed = (*ahead, request.ticket, *queue[len(ahead) :])
    return state._replace(waiting=state.waiting.set(request.service, changed))


def dequeue(state: State, request: Request) -> State:
    """Remove a request from its service's queue."""
    queue = state.waiting.get(request.service, ())
    if request.ticket not in queue:
        return state
    changed = tuple(ticket for ticket in queue if ticket != request.ticket)
    return state._replace(waiting=state.waiting.set(request.service, changed))


def predicted_wait_ms(
    state: State, request: Request, capacity: Capacity, now_ms: Millis
) -> float | None:
    """Return the time until a slot is likely free, None if there are no slots."""
    if capacity.is_paused:
        return max(capacity.resume_ms - now_ms, 0)
    if not capacity.slots:
        return None
    queue = state.waiting.get(request.service, ())
    if is_below_floor(state, request, capacity):  # it goes first once it has aged
        queued = (state.requests[ticket] for ticket in queue)
        ahead = sum(is_below_floor(state, other, capacity) for other in queued)
    else:
        ahead = sum(not _precedes(state, request, ticket) for ticket in queue)
    free_every_ms = load_of(state, request.service).hold_ms / capacity.slots
    return (ahead + 1) * free_every_ms / entry_share(state, request.service, now_ms)


def dispatch_order(
    state: State, service: str, capacity: Capacity, now_ms: Millis
) -> tuple[int, ...]:
    """Return the queue of a service in the order in which its requests are sent.

    A request that has aged goes first if its kind or account is below the floor.
    """
    queue = state.waiting.get(service, ())
    if not is_counted(state, service):
        return queue

    def key(ticket: int) -> tuple[bool, Turn]:
        request = state.requests[ticket]
        first = is_due(state, request, capacity, now_ms)
        return not first, turn_of(state, request)

    return tuple(sorted(queue, key=key))


def is_due(state: State, request: Request, capacity: Capacity, now_ms: Millis) -> bool:
    """Return whether a request goes first, so that its kind or account gets a floor."""
    if not has_aged(request, latest_send_ms(state, request), now_ms):
        return False
    return is_below_floor(state, request, capacity)


def latest_send_ms(state: State, request: Request) -> Millis:
    """Return the latest time to send a request whose answer is to start on time.

    A request sent later would take a slot that another request could use on time,
    and its caller is served as well by a retry.
    """
    start_ms = int(load_of(state, request.service).start_ms)
    due_ms = request.arrived_ms + request.route.objective_ms
    return min(due_ms, request.deadline_ms) - start_ms


def retry_delay_ms(
    state: State, request: Request, capacity: Capacity, now_ms: Millis
) -> int:
    """Return the delay after which a refused caller should retry.

    A caller retries once. During an outage the delay is close to the longest that the
    caller waits, since the outage may last as long again; otherwise it follows from
    the queue. While every upstream is paused, it is not shorter than the pause. Jitter
    keeps callers from retrying at the same time.
    """
    jitter = xxhash.xxh3_64_intdigest(request.request_id.encode()) % 1_000 / 1_000
    max_delay_ms = (request.deadline_ms - now_ms) * MAX_RETRY_DELAY_SHARE
    wait_ms = predicted_wait_ms(state, request, capacity, now_ms)
    if wait_ms is None:
        return max(int(max_delay_ms * (1 - OUTAGE_JITTER_SHARE * jitter)), 1)
    delay_ms = max(wait_ms, MIN_RETRY_DELAY_MS) + jitter * RETRY_JITTER_MS
    if delay_ms > max_delay_ms:
        delay_ms = max_delay_ms * (1 + jitter) / 2
    min_delay_ms = math.ceil(wait_ms) if capacity.is_paused else 1
    return max(int(delay_ms), min_delay_ms)


def _precedes(state: State, request: Request, ticket: int) -> bool:
    return turn_of(state, request) < turn_of(state, state.requests[ticket])
