"""Move streams from a very slow rank to another one of its group.

Answers the load pattern in which a rank turns slow with streams in flight: they would
last many times as long as usual, and every pass of the group with them. A stream that
may be resumed goes on at another rank after its next event, within its attempts and
the retry budget. As it stays in its group, it needs no slot that the pace opens.
"""

from nutmegslip_decisions.direct._budget import retry_budget
from nutmegslip_decisions.direct._choice import capacity_of, choose
from nutmegslip_decisions.direct._events import Moved
from nutmegslip_decisions.direct._failures import may_retry
from nutmegslip_decisions.direct._slow_ranks import avoided_ranks
from nutmegslip_decisions.direct._state import State
from nutmegslip_decisions.direct._types import Request, Upstream
from nutmegslip_decisions.model import Millis

MOVE_FACTOR = 3.0  # below it reading the prompt again costs about as much


def should_move(state: State, ticket: int, now_ms: Millis) -> bool:
    """Return whether a stream is better resumed at another rank now."""
    if not state.slow_ranks:
        return False
    request = state.requests.get(ticket)
    slow = request and state.slow_ranks.get(request.upstream)
    if not slow or slow.slowness < MOVE_FACTOR:
        return False
    if request.upstream not in avoided_ranks(state, request.service):
        return False
    if not may_retry(state, request, Moved(), now_ms):
        return False
    if retry_budget(state, request.service, now_ms).is_spent:
        return False  # a stream that has left its rank could not go on
    return rank_to_move_to(state, request, request.upstream, now_ms) is not None


def rank_to_move_to(
    state: State, request: Request, left: str, now_ms: Millis
) -> Upstream | None:
    """Return a rank of the group of ``left``, where a stream was, for its rest."""
    upstream = state.upstreams.get(left)
    if upstream is None:
        return None
    group = upstream.group
    capacity = capacity_of(state, request.service, now_ms, open_group=group)
    ranks = tuple(c for c in capacity.candidates if c.upstream.group == group)
    return choose(state, capacity._replace(candidates=ranks), request, now_ms)
