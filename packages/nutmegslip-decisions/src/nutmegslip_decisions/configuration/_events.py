"""Define the events and effects of configuration sync."""

from dataclasses import dataclass

from nutmegslip_decisions.configuration._errors import ConfigurationErrors
from nutmegslip_decisions.configuration._messages import Message
from nutmegslip_decisions.configuration._source_state import Source
from nutmegslip_decisions.model import Catalogue, Millis, Roster


@dataclass(frozen=True, slots=True)
class Started:
    """The process has started."""

    now_ms: Millis


@dataclass(frozen=True, slots=True)
class Tick:
    """A timer tick, due at least every 200 ms."""

    now_ms: Millis


@dataclass(frozen=True, slots=True)
class ServiceAnswered:
    """The service answered a read with a body."""

    now_ms: Millis
    source: Source
    body: bytes


@dataclass(frozen=True, slots=True)
class ServiceFailed:
    """A read was refused, was interrupted or timed out."""

    now_ms: Millis
    source: Source


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from a peer was received."""

    now_ms: Millis
    host: str
    message: Message


@dataclass(frozen=True, slots=True)
class LinkUp:
    """The link to a peer has opened."""

    now_ms: Millis
    host: str


@dataclass(frozen=True, slots=True)
class LinkDown:
    """The link to a peer has closed."""

    now_ms: Millis
    host: str


Event = (
    Started
    | Tick
    | ServiceAnswered
    | ServiceFailed
    | MessageReceived
    | LinkUp
    | LinkDown
)


@dataclass(frozen=True, slots=True)
class ReadService:
    """A read of all changes after a version; waits up to ``wait_ms`` for the first."""

    source: Source
    after: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class Send:
    """A message to send to a host; delivery is not guaranteed."""

    host: str
    message: Message


@dataclass(frozen=True, slots=True)
class CatalogueInForce:
    """The catalogue now in force; ``position`` is the version read."""

    catalogue: Catalogue
    position: int


@dataclass(frozen=True, slots=True)
class RosterInForce:
    """The list of hosts now in force; ``position`` is the version read."""

    roster: Roster
    position: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The current errors of a source; empty once they are corrected."""

    source: Source
    errors: ConfigurationErrors


@dataclass(frozen=True, slots=True)
class LeaseChanged:
    """The lease on accepting new work was acquired or lost."""

    held: bool


Effect = ReadService | Send | CatalogueInForce | RosterInForce | Refused | LeaseChanged
