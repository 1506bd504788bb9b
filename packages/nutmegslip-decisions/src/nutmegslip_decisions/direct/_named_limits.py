"""Remember how many requests an upstream says that it takes.

Answers the load pattern in which an upstream in need names in its answers the rate of
requests that it takes from all entries together, changes it, and ends it by naming
none. Answers overtake each other, so one without a rate ends a limit only if its
request was sent after the limit was last named. Entries report to each other what they
have learned lately, as most of them send such an upstream nothing and would not see the
end.
"""

from immutables import Map

from nutmegslip_decisions.direct._state import State
from nutmegslip_decisions.direct._types import NamedLimit, Upstream
from nutmegslip_decisions.model import Millis

REPORT_MS = 3_000  # long enough for several reports to be lost
MAX_REPORTED_LIMITS = 16  # those named last; keeps a report within one datagram
REMEMBER_ENDED_MS = 30_000  # until late answers and reports can no longer bring it back


def with_named_limit(
    state: State,
    upstream: Upstream,
    per_s: float | None,
    sent_ms: Millis | None,
    now_ms: Millis,
) -> State:
    """Record what an incarnation has said in the answer to a request."""
    listed = state.upstreams.get(upstream.id)
    if listed is None or listed.born_ms != upstream.born_ms:
        return state
    known = state.limit_of(upstream)
    if per_s is None and (known is None or sent_ms is None or sent_ms < known.named_ms):
        return state
    return _with_limit(state, upstream, NamedLimit(upstream.born_ms, per_s, now_ms))


def with_reported_limits(
    state: State, peer: str, reported: Map[str, NamedLimit]
) -> State:
    """Take over limits, and ends of limits, that a peer has learned later."""
    for upstream_id, limit in reported.items():
        listed = state.upstreams.get(upstream_id)
        if listed is None or listed.born_ms != limit.born_ms:
            continue
        known = state.named_limits.get(upstream_id)
        if known is None and limit.per_s is None:
            continue
        same_born = known is not None and known.born_ms == limit.born_ms
        if not same_born or limit.named_ms > known.named_ms:
            state = _with_limit(state, listed, limit._replace(peer=peer))
    return state


def limit_report(state: State, now_ms: Millis) -> Map[str, NamedLimit]:
    """Return what upstreams have lately said to this entry itself."""
    recent = [
        (upstream_id, limit)
        for upstream_id, limit in state.named_limits.items()
        if not limit.peer and limit.named_ms + REPORT_MS > now_ms
    ]
    latest = sorted(recent, key=lambda item: item[1].named_ms, reverse=True)
    return Map(latest[:MAX_REPORTED_LIMITS])


def _with_limit(state: State, upstream: Upstream, limit: NamedLimit) -> State:
    """Store a limit; the credit of one that is new starts without recent requests."""
    if state.limit_of(upstream) is None and limit.per_s is not None:
        stats = state.stats_of(upstream.id)
        if stats.sent.count(limit.named_ms):
            stats = stats._replace(credit=0.0, credit_ms=limit.named_ms)
            upstream_stats = state.upstream_stats.set(upstream.id, stats)
            state = state._replace(upstream_stats=upstream_stats)
    limits = state.named_limits.set(upstream.id, limit)
    return state._replace(named_limits=limits)


def without_expired_limits(state: State, now_ms: Millis) -> State:
    """Forget what other incarnations have said, and after a while what has ended.

    The registration of an upstream may lapse and come back.
    """
    limits = state.named_limits
    for upstream_id, limit in state.named_limits.items():
        listed = state.upstreams.get(upstream_id)
        ended = limit.per_s is None or listed is None
        replaced = listed is not None and listed.born_ms != limit.born_ms
        if replaced or (ended and limit.named_ms + REMEMBER_ENDED_MS <= now_ms):
            limits = limits.delete(upstream_id)
    if limits is state.named_limits:
        return state
    return state._replace(named_limits=limits)
