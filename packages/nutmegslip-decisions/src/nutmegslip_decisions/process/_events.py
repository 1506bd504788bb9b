"""Events that any process receives from its shell, and effects that it returns."""

from dataclasses import dataclass

from nutmegslip_decisions.configuration import (
    ReadService,
    ServiceAnswered,
    ServiceFailed,
    Started,
    Tick,
)
from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.work import Pieces

HANDOVER_TIMEOUT_MS = 10_000  # for the at-most-once records, after the drain

#: Any message class that the codec carries.
Message = object


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """An authenticated peer sent a message."""

    now_ms: Millis
    host: str
    message: Message


@dataclass(frozen=True, slots=True)
class PeerPieces:
    """An authenticated peer sent pieces of several answers in one batch."""

    now_ms: Millis
    host: str
    batches: tuple[Pieces, ...]


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A link to a peer is up; ``incarnation`` is the peer's current one."""

    now_ms: Millis
    host: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class LinkDown:
    """The last link to a peer closed, or no link could be opened."""

    now_ms: Millis
    host: str


@dataclass(frozen=True, slots=True)
class SendFailed:
    """A message provably never left this process."""

    now_ms: Millis
    host: str
    message: Message


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process was asked to stop; it first drains the requests in flight.

    Requests that are still in flight at ``deadline_ms`` are ended.
    """

    now_ms: Millis
    deadline_ms: Millis


CommonEvent = (
    Started
    | Tick
    | ServiceAnswered
    | ServiceFailed
    | PeerMessage
    | PeerPieces
    | LinkUp
    | LinkDown
    | SendFailed
    | StopRequested
)


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a host; it may be lost, delayed or duplicated."""

    host: str
    message: Message


@dataclass(frozen=True, slots=True)
class Stopped:
    """The process is drained and may exit."""


__all__ = [
    "HANDOVER_TIMEOUT_MS",
    "CommonEvent",
    "LinkDown",
    "LinkUp",
    "Message",
    "PeerMessage",
    "PeerPieces",
    "ReadService",
    "Send",
    "SendFailed",
    "ServiceAnswered",
    "ServiceFailed",
    "Started",
    "StopRequested",
    "Stopped",
    "Tick",
]
