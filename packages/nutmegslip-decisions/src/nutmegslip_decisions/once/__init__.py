"""Execute each non-idempotent request at most once, without a store.

``reduce_sidecar`` keeps the records of an upstream, ``reduce_entry`` logs which
sidecars each key was sent to. ``docs/design/at-most-once.md`` gives the argument.
"""

from nutmegslip_decisions.once._entry import reduce_entry
from nutmegslip_decisions.once._entry_types import (
    Answered,
    EntryEffect,
    EntryEvent,
    EntryState,
    OutcomeKind,
    SendFailed,
    Submitted,
    new_entry,
)
from nutmegslip_decisions.once._keys import once_key, request_fingerprint
from nutmegslip_decisions.once._messages import MESSAGES as ONCE_MESSAGES
from nutmegslip_decisions.once._messages import (
    Answer,
    AttestReply,
    AttestRequest,
    SidecarBeat,
    StartReply,
    StartRequest,
    StartVerdict,
    TombstoneReply,
    TombstoneRequest,
)
from nutmegslip_decisions.once._messages import Message as OnceMessage
from nutmegslip_decisions.once._options import OnceOptions
from nutmegslip_decisions.once._sidecar import reduce_sidecar, sidecar_heartbeat
from nutmegslip_decisions.once._sidecar_types import (
    PeerUnreachable,
    PermissionChanged,
    Received,
    RosterChanged,
    SendToPeer,
    SidecarEffect,
    SidecarEvent,
    SidecarState,
    StartUpstream,
    Stopped,
    StopRequested,
    Tick,
    UpstreamCutOff,
    UpstreamFinished,
    UpstreamNotSent,
    new_sidecar,
)
from nutmegslip_decisions.once._transfer_messages import (
    TRANSFER_MESSAGES,
    TransferMessage,
)

Message = OnceMessage | TransferMessage

MESSAGES = (*ONCE_MESSAGES, *TRANSFER_MESSAGES)

__all__ = [
    "MESSAGES",
    "Answer",
    "Answered",
    "AttestReply",
    "AttestRequest",
    "EntryEffect",
    "EntryEvent",
    "EntryState",
    "Message",
    "OnceOptions",
    "OutcomeKind",
    "PeerUnreachable",
    "PermissionChanged",
    "Received",
    "RosterChanged",
    "SendFailed",
    "SendToPeer",
    "SidecarBeat",
    "SidecarEffect",
    "SidecarEvent",
    "SidecarState",
    "StartReply",
    "StartRequest",
    "StartUpstream",
    "StartVerdict",
    "StopRequested",
    "Stopped",
    "Submitted",
    "Tick",
    "TombstoneReply",
    "TombstoneRequest",
    "UpstreamCutOff",
    "UpstreamFinished",
    "UpstreamNotSent",
    "new_entry",
    "new_sidecar",
    "once_key",
    "reduce_entry",
    "reduce_sidecar",
    "request_fingerprint",
    "sidecar_heartbeat",
]
