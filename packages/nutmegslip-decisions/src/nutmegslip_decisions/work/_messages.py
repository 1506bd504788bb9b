"""The work messages; every field is a plain value."""

from dataclasses import dataclass

from nutmegslip_decisions.work._failures import Ran, RefusalKind


@dataclass(frozen=True, slots=True)
class Submit:
    """One attempt of a request, submitted to a sidecar.

    ``deadline_ms`` is on the sidecar's clock, which its load reports carry, so a
    message that is delayed anywhere expires. ``resume_from`` is the number of
    pieces that the caller has already received.
    """

    attempt_id: str
    workload: str
    account: str
    method: str
    path: str
    body: bytes
    stream: bool
    priority: int
    deadline_ms: int
    resume_from: int = 0


@dataclass(frozen=True, slots=True)
class Cancel:
    """A request to cancel an attempt; the sidecar stops it if it is running."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class Pieces:
    """Consecutive pieces of a streamed answer, numbered from ``first``."""

    attempt_id: str
    first: int
    pieces: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Finished:
    """The whole answer to an attempt.

    ``total`` is the number of pieces of a streamed answer, counted from the
    start of the request; a plain answer has zero and its ``body``.
    """

    attempt_id: str
    status: int
    content_type: str
    body: bytes
    total: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The attempt was not started at this sidecar and never will be."""

    attempt_id: str
    kind: RefusalKind
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class Failed:
    """The attempt ended without a whole answer."""

    attempt_id: str
    ran: Ran
    detail: str


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of a sidecar's upstream, sent to one entry.

    ``in_hand`` is the number of requests in flight at the upstream or queued for
    it, and ``own`` the number of those that the receiver sent. ``credits`` is how
    many more the receiver may send while the upstream is cold. ``clock_ms`` is the
    sidecar's clock at sending.
    """

    incarnation: str
    clock_ms: int
    in_hand: int
    own: int
    cold: bool
    credits: int
    takes_work: bool


WorkMessage = Submit | Cancel | Pieces | Finished | Refused | Failed | LoadReport

MESSAGES = (Submit, Cancel, Pieces, Finished, Refused, Failed, LoadReport)
