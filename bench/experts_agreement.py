"""Measure the cost of changing the expert map, with and without faults.

``python -m bench.experts_agreement --seed 1 --out agreement.json`` compares the
agreement protocol with stopping the group for the change and with a fixed
coordinator, and compares how many steps ahead a change is scheduled.
"""

import argparse
import json
import pathlib
from collections.abc import Callable
from typing import NamedTuple

from bench.experts_group import Group, Network, Sidecar
from nutmegslip_decisions.experts.agreement import AgreementOptions

CHANGES = 20
RANKS = 8
STEP_MS = 44
LOAD_MS = 3_000
FAULT_MS = 5_000  # until a sidecar is restarted or resumed, or a link restored
STEPS_AFTER = 12  # more steps than a change is scheduled ahead


class FaultFreeCost(NamedTuple):
    """The cost of map changes without faults."""

    way: str
    lead_steps: int
    delay_ms: tuple[int, int]
    loss: float
    changes: int
    held_ms_a_change: float
    messages_a_change: float


class FaultCost(NamedTuple):
    """The outcome of a map change whose coordinator failed."""

    way: str
    fault: str
    message: str
    changed: bool
    held_ms: int


def measure_fault_free(
    seed: int, lead_steps: int, network: Network, *, stopping: bool
) -> FaultFreeCost:
    """Change the map repeatedly; return the delay and messages per change."""
    group = _started_group(seed, AgreementOptions(lead_steps=lead_steps))
    group.network = network
    baseline = _cost(group, 0, stopping=False)
    cost = _cost(group, CHANGES, stopping=stopping)
    held_ms, messages = (
        (after - before) / CHANGES for before, after in zip(baseline, cost, strict=True)
    )
    way = "stop the group" if stopping else "agreement"
    changes = len(group.digests) - 1
    return FaultFreeCost(
        way,
        lead_steps,
        network.delay_ms,
        network.loss,
        changes,
        round(held_ms, 1),
        round(messages, 1),
    )


def measure_fault(seed: int, fault: str, message: str, *, fixed: bool) -> FaultCost:
    """Inject a fault into the coordinator after it sends a message to one rank."""
    group = _started_group(seed, AgreementOptions(fixed_coordinator=fixed))
    target = group.coordinator()
    sent_ms: list[int] = []

    def on_send(sidecar: Sidecar, sent: object) -> None:
        if sidecar is target and type(sent).__name__ == message and not sent_ms:
            sent_ms.append(group.now_ms)
            _inject_fault(group, target, fault)

    group.on_send = on_send
    maps = len(group.digests)
    group.propose(1)
    while not sent_ms:
        group.run(10)
    group.on_send = None
    step = group.steps()
    stepping_ms = _wait(group, lambda: group.steps() >= step + STEPS_AFTER)
    _wait(group, lambda: len(group.digests) > maps)
    return FaultCost(
        "fixed coordinator" if fixed else "agreement",
        fault,
        message,
        len(group.digests) > maps,
        stepping_ms - STEPS_AFTER * STEP_MS,
    )


def _started_group(seed: int, options: AgreementOptions) -> Group:
    group = Group(RANKS, seed, options=options, step_ms=STEP_MS, load_ms=LOAD_MS)
    group.run(2000)
    group.propose(0)
    group.run(LOAD_MS + 2000)
    return group


def _cost(group: Group, changes: int, *, stopping: bool) -> tuple[int, int]:
    """Return the total delay of steps in milliseconds, and the messages sent."""
    sent = _sent(group)
    steps, started_ms = group.steps(), group.now_ms
    for number in range(CHANGES):
        if number < changes:
            group.proposals += 1
            group.stopped = stopping
            group.propose(group.proposals)
        _run_change(group, number < changes)
    late_ms = group.now_ms - started_ms - (group.steps() - steps) * STEP_MS
    return late_ms, _sent(group) - sent


def _run_change(group: Group, changing: bool) -> None:
    """Run for the duration of one change; resume a stopped group once it is decided."""
    end_ms = group.now_ms + LOAD_MS + 3000
    scheduled = group.cases["MapScheduled"] + RANKS
    while group.now_ms < end_ms:
        group.run(5)
        decided = group.cases["MapScheduled"] >= scheduled
        if group.stopped and decided:
            group.resume_steps()


def _inject_fault(group: Group, target: Sidecar, fault: str) -> None:
    if fault == "killed":
        group.kill(target)
        group.after(FAULT_MS, lambda: group.start_sidecar(target.rank))
    elif fault == "frozen":
        group.freeze(target)
        group.after(FAULT_MS, lambda: group.resume(target))
    else:
        group.network.cut = {frozenset((target.rank, 1))}
        group.after(FAULT_MS, group.network.cut.clear)


def _wait(group: Group, condition: Callable[[], bool], limit_ms: int = 20_000) -> int:
    started_ms = group.now_ms
    while not condition():
        if group.now_ms - started_ms > limit_ms:
            break
        group.run(5)
    return group.now_ms - started_ms


def _sent(group: Group) -> int:
    return sum(n for case, n in group.cases.items() if case.startswith("sent Map"))


def main() -> None:
    """Print and write every figure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=pathlib.Path, required=True)
    arguments = parser.parse_args()
    seed = arguments.seed
    networks = (Network(), Network((1, 40)), Network((1, 40), loss=0.02))
    fault_free = [
        measure_fault_free(seed, lead, network, stopping=False)
        for network in networks
        for lead in (1, 2, 4, 8, 16)
    ]
    fault_free += [
        measure_fault_free(seed, 8, network, stopping=True) for network in networks
    ]
    with_faults = [
        measure_fault(seed, fault, message, fixed=fixed)
        for fault in ("killed", "frozen", "cut from rank 1")
        for message in ("MapLoad", "MapPrepare", "MapCommit")
        for fixed in (False, True)
    ]
    for row in (*fault_free, *with_faults):
        print(*row, sep="  ")
    rows = [row._asdict() for row in (*fault_free, *with_faults)]
    arguments.out.write_text(json.dumps({"seed": seed, "rows": rows}, indent=1))


if __name__ == "__main__":
    main()
