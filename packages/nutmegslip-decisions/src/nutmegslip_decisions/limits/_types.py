"""Define the events, effects, messages and options of admission."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from nutmegslip_decisions.model import Catalogue, Millis, RequestClass


class ClassWaits(NamedTuple):
    """The maximum time that a request of each class may wait for an upstream."""

    interactive_ms: int = 300
    standard_ms: int = 300
    batch_ms: int = 300

    def of(self, request_class: RequestClass) -> int:
        """Return the maximum wait of one class in milliseconds."""
        match request_class:
            case RequestClass.INTERACTIVE:
                return self.interactive_ms
            case RequestClass.STANDARD:
                return self.standard_ms
            case RequestClass.BATCH:
                return self.batch_ms


class LimitsOptions(NamedTuple):
    """Options of admission.

    The home of a key is the entry that grants shares of the key's limits.
    ``share_valid_ms`` is how long a granted share may be used,
    ``share_prefetch_ms`` the period of expected demand requested in advance,
    ``home_timeout_ms`` how long an entry waits for a grant, and ``fallback_ms``
    how long it then uses its equal part before it contacts the home again.
    ``class_waits`` bounds the wait for a model engine, ``service_wait_ms`` that
    for a plain service, which has no time-to-first-token target.
    ``service_reserve_ms`` is the part of a deadline reserved for the upstream.
    """

    share_valid_ms: int = 1_000
    share_prefetch_ms: int = 50
    home_timeout_ms: int = 200
    fallback_ms: int = 1_000
    sweep_interval_ms: int = 500
    queue_limit: int = 256
    class_waits: ClassWaits = ClassWaits()
    service_wait_ms: int = 5_000
    service_reserve_ms: int = 250


class RefusalKind(StrEnum):
    """The reason why a request was refused; a refused request was not run."""

    UNKNOWN_WORKLOAD = "unknown-workload"
    ACCOUNT_LIMIT = "account-limit"
    WORKLOAD_LIMIT = "workload-limit"
    OVERLOADED = "overloaded"
    QUEUE_TIMEOUT = "queue-timeout"


_REMEDIES = {
    RefusalKind.UNKNOWN_WORKLOAD: "correct the workload, or publish it",
    RefusalKind.ACCOUNT_LIMIT: "send less, or raise the account's limits",
    RefusalKind.WORKLOAD_LIMIT: "send less, or raise the workload's limits",
    RefusalKind.OVERLOADED: "send the request again after the given time",
    RefusalKind.QUEUE_TIMEOUT: "send the request again with a later deadline",
}


class Refusal(NamedTuple):
    """A refusal; ``retry_after_ms`` is zero if a retry cannot succeed."""

    kind: RefusalKind
    subject: str
    retry_after_ms: int = 0

    @property
    def message(self) -> str:
        """Return the reason and its remedy."""
        return f"refused for {self.subject!r}: {self.kind}; {_REMEDIES[self.kind]}"


@dataclass(frozen=True, slots=True)
class ShareRequested:
    """A request to a key's home entry for a share of the key's limits.

    ``wanted`` counts requests beyond those in flight, ``in_hand``. A higher
    ``sequence`` replaces earlier requests of the sender.
    """

    key: str
    sequence: int
    wanted: int
    in_hand: int


@dataclass(frozen=True, slots=True)
class ShareGranted:
    """A granted share: tokens to spend and a bound on requests in flight.

    Both may be used for ``valid_ms`` from the time of the request for the share.
    ``retry_after_ms`` is the delay until the home can grant more.
    """

    key: str
    sequence: int
    tokens: int
    slots: int
    valid_ms: int
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class ShareReleased:
    """A notice to a key's home that the sender has no request in flight."""

    key: str
    sequence: int


LimitsMessage = ShareRequested | ShareGranted | ShareReleased

MESSAGES = (ShareRequested, ShareGranted, ShareReleased)


@dataclass(frozen=True, slots=True)
class LimitsChanged:
    """A change of the catalogue or of the list of entry hosts."""

    now_ms: Millis
    catalogue: Catalogue
    entries: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RequestOffered:
    """The arrival of a caller's request, which needs an admission decision."""

    now_ms: Millis
    request_id: str
    workload: str
    request_class: RequestClass
    account: str
    deadline_ms: Millis


@dataclass(frozen=True, slots=True)
class RequestDone:
    """The end of a request: it has its final answer or its caller disconnected."""

    now_ms: Millis
    request_id: str


@dataclass(frozen=True, slots=True)
class RequestReturned:
    """The return of an admitted request that found no upstream and waits again."""

    now_ms: Millis
    request_id: str


@dataclass(frozen=True, slots=True)
class HeadroomChanged:
    """The number of further requests of a workload that this entry may admit."""

    now_ms: Millis
    workload: str
    free: int


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message received from another entry."""

    now_ms: Millis
    sender: str
    message: LimitsMessage


@dataclass(frozen=True, slots=True)
class Tick:
    """The current time; required at least every 50 ms while requests wait."""

    now_ms: Millis


LimitsEvent = (
    LimitsChanged
    | RequestOffered
    | RequestDone
    | RequestReturned
    | HeadroomChanged
    | MessageReceived
    | Tick
)


@dataclass(frozen=True, slots=True)
class Admit:
    """Send the request to an upstream."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request immediately."""

    request_id: str
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to another entry host."""

    host: str
    message: LimitsMessage


LimitsEffect = Admit | Refuse | Send
