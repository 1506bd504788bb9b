"""Define what the gate hears and what it asks for."""

from dataclasses import dataclass

from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.work import RefusalKind


@dataclass(frozen=True, slots=True)
class Offered:
    """An attempt asks for the upstream; a higher ``priority`` goes first."""

    now_ms: Millis
    attempt_id: str
    workload: str
    deadline_ms: Millis
    lease_deadline_ms: Millis
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The upstream accepted an attempt and said in which state it did so.

    ``epoch`` rises each time the upstream turns cold.
    """

    now_ms: Millis
    attempt_id: str
    cold: bool
    epoch: int
    lease_deadline_ms: Millis


@dataclass(frozen=True, slots=True)
class Ended:
    """The upstream is done with an attempt, or never got it."""

    now_ms: Millis
    attempt_id: str
    lease_deadline_ms: Millis


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The entry withdrew an attempt that may still wait."""

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
    """The upstream cannot be reached; it may come back cold."""

    now_ms: Millis


@dataclass(frozen=True, slots=True)
class LimitsChanged:
    """The catalogue changed how many requests the upstream takes at a time."""

    cold_limit: int
    warm_limit: int


@dataclass(frozen=True, slots=True)
class MarkChanged:
    """The operator marked this host or its availability zone in or out."""

    now_ms: Millis
    takes_work: bool


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """The process was asked to stop, or the host was published as leaving."""

    now_ms: Millis


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; attempts that waited past their deadline are refused."""

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
    """Give the attempt to the upstream now."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Tell the entry that the attempt was not started here."""

    attempt_id: str
    kind: RefusalKind
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Drained:
    """Say that nothing runs or waits after a drain started."""


GateEffect = Dispatch | Refuse | Drained
