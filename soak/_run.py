"""Play one seed: traffic, faults in series and together, and the checks."""

import pathlib
import tempfile
from collections import Counter
from random import Random
from typing import NamedTuple

import gevent

from soak._callers import Callers
from soak._promises import broken
from soak._schedule import ENTRIES, Step, plan
from soak._site import SoakSite

STEPS, LENGTH_S = 32, 8.0
CALLERS = 12
CHECK_S = 1.0
SETTLED_S = 5.0  # the bound on what is published while the store was away
CALM_REQUESTS = 60
LAST_ANSWER_S = 12.0  # every caller waits 8 s at most


class Outcome(NamedTuple):
    """Hold what a seed showed; ``faults`` are the promises that were broken."""

    seed: int
    steps: tuple[Step, ...]
    faults: tuple[str, ...]
    statuses: Counter[str]


def run(seed: int, *, steps: int = STEPS, entries: int = ENTRIES) -> Outcome:
    """Play one seed to its end and return what was broken."""
    schedule = plan(seed, steps, LENGTH_S)
    with tempfile.TemporaryDirectory() as folder:
        site = SoakSite(pathlib.Path(folder), entries)
        try:
            return _played(seed, schedule, site)
        finally:
            site.close()


def _played(seed: int, schedule: tuple[Step, ...], site: SoakSite) -> Outcome:
    site.start()
    callers = Callers(site.entries, seed)
    sending = callers.start(CALLERS)
    acts = [gevent.spawn_later(step.at_s, site.run, step) for step in schedule]
    faults: dict[str, None] = {}
    while any(not act.dead for act in acts):
        gevent.sleep(CHECK_S)
        faults |= _check(callers, site)
    failed = [f"the soak's own step failed: {act.exception!r}" for act in acts]
    faults |= dict.fromkeys(
        text for act, text in zip(acts, failed, strict=True) if act.exception
    )
    site.mend()
    callers.stop()
    gevent.joinall(sending, timeout=LAST_ANSWER_S)
    if any(not one.dead for one in sending):
        faults["a caller got neither an answer nor a close"] = None
    gevent.sleep(SETTLED_S)
    faults |= dict.fromkeys(_calm(callers, site))
    faults |= _check(callers, site)
    statuses = Counter(f"{one.sent.kind} {one.status}" for one in callers.seen)
    return Outcome(seed, schedule, tuple(faults), statuses)


def _check(callers: Callers, site: SoakSite) -> dict[str, None]:
    arrivals = site.arrivals()
    return dict.fromkeys(broken(callers.sent, callers.seen, site.runs(), arrivals))


def _calm(callers: Callers, site: SoakSite) -> list[str]:
    """Return what is not served after everything was mended."""
    draw = Random(0)
    found = []
    for number in range(CALM_REQUESTS):
        entry = site.entries[number % len(site.entries)]
        channel = entry.connect()
        seen = callers.ask(draw, channel)
        channel.close()
        if not (seen.whole and seen.status == 200):
            found.append(
                f"{seen.sent.request_id}: status {seen.status} for a"
                f" {seen.sent.kind} on a calm site, by {entry.ip}"
            )
    return found
