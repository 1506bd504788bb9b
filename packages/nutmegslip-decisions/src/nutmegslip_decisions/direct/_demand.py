"""Count the requests that each service gets, here and at the other entries.

Answers the load pattern in which the balancer hashes callers, so that entries get
unequal numbers of requests: the slots that become free are used by the entries in
proportion to what waits and was sent of late at each, and a wait is predicted from that
share.

Entries report their counts to each other. Totals change by the difference between two
reports of a peer, so that a decision reads a few numbers for any number of entries; the
counts of a peer that is silent expire with its report.
"""

from collections import Counter
from collections.abc import Iterable

from nutmegslip_decisions.direct._budget import load_of
from nutmegslip_decisions.direct._state import OwnDemand, State
from nutmegslip_decisions.direct._types import DemandKey, Measure, Request
from nutmegslip_decisions.direct._windows import Window
from nutmegslip_decisions.model import Millis

RECENT_MS = 1_000  # of arrivals; short enough to follow a burst
SENT_MS = 2_000  # as long as a stream holds its slot; evens chance
RECENT_BUCKET_MS = 100
REFUSED_MS = 2_000  # a refused caller comes back in this time, so it still wants a slot
OTHER_ACCOUNTS = ""  # all others in common, and requests without an account


def is_counted(state: State, service: str) -> bool:
    """Return whether the requests of a service differ by urgency or account."""
    if state.configuration is not None and state.configuration.accounts is not None:
        return True
    return len(priorities_of(state, service)) > 1


def priorities_of(state: State, service: str) -> tuple[int, ...]:
    """Return the priorities of a service's routes, the most urgent first."""
    return state.table.priorities(service) if state.table is not None else ()


def with_arrival(state: State, request: Request, now_ms: Millis) -> State:
    """Count a caller's request."""
    key = (request.service, Measure.ARRIVED, str(request.priority))
    return _with_recent(state, key, RECENT_MS, now_ms)


def with_attempt(state: State, request: Request, now_ms: Millis) -> State:
    """Count a request that is sent to an upstream."""
    state = _with_recent(state, (request.service, Measure.SENT, ""), SENT_MS, now_ms)
    return _with_in_flight(state, request, 1)


def without_attempt(state: State, request: Request) -> State:
    """Count a request no longer that has left its upstream."""
    return _with_in_flight(state, request, -1)


def with_refusal(state: State, request: Request, now_ms: Millis) -> State:
    """Count a request that was refused since no slot was free in time."""
    key = (request.service, Measure.REFUSED, request.account)
    return _with_recent(state, key, REFUSED_MS, now_ms)


def without_expired_demand(state: State, now_ms: Millis) -> State:
    """Forget windows in which nothing happened of late."""
    expired = [
        key for key, seen in state.demand.recent.items() if not seen.count(now_ms)
    ]
    if not expired:
        return state
    with state.demand.recent.mutate() as recent:
        for key in expired:
            del recent[key]
        return _with_own(state, state.demand._replace(recent=recent.finish()))


def count_of(state: State, key: DemandKey, now_ms: Millis) -> int:
    """Return a count over all entries, of requests that arrived, were sent or wait."""
    return recent_count(state, key, now_ms) + state.peer_demand.get(key, 0)


def in_flight_of(state: State, key: DemandKey) -> int:
    """Return the requests in flight over all entries, by priority or by account."""
    return state.demand.in_flight.get(key, 0) + state.peer_demand.get(key, 0)


def entry_share(state: State, service: str, now_ms: Millis) -> float:
    """Return the share of the slots that become free which this entry uses.

    It follows from what waits and was sent of late at each entry. Entries that report
    no demand are taken to have as much as this one.
    """
    entries = state.serving_count()
    if not is_counted(state, service):
        return 1 / entries
    own = weight_here(state, service, now_ms)
    reported = state.peer_demand.get((service, Measure.ENTRIES, ""), 0)
    others = state.peer_demand.get((service, Measure.WEIGHT, ""), 0)
    return own / (own * max(entries - reported, 1) + others)


def account_demands(state: State, service: str, now_ms: Millis) -> Counter[str]:
    """Return the slots that each account uses or wants, over all entries."""
    demands = Counter(used_here(state, service))
    demands.update(wanted_here(state, service, now_ms))
    for (reported, measure, name), count in state.peer_demand.items():
        if reported == service and measure in (Measure.USED, Measure.WANTED):
            demands[name] += count
    return demands


def is_short(state: State, service: str, now_ms: Millis) -> bool:
    """Return whether requests wait, or were refused of late, at any entry."""
    if state.peer_demand.get((service, Measure.SHORT, "")):
        return True
    return is_short_here(state, service, now_ms)


def queued(state: State, service: str) -> Iterable[Request]:
    """Return the requests that wait at this entry."""
    return (state.requests[ticket] for ticket in state.waiting.get(service, ()))


def weight_here(state: State, service: str, now_ms: Millis) -> int:
    """Return what waits and was sent of late, at least 1 as any entry may get some."""
    waiting = len(state.waiting.get(service, ()))
    return 1 + waiting + recent_count(state, (service, Measure.SENT, ""), now_ms)


def is_short_here(state: State, service: str, now_ms: Millis) -> bool:
    """Return whether requests wait, or were refused of late, at this entry."""
    return bool(state.waiting.get(service)) or any(
        key[:2] == (service, Measure.REFUSED) and seen.count(now_ms)
        for key, seen in state.demand.recent.items()
    )


def used_here(state: State, service: str) -> Counter[str]:
    """Return the requests that this entry has in flight, by account."""
    return Counter(
        {
            name: count
            for (counted, measure, name), count in state.demand.in_flight.items()
            if counted == service and measure is Measure.USED
        }
    )


def wanted_here(state: State, service: str, now_ms: Millis) -> Counter[str]:
    """Return the slots that accounts want: for what waits, and for what was refused."""
    wanted = Counter(request.account for request in queued(state, service))
    slots_each = load_of(state, service).hold_ms / REFUSED_MS
    for (counted, measure, name), seen in state.demand.recent.items():
        if counted == service and measure is Measure.REFUSED:
            wanted[name] += round(seen.count(now_ms) * slots_each)
    return wanted


def recent_count(state: State, key: DemandKey, now_ms: Millis) -> int:
    """Return a count of this entry's own, of requests that arrived or were sent."""
    seen = state.demand.recent.get(key)
    return seen.count(now_ms) if seen is not None else 0


def _with_recent(state: State, key: DemandKey, length_ms: int, now_ms: Millis) -> State:
    if not is_counted(state, key[0]):
        return state
    recent = state.demand.recent
    seen = recent.get(key) or Window(RECENT_BUCKET_MS, length_ms)
    return _with_own(
        state, state.demand._replace(recent=recent.set(key, seen.add(now_ms)))
    )


def _with_in_flight(state: State, request: Request, change: int) -> State:
    with state.demand.in_flight.mutate() as counts:
        for key in (
            (request.service, Measure.HELD, str(request.priority)),
            (request.service, Measure.USED, request.account),
        ):
            counts[key] = counts.get(key, 0) + change
            if not counts[key]:
                del counts[key]
        return _with_own(state, state.demand._replace(in_flight=counts.finish()))


def _with_own(state: State, demand: OwnDemand) -> State:
    return state._replace(demand=demand)
