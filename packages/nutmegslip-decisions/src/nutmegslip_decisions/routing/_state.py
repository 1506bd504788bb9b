"""Define the state of upstream selection at one entry."""

from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.model import MarkState, Millis, Roster, Workload
from nutmegslip_decisions.routing._types import RoutingOptions


class Upstream(NamedTuple):
    """One upstream host as seen by this entry.

    ``others_in_flight`` counts the requests of other entries at the last report;
    ``own_in_flight`` counts this entry's requests, which it tracks itself.
    ``retry_at_ms`` ends the backoff after a refusal or failure, and
    ``report_deadline_ms`` is when the last load report becomes stale.
    """

    zone: str
    workloads: tuple[str, ...]
    others_in_flight: int = 0
    own_in_flight: int = 0
    cold: bool = False
    credits: int = 0
    failures: int = 0
    retry_at_ms: Millis = 0
    report_deadline_ms: Millis = 0

    @property
    def load(self) -> int:
        """Return the estimated number of requests in flight at the upstream."""
        return self.others_in_flight + self.own_in_flight

    def room(self, workload: Workload) -> int:
        """Return how many more requests of a workload the upstream could take."""
        if self.cold:
            return self.credits
        return max(workload.warm_limit - self.load, 0)


class Ring(NamedTuple):
    """A hash ring: points in ascending order, and the host at each of them."""

    points: tuple[int, ...] = ()
    hosts: tuple[str, ...] = ()


class Candidates(NamedTuple):
    """Hosts that may be chosen, also as a set and as a hash ring."""

    hosts: tuple[str, ...] = ()
    host_set: frozenset[str] = frozenset()
    ring: Ring = Ring()


class Pool(NamedTuple):
    """The upstreams that may take requests of one workload.

    ``same_zone`` are those in the entry's own availability zone. ``load`` is the
    total load of all of them, ``same_zone_load`` that of ``same_zone``, and
    ``room`` the number of further requests that all together could take.
    ``served`` is true if any host of the published list serves the workload.
    """

    workload: Workload
    served: bool
    all: Candidates = Candidates()
    same_zone: Candidates = Candidates()
    load: int = 0
    same_zone_load: int = 0
    room: int = 0


class RoutingState(NamedTuple):
    """The complete state of upstream selection.

    ``draws`` counts the pseudo-random numbers drawn from ``seed``.
    ``entry_count`` is the number of entry hosts in the region, which send to the
    same upstreams. ``roster`` and ``marks`` (of hosts and of availability zones)
    are those in force.
    """

    zone: str
    region: str
    seed: int
    options: RoutingOptions = RoutingOptions()
    upstreams: Map[str, Upstream] = Map()
    pools: Map[str, Pool] = Map()
    draws: int = 0
    entry_count: int = 1
    roster: Roster = Roster(0)
    marks: tuple[Map[str, MarkState], Map[str, MarkState]] = (Map(), Map())
