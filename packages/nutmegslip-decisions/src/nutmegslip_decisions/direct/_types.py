"""Types of the published configuration, upstreams and requests."""

from enum import StrEnum
from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.model import Millis

WHOLE_REQUEST = "request:"  # begins a subject that is no part of a prompt


class RequestKind(StrEnum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class Target(NamedTuple):
    """A service that gets a route's requests in proportion to ``weight``."""

    service: str
    weight: int


class Route(NamedTuple):
    """One published route.

    ``prefix`` begins and ends with a slash. ``attempts`` is the maximum count of
    upstreams that one request may be sent to. ``priority`` is 0 for the most urgent.
    ``objective_ms`` is the latency target of the first part of an answer, ``gap_ms``
    the bound on gaps between events of a stream, 0 for none.
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
        """Return whether a request that may have run may be sent again."""
        match self.kind:
            case RequestKind.IDEMPOTENT:
                return True
            case RequestKind.STREAM:
                return self.resumable
            case RequestKind.NON_IDEMPOTENT:
                return False


class ExpertLayout(NamedTuple):
    """The sizes of a model's expert layers; ``places`` and ``spare`` are per rank.

    ``spare`` is how many experts may be added to a rank in one change of the map.
    ``report_lag_ms`` is how old what a rank reports is, ``copy_ms`` the time that an
    expert takes to be copied to a rank.
    """

    layers: int
    experts: int
    places: int
    spare: int
    report_lag_ms: float = 300.0
    copy_ms: float = 0.0


class EngineModel(NamedTuple):
    """The published cost model of an engine.

    ``prompt_tokens`` and ``answer_tokens`` are the published means of a request.
    ``pass_steps`` is the count of steps in a pass with answers, 0 if unknown.
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
    pass_steps: int = 0


class Service(NamedTuple):
    """One published service.

    ``cold_per_s`` is the request rate that a cold upstream can serve, 0 where the
    service has no cold start.
    """

    name: str
    connection_limit: int = 0
    cold_per_s: float = 0.0
    engine: EngineModel | None = None


class Account(NamedTuple):
    """The client account of a key; its priority overrides the route's."""

    name: str
    priority: int | None = None


class RequestLimits(NamedTuple):
    """Limits on the size and the timing of callers' requests."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Configuration(NamedTuple):
    """One published version; ``accounts`` is None where no key is required."""

    version: int
    routes: tuple[Route, ...]
    services: Map[str, Service]
    limits: RequestLimits
    accounts: Map[str, Account] | None


class GroupRank(NamedTuple):
    """The rank of an upstream in its lock-step group of ``size`` ranks."""

    group: str
    epoch: int
    rank: int
    is_open: bool
    size: int = 0


class Upstream(NamedTuple):
    """One published upstream; ``born_ms`` differs between its incarnations."""

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
        """Return the name of its group, empty if it has none."""
        return "" if self.rank is None else self.rank.group


class Standing(NamedTuple):
    """Whether an entry changes expert maps, or may be the next to do so.

    ``fence`` is the highest fencing number that it has used.
    """

    leads: bool = False
    may_lead: bool = False
    fence: int = 0


class NamedLimit(NamedTuple):
    """What an incarnation of an upstream last said of the requests that it takes.

    ``per_s`` is the rate over all entries, None if it names none. ``named_ms`` is when
    the answer that said so arrived, ``peer`` the entry that got it, empty for this one.
    """

    born_ms: int
    per_s: float | None
    named_ms: Millis
    peer: str = ""


class EndedProcess(NamedTuple):
    """A process of an entry that has ended, or may have, and the retries it sent.

    ``ended_ms`` is when it was last heard, ``retries`` are those in the budget window
    at that time, by service.
    """

    peer: str
    ended_ms: Millis
    retries: Map[str, int]


class SpendingReport(NamedTuple):
    """What an entry reports of the retry budget.

    ``process`` differs between the processes of an entry, 0 for one that does not
    report it. ``retries`` are its own in the budget window, by service. ``ended`` are
    ended processes of any entry; ``is_complete`` is whether these are all that ended
    in the window.
    """

    process: int = 0
    is_complete: bool = False
    retries: Map[str, int] = Map()
    ended: Map[int, EndedProcess] = Map()


class PaceReport(NamedTuple):
    """What an entry measures of a group's event gaps.

    ``per_stream_ms`` is what each stream in flight adds to the gaps of all.
    """

    per_stream_ms: float
    gap_ms: float


PaceReports = Map[str, Map[str, PaceReport]]  # by service and group


class Measure(StrEnum):
    """What a count of demand counts, and by which name."""

    ENTRIES = "entries"  # that report their demand
    WEIGHT = "weight"  # of an entry: what waits and was sent of late
    SHORT = "short"  # entries where requests wait or were refused of late
    ARRIVED = "arrived"  # of late, of accounts under their fair share, by priority
    WAITING = "waiting"  # likewise
    HELD = "held"  # in flight, by priority
    USED = "used"  # in flight, by account
    WANTED = "wanted"  # slots for what waits or was refused of late, by account
    SENT = "sent"  # of late; not reported
    REFUSED = "refused"  # of late, by account; not reported


DemandKey = tuple[str, Measure, str]  # service, what is counted, name or empty
Demand = Map[DemandKey, int]


class CallerRequest(NamedTuple):
    """A request as received from a caller, before admission.

    ``ticket`` identifies it within this process. ``caller_deadline_ms`` is when the
    caller stops waiting, None if unknown. ``parts`` are the shared parts of its prompt.
    ``fingerprint`` is a hash of what it asks for, empty if unknown.
    """

    ticket: int
    request_id: str
    host: str
    path: str
    key: str | None
    caller_deadline_ms: Millis | None
    parts: tuple[str, ...] = ()
    fingerprint: str = ""


class Attempt(NamedTuple):
    """An attempt in flight."""

    upstream: str
    sent_at_ms: Millis


class Request(NamedTuple):
    """One admitted request without a final answer.

    ``sends`` counts towards the route's attempts. ``reached`` counts the attempts
    that arrived at an upstream, misdirected ones included. ``begun`` is whether the
    answer of this attempt has begun; ``met_crash`` is whether an upstream crashed
    before it did. ``fingerprint`` is the same for a request that a caller sends again,
    at whichever entry. ``send_by_ms`` is the latest time to send the request to its
    upstream, None without a limit but its deadline. ``hedge_ms`` is when a second
    attempt is due, None for never; ``hedge`` is that attempt while both are in flight.
    ``group_wait_end_ms`` is until when it waits for a group of ranks to form again,
    None if it does not.
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
    parts: tuple[str, ...] = ()
    begun: bool = False
    met_crash: bool = False
    fingerprint: str = ""
    send_by_ms: Millis | None = None
    hedge_ms: Millis | None = None
    hedge: Attempt | None = None
    group_wait_end_ms: Millis | None = None

    @property
    def subjects(self) -> tuple[str, ...]:
        """Return what may be to blame if upstreams crash on it: parts, and itself."""
        if not self.fingerprint:
            return self.parts
        return (*self.parts, f"{WHOLE_REQUEST}{self.fingerprint}")
