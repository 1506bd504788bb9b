"""Describe what is published, and the requests that are served from it."""

from enum import StrEnum
from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.model import Millis


class RequestKind(StrEnum):
    """Say whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class Target(NamedTuple):
    """Give a service a share of a route's requests, in proportion to ``weight``."""

    service: str
    weight: int


class Route(NamedTuple):
    """Describe one published route.

    ``prefix`` begins and ends with a slash. ``attempts`` is the greatest count of
    upstreams that one request may be sent to. ``priority`` ranks, 0 first.
    ``gap_ms`` is the longest pause between events of a stream that is on time.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_ms: int
    objective_ms: int
    priority: int
    targets: tuple[Target, ...]
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_ms: int = 0

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run again after it may have run."""
        match self.kind:
            case RequestKind.IDEMPOTENT:
                return True
            case RequestKind.STREAM:
                return self.resumable
            case RequestKind.NON_IDEMPOTENT:
                return False


class ExpertLayout(NamedTuple):
    """Size a model's expert layers; ``places`` and ``spare`` are for one rank.

    ``spare`` is how many experts may be new to a rank in one change of the map.
    """

    layers: int
    experts: int
    places: int
    spare: int


class EngineModel(NamedTuple):
    """Give the published cost model of a model engine; times in milliseconds.

    ``prompt_tokens`` and ``answer_tokens`` are the published means of a request.
    """

    slots: int
    memory_tokens: int
    step_ms: float
    step_per_request_ms: float
    step_per_thousand_context_ms: float
    prompt_tokens_per_s: float
    form_group_ms: float
    prompt_tokens: int
    answer_tokens: int
    layout: ExpertLayout | None = None


class Service(NamedTuple):
    """Describe one published service.

    ``cold_per_s`` is the rate of requests that a cold upstream bears; 0 where
    the service has no cold start.
    """

    name: str
    connection_limit: int = 0
    cold_per_s: float = 0.0
    engine: EngineModel | None = None


class Account(NamedTuple):
    """Name the client account of a key; its priority goes before a route's."""

    name: str
    priority: int | None = None


class RequestLimits(NamedTuple):
    """Bound what a caller may send, and for how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Configuration(NamedTuple):
    """Hold one published version whole; ``accounts`` is None where none are asked."""

    version: int
    routes: tuple[Route, ...]
    services: Map[str, Service]
    limits: RequestLimits
    accounts: Map[str, Account] | None


class GroupRank(NamedTuple):
    """Place an upstream in its lock-stepped group of ``size`` ranks."""

    group: str
    epoch: int
    rank: int
    is_open: bool
    size: int = 0


class Upstream(NamedTuple):
    """Describe one published upstream; ``born_ms`` tells its lives apart."""

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    leaving: bool = False
    rank: GroupRank | None = None
    born_ms: int = 0

    @property
    def group(self) -> str:
        """Return the name of its group, empty where it runs by itself."""
        return "" if self.rank is None else self.rank.group


class CallerRequest(NamedTuple):
    """Describe a request that a caller sent, before anything is decided.

    ``ticket`` numbers it within this process. ``caller_deadline_ms`` is when the
    caller stops waiting, None where it does not say.
    """

    ticket: int
    request_id: str
    host: str
    path: str
    key: str | None
    caller_deadline_ms: Millis | None


class Request(NamedTuple):
    """Hold one admitted request until it has its final answer.

    ``sends`` counts towards the route's attempts. ``reached`` counts the upstreams
    that it arrived at, those of another address included.
    """

    ticket: int
    request_id: str
    route: Route
    service: str
    account: str
    priority: int
    arrived_ms: Millis
    deadline_ms: Millis
    upstream: str = ""
    sent_at_ms: Millis = 0
    tried: frozenset[str] = frozenset()
    sends: int = 0
    reached: int = 0
    may_have_run: bool = False
    streaming: bool = False
