"""Plan faults, their times and their durations from a seed."""

from enum import StrEnum
from random import Random
from typing import NamedTuple

from fakes.runners import ENDLESS, Fault
from soak._odd_entries import ODD_ENTRIES
from soak._proxy import LinkState

ENTRIES, RUNNERS = 3, 6
UPGRADE_GAP_S = 3.0  # longer than an idle process takes to stop and start


class Action(StrEnum):
    """Action of a step."""

    FREEZE = "freeze"  # SIGSTOP, and SIGCONT at the end
    KILL = "kill"  # SIGKILL, and a new process at the end
    STOP = "stop"  # SIGTERM, and a new process at the end
    RELOAD = "reload"  # SIGHUP
    LINK = "link"  # a link to a runner or to the store changes its state
    RUNNER = "runner"  # a runner injects a fault
    REPLACE = "replace"  # a runner stops; another starts under the same id or a new one
    DRAIN = "drain"  # a runner is registered as draining, and then as ready
    STORE = "store"  # the store responds 503
    FORGET = "forget"  # the store drops its history
    PUBLISH = "publish"  # a new version, with one route added and one removed
    ZONE = "zone"  # an availability zone is evacuated, and then restored
    LEAVE = "leave"  # a runner says in its answers that it leaves, then is replaced
    PAUSE = "pause"  # a runner rejects requests and asks for a pause
    LIMIT = "limit"  # a runner names a limit, then a smaller one, then none
    RESTORE = "restore"  # the store returns from a copy as old as the step is long
    ODD_ENTRY = "odd-entry"  # another writer leaves an entry that names no runner
    CROWD = "crowd"  # clients of an entry send unfinished requests, and stay
    UPGRADE = "upgrade"  # SIGTERM, and a process of the variant's build


class Identity(StrEnum):
    """Id of a runner that replaces another: the same or a new one."""

    OLD = "old"
    NEW = "new"


class Build(StrEnum):
    """Build of which an entry is started: the one in production or the new one."""

    OLD = "old"
    NEW = "new"


class Step(NamedTuple):
    """One fault; ``at_s`` counts from the start of traffic.

    ``target`` is the index of an entry or a runner; link indexes after those of the
    runners are links from an entry to the store. ``variant`` is a LinkState, a Fault
    an Identity or a Build, or the number of an odd entry.
    """

    at_s: float
    action: Action
    target: int
    duration_s: float
    variant: str = ""


_MAX_DURATION_S = {
    Action.FREEZE: 2.5,
    Action.KILL: 1.0,
    Action.STOP: 1.0,
    Action.LINK: 3.0,
    Action.RUNNER: 3.0,
    Action.DRAIN: 4.0,
    Action.STORE: 3.0,
    Action.ZONE: 2.0,
}
# These are drawn more often, as each affects only one of six runners.
_WEIGHTS = {Action.RUNNER: 5, Action.LINK: 3, Action.REPLACE: 2}
# Drawn apart from the others, so that the schedules of earlier seeds stay the same.
_NOTICES = (Action.LEAVE, Action.PAUSE, Action.RESTORE)
_PLANNED_APART = (
    *_NOTICES,
    Action.LIMIT,
    Action.ODD_ENTRY,
    Action.CROWD,
    Action.UPGRADE,
)
_OTHERS = tuple(action for action in Action if action not in _PLANNED_APART)
_STATUS_FAULTS = (Fault.STATUS_000, Fault.STATUS_600)
_ODD_FAULTS = (Fault.ENDLESS_CHUNKS, Fault.SHED_LATE)
_ENDLESS_FAULTS = (
    *(fault for fault in ENDLESS if fault not in _ODD_FAULTS),
    Fault.STALLED_SHED,
)
_SIGNALS = (Action.STOP, Action.KILL, Action.RELOAD, Action.FREEZE)
_LATER_FAULTS = (
    Fault.CLOSE_CUT,
    Fault.CLOSE_RESET,
    Fault.COPY_LATE,
    Fault.DRIP,
    Fault.SLOW,
    Fault.SHED_UNNAMED,
    *_ENDLESS_FAULTS,
    *_ODD_FAULTS,
    *_STATUS_FAULTS,
)
_RUNNER_FAULTS = tuple(
    fault
    for fault in Fault
    if fault not in (Fault.NONE, Fault.PAUSE, Fault.CLOSE_EMPTY, *_LATER_FAULTS)
)
_LINK_FAULTS = tuple(link for link in LinkState if link is not LinkState.HEALTHY)


def plan(seed: int, steps: int, length_s: float) -> tuple[Step, ...]:
    """Return a schedule; some steps are simultaneous and some repeat."""
    rng = Random(seed)
    planned: list[Step] = []
    while len(planned) < steps:
        at_s = rng.uniform(0.2, length_s)
        simultaneous = rng.choice((1, 1, 2, 3))
        planned += [_step(rng, at_s) for _ in range(simultaneous)]
    return tuple(sorted(planned[:steps]))


def plan_notices(seed: int, steps: int, length_s: float) -> tuple[Step, ...]:
    """Return steps in which runners leave or pause and the store is restored."""
    rng = Random(f"{seed}-notices")
    return tuple(
        Step(
            rng.uniform(0.2, length_s),
            rng.choice(_NOTICES),
            rng.randrange(RUNNERS),
            rng.uniform(1.0, 3.0),
        )
        for _ in range(steps)
    )


def plan_endless(seed: int, steps: int, length_s: float) -> tuple[Step, ...]:
    """Return steps in which runners send bytes without end that are no answer."""
    rng = Random(f"{seed}-endless")
    return tuple(
        Step(
            rng.uniform(0.2, length_s),
            Action.RUNNER,
            rng.randrange(RUNNERS),
            rng.uniform(0.2, _MAX_DURATION_S[Action.RUNNER]),
            str(rng.choice(_ENDLESS_FAULTS)),
        )
        for _ in range(steps)
    )


def plan_restarts(seed: int, entries: int, length_s: float) -> tuple[Step, ...]:
    """Return signals to all entries in turn, which overlap; none for half the seeds."""
    rng = Random(f"{seed}-restarts")
    if rng.random() < 0.5:
        return ()
    start_s, gap_s = rng.uniform(0.5, length_s / 2), rng.uniform(0.1, 1.0)
    return tuple(
        Step(start_s + turn * gap_s, rng.choice(_SIGNALS), turn, rng.uniform(0.1, 0.8))
        for turn in range(entries)
        if start_s + turn * gap_s < length_s
    )


def plan_limits(seed: int, steps: int) -> tuple[Step, ...]:
    """Return steps in which runners name limits for most of the run."""
    rng = Random(f"{seed}-limits")
    return tuple(
        Step(
            rng.uniform(0.2, 2.0),
            Action.LIMIT,
            rng.randrange(RUNNERS),
            rng.uniform(5.0, 9.0),
            str(rng.choice((0.5, 2.0, 8.0, 20.0))),
        )
        for _ in range(steps)
    )


def plan_odd(seed: int, steps: int, length_s: float) -> tuple[Step, ...]:
    """Return steps with entries of another writer and odd bytes of runners."""
    rng = Random(f"{seed}-odd")
    entries = tuple(
        Step(
            rng.uniform(0.2, length_s),
            Action.ODD_ENTRY,
            0,
            rng.uniform(0.5, 4.0),
            str(rng.randrange(len(ODD_ENTRIES))),
        )
        for _ in range(steps)
    )
    faults = tuple(
        Step(
            rng.uniform(0.2, length_s),
            Action.RUNNER,
            rng.randrange(RUNNERS),
            rng.uniform(0.2, _MAX_DURATION_S[Action.RUNNER]),
            str(rng.choice(_ODD_FAULTS)),
        )
        for _ in range(steps)
    )
    return (*entries, *faults)


def plan_crowds(seed: int, crowds: int, length_s: float) -> tuple[Step, ...]:
    """Return steps with crowds of clients and odd statuses of runners."""
    rng = Random(f"{seed}-crowds")
    clients = tuple(
        Step(
            rng.uniform(0.2, length_s),
            Action.CROWD,
            rng.randrange(ENTRIES),
            rng.uniform(0.5, 4.0),
        )
        for _ in range(crowds)
    )
    statuses = tuple(
        Step(
            rng.uniform(0.2, length_s),
            Action.RUNNER,
            rng.randrange(RUNNERS),
            rng.uniform(0.2, _MAX_DURATION_S[Action.RUNNER]),
            str(rng.choice(_STATUS_FAULTS)),
        )
        for _ in range(crowds)
    )
    return (*clients, *statuses)


def plan_upgrade(seed: int, entries: int) -> tuple[Step, ...]:
    """Return the replacement of all entries, one after the other, by the new build.

    It pauses halfway. For half the seeds the entries that were replaced go back first.
    """
    rng = Random(f"{seed}-upgrade")
    start_s, pause_s = rng.uniform(0.5, 2.0), rng.uniform(0.0, 3.0)
    turns = [(turn, Build.NEW) for turn in range(entries)]
    if rng.random() < 0.5:
        half = turns[: (entries + 1) // 2]
        turns = [*half, *((turn, Build.OLD) for turn, _ in half), *turns]
    return tuple(
        Step(
            start_s + UPGRADE_GAP_S * number + pause_s * (number > len(turns) // 2),
            Action.UPGRADE,
            turn,
            0.0,
            str(build),
        )
        for number, (turn, build) in enumerate(turns)
    )


def _step(rng: Random, at_s: float) -> Step:
    (action,) = rng.choices(_OTHERS, [_WEIGHTS.get(action, 1) for action in _OTHERS])
    duration_s = rng.uniform(0.2, _MAX_DURATION_S.get(action, 0.2))
    variant = ""
    target_count = ENTRIES
    if action is Action.LINK:
        target_count, variant = RUNNERS + ENTRIES, rng.choice(_LINK_FAULTS)
    elif action is Action.REPLACE:
        target_count, variant = RUNNERS, rng.choice(tuple(Identity))
    elif action in (Action.RUNNER, Action.DRAIN):
        target_count, variant = RUNNERS, rng.choice(_RUNNER_FAULTS)
    return Step(at_s, action, rng.randrange(target_count), duration_s, str(variant))
