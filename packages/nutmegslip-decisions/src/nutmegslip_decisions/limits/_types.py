"""Name the events, effects, messages and options of admission."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from nutmegslip_decisions.model import Catalogue, Millis, RequestClass


class ClassWaits(NamedTuple):
    """Bound how long a request of each class may wait for an upstream."""

    interactive_ms: int = 300
    standard_ms: int = 300
    batch_ms: int = 300

    def of(self, request_class: RequestClass) -> int:
        """Return the longest wait of one class, in milliseconds."""
        match request_class:
            case RequestClass.INTERACTIVE:
                return self.interactive_ms
            case RequestClass.STANDARD:
                return self.standard_ms
            case RequestClass.BATCH:
                return self.batch_ms


class LimitsOptions(NamedTuple):
    """Set how an entry admits requests.

    ``share_valid_ms`` is how long a granted share may be used, ``share_lead_ms``
    how far ahead an entry asks, ``home_timeout_ms`` when an entry stops waiting
    for the home and ``fallback_ms`` how long it then leaves the home alone.
    ``class_waits`` bound the wait for a model engine, ``service_wait_ms`` that
    for a plain service, which has no first-token goal to miss.
    ``service_reserve_ms`` is the part of a deadline kept for the upstream.
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
    """Say why a request was refused; a refused request was not run."""

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
    """Report a refusal; ``retry_after_ms`` is zero where coming back is no use."""

    kind: RefusalKind
    subject: str
    retry_after_ms: int = 0

    @property
    def message(self) -> str:
        """Return the reason and its remedy."""
        return f"refused by {self.subject!r}: {self.kind}; {_REMEDIES[self.kind]}"


@dataclass(frozen=True, slots=True)
class ShareRequested:
    """Ask a key's home entry for a share of the key's limits.

    ``wanted`` are requests beyond ``in_hand``; a higher ``sequence`` replaces
    what the sender has asked before.
    """

    key: str
    sequence: int
    wanted: int
    in_hand: int


@dataclass(frozen=True, slots=True)
class ShareGranted:
    """Grant a share: tokens to spend and a bound on requests in hand.

    Both may be used for ``valid_ms`` from when the share was asked for.
    ``retry_after_ms`` tells when the home can grant more.
    """

    key: str
    sequence: int
    tokens: int
    slots: int
    valid_ms: int
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class ShareReleased:
    """Tell a key's home that the sender has no request in hand any more."""

    key: str
    sequence: int


LimitsMessage = ShareRequested | ShareGranted | ShareReleased

MESSAGES = (ShareRequested, ShareGranted, ShareReleased)


@dataclass(frozen=True, slots=True)
class LimitsChanged:
    """Tell that the catalogue or the list of entry hosts has changed."""

    now_ms: Millis
    catalogue: Catalogue
    entries: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RequestOffered:
    """Tell that a caller's request has arrived and needs a decision."""

    now_ms: Millis
    request_id: str
    workload: str
    request_class: RequestClass
    account: str
    deadline_ms: Millis


@dataclass(frozen=True, slots=True)
class RequestDone:
    """Tell that a request has its final answer or that its caller hung up."""

    now_ms: Millis
    request_id: str


@dataclass(frozen=True, slots=True)
class RequestReturned:
    """Tell that an admitted request found no upstream and is to wait again."""

    now_ms: Millis
    request_id: str


@dataclass(frozen=True, slots=True)
class HeadroomChanged:
    """Tell how many more requests of a workload this entry may have in hand."""

    now_ms: Millis
    workload: str
    free: int


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Tell that another entry sent a message."""

    now_ms: Millis
    sender: str
    message: LimitsMessage


@dataclass(frozen=True, slots=True)
class Tick:
    """Tell the time; needed at least every 50 ms while requests wait."""

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
    """Answer the request with a refusal at once."""

    request_id: str
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to another entry host."""

    host: str
    message: LimitsMessage


LimitsEffect = Admit | Refuse | Send
