"""Handle the events of one request, from its arrival to its final answer."""

import xxhash

from nutmegslip_decisions.direct._budget import count_arrival, load_of
from nutmegslip_decisions.direct._connections import with_connection_kept
from nutmegslip_decisions.direct._crash_parts import (
    is_suspected,
    with_arrived_parts,
    with_begun_answer,
    with_crashed_attempt,
    with_ended_answer,
    with_upstream_gone,
)
from nutmegslip_decisions.direct._demand import with_arrival, without_attempt
from nutmegslip_decisions.direct._dispatch import (
    Step,
    dispatch,
    refuse_failed,
    remove_request,
    send,
    send_or_queue,
)
from nutmegslip_decisions.direct._events import (
    AttemptFailed,
    Broken,
    CancelAttempt,
    Declined,
    DeliverFailure,
    Errored,
    Failure,
    Moved,
    NotSent,
    RefusalKind,
    Refuse,
    RequestEnded,
    ResponseStarted,
)
from nutmegslip_decisions.direct._failures import (
    may_have_executed,
    may_retry,
    stats_after_failure,
    stats_after_lost_race,
)
from nutmegslip_decisions.direct._fair_shares import is_over_share
from nutmegslip_decisions.direct._groups import with_suspicion, without_suspicion
from nutmegslip_decisions.direct._hedges import (
    attempt_at,
    other_attempt,
    with_start_measured,
)
from nutmegslip_decisions.direct._routes import pick_service, priority_of
from nutmegslip_decisions.direct._state import State
from nutmegslip_decisions.direct._stream_moves import rank_to_move_to
from nutmegslip_decisions.direct._types import Account, CallerRequest, Request, Route
from nutmegslip_decisions.model import Millis

SMOOTHING = 0.1  # weight of a new measurement in a moving average


def admit(
    state: State, caller_request: CallerRequest, arrived_ms: Millis, now_ms: Millis
) -> Step:
    """Admit a request and send or queue it, or refuse it.

    There must be a configuration. ``arrived_ms`` is when the request was read.
    """
    route = state.table.match(caller_request.host, caller_request.path)
    if route is None:
        return state, (Refuse(caller_request.ticket, RefusalKind.NO_ROUTE, False),)
    account = _account(state, route, caller_request.key)
    if account is None:
        return state, (Refuse(caller_request.ticket, RefusalKind.UNKNOWN_KEY, False),)
    request = _admitted_request(caller_request, route, account, arrived_ms)
    state = count_arrival(state, request.service, now_ms)
    if not is_over_share(state, request):
        state = with_arrival(state, request, now_ms)
    state = state._replace(requests=state.requests.set(request.ticket, request))
    state = with_arrived_parts(state, request, now_ms)
    return send_or_queue(state, request, now_ms)


def _account(state: State, route: Route, key: str | None) -> Account | None:
    accounts = state.configuration and state.configuration.accounts
    if accounts is None or route.public:
        found = accounts.get(key) if accounts and key else None
        return found or Account("")
    return accounts.get(key or "")


def _admitted_request(
    caller_request: CallerRequest, route: Route, account: Account, arrived_ms: Millis
) -> Request:
    deadline_ms = arrived_ms + route.timeout_ms
    if caller_request.caller_deadline_ms is not None:
        deadline_ms = min(deadline_ms, caller_request.caller_deadline_ms)
    return Request(
        ticket=caller_request.ticket,
        request_id=caller_request.request_id,
        route=route,
        service=pick_service(route, caller_request.request_id),
        account=account.name,
        priority=priority_of(route, account.priority),
        arrived_ms=arrived_ms,
        deadline_ms=deadline_ms,
        parts=caller_request.parts,
        fingerprint=_fingerprint(caller_request, account),
    )


def _fingerprint(caller_request: CallerRequest, account: Account) -> str:
    """Return a hash of what a request asks for and of its account, empty if unknown."""
    if not caller_request.fingerprint:
        return ""
    text = f"{account.name} {caller_request.fingerprint}"
    return xxhash.xxh3_64_hexdigest(text.encode())


def record_start(state: State, event: ResponseStarted) -> Step:
    """Keep the attempt whose answer begins first, and cancel the other one."""
    request = state.requests.get(event.ticket)
    if request is None or not request.upstream:
        return state, ()
    begun = attempt_at(request, event.upstream)
    if begun is None:
        return state, ()
    now_ms = event.now_ms
    state = with_start_measured(state, request, now_ms)
    begun = begun._replace(hedge_ms=None, hedge=None)
    other = other_attempt(request, event.upstream)
    if other is None:
        trusted = _with_begun(state, begun, now_ms)
        if trusted.suspicions is state.suspicions:
            return trusted, ()
        # Others have waited for this answer of a probe.
        return dispatch(trusted, begun.service, now_ms)
    state = _with_slot_released(state, request, other.upstream)
    if other.upstream == request.upstream:
        # A silent upstream would look like the least loaded one.
        stats = stats_after_lost_race(state.stats_of(other.upstream), now_ms)
        upstream_stats = state.upstream_stats.set(other.upstream, stats)
        state = state._replace(upstream_stats=upstream_stats)
    state = _with_begun(state, begun, now_ms)
    state, sent = dispatch(state, begun.service, now_ms)
    return state, (CancelAttempt(begun.ticket, other.upstream), *sent)


def _with_begun(state: State, request: Request, now_ms: Millis) -> State:
    """Measure the time to the start of an answer; trust its upstream's group again."""
    load = load_of(state, request.service)
    took_ms = now_ms - request.sent_at_ms
    start_ms = load.start_ms + SMOOTHING * (took_ms - load.start_ms)
    load = load._replace(start_ms=start_ms, answered_ms=now_ms)
    state = state._replace(
        loads=state.loads.set(request.service, load),
        requests=state.requests.set(request.ticket, request._replace(begun=True)),
    )
    state = with_begun_answer(state, request, now_ms)
    upstream = state.upstreams.get(request.upstream)
    return state if upstream is None else without_suspicion(state, upstream)


def handle_failure(state: State, event: AttemptFailed) -> Step:
    """Retry a request after a failed attempt, or end it; another attempt goes on."""
    request = state.requests.get(event.ticket)
    remaining = request and other_attempt(request, event.upstream)
    request = request and attempt_at(request, event.upstream)
    if request is None:
        return state, ()
    now_ms, failure = event.now_ms, event.failure
    state = _with_slot_released(state, request, request.upstream)
    stats = stats_after_failure(state.stats_of(request.upstream), failure, now_ms)
    state = state._replace(
        upstream_stats=state.upstream_stats.set(request.upstream, stats)
    )
    if isinstance(failure, Declined) and failure.at_fault:
        state = _with_group_suspicion(state, request.upstream, now_ms)
    crashed = isinstance(failure, Broken) and failure.closed
    if crashed:
        state = with_crashed_attempt(state, request, now_ms)
    if isinstance(failure, Errored):
        state = with_ended_answer(state, request, now_ms)
    if _shows_rank_gone(failure):
        state = _with_group_suspicion(state, request.upstream, now_ms)
    if isinstance(failure, NotSent) and not failure.overdue:
        state = with_upstream_gone(state, request.upstream, now_ms)
    sent = not _is_unsent(failure)
    left = request.upstream
    request = request._replace(
        upstream=remaining.upstream if remaining else "",
        sent_at_ms=remaining.sent_at_ms if remaining else request.sent_at_ms,
        hedge_ms=None,
        hedge=None,
        sends=request.sends if sent else request.sends - 1,
        reached=request.reached + (not isinstance(failure, NotSent)),
        may_have_run=request.may_have_run or may_have_executed(failure),
        streaming=event.streaming,
        begun=False,
        met_crash=request.met_crash or (crashed and not request.begun),
    )
    state = state._replace(requests=state.requests.set(request.ticket, request))
    if remaining is not None:
        return dispatch(state, request.service, now_ms)
    repeat = event.may_resume and not (crashed and is_suspected(state, request))
    if repeat and may_retry(state, request, failure, now_ms):
        state, effects = _repeat(state, request, failure, left, now_ms)
    elif isinstance(failure, Errored):
        state, effects = (
            remove_request(state, request),
            (DeliverFailure(request.ticket),),
        )
    else:
        state, effects = refuse_failed(state, request, now_ms)
    state, more = dispatch(state, request.service, now_ms)
    return state, (*effects, *more)


def _repeat(
    state: State, request: Request, failure: Failure, left: str, now_ms: Millis
) -> Step:
    """Send or queue a request whose attempt at ``left`` has failed."""
    if isinstance(failure, Moved):
        upstream = rank_to_move_to(state, request, left, now_ms)
        if upstream is not None:
            return send(state, request, upstream.id, now_ms)
    return send_or_queue(state, request, now_ms)


def _with_group_suspicion(state: State, upstream_id: str, now_ms: Millis) -> State:
    upstream = state.upstreams.get(upstream_id)
    return state if upstream is None else with_suspicion(state, upstream, now_ms)


def _shows_rank_gone(failure: Failure) -> bool:
    """Return whether the upstream that was chosen is no longer at its address."""
    match failure:
        case NotSent(refused=True) | Declined(misdirected=True):
            return True
        case _:
            return False


def _is_unsent(failure: object) -> bool:
    match failure:
        case NotSent() | Declined(misdirected=True):
            return True
        case _:
            return False


def finish(state: State, event: RequestEnded) -> Step:
    """Free the slot of an ended request, and send queued requests."""
    now_ms, request = event.now_ms, state.requests.get(event.ticket)
    if request is None:
        return state, ()
    if request.upstream:
        if event.answered:
            state = _with_answer_recorded(state, request, event)
        state = _with_slot_released(state, request, request.upstream)
    if request.hedge is not None:
        state = _with_slot_released(state, request, request.hedge.upstream)
    return dispatch(remove_request(state, request), request.service, now_ms)


def _with_answer_recorded(state: State, request: Request, event: RequestEnded) -> State:
    load = load_of(state, request.service)
    held_ms = event.now_ms - request.sent_at_ms
    hold_ms = load.hold_ms + SMOOTHING * (held_ms - load.hold_ms)
    loads = state.loads.set(request.service, load._replace(hold_ms=hold_ms))
    stats = state.stats_of(request.upstream)._replace(failures=0)
    stats = with_connection_kept(stats, event.kept_until_ms, event.now_ms)
    upstream_stats = state.upstream_stats.set(request.upstream, stats)
    state = state._replace(loads=loads, upstream_stats=upstream_stats)
    return with_ended_answer(state, request, event.now_ms)


def _with_slot_released(state: State, request: Request, upstream_id: str) -> State:
    stats = state.stats_of(upstream_id)
    freed = stats._replace(in_flight=stats.in_flight - 1)
    return without_attempt(state, request)._replace(
        upstream_stats=state.upstream_stats.set(upstream_id, freed)
    )
