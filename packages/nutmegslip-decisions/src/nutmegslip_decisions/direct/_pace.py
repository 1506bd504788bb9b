"""Limit the open slots of lock-step groups to bound the event gaps of streams.

Answers the load pattern in which more streams than a group can serve on time fill
every slot: a forward pass takes longer with more streams in flight, until the gaps
of all streams exceed the route's bound. Closing a few slots keeps the other streams
on time. Each group has its own share of open slots, since a slow rank or a poor
expert map slows only the streams of its group. Before a gap was measured a part of
the slots stays closed: after the start of all entries at once, every request that was
lost comes back at the same time. A group that is too slow to complete an answer
within the deadline gets only a few requests as probes.
"""

from nutmegslip_decisions.direct._budget import load_of
from nutmegslip_decisions.direct._state import State

TARGET_SHARE = 0.75  # of the bound; a pass takes up to a third longer than the mean
GAIN = 0.5  # pass time grows with about the square root of streams in flight
INITIAL_SHARE = 0.75  # of a group without a measured gap
MIN_SHARE = 0.5  # below it the ranks' fixed cost per pass outweighs the gain
MAX_GAP_RATIO = 2.5  # times the bound; 25 events then take the 8 s that callers wait
PROBE_SHARE = 0.05  # of slots, to detect that a group beyond the ratio has recovered


def with_pace(state: State, service: str, group: str, gap_ms: float) -> State:
    """Open or close slots of a group by its measured mean event gap."""
    bound_ms = state.table.gap_bound_ms(service) if state.table else 0
    if not bound_ms:
        return state
    load = load_of(state, service)
    target_ms = TARGET_SHARE * bound_ms
    change = GAIN * (target_ms - gap_ms) / target_ms
    min_share = PROBE_SHARE if gap_ms > MAX_GAP_RATIO * bound_ms else MIN_SHARE
    share = open_share(state, service, group) * (1 + change)
    share = min(max(share, min_share), 1.0)
    changed = load._replace(open_shares=load.open_shares.set(group, share))
    return state._replace(loads=state.loads.set(service, changed))


def open_share(state: State, service: str, group: str) -> float:
    """Return the share of a group's slots that are open."""
    found = load_of(state, service).open_shares.get(group)
    if found is not None:
        return found
    has_bound = state.table is not None and state.table.gap_bound_ms(service) > 0
    return INITIAL_SHARE if has_bound else 1.0
