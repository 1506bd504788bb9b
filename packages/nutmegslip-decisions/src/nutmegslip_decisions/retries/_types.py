"""Options, events and effects of the retry decision."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.work import Ran


class RetryOptions(NamedTuple):
    """The options of the retry budget of a process.

    ``ratio`` is the number of retries allowed for each first attempt, and
    ``min_retries_per_s`` is allowed in addition, so that an entry with little
    traffic can retry at all. ``max_budget`` caps the accumulated budget.
    ``min_service_ms`` is the time that must remain for another attempt.
    """

    ratio: float = 0.1
    min_retries_per_s: float = 1.0
    max_budget: float = 50.0
    max_attempts: int = 3
    min_service_ms: int = 250
    backoff_ms: int = 25


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """The first attempt of a request was sent."""

    now_ms: Millis


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt failed; the effect is ``Retry`` or ``GiveUp``.

    ``attempts`` is the number of attempts so far. ``repeatable`` is true if the
    request is idempotent. ``retry_after_ms`` is the delay that the upstream
    requested.
    """

    now_ms: Millis
    request_id: str
    attempts: int
    ran: Ran
    repeatable: bool
    deadline_ms: Millis
    retry_after_ms: int = 0


RetryEvent = AttemptStarted | AttemptFailed


class GiveUpKind(StrEnum):
    """Why a request is not retried."""

    MAY_HAVE_RUN = "may-have-run"
    ATTEMPTS_SPENT = "attempts-spent"
    DEADLINE_NEAR = "deadline-near"
    BUDGET_SPENT = "budget-spent"


@dataclass(frozen=True, slots=True)
class Retry:
    """Send the request to another upstream at ``retry_at_ms``."""

    request_id: str
    retry_at_ms: Millis


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Fail the request at once."""

    request_id: str
    kind: GiveUpKind
    ran: Ran
    retry_after_ms: int

    @property
    def message(self) -> str:
        """Return the reason and its remedy."""
        return f"not retried: {self.kind}; {_REMEDIES[self.kind]}"


RetryEffect = Retry | GiveUp

_REMEDIES = {
    GiveUpKind.MAY_HAVE_RUN: "ask for the outcome with the same idempotency key",
    GiveUpKind.ATTEMPTS_SPENT: "send the request again after the given time",
    GiveUpKind.DEADLINE_NEAR: "send the request again with a later deadline",
    GiveUpKind.BUDGET_SPENT: "send the request again after the given time",
}
