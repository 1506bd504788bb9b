"""Check requests against the limits of their account and workload."""

from immutables import Map

from nutmegslip_decisions.limits._homes import grant_share, home_of, release_share
from nutmegslip_decisions.limits._queue import Queued
from nutmegslip_decisions.limits._queueing import (
    enqueue,
    refuse,
)
from nutmegslip_decisions.limits._shares import (
    Share,
    acquire,
    apply_grant,
    enter_fallback,
    new_share,
    request_share,
)
from nutmegslip_decisions.limits._state import (
    LimitsState,
    TrackedRequest,
    bounded_keys,
    limits_of,
)
from nutmegslip_decisions.limits._types import (
    LimitsEffect,
    MessageReceived,
    Refusal,
    RefusalKind,
    Refuse,
    RequestOffered,
    Send,
    ShareGranted,
    ShareReleased,
    ShareRequested,
)
from nutmegslip_decisions.model import Millis, WorkloadKind


def offer(
    state: LimitsState, event: RequestOffered, effects: list[LimitsEffect]
) -> LimitsState:
    """Start the admission of a request: check its limits, then queue it."""
    if event.request_id in state.requests:
        return state
    if event.workload not in state.catalogue.workloads:
        refusal = Refusal(RefusalKind.UNKNOWN_WORKLOAD, event.workload)
        effects.append(Refuse(event.request_id, refusal))
        return state
    tracked = TrackedRequest(
        event.workload,
        _queued(state, event),
        bounded_keys(state.catalogue, event.account, event.workload),
    )
    state = state._replace(
        requests=state.requests.set(event.request_id, tracked),
        waiting=state.waiting.set(event.request_id, None),
    )
    if tracked.queued.queue_deadline_ms <= event.now_ms:
        refusal = Refusal(RefusalKind.QUEUE_TIMEOUT, event.workload)
        return refuse(state, event.request_id, refusal, event.now_ms, effects)
    return check_limits(state, event.request_id, event.now_ms, effects)


def check_limits(
    state: LimitsState, request_id: str, now_ms: Millis, effects: list[LimitsEffect]
) -> LimitsState:
    """Check the pending limits of a request, then queue it.

    If the share is used up, the request waits for a grant from the home.
    """
    tracked = state.requests[request_id]
    if not tracked.pending_keys:
        return enqueue(state, request_id, now_ms, effects)
    key = tracked.pending_keys[0]
    state, acquired = _acquire(state, key, request_id, now_ms)
    if acquired:
        return check_limits(state, request_id, now_ms, effects)
    share = state.shares[key]
    if now_ms < share.fallback_deadline_ms:
        return _refuse_limit(state, key, request_id, now_ms, effects)
    share = share._replace(waiting=(*share.waiting, request_id))
    state = _set_share(state, key, share)
    return (
        state
        if share.is_awaiting_grant
        else request_from_home(state, key, now_ms, effects)
    )


def request_from_home(
    state: LimitsState, key: str, now_ms: Millis, effects: list[LimitsEffect]
) -> LimitsState:
    """Request a share from a key's home entry, which may be this entry."""
    share, request = request_share(state.shares[key], key, state.options, now_ms)
    state = _set_share(state, key, share)
    home = home_of(state, key)
    if home != state.own_host:
        effects.append(Send(home, request))
        return state._replace(awaiting_grant=state.awaiting_grant.set(key, None))
    state, granted = grant_share(state, state.own_host, request, now_ms)
    if granted is None:
        return use_fallback(state, key, now_ms, effects)
    return _accept_grant(state, granted, now_ms, effects)


def use_fallback(
    state: LimitsState, key: str, now_ms: Millis, effects: list[LimitsEffect]
) -> LimitsState:
    """Use the entry's equal part of a key's limits while its home does not answer."""
    share = enter_fallback(state.shares[key], state.options, now_ms)
    state = _set_share(state, key, share)
    state = state._replace(awaiting_grant=_without_key(state, key))
    return _resume_waiting(state, key, now_ms, effects, exhausted=True)


def receive(
    state: LimitsState, event: MessageReceived, effects: list[LimitsEffect]
) -> LimitsState:
    """Apply a message of another entry; late and repeated messages are ignored."""
    match event.message:
        case ShareRequested() as request:
            state, granted = grant_share(state, event.sender, request, event.now_ms)
            effects.extend([Send(event.sender, granted)] if granted else [])
            return state
        case ShareReleased() as released:
            return release_share(state, event.sender, released)
        case ShareGranted() as granted:
            share = state.shares.get(granted.key)
            if share is None or not share.is_awaiting_grant:
                return state
            if share.sequence != granted.sequence:
                return state
            return _accept_grant(state, granted, event.now_ms, effects)


def _queued(state: LimitsState, event: RequestOffered) -> Queued:
    options = state.options
    account = state.catalogue.accounts.get(event.account)
    workload = state.catalogue.workloads[event.workload]
    max_wait_ms = (
        options.service_wait_ms
        if workload.kind is WorkloadKind.SERVICE
        else options.class_waits.of(event.request_class)
    )
    return Queued(
        event.request_id,
        event.request_class,
        event.account,
        max(account.weight, 1) if account else 1,
        min(event.deadline_ms - options.service_reserve_ms, event.now_ms + max_wait_ms),
    )


def _acquire(
    state: LimitsState, key: str, request_id: str, now_ms: Millis
) -> tuple[LimitsState, bool]:
    share = state.shares.get(key) or new_share(now_ms)
    entries = max(len(state.entries), 1)
    limits = limits_of(state.catalogue, key)
    share, acquired = acquire(share, limits, entries, now_ms)
    state = _set_share(state, key, share)
    if not acquired:
        return state, False
    tracked = state.requests[request_id]
    tracked = tracked._replace(
        pending_keys=tracked.pending_keys[1:],
        acquired_keys=(*tracked.acquired_keys, key),
        acquired_at_ms=now_ms,
    )
    return state._replace(requests=state.requests.set(request_id, tracked)), True


def _accept_grant(
    state: LimitsState,
    granted: ShareGranted,
    now_ms: Millis,
    effects: list[LimitsEffect],
) -> LimitsState:
    key = granted.key
    limits = limits_of(state.catalogue, key)
    share, exhausted = apply_grant(state.shares[key], granted, limits)
    state = _set_share(state, key, share)
    state = state._replace(awaiting_grant=_without_key(state, key))
    return _resume_waiting(state, key, now_ms, effects, exhausted=exhausted)


def _resume_waiting(
    state: LimitsState,
    key: str,
    now_ms: Millis,
    effects: list[LimitsEffect],
    *,
    exhausted: bool,
) -> LimitsState:
    """Resume or refuse the requests that waited for a grant."""
    waiting = state.shares[key].waiting
    for request_id in waiting:
        state, acquired = _acquire(state, key, request_id, now_ms)
        if not acquired and not exhausted:
            return request_from_home(state, key, now_ms, effects)
        share = state.shares[key]
        state = _set_share(state, key, share._replace(waiting=share.waiting[1:]))
        if acquired:
            state = check_limits(state, request_id, now_ms, effects)
        else:
            state = _refuse_limit(state, key, request_id, now_ms, effects)
    return state


def _refuse_limit(
    state: LimitsState,
    key: str,
    request_id: str,
    now_ms: Millis,
    effects: list[LimitsEffect],
) -> LimitsState:
    kind, _, name = key.partition(":")
    refusal_kind = (
        RefusalKind.ACCOUNT_LIMIT if kind == "account" else RefusalKind.WORKLOAD_LIMIT
    )
    refusal = Refusal(refusal_kind, name, state.shares[key].retry_after_ms)
    return refuse(state, request_id, refusal, now_ms, effects)


def _set_share(state: LimitsState, key: str, share: Share) -> LimitsState:
    return state._replace(shares=state.shares.set(key, share))


def _without_key(state: LimitsState, key: str) -> Map[str, None]:
    return (
        state.awaiting_grant.delete(key)
        if key in state.awaiting_grant
        else state.awaiting_grant
    )
