"""Events and effects that the reducers of entries and sidecars share."""

from nutmegslip_decisions.process._events import (
    HANDOVER_TIMEOUT_MS,
    CommonEvent,
    LinkDown,
    LinkUp,
    Message,
    PeerMessage,
    PeerPieces,
    ReadService,
    Send,
    SendFailed,
    ServiceAnswered,
    ServiceFailed,
    Started,
    Stopped,
    StopRequested,
    Tick,
)
from nutmegslip_decisions.process._stop import finish_stop
from nutmegslip_decisions.process._sync import (
    SyncStep,
    reduce_sync,
    roster_is_contiguous,
)

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
    "SyncStep",
    "Tick",
    "finish_stop",
    "reduce_sync",
    "roster_is_contiguous",
]
