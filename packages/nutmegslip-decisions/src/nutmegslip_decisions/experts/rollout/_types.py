"""Types of the rollout: groups, reports, orders, events and effects."""

from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from nutmegslip_decisions.experts.placement import EvenSharePlan, Slots
from nutmegslip_decisions.model import Millis

#: One entry per layer.
Layout = tuple[Slots, ...]
Loads = tuple[tuple[float, ...], ...]


class Group(NamedTuple):
    """The ranks of an open group in order; its epoch changes each time it forms."""

    name: str
    epoch: int
    ranks: tuple[str, ...]


class RankReport(NamedTuple):
    """The state that a rank reports.

    ``step`` is the last pass that began. ``prepared`` is the version that is ready to
    use. ``armed`` is (version, step). ``held`` is the pass that the group does not
    begin before it is released. ``slowness`` is how many times as long as usual the
    rank takes for its work, 1 at least.
    """

    epoch: int
    step: int
    version: int
    prepared: int | None
    armed: tuple[int, int] | None
    held: int | None
    slowness: float = 1.0


@dataclass(frozen=True, slots=True)
class Prepare:
    """An order to copy the experts that are new to the rank.

    It replaces what the rank had prepared. ``reported`` is whether the rank's reports
    tell that it is done, so that nothing depends on the answer to the order.
    """

    version: int
    layout: Layout
    reported: bool = False


@dataclass(frozen=True, slots=True)
class Arm:
    """An order to switch to a prepared version when a pass begins."""

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class Disarm:
    """An order not to switch to a version."""

    version: int


@dataclass(frozen=True, slots=True)
class Hold:
    """An order to hold a pass: the group does not begin it until it is released."""

    step: int


@dataclass(frozen=True, slots=True)
class Release:
    """An order to release a held pass."""

    step: int


Order = Prepare | Arm | Disarm | Hold | Release


class Outcome(Enum):
    """The outcome of an order; one with an unknown outcome may still be carried out."""

    DONE = auto()
    REFUSED = auto()
    FENCED = auto()
    UNKNOWN = auto()


@dataclass(frozen=True, slots=True)
class GroupUpdated:
    """The group as published, None if a rank is missing or broken."""

    now_ms: Millis
    group: Group | None


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """A report received from a rank."""

    now_ms: Millis
    rank: str
    report: RankReport


@dataclass(frozen=True, slots=True)
class LayoutRead:
    """The experts that the ranks hold in the map in force."""

    now_ms: Millis
    epoch: int
    version: int
    layout: Layout


class MapPlan(NamedTuple):
    """What a change makes of each layer of ``layout``, the map in force."""

    layout: Layout
    layers: tuple[EvenSharePlan, ...]


@dataclass(frozen=True, slots=True)
class LoadsMeasured:
    """How often each expert was chosen recently.

    ``plan`` is what was planned from it already, None if nothing was.
    """

    now_ms: Millis
    loads: Loads
    plan: MapPlan | None = None


@dataclass(frozen=True, slots=True)
class OrderOutcome:
    """The outcome of an order that was sent in an epoch, with a fence."""

    now_ms: Millis
    rank: str
    epoch: int
    order: Order
    outcome: Outcome
    fence: int = 0


@dataclass(frozen=True, slots=True)
class Tick:
    """The current time.

    ``is_leader`` is whether this process starts changes. ``fence`` is the fencing
    number for changes that begin from now on; it never decreases. ``silence_ms`` is for
    how long the leader before has been silent, 0 if it has resigned. ``is_late`` is
    whether the event gaps of the group's streams exceed their bound.
    """

    now_ms: Millis
    is_leader: bool
    fence: int
    silence_ms: Millis = 0
    is_late: bool = False


Event = GroupUpdated | ReportReceived | LayoutRead | LoadsMeasured | OrderOutcome | Tick


@dataclass(frozen=True, slots=True)
class SendOrder:
    """An order to send to a rank."""

    rank: str
    epoch: int
    fence: int
    order: Order


@dataclass(frozen=True, slots=True)
class ReadReports:
    """A request to ranks for their reports."""

    ranks: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReadLayout:
    """A request to every rank for the experts it holds."""

    group: Group


@dataclass(frozen=True, slots=True)
class ChangeCompleted:
    """A log event: a new map is in force; ``gain`` is the predicted one."""

    version: int
    took_ms: int
    gain: float


@dataclass(frozen=True, slots=True)
class ChangeAbandoned:
    """A log event: a change was abandoned."""

    version: int
    reason: str


Effect = SendOrder | ReadReports | ReadLayout | ChangeCompleted | ChangeAbandoned
