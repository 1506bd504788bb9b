"""Describe a group's ranks, the orders to them, and what is heard of both."""

from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from nutmegslip_decisions.experts.placement import Slots
from nutmegslip_decisions.model import Millis

#: One entry a layer.
Layout = tuple[Slots, ...]
Loads = tuple[tuple[float, ...], ...]


class Group(NamedTuple):
    """Name the ranks of an open group in order; an epoch is one life of it."""

    name: str
    epoch: int
    ranks: tuple[str, ...]


class RankReport(NamedTuple):
    """Hold what a rank says of itself.

    ``step`` is the last pass that began. ``armed`` is (version, step). ``held`` is
    the pass that the group does not begin before it is released.
    """

    epoch: int
    step: int
    version: int
    prepared: int | None
    armed: tuple[int, int] | None
    held: int | None


@dataclass(frozen=True, slots=True)
class Prepare:
    """Copy the experts that are new to the rank; it forgets what it had prepared."""

    version: int
    layout: Layout


@dataclass(frozen=True, slots=True)
class Arm:
    """Switch to a prepared version as a pass begins."""

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class Disarm:
    """Do not switch to a version."""

    version: int


@dataclass(frozen=True, slots=True)
class Hold:
    """Let the group not begin a pass until it is released."""

    step: int


@dataclass(frozen=True, slots=True)
class Release:
    """Let the group begin a pass that is held."""

    step: int


Order = Prepare | Arm | Disarm | Hold | Release


class Outcome(Enum):
    """Say what became of an order; an unknown one may still be carried out."""

    DONE = auto()
    REFUSED = auto()
    FENCED = auto()
    UNKNOWN = auto()


@dataclass(frozen=True, slots=True)
class GroupUpdated:
    """Tell the group as it is published, None where a rank is missing or broken."""

    now_ms: Millis
    group: Group | None


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """Tell what a rank reports."""

    now_ms: Millis
    rank: str
    report: RankReport


@dataclass(frozen=True, slots=True)
class LayoutRead:
    """Tell which experts the ranks hold in the map that is in force."""

    now_ms: Millis
    epoch: int
    version: int
    layout: Layout


@dataclass(frozen=True, slots=True)
class LoadsMeasured:
    """Tell how often each expert was chosen lately."""

    now_ms: Millis
    loads: Loads


@dataclass(frozen=True, slots=True)
class OrderOutcome:
    """Tell what became of an order that was sent in an epoch."""

    now_ms: Millis
    rank: str
    epoch: int
    order: Order
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Tick:
    """Let time pass.

    ``leads`` is whether this process starts changes. ``fence`` is the fencing
    number for orders from now on; it rises.
    """

    now_ms: Millis
    is_leader: bool
    fence: int


Event = GroupUpdated | ReportReceived | LayoutRead | LoadsMeasured | OrderOutcome | Tick


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to a rank."""

    rank: str
    epoch: int
    fence: int
    order: Order


@dataclass(frozen=True, slots=True)
class ReadReports:
    """Ask every rank for its report."""

    group: Group


@dataclass(frozen=True, slots=True)
class ReadLayout:
    """Ask every rank which experts it holds."""

    group: Group


@dataclass(frozen=True, slots=True)
class ChangeCompleted:
    """Tell that a map is in force, for the log; ``gain`` is as predicted."""

    version: int
    took_ms: int
    gain: float


@dataclass(frozen=True, slots=True)
class ChangeAbandoned:
    """Tell that a change was given up, for the log."""

    version: int
    reason: str


Effect = SendOrder | ReadReports | ReadLayout | ChangeCompleted | ChangeAbandoned
