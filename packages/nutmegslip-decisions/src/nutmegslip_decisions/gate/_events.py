"""Events and effects of the gate."""

from dataclasses import dataclass

from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.work import RefusalKind


@dataclass(frozen=True, slots=True)
class Offered:
    """An attempt requests admission; a higher ``priority`` is admitted first."""

    now_ms: Millis
    attempt_id: str
    workload: str
    deadline_ms: Millis
    lease_deadline_ms: Millis
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The upstream accepted an attempt and reported whether it is cold.

    ``epoch`` increases each time the upstream turns cold.
    """

    now_ms: Millis
    attempt_id: str
    cold: bool
    epoch: int
    lease_deadline_ms: Millis


@dataclass(frozen=True, slots=True)
class Ended:
    """An attempt ended at the upstream or never reached it."""

    now_ms: Millis
    attempt_id: str
    lease_deadline_ms: Millis


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The entry cancelled an attempt that may still be queued."""

    now_ms: Millis
    attempt_id: str


@dataclass(frozen=True, slots=True)
class Reported:
    """The upstream reported its state; reports lag behind acknowledgements."""

    now_ms: Millis
    cold: bool
    epoch: int
    running: int


@dataclass(frozen=True, slots=True)
class Unreachable:
    """The upstream is unreachable; it may return cold."""

    now_ms: Millis


@dataclass(frozen=True, slots=True)
class LimitsChanged:
    """The catalogue changed the concurrency limits of the upstream."""

    cold_limit: int
    warm_limit: int


@dataclass(frozen=True, slots=True)
class MarkChanged:
    """The operator marked this host or its availability zone in or out."""

    now_ms: Millis
    takes_work: bool


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """The process received a stop request."""

    now_ms: Millis


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; queued attempts past their deadline are refused."""

    now_ms: Millis
    lease_deadline_ms: Millis


GateEvent = (
    Offered
    | Acknowledged
    | Ended
    | Cancelled
    | Reported
    | Unreachable
    | LimitsChanged
    | MarkChanged
    | DrainStarted
    | Tick
)


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the attempt to the upstream now."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse an attempt that was not started."""

    attempt_id: str
    kind: RefusalKind
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Drained:
    """Report that the drain is complete: no attempt is running or queued."""


GateEffect = Dispatch | Refuse | Drained
