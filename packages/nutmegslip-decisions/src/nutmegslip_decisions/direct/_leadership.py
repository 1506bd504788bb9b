"""Choose the entry that changes expert maps, from what entries report of themselves.

Answers the pattern in which entries are restarted in turn, or the leader is frozen: a
leader stays in office until it stops or falls silent, so that one that has just
started deposes nobody, and one that is about to stop is not next in line.
"""

from typing import NamedTuple

from nutmegslip_decisions.direct._peers import fresh_peers
from nutmegslip_decisions.direct._state import State
from nutmegslip_decisions.direct._types import Standing
from nutmegslip_decisions.model import Millis

LEADER_TIMEOUT_MS = 500  # a leader reports each 100 ms
CANDIDATE_TIMEOUT_MS = 1_200  # other entries report each 500 ms while all is quiet
DISCOVERY_MS = 800  # from the start, to hear each peer once


class Tenure(NamedTuple):
    """The candidacy of this entry; it may lead from ``eligible_ms`` on.

    ``checked_ms`` is when it was last checked, None before the first time.
    """

    leads: bool = False
    eligible_ms: Millis = 0
    checked_ms: Millis | None = None


def next_tenure(
    state: State, tenure: Tenure, *, stopping: bool, busy: bool, now_ms: Millis
) -> Tenure:
    """Return whether this entry leads from now on.

    A leader that stops stays in office while it is ``busy`` with a change. One that
    was suspended for longer than its peers wait starts anew.
    """
    last_ms = tenure.checked_ms
    if last_ms is None or now_ms > last_ms + LEADER_TIMEOUT_MS:
        return Tenure(False, now_ms + DISCOVERY_MS, now_ms)
    if stopping:
        return tenure._replace(leads=tenure.leads and busy, checked_ms=now_ms)
    leads = now_ms >= tenure.eligible_ms and _is_first(state, tenure.leads, now_ms)
    return tenure._replace(leads=leads, checked_ms=now_ms)


def standing_of(
    tenure: Tenure, *, stopping: bool, fence: int, now_ms: Millis
) -> Standing:
    """Return what this entry reports of itself."""
    eligible = not stopping and tenure.checked_ms is not None
    return Standing(
        tenure.leads, eligible and now_ms >= tenure.eligible_ms, max(fence, 0)
    )


def highest_fence(state: State) -> int:
    """Return the highest fencing number that a peer has used."""
    return max((report.standing.fence for report in state.peers.values()), default=0)


def leader_silence_ms(state: State, now_ms: Millis) -> Millis:
    """Return for how long the entry that last began a change has been silent.

    0 if it no longer leads, as what it did may have been a moment ago.
    """
    last = max(
        state.peers.values(), key=lambda report: report.standing.fence, default=None
    )
    return now_ms - last.received_ms if last and last.standing.leads else 0


def _is_first(state: State, leads: bool, now_ms: Millis) -> bool:
    standings = {peer: report.standing for peer, report in state.peers.items()}
    heard = fresh_peers(state, now_ms, LEADER_TIMEOUT_MS)
    rivals = [peer for peer in heard if standings[peer].leads]
    if rivals and not leads:
        return False
    if not leads:
        heard = fresh_peers(state, now_ms, CANDIDATE_TIMEOUT_MS)
        # A leader that is silent for longer than its timeout is no candidate.
        rivals = [
            peer
            for peer in heard
            if standings[peer].may_lead and not standings[peer].leads
        ]
    own = _address_key(state.options.address)
    return all(own < _address_key(peer) for peer in rivals)


def _address_key(address: str) -> tuple[int, ...]:
    return tuple(int(part) for part in address.split("."))
