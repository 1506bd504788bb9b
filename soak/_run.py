"""Run one seed: traffic, sequential and simultaneous faults, and the checks."""

import os
import pathlib
import shutil
import tempfile
from collections import Counter
from random import Random
from typing import NamedTuple

import gevent

from soak._callers import Callers
from soak._guarantees import BAD_TARGET, find_violations
from soak._limits import find_excess_over_limits
from soak._notices import History, find_ignored_notices
from soak._prompts import (
    BAD_PART,
    Prompts,
    find_prompt_violations,
    find_request_violations,
)
from soak._retries import find_excess_retries
from soak._schedule import (
    ENTRIES,
    Step,
    plan,
    plan_crowds,
    plan_endless,
    plan_limits,
    plan_notices,
    plan_odd,
    plan_restarts,
    plan_upgrade,
)
from soak._site import SoakSite

ROOT = pathlib.Path(__file__).parent.parent
LOGS_FOLDER = ROOT / "out"  # of seeds with a violation
STEPS, DURATION_S = 32, 8.0
NOTICE_INTERVAL = 4  # steps for each further one that gives a notice
ENDLESS_INTERVAL = 8  # steps for each further one with bytes without end
LIMIT_INTERVAL = 12  # steps for each further one with limits that runners name
ODD_INTERVAL = 8  # steps for each further odd entry, and for odd bytes of a runner
CALLERS = 12
CHECK_INTERVAL_S = 1.0
SETTLE_S = 5.0  # bound for applying what was published during a store outage
FINAL_REQUESTS = 60
LAST_ANSWER_TIMEOUT_S = 12.0  # a caller waits at most 8 s


class Outcome(NamedTuple):
    """Result of a seed, with violations of guarantees and a count of each status."""

    seed: int
    steps: tuple[Step, ...]
    violations: tuple[str, ...]
    statuses: Counter[str]


def run(
    seed: int,
    *,
    steps: int = STEPS,
    entries: int = ENTRIES,
    hedge_share: float = 0.0,
    crowds: int = 0,
    production: pathlib.Path | None = None,
) -> Outcome:
    """Run one seed to its end and return the outcome.

    With ``production``, a checkout, entries of that build are replaced meanwhile.
    """
    planned = (
        *plan(seed, steps, DURATION_S),
        *plan_notices(seed, steps // NOTICE_INTERVAL, DURATION_S),
        *plan_endless(seed, steps // ENDLESS_INTERVAL, DURATION_S),
        *plan_restarts(seed, entries, DURATION_S),
        *plan_limits(seed, steps // LIMIT_INTERVAL),
        *plan_odd(seed, steps // ODD_INTERVAL, DURATION_S),
        *plan_crowds(seed, crowds, DURATION_S),
        *(plan_upgrade(seed, entries) if production else ()),
    )
    return run_steps(
        seed,
        planned,
        entries=entries,
        hedge_share=hedge_share,
        production=production or ROOT,
    )


def run_steps(
    seed: int,
    steps: tuple[Step, ...],
    *,
    entries: int = ENTRIES,
    hedge_share: float = 0.0,
    production: pathlib.Path = ROOT,
) -> Outcome:
    """Run the given steps with the callers of a seed."""
    schedule = tuple(sorted(steps))
    with tempfile.TemporaryDirectory() as folder:
        site = SoakSite(pathlib.Path(folder), entries, hedge_share, production)
        try:
            outcome = _run_schedule(seed, schedule, site)
        finally:
            site.close()
        if not outcome.violations:
            return outcome
        logs = LOGS_FOLDER / f"soak-{seed}-{os.getpid()}"
        shutil.copytree(folder, logs, dirs_exist_ok=True)
        kept = f"the logs of the entries are in {logs.relative_to(ROOT)}"
        return outcome._replace(violations=(*outcome.violations, kept))


def _run_schedule(seed: int, schedule: tuple[Step, ...], site: SoakSite) -> Outcome:
    site.start()
    prompts = Prompts.of_seed(seed)
    if prompts.has_bad:
        site.crash_on(BAD_PART)
    if prompts.has_bad_request:
        site.end_on(BAD_TARGET)
    callers = Callers(site.entries, seed, prompts)
    caller_greenlets = callers.start(CALLERS)
    step_greenlets = [
        gevent.spawn_later(step.at_s, site.run, step) for step in schedule
    ]
    violations: dict[str, None] = {}
    while any(not greenlet.dead for greenlet in step_greenlets):
        gevent.sleep(CHECK_INTERVAL_S)
        violations |= _check(callers, site)
    failed = [
        f"a step of the soak failed: {greenlet.exception!r}"
        for greenlet in step_greenlets
    ]
    violations |= dict.fromkeys(
        text
        for greenlet, text in zip(step_greenlets, failed, strict=True)
        if greenlet.exception
    )
    site.repair()
    callers.stop()
    gevent.joinall(caller_greenlets, timeout=LAST_ANSWER_TIMEOUT_S)
    if any(not greenlet.dead for greenlet in caller_greenlets):
        violations["a caller got neither a response nor a closed connection"] = None
    gevent.sleep(SETTLE_S)
    violations |= dict.fromkeys(_failed_final_requests(callers, site))
    violations |= _check(callers, site)
    statuses = Counter(
        f"{response.sent.kind} {response.status}" for response in callers.received
    )
    return Outcome(seed, schedule, tuple(violations), statuses)


def _check(callers: Callers, site: SoakSite) -> dict[str, None]:
    runs, runner_requests = site.runs(), site.runner_requests()
    history = History(
        callers.sent, callers.received, runs, site.arrivals(), site.disturbances()
    )
    found = find_violations(callers.sent, callers.received, runs, runner_requests)
    prompts = find_prompt_violations(history, site.crashes_ms())
    requests = find_request_violations(history, site.ends_ms())
    shared = (*find_excess_retries(history), *find_excess_over_limits(history))
    notices = find_ignored_notices(history)
    memory = site.memory_violations()
    return dict.fromkeys((*found, *notices, *prompts, *requests, *shared, *memory))


def _failed_final_requests(callers: Callers, site: SoakSite) -> list[str]:
    """Send requests after all faults are repaired; return those that fail."""
    rng = Random(0)
    failures = []
    for number in range(FINAL_REQUESTS):
        entry = site.entries[number % len(site.entries)]
        connection = entry.connect()
        response = callers.send_request(rng, connection, entry.ip)
        connection.close()
        if not (response.complete and response.status == 200):
            failures.append(
                f"{response.sent.request_id}: status {response.status} for a"
                f" {response.sent.kind} after all faults were repaired, by {entry.ip},"
                f" parts {response.sent.parts}, body {response.body[:80]!r}"
            )
    return failures
