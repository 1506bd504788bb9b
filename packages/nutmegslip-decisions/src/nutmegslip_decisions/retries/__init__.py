"""Decide whether a failed attempt is retried."""

from nutmegslip_decisions.retries._reduce import RetryState, reduce
from nutmegslip_decisions.retries._types import (
    AttemptFailed,
    AttemptStarted,
    GiveUp,
    GiveUpKind,
    Ran,
    Retry,
    RetryEffect,
    RetryEvent,
    RetryOptions,
)

__all__ = [
    "AttemptFailed",
    "AttemptStarted",
    "GiveUp",
    "GiveUpKind",
    "Ran",
    "Retry",
    "RetryEffect",
    "RetryEvent",
    "RetryOptions",
    "RetryState",
    "reduce",
]
