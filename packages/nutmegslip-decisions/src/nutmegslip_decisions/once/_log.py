"""Keep an entry's log of the sidecars that each key was sent to."""

from immutables import Map

from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.once._entry_types import EntryState, KeyLog
from nutmegslip_decisions.once._membership import recently_listed
from nutmegslip_decisions.once._messages import (
    AttestReply,
    AttestRequest,
    EntryListing,
    Holder,
)
from nutmegslip_decisions.once._transfer import sweep_kept


def find_log(state: EntryState, key: str, now_ms: Millis) -> KeyLog:
    """Return the log of a key, or an empty one if there is none or it has expired."""
    log = state.logs.get(key)
    return log if log and now_ms < log.expires_ms else KeyLog()


def record_send(
    state: EntryState, key: str, holder: Holder, now_ms: Millis
) -> EntryState:
    """Log a send of a key to a sidecar; call this before sending the message."""
    log = find_log(state, key, now_ms)
    sends = log.sends.set(holder, log.sends.get(holder, 0) + 1)
    return _put(state, key, log._replace(sends=sends), now_ms)


def undo_send(
    state: EntryState, key: str, holder: Holder, now_ms: Millis
) -> EntryState:
    """Remove the log of a send that provably never left this process."""
    log = find_log(state, key, now_ms)
    count = log.sends.get(holder, 0)
    if count == 0:
        return state
    rest = log.sends.delete(holder) if count == 1 else log.sends.set(holder, count - 1)
    return _put(state, key, log._replace(sends=rest), now_ms)


def bind(
    state: EntryState, request: AttestRequest, now_ms: Millis
) -> tuple[EntryState, AttestReply]:
    """Report every holder of a key, and bind the key to them and the requester."""
    log = find_log(state, request.key, now_ms)
    requester = Holder(request.host, request.incarnation)
    bound = log._replace(bound_to=log.bound_to | {requester})
    return _put(state, request.key, bound, now_ms), _attest(state, request, log, now_ms)


def release(state: EntryState, key: str, holder: Holder, now_ms: Millis) -> EntryState:
    """Unbind a key from a sidecar that has promised never to start it."""
    log = find_log(state, key, now_ms)
    if holder not in log.bound_to:
        return state
    # It remains a holder: another sidecar needs its promise as well.
    sends = log.sends.set(holder, max(1, log.sends.get(holder, 0)))
    released = log._replace(sends=sends, bound_to=log.bound_to - {holder})
    return _put(state, key, released, now_ms)


def sweep(state: EntryState, now_ms: Millis) -> EntryState:
    """Drop the logs that have expired."""
    kept = {key: log for key, log in state.logs.items() if now_ms < log.expires_ms}
    next_sweep_ms = now_ms + state.options.margin_ms
    return state._replace(
        logs=Map(kept),
        transfer=sweep_kept(state.transfer, now_ms),
        next_sweep_ms=next_sweep_ms,
    )


def _put(state: EntryState, key: str, log: KeyLog, now_ms: Millis) -> EntryState:
    kept = log._replace(expires_ms=now_ms + state.options.memory_ms)
    return state._replace(logs=state.logs.set(key, kept))


def _attest(
    state: EntryState, request: AttestRequest, log: KeyLog, now_ms: Millis
) -> AttestReply:
    listings = state.members.entries
    recent = recently_listed(listings, now_ms, state.options.memory_ms)
    return AttestReply(
        entry=state.host,
        incarnation=state.incarnation,
        to_incarnation=request.incarnation,
        gather=request.gather,
        key=request.key,
        holders=tuple(sorted(log.holders, key=lambda h: (h.host, h.incarnation))),
        remembers_ms=now_ms - state.started_ms,
        history_ms=max(0, now_ms - state.members.complete_since_ms),
        entries=tuple(
            EntryListing(host, now_ms - listings[host].first_ms)
            for host in sorted(recent)
        ),
    )
