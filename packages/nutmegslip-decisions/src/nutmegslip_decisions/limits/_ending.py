"""Remove requests that have ended and release what they held."""

from nutmegslip_decisions.limits._homes import home_of, release_share
from nutmegslip_decisions.limits._queueing import (
    drain,
    drop_request,
    queue_of,
    set_queue,
)
from nutmegslip_decisions.limits._shares import has_idle_slots, release_slots
from nutmegslip_decisions.limits._state import LimitsState, limits_of
from nutmegslip_decisions.limits._types import LimitsEffect, Send
from nutmegslip_decisions.model import Millis


def finish(
    state: LimitsState, request_id: str, now_ms: Millis, effects: list[LimitsEffect]
) -> LimitsState:
    """Drop a request that has ended and admit queued ones in its place."""
    tracked = state.requests.get(request_id)
    if tracked is None:
        return state
    state = drop_request(state, request_id, now_ms)
    for key in tracked.acquired_keys:
        state = _release_idle(state, key, effects)
    if not tracked.admitted:
        return state
    queue = queue_of(state, tracked.workload)
    queue = queue._replace(free=queue.free + 1, ended=queue.ended + 1)
    return drain(set_queue(state, tracked.workload, queue), tracked.workload, effects)


def _release_idle(
    state: LimitsState, key: str, effects: list[LimitsEffect]
) -> LimitsState:
    share = state.shares[key]
    if not limits_of(state.catalogue, key).concurrent or not has_idle_slots(share):
        return state
    share, released = release_slots(share, key)
    state = state._replace(shares=state.shares.set(key, share))
    home = home_of(state, key)
    if home == state.own_host:
        return release_share(state, home, released)
    effects.append(Send(home, released))
    return state
