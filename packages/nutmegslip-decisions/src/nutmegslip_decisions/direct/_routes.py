"""Match requests to routes, and choose their service and priority."""

from itertools import accumulate

import xxhash

from nutmegslip_decisions.direct._types import Configuration, Route


class RouteTable:
    """A table that finds the route with the longest matching path prefix."""

    def __init__(self, configuration: Configuration) -> None:
        self._routes: dict[tuple[str, str], Route] = {
            (route.host, route.prefix): route for route in configuration.routes
        }
        priorities: dict[str, set[int]] = {}
        for route in configuration.routes:
            for target in route.targets:
                priorities.setdefault(target.service, set()).add(route.priority)
        self._priorities = {
            service: tuple(sorted(found)) for service, found in priorities.items()
        }

    def priorities(self, service: str) -> tuple[int, ...]:
        """Return the priorities of the routes to a service, the most urgent first."""
        return self._priorities.get(service, ())

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a request, None if there is none.

        ``host`` is without a port, ``path`` is without a query.
        """
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None


def pick_service(route: Route, request_id: str) -> str:
    """Return the service of a request, chosen by the published weights.

    The choice is a hash of the request's id, so that a request keeps its service
    over all attempts.
    """
    bounds = tuple(accumulate(target.weight for target in route.targets))
    if len(bounds) == 1 or bounds[-1] <= 0:
        return route.targets[0].service
    offset = xxhash.xxh3_64_intdigest(request_id.encode()) % bounds[-1]
    return next(
        target.service
        for target, bound in zip(route.targets, bounds, strict=True)
        if offset < bound
    )


def priority_of(route: Route, account_priority: int | None) -> int:
    """Return a request's priority, 0 first; the account's overrides the route's."""
    return route.priority if account_priority is None else account_priority
