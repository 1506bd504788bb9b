"""Remember how many requests an upstream says that it takes.

Answers the load pattern in which an upstream in need names in its answers the rate of
requests that it takes from all entries together, changes it, and ends it by naming
none. Answers overtake each other, so one without a rate ends a limit only if its
request was sent after the limit was last named.
"""

from nutmegslip_decisions.direct._state import State
from nutmegslip_decisions.direct._types import NamedLimit, Upstream
from nutmegslip_decisions.model import Millis

REMEMBER_END_MS = 30_000  # until late answers and reports can no longer bring it back


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
    limit = NamedLimit(upstream.born_ms, per_s, now_ms)
    return state._replace(named_limits=state.named_limits.set(upstream.id, limit))


def without_expired_limits(state: State, now_ms: Millis) -> State:
    """Forget limits of removed incarnations, and ends of limits after a while."""
    limits = state.named_limits
    for upstream_id, limit in state.named_limits.items():
        listed = state.upstreams.get(upstream_id)
        ended = limit.per_s is None and limit.named_ms + REMEMBER_END_MS <= now_ms
        if ended or listed is None or listed.born_ms != limit.born_ms:
            limits = limits.delete(upstream_id)
    if limits is state.named_limits:
        return state
    return state._replace(named_limits=limits)
