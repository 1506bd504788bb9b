"""Messages by which an entry submits work and a sidecar replies."""

from nutmegslip_decisions.work._failures import (
    FailureKind,
    Ran,
    RefusalKind,
    remedy_of,
    status_of,
)
from nutmegslip_decisions.work._messages import (
    MESSAGES,
    Cancel,
    Failed,
    Finished,
    LoadReport,
    Pieces,
    Refused,
    Submit,
    WorkMessage,
)

__all__ = [
    "MESSAGES",
    "Cancel",
    "Failed",
    "FailureKind",
    "Finished",
    "LoadReport",
    "Pieces",
    "Ran",
    "RefusalKind",
    "Refused",
    "Submit",
    "WorkMessage",
    "remedy_of",
    "status_of",
]
