"""Hold what one entry knows about its upstreams."""

from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.model import MarkState, Millis, Roster, Workload
from nutmegslip_decisions.routing._types import RoutingOptions


class Upstream(NamedTuple):
    """Hold one upstream host as this entry sees it.

    ``others`` are requests that other entries had there at the last report;
    ``own`` are this entry's requests in hand there, which need no report.
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
        """Return the requests in hand there, as far as this entry can tell."""
        return self.others_in_flight + self.own_in_flight

    def room(self, workload: Workload) -> int:
        """Return how many more requests of a workload it could take."""
        if self.cold:
            return self.credits
        return max(workload.warm_limit - self.load, 0)


class Ring(NamedTuple):
    """Hold hosts at fixed points of a hash ring, by rising point."""

    points: tuple[int, ...] = ()
    hosts: tuple[str, ...] = ()


class Candidates(NamedTuple):
    """Hold hosts to draw from, and the same hosts as a ring."""

    hosts: tuple[str, ...] = ()
    host_set: frozenset[str] = frozenset()
    ring: Ring = Ring()


class Pool(NamedTuple):
    """Hold the upstreams that may take work of one workload.

    ``near`` are those in the entry's own availability zone. ``load`` is the sum
    over all, ``near_load`` that over the near ones, ``room`` how many more
    requests all could take. ``served`` says whether any host of the published
    list serves the workload.
    """

    workload: Workload
    served: bool
    all: Candidates = Candidates()
    same_zone: Candidates = Candidates()
    load: int = 0
    same_zone_load: int = 0
    room: int = 0


class RoutingState(NamedTuple):
    """Hold everything that choices of upstream depend on.

    ``draws`` counts the pseudo-random numbers taken from ``seed``. ``entries`` are
    the entry hosts of the region, which send to the same upstreams. ``roster``
    and ``marks`` (of hosts and of availability zones) are those in force.
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
