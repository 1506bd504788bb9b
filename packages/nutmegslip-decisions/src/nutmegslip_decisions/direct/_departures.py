"""Remember which incarnations of upstreams leave or have gone.

Answers the load pattern in which upstreams are replaced one after the other while the
store lags, is unreachable, or comes back from a copy: a copy lists upstreams as ready
that have left since, and a leaving upstream says so in its answers before the list
does. Requests sent there after the drain time would be cut off.
"""

from nutmegslip_decisions.direct._state import Departure, State
from nutmegslip_decisions.direct._types import Upstream
from nutmegslip_decisions.model import Millis

REMEMBER_MS = 600_000  # no upstream serves for this long after it was removed


def announces_leaving(state: State, upstream: Upstream) -> bool:
    """Return whether this incarnation has said that it leaves."""
    departure = state.departures.get(upstream.id)
    return (
        departure is not None
        and departure.announced
        and departure.born_ms == upstream.born_ms
    )


def was_removed(state: State, upstream: Upstream) -> bool:
    """Return whether this incarnation was removed from the list before."""
    departure = state.departures.get(upstream.id)
    return departure is not None and departure.born_ms == upstream.born_ms


def with_announcement(state: State, upstream: Upstream, now_ms: Millis) -> State:
    """Record that an incarnation leaves, until it is replaced by another one."""
    listed = state.upstreams.get(upstream.id)
    if listed is not None and listed.born_ms != upstream.born_ms:
        return state  # the address or the id belongs to another incarnation by now
    if listed is not None:
        leaving = listed._replace(leaving=True)
        state = state._replace(upstreams=state.upstreams.set(leaving.id, leaving))
    forget_ms = None if listed is not None else now_ms + REMEMBER_MS
    return _with_departure(state, upstream, True, forget_ms)


def with_other_announcement(state: State, upstream: Upstream, now_ms: Millis) -> State:
    """Record that another upstream that has the address of ``upstream`` leaves."""
    others = [
        other
        for other in state.upstreams.values()
        if (other.host, other.port) == (upstream.host, upstream.port)
        and other.id != upstream.id
    ]
    for other in others:
        state = with_announcement(state, other, now_ms)
    return state


def with_removal(state: State, upstream: Upstream, now_ms: Millis) -> State:
    """Record that an incarnation was removed from the list."""
    return _with_departure(state, upstream, upstream.leaving, now_ms + REMEMBER_MS)


def without_forgotten(state: State, now_ms: Millis) -> State:
    """Forget incarnations that were removed long ago, and their statistics."""
    forgotten = [
        upstream_id
        for upstream_id, departure in state.departures.items()
        if departure.forget_ms is not None and departure.forget_ms <= now_ms
    ]
    departures, upstream_stats = state.departures, state.upstream_stats
    for upstream_id in forgotten:
        departures = departures.delete(upstream_id)
        is_idle = not state.stats_of(upstream_id).in_flight
        if upstream_id in upstream_stats and is_idle:
            upstream_stats = upstream_stats.delete(upstream_id)
    if not forgotten:
        return state
    return state._replace(departures=departures, upstream_stats=upstream_stats)


def _with_departure(
    state: State, upstream: Upstream, announced: bool, forget_ms: Millis | None
) -> State:
    departure = Departure(upstream.born_ms, announced, forget_ms)
    return state._replace(departures=state.departures.set(upstream.id, departure))
