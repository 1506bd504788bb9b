"""Define what an entry hears from its shell and asks of it."""

from dataclasses import dataclass

from nutmegslip_decisions.log_events import LogEvent
from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.process import CommonEvent, ReadService, Send, Stopped
from nutmegslip_decisions.work import FailureKind, Ran


@dataclass(frozen=True, slots=True)
class CallerArrived:
    """A caller has sent a request.

    ``token_sha256`` is the hex digest of its bearer token. ``prefixes`` are
    chained digests of the prompt's blocks. ``timeout_ms`` is the caller's own
    patience, zero where it gave none. ``once_payload`` is what a sidecar needs to
    call a plain service, and ``fingerprint`` tells two such requests apart.
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
    """A caller hung up before its answer was complete."""

    now_ms: Millis
    request_id: str


EntryEvent = CommonEvent | CallerArrived | CallerGone


@dataclass(frozen=True, slots=True)
class Deliver:
    """Pass pieces of a streamed answer to the caller, in order."""

    request_id: str
    pieces: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Complete:
    """End a request with its whole answer; a stream has no body left."""

    request_id: str
    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class KeepLinks:
    """Keep links open to exactly these hosts, besides those that dialled in."""

    hosts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Fail:
    """End a request without an answer, at once.

    ``retry_after_ms`` is zero where coming back is of no use.
    """

    request_id: str
    kind: FailureKind
    ran: Ran
    retry_after_ms: int
    detail: str


EntryEffect = (
    Send | ReadService | KeepLinks | Deliver | Complete | Fail | LogEvent | Stopped
)
