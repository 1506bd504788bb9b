"""Choose the entry that changes expert maps.

Answers the load pattern in which entries are restarted one after the other while the
popularity of experts shifts: the candidate with the lowest address leads. An entry is
no candidate before it knows its peers, nor while it stops and has no change in
progress, so that another one leads in the meantime. Two leaders are harmless, since
ranks refuse the lower fencing number.
"""

from nutmegslip_decisions.direct._state import State
from nutmegslip_decisions.model import Millis

CANDIDATE_TIMEOUT_MS = 900  # heartbeats come every 500 ms
PEER_DISCOVERY_MS = 2_500  # in which a started entry hears from its peers


def is_candidate(
    started_ms: Millis, now_ms: Millis, *, stopping: bool, changing: bool
) -> bool:
    """Return whether an entry may lead; ``changing`` is whether it changes a map."""
    if stopping:
        return changing
    return now_ms >= started_ms + PEER_DISCOVERY_MS


def is_first_candidate(state: State, address: str, now_ms: Millis) -> bool:
    """Return whether no peer with a lower address may lead."""
    return all(
        _address_key(address) < _address_key(peer)
        for peer, report in state.peers.items()
        if report.is_candidate and report.received_ms + CANDIDATE_TIMEOUT_MS > now_ms
    )


def _address_key(address: str) -> tuple[int, ...]:
    return tuple(int(part) for part in address.split("."))
