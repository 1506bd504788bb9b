"""Define the state, events and effects of an entry's at-most-once log."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.model import NEVER_MS, Millis
from nutmegslip_decisions.once._membership import Membership
from nutmegslip_decisions.once._messages import Answer, Holder
from nutmegslip_decisions.once._options import OnceOptions
from nutmegslip_decisions.once._sidecar_types import (
    PeerUnreachable,
    Received,
    RosterChanged,
    SendToPeer,
    Stopped,
    StopRequested,
    Tick,
)
from nutmegslip_decisions.once._transfer import Transfer


class OutcomeKind(StrEnum):
    """The outcome of a request.

    ``not_run``: the key has not run and never will; a retry needs a new key.
    ``not_sent``: this request was sent to no sidecar; a retry may use the same key.
    ``unknown``: the request may have run.
    """

    FINISHED = "finished"
    NOT_RUN = "not_run"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class Submitted:
    """A caller has sent a non-idempotent request.

    ``request`` is unique among the requests of this entry. ``avoid`` names sidecars
    that are marked out or leaving; they are tried after all others.
    """

    now_ms: Millis
    request: str
    workload: str
    key: str
    fingerprint: str
    payload: bytes
    deadline_ms: Millis
    avoid: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class SendFailed:
    """A start request provably never left this process."""

    now_ms: Millis
    host: str
    request: str


@dataclass(frozen=True, slots=True)
class Answered:
    """The final outcome of a request, for its caller."""

    request: str
    kind: OutcomeKind
    answer: Answer | None = None


EntryEvent = (
    Submitted
    | Received
    | SendFailed
    | PeerUnreachable
    | RosterChanged
    | StopRequested
    | Tick
)
EntryEffect = SendToPeer | Answered | Stopped


class Link(NamedTuple):
    """The state of a sidecar as its heartbeats report it.

    ``offset_ms`` is a lower bound of its clock minus this process's clock.
    """

    incarnation: str
    offset_ms: Millis
    predecessors: tuple[str, ...] = ()


class KeyLog(NamedTuple):
    """The sidecars that a key has been sent to.

    ``sends`` counts the requests that may have reached each holder. While
    ``bound_to`` is not empty, the key is sent to known holders only.
    """

    sends: Map[Holder, int] = Map()
    bound_to: frozenset[Holder] = frozenset()
    expires_ms: Millis = 0

    @property
    def holders(self) -> frozenset[Holder]:
        """Return the sidecars that may have the key or obtain the right to start it."""
        return frozenset(self.sends) | self.bound_to

    def permits(self, host: str, link: Link) -> bool:
        """Return whether the key may be sent to a sidecar."""
        incarnations = (link.incarnation, *link.predecessors)
        return not self.bound_to or any(
            Holder(host, i) in self.holders for i in incarnations
        )


class OpenRequest(NamedTuple):
    """A request that has no outcome yet."""

    submitted: Submitted
    tried: frozenset[str] = frozenset()
    holder: Holder | None = None
    attempt_deadline_ms: Millis = 0
    hops: int = 0


class EntryState(NamedTuple):
    """The at-most-once log of one incarnation of an entry."""

    host: str
    incarnation: str
    started_ms: Millis
    options: OnceOptions = OnceOptions()
    members: Membership = Membership()
    links: Map[str, Link] = Map()
    logs: Map[str, KeyLog] = Map()
    open: Map[str, OpenRequest] = Map()
    transfer: Transfer = Transfer()
    active_from_ms: Millis = NEVER_MS
    first_start: bool = False
    last_event_ms: Millis | None = None
    was_suspended: bool = False
    stop_deadline_ms: Millis | None = None
    next_sweep_ms: Millis = 0

    @property
    def memory_start_ms(self) -> Millis:
        """Return the time since which the log is complete."""
        return self.started_ms

    @property
    def is_sealed(self) -> bool:
        """Return whether the log has been packed; no request is sent after that."""
        return self.transfer.outgoing is not None

    def is_active(self, now_ms: Millis) -> bool:
        """Return whether an earlier log has been claimed or no longer can be."""
        return now_ms >= self.active_from_ms

    def recent_predecessors(self, now_ms: Millis) -> tuple[str, ...]:
        """Return nothing: no message refers to an earlier incarnation of an entry."""
        return ()


def new_entry(
    host: str,
    incarnation: str,
    now_ms: Millis,
    options: OnceOptions,
    *,
    first_start: bool = False,
) -> EntryState:
    """Return the state of a process that has just started; see ``new_sidecar``."""
    return EntryState(
        host,
        incarnation,
        now_ms - options.memory_ms if first_start else now_ms,
        options,
        active_from_ms=now_ms if first_start else now_ms + options.claim_ms,
        first_start=first_start,
    )


EntryStep = tuple[EntryState, tuple[EntryEffect, ...]]
