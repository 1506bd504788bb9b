"""Define the records that a sidecar keeps for a key."""

from dataclasses import dataclass
from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.once._messages import (
    Answer,
    AttestReply,
    Holder,
    TombstoneReply,
)


class Waiter(NamedTuple):
    """A request of an entry that waits for the outcome of a key."""

    entry: str
    incarnation: str
    request: str
    last: bool


class Gather(NamedTuple):
    """The replies collected to obtain the right to start a key.

    ``promises`` maps a sidecar to its promise, ``attested`` an entry to its
    attestation. ``guards`` are the entries of which at least one must confirm that
    the key is not bound elsewhere. ``asks_entries`` is set once the sidecars'
    promises alone cannot suffice.
    """

    number: int
    stage_deadline_ms: Millis
    guards: tuple[str, ...]
    sender_is_guard: bool
    asks_entries: bool = False
    asked: frozenset[str] = frozenset()
    unreachable: frozenset[str] = frozenset()
    promises: Map[str, TombstoneReply] = Map()
    attested: Map[str, AttestReply] = Map()

    @property
    def holders(self) -> frozenset[Holder]:
        """Return every sidecar that may already have obtained the right."""
        replies = (*self.attested.values(), *self.promises.values())
        return frozenset(holder for reply in replies for holder in reply.holders)

    def has_promise(self, holder: Holder) -> bool:
        """Return whether a promise covers this incarnation of a sidecar."""
        promise = self.promises.get(holder.host)
        if promise is None:
            return False
        return holder.incarnation in (promise.incarnation, *promise.predecessors)


class Pending(NamedTuple):
    """A key that waits for the right to decide on it; nothing has been started.

    ``ends_only`` is set if this sidecar has promised not to start the key and
    gathers only to end it for all sidecars.
    """

    workload: str
    fingerprint: str
    payload: bytes
    deadline_ms: Millis
    waiters: tuple[Waiter, ...]
    gather: Gather
    ends_only: bool = False


@dataclass(frozen=True, slots=True)
class Started:
    """The request was passed to the upstream, which has not answered."""

    fingerprint: str
    waiters: tuple[Waiter, ...]
    expires_ms: Millis


@dataclass(frozen=True, slots=True)
class Finished:
    """The upstream has answered."""

    fingerprint: str
    answer: Answer
    expires_ms: Millis


@dataclass(frozen=True, slots=True)
class CutOff:
    """The request was passed to the upstream, and its answer was lost."""

    fingerprint: str
    expires_ms: Millis


@dataclass(frozen=True, slots=True)
class Tombstone:
    """This sidecar has not started the key and never will.

    ``yielded_to`` names the sidecar that decides instead, if one is known, and
    ``promised_to`` every sidecar that the promise was given to.
    """

    yielded_to: str
    expires_ms: Millis
    promised_to: frozenset[Holder] = frozenset()


@dataclass(frozen=True, slots=True)
class Killed:
    """No sidecar has started the key or ever will."""

    expires_ms: Millis


Record = Started | Finished | CutOff | Tombstone | Killed
