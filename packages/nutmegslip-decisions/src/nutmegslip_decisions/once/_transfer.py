"""Hand over a memory to one peer, keep it, and claim it at most once.

A memory is claimed by at most one process, and only within the claim window. A
process that has claimed nothing becomes active only after the window, so a claim
never skips an incarnation that was active. Both sides use the keeper's clock alone.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import islice
from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.model import Millis, rendezvous_order
from nutmegslip_decisions.once._messages import Holder
from nutmegslip_decisions.once._transfer_messages import (
    ClaimReply,
    ClaimRequest,
    KeepReply,
    KeepRequest,
    MemoryAck,
    MemoryPart,
    TransferMessage,
)

ITEMS_PER_PART = 50  # limits a part to some tens of kilobytes


class KeptMemory(NamedTuple):
    """Another host's memory, kept until it is claimed or expires."""

    host: str
    until_ms: Millis
    received_ms: Millis
    parts: Map[int, MemoryPart] = Map()
    claimed_by: str = ""

    @property
    def is_complete(self) -> bool:
        """Return whether every part has been received."""
        return all(len(self.parts) == part.parts for part in self.parts.values())


class OutgoingMemory(NamedTuple):
    """The parts of this process's own memory, and the progress of the handover."""

    parts: tuple[MemoryPart, ...]
    keeper: str = ""
    keeper_incarnation: str = ""
    until_ms: Millis = 0
    next_part: int = 0
    tried: frozenset[str] = frozenset()
    retry_ms: Millis = 0
    done: bool = False


class Transfer(NamedTuple):
    """The memories that a process keeps for others, hands over and claims."""

    kept: Map[str, KeptMemory] = Map()
    outgoing: OutgoingMemory | None = None
    claimed: tuple[MemoryPart, ...] = ()
    is_claimed: bool = False


@dataclass(frozen=True, slots=True)
class Send:
    """A transfer message to a host."""

    host: str
    message: TransferMessage


TransferStep = tuple[Transfer, tuple[Send, ...]]


def message_received(
    transfer: Transfer,
    own: Holder,
    message: TransferMessage,
    now_ms: Millis,
    claim_ms: Millis,
) -> TransferStep:
    """Apply one transfer message."""
    match message:
        case KeepRequest(host, incarnation):
            until_ms = now_ms + claim_ms
            reply = KeepReply(own.host, own.incarnation, incarnation, until_ms)
            return transfer, (Send(host, reply),)
        case MemoryPart():
            return _keep(transfer, own, message, now_ms)
        case ClaimRequest():
            return _serve_claim(transfer, own, message, now_ms)
        case KeepReply() | MemoryAck() if message.to_incarnation == own.incarnation:
            return _continue_handover(transfer, message)
        case ClaimReply() if message.to_incarnation == own.incarnation:
            return _store_claimed_part(transfer, own, message)
    return transfer, ()


def split(items: Iterable) -> list[tuple]:
    """Split items into parts; at least one, which may be empty."""
    rest = iter(items)
    parts = list(iter(lambda: tuple(islice(rest, ITEMS_PER_PART)), ()))
    return parts or [()]


def hand_over(
    transfer: Transfer,
    own: Holder,
    peers: frozenset[str],
    now_ms: Millis,
    retry_ms: Millis,
) -> TransferStep:
    """Ask for a keeper, or resend the part that is not acknowledged."""
    outgoing = transfer.outgoing
    if outgoing is None or outgoing.done or now_ms < outgoing.retry_ms:
        return transfer, ()
    outgoing = outgoing._replace(retry_ms=now_ms + retry_ms)
    if outgoing.keeper:
        return transfer._replace(outgoing=outgoing), _send_next_part(outgoing)
    # Once a part may have been sent, ask no second peer: both would serve it.
    candidates = rendezvous_order(own.host, peers - outgoing.tried)
    if not candidates:
        return transfer._replace(outgoing=outgoing._replace(done=True)), ()
    outgoing = outgoing._replace(tried=outgoing.tried | {candidates[0]})
    request = KeepRequest(own.host, own.incarnation)
    return transfer._replace(outgoing=outgoing), (Send(candidates[0], request),)


def claim(transfer: Transfer, own: Holder, peers: Iterable[str]) -> tuple[Send, ...]:
    """Ask every peer for the next part of the previous process's memory."""
    request = ClaimRequest(own.host, own.incarnation, len(transfer.claimed))
    return tuple(Send(host, request) for host in sorted(peers))


def sweep_kept(transfer: Transfer, now_ms: Millis) -> Transfer:
    """Drop the memories that can no longer be claimed."""
    kept = {key: kept for key, kept in transfer.kept.items() if now_ms < kept.until_ms}
    return transfer._replace(kept=Map(kept))


def _keep(
    transfer: Transfer, own: Holder, part: MemoryPart, now_ms: Millis
) -> TransferStep:
    if part.keeper_incarnation != own.incarnation or now_ms >= part.until_ms:
        return transfer, ()
    kept = transfer.kept.get(part.incarnation)
    kept = kept or KeptMemory(part.host, part.until_ms, now_ms)
    kept = kept._replace(parts=kept.parts.set(part.part, part))
    ack = MemoryAck(own.host, part.incarnation, part.part)
    transfer = transfer._replace(kept=transfer.kept.set(part.incarnation, kept))
    return transfer, (Send(part.host, ack),)


def _serve_claim(
    transfer: Transfer, own: Holder, request: ClaimRequest, now_ms: Millis
) -> TransferStep:
    for incarnation, kept in sorted(transfer.kept.items()):
        if kept.host != request.host or incarnation == request.incarnation:
            continue
        if not kept.is_complete or now_ms >= kept.until_ms:
            continue
        if kept.claimed_by not in ("", request.incarnation):
            continue
        if request.part not in kept.parts:
            continue
        kept = kept._replace(claimed_by=request.incarnation)
        part = kept.parts[request.part]
        aged_ms = part.remembers_ms + now_ms - kept.received_ms
        reply = ClaimReply(
            own.host, request.incarnation, replace(part, remembers_ms=aged_ms)
        )
        transfer = transfer._replace(kept=transfer.kept.set(incarnation, kept))
        return transfer, (Send(request.host, reply),)
    return transfer, ()


def _continue_handover(
    transfer: Transfer, message: KeepReply | MemoryAck
) -> TransferStep:
    outgoing = transfer.outgoing
    if outgoing is None or outgoing.done:
        return transfer, ()
    match message:
        case KeepReply() if not outgoing.keeper:
            outgoing = outgoing._replace(
                keeper=message.keeper,
                keeper_incarnation=message.keeper_incarnation,
                until_ms=message.until_ms,
            )
        case MemoryAck(keeper=outgoing.keeper, part=outgoing.next_part):
            next_part = outgoing.next_part + 1
            done = next_part == len(outgoing.parts)
            outgoing = outgoing._replace(next_part=next_part, done=done)
        case _:
            return transfer, ()
    sends = () if outgoing.done else _send_next_part(outgoing)
    return transfer._replace(outgoing=outgoing), sends


def _send_next_part(outgoing: OutgoingMemory) -> tuple[Send, ...]:
    part = replace(
        outgoing.parts[outgoing.next_part],
        keeper_incarnation=outgoing.keeper_incarnation,
        until_ms=outgoing.until_ms,
    )
    return (Send(outgoing.keeper, part),)


def _store_claimed_part(
    transfer: Transfer, own: Holder, reply: ClaimReply
) -> TransferStep:
    memory = reply.memory
    if transfer.is_claimed or memory.part != len(transfer.claimed):
        return transfer, ()
    if transfer.claimed and transfer.claimed[0].incarnation != memory.incarnation:
        return transfer, ()
    claimed = (*transfer.claimed, memory)
    transfer = transfer._replace(
        claimed=claimed, is_claimed=len(claimed) == memory.parts
    )
    if transfer.is_claimed:
        return transfer, ()
    return transfer, claim(transfer, own, (reply.keeper,))
