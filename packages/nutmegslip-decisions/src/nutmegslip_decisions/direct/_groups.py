"""Doubt a group of ranks as soon as one of its ranks is at fault.

Answers the pattern in which a rank dies and the published list lags by seconds: all
ranks stall, and whatever is sent meanwhile stalls with them. Callers are better told
at once to come back when the group is likely to have formed again.
"""

from nutmegslip_decisions.direct._state import GroupDoubt, State
from nutmegslip_decisions.direct._types import Upstream
from nutmegslip_decisions.model import Millis

REST_MS = 600  # the least time in which a group forms again, by the published model


def with_fault(state: State, upstream: Upstream, now_ms: Millis) -> State:
    """Close the group of an upstream for the time that it takes to form."""
    if upstream.rank is None:
        return state
    doubt = GroupDoubt(
        epoch=upstream.rank.epoch,
        closed_until_ms=now_ms + REST_MS,
    )
    return state._replace(doubts=state.doubts.set(upstream.rank.group, doubt))


def without_fault(state: State, upstream: Upstream) -> State:
    """Trust the group of an upstream that has answered."""
    if upstream.rank is None or upstream.rank.group not in state.doubts:
        return state
    return state._replace(doubts=state.doubts.delete(upstream.rank.group))


def is_usable(state: State, upstream: Upstream, now_ms: Millis) -> bool:
    """Return whether the group of an upstream may be sent a request."""
    rank = upstream.rank
    if rank is None:
        return True
    if not rank.is_open:
        return False
    doubt = state.doubts.get(rank.group)
    if doubt is None or rank.epoch > doubt.epoch:
        return True
    return now_ms >= doubt.closed_until_ms and not _in_hand(state, rank.group)


def _in_hand(state: State, group: str) -> int:
    return sum(
        state.standing(upstream.id).in_hand
        for upstream in state.upstreams.values()
        if upstream.rank is not None and upstream.rank.group == group
    )
