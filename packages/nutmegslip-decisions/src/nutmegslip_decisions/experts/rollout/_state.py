"""The state of a change of a group's expert map."""

from dataclasses import dataclass
from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.experts.rollout._types import Group, Layout, RankReport
from nutmegslip_decisions.model import Millis


class Options(NamedTuple):
    """The capacity of a rank, and the identity of this process.

    ``identity`` is below ``IDENTITY_COUNT`` and unique among processes, so that no two
    give the same version to different maps. ``places`` is the number of experts that a
    rank can hold, ``spare`` how many may be new to it in one change.
    ``report_lag_ms`` is how old a rank's report is when it is read, ``copy_ms`` the
    time to copy an expert.
    """

    identity: int
    places: int
    spare: int
    report_lag_ms: float = 300.0
    copy_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Idle:
    """No change is in progress; ``until_ms`` is when the next may begin."""

    until_ms: Millis = 0


@dataclass(frozen=True, slots=True)
class Preparing:
    """Ranks copy the experts that are new to them.

    ``orders_ms`` is how long it took until the last rank so far accepted its order.
    """

    version: int
    layout: Layout
    gain: float
    since_ms: Millis
    orders_ms: int = 0


@dataclass(frozen=True, slots=True)
class Holding:
    """All ranks are prepared; ``holder`` is ordered to hold the pass of the switch.

    ``layout`` is None where another process began the change. ``missed`` counts the
    passes that had begun before their hold arrived.
    """

    version: int
    layout: Layout | None
    gain: float
    since_ms: Millis
    holder: str
    step: int
    missed: int = 0


@dataclass(frozen=True, slots=True)
class Arming:
    """The pass is held; ``armed`` are the ranks that have confirmed the switch."""

    version: int
    layout: Layout | None
    gain: float
    since_ms: Millis
    holder: str
    step: int
    armed: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Releasing:
    """All ranks are armed with one version, or none can be; held passes are released.

    ``held`` maps ranks to the passes they hold. ``changed`` is whether the map changes
    with the release.
    """

    version: int
    layout: Layout | None
    gain: float
    since_ms: Millis
    held: Map[str, int]
    changed: bool


@dataclass(frozen=True, slots=True)
class Clearing:
    """An unfinished change is reverted while its passes stay held.

    ``fenced`` are the holders that have confirmed their hold under this process's
    fence. ``cleared`` are the ranks that have accepted the new version, so that they
    cannot be armed with an older one.
    """

    version: int
    since_ms: Millis
    held: Map[str, int]
    fenced: frozenset[str] = frozenset()
    cleared: frozenset[str] = frozenset()


Phase = Idle | Preparing | Holding | Arming | Releasing | Clearing


class State(NamedTuple):
    """The group, its ranks' reports, and the phase of the change.

    ``last_sent_ms`` is when an order was last sent to a rank in this phase; it is set
    to a later time while a rank copies, to delay the retry. ``fence`` is the fencing
    number of the change: a process that begins later has a higher one, and a rank
    refuses orders with a lower one than it has seen. ``fence_floor`` is above the last
    fence that was refused; ``raised_ms`` is when a change last went on with a raised
    fence, None for never. ``pass_ms`` is the mean time of a pass, 0 if unknown;
    ``pass_seen`` is when it was last measured, and the pass at that time.
    Reports that were read before ``trusted_from_ms`` may show what an earlier leader,
    or this process, has changed since.
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
    raised_ms: Millis | None = None
    is_leader: bool = False
    is_late: bool = False
    reports_requested_ms: Millis = 0
    pass_ms: float = 0.0
    pass_seen: tuple[Millis, int] | None = None
    trusted_from_ms: Millis = 0
