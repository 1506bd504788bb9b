"""Hold lock-stepped streams to a pace that is on time.

Answers the pattern in which more streams than a group can carry at pace fill every
slot: each pass grows with the streams in hand until the pauses of all of them pass
the route's bound. A few slots left empty keep all the others on time. Each group has
its own share, since one with a slow rank or a poor map slows only its own streams. One
so slow that an answer cannot be whole in time is sent next to nothing.
"""

from nutmegslip_decisions.direct._budget import load_of
from nutmegslip_decisions.direct._state import State

TARGET_SHARE = 0.75  # of the bound; single passes are up to a third over the mean
GAIN = 0.5  # a pass grows with about the square root of the streams in hand
MIN_SHARE = 0.5  # below it the ranks' fixed costs waste more than the pace wins
MAX_GAP_RATIO = 2.5  # times the bound: 25 events then take the 8 s that callers wait
PROBE_SHARE = 0.05  # of slots, to see when a hopeless group is back


def with_pace(state: State, service: str, group: str, gap_ms: float) -> State:
    """Open or close slots of a group after its pace was measured."""
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
    """Return the shortest bound on pauses among a service's routes, 0 for none."""
    routes = state.configuration.routes if state.configuration else ()
    bounds = (
        route.gap_ms
        for route in routes
        if route.gap_ms and any(target.service == service for target in route.targets)
    )
    return min(bounds, default=0)
