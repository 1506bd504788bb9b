"""Validate and distribute configuration, and renew leases that depend on it."""

from nutmegslip_decisions.configuration._catalogue import (
    apply,
    check_document,
    difference,
)
from nutmegslip_decisions.configuration._changes import Change, Delta
from nutmegslip_decisions.configuration._errors import (
    ConfigurationError,
    ConfigurationErrors,
    ErrorKind,
)
from nutmegslip_decisions.configuration._events import (
    CatalogueInForce,
    Effect,
    Event,
    LeaseChanged,
    LinkDown,
    LinkUp,
    MessageReceived,
    ReadService,
    Refused,
    RosterInForce,
    Send,
    ServiceAnswered,
    ServiceFailed,
    Started,
    Tick,
)
from nutmegslip_decisions.configuration._messages import (
    MESSAGES,
    Message,
    News,
    PollReply,
    PollRequest,
)
from nutmegslip_decisions.configuration._options import Options
from nutmegslip_decisions.configuration._parse import (
    encode_value,
    parse_changes,
    parse_document,
)
from nutmegslip_decisions.configuration._placement import Placement, WitnessSet
from nutmegslip_decisions.configuration._reduce import reduce
from nutmegslip_decisions.configuration._source_state import Source
from nutmegslip_decisions.configuration._state import (
    PastRoster,
    RosterHistory,
    SyncState,
    entry_admitted,
    may_take_work,
    new_state,
)

__all__ = [
    "MESSAGES",
    "CatalogueInForce",
    "Change",
    "ConfigurationError",
    "ConfigurationErrors",
    "Delta",
    "Effect",
    "ErrorKind",
    "Event",
    "LeaseChanged",
    "LinkDown",
    "LinkUp",
    "Message",
    "MessageReceived",
    "News",
    "Options",
    "PastRoster",
    "Placement",
    "PollReply",
    "PollRequest",
    "ReadService",
    "Refused",
    "RosterHistory",
    "RosterInForce",
    "Send",
    "ServiceAnswered",
    "ServiceFailed",
    "Source",
    "Started",
    "SyncState",
    "Tick",
    "WitnessSet",
    "apply",
    "check_document",
    "difference",
    "encode_value",
    "entry_admitted",
    "may_take_work",
    "new_state",
    "parse_changes",
    "parse_document",
    "reduce",
]
