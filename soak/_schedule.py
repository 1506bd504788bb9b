"""Plan what is broken, when and for how long, from a seed."""

from enum import StrEnum
from random import Random
from typing import NamedTuple

from fakes.runners import Fault
from soak._proxy import Link

ENTRIES, RUNNERS = 3, 6


class Act(StrEnum):
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
    act: Act
    target: int
    for_s: float
    how: str = ""


_LONGEST_S = {
    Act.FREEZE: 2.5,
    Act.KILL: 1.0,
    Act.STOP: 1.0,
    Act.LINK: 3.0,
    Act.RUNNER: 3.0,
    Act.DRAIN: 4.0,
    Act.STORE: 3.0,
    Act.ZONE: 2.0,
}
_OFTEN = {Act.RUNNER: 5, Act.LINK: 3, Act.REPLACE: 2}  # one of six runners each
_RUNNER_FAULTS = tuple(fault for fault in Fault if fault is not Fault.NONE)
_LINKS = tuple(link for link in Link if link is not Link.SOUND)


def plan(seed: int, steps: int, length_s: float) -> tuple[Step, ...]:
    """Return a schedule; some steps come together and some again."""
    draw = Random(seed)
    found: list[Step] = []
    while len(found) < steps:
        at_s = draw.uniform(0.2, length_s)
        together = draw.choice((1, 1, 2, 3))
        found += [_step(draw, at_s) for _ in range(together)]
    return tuple(sorted(found[:steps]))


def _step(draw: Random, at_s: float) -> Step:
    (act,) = draw.choices(tuple(Act), [_OFTEN.get(act, 1) for act in Act])
    for_s = draw.uniform(0.2, _LONGEST_S.get(act, 0.2))
    how = ""
    count = ENTRIES
    if act is Act.LINK:
        count, how = RUNNERS + ENTRIES, draw.choice(_LINKS)
    elif act is Act.REPLACE:
        count, how = RUNNERS, draw.choice(tuple(Identity))
    elif act in (Act.RUNNER, Act.DRAIN):
        count, how = RUNNERS, draw.choice(_RUNNER_FAULTS)
    return Step(at_s, act, draw.randrange(count), for_s, str(how))
