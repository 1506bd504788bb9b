"""Promise refused callers a time to come back, and recognise them then.

Answers the load pattern in which callers that were refused come back into a queue that
is as long as before, and are refused for good: a caller comes back once, to any entry.
Each entry promises a part of its share of the slots that become free, a few for each
half second, so that callers do not come back together. A promised caller may
wait longer, as its first objective has passed, and goes ahead of new ones of its rank
once it has waited for half of that. The part is bounded: if all that were refused
went ahead at once, every answer would be late.

It is recognised by a hash of what it asks for and of its account, which the entries
report to each other, since its request has a new id.
"""

from collections import Counter
from math import ceil
from typing import NamedTuple

import xxhash
from immutables import Map

from nutmegslip_decisions.direct._budget import load_of
from nutmegslip_decisions.direct._choice import Capacity
from nutmegslip_decisions.direct._demand import entry_share, is_counted
from nutmegslip_decisions.direct._state import Promise, State
from nutmegslip_decisions.direct._types import Request
from nutmegslip_decisions.model import Millis

SPAN_MS = 500  # of the calendar; an entry of a dozen frees several slots in it
PROMISED_SHARE = 1 / 4  # of the slots that become free
GRACE_MS = 1_000  # after the promised time, for callers that come late
EARLY_MS = 50  # within which clocks and rounding differ
MAX_REPORTED_PROMISES = 64  # the next ones; keeps a report within one datagram
RETURN_WAIT_SHARE = 1 / 3  # of the time left; a stream still ends within the rest


class Delays(NamedTuple):
    """The delays from which a caller's time to come back is chosen, in ms."""

    shortest_ms: float
    longest_ms: float


def with_promise(
    state: State, request: Request, capacity: Capacity, delays: Delays, now_ms: Millis
) -> tuple[State, int | None]:
    """Promise the first time with room; return its delay, None if all is promised."""
    known = not request.fingerprint or request.fingerprint in state.promises
    if known or request.returned or not is_counted(state, request.service):
        return state, None
    hold_ms = load_of(state, request.service).hold_ms
    freed = capacity.slots / hold_ms * SPAN_MS * PROMISED_SHARE
    room = ceil(freed * entry_share(state, request.service, now_ms))
    first = ceil((now_ms + delays.shortest_ms) / SPAN_MS)
    last = int((now_ms + delays.longest_ms) / SPAN_MS)
    taken = Counter(
        promise.return_ms // SPAN_MS
        for promise in state.promises.values()
        if promise.is_own and promise.service == request.service
    )
    free = (span for span in range(first, last) if taken[span] < room)
    span = next(free, None)
    if span is None:
        return state, None
    jitter_ms = xxhash.xxh3_64_intdigest(request.request_id.encode()) % SPAN_MS
    promise = Promise(request.service, span * SPAN_MS + jitter_ms)
    state = state._replace(promises=state.promises.set(request.fingerprint, promise))
    return state, promise.return_ms - now_ms


def with_return(state: State, request: Request, now_ms: Millis) -> State:
    """Admit a request as one that comes back at the time that it was promised.

    Callers that repeat earlier, or more than once, gain nothing.
    """
    promise = state.promises.get(request.fingerprint)
    if promise is not None and promise.return_ms <= now_ms + EARLY_MS:
        state = state._replace(promises=state.promises.delete(request.fingerprint))
        request = request._replace(returned=True)
    return state._replace(requests=state.requests.set(request.ticket, request))


def return_wait_ms(request: Request) -> int:
    """Return the time for which a request may wait whose caller has come back."""
    return int((request.deadline_ms - request.arrived_ms) * RETURN_WAIT_SHARE)


def with_reported_promises(state: State, reported: Map[str, Promise]) -> State:
    """Take over what another entry has promised."""
    unknown = {
        fingerprint: promise._replace(is_own=False)
        for fingerprint, promise in reported.items()
        if fingerprint not in state.promises
    }
    if not unknown:
        return state
    return state._replace(promises=state.promises.update(unknown))


def promise_report(state: State) -> Map[str, Promise]:
    """Return what this entry has promised, the next times first."""
    own = [item for item in state.promises.items() if item[1].is_own]
    return Map(sorted(own, key=lambda item: item[1])[:MAX_REPORTED_PROMISES])


def without_expired_promises(state: State, now_ms: Millis) -> State:
    """Forget promises of callers that did not come back, or did so elsewhere."""
    kept = Map(
        {
            fingerprint: promise
            for fingerprint, promise in state.promises.items()
            if promise.return_ms + GRACE_MS > now_ms
        }
    )
    return state if len(kept) == len(state.promises) else state._replace(promises=kept)
