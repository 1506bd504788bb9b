"""Limit the open slots of lock-step groups to bound the event gaps of streams.

Answers the load pattern in which more streams than a group can serve on time fill
every slot: a forward pass takes longer with more streams in flight, until the gaps
of all streams exceed the route's bound. Closing a few slots keeps the other streams
on time. Each group has its own share of open slots, since a slow rank or a poor
expert map slows only the streams of its group. A group that is too slow to complete
an answer within the deadline gets only a few requests as probes.
"""

from nutmegslip_decisions.direct._budget import load_of
from nutmegslip_decisions.direct._state import State

TARGET_SHARE = 0.75  # of the bound; a pass takes up to a third longer than the mean
GAIN = 0.5  # pass time grows with about the square root of streams in flight
MIN_SHARE = 0.5  # below it the ranks' fixed cost per pass outweighs the gain
MAX_GAP_RATIO = 2.5  # times the bound; 25 events then take the 8 s that callers wait
PROBE_SHARE = 0.05  # of slots, to detect that a group beyond the ratio has recovered


def with_pace(state: State, service: str, group: str, gap_ms: float) -> State:
    """Open or close slots of a group by its measured mean event gap."""
    bound_ms = gap_bound_ms(state, service)
    if not bound_ms:
        return state
    load = load_of(state, service)
    target_ms = TARGET_SHARE * bound_ms
    change = GAIN * (target_ms - gap_ms) / target_ms
    min_share = PROBE_SHARE if gap_ms > MAX_GAP_RATIO * bound_ms else MIN_SHARE
    share = load.open_shares.get(group, 1.0) * (1 + change)
    share = min(max(share, min_share), 1.0)
    changed = load._replace(open_shares=load.open_shares.set(group, share))
    return state._replace(loads=state.loads.set(service, changed))


def gap_bound_ms(state: State, service: str) -> int:
    """Return the lowest event gap bound of a service's routes, 0 for none."""
    routes = state.configuration.routes if state.configuration else ()
    bounds = (
        route.gap_ms
        for route in routes
        if route.gap_ms and any(target.service == service for target in route.targets)
    )
    return min(bounds, default=0)
