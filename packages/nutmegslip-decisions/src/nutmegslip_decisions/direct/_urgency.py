"""Keep free slots for the more urgent requests of a service.

Answers the load pattern in which a burst of less urgent requests fills every slot just
before urgent ones arrive, and streams hold their slots for seconds: less urgent ones
are sent only while more slots are free than the more urgent of a moment need, over all
entries; until then they wait, up to their own objective. A slot comes back as its
request ends. While there are slots for all nothing is held back.

Nobody starves: a kind, or an account, that holds next to nothing gets the next slot
once its request has waited for half of its time.
"""

from typing import NamedTuple

from nutmegslip_decisions.direct._choice import Capacity
from nutmegslip_decisions.direct._demand import (
    RECENT_MS,
    count_of,
    in_flight_of,
    priorities_of,
)
from nutmegslip_decisions.direct._fair_shares import (
    FAR_OVER,
    is_over_share,
    used_slots,
)
from nutmegslip_decisions.direct._state import State
from nutmegslip_decisions.direct._types import Measure, Request
from nutmegslip_decisions.model import Millis

HEADROOM_MS = 200  # of arrivals; two reports, until all entries know of a burst
FLOOR_SHARE = 1 / 20  # of slots, for each kind of request
FLOOR_AGE_SHARE = 1 / 2  # of the time until its latest send


class Turn(NamedTuple):
    """The place of a request in its queue; the lowest is sent first."""

    is_far_over: bool
    awaited_group: bool
    priority: int
    is_over: bool
    arrived_ms: Millis


def turn_of(state: State, request: Request) -> Turn:
    """Return the place of a request: by urgency, but accounts far over share last.

    Those that waited for a group come after all that have not, as most are late.
    """
    return Turn(
        is_over_share(state, request, FAR_OVER),
        request.group_wait_end_ms is not None,
        request.priority,
        is_over_share(state, request),
        request.arrived_ms,
    )


def has_room(
    state: State, request: Request, capacity: Capacity, now_ms: Millis
) -> bool:
    """Return whether so many slots are free that a request may take one.

    Slots are left for the more urgent that will arrive or wait at other entries; by an
    account over its share, for all that wait there of accounts under theirs.
    """
    urgent = _urgent_arrivals(state, request, now_ms) * HEADROOM_MS / RECENT_MS
    reserved = urgent + _waiting_elsewhere(state, request)
    return not reserved or capacity.free_slots > reserved


def is_below_floor(state: State, request: Request, capacity: Capacity) -> bool:
    """Return whether the kind or the account of a request holds next to nothing."""
    service = request.service
    if service in state.fair_slots and not used_slots(state, request):
        return True
    if request.priority <= min(priorities_of(state, service), default=0):
        return False
    held = in_flight_of(state, (service, Measure.HELD, str(request.priority)))
    return held < capacity.slots * FLOOR_SHARE


def has_aged(request: Request, latest_send_ms: Millis, now_ms: Millis) -> bool:
    """Return whether a request has waited for half of the time that it may wait."""
    waited_ms = now_ms - request.arrived_ms
    return waited_ms >= (latest_send_ms - request.arrived_ms) * FLOOR_AGE_SHARE


def _waiting_elsewhere(state: State, request: Request) -> int:
    is_over = is_over_share(state, request)
    return sum(
        state.peer_demand.get((request.service, Measure.WAITING, str(priority)), 0)
        for priority in priorities_of(state, request.service)
        if is_over or priority < request.priority
    )


def _urgent_arrivals(state: State, request: Request, now_ms: Millis) -> int:
    """Return the more urgent requests of the last second, over all entries.

    Those of accounts over their share are not counted.
    """
    return sum(
        count_of(state, (request.service, Measure.ARRIVED, str(priority)), now_ms)
        for priority in priorities_of(state, request.service)
        if priority < request.priority
    )
