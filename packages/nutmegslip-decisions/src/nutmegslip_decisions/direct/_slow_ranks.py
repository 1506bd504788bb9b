"""Keep streams away from ranks that are much slower than the rest of their group.

Answers the load pattern in which one rank of a lock-step group turns slow: each pass
lasts as long as its slowest rank, so the streams that this rank serves make those of
all other ranks late. The entry that changes expert maps reads how slow each rank
reports itself to be, and tells the others. A slow rank gets no new streams while the
rest of its group is large enough, and streams on a very slow one go on at another
rank. A report that is not repeated lapses.
"""

from itertools import chain

from immutables import Map

from nutmegslip_decisions.direct._state import SlowRank, State
from nutmegslip_decisions.direct._types import Upstream
from nutmegslip_decisions.model import Millis

SLOW_FACTOR = 1.3  # of the usual time; loads of ranks differ by less
LIFETIME_MS = 2_500  # of a report; two of them may be lost
MAX_AVOIDED_SHARE = 0.34  # of a group's ranks; more cannot be spared


def with_rank_read(
    state: State, upstream_id: str, slowness: float, now_ms: Millis
) -> State:
    """Keep how slow a rank reports itself to be to this entry."""
    known = state.slow_ranks
    if slowness >= SLOW_FACTOR:
        rank = SlowRank(slowness, now_ms + LIFETIME_MS)
        return state._replace(slow_ranks=known.set(upstream_id, rank))
    if upstream_id not in known:
        return state
    return state._replace(slow_ranks=known.delete(upstream_id))


def with_reported_slowness(
    state: State,
    peer: str,
    old: Map[str, float],
    new: Map[str, float],
    now_ms: Millis,
) -> State:
    """Take over what a peer reads, in place of what it reported before."""
    if not old and not new:
        return state
    known = state.slow_ranks
    for upstream_id in old:
        found = known.get(upstream_id)
        if found is not None and found.peer == peer:
            known = known.delete(upstream_id)
    for upstream_id, slowness in new.items():
        found = known.get(upstream_id)
        if found is None or found.peer:
            rank = SlowRank(slowness, now_ms + LIFETIME_MS, peer)
            known = known.set(upstream_id, rank)
    return state._replace(slow_ranks=known)


def without_expired_slowness(state: State, now_ms: Millis) -> State:
    """Remove what no report has confirmed for a while."""
    known = state.slow_ranks
    for upstream_id, rank in known.items():
        if rank.until_ms <= now_ms or upstream_id not in state.upstreams:
            known = known.delete(upstream_id)
    return state if known is state.slow_ranks else state._replace(slow_ranks=known)


def slowness_report(state: State) -> Map[str, float]:
    """Return the slow ranks that this entry itself has read."""
    return Map(
        {
            upstream_id: round(rank.slowness, 2)
            for upstream_id, rank in state.slow_ranks.items()
            if not rank.peer
        }
    )


def avoided_ranks(state: State, service: str) -> frozenset[str]:
    """Return the ranks of a service that get no new streams.

    None of a group of which too many are slow: the rest would be overloaded.
    """
    if not state.slow_ranks:
        return frozenset()
    slow: dict[str, list[Upstream]] = {}
    for upstream_id in state.by_service.get(service, ()):
        upstream = state.upstreams[upstream_id]
        if upstream.rank is not None and upstream_id in state.slow_ranks:
            slow.setdefault(upstream.group, []).append(upstream)
    return frozenset(
        upstream.id
        for upstream in chain.from_iterable(
            ranks for ranks in slow.values() if _can_be_spared(ranks)
        )
    )


def _can_be_spared(ranks: list[Upstream]) -> bool:
    size = ranks[0].rank.size
    return len(ranks) <= MAX_AVOIDED_SHARE * size
