"""Keep what is newer than the copy from which the store was restored.

Answers the load pattern in which the store comes back from a copy some seconds old
while upstreams are replaced and availability zones are taken out: until the operator
and the upstreams have written again, the list shows the past. What was believed stays
in force in the meantime, so that no request is refused on a healthy site and none is
sent to an upstream or a zone that was already out.
"""

from immutables import Map

from nutmegslip_decisions.direct._departures import was_removed
from nutmegslip_decisions.direct._last_resort import zone_deadlines
from nutmegslip_decisions.direct._state import State
from nutmegslip_decisions.direct._types import Upstream
from nutmegslip_decisions.model import Millis

REWRITE_MS = 6_000  # registrations of dead upstreams lapse after three heartbeats


def with_restored_store(state: State) -> State:
    """Keep what is believed until the store is listed again."""
    return state._replace(awaits_copy=True)


def with_copy_listed(state: State, now_ms: Millis) -> State:
    """Distrust the first list of a restored store until all was written again.

    Upstreams that the copy lacks stay in use for the rejoin time.
    """
    if not state.awaits_copy:
        return state
    return state._replace(
        awaits_copy=False,
        copy_until_ms=now_ms + REWRITE_MS,
        lapse_until_ms=max(state.lapse_until_ms, now_ms + state.options.rejoin_ms),
    )


def is_superseded(state: State, upstream: Upstream, now_ms: Millis) -> bool:
    """Return whether the copy lists an incarnation that was replaced by then."""
    if now_ms >= state.copy_until_ms:
        return False
    known = (state.upstreams.get(upstream.id), state.departures.get(upstream.id))
    return any(one is not None and one.born_ms > upstream.born_ms for one in known)


def with_revived_withheld(
    state: State, listing: tuple[Upstream, ...], now_ms: Millis
) -> State:
    """Withhold requests from listed upstreams that the copy has revived.

    They were removed before the store was restored. One that is still listed after
    the time for writing again is alive and is used.
    """
    if now_ms >= state.copy_until_ms:
        return state
    revived = {
        upstream.id: state.copy_until_ms
        for upstream in listing
        if upstream.id not in state.upstreams and was_removed(state, upstream)
    }
    return state._replace(withheld=state.withheld.update(revived))


def without_withheld(state: State, upstream_id: str) -> State:
    """Use an upstream that was written again or is no longer listed."""
    if upstream_id not in state.withheld:
        return state
    return state._replace(withheld=state.withheld.delete(upstream_id))


def with_zones_read(
    state: State, zones: frozenset[str], unmarked_ms: Millis | None, now_ms: Millis
) -> State:
    """Put the zones out of service that were read.

    While the list may be that of a copy, zones that were out stay out. At
    ``unmarked_ms`` none that is new was out, None if that is unknown.
    """
    from_copy = state.awaits_copy or now_ms < state.copy_until_ms
    out = zones | state.zones_out if from_copy else zones
    deadlines = zone_deadlines(state, out, unmarked_ms, now_ms)
    return state._replace(zones_read=zones, zones_out=out, zone_deadlines=deadlines)


def without_copy(state: State, now_ms: Millis) -> State:
    """Trust the list again once everything was written again."""
    if not state.copy_until_ms or now_ms < state.copy_until_ms or state.awaits_copy:
        return state
    return state._replace(copy_until_ms=0, withheld=Map(), zones_out=state.zones_read)
