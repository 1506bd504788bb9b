"""Suspect a group of ranks as soon as one of its ranks is at fault.

Answers the load pattern in which a rank dies and the published list lags by seconds:
all ranks stall, and so does every request sent meanwhile. A rank at whose address
nothing listens, or that publishes its group as broken, speaks for all ranks, also for
those whose entries are not removed yet. Nothing is sent to the group for a while.
"""

from nutmegslip_decisions.direct._state import GroupSuspicion, State
from nutmegslip_decisions.direct._types import Upstream
from nutmegslip_decisions.model import Millis

MIN_FORM_MS = 600  # shortest time to form a group, by the published model


def with_suspicion(state: State, upstream: Upstream, now_ms: Millis) -> State:
    """Close the group of an upstream for the shortest time to form it again.

    What concerns an earlier epoch says nothing of the group as it is now.
    """
    if upstream.rank is None:
        return state
    known = state.suspicions.get(upstream.rank.group)
    if known is not None and known.epoch > upstream.rank.epoch:
        return state
    suspicion = GroupSuspicion(
        epoch=upstream.rank.epoch,
        closed_until_ms=now_ms + MIN_FORM_MS,
    )
    return state._replace(
        suspicions=state.suspicions.set(upstream.rank.group, suspicion)
    )


def without_suspicion(state: State, upstream: Upstream) -> State:
    """End the suspicion of the group of an upstream that has answered."""
    if upstream.rank is None or upstream.rank.group not in state.suspicions:
        return state
    return state._replace(suspicions=state.suspicions.delete(upstream.rank.group))


def is_open(upstream: Upstream) -> bool:
    """Return whether the group of an upstream is published as open."""
    return upstream.rank is not None and upstream.rank.is_open


def is_usable(state: State, upstream: Upstream, now_ms: Millis) -> bool:
    """Return whether the group of an upstream may receive a request."""
    rank = upstream.rank
    if rank is None:
        return True
    if not rank.is_open:
        return False
    suspicion = state.suspicions.get(rank.group)
    if suspicion is None or rank.epoch > suspicion.epoch:
        return True
    return now_ms >= suspicion.closed_until_ms and not _group_in_flight(
        state, rank.group
    )


def _group_in_flight(state: State, group: str) -> int:
    return sum(
        state.stats_of(upstream.id).in_flight
        for upstream in state.upstreams.values()
        if upstream.rank is not None and upstream.rank.group == group
    )
