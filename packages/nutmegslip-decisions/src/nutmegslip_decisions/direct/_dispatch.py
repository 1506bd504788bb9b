"""Send, queue or refuse requests."""

from nutmegslip_decisions.direct._budget import count_retry, retry_budget
from nutmegslip_decisions.direct._choice import Capacity, capacity_of, choose
from nutmegslip_decisions.direct._connections import with_connection_taken
from nutmegslip_decisions.direct._crash_parts import (
    Gate,
    blame_delay_ms,
    part_gate,
    with_probe,
)
from nutmegslip_decisions.direct._demand import queued, with_attempt, with_refusal
from nutmegslip_decisions.direct._events import (
    Effect,
    Hedge,
    RefusalKind,
    Refuse,
    Send,
)
from nutmegslip_decisions.direct._group_waits import (
    group_wait_end_ms,
    may_take_late,
)
from nutmegslip_decisions.direct._hedges import (
    Withheld,
    attempt_at,
    hedge_choice,
    hedge_due_ms,
    with_hedge_counted,
    with_later_hedge,
    with_second_attempt,
)
from nutmegslip_decisions.direct._last_resort import send_by_ms
from nutmegslip_decisions.direct._state import State
from nutmegslip_decisions.direct._types import Request, Upstream
from nutmegslip_decisions.direct._upstream_shares import with_credit_spent
from nutmegslip_decisions.direct._urgency import has_room
from nutmegslip_decisions.direct._waiting import (
    dequeue,
    dispatch_order,
    enqueue,
    is_due,
    latest_send_ms,
    predicted_wait_ms,
    retry_delay_ms,
)
from nutmegslip_decisions.model import Millis

Step = tuple[State, tuple[Effect, ...]]

_CRASHING_KINDS = (RefusalKind.CRASHING_PART, RefusalKind.CRASHING_REQUEST)


def send_or_queue(state: State, request: Request, now_ms: Millis) -> Step:
    """Send a request if a slot is free, else queue or refuse it."""
    gate = part_gate(state, request, now_ms)
    if gate is Gate.CLOSED:
        return refuse(state, request, _crashing_kind(state, request), now_ms)
    capacity = capacity_of(state, request.service, now_ms)
    may_pass = gate is Gate.OPEN and not _has_sendable(state, capacity, request, now_ms)
    if may_pass and has_room(state, request, capacity, now_ms):
        upstream = choose(state, capacity, request, now_ms)
        if upstream is not None:
            return send(state, request, upstream.id, now_ms)
    wait_ms = predicted_wait_ms(state, request, capacity, now_ms)
    if wait_ms is None:
        end_ms = group_wait_end_ms(state, request, now_ms)
        if end_ms is not None:
            waiting = request._replace(group_wait_end_ms=end_ms)
            requests = state.requests.set(request.ticket, waiting)
            return enqueue(state._replace(requests=requests), waiting), ()
        limited = capacity.is_limited
        kind = RefusalKind.OVERLOADED if limited else RefusalKind.NO_UPSTREAM
        return refuse(state, request, kind, now_ms)
    if not request.streaming and now_ms + wait_ms > latest_send_ms(state, request):
        return refuse(state, request, RefusalKind.OVERLOADED, now_ms)
    if _is_paused_past_deadline(request, capacity):
        return refuse(state, request, RefusalKind.OVERLOADED, now_ms)
    return enqueue(state, request), ()


def send(state: State, request: Request, upstream_id: str, now_ms: Millis) -> Step:
    """Send a request, and count it at its upstream."""
    upstream = state.upstreams[upstream_id]
    if request.reached:
        state = count_retry(state, request.service, now_ms)
    state = with_probe(state, request)
    sent = request._replace(
        upstream=upstream_id,
        sent_at_ms=now_ms,
        tried=request.tried | {upstream_id},
        sends=request.sends + 1,
        send_by_ms=send_by_ms(state, upstream),
        hedge_ms=hedge_due_ms(state, request, now_ms),
        group_wait_end_ms=None,
    )
    state = _with_attempt_counted(state, request, upstream, now_ms)
    state = state._replace(requests=state.requests.set(request.ticket, sent))
    return state, (Send(sent, upstream),)


def send_hedge(state: State, ticket: int, now_ms: Millis) -> Step:
    """Send a request a second time if that is due and allowed."""
    request = state.requests.get(ticket)
    if request is None or request.hedge_ms is None or request.hedge_ms > now_ms:
        return state, ()
    found = hedge_choice(state, request, now_ms)
    if isinstance(found, Withheld):
        later = with_later_hedge(request, now_ms)
        return state._replace(requests=state.requests.set(ticket, later)), ()
    state = with_hedge_counted(state, request.service, now_ms)
    state = _with_attempt_counted(state, request, found, now_ms)
    hedged = with_second_attempt(request, found, now_ms)
    state = state._replace(requests=state.requests.set(ticket, hedged))
    return state, (Hedge(attempt_at(hedged, found.id), found),)


def _with_attempt_counted(
    state: State, request: Request, upstream: Upstream, now_ms: Millis
) -> State:
    state = with_attempt(state, request, now_ms)
    stats = state.stats_of(upstream.id)
    stats = with_credit_spent(state, upstream, stats, now_ms)
    stats = with_connection_taken(stats, request)
    updated = stats._replace(in_flight=stats.in_flight + 1, sent=stats.sent.add(now_ms))
    return state._replace(upstream_stats=state.upstream_stats.set(upstream.id, updated))


def _has_sendable(
    state: State, capacity: Capacity, request: Request, now_ms: Millis
) -> bool:
    """Return whether a queued request waits for a slot and nothing else."""
    return any(
        _is_sendable(state, waiting, now_ms)
        and _may_take(state, waiting, capacity, now_ms)
        for waiting in queued(state, request.service)
    )


def _may_take(
    state: State, request: Request, capacity: Capacity, now_ms: Millis
) -> bool:
    """Return whether a queued request may take one of the free slots."""
    awaited = request.group_wait_end_ms is not None
    if awaited and latest_send_ms(state, request) <= now_ms:
        return may_take_late(state, request.service, capacity)
    if has_room(state, request, capacity, now_ms):
        return True
    return is_due(state, request, capacity, now_ms)


def _is_sendable(state: State, request: Request, now_ms: Millis) -> bool:
    """Return whether a queued request may be sent as soon as a slot is free."""
    if part_gate(state, request, now_ms) is not Gate.OPEN:
        return False
    if not request.reached:
        return True
    return retry_budget(state, request.service, now_ms).allows_send


def dispatch_all(state: State, now_ms: Millis) -> Step:
    """Send queued requests of all services."""
    effects: tuple[Effect, ...] = ()
    for service, queue in state.waiting.items():
        if queue:
            state, more = dispatch(state, service, now_ms)
            effects += more
    return state, effects


def dispatch(state: State, service: str, now_ms: Millis) -> Step:
    """Send queued requests of a service by priority, while slots are free."""
    effects: tuple[Effect, ...] = ()
    if not state.waiting.get(service):
        return state, effects
    capacity = capacity_of(state, service, now_ms)
    for ticket in dispatch_order(state, service, capacity, now_ms):
        if not capacity.candidates:
            break
        request = state.requests[ticket]
        if request.deadline_ms <= now_ms:
            continue  # expired, as after a suspension; the next tick refuses it
        if not _is_sendable(state, request, now_ms):
            continue
        if not _may_take(state, request, capacity, now_ms):
            continue  # the slots that are free are for requests before it
        upstream = choose(state, capacity, request, now_ms)
        if upstream is None:
            continue  # it has tried the free upstreams; a later one may use them
        state = dequeue(state, request)
        state, sent = send(state, request, upstream.id, now_ms)
        effects += sent
        capacity = capacity_of(state, service, now_ms)
    return state, effects


def refuse_overdue(state: State, now_ms: Millis) -> Step:
    """Refuse queued requests that a slot can no longer serve on time."""
    effects: tuple[Effect, ...] = ()
    for service, queue in state.waiting.items():
        if not queue:
            continue
        state, more = _refuse_excess_retries(state, service, now_ms)
        effects += more
        capacity = capacity_of(state, service, now_ms)
        for ticket in state.waiting[service]:
            request = state.requests[ticket]
            kind = _overdue_kind(state, request, capacity, now_ms)
            if kind is None:
                continue
            state, more = refuse(state, request, kind, now_ms)
            effects += more
    return state, effects


def _refuse_excess_retries(state: State, service: str, now_ms: Millis) -> Step:
    """Refuse queued retries, the last first, that the budget no longer allows."""
    effects: tuple[Effect, ...] = ()
    excess = retry_budget(state, service, now_ms).excess
    queue = reversed(state.waiting[service])
    retries = [t for t in queue if state.requests[t].reached]
    for ticket in retries[:excess]:
        state, more = refuse_failed(state, state.requests[ticket], now_ms)
        effects += more
    return state, effects


def _overdue_kind(
    state: State, request: Request, capacity: Capacity, now_ms: Millis
) -> RefusalKind | None:
    """Return why a queued request is refused, None if it may still be served."""
    if request.deadline_ms <= now_ms:
        return RefusalKind.DEADLINE
    if part_gate(state, request, now_ms) is Gate.CLOSED:
        return _crashing_kind(state, request)
    if request.group_wait_end_ms is not None:
        over = request.group_wait_end_ms <= now_ms
        return RefusalKind.NO_UPSTREAM if over else None
    # While every upstream is paused, no slot can become free before a pause ends.
    free_ms = capacity.resume_ms if capacity.is_paused else now_ms
    if latest_send_ms(state, request) <= free_ms and not request.streaming:
        return RefusalKind.OVERLOADED
    if _is_paused_past_deadline(request, capacity):
        return RefusalKind.OVERLOADED
    return None


def _is_paused_past_deadline(request: Request, capacity: Capacity) -> bool:
    return capacity.is_paused and capacity.resume_ms >= request.deadline_ms


def refuse(state: State, request: Request, kind: RefusalKind, now_ms: Millis) -> Step:
    """Refuse a request, with a retry delay if it has not run."""
    ran, wait_ms = request.may_have_run, 0
    if not ran and kind in _CRASHING_KINDS:
        wait_ms = blame_delay_ms(state, request, now_ms)
    elif not ran:
        if kind is RefusalKind.OVERLOADED:
            state = with_refusal(state, request, now_ms)
        capacity = capacity_of(state, request.service, now_ms)
        wait_ms = retry_delay_ms(state, request, capacity, now_ms)
    return remove_request(state, request), (Refuse(request.ticket, kind, ran, wait_ms),)


def _crashing_kind(state: State, request: Request) -> RefusalKind:
    blamed_part = any(part in state.parts.blames for part in request.parts)
    return RefusalKind.CRASHING_PART if blamed_part else RefusalKind.CRASHING_REQUEST


def refuse_failed(state: State, request: Request, now_ms: Millis) -> Step:
    """Refuse a request whose last attempt failed and that is not sent again."""
    kind = RefusalKind.BROKEN if request.may_have_run else RefusalKind.DECLINED
    return refuse(state, request, kind, now_ms)


def remove_request(state: State, request: Request) -> State:
    """Remove a request from the state and its queue."""
    state = dequeue(state, request)
    return state._replace(requests=state.requests.delete(request.ticket))
