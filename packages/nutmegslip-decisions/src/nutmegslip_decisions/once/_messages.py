"""Define the messages between entries and sidecars about a key.

A reply or a start request is valid for one incarnation of the receiver only and
names it. Messages carry durations instead of clock values, except that a sidecar's
own clock is echoed back to it.
"""

from dataclasses import dataclass
from enum import StrEnum


class StartVerdict(StrEnum):
    """The decision of a sidecar on a key.

    ``declined``: this sidecar has not started it and never will; another may.
    ``yielded``: as declined, and the host in ``yielded_to`` decides instead.
    ``rejected``: the message was dropped; nothing is promised.
    ``not_run``: no sidecar has started it or ever will.
    """

    FINISHED = "finished"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    IN_PROGRESS = "in_progress"
    CONFLICT = "conflict"
    DECLINED = "declined"
    YIELDED = "yielded"
    REJECTED = "rejected"


class TombstoneVerdict(StrEnum):
    """The reply to a request to promise never to start a key."""

    PROMISED = "promised"
    PENDING = "pending"
    STARTED = "started"
    KILLED = "killed"


@dataclass(frozen=True, slots=True)
class Answer:
    """The complete answer of an upstream."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Holder:
    """An incarnation of a sidecar that may have received a key."""

    host: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class SidecarBeat:
    """A heartbeat with the sidecar's incarnation and the time on its clock.

    ``predecessors`` are the earlier incarnations whose memory it holds.
    """

    host: str
    incarnation: str
    clock_ms: int
    predecessors: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class StartRequest:
    """A request to start a key or to return its outcome.

    ``deadline_ms`` is on the clock of the sidecar: the time in its last heartbeat
    plus what remained when the heartbeat arrived. A message that is delayed anywhere
    therefore expires. ``remembers_ms`` is how far the entry's log reaches back.
    ``last`` is set if the entry has no further sidecar to try.
    """

    entry: str
    entry_incarnation: str
    request: str
    to_incarnation: str
    workload: str
    key: str
    fingerprint: str
    payload: bytes
    deadline_ms: int
    remembers_ms: int
    last: bool


@dataclass(frozen=True, slots=True)
class StartReply:
    """The reply to a start request."""

    host: str
    incarnation: str
    to_incarnation: str
    request: str
    key: str
    verdict: StartVerdict
    answer: Answer | None = None
    yielded_to: str = ""


@dataclass(frozen=True, slots=True)
class TombstoneRequest:
    """A request to another sidecar to promise never to start a key.

    ``guards`` are the entries whose attestation the sender relies on.
    """

    host: str
    incarnation: str
    gather: int
    workload: str
    key: str
    guards: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class TombstoneReply:
    """The reply to a tombstone request.

    ``remembers_ms`` is how far the sender's memory reaches back, and ``predecessors``
    are the earlier incarnations that it covers. ``holders`` are the other sidecars
    that it has promised the same key to. ``committee`` is the committee of the key,
    empty if the sender cannot confirm it; ``known_guards`` are those guards that have
    been listed for the whole memory period.
    """

    host: str
    incarnation: str
    to_incarnation: str
    gather: int
    key: str
    verdict: TombstoneVerdict
    remembers_ms: int
    holders: tuple[Holder, ...] = ()
    committee: tuple[str, ...] = ()
    known_guards: tuple[str, ...] = ()
    predecessors: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AttestRequest:
    """A request to an entry to report the holders of a key and send it to no other."""

    host: str
    incarnation: str
    gather: int
    key: str


@dataclass(frozen=True, slots=True)
class EntryListing:
    """How long an entry host has been on the published list."""

    host: str
    listed_ms: int


@dataclass(frozen=True, slots=True)
class AttestReply:
    """Every holder of a key; the entry will send the key to no other sidecar.

    ``history_ms`` is how far back the entry's history of entry hosts is complete.
    """

    entry: str
    incarnation: str
    to_incarnation: str
    gather: int
    key: str
    holders: tuple[Holder, ...]
    remembers_ms: int
    history_ms: int
    entries: tuple[EntryListing, ...]


Message = (
    SidecarBeat
    | StartRequest
    | StartReply
    | TombstoneRequest
    | TombstoneReply
    | AttestRequest
    | AttestReply
)

MESSAGES = (
    SidecarBeat,
    StartRequest,
    StartReply,
    TombstoneRequest,
    TombstoneReply,
    AttestRequest,
    AttestReply,
)
