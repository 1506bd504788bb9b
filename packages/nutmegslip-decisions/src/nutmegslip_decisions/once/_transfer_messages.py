"""Define the messages that hand over a process's memory to its successor.

A stopping process asks one peer to keep its memory and sends it in parts. The next
process on the same host claims the parts before it becomes active.
"""

from dataclasses import dataclass

from nutmegslip_decisions.once._messages import Answer, Holder


@dataclass(frozen=True, slots=True)
class KeptRecord:
    """One record of a sidecar; ``kind`` names its class."""

    key: str
    kind: str
    remaining_ms: int
    fingerprint: str = ""
    answer: Answer | None = None
    yielded_to: str = ""
    promised_to: tuple[Holder, ...] = ()


@dataclass(frozen=True, slots=True)
class KeptLog:
    """The log of one key of an entry."""

    key: str
    remaining_ms: int
    holders: tuple[Holder, ...]
    bound_to: tuple[Holder, ...]


@dataclass(frozen=True, slots=True)
class KeptListing:
    """The time that a host was listed, as ages in milliseconds.

    ``until_age_ms`` is -1 while the host is listed. ``workload`` is empty for an entry.
    """

    workload: str
    host: str
    first_age_ms: int
    since_age_ms: int
    until_age_ms: int
    zone: str


@dataclass(frozen=True, slots=True)
class KeepRequest:
    """A request to a peer to keep the memory of a stopping process."""

    host: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class KeepReply:
    """The agreement to keep a memory until a time on the keeper's clock."""

    keeper: str
    keeper_incarnation: str
    to_incarnation: str
    until_ms: int


@dataclass(frozen=True, slots=True)
class MemoryPart:
    """One part of a memory.

    ``remembers_ms`` is how far the memory reaches back. ``predecessors`` are the
    earlier incarnations whose memory it includes.
    """

    host: str
    incarnation: str
    keeper_incarnation: str
    until_ms: int
    part: int
    parts: int
    remembers_ms: int
    predecessors: tuple[str, ...]
    records: tuple[KeptRecord, ...] = ()
    logs: tuple[KeptLog, ...] = ()
    listings: tuple[KeptListing, ...] = ()


@dataclass(frozen=True, slots=True)
class MemoryAck:
    """The keeper's acknowledgement of a part."""

    keeper: str
    to_incarnation: str
    part: int


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A request for one part of the memory of the host's previous process."""

    host: str
    incarnation: str
    part: int


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """One part of a memory, for the only process that may claim it."""

    keeper: str
    to_incarnation: str
    memory: MemoryPart


TransferMessage = (
    KeepRequest | KeepReply | MemoryPart | MemoryAck | ClaimRequest | ClaimReply
)
TRANSFER_MESSAGES = (
    KeepRequest,
    KeepReply,
    MemoryPart,
    MemoryAck,
    ClaimRequest,
    ClaimReply,
)
