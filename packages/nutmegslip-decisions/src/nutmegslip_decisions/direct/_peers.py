"""Sum the requests that other entries have in flight, and the demand they report.

Answers the load pattern in which hundreds of entries report ten times a second: a
report changes the totals by its difference from the previous one, so that a choice
reads one number for each upstream, independent of the number of entries.

An entry that is cut off from the others may still reach upstreams, so both sides go on
counting each other among those that share the limits for longer than a partition lasts.
"""

from typing import TypeVar

from immutables import Map

from nutmegslip_decisions.direct._part_evidence import with_inherited
from nutmegslip_decisions.direct._spending import (
    with_silent_peer,
    with_spending_report,
)
from nutmegslip_decisions.direct._state import PeerReport, State
from nutmegslip_decisions.model import Millis

STALE_AFTER_MS = 1_500  # without a report; the peer's counts are then dropped
EXPIRE_AFTER_MS = 10_000  # without a report; the peer is then taken for gone
UNSHARE_AFTER_MS = 60_000  # its share of the limits then goes to the others

_Key = TypeVar("_Key")


def with_report(state: State, peer: str, report: PeerReport) -> State:
    """Replace the last report of a peer."""
    old = state.peers.get(peer)
    peer_in_flight = _with_counts_replaced(
        state.peer_in_flight, old.in_flight if old else Map(), report.in_flight
    )
    peer_demand = _with_counts_replaced(
        state.peer_demand, old.demand if old else Map(), report.demand
    )
    state = with_spending_report(state, peer, old, report.spending, report.received_ms)
    return state._replace(
        peers=state.peers.set(peer, report),
        sharing=state.sharing.set(peer, report.received_ms),
        peer_in_flight=peer_in_flight,
        peer_demand=peer_demand,
    )


def without_stale(state: State, now_ms: Millis) -> State:
    """Drop the counts of stale peers, and remove expired peers."""
    for peer, report in state.peers.items():
        if report.received_ms + STALE_AFTER_MS > now_ms:
            continue
        state = with_silent_peer(state, peer, report)
        if report.paces:
            report = report._replace(paces=Map())
            state = state._replace(peers=state.peers.set(peer, report))
        if report.in_flight or report.demand:
            silent = report._replace(in_flight=Map(), demand=Map())
            state = state._replace(
                peers=state.peers.set(peer, silent),
                peer_in_flight=_with_counts_replaced(
                    state.peer_in_flight, report.in_flight, Map()
                ),
                peer_demand=_with_counts_replaced(
                    state.peer_demand, report.demand, Map()
                ),
            )
        if report.received_ms + EXPIRE_AFTER_MS < now_ms:
            parts = with_inherited(state.parts, report.parts.crashes)
            state = state._replace(peers=state.peers.delete(peer), parts=parts)
    for peer, heard_ms in state.sharing.items():
        if heard_ms + UNSHARE_AFTER_MS < now_ms:
            state = state._replace(sharing=state.sharing.delete(peer))
    return state


def fresh_peers(state: State, now_ms: Millis, max_age_ms: int) -> list[str]:
    """Return the peers that have reported within the last ``max_age_ms``."""
    return [
        peer
        for peer, report in state.peers.items()
        if report.received_ms + max_age_ms > now_ms
    ]


def _with_counts_replaced(
    totals: Map[_Key, int], old: Map[_Key, int], new: Map[_Key, int]
) -> Map[_Key, int]:
    with totals.mutate() as changed:
        for key, count in old.items():
            changed[key] = changed.get(key, 0) - count
        for key, count in new.items():
            changed[key] = changed.get(key, 0) + count
        for key in old:
            if not changed.get(key):
                changed.pop(key, None)
        return changed.finish()
