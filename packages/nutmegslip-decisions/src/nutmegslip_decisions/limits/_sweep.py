"""Handle expired deadlines and run periodic maintenance."""

from nutmegslip_decisions.limits import _home, _shares
from nutmegslip_decisions.limits._admission import request_from_home, use_fallback
from nutmegslip_decisions.limits._queue import FairQueue
from nutmegslip_decisions.limits._queueing import MIN_RETRY_MS, refuse
from nutmegslip_decisions.limits._state import LimitsState, limits_of
from nutmegslip_decisions.limits._types import LimitsEffect, Refusal, RefusalKind
from nutmegslip_decisions.model import Millis

DRAIN_SMOOTHING = 0.5


def expire(
    state: LimitsState, now_ms: Millis, effects: list[LimitsEffect]
) -> LimitsState:
    """Refuse requests past their queue deadline; use fallbacks for timed-out homes."""
    overdue = [
        request_id
        for request_id in sorted(state.waiting)
        if state.requests[request_id].queued.queue_deadline_ms <= now_ms
    ]
    for request_id in overdue:
        workload = state.requests[request_id].workload
        refusal = Refusal(RefusalKind.QUEUE_TIMEOUT, workload, MIN_RETRY_MS)
        state = refuse(state, request_id, refusal, now_ms, effects)
    unanswered = [
        key
        for key in sorted(state.awaiting_grant)
        if state.shares[key].grant_deadline_ms <= now_ms
    ]
    for key in unanswered:
        state = use_fallback(state, key, now_ms, effects)
    return state


def sweep(
    state: LimitsState, now_ms: Millis, effects: list[LimitsEffect]
) -> LimitsState:
    """Renew shares in use, drop idle ones and measure the drain rate of queues."""
    if now_ms < state.sweep_at_ms:
        return state
    state = _forget_idle(state, now_ms)
    state = _measure_drain(state)
    state = state._replace(sweep_at_ms=now_ms + state.options.sweep_interval_ms)
    options = state.options
    expiring = [
        key
        for key, share in sorted(state.shares.items())
        if _shares.needs_renewal(
            share, limits_of(state.catalogue, key), options, now_ms
        )
    ]
    for key in expiring:
        state = request_from_home(state, key, now_ms, effects)
    return state


def _forget_idle(state: LimitsState, now_ms: Millis) -> LimitsState:
    shares, homes = state.shares, state.homes
    for key, share in state.shares.items():
        if _shares.is_idle(share, now_ms):
            shares = shares.delete(key)
    for key, home in state.homes.items():
        if _home.is_idle(home, limits_of(state.catalogue, key), now_ms):
            homes = homes.delete(key)
    return state._replace(shares=shares, homes=homes)


def _measure_drain(state: LimitsState) -> LimitsState:
    queues = state.queues
    for workload, queue in state.queues.items():
        queues = queues.set(
            workload, _with_drain_rate(queue, state.options.sweep_interval_ms)
        )
    return state._replace(queues=queues)


def _with_drain_rate(queue: FairQueue, sweep_interval_ms: int) -> FairQueue:
    """Return the queue with its drain rate updated.

    The rate shows the capacity only while requests wait, so it is unknown for an
    empty queue.
    """
    is_busy = queue.length > 0
    if not (is_busy and queue.was_busy):
        return queue._replace(ended=0, was_busy=is_busy, drain_per_s=0.0)
    rate = queue.ended * 1_000 / sweep_interval_ms
    known = queue.drain_per_s or rate
    smoothed = known + (rate - known) * DRAIN_SMOOTHING
    return queue._replace(ended=0, was_busy=True, drain_per_s=smoothed)
