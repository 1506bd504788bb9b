"""Events and effects of an entry that sends to upstreams directly."""

from dataclasses import dataclass
from enum import StrEnum

from immutables import Map

from nutmegslip_decisions.direct._options import Options
from nutmegslip_decisions.direct._part_evidence import PartReport
from nutmegslip_decisions.direct._types import (
    CallerRequest,
    Configuration,
    Demand,
    NamedLimit,
    PaceReports,
    Request,
    SpendingReport,
    Standing,
    Upstream,
)
from nutmegslip_decisions.model import Millis

_NO_PARTS = PartReport()
_NO_STANDING = Standing()
_NO_SPENDING = SpendingReport()
_NO_LIMITS: Map[str, NamedLimit] = Map()
_NO_PACES: PaceReports = Map()
_NO_DEMAND: Demand = Map()
_NO_SLOW_RANKS: Map[str, float] = Map()


@dataclass(frozen=True, slots=True)
class ConfigurationPublished:
    """A version of the configuration was read."""

    now_ms: Millis
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class UpstreamPublished:
    """An upstream was listed, or its listing changed."""

    now_ms: Millis
    upstream: Upstream


@dataclass(frozen=True, slots=True)
class UpstreamRemoved:
    """An upstream is no longer listed."""

    now_ms: Millis
    upstream_id: str


@dataclass(frozen=True, slots=True)
class ZonesOut:
    """The set of availability zones out of service was read.

    At ``unmarked_ms`` none of those that are new in it was out, None if unknown.
    """

    now_ms: Millis
    zones: frozenset[str]
    unmarked_ms: Millis | None = None


@dataclass(frozen=True, slots=True)
class ListingRead:
    """The full list of upstreams was read, after a start or a gap in the history."""

    now_ms: Millis
    upstreams: tuple[Upstream, ...]


@dataclass(frozen=True, slots=True)
class StoreLost:
    """The store does not answer; ``detail`` is the error of the last call."""

    now_ms: Millis
    detail: str = ""


@dataclass(frozen=True, slots=True)
class StoreReached:
    """The store answers again."""

    now_ms: Millis


@dataclass(frozen=True, slots=True)
class StoreRestored:
    """The store came back from a copy that lacks its last changes.

    ``era`` counts such returns. A full list follows.
    """

    now_ms: Millis
    era: int


@dataclass(frozen=True, slots=True)
class UpstreamLeaving:
    """An upstream said in an answer that it leaves.

    ``misdirected`` is whether the answer is of another upstream with its address.
    """

    now_ms: Millis
    upstream: Upstream
    misdirected: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamPaused:
    """An upstream rejected a request and asked for none for a while.

    ``asked_ms`` is None where the value that it sent, ``text``, cannot be read.
    """

    now_ms: Millis
    upstream: Upstream
    asked_ms: int | None
    text: str = ""


@dataclass(frozen=True, slots=True)
class UpstreamLimited:
    """An upstream named in an answer the rate of requests that it takes, or none.

    ``per_s`` is None if the answer names no rate. ``sent_ms`` is when the answered
    request was sent, None if another request was answered. ``unreadable`` is the text
    of a rate that cannot be read, empty otherwise.
    """

    now_ms: Millis
    upstream: Upstream
    per_s: float | None
    sent_ms: Millis | None
    unreadable: str = ""


@dataclass(frozen=True, slots=True)
class OptionsChanged:
    """The settings of this process changed."""

    now_ms: Millis
    options: Options


@dataclass(frozen=True, slots=True)
class PeerReported:
    """Another entry reported its requests in flight, and what it knows of limits."""

    now_ms: Millis
    peer: str
    in_flight: Map[str, int]
    parts: PartReport = _NO_PARTS
    standing: Standing = _NO_STANDING
    spending: SpendingReport = _NO_SPENDING
    limits: Map[str, NamedLimit] = _NO_LIMITS
    paces: PaceReports = _NO_PACES
    demand: Demand = _NO_DEMAND
    slow_ranks: Map[str, float] = _NO_SLOW_RANKS


@dataclass(frozen=True, slots=True)
class RankRead:
    """This entry has read how slow a rank reports itself to be.

    ``slowness`` is how many times as long as usual it takes for its work.
    """

    now_ms: Millis
    upstream_id: str
    slowness: float


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request was read completely."""

    now_ms: Millis
    request: CallerRequest


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request reached the upstream; ``detail`` is the reason.

    ``refused`` is whether nothing listens at its address. ``overdue`` is whether the
    entry came too late to send it, which says nothing of the upstream.
    """

    detail: str = ""
    refused: bool = False
    overdue: bool = False


@dataclass(frozen=True, slots=True)
class Declined:
    """The upstream reported that it has not run the request.

    ``misdirected`` is whether another upstream has the address now.
    ``at_fault`` is the id of the upstream that prevented the answer, empty for none.
    ``unread`` is why the rest of the rejection was not read, empty if it was.
    """

    misdirected: bool = False
    at_fault: str = ""
    unread: str = ""


@dataclass(frozen=True, slots=True)
class Broken:
    """The attempt ended without a complete answer; the request may have run.

    ``detail`` is the reason. ``closed`` is whether the upstream closed or reset the
    connection, as a crash does.
    """

    detail: str = ""
    closed: bool = False


@dataclass(frozen=True, slots=True)
class Errored:
    """The upstream ran the request and answered with an error."""


@dataclass(frozen=True, slots=True)
class Moved:
    """The stream was broken off to be resumed at another rank of its group."""


Failure = NotSent | Declined | Broken | Errored | Moved


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt failed.

    ``streaming`` is whether part of a stream was already sent to the caller, and
    ``may_resume`` whether another upstream can go on after it.
    ``upstream`` is the id of its upstream, empty for the only attempt.
    """

    now_ms: Millis
    ticket: int
    failure: Failure
    streaming: bool = False
    upstream: str = ""
    may_resume: bool = True


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The first part of an answer arrived from the upstream.

    ``upstream`` is its id, empty for the only attempt.
    """

    now_ms: Millis
    ticket: int
    upstream: str = ""


@dataclass(frozen=True, slots=True)
class HedgeDue:
    """The time of a request's second attempt has come."""

    now_ms: Millis
    ticket: int


@dataclass(frozen=True, slots=True)
class PaceMeasured:
    """The gaps between events of a service's streams were measured.

    ``group`` is the group that serves them, empty for upstreams without a group.
    ``gap_ms`` is a high quantile of them, since one long gap makes a stream late.
    """

    now_ms: Millis
    service: str
    group: str
    gap_ms: float


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A request got its final answer, or its caller disconnected.

    ``kept_until_ms`` is until when the connection of the last attempt is kept, 0 if it
    was closed.
    """

    now_ms: Millis
    ticket: int
    answered: bool
    kept_until_ms: Millis = 0


@dataclass(frozen=True, slots=True)
class Tick:
    """The periodic timer fired."""

    now_ms: Millis


Event = (
    ConfigurationPublished
    | UpstreamPublished
    | UpstreamRemoved
    | ZonesOut
    | ListingRead
    | StoreLost
    | StoreReached
    | StoreRestored
    | UpstreamLeaving
    | UpstreamPaused
    | UpstreamLimited
    | OptionsChanged
    | PeerReported
    | RankRead
    | RequestArrived
    | AttemptFailed
    | ResponseStarted
    | HedgeDue
    | PaceMeasured
    | RequestEnded
    | Tick
)


class RefusalKind(StrEnum):
    """The reason for which a request is refused."""

    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"
    UNKNOWN_KEY = "unknown-key"
    NO_UPSTREAM = "no-upstream"
    OVERLOADED = "overloaded"
    DECLINED = "declined"
    DEADLINE = "deadline"
    BROKEN = "broken"
    CRASHING_PART = "crashing-part"
    CRASHING_REQUEST = "crashing-request"

    @property
    def status(self) -> int:
        """Return the HTTP status; 503 is valid only if the request has not run."""
        return _STATUSES.get(self, 503)

    @property
    def advice(self) -> str:
        """Return what the caller can do about it, empty if Retry-After says it all."""
        return _ADVICE.get(self, "")

    @property
    def remedy(self) -> str:
        """Return what an operator can do about it."""
        return _REMEDIES[self]


_STATUSES = {
    RefusalKind.NO_ROUTE: 404,
    RefusalKind.UNKNOWN_KEY: 401,
    RefusalKind.BROKEN: 502,
}
_ADVICE = {
    RefusalKind.CRASHING_PART: "A shared part of this prompt crashes the model; the "
    "request has not run. Send the prompt without that part, or after the Retry-After "
    "delay.",
    RefusalKind.CRASHING_REQUEST: "This request crashes the upstreams that run it; it "
    "has not run this time. Change it, or send it after the Retry-After delay.",
}
_REMEDIES = {
    RefusalKind.NO_CONFIGURATION: "No configuration was read; check the "
    "connection to the store.",
    RefusalKind.NO_ROUTE: "Compare host and path with the routes in force.",
    RefusalKind.UNKNOWN_KEY: "Compare the key with those in force.",
    RefusalKind.NO_UPSTREAM: "Look in earlier log lines for removed upstreams, "
    "zones that are out, or a group with a failed rank.",
    RefusalKind.OVERLOADED: "Add upstreams, or look for slow ones; the caller got a "
    "retry delay.",
    RefusalKind.DECLINED: "Look at the upstreams of the request's attempts; each "
    "reported that it has not run the request.",
    RefusalKind.DEADLINE: "Look for requests that held the slots during the wait.",
    RefusalKind.BROKEN: "Look at the upstream of the failed attempt; it may have run "
    "the request.",
    RefusalKind.CRASHING_PART: "Look for part-blamed lines; find what the prompts with "
    "that part hold. Restart all entries to lift the blame.",
    RefusalKind.CRASHING_REQUEST: "Look for part-blamed lines, and for the fingerprint "
    "in lines of failed attempts. Restart all entries to lift the blame.",
}


@dataclass(frozen=True, slots=True)
class Send:
    """Send a request to an upstream."""

    request: Request
    upstream: Upstream


@dataclass(frozen=True, slots=True)
class Hedge:
    """Send a request a second time, while its first attempt goes on."""

    request: Request
    upstream: Upstream


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close the connection of an attempt whose request is answered by the other."""

    ticket: int
    upstream_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer a request with a refusal.

    ``ran`` is whether an upstream may have run it. ``retry_after_ms`` is the delay
    after which the caller should retry, 0 where a retry does not help.
    """

    ticket: int
    kind: RefusalKind
    ran: bool
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class DeliverFailure:
    """Pass the upstream's error response on as the final answer."""

    ticket: int


Effect = Send | Hedge | CancelAttempt | Refuse | DeliverFailure
