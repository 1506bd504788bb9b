"""Fuzz at-most-once execution, and check that each mutation is detected."""

import unittest
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from bench.once_chaos import Chaos
from bench.once_mutations import MUTATIONS
from bench.once_world import GuaranteeViolatedError
from nutmegslip_decisions.model import Role
from tests import test_once

STEPS = 120
COVERAGE_SEEDS = range(1, 61)

MUST_REACH = (
    "a frozen process resumes with messages queued",
    "answered finished",
    "answered not_run",
    "answered not_sent",
    "answered unknown",
    "attested with holders",
    "late copy past its deadline",
    "memory claimed",
    "request at a sidecar without lease",
    "request for an earlier incarnation",
    "request finds CutOff",
    "request finds Finished",
    "request finds Killed",
    "request finds Started",
    "request finds Tombstone",
    "retry through another entry after a restart",
    "started for an entry that is no guard",
    "stopped gracefully",
    "started on promises of sidecars",
    "started on attestations of entries",
    "tombstone reply pending",
    "tombstone reply started",
    "two sidecars asked at once",
)


class FuzzTests(unittest.TestCase):
    def test_fixed_seeds_reach_every_case(self):
        cases: Counter[str] = Counter()
        for seed in COVERAGE_SEEDS:
            cases += Chaos(seed).run(STEPS).cases
        self.assertEqual([case for case in MUST_REACH if not cases[case]], [])

    def test_every_mutation_is_detected(self):
        for mutation in MUTATIONS:
            with self.subTest(mutation.name), mutation.applied():
                self.assertRaises(GuaranteeViolatedError, run_hard_cases)


def run_hard_cases():
    for case in test_once.HARD_CASES:
        test = test_once.ScenarioTests()
        test.setUp()
        case(test)


class OnceMachine(RuleBasedStateMachine):
    """A state machine whose steps hypothesis chooses, so that a failure shrinks."""

    def __init__(self):
        super().__init__()
        self.chaos = Chaos(1)
        self.world = self.chaos.world

    def host(self, index: int, role: Role | None = None) -> str:
        hosts = [
            p.host for p in self.world.processes.values() if role in (None, p.role)
        ]
        return hosts[index % len(hosts)]

    @rule(key=st.integers(0, 3), entry=st.integers(0, 2), wait=st.integers(0, 30))
    def submit(self, key: int, entry: int, wait: int):
        self.world.submit(f"k{key}", self.host(entry, Role.ENTRY))
        self.world.advance(wait)

    @rule(duration=st.sampled_from((1, 60, 900, 30_000)))
    def wait(self, duration: int):
        self.world.advance(duration)

    @rule(index=st.integers(0, 8))
    def restart(self, index: int):
        self.world.kill(self.host(index))
        self.world.start(self.host(index))

    @rule(index=st.integers(0, 8))
    def freeze(self, index: int):
        self.world.freeze(self.host(index))

    @rule(one=st.integers(0, 8), other=st.integers(0, 8), silent=st.booleans())
    def cut(self, one: int, other: int, silent: bool):
        self.world.silent = silent
        self.world.block(self.host(one), self.host(other))

    @rule(index=st.integers(0, 8))
    def cut_from_config(self, index: int):
        self.world.processes[self.host(index)].cut_off = True

    @rule(index=st.integers(0, 2))
    def mark(self, index: int):
        process = self.world.processes[self.host(index, Role.SIDECAR)]
        process.out = not process.out

    @rule(loss=st.sampled_from((0, 0.3)), spike=st.sampled_from((0, 30, 2_500)))
    def bad_network(self, loss: float, spike: int):
        self.world.loss_rate, self.world.repeat_rate, self.world.spike_ms = (
            loss,
            loss,
            spike,
        )

    @rule(
        name=st.sampled_from(
            (
                "resume",
                "clear_network_faults",
                "replace_host",
                "unlist",
                "relist_hosts",
                "reconnect_config",
            )
        )
    )
    def edit(self, name: str):
        getattr(self.chaos, name)()

    @rule(refused=st.sampled_from((0, 0.3)), cut=st.sampled_from((0, 0.3)))
    def upstream_faults(self, refused: float, cut: float):
        self.world.not_sent_rate, self.world.cut_off_rate = refused, cut

    def teardown(self):
        self.chaos.settle()


class OnceMachineTests(OnceMachine.TestCase):
    settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
