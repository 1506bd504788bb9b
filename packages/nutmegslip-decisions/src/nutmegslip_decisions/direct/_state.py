"""The state of an entry that sends to upstreams directly."""

from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.direct._options import Options
from nutmegslip_decisions.direct._part_evidence import PartEvidence, PartReport
from nutmegslip_decisions.direct._routes import RouteTable
from nutmegslip_decisions.direct._types import (
    CallerRequest,
    Configuration,
    Demand,
    DemandKey,
    EndedProcess,
    NamedLimit,
    PaceReports,
    Request,
    SpendingReport,
    Standing,
    Upstream,
)
from nutmegslip_decisions.direct._windows import Window
from nutmegslip_decisions.model import Millis

COLD_WINDOW_MS = 1_000  # the cold limit applies to any second
COLD_BUCKET_MS = 50  # resolves the window to a twentieth
BUDGET_BUCKET_MS = 500


class UpstreamStats(NamedTuple):
    """Statistics of an upstream from this entry's own attempts.

    ``credit`` is what was left at ``credit_ms`` of its share of the rate that the
    upstream names. ``idle_until`` holds until when each idle connection to it is kept,
    the last used last. Until ``avoid_until_ms`` others are preferred to it; until
    ``paused_until_ms``, which the upstream itself asked for, nothing is sent to it.
    """

    in_flight: int = 0
    sent: Window = Window(COLD_BUCKET_MS, COLD_WINDOW_MS)
    failures: int = 0
    avoid_until_ms: Millis = 0
    paused_until_ms: Millis = 0
    credit: float = 0.0
    credit_ms: Millis = 0
    idle_until: tuple[Millis, ...] = ()


_NO_STATS = UpstreamStats()


class PeerReport(NamedTuple):
    """The last report of another entry."""

    received_ms: Millis
    in_flight: Map[str, int]
    parts: PartReport = PartReport()
    standing: Standing = Standing()
    spending: SpendingReport = SpendingReport()
    paces: PaceReports = Map()
    demand: Demand = Map()
    slow_ranks: Map[str, float] = Map()


class OwnDemand(NamedTuple):
    """What this entry counts of the requests at each service.

    ``in_flight`` are those at upstreams, ``recent`` those that arrived, were sent or
    were refused of late.
    """

    in_flight: Map[DemandKey, int] = Map()
    recent: Map[DemandKey, Window] = Map()


class Process(NamedTuple):
    """This process; ``is_first`` is whether none ran at its address before."""

    id: int = 0
    started_ms: Millis = 0
    is_first: bool = True


class GapSample(NamedTuple):
    """A high quantile of event gaps, and the streams that were then in flight."""

    gap_ms: float
    in_flight: int


class GroupPace(NamedTuple):
    """How the event gaps of a group grow with its streams in flight.

    ``per_stream_ms`` is what each stream adds to the gaps of all, by a high quantile of
    the samples; ``gap_ms`` is the median of the last ones.
    """

    samples: tuple[GapSample, ...]
    per_stream_ms: float
    gap_ms: float
    measured_ms: Millis


class ServiceLoad(NamedTuple):
    """Load of a service, measured from this entry's own requests.

    ``hold_ms`` is the mean time that a request holds a slot, ``start_ms`` the mean
    time to the first part of an answer. ``answered_ms`` is when an answer last began.
    ``paces`` are measured by group; groups that are not in it have all slots open.
    """

    arrivals: Window
    retries: Window
    hold_ms: float
    start_ms: float
    answered_ms: Millis = 0
    paces: Map[str, GroupPace] = Map()


class HedgeStats(NamedTuple):
    """Second attempts of slow requests at a service.

    ``starts`` are recent times in milliseconds to the first part of an answer, those of
    streams under True.
    """

    sent: Window
    starts: Map[bool, tuple[int, ...]] = Map()


class Subset(NamedTuple):
    """The upstreams of a service that this entry prefers.

    Each upstream is preferred by as many ``owners`` of the entries.
    """

    entries: tuple[str, ...] = ()
    upstreams: tuple[str, ...] = ()
    owners: int = 0
    members: frozenset[str] = frozenset()


class SlowRank(NamedTuple):
    """How many times as long as usual a rank takes, as it reports until ``until_ms``.

    ``peer`` is the entry that has read it, empty for this one.
    """

    slowness: float
    until_ms: Millis
    peer: str = ""


class GroupSuspicion(NamedTuple):
    """The epoch in which a group had a rank at fault.

    Until ``closed_until_ms`` nothing is sent to the group; then one request at a
    time, until one is answered or the group is published in a later epoch.
    """

    epoch: int
    closed_until_ms: Millis


class Departure(NamedTuple):
    """An incarnation of an upstream that leaves or has gone.

    ``announced`` is whether it has said that it leaves. ``forget_ms`` is when a
    removed incarnation is forgotten, None while it is listed.
    """

    born_ms: int
    announced: bool
    forget_ms: Millis | None


class Unadmitted(NamedTuple):
    """A request that waits for the first configuration until ``until_ms``."""

    request: CallerRequest
    arrived_ms: Millis
    until_ms: Millis


class RecordsReceived(NamedTuple):
    """When complete records of ended processes were first and last received."""

    first_ms: Millis
    last_ms: Millis


class State(NamedTuple):
    """The complete state of the reducer.

    ``peer_in_flight`` is the sum of requests that all peers have in flight, by
    upstream, ``peer_demand`` the sum of the demand that they report. ``fair_slots`` are
    the slots that an account may hold before others, by service, where slots are
    scarce; until ``fair_until_ms`` they are not determined again. ``sharing`` are the
    other entries that share the limits of the fleet, also those not heard for a while,
    with the time of their last report. ``ended`` are the processes of entries that have
    ended or may have, by id; ``records`` is None until complete records of them were
    received.

    ``named_limits`` are what upstreams have said of the requests that they take, by
    upstream.

    ``lapsing`` maps removed upstreams to the time until which they stay in use.
    ``awaits_copy`` is whether the store was restored from a copy and not listed since;
    until ``copy_until_ms`` the list may be that of the copy, and ``withheld`` maps the
    upstreams that it revived to the time until which they get no requests.
    ``zones_read`` are the zones out of service by the list, ``zones_out`` those in
    force; ``zone_deadlines`` is until when one of them may still get requests, by zone.
    ``unadmitted`` holds the requests that wait for the first configuration, by
    ticket; ``waiting`` holds the queues of tickets, and ``subsets`` the upstreams that
    this entry prefers, by service. ``slow_ranks`` are ranks that report to be slow, by
    upstream.
    """

    options: Options
    process: Process = Process()
    configuration: Configuration | None = None
    table: RouteTable | None = None
    upstreams: Map[str, Upstream] = Map()
    by_service: Map[str, tuple[str, ...]] = Map()
    lapsing: Map[str, Millis] = Map()
    store_lost: bool = False
    lapse_until_ms: Millis = 0
    awaits_copy: bool = False
    copy_until_ms: Millis = 0
    departures: Map[str, Departure] = Map()
    withheld: Map[str, Millis] = Map()
    zones_read: frozenset[str] = frozenset()
    zones_out: frozenset[str] = frozenset()
    zone_deadlines: Map[str, Millis] = Map()
    upstream_stats: Map[str, UpstreamStats] = Map()
    named_limits: Map[str, NamedLimit] = Map()
    peers: Map[str, PeerReport] = Map()
    peer_in_flight: Map[str, int] = Map()
    demand: OwnDemand = OwnDemand()
    peer_demand: Demand = Map()
    fair_slots: Map[str, float] = Map()
    fair_until_ms: Millis = 0
    sharing: Map[str, Millis] = Map()
    ended: Map[int, EndedProcess] = Map()
    records: RecordsReceived | None = None
    suspicions: Map[str, GroupSuspicion] = Map()
    parts: PartEvidence = PartEvidence()
    loads: Map[str, ServiceLoad] = Map()
    hedges: Map[str, HedgeStats] = Map()
    requests: Map[int, Request] = Map()
    unadmitted: Map[int, Unadmitted] = Map()
    waiting: Map[str, tuple[int, ...]] = Map()
    subsets: Map[str, Subset] = Map()
    slow_ranks: Map[str, SlowRank] = Map()

    def sharing_count(self) -> int:
        """Return the count of entries that share the limits of the fleet."""
        return max(self.options.entries, len(self.sharing) + 1)

    def serving_count(self) -> int:
        """Return the count of entries that share the upstreams at present."""
        return max(self.options.entries, len(self.peers) + 1)

    def stats_of(self, upstream_id: str) -> UpstreamStats:
        """Return the statistics of an upstream."""
        return self.upstream_stats.get(upstream_id, _NO_STATS)

    def limit_of(self, upstream: Upstream) -> NamedLimit | None:
        """Return the limit that an incarnation has named, None without one."""
        limit = self.named_limits.get(upstream.id)
        if limit is None or limit.born_ms != upstream.born_ms or limit.per_s is None:
            return None
        return limit
