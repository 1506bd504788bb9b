"""Deliver answers to callers: each piece exactly once and in order."""

from nutmegslip_decisions import streams, work
from nutmegslip_decisions.entry._events import Deliver, EntryEffect
from nutmegslip_decisions.entry._requests import complete, put, request_of
from nutmegslip_decisions.entry._state import EntryState, Request
from nutmegslip_decisions.model import Millis

Step = tuple[EntryState, tuple[EntryEffect, ...]]


def deliver_pieces(
    state: EntryState, batches: tuple[work.Pieces, ...], now_ms: Millis
) -> Step:
    """Deliver the pieces that are next in order, for several requests."""
    entry_effects: list[EntryEffect] = []
    changed: dict[str, Request] = {}
    for batch in batches:
        request_id = state.attempts.get(batch.attempt_id, "")
        request = changed.get(request_id) or state.requests.get(request_id)
        if request is None:
            continue
        assembly, ready = streams.add_pieces(
            request.assembly, batch.first, batch.pieces
        )
        changed[request_id] = request._replace(assembly=assembly)
        if ready:
            entry_effects.append(Deliver(request_id, ready))
    state = state._replace(requests=state.requests.update(changed))
    for request_id, request in changed.items():
        if streams.is_complete(request.assembly):
            end = (200, "text/event-stream", b"")
            state, more = complete(state, request_id, end, now_ms)
            entry_effects += more
    return state, tuple(entry_effects)


def handle_finished(state: EntryState, finished: work.Finished, now_ms: Millis) -> Step:
    """Handle the end of an answer; earlier pieces may still be in transit."""
    request = request_of(state, finished.attempt_id)
    if request is None:
        return state, ()
    answer = (finished.status, finished.content_type, finished.body)
    assembly = streams.set_total(request.assembly, finished.total)
    if not streams.is_complete(assembly):
        # Pieces that were sent before the end are still in transit.
        return put(state, request._replace(assembly=assembly)), ()
    return complete(state, request.request_id, answer, now_ms)
