"""Name what happens to an entry that sends directly, and what it must do."""

from dataclasses import dataclass
from enum import StrEnum

from immutables import Map

from nutmegslip_decisions.direct._options import Options
from nutmegslip_decisions.direct._types import (
    CallerRequest,
    Configuration,
    Request,
    Upstream,
)
from nutmegslip_decisions.model import Millis


@dataclass(frozen=True, slots=True)
class ConfigurationPublished:
    """Tell that a version of the configuration was read."""

    now_ms: Millis
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class UpstreamPublished:
    """Tell that an upstream was listed, or that its listing changed."""

    now_ms: Millis
    upstream: Upstream


@dataclass(frozen=True, slots=True)
class UpstreamRemoved:
    """Tell that an upstream is no longer listed."""

    now_ms: Millis
    upstream_id: str


@dataclass(frozen=True, slots=True)
class ZonesOut:
    """Tell which availability zones the operator has taken out."""

    now_ms: Millis
    zones: frozenset[str]


@dataclass(frozen=True, slots=True)
class ListingRead:
    """Tell that the whole list was read, after a start or a gap in the history."""

    now_ms: Millis
    upstreams: tuple[Upstream, ...]


@dataclass(frozen=True, slots=True)
class StoreLost:
    """Tell that the store gives no answers, and what the last call met."""

    now_ms: Millis
    detail: str = ""


@dataclass(frozen=True, slots=True)
class StoreReached:
    """Tell that the store answers again."""

    now_ms: Millis


@dataclass(frozen=True, slots=True)
class OptionsChanged:
    """Tell that the settings of this process have changed."""

    now_ms: Millis
    options: Options


@dataclass(frozen=True, slots=True)
class PeerReported:
    """Tell what another entry has in hand, by upstream."""

    now_ms: Millis
    peer: str
    in_flight: Map[str, int]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """Tell that a caller's request was read whole."""

    now_ms: Millis
    request: CallerRequest


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request reached the upstream; ``detail`` tells why."""

    detail: str = ""


@dataclass(frozen=True, slots=True)
class Declined:
    """The upstream says that it has not run the request.

    ``misdirected`` is whether another upstream has the address now.
    ``at_fault`` names the upstream to blame, empty where it is the one asked.
    """

    misdirected: bool = False
    at_fault: str = ""


@dataclass(frozen=True, slots=True)
class Broken:
    """The attempt ended without a whole answer; the request may have run.

    ``detail`` tells how it ended.
    """

    detail: str = ""


@dataclass(frozen=True, slots=True)
class Errored:
    """The upstream ran the request and answered with a failure of its own."""


Failure = NotSent | Declined | Broken | Errored


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """Tell how an attempt failed.

    ``streaming`` is whether the caller has been sent the beginning of a stream.
    """

    now_ms: Millis
    ticket: int
    failure: Failure
    streaming: bool = False


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """Tell that the upstream has answered with the first part of its answer."""

    now_ms: Millis
    ticket: int


@dataclass(frozen=True, slots=True)
class PaceMeasured:
    """Tell the mean pause between events of a service's streams, just now.

    ``group`` is the group that answers them, empty where upstreams run by themselves.
    """

    now_ms: Millis
    service: str
    group: str
    gap_ms: float


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """Tell that a request has its final answer, or that its caller has left."""

    now_ms: Millis
    ticket: int
    answered: bool


@dataclass(frozen=True, slots=True)
class Tick:
    """Let time pass."""

    now_ms: Millis


Event = (
    ConfigurationPublished
    | UpstreamPublished
    | UpstreamRemoved
    | ZonesOut
    | ListingRead
    | StoreLost
    | StoreReached
    | OptionsChanged
    | PeerReported
    | RequestArrived
    | AttemptFailed
    | ResponseStarted
    | PaceMeasured
    | RequestEnded
    | Tick
)


class RefusalKind(StrEnum):
    """Say why a request gets no answer from an upstream."""

    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"
    UNKNOWN_KEY = "unknown-key"
    NO_UPSTREAM = "no-upstream"
    OVERLOADED = "overloaded"
    DECLINED = "declined"
    DEADLINE = "deadline"
    BROKEN = "broken"

    @property
    def status(self) -> int:
        """Return the HTTP status; 503 promises that the request has not run."""
        return _STATUSES.get(self, 503)

    @property
    def remedy(self) -> str:
        """Return what an operator can do about it."""
        return _REMEDIES[self]


_STATUSES = {
    RefusalKind.NO_ROUTE: 404,
    RefusalKind.UNKNOWN_KEY: 401,
    RefusalKind.BROKEN: 502,
}
_REMEDIES = {
    RefusalKind.NO_CONFIGURATION: "Check the path to the store; none was read yet.",
    RefusalKind.NO_ROUTE: "Compare host and path with the routes in force.",
    RefusalKind.UNKNOWN_KEY: "Compare the key with those in force.",
    RefusalKind.NO_UPSTREAM: "Look for upstreams that left, zones that are out, or a "
    "group with a rank at fault, in the lines before.",
    RefusalKind.OVERLOADED: "Add upstreams, or look for slow ones; the caller was told "
    "when to return.",
    RefusalKind.DECLINED: "Look at the upstreams of the request's attempts; each said "
    "that it has not run it.",
    RefusalKind.DEADLINE: "Look for what held the slots while the request waited.",
    RefusalKind.BROKEN: "Look at the upstream of the failed attempt; it may have run "
    "the request.",
}


@dataclass(frozen=True, slots=True)
class Send:
    """Send a request to an upstream."""

    request: Request
    upstream: Upstream


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer a request with a refusal at once.

    ``ran`` is whether an upstream may have run it. ``retry_after_ms`` is when
    the caller may best return, 0 where returning does not help.
    """

    ticket: int
    kind: RefusalKind
    ran: bool
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class DeliverFailure:
    """Pass the upstream's own failure on as the final answer."""

    ticket: int


Effect = Send | Refuse | DeliverFailure
