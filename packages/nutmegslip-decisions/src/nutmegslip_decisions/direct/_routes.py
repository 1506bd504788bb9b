"""Match requests to routes and keys to client accounts."""

from itertools import accumulate

import xxhash

from nutmegslip_decisions.direct._types import Configuration, Route


class RouteTable:
    """Find the longest prefix of a path among the routes of a host."""

    def __init__(self, configuration: Configuration) -> None:
        self._routes: dict[tuple[str, str], Route] = {
            (route.host, route.prefix): route for route in configuration.routes
        }

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a request, None where there is none.

        ``host`` is the request's host without a port, ``path`` is without query.
        """
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None


def pick_service(route: Route, request_id: str) -> str:
    """Return the service of a request; shares follow the published weights.

    A request keeps its service over all attempts, since the draw is a hash of
    its id.
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
    """Return the rank of a request, 0 first; the account's goes before the route's."""
    return route.priority if account_priority is None else account_priority
