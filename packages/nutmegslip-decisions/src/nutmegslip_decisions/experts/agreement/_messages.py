"""Messages between the sidecars of one group about the expert map."""

from dataclasses import dataclass
from typing import NamedTuple

from nutmegslip_decisions.experts._layer import Placement
from nutmegslip_decisions.model import Incarnation


class Ballot(NamedTuple):
    """The unique, ordered number of an attempt to lead a group.

    The incarnation prevents a restarted coordinator from reusing a ballot of its
    previous incarnation.
    """

    number: int
    rank: int
    incarnation: Incarnation


NO_BALLOT = Ballot(0, -1, "")


class ExpertMap(NamedTuple):
    """One expert map; the digest distinguishes maps of the same version."""

    version: int
    digest: str
    placement: Placement


class ScheduledMap(NamedTuple):
    """The step from which on a committed map is used."""

    from_step: int
    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class MapPulse:
    """A rank's heartbeat; sent to the coordinator, and by it to all ranks.

    ``step`` is the last step the engine was permitted to enter.
    """

    rank: int
    incarnation: Incarnation
    promised: Ballot
    formation: Ballot | None
    step: int


@dataclass(frozen=True, slots=True)
class MapQuery:
    """A request to follow no lower ballot and to report the rank's committed maps."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class MapAnswer:
    """The answer to a query, with every committed map that the rank knows."""

    ballot: Ballot
    rank: int
    incarnation: Incarnation
    step: int
    schedule: tuple[ScheduledMap, ...]
    maps: tuple[ExpertMap, ...]


@dataclass(frozen=True, slots=True)
class MapForm:
    """The offer of a group of exactly these incarnations, with its schedule.

    ``step`` is the last step that any rank has entered.
    """

    ballot: Ballot
    members: tuple[Incarnation, ...]
    step: int
    schedule: tuple[ScheduledMap, ...]
    maps: tuple[ExpertMap, ...]


@dataclass(frozen=True, slots=True)
class MapAccept:
    """The acceptance of an offered group; the rank has loaded the weights it needs."""

    ballot: Ballot
    rank: int
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class MapStart:
    """The start of a group that every member has accepted."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class MapLoad:
    """A request to load the weights of a map that may be used later."""

    ballot: Ballot
    map: ExpertMap


@dataclass(frozen=True, slots=True)
class MapLoaded:
    """The report that a rank has loaded the weights of a map."""

    ballot: Ballot
    rank: int
    digest: str


@dataclass(frozen=True, slots=True)
class MapPrepare:
    """A request to promise the use of a map from a step on if it is committed."""

    ballot: Ballot
    attempt: int
    entry: ScheduledMap


@dataclass(frozen=True, slots=True)
class MapPromise:
    """The promise not to enter the step before the outcome is known."""

    ballot: Ballot
    attempt: int
    rank: int


@dataclass(frozen=True, slots=True)
class MapRefusal:
    """A refusal: a higher ballot is promised, or the step is already permitted.

    ``promised`` is the ballot that the rank follows, ``step`` the last step it
    entered.
    """

    ballot: Ballot
    attempt: int
    rank: int
    promised: Ballot
    step: int


@dataclass(frozen=True, slots=True)
class MapCommit:
    """The commit of a map that every rank has promised to use from the step on."""

    ballot: Ballot
    attempt: int
    entry: ScheduledMap


@dataclass(frozen=True, slots=True)
class MapAbort:
    """The abort of a change that will never be committed."""

    ballot: Ballot
    attempt: int


@dataclass(frozen=True, slots=True)
class MapDone:
    """The acknowledgement of a commit or an abort."""

    ballot: Ballot
    attempt: int
    rank: int


Message = (
    MapPulse
    | MapQuery
    | MapAnswer
    | MapForm
    | MapAccept
    | MapStart
    | MapLoad
    | MapLoaded
    | MapPrepare
    | MapPromise
    | MapRefusal
    | MapCommit
    | MapAbort
    | MapDone
)

MESSAGES: tuple[type, ...] = (
    MapPulse,
    MapQuery,
    MapAnswer,
    MapForm,
    MapAccept,
    MapStart,
    MapLoad,
    MapLoaded,
    MapPrepare,
    MapPromise,
    MapRefusal,
    MapCommit,
    MapAbort,
    MapDone,
)
