"""Define the events and effects of an entry."""

from dataclasses import dataclass

from nutmegslip_decisions.log_events import LogEvent
from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.process import CommonEvent, ReadService, Send, Stopped
from nutmegslip_decisions.work import FailureKind, Ran


@dataclass(frozen=True, slots=True)
class CallerArrived:
    """A request that a caller has sent.

    ``token_sha256`` is the hex digest of its bearer token. ``prefixes`` are
    chained digests of the prompt's blocks. ``timeout_ms`` is the timeout that the
    caller gave, or zero. ``once_payload`` is what a sidecar needs to call a plain
    service, and ``fingerprint`` distinguishes requests with the same idempotency key.
    """

    now_ms: Millis
    request_id: str
    workload: str
    token_sha256: str
    method: str
    path: str
    body: bytes
    stream: bool
    timeout_ms: int = 0
    prefixes: tuple[bytes, ...] = ()
    idempotency_key: str = ""
    fingerprint: str = ""
    once_payload: bytes = b""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The disconnection of a caller before its answer was complete."""

    now_ms: Millis
    request_id: str


EntryEvent = CommonEvent | CallerArrived | CallerGone


@dataclass(frozen=True, slots=True)
class Deliver:
    """Deliver pieces of a streamed answer to the caller in order."""

    request_id: str
    pieces: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Complete:
    """End a request with its full answer; the body of a stream is empty."""

    request_id: str
    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class KeepLinks:
    """Keep links open to exactly these hosts, apart from incoming links."""

    hosts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Fail:
    """End a request with an error immediately.

    ``retry_after_ms`` is zero if a retry cannot succeed.
    """

    request_id: str
    kind: FailureKind
    ran: Ran
    retry_after_ms: int
    detail: str


EntryEffect = (
    Send | ReadService | KeepLinks | Deliver | Complete | Fail | LogEvent | Stopped
)
