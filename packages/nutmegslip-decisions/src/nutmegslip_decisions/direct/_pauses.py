"""Send nothing to an upstream for as long as it has asked.

Answers the load pattern in which an overloaded upstream rejects requests and names
the time for which it wants none: each further request costs it work and comes back
rejected. Requests go to other upstreams, wait, or are rejected with the time at which
the first upstream accepts requests again.
"""

from nutmegslip_decisions.direct._state import State
from nutmegslip_decisions.direct._types import Upstream
from nutmegslip_decisions.model import Millis

MAX_PAUSE_MS = 300_000  # a longer pause is more likely a wrong unit


def with_pause(
    state: State, upstream: Upstream, asked_ms: int | None, now_ms: Millis
) -> State:
    """Pause an incarnation; ``asked_ms`` is None where its value was unreadable."""
    listed = state.upstreams.get(upstream.id)
    if asked_ms is None or listed is None or listed.born_ms != upstream.born_ms:
        return state
    stats = state.stats_of(upstream.id)
    until_ms = max(stats.paused_until_ms, now_ms + min(asked_ms, MAX_PAUSE_MS))
    paused = stats._replace(paused_until_ms=until_ms)
    return state._replace(upstream_stats=state.upstream_stats.set(upstream.id, paused))


def is_paused(state: State, upstream_id: str, now_ms: Millis) -> bool:
    """Return whether an upstream has asked for no requests at this time."""
    return state.stats_of(upstream_id).paused_until_ms > now_ms
