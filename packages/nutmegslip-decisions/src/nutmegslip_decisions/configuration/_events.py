"""Define what configuration sync is told and what it asks for."""

from dataclasses import dataclass

from nutmegslip_decisions.configuration._errors import ConfigurationErrors
from nutmegslip_decisions.configuration._messages import Message
from nutmegslip_decisions.configuration._source_state import Source
from nutmegslip_decisions.model import Catalogue, Millis, Roster


@dataclass(frozen=True, slots=True)
class Started:
    """Begin a life of the process."""

    now_ms: Millis


@dataclass(frozen=True, slots=True)
class Tick:
    """Let time pass; due at least every 200 ms."""

    now_ms: Millis


@dataclass(frozen=True, slots=True)
class ServiceAnswered:
    """Hand in the body of the service's answer to a read."""

    now_ms: Millis
    source: Source
    body: bytes


@dataclass(frozen=True, slots=True)
class ServiceFailed:
    """Report that a read was refused, was cut off or timed out."""

    now_ms: Millis
    source: Source


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Hand in a peer's message."""

    now_ms: Millis
    host: str
    message: Message


@dataclass(frozen=True, slots=True)
class LinkUp:
    """Report that a peer can be reached."""

    now_ms: Millis
    host: str


@dataclass(frozen=True, slots=True)
class LinkDown:
    """Report that the link to a peer has closed."""

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
    """Read all changes of a source after a version, or wait for one."""

    source: Source
    after: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a host; it may be lost."""

    host: str
    message: Message


@dataclass(frozen=True, slots=True)
class CatalogueInForce:
    """Announce the catalogue now in force; ``position`` is the version read."""

    catalogue: Catalogue
    position: int


@dataclass(frozen=True, slots=True)
class RosterInForce:
    """Announce the list of hosts now in force."""

    roster: Roster
    position: int


@dataclass(frozen=True, slots=True)
class Refused:
    """Announce what is refused of a source at present; empty once corrected."""

    source: Source
    errors: ConfigurationErrors


@dataclass(frozen=True, slots=True)
class LeaseChanged:
    """Announce that new work may be taken, or no longer."""

    held: bool


Effect = ReadService | Send | CatalogueInForce | RosterInForce | Refused | LeaseChanged
