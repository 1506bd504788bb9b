"""Let requests wait for a group of ranks that forms again.

Answers the load pattern in which a rank of the only group of a service fails: for some
seconds nothing can be served, callers who are refused come back once, often before the
group does, and are lost. They wait instead, for as long as callers wait for the first
part of an answer. Once the group is open, requests that can still be on time go first,
and late ones take no more than the slots that any map of experts can serve in time.
"""

from nutmegslip_decisions.direct._budget import load_of
from nutmegslip_decisions.direct._choice import Capacity
from nutmegslip_decisions.direct._groups import is_usable
from nutmegslip_decisions.direct._state import State
from nutmegslip_decisions.direct._types import Request
from nutmegslip_decisions.model import Millis

PATIENCE_RATIO = 4  # times the objective; callers leave after that without an answer
LATE_SLOTS_SHARE = 0.5  # of the open slots


def group_wait_end_ms(state: State, request: Request, now_ms: Millis) -> Millis | None:
    """Return until when a request may wait for a group, None if it is to be refused."""
    if not _is_forming(state, request.service, now_ms):
        return None
    start_ms = int(load_of(state, request.service).start_ms)
    # A resumed stream has been answered; its caller waits for the next part.
    since_ms = now_ms if request.streaming else request.arrived_ms
    patience_ms = PATIENCE_RATIO * request.route.objective_ms
    end_ms = min(since_ms + patience_ms, request.deadline_ms) - start_ms
    return end_ms if end_ms > now_ms else None


def may_take_late(state: State, service: str, capacity: Capacity) -> bool:
    """Return whether a late request that waited for a group may take a slot.

    As all entries have such requests at the same moment, each takes its own share.
    """
    slots = LATE_SLOTS_SHARE * capacity.slots
    own = sum(
        state.stats_of(name).in_flight for name in state.by_service.get(service, ())
    )
    return capacity.taken < slots and own < slots / state.serving_count()


def _is_forming(state: State, service: str, now_ms: Millis) -> bool:
    """Return whether a group of the service is listed that cannot be used now."""
    listed = (state.upstreams[name] for name in state.by_service.get(service, ()))
    return any(
        not upstream.leaving
        and upstream.zone not in state.zones_out
        and not is_usable(state, upstream, now_ms)
        for upstream in listed
    )
