"""Events from a sidecar's upstream, and effects for its shell."""

from dataclasses import dataclass

from nutmegslip_decisions.experts import agreement
from nutmegslip_decisions.experts.placement import LoadReport
from nutmegslip_decisions.log_events import LogEvent
from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.once import Answer
from nutmegslip_decisions.process import CommonEvent, ReadService, Send, Stopped
from nutmegslip_decisions.work import Pieces, Submit


@dataclass(frozen=True, slots=True)
class EngineAccepted:
    """The upstream accepted an attempt in the given state and epoch."""

    now_ms: Millis
    attempt_id: str
    cold: bool
    epoch: int


@dataclass(frozen=True, slots=True)
class EnginePieces:
    """The upstream sent pieces of several streamed answers."""

    now_ms: Millis
    batches: tuple[Pieces, ...]


@dataclass(frozen=True, slots=True)
class EngineFinished:
    """The upstream sent its whole answer; ``total`` counts a stream's pieces."""

    now_ms: Millis
    attempt_id: str
    status: int
    content_type: str
    body: bytes
    total: int


@dataclass(frozen=True, slots=True)
class EngineNotSent:
    """An attempt provably never reached the upstream."""

    now_ms: Millis
    attempt_id: str
    detail: str


@dataclass(frozen=True, slots=True)
class EngineCut:
    """The upstream cut an attempt off; whether it ran is unknown."""

    now_ms: Millis
    attempt_id: str
    detail: str


@dataclass(frozen=True, slots=True)
class EngineReported:
    """The upstream reported its state to this incarnation of the sidecar."""

    now_ms: Millis
    cold: bool
    epoch: int
    running: int


@dataclass(frozen=True, slots=True)
class EngineLost:
    """The upstream was unreachable for a report."""

    now_ms: Millis


@dataclass(frozen=True, slots=True)
class OnceFinished:
    """A non-idempotent request received its whole answer."""

    now_ms: Millis
    key: str
    answer: Answer


@dataclass(frozen=True, slots=True)
class OnceNotSent:
    """A non-idempotent request provably never reached the upstream."""

    now_ms: Millis
    key: str


@dataclass(frozen=True, slots=True)
class OnceCut:
    """A non-idempotent request was cut off; it may have run."""

    now_ms: Millis
    key: str


@dataclass(frozen=True, slots=True)
class GroupReported:
    """The group of ranks reported each expert's load and each rank's speed."""

    now_ms: Millis
    report: LoadReport


GroupEvent = (
    agreement.EngineAttached
    | agreement.EngineLost
    | agreement.EngineConfirmed
    | agreement.StepReached
    | agreement.WeightsLoaded
)

SidecarEvent = (
    CommonEvent
    | GroupEvent
    | GroupReported
    | EngineAccepted
    | EnginePieces
    | EngineFinished
    | EngineNotSent
    | EngineCut
    | EngineReported
    | EngineLost
    | OnceFinished
    | OnceNotSent
    | OnceCut
)


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send an attempt to the upstream before its deadline, or not at all."""

    submit: Submit


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop an attempt at the upstream."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class StartOnce:
    """Send a non-idempotent request to the upstream now, at most once."""

    key: str
    payload: bytes
    deadline_ms: Millis


GroupEffect = (
    agreement.AttachEngine
    | agreement.ConfirmEngine
    | agreement.LoadWeights
    | agreement.PermitStep
)

SidecarEffect = (
    Send
    | ReadService
    | StartAttempt
    | CancelAttempt
    | StartOnce
    | GroupEffect
    | LogEvent
    | Stopped
)
