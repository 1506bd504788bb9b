"""Compose every decision of a sidecar in one reducer."""

from nutmegslip_decisions.sidecar._events import (
    CancelAttempt,
    EngineAccepted,
    EngineCut,
    EngineFinished,
    EngineLost,
    EngineNotSent,
    EnginePieces,
    EngineReported,
    OnceCut,
    OnceFinished,
    OnceNotSent,
    SidecarEffect,
    SidecarEvent,
    StartAttempt,
    StartOnce,
)
from nutmegslip_decisions.sidecar._reduce import reduce
from nutmegslip_decisions.sidecar._state import (
    Attempt,
    SidecarOptions,
    SidecarState,
    UpstreamKind,
    is_ready,
    new_state,
)

__all__ = [
    "Attempt",
    "CancelAttempt",
    "EngineAccepted",
    "EngineCut",
    "EngineFinished",
    "EngineLost",
    "EngineNotSent",
    "EnginePieces",
    "EngineReported",
    "OnceCut",
    "OnceFinished",
    "OnceNotSent",
    "SidecarEffect",
    "SidecarEvent",
    "SidecarOptions",
    "SidecarState",
    "StartAttempt",
    "StartOnce",
    "UpstreamKind",
    "is_ready",
    "new_state",
    "reduce",
]
