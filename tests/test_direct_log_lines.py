"""Test that each decision is logged with its request and its inputs."""

import unittest
from functools import partial
from types import SimpleNamespace

from nutmegslip_platform._ranks import HttpRankClient

from fakes.runners import Fault, Runner
from nutmegslip_decisions import direct
from nutmegslip_decisions.direct import (
    AttemptFailed,
    Broken,
    CallerRequest,
    Declined,
    Errored,
    GroupRank,
    HedgeDue,
    NotSent,
    Options,
    PaceMeasured,
    RequestArrived,
    RequestEnded,
    ResponseStarted,
    StoreLost,
    Tick,
    UpstreamPublished,
)
from nutmegslip_entry.direct import Metrics, Pool, StateMachine, log_lines
from nutmegslip_runtime.clock import boottime_ms
from nutmegslip_runtime.eventlog import event_named
from tests.direct_world import HOST, KEY, World, upstream


class LogLinesTests(unittest.TestCase):
    def setUp(self):
        self.world = World(upstream("u1"))

    def _lines(self, event):
        before = self.world.state
        self.world.state, effects = direct.reduce(before, event)
        lines = list(log_lines(event, before, self.world.state, effects))
        for line in lines:
            kind = event_named(line.name)
            self.assertEqual(set(line.fields) - set(kind.fields), set())
        return [(line.name, line.request) for line in lines]

    def _arrive(self, ticket, path="/pushes/1"):
        caller_request = CallerRequest(ticket, f"r{ticket}", HOST, path, KEY, None)
        return self._lines(RequestArrived(self.world.now_ms, caller_request))

    def test_log_lines_carry_the_request_id(self):
        now_ms = self.world.now_ms
        self.assertEqual(self._arrive(1), [("request-sent", "r1")])
        failed = self._lines(AttemptFailed(now_ms + 5, 1, Broken()))
        self.assertEqual(
            failed, [("direct-attempt-failed", "r1"), ("request-refused", "r1")]
        )

    def test_refusal_on_arrival_carries_the_request_id(self):
        self.assertEqual(self._arrive(1, "/none/"), [("request-refused", "r1")])

    def test_request_ends_and_state_changes_are_logged(self):
        self._arrive(1)
        now_ms = self.world.now_ms
        cases = (
            (RequestEnded(now_ms, 1, answered=True), [("request-served", "r1")]),
            (RequestEnded(now_ms, 1, answered=True), []),
            (StoreLost(now_ms), [("store-lost", "")]),
            (UpstreamPublished(now_ms, upstream("u2")), [("upstream-changed", "")]),
        )
        for event, lines in cases:
            with self.subTest(event=type(event).__name__):
                self.assertEqual(self._lines(event), lines)

    def test_group_suspicion_start_and_end_are_logged(self):
        rank = GroupRank("g", 4, 0, True, 1)
        world = self.world = World(upstream("m1", "model", rank=rank))
        self._arrive(1, "/verses/1")
        failed = AttemptFailed(world.now_ms, 1, Declined(at_fault="m1"))
        self.assertIn(("group-doubted", ""), self._lines(failed))
        world.now_ms += 600
        self._arrive(2, "/verses/1")
        # The first one waits for a rank that it has not tried.
        probed = self._lines(Tick(world.now_ms))
        self.assertEqual(probed, [("request-sent", "r2")])
        begun = self._lines(ResponseStarted(world.now_ms, 2))
        self.assertEqual(begun, [("group-trusted", "")])

    def test_slot_changes_of_a_tenth_are_logged(self):
        world = self.world = World(upstream("m1", "model", slots=20))
        found = [
            line
            for gap_ms in (100.0, 105.0, 105.0, 91.0, 40.0)
            for line in self._lines(PaceMeasured(world.now_ms, "model", "", gap_ms))
        ]
        names = [name for name, _ in found]
        self.assertEqual(names, ["slots-closed", "slots-closed", "slots-opened"])

    def test_failure_reason_is_logged(self):
        cases = (
            (NotSent("refused"), "refused"),
            (Broken("the connection was closed"), "the connection was closed"),
            (Declined(at_fault="u9"), "u9 is at fault"),
            (Declined(), "the upstream is full"),
            (Errored(), "the upstream ran the request and failed"),
        )
        for number, (failure, reason) in enumerate(cases, 1):
            with self.subTest(failure=failure):
                self._arrive(number)
                event = AttemptFailed(self.world.now_ms, number, failure)
                self.assertEqual(self._fields(event)["reason"], reason)
        lost = self._fields(StoreLost(self.world.now_ms, "it answered 503"))
        self.assertEqual(lost, {"reason": "it answered 503"})

    def test_a_retry_and_a_refusal_show_the_retry_budget(self):
        options = Options("entry-1", budget_ratio=0.0, budget_slack=1.0)
        self.world = World(upstream("u1"), upstream("u2"), options=options)
        found = {}
        for ticket in (1, 2):
            self._arrive(ticket, "/lookups/1")
            event = AttemptFailed(self.world.now_ms, ticket, Broken())
            before = self.world.state
            self.world.state, effects = direct.reduce(before, event)
            for line in log_lines(event, before, self.world.state, effects):
                found[ticket, line.name] = line.fields
        budget = {"service": "board", "retries": 1, "allowed": 1.0}
        self.assertEqual(
            found[1, "request-retried"], budget | {"waiting": 0, "entries": 1}
        )
        self.assertNotIn((2, "request-retried"), found)
        self.assertTrue(found[2, "request-refused"]["retries_spent"])

    def test_a_hedge_its_outcome_and_a_withheld_one_are_logged(self):
        options = Options("e", budget_slack=100.0, hedge_max_share=0.4)
        upstreams = (upstream(name, slots=9) for name in ("u1", "u2"))
        self.world = World(*upstreams, options=options)
        self._arrive(1)
        self._arrive(2, "/lookups/1")
        now_ms = self.world.now_ms
        self.assertEqual(self._lines(HedgeDue(now_ms + 10, 2)), [])
        withheld = self._lines(HedgeDue(now_ms + 300, 2))
        self.assertEqual(withheld, [("hedge-withheld", "r2")])
        self._arrive(3)
        sent = self._lines(HedgeDue(now_ms + 600, 2))
        self.assertEqual(sent, [("hedge-sent", "r2")])
        second = self.world.state.requests[2].hedge.upstream
        metrics = Metrics()
        metrics.update_gauges(self.world.state, 0, now_ms)
        read = partial(metrics.registry.get_sample_value, labels={"service": "board"})
        self.assertEqual(read("nutmegslip_hedges"), 1)
        self.assertEqual(read("nutmegslip_hedges_allowed"), 0.4 * 3)
        won = self._lines(ResponseStarted(now_ms + 700, 2, second))
        self.assertEqual(won, [("hedge-won", "r2"), ("attempt-cancelled", "r2")])

    def test_metrics_show_the_retry_budget(self):
        world = self.world = World(upstream("u1"), upstream("u2"))
        self._arrive(1, "/lookups/1")
        self._lines(AttemptFailed(world.now_ms, 1, Broken()))
        metrics = Metrics()
        metrics.update_gauges(world.state, 0, world.now_ms)
        read = partial(metrics.registry.get_sample_value, labels={"service": "board"})
        self.assertEqual(read("nutmegslip_retries"), 1)
        self.assertAlmostEqual(read("nutmegslip_retries_allowed"), 100.09)

    def _fields(self, event):
        before = self.world.state
        self.world.state, effects = direct.reduce(before, event)
        return next(log_lines(event, before, self.world.state, effects)).fields


class HttpRankClientTests(unittest.TestCase):
    def test_each_unusable_answer_is_logged(self):
        lines = []
        log = SimpleNamespace(emit=lambda name, **fields: lines.append((name, fields)))
        answers = {
            Fault.SHED: "it answered 503",
            Fault.RUBBISH: "no HTTP",
            Fault.NONE: "cannot be read",
        }
        machine = StateMachine(Options("e1"), boottime_ms, log, Metrics())
        runner = Runner("m1")
        host, _, port = runner.address.rpartition(":")
        rank = upstream("m1", host=host, port=int(port))
        client = HttpRankClient(
            Pool(boottime_ms, lambda _: 8), boottime_ms, log, machine.record_answer
        )
        for fault, reason in answers.items():
            with self.subTest(fault=fault):
                runner.fault = fault
                self.assertIsNone(client.report(rank))
                name, fields = lines.pop()
                self.assertEqual(
                    (name, fields["call"]), ("rank-call-failed", "/report")
                )
                self.assertIn(reason, fields["reason"])
        runner.close()
        unreachable_client = HttpRankClient(
            Pool(boottime_ms, lambda _: 8), boottime_ms, log, machine.record_answer
        )
        self.assertIsNone(unreachable_client.counts(rank))
        self.assertIn("refused", lines.pop()[1]["reason"])


if __name__ == "__main__":
    unittest.main()
