"""Act as the home entry of the keys that hash to this host."""

from nutmegslip_decisions.limits._home import free_slots, grant
from nutmegslip_decisions.limits._state import LimitsState, limits_of
from nutmegslip_decisions.limits._types import (
    ShareGranted,
    ShareReleased,
    ShareRequested,
)
from nutmegslip_decisions.model import Millis, rendezvous_order


def home_of(state: LimitsState, key: str) -> str:
    """Return the entry host that grants shares of a key."""
    return next(iter(rendezvous_order(key, state.entries)), state.own_host)


def grant_share(
    state: LimitsState, sender: str, request: ShareRequested, now_ms: Millis
) -> tuple[LimitsState, ShareGranted | None]:
    """Grant a share at this home; return no grant for an outdated request."""
    limits = limits_of(state.catalogue, request.key)
    previous = state.homes.get(request.key)
    home, granted = grant(previous, limits, state.options, sender, request, now_ms)
    return state._replace(homes=state.homes.set(request.key, home)), granted


def release_share(
    state: LimitsState, sender: str, released: ShareReleased
) -> LimitsState:
    """Release the share of a key that an entry holds at this home."""
    home = state.homes.get(released.key)
    if home is None:
        return state
    home = free_slots(home, sender, released)
    return state._replace(homes=state.homes.set(released.key, home))
