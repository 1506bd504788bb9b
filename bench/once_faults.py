"""Measure the effect of faults on new non-idempotent requests."""

import json
import pathlib
import random
from collections.abc import Callable
from statistics import quantiles
from typing import NamedTuple

import defopt

from bench.once_world import LINK_MS, Process, World
from nutmegslip_decisions.model import Role
from nutmegslip_decisions.once import OnceOptions, OutcomeKind

PUSHES_PER_SECOND = 20
BEFORE_S = 10
AFTER_S = 110
LINK_TIMEOUT_MS = 1_500
DOWN_MS = 2_000
DEADLINE_MS = 15_000
EXTRA_MESSAGES = ("TombstoneRequest", "AttestRequest")
DAY_MS = 86_400_000


class Fault(NamedTuple):
    """Timed changes of a world; times are relative to the start of the fault."""

    name: str
    steps: tuple[tuple[int, Callable[[World], None]], ...]


class Cost(NamedTuple):
    """Outcomes and extra delays of the new requests around one fault."""

    fault: str
    fresh: int
    finished: int
    refused: int
    unknown: int
    cut_at_entry: int
    bad_percent: float
    held_up: int
    extra_messages: int
    extra_delay_p50_ms: float
    extra_delay_p99_ms: float
    extra_delay_max_ms: float


def faults(*, seed: int = 1, out: pathlib.Path | None = None) -> None:
    """Measure each fault on three entries and three sidecars; print and write costs.

    :param seed: seed of arrivals and delays
    :param out: file for the figures, as JSON
    """
    costs = [measure(fault, seed) for fault in FAULTS]
    print(
        f"{'fault':34}{'fresh':>6}{'refused':>8}{'unknown':>8}{'cut':>5}{'bad %':>7}"
        f"{'held up':>8}{'msgs':>7}{'p50 ms':>8}{'p99 ms':>8}{'max ms':>8}"
    )
    for c in costs:
        print(
            f"{c.fault:34}{c.fresh:6}{c.refused:8}{c.unknown:8}{c.cut_at_entry:5}"
            f"{c.bad_percent:7.2f}{c.held_up:8}{c.extra_messages:7}"
            f"{c.extra_delay_p50_ms:8.0f}{c.extra_delay_p99_ms:8.0f}"
            f"{c.extra_delay_max_ms:8.0f}"
        )
    if out:
        out.write_text(json.dumps([c._asdict() for c in costs], indent=2) + "\n")


def measure(fault: Fault, seed: int) -> Cost:
    """Send new requests before, during and after one fault."""
    world = World(seed, options=OnceOptions())
    world.silent, world.link_timeout_ms = True, LINK_TIMEOUT_MS
    arrivals = random.Random(seed)
    begin_ms = world.now_ms + BEFORE_S * 1_000
    end_ms = begin_ms + AFTER_S * 1_000
    steps = [(begin_ms + at_ms, step) for at_ms, step in fault.steps]
    messages_before = sum(world.messages[name] for name in EXTRA_MESSAGES)
    number = 0
    while world.now_ms < end_ms:
        gap_ms = round(arrivals.expovariate(PUSHES_PER_SECOND) * 1_000)
        next_ms = world.now_ms + gap_ms
        while steps and steps[0][0] <= next_ms:
            at_ms, step = steps.pop(0)
            world.advance(max(0, at_ms - world.now_ms))
            step(world)
        world.advance(max(0, next_ms - world.now_ms))
        _push(world, f"k{number}", arrivals)
        number += 1
    world.advance(DEADLINE_MS + 1_000)
    extra = sum(world.messages[name] for name in EXTRA_MESSAGES) - messages_before
    return _cost(world, fault.name, extra)


def _push(world: World, key: str, arrivals: random.Random) -> None:
    # The platform's balancer skips entries that don't answer its probes.
    blocked_hosts = (
        {h for pair in world.blocked for h in pair} if world.blocked else set()
    )
    entries = [
        p.host
        for p in world.processes.values()
        if p.role is Role.ENTRY and p.alive and _is_ready(world, p)
    ]
    reachable = [
        e for e in entries if not (e in blocked_hosts and _is_isolated(world, e))
    ]
    avoid = frozenset(p.host for p in world.processes.values() if p.out)
    world.submit(key, arrivals.choice(reachable or entries), DEADLINE_MS, avoid)


def _is_ready(world: World, process: Process) -> bool:
    state = process.state
    listed = process.host in world.listed
    return (
        listed
        and state.is_active(world.now_ms + process.clock_ms)
        and not (state.stop_deadline_ms)
    )


def _is_isolated(world: World, host: str) -> bool:
    return sum(host in pair for pair in world.blocked) >= 3


def _cost(world: World, name: str, extra_messages: int) -> Cost:
    requests = list(world.requests.values())
    kinds = [r.outcome.kind if r.outcome else None for r in requests]
    refused = sum(k in (OutcomeKind.NOT_RUN, OutcomeKind.NOT_SENT) for k in kinds)
    bad = refused + kinds.count(OutcomeKind.UNKNOWN) + kinds.count(None)
    delays = [
        world.runs[r.key][0].started_ms - r.sent_ms - LINK_MS
        for r in requests
        if r.outcome and r.outcome.kind is OutcomeKind.FINISHED
    ]
    centiles = quantiles(delays, n=100)
    return Cost(
        fault=name,
        fresh=len(requests),
        finished=kinds.count(OutcomeKind.FINISHED),
        refused=refused,
        unknown=kinds.count(OutcomeKind.UNKNOWN),
        cut_at_entry=kinds.count(None),
        bad_percent=round(100 * bad / len(requests), 2),
        held_up=sum(delay > 0 for delay in delays),
        extra_messages=extra_messages,
        extra_delay_p50_ms=centiles[49],
        extra_delay_p99_ms=centiles[98],
        extra_delay_max_ms=max(delays),
    )


def _kill(host: str):
    return lambda world: world.kill(host)


def _start(host: str):
    return lambda world: world.start(host)


def _mark(host: str, out: bool):
    def step(world: World) -> None:
        world.processes[host].out = out

    return step


def _isolate(*hosts: str):
    def step(world: World) -> None:
        for host in hosts:
            for other in set(world.processes) - set(hosts):
                world.block(host, other)

    return step


def _publish_list(add: dict[str, Role], remove: tuple[str, ...] = ()):
    def step(world: World) -> None:
        kept = {h: r for h, r in world.listed.items() if h not in remove}
        world.publish(kept | add)

    return step


def _start_and_list(host: str, role: Role):
    def step(world: World) -> None:
        world.publish(world.listed | {host: role})
        world.start(host)

    return step


def _restart(host: str, at_ms: int):
    return ((at_ms, _kill(host)), (at_ms + DOWN_MS, _start(host)))


def _drain_and_restart(host: str, at_ms: int):
    return (
        (at_ms, lambda world: world.stop(host)),
        (at_ms + 3_000 + DOWN_MS, _start(host)),
    )


SIDECARS = ("s0", "s1", "s2")
ENTRIES = ("e0", "e1", "e2")

FAULTS = (
    Fault("none", ()),
    Fault("home killed and restarted", _restart("s0", 0)),
    Fault("home drained and restarted", _drain_and_restart("s0", 0)),
    Fault(
        "home's host replaced, list 5 s late",
        (
            (0, _kill("s0")),
            (5_000, _publish_list({}, ("s0",))),
            (10_000, _start_and_list("s9", Role.SIDECAR)),
        ),
    ),
    Fault(
        "zone marked out and back",
        ((0, _mark("s0", True)), (60_000, _mark("s0", False))),
    ),
    Fault(
        "zone lost and back",
        ((0, _isolate("s0", "e0")), (60_000, lambda world: world.heal())),
    ),
    Fault("sidecar's host added", ((0, _start_and_list("s9", Role.SIDECAR)),)),
    Fault("entry killed and restarted", _restart("e0", 0)),
    Fault(
        "entry replaced",
        (
            (0, _kill("e0")),
            (5_000, _publish_list({}, ("e0",))),
            (10_000, _start_and_list("e9", Role.ENTRY)),
        ),
    ),
    Fault(
        "entry killed, home killed 20 s on",
        (*_restart("e0", 0), *_restart("s0", 20_000)),
    ),
    Fault(
        "two homes killed 20 s apart",
        (*_restart("s0", 0), *_restart("s1", 20_000)),
    ),
    Fault(
        "entry and two homes killed",
        (*_restart("e0", 0), *_restart("s0", 20_000), *_restart("s1", 40_000)),
    ),
    Fault(
        "all six drained in turn",
        tuple(
            s
            for n, host in enumerate(SIDECARS + ENTRIES)
            for s in _drain_and_restart(host, n * 15_000)
        ),
    ),
    Fault(
        "all sidecars drained in turn",
        tuple(
            s
            for n, host in enumerate(SIDECARS)
            for s in _drain_and_restart(host, n * 20_000)
        ),
    ),
)


if __name__ == "__main__":
    defopt.run(faults)
