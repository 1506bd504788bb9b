"""Fuzz configuration sync for a given time, or show that a fault is detected."""

import contextlib
import dataclasses
import time
from collections import Counter
from random import Random
from unittest import mock

import defopt

from bench import configuration_world
from bench.configuration_oracle import ViolationError
from bench.configuration_scenario import Scenario
from nutmegslip_decisions.configuration import (
    Delta,
    PollReply,
    SyncState,
    _lease,
    _peers,
    _placement,
    _reading,
)
from nutmegslip_decisions.configuration._source_state import SourceState
from nutmegslip_decisions.configuration._state import PeerReply
from nutmegslip_decisions.model import Millis

MOVES_PER_RUN = 40

_ORIGINAL_PEER_REPLY = _peers._peer_reply
_ORIGINAL_APPLY_DELTA = _reading.apply_delta


def broken(fault: str | None) -> contextlib.AbstractContextManager:
    """Return a context in which one mechanism is switched off."""
    match fault:
        case None:
            return contextlib.nullcontext()
        case "claims-before-versions":
            return mock.patch.object(
                _lease, "_has_versions", lambda state, peer_reply: True
            )
        case "whole-lease-from-holder":
            return mock.patch.object(_peers, "_peer_reply", _reply_with_whole_lease)
        case "witness-without-sync":
            return mock.patch.object(
                _lease, "_sync", lambda state: state._replace(synced=True)
            )
        case "set-without-settling":
            return mock.patch.object(
                _lease,
                "begin_witness_change",
                lambda state, old, now_ms: state,
            )
        case "one-witness-suffices":
            return mock.patch.object(_placement.WitnessSet, "majority", 1)
        case "older-version-taken":
            return mock.patch.object(_reading, "apply_delta", _apply_any_delta)
        case "lease-as-flag":
            return mock.patch.object(
                configuration_world,
                "may_take_work",
                lambda state, now_ms: state.lease_announced,
            )
    raise ValueError(f"unknown fault {fault}")


def _reply_with_whole_lease(
    state: SyncState, sent_ms: Millis, reply: PollReply
) -> PeerReply:
    peer_reply = _ORIGINAL_PEER_REPLY(state, sent_ms, reply)
    full_lease_until_ms = sent_ms + state.options.lease_ms
    return peer_reply._replace(
        lease_until_ms=full_lease_until_ms
        if reply.remaining_lease_ms
        else peer_reply.lease_until_ms
    )


def _apply_any_delta(source_state: SourceState, delta: Delta) -> SourceState:
    if delta.version >= source_state.version:
        return _ORIGINAL_APPLY_DELTA(source_state, delta)
    empty = SourceState(type(source_state.view)(0))
    return _ORIGINAL_APPLY_DELTA(empty, dataclasses.replace(delta, after=0))


def run_once(seed: int) -> Scenario:
    """Run one scenario of random moves, ending in an outage of the service."""
    random = Random(seed)
    scenario = Scenario(seed)
    moves = list(scenario.moves.items())
    try:
        for _ in range(MOVES_PER_RUN):
            _, move = random.choice(moves)
            move(random.getrandbits(16))
            if random.random() < 0.5:
                scenario.run(random.randrange(100, 3_000))
        scenario.outage(random.getrandbits(4))
    except ViolationError as violation:
        raise ViolationError(f"seed {seed}: {violation}") from violation
    return scenario


def main(*, seed: int = 1, seconds: float = 30.0, fault: str | None = None) -> int:
    """Run scenarios for the given time, then print the cases reached.

    :param seed: seed of the first scenario; each next one adds one
    :param seconds: time to run for
    :param fault: mechanism to switch off, so that the fuzz must fail
    """
    reached: Counter[str] = Counter()
    end_s = time.monotonic() + seconds
    runs = 0
    with broken(fault):
        while time.monotonic() < end_s:
            scenario = run_once(seed + runs)
            runs += 1
            reached += scenario.reached
            reached["messages"] += scenario.world.messages
            reached["simulated seconds"] += scenario.world.now_ms // 1_000
    print(f"{runs} scenarios, seeds {seed} to {seed + runs - 1}, no violation")
    for case, number in sorted(reached.items()):
        print(f"{number:10} {case}")
    return 0


if __name__ == "__main__":
    raise SystemExit(defopt.run(main))
