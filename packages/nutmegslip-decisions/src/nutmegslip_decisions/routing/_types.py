"""Define the requests, events, options and errors of upstream selection."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from nutmegslip_decisions.model import Catalogue, Millis, RequestClass, Roster


class Request(NamedTuple):
    """A request that needs an upstream.

    ``prefixes`` are chained digests of the prompt's blocks, starting with the
    first. ``excluded`` are the upstream hosts that this request has already tried.
    """

    workload: str
    request_class: RequestClass
    account: str
    prefixes: tuple[bytes, ...] = ()
    excluded: frozenset[str] = frozenset()


class ClassShares(NamedTuple):
    """The share of an upstream's warm limit that each class may use."""

    interactive: float = 1.0
    standard: float = 0.9
    batch: float = 0.7

    def of(self, request_class: RequestClass) -> float:
        """Return the share of one class."""
        match request_class:
            case RequestClass.INTERACTIVE:
                return self.interactive
            case RequestClass.STANDARD:
                return self.standard
            case RequestClass.BATCH:
                return self.batch


class RoutingOptions(NamedTuple):
    """Options of upstream selection.

    ``affinity_blocks`` is the number of prompt blocks that form the affinity key;
    zero disables affinity. ``affinity_candidates`` is the number of hosts on the
    ring that affinity tries. ``load_bound`` is the highest ratio of an upstream's
    load to the workload's mean at which affinity still applies.
    ``zone_load_bound`` is the same ratio for the preference of the entry's own
    availability zone; zero disables that preference. ``fill_share`` is the share
    of the total capacity that admission may fill; the rest lets requests stay on
    the upstreams that have their prefixes cached. ``report_valid_ms`` is how long
    a load report is used before the upstream counts as stale.
    """

    affinity_blocks: int = 2
    affinity_candidates: int = 4
    load_bound: float = 2.0
    zone_load_bound: float = 0.0
    class_shares: ClassShares = ClassShares()
    fill_share: float = 0.7
    backoff_ms: int = 100
    backoff_limit_ms: int = 5_000
    report_valid_ms: int = 750


class NoUpstreamKind(StrEnum):
    """The reason why no upstream could be chosen."""

    NOT_SERVED = "not-served"
    ALL_OUT = "all-out"
    ALL_TRIED = "all-tried"
    ALL_BUSY = "all-busy"


_REMEDIES = {
    NoUpstreamKind.NOT_SERVED: "publish a host that serves it, or correct the name",
    NoUpstreamKind.ALL_OUT: "mark a host or availability zone in again",
    NoUpstreamKind.ALL_TRIED: "send the request again later",
    NoUpstreamKind.ALL_BUSY: "send the request again after the given time",
}


class NoUpstream(NamedTuple):
    """An error: no upstream can take a request now.

    ``retry_after_ms`` is the delay after which a retry may succeed, or zero if
    that is unknown.
    """

    kind: NoUpstreamKind
    workload: str
    retry_after_ms: int = 0

    @property
    def message(self) -> str:
        """Return the reason and its remedy."""
        return f"no upstream for {self.workload!r}: {self.kind}; {_REMEDIES[self.kind]}"


@dataclass(frozen=True, slots=True)
class UpstreamsChanged:
    """A change of the catalogue or of the published list of hosts."""

    now_ms: Millis
    catalogue: Catalogue
    roster: Roster


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A load report that a sidecar sent to this entry.

    ``in_flight`` counts the requests at its upstream, ``own_in_flight`` those of
    them that this entry sent. ``credits`` is the number of further requests that
    this entry may send while the upstream is cold.
    """

    now_ms: Millis
    host: str
    in_flight: int
    own_in_flight: int
    cold: bool = False
    credits: int = 0


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """The end of a request that was answered completely or cancelled by this entry."""

    now_ms: Millis
    host: str


@dataclass(frozen=True, slots=True)
class RequestRefused:
    """The refusal of a request by a sidecar; the request was not run there."""

    now_ms: Millis
    host: str
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """The failure of a request at an upstream, or the loss of the link to it."""

    now_ms: Millis
    host: str


RoutingEvent = (
    UpstreamsChanged | LoadReported | RequestEnded | RequestRefused | RequestFailed
)
