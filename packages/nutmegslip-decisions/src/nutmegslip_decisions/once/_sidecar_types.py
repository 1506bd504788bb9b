"""Define the state, events and effects of a sidecar's at-most-once records."""

from dataclasses import dataclass
from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.model import NEVER_MS, Millis, Roster
from nutmegslip_decisions.once._membership import Membership
from nutmegslip_decisions.once._messages import Answer, Message
from nutmegslip_decisions.once._options import OnceOptions
from nutmegslip_decisions.once._records import Pending, Record
from nutmegslip_decisions.once._transfer import Transfer
from nutmegslip_decisions.once._transfer_messages import TransferMessage


@dataclass(frozen=True, slots=True)
class Received:
    """A message has arrived from a peer that the link has authenticated."""

    now_ms: Millis
    message: Message | TransferMessage


@dataclass(frozen=True, slots=True)
class RosterChanged:
    """A newer host list is in force.

    ``contiguous`` is false if a version before it has been missed.
    """

    now_ms: Millis
    roster: Roster
    contiguous: bool = True


@dataclass(frozen=True, slots=True)
class PermissionChanged:
    """The lease on the configuration or the permission to take work has changed.

    ``takes_work`` is false while the host is draining or marked out.
    """

    now_ms: Millis
    lease_until_ms: Millis
    takes_work: bool


@dataclass(frozen=True, slots=True)
class UpstreamFinished:
    """The upstream has returned its complete answer."""

    now_ms: Millis
    key: str
    answer: Answer


@dataclass(frozen=True, slots=True)
class UpstreamNotSent:
    """The call provably never reached the upstream, as with a refused connection."""

    now_ms: Millis
    key: str


@dataclass(frozen=True, slots=True)
class UpstreamCutOff:
    """The call was cut off; whether it ran is unknown."""

    now_ms: Millis
    key: str


@dataclass(frozen=True, slots=True)
class PeerUnreachable:
    """No link to a host is open, or a message to it could not be sent."""

    now_ms: Millis
    host: str


@dataclass(frozen=True, slots=True)
class StopRequested:
    """A planned stop: finish the requests in flight, then hand over the memory."""

    now_ms: Millis
    deadline_ms: Millis


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; a few ticks a second suffice."""

    now_ms: Millis


SidecarEvent = (
    Received
    | RosterChanged
    | PermissionChanged
    | UpstreamFinished
    | UpstreamNotSent
    | UpstreamCutOff
    | PeerUnreachable
    | StopRequested
    | Tick
)


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """A message to a host; it may be lost, delayed, duplicated or reordered."""

    host: str
    message: Message | TransferMessage


@dataclass(frozen=True, slots=True)
class StartUpstream:
    """A call to the upstream, made at once; it must not be queued.

    The shell reports exactly one outcome for it.
    """

    key: str
    payload: bytes
    deadline_ms: Millis


@dataclass(frozen=True, slots=True)
class Stopped:
    """The process may exit; this effect may be repeated."""


SidecarEffect = SendToPeer | StartUpstream | Stopped


class SidecarState(NamedTuple):
    """The at-most-once records of one incarnation of a sidecar."""

    host: str
    incarnation: str
    started_ms: Millis
    options: OnceOptions = OnceOptions()
    members: Membership = Membership()
    lease_until_ms: Millis = 0
    takes_work: bool = False
    pending: Map[str, Pending] = Map()
    records: Map[str, Record] = Map()
    transfer: Transfer = Transfer()
    predecessors: tuple[str, ...] = ()
    claimed_ms: Millis = 0
    active_from_ms: Millis = NEVER_MS
    first_start: bool = False
    last_event_ms: Millis | None = None
    was_suspended: bool = False
    stop_deadline_ms: Millis | None = None
    next_gather: int = 1
    next_heartbeat_ms: Millis = 0
    next_sweep_ms: Millis = 0

    @property
    def memory_start_ms(self) -> Millis:
        """Return the time since which records and host lists are complete."""
        return max(self.started_ms, self.members.complete_since_ms)

    @property
    def is_sealed(self) -> bool:
        """Return whether the memory has been packed; no decision follows."""
        return self.transfer.outgoing is not None

    def is_active(self, now_ms: Millis) -> bool:
        """Return whether an earlier memory has been claimed or no longer can be."""
        return now_ms >= self.active_from_ms

    def recent_predecessors(self, now_ms: Millis) -> tuple[str, ...]:
        """Return the earlier incarnations whose memory this one holds."""
        recent = now_ms < self.claimed_ms + self.options.memory_ms
        return self.predecessors if recent else ()


def new_sidecar(
    host: str,
    incarnation: str,
    now_ms: Millis,
    options: OnceOptions,
    *,
    first_start: bool = False,
) -> SidecarState:
    """Return the state of a process that has just started.

    ``first_start`` states that no process of its workloads has run within the memory
    period, as on a new site; it must not be set in any other case.
    """
    return SidecarState(
        host,
        incarnation,
        now_ms - options.memory_ms if first_start else now_ms,
        options,
        active_from_ms=now_ms if first_start else now_ms + options.claim_ms,
        first_start=first_start,
    )


SidecarStep = tuple[SidecarState, tuple[SidecarEffect, ...]]
