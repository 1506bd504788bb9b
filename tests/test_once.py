"""Test at-most-once execution under one failure at a time."""

import unittest
from collections.abc import Callable

from bench.once_mutations import MUTATIONS
from bench.once_world import WORKLOAD, GuaranteeViolatedError, World
from nutmegslip_decisions import once
from nutmegslip_decisions.model import Role, rendezvous_order
from nutmegslip_decisions.once import OutcomeKind

FINISHED, UNKNOWN = OutcomeKind.FINISHED, OutcomeKind.UNKNOWN
NOT_RUN, NOT_SENT = OutcomeKind.NOT_RUN, OutcomeKind.NOT_SENT


class ScenarioTests(unittest.TestCase):
    def setUp(self):
        self.world = World(1)
        self.key = "k"
        self.order = rendezvous_order("k", ("s0", "s1", "s2"))
        self.home = self.order[0]

    def submit_and_wait(
        self, entry: str = "e0", key: str = "k", **options
    ) -> OutcomeKind:
        number = self.world.submit(key, entry, **options)
        self.world.advance(2_100)
        return self.world.requests[number].outcome.kind

    def assert_runs(self, count: int, key: str = "k"):
        self.assertEqual(len(self.world.runs.get(key, ())), count)

    def isolate(self, host: str):
        for other in set(self.world.processes) - {host}:
            self.world.block(host, other)

    def test_a_repeat_gets_the_recorded_answer(self):
        self.assertEqual(
            [self.submit_and_wait(e) for e in ("e0", "e1", "e0")], [FINISHED] * 3
        )
        self.assert_runs(1)
        self.assertEqual(self.world.cases["started on promises of sidecars"], 1)

    def test_another_body_under_the_key_is_refused(self):
        self.submit_and_wait()
        entry = self.world.processes["e1"]
        at_ms = self.world.now_ms + entry.clock_ms
        submit = once.Submitted(at_ms, "r", WORKLOAD, "k", "other", b"", 2**50)
        _, (sent,) = once.reduce_entry(entry.state, submit)
        home = self.world.processes[self.home].state
        now_ms = self.world.now_ms + self.world.processes[self.home].clock_ms
        _, (reply,) = once.reduce_sidecar(home, once.Received(now_ms, sent.message))
        self.assertEqual(reply.message.verdict, once.StartVerdict.CONFLICT)

    def test_a_restarted_home_runs_fresh_keys_only(self):
        self.submit_and_wait()
        self.world.kill(self.home)
        self.world.start(self.home)
        self.assertEqual(self.submit_and_wait("e1"), UNKNOWN)
        fresh = [self.submit_and_wait("e1", f"f{n}") for n in range(9)]
        self.assertEqual(fresh, [FINISHED] * 9)
        self.assert_runs(1)

    def test_a_planned_restart_keeps_the_record(self):
        self.submit_and_wait()
        for host in (self.home, "e0", "e1", "e2", *self.order[1:]):
            self.world.stop(host)
            self.world.advance(100)
            self.assertFalse(self.world.processes[host].alive)
            self.world.start(host)
            self.world.advance(700)
        self.assertEqual(
            [self.submit_and_wait(e) for e in ("e0", "e1")], [FINISHED] * 2
        )
        fresh = [self.submit_and_wait("e1", f"f{n}") for n in range(9)]
        self.assertEqual(fresh, [FINISHED] * 9)
        self.assert_runs(1)

    def test_fresh_keys_run_after_the_loss_of_a_zone(self):
        self.world = World(1, entries=6, sidecars=12)
        lost = {"e0", "e3", "s0", "s3", "s6", "s9"}
        for host in lost:
            for other in set(self.world.processes) - lost:
                self.world.block(host, other)
        fresh = [self.submit_and_wait("e1", f"f{n}") for n in range(40)]
        self.assertEqual(fresh, [FINISHED] * 40)

    def test_a_new_site_takes_work_from_the_start(self):
        self.world = World(1, warm_up_ms=10, first_start=True)
        self.assertEqual(
            [self.submit_and_wait(e) for e in ("e0", "e1")], [FINISHED] * 2
        )
        self.assert_runs(1)

    def test_fresh_keys_run_after_the_home_is_replaced(self):
        self.submit_and_wait()
        self.world.kill(self.home)
        listed = {h: r for h, r in self.world.listed.items() if h != self.home}
        self.world.publish(listed | {"s9": Role.SIDECAR})
        self.world.start("s9")
        self.world.advance(3_000)
        self.assertEqual(self.submit_and_wait("e1"), UNKNOWN)
        fresh = [self.submit_and_wait("e1", f"f{n}") for n in range(9)]
        self.assertEqual(fresh, [FINISHED] * 9)
        self.assert_runs(1)

    def test_a_zone_marked_out_and_back_in_keeps_the_record(self):
        self.submit_and_wait()
        home = self.world.processes[self.home]
        home.out = True
        self.world.advance(1_000)
        out = frozenset({self.home})
        self.assertEqual(self.submit_and_wait("e1", avoid=out), FINISHED)
        fresh = [self.submit_and_wait("e1", f"f{n}", avoid=out) for n in range(9)]
        home.out = False
        self.world.advance(1_000)
        back = [self.submit_and_wait("e2", f"f{n}") for n in range(9)]
        self.assertEqual(fresh + back, [FINISHED] * 18)
        self.assert_runs(1)

    def test_refused_connections_try_every_sidecar_then_report_not_run(self):
        self.world.not_sent_rate = 1.0
        self.assertEqual(self.submit_and_wait(), NOT_RUN)
        self.world.not_sent_rate = 0.0
        self.assertEqual([self.submit_and_wait(e) for e in ("e0", "e1")], [NOT_RUN] * 2)
        self.assert_runs(0)

    def test_a_late_copy_does_not_start_a_key_reported_as_not_run(self):
        self.world.not_sent_rate = 1.0
        entry, home = (self.world.processes[h] for h in ("e0", self.home))
        submit = once.Submitted(
            self.world.now_ms + entry.clock_ms, "r", WORKLOAD, "k", "", b"", 2**50
        )
        _, (copy,) = once.reduce_entry(entry.state, submit)
        self.assertEqual(self.submit_and_wait(), NOT_RUN)
        self.world.not_sent_rate = 0.0
        now_ms = self.world.now_ms + home.clock_ms
        _, effects = once.reduce_sidecar(
            home.state, once.Received(now_ms, copy.message)
        )
        self.assertEqual([e for e in effects if isinstance(e, once.StartUpstream)], [])

    def test_fresh_keys_run_while_the_home_is_unreachable(self):
        self.isolate(self.home)
        self.assertEqual(
            [self.submit_and_wait(e) for e in ("e0", "e1")], [FINISHED] * 2
        )
        self.assert_runs(1)

    def test_losing_the_entry_and_restarting_the_home_gives_unknown(self):
        self.submit_and_wait("e0")
        self.world.kill("e0")
        self.world.kill(self.home)
        self.world.start(self.home)
        # The home's memory can still be claimed until the claim window ends.
        self.world.advance(self.world.options.claim_ms)
        number = self.world.submit("k", "e1")
        self.world.advance(1_000)
        self.assertEqual(self.world.requests[number].outcome.kind, UNKNOWN)
        self.assert_runs(1)

    def test_concurrent_requests_start_one_run(self):
        numbers = [self.world.submit("k", entry) for entry in ("e0", "e1", "e2")]
        self.world.advance(2_100)
        answers = {self.world.requests[n].outcome.answer for n in numbers}
        self.assertEqual(len(answers), 1)
        self.assert_runs(1)

    def test_nothing_runs_without_a_reachable_sidecar(self):
        for host in self.order:
            self.world.kill(host)
            self.isolate(host)
        self.world.advance(100)
        self.assertIn(self.submit_and_wait(), (NOT_SENT, UNKNOWN))
        self.assert_runs(0)

    def new_entry_reaches_a_cut_off_home(self):
        self.isolate(self.home)
        self.submit_and_wait("e0")
        self.world.publish(self.world.listed | {"e9": Role.ENTRY})
        self.world.start("e9")
        self.world.advance(1_500)
        self.submit_and_wait("e9")

    def sidecar_without_lease_considers_itself_home(self):
        self.world.processes[self.home].cut_off = True
        new = next(
            f"s{n}"
            for n in range(9, 99)
            if rendezvous_order("k", (f"s{n}", self.home))[0] != self.home
        )
        self.world.publish(self.world.listed | {new: Role.SIDECAR})
        self.world.start(new)
        self.world.advance(self.world.options.memory_ms + 3_000)
        self.submit_and_wait("e0")
        self.isolate(new)
        self.submit_and_wait("e1")

    def cut(self, *pairs: tuple[str, str]):
        for one, other in pairs:
            self.world.block(one, other)

    def start_on_attestations(self):
        first, second, third = self.order
        self.cut((first, second), (first, third))
        self.submit_and_wait("e0")
        self.world.heal()
        self.isolate(first)

    def partition_moves_to_the_starter(self):
        self.start_on_attestations()
        self.submit_and_wait("e1")

    def new_entry_after_a_start_on_attestations(self):
        self.start_on_attestations()
        self.world.publish(self.world.listed | {"e9": Role.ENTRY})
        self.world.start("e9")
        self.isolate(self.home)
        self.world.advance(1_500)
        self.submit_and_wait("e9")

    def two_witnesses_and_the_log_are_lost(self):
        first, second, third = self.order
        self.cut((first, third))
        self.submit_and_wait("e1")
        self.isolate(first)
        for host in ("e1", second):
            self.world.kill(host)
            self.world.start(host)
        self.world.advance(1_500)
        self.submit_and_wait("e0", avoid=frozenset({first}))

    def restarted_starter_promises(self):
        first, second, third = self.order
        self.cut((first, third))
        self.submit_and_wait("e0")
        self.world.heal()
        self.world.kill(first)
        self.world.start(first)
        self.world.advance(1_500)
        self.submit_and_wait("e1", avoid=frozenset({first, second}))

    def first_starts_with_the_promise_of_the_second(self):
        first, _, third = self.order
        self.cut((first, third))
        self.world.submit("k", "e0")
        self.world.advance(50)
        self.world.heal()
        self.isolate(first)

    def planned_restart(self, host: str):
        self.world.stop(host)
        self.world.advance(100)
        self.world.start(host)
        self.world.advance(60)

    def witness_has_a_planned_restart(self):
        first, second, _ = self.order
        self.first_starts_with_the_promise_of_the_second()
        self.planned_restart(second)
        self.submit_and_wait("e1", avoid=frozenset({first}))

    def witness_crashes_after_a_planned_restart(self):
        first, second, _ = self.order
        self.planned_restart(second)
        self.first_starts_with_the_promise_of_the_second()
        self.world.kill(second)
        self.world.start(second)
        self.world.advance(60)
        self.submit_and_wait("e1", avoid=frozenset({first}))

    def whole_committee_is_replaced(self, cut_off: bool):
        """Replace every sidecar of the list but the third."""
        first, second, third = self.order
        new = {"s8": Role.SIDECAR, "s9": Role.SIDECAR}
        for host in new:
            self.world.listed[host] = Role.SIDECAR
            self.world.start(host)
        entries = {f"e{n}": Role.ENTRY for n in range(3)}
        for host in (first, second, third):
            self.world.processes[host].cut_off = cut_off
        if cut_off:
            self.world.publish(entries | new | {third: Role.SIDECAR})
        self.world.advance(self.world.options.memory_ms + 3_000)
        self.isolate(third)
        self.submit_and_wait("e0")
        self.world.heal()
        if cut_off:
            self.isolate("s8")
            self.isolate("s9")
        else:
            self.world.publish(entries | new | {third: Role.SIDECAR})
            self.isolate(first)
            self.isolate(second)
        self.world.advance(2_000)
        self.submit_and_wait("e1")

    def lists_change_after_the_start(self):
        self.whole_committee_is_replaced(cut_off=False)

    def sidecars_without_lease_form_a_committee(self):
        self.whole_committee_is_replaced(cut_off=True)

    def home_restarts(self):
        self.submit_and_wait("e0")
        self.world.kill(self.home)
        self.world.start(self.home)
        self.submit_and_wait("e1")

    def home_is_replaced_while_lists_differ(self):
        others = {h: r for h, r in self.world.listed.items() if h != self.home}
        self.world.processes["e1"].cut_off = True
        self.world.publish(others)
        self.world.advance(2_000)
        self.submit_and_wait("e0")
        self.submit_and_wait("e1")

    def test_hard_cases_run_once(self):
        for case in HARD_CASES:
            with self.subTest(case.__name__):
                self.setUp()
                case(self)
                self.assert_runs(1)

    def test_starting_every_key_without_a_record_runs_twice(self):
        for case in (
            ScenarioTests.home_restarts,
            ScenarioTests.home_is_replaced_while_lists_differ,
        ):
            with self.subTest(case.__name__), MUTATIONS[0].applied():
                self.setUp()
                self.assertRaises(GuaranteeViolatedError, case, self)


HARD_CASES: tuple[Callable[[ScenarioTests], None], ...] = (
    ScenarioTests.new_entry_reaches_a_cut_off_home,
    ScenarioTests.sidecar_without_lease_considers_itself_home,
    ScenarioTests.partition_moves_to_the_starter,
    ScenarioTests.new_entry_after_a_start_on_attestations,
    ScenarioTests.two_witnesses_and_the_log_are_lost,
    ScenarioTests.restarted_starter_promises,
    ScenarioTests.witness_has_a_planned_restart,
    ScenarioTests.witness_crashes_after_a_planned_restart,
    ScenarioTests.lists_change_after_the_start,
    ScenarioTests.sidecars_without_lease_form_a_committee,
    ScenarioTests.home_restarts,
    ScenarioTests.home_is_replaced_while_lists_differ,
)
