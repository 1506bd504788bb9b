"""Events and effects of the agreement in one rank's sidecar."""

from dataclasses import dataclass
from enum import StrEnum

from nutmegslip_decisions.experts._layer import Placement
from nutmegslip_decisions.experts.agreement._messages import (
    Ballot,
    ExpertMap,
    Message,
)
from nutmegslip_decisions.model import Incarnation, Millis


@dataclass(frozen=True, slots=True)
class EngineAttached:
    """The engine now accepts orders from this incarnation only.

    The engine has dropped all unused permits. ``step`` is the last step it entered,
    -1 if none; ``map`` is the map of that step; ``loaded`` are the digests of maps
    whose weights it holds; ``fencing`` is the highest fencing number it has seen, 0
    if it stores none.
    """

    now_ms: Millis
    step: int = -1
    map: ExpertMap | None = None
    loaded: frozenset[str] = frozenset()
    fencing: int = 0


@dataclass(frozen=True, slots=True)
class EngineLost:
    """The connection to the engine ended."""

    now_ms: Millis


@dataclass(frozen=True, slots=True)
class EngineConfirmed:
    """The engine echoed a ``ConfirmEngine`` on this connection."""

    now_ms: Millis
    token: int


@dataclass(frozen=True, slots=True)
class StepReached:
    """A request of the engine to enter a step; idempotent."""

    now_ms: Millis
    step: int


@dataclass(frozen=True, slots=True)
class WeightsLoaded:
    """The engine has loaded the weights of a map."""

    now_ms: Millis
    digest: str


@dataclass(frozen=True, slots=True)
class MapProposed:
    """A proposed placement; only the coordinator acts on it."""

    now_ms: Millis
    placement: Placement


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another rank's sidecar."""

    now_ms: Millis
    message: Message


@dataclass(frozen=True, slots=True)
class PeerDown:
    """The link to another rank's sidecar ended."""

    now_ms: Millis
    rank: int


@dataclass(frozen=True, slots=True)
class PeerUp:
    """A link to another rank's sidecar was established."""

    now_ms: Millis
    rank: int


@dataclass(frozen=True, slots=True)
class Tick:
    """The current time; due at least every ``AgreementOptions.tick_interval_ms``."""

    now_ms: Millis


Event = (
    EngineAttached
    | EngineLost
    | EngineConfirmed
    | StepReached
    | WeightsLoaded
    | MapProposed
    | PeerMessage
    | PeerDown
    | PeerUp
    | Tick
)


class HoldReason(StrEnum):
    """The reason why the engine may not enter a step yet."""

    NO_GROUP = "no-group"
    NO_MAP = "no-map"
    OUTCOME_UNKNOWN = "outcome-unknown"


class LeaveReason(StrEnum):
    """The reason why a rank left the group's incarnation."""

    ENGINE_LOST = "engine-lost"
    ENGINE_REPLACED = "engine-replaced"


class AbandonReason(StrEnum):
    """The reason why a change of the map was abandoned."""

    LOAD_TIMEOUT = "load-timeout"
    NO_PROMISE = "no-promise"
    LOST_LEAD = "lost-lead"


@dataclass(frozen=True, slots=True)
class Send:
    """A message to a rank's sidecar; it may be lost."""

    rank: int
    message: Message


@dataclass(frozen=True, slots=True)
class PermitStep:
    """A permit to enter a step with a map; valid on this connection only."""

    step: int
    version: int
    digest: str
    fencing: int
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class LoadWeights:
    """An order to the engine to load the weights that a map needs and it lacks."""

    map: ExpertMap
    fencing: int


@dataclass(frozen=True, slots=True)
class AttachEngine:
    """A new connection to the engine under this incarnation."""

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class ConfirmEngine:
    """A token to echo if the engine still accepts orders from this sidecar."""

    token: int


@dataclass(frozen=True, slots=True)
class StepHeld:
    """Notice that the engine waits to enter a step."""

    step: int
    reason: HoldReason


@dataclass(frozen=True, slots=True)
class GroupFormed:
    """Notice that the rank joined a new incarnation of the group."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class GroupLeft:
    """Notice that the rank left the group's incarnation."""

    reason: LeaveReason


@dataclass(frozen=True, slots=True)
class MapScheduled:
    """Notice that a map is committed from a step on."""

    version: int
    digest: str
    from_step: int


@dataclass(frozen=True, slots=True)
class MapAbandoned:
    """Notice that the coordinator abandoned a change."""

    version: int
    reason: AbandonReason


Effect = (
    Send
    | PermitStep
    | LoadWeights
    | AttachEngine
    | ConfirmEngine
    | StepHeld
    | GroupFormed
    | GroupLeft
    | MapScheduled
    | MapAbandoned
)
