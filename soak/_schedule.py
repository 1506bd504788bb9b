"""Plan what is broken, when and for how long, from a seed."""

from enum import StrEnum
from random import Random
from typing import NamedTuple

from fakes.runners import Fault
from soak._proxy import LinkState

ENTRIES, RUNNERS = 3, 6


class Action(StrEnum):
    """Name what a step does."""

    FREEZE = "freeze"  # SIGSTOP, and SIGCONT at the end
    KILL = "kill"  # SIGKILL, and a new process at the end
    STOP = "stop"  # SIGTERM, and a new process at the end
    RELOAD = "reload"  # SIGHUP
    LINK = "link"  # a link to a runner, or to the store
    RUNNER = "runner"  # a runner answers in a faulty way
    REPLACE = "replace"  # a runner ends; another comes with its id or a new one
    DRAIN = "drain"  # a runner is listed as leaving, and comes back
    STORE = "store"  # the store answers 503
    FORGET = "forget"  # the store drops its history
    PUBLISH = "publish"  # a new version, with a route added and one taken away
    ZONE = "zone"  # an availability zone is taken out, and back


class Identity(StrEnum):
    """Say under which id a runner comes that replaces another."""

    OLD = "old"
    NEW = "new"


class Step(NamedTuple):
    """Hold one fault; times are seconds from the start of traffic.

    ``target`` numbers an entry or a runner; a link beyond the runners is that of an
    entry to the store. ``how`` is a Link, a Fault or an Identity.
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
_WEIGHTS = {
    Action.RUNNER: 5,
    Action.LINK: 3,
    Action.REPLACE: 2,
}  # one of six runners each
_RUNNER_FAULTS = tuple(fault for fault in Fault if fault is not Fault.NONE)
_LINK_FAULTS = tuple(link for link in LinkState if link is not LinkState.HEALTHY)


def plan(seed: int, steps: int, length_s: float) -> tuple[Step, ...]:
    """Return a schedule; some steps come together and some again."""
    rng = Random(seed)
    planned: list[Step] = []
    while len(planned) < steps:
        at_s = rng.uniform(0.2, length_s)
        simultaneous = rng.choice((1, 1, 2, 3))
        planned += [_step(rng, at_s) for _ in range(simultaneous)]
    return tuple(sorted(planned[:steps]))


def _step(rng: Random, at_s: float) -> Step:
    (action,) = rng.choices(
        tuple(Action), [_WEIGHTS.get(action, 1) for action in Action]
    )
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
