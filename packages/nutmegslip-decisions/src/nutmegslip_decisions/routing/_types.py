"""Name what a choice of upstream is asked, told and answers."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from nutmegslip_decisions.model import Catalogue, Millis, RequestClass, Roster


class Request(NamedTuple):
    """Describe the request that needs an upstream.

    ``prefixes`` are chained digests of the prompt's blocks, from the first block
    on. ``excluded`` are the upstream hosts that this request has already tried.
    """

    workload: str
    request_class: RequestClass
    account: str
    prefixes: tuple[bytes, ...] = ()
    excluded: frozenset[str] = frozenset()


class ClassShares(NamedTuple):
    """Bound the part of an upstream's warm limit that each class may fill."""

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
    """Set how an entry chooses upstreams.

    ``affinity_blocks`` is the count of prompt blocks that make the affinity key;
    zero turns affinity off. ``load_bound`` is the greatest load, over the mean of
    the workload, at which affinity still holds. ``zone_bound`` is the same for
    the preference of the entry's own availability zone; zero turns it off.
    ``fill`` is the part of all room that admission may fill; what is left lets
    requests keep to the upstreams that have their prefixes.
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
    """Say why no upstream could be chosen."""

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
    """Report that no upstream can take a request now.

    ``retry_after_ms`` is when coming back is worth while; zero says unknown.
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
    """Tell that the catalogue or the published list of hosts has changed."""

    now_ms: Millis
    catalogue: Catalogue
    roster: Roster


@dataclass(frozen=True, slots=True)
class LoadReported:
    """Tell what a sidecar reports over its link to this entry.

    ``in_hand`` are the requests its upstream has, ``own`` those among them that
    came from this entry. ``credits`` is how many more this entry may send while
    the upstream is cold.
    """

    now_ms: Millis
    host: str
    in_flight: int
    own_in_flight: int
    cold: bool = False
    credits: int = 0


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """Tell that a request sent to an upstream has been answered in full."""

    now_ms: Millis
    host: str


@dataclass(frozen=True, slots=True)
class RequestRefused:
    """Tell that a sidecar refused a request; it was not run there."""

    now_ms: Millis
    host: str
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """Tell that a request to an upstream failed or its link was lost."""

    now_ms: Millis
    host: str


RoutingEvent = (
    UpstreamsChanged | LoadReported | RequestEnded | RequestRefused | RequestFailed
)
