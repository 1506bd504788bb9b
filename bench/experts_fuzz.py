"""Fuzz the agreement on the expert map with seeded random faults.

``python -m bench.experts_fuzz --seed 1 --seconds 60`` prints the count of runs
and of each case. It fails at the first run in which a step uses two maps or in which
the group does not recover after all faults are healed.
"""

import argparse
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from bench.experts_group import Group, Network, Sidecar
from nutmegslip_decisions.experts.agreement import AgreementOptions

FAULT_MESSAGES = (
    "MapQuery",
    "MapAnswer",
    "MapForm",
    "MapAccept",
    "MapStart",
    "MapLoad",
    "MapLoaded",
    "MapPrepare",
    "MapPromise",
    "MapCommit",
    "MapAbort",
    "MapDone",
)
RECOVERY_MS = 60_000
RECOVERY_STEPS = 40
ACTIONS_PER_RUN = 14
ACTIONS = (
    *("propose",) * 3,
    *("trap",) * 4,
    "fault",
    "network",
    "cut",
    *("wake",) * 2,
    "replace",
)


def fuzz_one(seed: int) -> Counter[str]:
    """Run one group through random faults; return the cases reached.

    Raises ``AssertionError`` if a step ran on two maps, or if the group does not
    step and change its map again after the faults are healed.
    """
    rng = random.Random(seed)
    options = AgreementOptions(lead_steps=rng.choice((1, 3, 8)))
    group = Group(rng.choice((2, 3, 3, 4)), seed, options=options)
    group.run(1000)
    group.propose(0)
    group.run(rng.randrange(600))
    for _ in range(ACTIONS_PER_RUN):
        act(group, rng, rng.choice(ACTIONS))
    recover(group)
    return group.cases


def act(group: Group, rng: random.Random, action: str) -> None:
    """Perform one action, and advance a random time."""
    rank = rng.randrange(group.size)
    sidecar = group.sidecar(rank)
    group.proposals += 1
    match action:
        case "propose":
            group.propose(group.proposals)
        case "trap":
            group.propose(group.proposals)
            fault_at_message(group, rng, rng.choice(FAULT_MESSAGES))
        case "fault":
            _fault(group, rng, sidecar, "any time")
        case "network":
            group.network = replace(
                group.network,
                delay_ms=rng.choice(((1, 2), (1, 40), (1, 900))),
                loss=rng.choice((0.0, 0.1, 0.4)),
                repeat=rng.choice((0.0, 0.3)),
            )
        case "cut":
            other = rng.randrange(group.size)
            group.network.cut ^= {frozenset((rank, other))}
            group.cases["link cut"] += 1
        case "wake":
            for frozen in [s for s in group.sidecars if s.frozen]:
                group.resume(frozen)
        case "replace":
            group.replace_host(rank)
            group.cases["host replaced"] += 1
    group.run(rng.choice((1, 5, 60, 400, 1500)))
    leaders = [s for s in group.sidecars if s.alive and s.state.leadership is not None]
    group.cases["two coordinators"] += len({s.rank for s in leaders}) > 1


def fault_at_message(group: Group, rng: random.Random, name: str) -> None:
    """Inject a fault into the sender of the n-th message of a type, for a random n."""
    remaining = rng.randrange(1, group.size + 1)

    def on_send(sidecar: Sidecar, message: object) -> None:
        nonlocal remaining
        remaining -= type(message).__name__ == name
        if remaining == 0 and sidecar.alive and not sidecar.frozen:
            group.on_send = None
            _fault(group, rng, sidecar, name)

    group.on_send = on_send
    group.run(1500)
    group.on_send = None


def _fault(group: Group, rng: random.Random, sidecar: Sidecar, when: str) -> None:
    fault = rng.choice(("killed", "frozen", "succeeded"))
    role = "coordinator" if sidecar.state.leadership is not None else "rank"
    group.cases[f"{role} {fault} at {when}"] += 1
    if sidecar.state.pending is not None and fault != "frozen":
        group.cases["rank restarted after its promise"] += 1
    match fault:
        case "killed":
            group.kill(sidecar)
            group.start_sidecar(sidecar.rank)
        case "frozen":
            group.freeze(sidecar)
        case "succeeded":
            group.freeze(sidecar)
            group.start_sidecar(sidecar.rank)
            group.cases["successor while frozen"] += 1


def recover(group: Group) -> None:
    """Heal every fault; raise if the group does not step and change its map again."""
    _heal(group)
    step = group.steps() + RECOVERY_STEPS
    if not _runs_until(group, lambda: group.steps() >= step):
        raise AssertionError(f"the group is stuck at step {group.steps()}")
    maps = len(group.digests)
    if not _runs_until(group, lambda: len(group.digests) > maps):
        raise AssertionError("the group does not change its map again")


def _heal(group: Group) -> None:
    group.network = Network()
    for sidecar in list(group.sidecars):
        if sidecar is not group.sidecar(sidecar.rank):
            group.kill(sidecar)
        elif sidecar.frozen:
            group.resume(sidecar)


def _runs_until(group: Group, condition: Callable[[], bool]) -> bool:
    end_ms = group.now_ms + RECOVERY_MS
    while not condition() and group.now_ms < end_ms:
        group.propose(group.now_ms)  # as further load reports do
        group.run(500)
    return condition()


def main() -> None:
    """Run seeds for the given time, then print the count of each case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    arguments = parser.parse_args()
    end = time.monotonic() + arguments.seconds
    cases: Counter[str] = Counter()
    seed = arguments.seed * 1_000_000
    while time.monotonic() < end:
        try:
            cases += fuzz_one(seed)
        except AssertionError:
            print(f"failed: fuzz_one({seed})")
            raise
        seed += 1
    print(f"{seed - arguments.seed * 1_000_000} runs")
    for case, count in sorted(cases.items()):
        print(f"{count:>9} {case}")


if __name__ == "__main__":
    main()
