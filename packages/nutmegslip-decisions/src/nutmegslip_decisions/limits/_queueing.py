"""Add requests to the fair queue of their workload, admit them, or refuse them."""

from immutables import Map

from nutmegslip_decisions.limits._queue import (
    FairQueue,
    Queued,
    expected_wait_ms,
    pop,
    push,
    remove,
    shed_candidate,
)
from nutmegslip_decisions.limits._shares import Share, release_request
from nutmegslip_decisions.limits._state import LimitsState, TrackedRequest
from nutmegslip_decisions.limits._types import (
    Admit,
    LimitsEffect,
    Refusal,
    RefusalKind,
    Refuse,
)
from nutmegslip_decisions.model import Millis

MIN_RETRY_MS = 200


def enqueue(
    state: LimitsState, request_id: str, now_ms: Millis, effects: list[LimitsEffect]
) -> LimitsState:
    """Queue a request that has passed its limits, or refuse it immediately.

    It is refused if its expected wait exceeds its queue deadline.
    """
    tracked = state.requests[request_id]
    queue = queue_of(state, tracked.workload)
    wait_ms = expected_wait_ms(queue, tracked.queued)
    if queue.length and now_ms + wait_ms > tracked.queued.queue_deadline_ms:
        return refuse_overload(state, request_id, wait_ms, now_ms, effects)
    state = set_queue(state, tracked.workload, push(queue, tracked.queued))
    state = _shed_excess(state, tracked.workload, now_ms, effects)
    return drain(state, tracked.workload, effects)


def drain(
    state: LimitsState, workload: str, effects: list[LimitsEffect]
) -> LimitsState:
    """Admit queued requests while capacity is free."""
    queue = queue_of(state, workload)
    while queue.free > 0 and queue.flows:
        queue, queued = pop(queue)
        queue = queue._replace(free=queue.free - 1)
        state = _mark_admitted(state, queued.request_id)
        effects.append(Admit(queued.request_id))
    return set_queue(state, workload, queue)


def requeue(
    state: LimitsState, request_id: str, now_ms: Millis, effects: list[LimitsEffect]
) -> LimitsState:
    """Queue an admitted request again, first of its account, and stop admission."""
    tracked = state.requests.get(request_id)
    if tracked is None or not tracked.admitted:
        return state
    requests = state.requests.set(request_id, tracked._replace(admitted=False))
    state = state._replace(
        requests=requests, waiting=state.waiting.set(request_id, None)
    )
    queue = queue_of(state, tracked.workload)._replace(free=0)
    queue = push(queue, tracked.queued, first=True)
    if tracked.queued.queue_deadline_ms <= now_ms:
        state = set_queue(state, tracked.workload, queue)
        return refuse_overload(state, request_id, 0, now_ms, effects)
    return set_queue(state, tracked.workload, queue)


def refuse(
    state: LimitsState,
    request_id: str,
    refusal: Refusal,
    now_ms: Millis,
    effects: list[LimitsEffect],
) -> LimitsState:
    """Refuse a waiting request and release what it has acquired."""
    effects.append(Refuse(request_id, refusal))
    return drop_request(state, request_id, now_ms)


def refuse_overload(
    state: LimitsState,
    request_id: str,
    wait_ms: int,
    now_ms: Millis,
    effects: list[LimitsEffect],
) -> LimitsState:
    """Refuse a waiting request because its workload is overloaded."""
    workload = state.requests[request_id].workload
    retry_after_ms = max(wait_ms, MIN_RETRY_MS)
    refusal = Refusal(RefusalKind.OVERLOADED, workload, retry_after_ms)
    return refuse(state, request_id, refusal, now_ms, effects)


def drop_request(state: LimitsState, request_id: str, now_ms: Millis) -> LimitsState:
    """Drop a request in any stage and return the tokens that it did not use."""
    tracked = state.requests[request_id]
    state = state._replace(
        requests=state.requests.delete(request_id),
        shares=_shares_after_drop(state, request_id, tracked, now_ms),
    )
    if tracked.admitted:
        return state
    state = state._replace(waiting=state.waiting.delete(request_id))
    if tracked.pending_keys:
        return state
    queue = queue_of(state, tracked.workload)
    if not _is_queued(queue, tracked.queued):
        return state
    return set_queue(state, tracked.workload, remove(queue, tracked.queued))


def queue_of(state: LimitsState, workload: str) -> FairQueue:
    """Return the queue of a workload, or an empty one."""
    return state.queues.get(workload, FairQueue())


def set_queue(state: LimitsState, workload: str, queue: FairQueue) -> LimitsState:
    """Return the state with the queue of a workload replaced."""
    return state._replace(queues=state.queues.set(workload, queue))


def _shed_excess(
    state: LimitsState, workload: str, now_ms: Millis, effects: list[LimitsEffect]
) -> LimitsState:
    queue = queue_of(state, workload)
    if queue.length <= state.options.queue_limit:
        return state
    shed = shed_candidate(queue)
    wait_ms = expected_wait_ms(queue, shed)
    return refuse_overload(state, shed.request_id, wait_ms, now_ms, effects)


def _mark_admitted(state: LimitsState, request_id: str) -> LimitsState:
    tracked = state.requests[request_id]._replace(admitted=True)
    return state._replace(
        requests=state.requests.set(request_id, tracked),
        waiting=state.waiting.delete(request_id),
    )


def _shares_after_drop(
    state: LimitsState, request_id: str, tracked: TrackedRequest, now_ms: Millis
) -> Map[str, Share]:
    shares = state.shares
    for key in tracked.acquired_keys:
        share = shares[key]
        # A token acquired before the last request for a share may have expired.
        fresh = share.requested_at_ms <= tracked.acquired_at_ms
        unused = not tracked.admitted and fresh and now_ms < share.tokens_deadline_ms
        shares = shares.set(key, release_request(share, unused=unused))
    for key in tracked.pending_keys[:1]:
        share = shares.get(key)
        if share is None or request_id not in share.waiting:
            continue
        waiting = tuple(name for name in share.waiting if name != request_id)
        shares = shares.set(key, share._replace(waiting=waiting))
    return shares


def _is_queued(queue: FairQueue, queued: Queued) -> bool:
    flow = queue.flows.get((queued.request_class, queued.account))
    return flow is not None and queued in flow.requests
