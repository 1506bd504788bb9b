"""Test that a group uses one expert map in every step under faults."""

import contextlib
import random
import unittest
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import replace
from types import ModuleType
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from bench.experts_fuzz import (
    ACTIONS,
    FAULT_MESSAGES,
    act,
    fault_at_message,
    fuzz_one,
    recover,
)
from bench.experts_group import Group, Sidecar
from nutmegslip_decisions.experts import agreement as ag
from nutmegslip_decisions.experts.agreement import (
    _change,
    _coordinator,
    _member,
    _reduce,
    _round,
    _state,
)

SEEDED_RUNS = 250
REQUIRED_CASES = (
    "coordinator killed at MapQuery",
    "coordinator frozen at MapPrepare",
    "coordinator killed at MapPrepare",
    "coordinator frozen at MapCommit",
    "coordinator killed at MapCommit",
    "rank killed at MapPromise",
    "rank restarted after its promise",
    "two coordinators",
    "successor while frozen",
    "held outcome-unknown",
    "host replaced",
    "link cut",
)


def enter_without_outcome(reason: Callable) -> Callable:
    return lambda state, step, entry: reason(state._replace(pending=None), step, entry)


def take_over_without_other_answers(on_answer: Callable) -> Callable:
    def mutant(state, leadership, answer):
        if answer.rank != state.rank:
            answer = replace(answer, schedule=(), maps=())
        return on_answer(state, leadership, answer)

    return mutant


def commit_without_all_promises(on_promise: Callable) -> Callable:
    def mutant(state, leadership, change, reply):
        everyone_else = frozenset(range(state.size)) - {reply.rank}
        return on_promise(
            state, leadership, replace(change, promises=everyone_else), reply
        )

    return mutant


def start_without_all_accepting(on_accept: Callable) -> Callable:
    def mutant(state, leadership, accept):
        everyone = frozenset(range(state.size))
        return on_accept(state, replace(leadership, accepted=everyone), accept)

    return mutant


def accept_lower_ballots(on_request: Callable) -> Callable:
    return lambda state, request: on_request(
        state._replace(promised=min(state.promised, request.ballot)), request
    )


def answer_without_confirmation(await_engine: Callable) -> Callable:
    def mutant(state, request):
        state, (confirm,) = await_engine(state, request)
        return _member.confirm(state, confirm.token)

    return mutant


def keep_incarnation(member: property) -> property:
    return property(lambda state: f"r{state.rank}")


Patch = tuple[ModuleType, str, Callable[[Callable], Callable]]
#: Mutations, each with a seed of ``fuzz_one`` that detects it.
MUTATIONS: tuple[tuple[int, Patch], ...] = (
    (40, (_member, "_hold_reason", enter_without_outcome)),
    (5, (_round, "on_answer", take_over_without_other_answers)),
    (2, (_change, "on_promise", commit_without_all_promises)),
    (5, (_round, "on_accept", start_without_all_accepting)),
    (278, (_member, "on_request", accept_lower_ballots)),
    (2, (_state.State, "member", keep_incarnation)),
)


def replace_frozen_coordinator(engine_lost_ms: int) -> Group:
    """Freeze a coordinator that lacks only promises; resume it under a successor."""
    group = Group(3, seed=1)
    group.engine_lost_ms = (engine_lost_ms, engine_lost_ms)
    group.run(1000)
    group.propose(1)
    group.run(1500)
    old = group.coordinator()

    def freeze_before_promises(sidecar: Sidecar, message: object) -> None:
        if type(message).__name__ == "MapPromise":
            group.freeze(old)

    group.on_send = freeze_before_promises
    group.propose(2)
    group.run(500)
    group.on_send = None
    group.start_sidecar(old.rank)
    group.run(1500)
    group.resume(old)
    group.run(5000)
    group.kill(old)
    recover(group)
    return group


@contextlib.contextmanager
def mutated(patch: Patch) -> Iterator[None]:
    module, name, mutation = patch
    mutant = mutation(getattr(module, name))
    with contextlib.ExitStack() as stack:
        for user in {module, _reduce, _coordinator}:
            if hasattr(user, name):
                stack.enter_context(mock.patch.object(user, name, mutant))
        yield


class Machine(RuleBasedStateMachine):
    """Let hypothesis choose the faults and shrink what fails."""

    @initialize(size=st.integers(2, 4), lead_steps=st.sampled_from((1, 3, 8)))
    def start(self, size: int, lead_steps: int) -> None:
        options = ag.AgreementOptions(lead_steps=lead_steps)
        self.group = Group(size, seed=size, options=options)
        self.group.run(1000)
        self.group.propose(0)

    @rule(action=st.sampled_from(ACTIONS), seed=st.integers(0, 2**32))
    def act(self, action: str, seed: int) -> None:
        act(self.group, random.Random(seed), action)

    @rule(message=st.sampled_from(FAULT_MESSAGES), seed=st.integers(0, 2**32))
    def fault_at(self, message: str, seed: int) -> None:
        self.group.proposals += 1
        self.group.propose(self.group.proposals)
        fault_at_message(self.group, random.Random(seed), message)

    def teardown(self) -> None:
        recover(self.group)


class FaultFreeTests(unittest.TestCase):
    def test_a_group_changes_its_map_without_holding_a_step(self):
        group = Group(8, seed=1)
        group.run(1000)
        group.propose(1)
        group.run(1000)
        held = group.cases["held outcome-unknown"]
        group.propose(2)
        group.run(2000)
        self.assertEqual(len(group.digests), 2)
        self.assertEqual(group.cases["held outcome-unknown"], held)


class FuzzTests(unittest.TestCase):
    def test_faults_never_mix_maps_and_the_group_recovers(self):
        budget = settings(max_examples=110, stateful_step_count=14, deadline=None)
        run_state_machine_as_test(Machine, settings=budget)

    def test_seeded_faults_reach_every_required_case(self):
        """Hypothesis draws constants of all loaded modules, so its cases vary."""
        cases = sum((fuzz_one(seed) for seed in range(1, SEEDED_RUNS + 1)), Counter())
        self.assertEqual([case for case in REQUIRED_CASES if not cases[case]], [])

    def test_the_fuzz_finds_each_mutation(self):
        for seed, patch in MUTATIONS:
            name = patch[2].__name__
            found = self.assertRaises(AssertionError)
            with self.subTest(name), mutated(patch), found:
                fuzz_one(seed)


class SuccessionTests(unittest.TestCase):
    def test_a_resumed_coordinator_cannot_spread_its_own_commit(self):
        for engine_lost_ms in (1, 4000):
            replace_frozen_coordinator(engine_lost_ms)

    def test_it_could_without_confirmation_by_its_engine(self):
        patch = (_member, "_await_engine", answer_without_confirmation)
        two_maps = self.assertRaisesRegex(AssertionError, "ran on two maps")
        with mutated(patch), two_maps:
            replace_frozen_coordinator(4000)


class HostileMessageTests(unittest.TestCase):
    def test_a_rank_outside_the_group_is_ignored(self):
        state = ag.initial_state(0, 2, "i", ag.AgreementOptions(), 0)
        pulse = ag.MESSAGES[0](7, "x", ag.Ballot(9, 7, "x"), None, 3)
        after, effects = ag.reduce(state, ag.PeerMessage(0, pulse))
        self.assertEqual((after, effects), (state, ()))
