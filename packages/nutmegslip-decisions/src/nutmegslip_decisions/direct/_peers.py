"""Add up what other entries have in hand at each upstream.

Answers the pattern in which hundreds of entries report ten times a second: a report
moves the totals by what differs from the one before, so that a choice reads one
number for each upstream, however many entries there are.
"""

from immutables import Map

from nutmegslip_decisions.direct._state import PeerView, State
from nutmegslip_decisions.model import Millis

FRESH_MS = 1_500  # a peer that is silent for longer counts as stopped
FORGOTTEN_MS = 10_000  # then its share of the bounds goes back to the others


def with_report(
    state: State, peer: str, in_hand: Map[str, int], now_ms: Millis
) -> State:
    """Put a peer's report in place of its last one."""
    old = state.peers.get(peer)
    elsewhere = _moved(state.elsewhere, old.in_hand if old else Map(), in_hand)
    peers = state.peers.set(peer, PeerView(now_ms, in_hand))
    return state._replace(peers=peers, elsewhere=elsewhere)


def without_silent(state: State, now_ms: Millis) -> State:
    """Drop what silent peers reported, and forget those silent for long."""
    for peer, view in state.peers.items():
        if view.in_hand and view.heard_ms + FRESH_MS <= now_ms:
            state = state._replace(
                peers=state.peers.set(peer, view._replace(in_hand=Map())),
                elsewhere=_moved(state.elsewhere, view.in_hand, Map()),
            )
        if view.heard_ms + FORGOTTEN_MS < now_ms:
            state = state._replace(peers=state.peers.delete(peer))
    return state


def fresh_peers(state: State, now_ms: Millis, silent_ms: int) -> list[str]:
    """Return the entries that were heard within a time."""
    return [
        peer for peer, view in state.peers.items() if view.heard_ms + silent_ms > now_ms
    ]


def _moved(
    totals: Map[str, int], old: Map[str, int], new: Map[str, int]
) -> Map[str, int]:
    with totals.mutate() as changed:
        for upstream_id, count in old.items():
            changed[upstream_id] = changed.get(upstream_id, 0) - count
        for upstream_id, count in new.items():
            changed[upstream_id] = changed.get(upstream_id, 0) + count
        for upstream_id in old:
            if not changed.get(upstream_id):
                changed.pop(upstream_id, None)
        return changed.finish()
