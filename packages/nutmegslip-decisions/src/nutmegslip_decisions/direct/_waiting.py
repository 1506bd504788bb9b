"""Queue requests for a slot, and predict waits and retry delays.

Answers the load pattern in which more requests arrive than the slots can serve: the
wait is predicted on arrival from the queue and the measured time that requests hold
a slot. A request that would wait too long is refused at once, with a delay after
which a slot is likely free.
"""

import math
from itertools import takewhile

import xxhash

from nutmegslip_decisions.direct._budget import load_of
from nutmegslip_decisions.direct._choice import Capacity
from nutmegslip_decisions.direct._state import State
from nutmegslip_decisions.direct._types import Request
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
    ahead = sum(not _precedes(state, request, ticket) for ticket in queue)
    free_every_ms = load_of(state, request.service).hold_ms / capacity.slots
    return (ahead + 1) * free_every_ms * state.serving_count()


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
    other = state.requests[ticket]
    return (request.priority, request.arrived_ms) < (other.priority, other.arrived_ms)
