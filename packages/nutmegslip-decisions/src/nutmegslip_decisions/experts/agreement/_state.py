"""The state of the agreement in one rank's sidecar."""

from dataclasses import dataclass
from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.experts.agreement._events import Effect, HoldReason
from nutmegslip_decisions.experts.agreement._messages import (
    NO_BALLOT,
    Ballot,
    ExpertMap,
    MapAbort,
    MapAnswer,
    MapCommit,
    MapForm,
    MapQuery,
    ScheduledMap,
)
from nutmegslip_decisions.model import Incarnation, Millis

#: Steps for which old maps are retained: an engine may lag one step behind another,
#: which may hold a permit for one more step.
RETAINED_STEPS = 2


@dataclass(frozen=True, slots=True)
class AgreementOptions:
    """Intervals, timeouts and step margins of the agreement.

    A rank without a group sends a heartbeat every ``forming_heartbeat_interval_ms``,
    others every ``heartbeat_interval_ms``. A change is scheduled ``lead_steps`` ahead
    of the coordinator's step; if it still lacks a promise ``abort_margin_steps`` before
    its step, it is prepared again for a later one, at most ``prepare_tries`` times in
    all. ``fixed_coordinator`` makes rank 0 the only coordinator.
    """

    tick_interval_ms: int = 50
    heartbeat_interval_ms: int = 1_000
    forming_heartbeat_interval_ms: int = 250
    suspect_timeout_ms: int = 3_500
    retry_interval_ms: int = 200
    load_retry_interval_ms: int = 2_000
    load_timeout_ms: int = 600_000
    prepare_timeout_ms: int = 5_000
    lead_steps: int = 8
    abort_margin_steps: int = 2
    prepare_tries: int = 3
    fixed_coordinator: bool = False


class Unconfirmed(NamedTuple):
    """A coordinator's request that waits for the engine to echo the token."""

    token: int
    request: MapQuery | MapForm


class Pending(NamedTuple):
    """A promise whose outcome is unknown."""

    ballot: Ballot
    attempt: int
    entry: ScheduledMap


@dataclass(frozen=True, slots=True)
class Querying:
    """A coordinator's phase that collects an answer from every rank."""

    ballot: Ballot
    answers: Map[int, MapAnswer]


@dataclass(frozen=True, slots=True)
class Forming:
    """A coordinator's phase that collects every rank's acceptance of the group."""

    ballot: Ballot
    form: MapForm
    accepted: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class LoadingMap:
    """A change that waits until every rank has loaded the map's weights."""

    map: ExpertMap
    deadline_ms: Millis
    loaded: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class PreparingMap:
    """A change that collects every rank's promise."""

    map: ExpertMap
    attempt: int
    entry: ScheduledMap
    deadline_ms: Millis
    tries: int
    promises: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class ClosingMap:
    """A commit or abort that is resent until every rank has acknowledged it."""

    outcome: MapCommit | MapAbort
    done: frozenset[int] = frozenset()


Change = LoadingMap | PreparingMap | ClosingMap


@dataclass(frozen=True, slots=True)
class Leading:
    """A coordinator's phase that leads the group formed under the ballot."""

    ballot: Ballot
    members: tuple[Incarnation, ...]
    last_attempt: int = 0
    change: Change | None = None


Leadership = Querying | Forming | Leading


class State(NamedTuple):
    """The state of one sidecar in the agreement.

    ``incarnation`` identifies the process; ``generation`` counts how often it has
    left its group. ``step`` is the last step that the engine was permitted to enter,
    ``requested_step`` the step it waits for. ``loaded`` and ``maps`` are keyed by
    digest. ``highest_ballot_number`` is the highest ballot number received.
    """

    rank: int
    size: int
    incarnation: Incarnation
    options: AgreementOptions
    now_ms: Millis
    generation: int = 0
    promised: Ballot = NO_BALLOT
    attached: bool = False
    formation: Ballot | None = None
    offer: MapForm | None = None
    unconfirmed: Unconfirmed | None = None
    last_token: int = 0
    schedule: tuple[ScheduledMap, ...] = ()
    maps: Map[str, ExpertMap] = Map()
    loaded: frozenset[str] = frozenset()
    loading: frozenset[str] = frozenset()
    highest_version: int = 0
    pending: Pending | None = None
    last_attempt: int = 0
    step: int = -1
    requested_step: int | None = None
    hold_reason: HoldReason | None = None
    suspected: frozenset[int] = frozenset()
    coordinator_deadline_ms: Millis = 0
    heartbeat_deadline_ms: Millis = 0
    leadership: Leadership | None = None
    retry_deadline_ms: Millis = 0
    next_round_ms: Millis = 0
    highest_ballot_number: int = 0
    proposed: ExpertMap | None = None

    @property
    def member(self) -> Incarnation:
        """Return the incarnation of this member within the group."""
        return f"{self.incarnation}.{self.generation}"

    @property
    def coordinator(self) -> int:
        """Return the rank that should coordinate, as seen by this sidecar."""
        if self.options.fixed_coordinator:
            return 0
        trusted = (rank for rank in range(self.rank) if rank not in self.suspected)
        return next(trusted, self.rank)

    def map_at(self, step: int) -> ScheduledMap | None:
        """Return the committed map of a step."""
        entries = [entry for entry in self.schedule if entry.from_step <= step]
        return max(entries, default=None)


Transition = tuple[State, tuple[Effect, ...]]


def initial_state(
    rank: int,
    size: int,
    incarnation: Incarnation,
    options: AgreementOptions,
    now_ms: Millis,
) -> State:
    """Return the state of a sidecar that has just started."""
    return State(
        rank,
        size,
        incarnation,
        options,
        now_ms,
        coordinator_deadline_ms=now_ms + options.suspect_timeout_ms,
    )


def merge_schedules(
    schedules: list[tuple[ScheduledMap, ...]],
) -> tuple[ScheduledMap, ...]:
    """Return the entries of several ranks' schedules, ordered by step.

    A map scheduled at different steps keeps the earliest; of several maps scheduled
    at one step, the highest version wins.
    """
    known = sorted({entry for schedule in schedules for entry in schedule})
    first: dict[str, ScheduledMap] = {}
    for entry in known:
        first.setdefault(entry.digest, entry)
    by_step = {entry.from_step: entry for entry in sorted(first.values())}
    return tuple(by_step.values())


def prune_schedule(
    schedule: tuple[ScheduledMap, ...], step: int
) -> tuple[ScheduledMap, ...]:
    """Return the entries that a rank near a step may still need."""
    oldest = step - RETAINED_STEPS
    past = [entry for entry in schedule if entry.from_step <= oldest]
    return (*past[-1:], *(entry for entry in schedule if entry.from_step > oldest))
