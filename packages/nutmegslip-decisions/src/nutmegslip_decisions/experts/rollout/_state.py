"""Hold how far a change of a group's expert map has come."""

from dataclasses import dataclass
from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.experts.rollout._types import Group, Layout, RankReport
from nutmegslip_decisions.model import Millis


class Options(NamedTuple):
    """Set what a rank can hold and who this process is.

    ``identity`` is below ``IDENTITIES`` and differs between processes, so that no
    two give one number to different maps.
    """

    identity: int
    places: int
    spare: int


@dataclass(frozen=True, slots=True)
class Idle:
    """No change is under way; ``until_ms`` is when the next may begin."""

    until_ms: Millis = 0


@dataclass(frozen=True, slots=True)
class Preparing:
    """Ranks copy the experts that are new to them."""

    version: int
    layout: Layout
    gain: float
    since_ms: Millis


@dataclass(frozen=True, slots=True)
class Holding:
    """All ranks are prepared; ``holder`` is asked to hold the pass of the switch.

    ``layout`` is None where another process began the change.
    """

    version: int
    layout: Layout | None
    gain: float
    since_ms: Millis
    holder: str
    step: int


@dataclass(frozen=True, slots=True)
class Arming:
    """The pass is held; ``armed`` are the ranks that confirmed their switch."""

    version: int
    layout: Layout | None
    gain: float
    since_ms: Millis
    holder: str
    step: int
    armed: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Releasing:
    """Every rank is armed alike, or none can be; held passes are let go.

    ``held`` maps ranks to the passes they hold. ``changed`` is whether the map
    changes with it.
    """

    version: int
    layout: Layout | None
    gain: float
    since_ms: Millis
    held: Map[str, int]
    changed: bool


@dataclass(frozen=True, slots=True)
class Clearing:
    """Somebody's unfinished change is undone under the passes that it holds.

    ``fenced`` are the holders that confirmed their hold under this process's
    fence. ``cleared`` are the ranks that took the new version, after which they
    can be armed with no older one.
    """

    version: int
    since_ms: Millis
    held: Map[str, int]
    fenced: frozenset[str] = frozenset()
    cleared: frozenset[str] = frozenset()


Phase = Idle | Preparing | Holding | Arming | Releasing | Clearing


class State(NamedTuple):
    """Hold the group, what its ranks reported, and the phase.

    ``given`` is when an order was last given to a rank in this phase. ``fence`` is
    the number of the change under way: whoever begins later has a higher one, so
    that an order of an older change is refused where a newer one has been.
    ``fence_floor`` is above what this process was refused with.
    """

    options: Options
    group: Group | None = None
    layout: Layout | None = None
    layout_version: int = 0
    reports: Map[str, tuple[Millis, RankReport]] = Map()
    phase: Phase = Idle()
    last_sent_ms: Map[str, Millis] = Map()
    last_version: int = 0
    fence: int = 0
    latest_fence: int = 0
    fence_floor: int = 0
    is_leader: bool = False
    reports_requested_ms: Millis = 0
