"""Limit the idle connections that are kept to an upstream."""

from nutmegslip_decisions.direct._state import State

MAX_IDLE_CONNECTIONS = 8  # to an upstream; an entry seldom has more requests there
IDLE_LIMIT_SHARE = 0.5  # of the connections that an upstream accepts from all entries


def max_idle_connections(state: State, service: str) -> int:
    """Return how many idle connections this entry may keep to an upstream.

    Those of all entries take up to half of what the upstream accepts, so that they
    leave room for requests in flight.
    """
    configuration = state.configuration
    found = configuration and configuration.services.get(service)
    if not found or not found.connection_limit:
        return MAX_IDLE_CONNECTIONS
    share = found.connection_limit * IDLE_LIMIT_SHARE / state.serving_count()
    return min(max(int(share), 1), MAX_IDLE_CONNECTIONS)
