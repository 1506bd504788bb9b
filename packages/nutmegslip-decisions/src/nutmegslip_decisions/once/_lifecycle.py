"""Claim the memory of the previous process, and hand over one's own at a stop."""

from collections.abc import Callable
from typing import TypeVar

from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.once import _transfer
from nutmegslip_decisions.once._entry_types import EntryState
from nutmegslip_decisions.once._messages import Holder
from nutmegslip_decisions.once._sidecar_types import (
    SendToPeer,
    SidecarState,
    Stopped,
)
from nutmegslip_decisions.once._transfer import OutgoingMemory, Send
from nutmegslip_decisions.once._transfer_messages import TransferMessage

TRANSFER_RETRY_MS = 200  # a lost part uses up this much of the stop deadline
MAX_EVENT_GAP_MS = 2_000  # a supervisor takes longer to replace a process

State = TypeVar("State", SidecarState, EntryState)
Effects = tuple[SendToPeer | Stopped, ...]


def record_event_time(state: State, now_ms: Millis) -> State:
    """Record the time of an event, and whether the process was suspended before it.

    While a process is suspended, another may have been started in its place and have
    been active. The memory of this process lacks what the other one did, so it is not
    handed over.
    """
    last_ms = now_ms if state.last_event_ms is None else state.last_event_ms
    was_suspended = state.was_suspended or now_ms - last_ms > MAX_EVENT_GAP_MS
    return state._replace(last_event_ms=now_ms, was_suspended=was_suspended)


def transfer_received(
    state: State,
    message: TransferMessage,
    now_ms: Millis,
    unpack: Callable[[State, Millis], State],
) -> tuple[State, Effects]:
    """Apply one transfer message; activate once the whole memory is claimed."""
    if state.is_sealed and not _is_handover_reply(message):
        return state, ()
    own = Holder(state.host, state.incarnation)
    claim_ms = state.options.claim_ms
    was_active = state.is_active(now_ms)
    transfer, sends = _transfer.message_received(
        state.transfer, own, message, now_ms, claim_ms
    )
    if was_active and transfer.claimed != state.transfer.claimed:
        return state, ()
    state = state._replace(transfer=transfer)
    if transfer.is_claimed and not was_active:
        state = unpack(state, now_ms)
    return state, (*_effects(sends), *_stopped(state, now_ms))


def needs_transfer(state: State, now_ms: Millis) -> bool:
    """Return whether a memory is still to be claimed or handed over."""
    return state.stop_deadline_ms is not None or not state.is_active(now_ms)


def transfer_tick(
    state: State,
    peers: frozenset[str],
    is_idle: bool,
    pack: Callable[[State, Millis], OutgoingMemory],
    now_ms: Millis,
) -> tuple[State, Effects]:
    """Claim a memory while inactive; seal and hand over one's own while stopping."""
    own, transfer = Holder(state.host, state.incarnation), state.transfer
    if not state.is_active(now_ms):
        return state, _effects(_transfer.claim(transfer, own, peers))
    if is_idle and transfer.outgoing is None:
        # From here on this process decides nothing, so the parts stay valid.
        empty = OutgoingMemory(parts=(), done=True)
        outgoing = empty if state.was_suspended else pack(state, now_ms)
        transfer = transfer._replace(outgoing=outgoing)
    transfer, sends = _transfer.hand_over(
        transfer, own, peers, now_ms, TRANSFER_RETRY_MS
    )
    state = state._replace(transfer=transfer)
    return state, (*_effects(sends), *_stopped(state, now_ms))


def _is_handover_reply(message: TransferMessage) -> bool:
    return isinstance(message, _transfer.KeepReply | _transfer.MemoryAck)


def _effects(sends: tuple[Send, ...]) -> tuple[SendToPeer, ...]:
    return tuple(SendToPeer(send.host, send.message) for send in sends)


def _stopped(state: State, now_ms: Millis) -> tuple[Stopped, ...]:
    if state.stop_deadline_ms is None:
        return ()
    handed_over = state.transfer.outgoing is not None and state.transfer.outgoing.done
    return (Stopped(),) if handed_over or now_ms >= state.stop_deadline_ms else ()
