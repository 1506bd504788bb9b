"""Test that the retries of all entries together stay within a service's budget."""

import unittest
from random import Random

import cbor2
from immutables import Map

from nutmegslip_decisions.direct import (
    AttemptFailed,
    Broken,
    Declined,
    EndedProcess,
    GroupRank,
    Options,
    PeerReported,
    Process,
    Refuse,
    RequestEnded,
    Send,
    SpendingReport,
    Tick,
    retry_budget,
    spending_report,
)
from nutmegslip_decisions.direct._spending import MAX_REPORTED_ENDS
from nutmegslip_entry.direct._reports import (
    Report,
    ReportError,
    decode_report,
    encode_report,
)
from tests.direct_world import World, upstream
from tests.retry_budget_world import Fleet, Load

SEEDS = (1, 2, 3)
KILLED = tuple((8_000, number) for number in range(4))
ALL_KILLED = tuple((8_000, number) for number in range(6))
ROLLED = tuple((4_000 + 1_000 * number, number) for number in range(6))
CRASH_LOOP = tuple((4_000 + 1_500 * turn, 0) for turn in range(8))
CUT = ((0, 24_000, 0), (0, 24_000, 1))


class RetryBudgetTests(unittest.TestCase):
    """More retries reach a service than its budget, although each entry has a share."""

    def _check(self, load):
        fleets = {seed: Fleet(seed, load) for seed in SEEDS}
        for fleet in fleets.values():
            fleet.run()
            self.assertGreater(len(fleet.retries_ms), 100)
        excess = {seed: fleet.excess() for seed, fleet in fleets.items()}
        self.assertEqual({seed: e for seed, e in excess.items() if e > 0}, {})

    def test_lost_answers(self):
        self._check(Load())

    def test_lost_answers_while_entries_are_killed(self):
        self._check(Load(restarts=KILLED))

    def test_lost_answers_while_all_entries_are_killed(self):
        self._check(Load(restarts=ALL_KILLED))

    def test_lost_answers_while_entries_restart_in_turn(self):
        self._check(Load(restarts=ROLLED))

    def test_lost_answers_while_one_entry_crashes_again_and_again(self):
        self._check(Load(restarts=CRASH_LOOP))

    def test_lost_answers_while_entries_are_cut_off(self):
        self._check(Load(cuts=CUT))

    def test_requests_before_the_window_earn_no_retry(self):
        options = Options("entry-1", budget_ratio=0.2, budget_slack=0.0)
        world = World(*(upstream(f"u{n}", slots=99) for n in (1, 2)), options=options)
        world.now_ms += 500 - world.now_ms % 500  # the start of a bucket
        for _ in range(20):
            world.arrive()
        world.now_ms += options.budget_window_ms + 400
        (sent,) = world.arrive()
        failed = AttemptFailed(world.now_ms, sent.request.ticket, Broken())
        (effect,) = world.take(failed)
        self.assertNotIsInstance(effect, Send)

    def test_retries_that_wait_for_a_slot(self):
        # One group fails as a whole while every slot of the other one is taken.
        options = Options("entry-1", budget_ratio=0.0, budget_slack=3.0)
        ranks = [GroupRank(f"g{n}", 1, 0, is_open=True, size=1) for n in (1, 2)]
        world = World(
            *(upstream(r.group, "model", slots=10, rank=r) for r in ranks),
            options=options,
        )
        sent = [world.arrive("/verses/1")[0] for _ in range(20)]
        lost = [effect.request.ticket for effect in sent if effect.upstream.id == "g1"]
        refused = []
        for ticket in lost:
            failure = Declined(at_fault="g1")
            failed = AttemptFailed(world.now_ms, ticket, failure, streaming=True)
            refused += world.take(failed)
        self.assertEqual([type(effect) for effect in refused], [Refuse] * 7)
        retried = [
            effect
            for held in sent
            if held.upstream.id == "g2"
            for effect in world.take(
                RequestEnded(world.now_ms, held.request.ticket, answered=True)
            )
        ]
        self.assertEqual([type(effect) for effect in retried], [Send] * 3)

    def test_retries_whose_budget_ends_while_they_wait(self):
        options = Options("entry-1", budget_ratio=0.5, budget_window_ms=2_000)
        names = ("m1", "m2")
        world = World(*(upstream(n, "model", slots=10) for n in names), options=options)
        sent = [world.arrive("/verses/1")[0] for _ in range(20)]
        world.now_ms += 1_500
        lost = [effect.request.ticket for effect in sent if effect.upstream.id == "m1"]
        for ticket in lost[:6]:
            failed = AttemptFailed(world.now_ms, ticket, Broken(), streaming=True)
            self.assertEqual(world.take(failed), ())
        world.now_ms += 1_000
        effects = world.take(Tick(world.now_ms))
        self.assertEqual([type(effect) for effect in effects], [Refuse] * 6)


class SharingTests(unittest.TestCase):
    """An entry that is cut off still shares the limits, but takes no requests."""

    def test_a_silent_entry_shares_the_limits_for_a_minute(self):
        world = World(options=Options("e1", "10.0.0.1"))
        world.take(PeerReported(world.now_ms, "10.0.0.2", Map()))
        for after_ms, sharing, serving in (
            (9_000, 2, 2),
            (11_000, 2, 1),
            (59_000, 2, 1),
            (61_000, 1, 1),
        ):
            with self.subTest(after_ms=after_ms):
                world.take(Tick(1_000_000 + after_ms))
                counts = world.state.sharing_count(), world.state.serving_count()
                self.assertEqual(counts, (sharing, serving))


class RestartTests(unittest.TestCase):
    """A new process retries as soon as it knows what earlier ones have spent."""

    def _retries_of_restarted(self, restarted):
        load = Load(
            fail_from_ms=8_000, restarts=tuple((6_000, number) for number in restarted)
        )
        fleet = Fleet(1, load)
        while fleet.now_ms < fleet.begin_ms + 12_000:
            fleet.step()
        return retry_budget(fleet.entries[0].state, "model", fleet.now_ms).retries

    def test_one_restarted_entry_retries_at_once(self):
        self.assertGreater(self._retries_of_restarted((0,)), 5)

    def test_no_entry_retries_after_a_restart_of_all(self):
        self.assertEqual(self._retries_of_restarted(range(6)), 0)

    def test_a_restart_of_all_in_turn_forgets_nothing(self):
        load = Load(
            fail_from_ms=13_000,
            restarts=tuple((2_000 + 1_900 * n, n) for n in range(6)),
        )
        fleet = Fleet(1, load)
        while fleet.now_ms < fleet.begin_ms + 15_000:
            fleet.step()
        last = fleet.entries[-1].state  # all others restarted in the window before
        self.assertGreater(retry_budget(last, "model", fleet.now_ms).retries, 1)

    def test_restarts_at_any_time_grant_nothing(self):
        for seed in range(1, 9):
            rng = Random(seed)
            restarts = ((rng.randrange(200) * 100, rng.randrange(6)) for _ in range(12))
            with self.subTest(seed=seed):
                fleet = Fleet(seed, Load(restarts=tuple(restarts)))
                fleet.run()
                self.assertLessEqual(fleet.excess(), 0)

    def test_which_reports_allow_retries(self):
        start_ms = 1_000_000
        cases = (
            ("a peer with complete records", 600, True, True),
            ("too early for the peer to have a report of it", 400, True, False),
            ("a peer without", 600, False, False),
            ("nobody, for the whole window", 10_600, False, True),
        )
        for name, after_ms, complete, known in cases:
            with self.subTest(name):
                world = World(options=Options("e1", "10.0.0.1", budget_slack=9.0))
                process = Process(1, start_ms, is_first=False)
                world.state = world.state._replace(process=process)
                now_ms = start_ms + after_ms
                spending = SpendingReport(7, complete)
                report = PeerReported(now_ms, "10.0.0.2", Map(), spending=spending)
                world.take(report)
                budget = retry_budget(world.state, "model", now_ms)
                self.assertEqual(budget.allowed > 0, known)

    def test_records_are_complete_after_two_seconds_of_complete_reports(self):
        world = World(options=Options("e1", "10.0.0.1"))
        process = Process(1, world.now_ms, is_first=False)
        world.state = world.state._replace(process=process)
        complete = []
        for _ in range(6):
            world.now_ms += 500
            spending = SpendingReport(7, is_complete=True)
            world.take(PeerReported(world.now_ms, "10.0.0.2", Map(), spending=spending))
            complete.append(spending_report(world.state, world.now_ms).is_complete)
        self.assertEqual(complete, [False] * 4 + [True] * 2)

    def test_records_expire_although_entries_repeat_them_to_each_other(self):
        # Reports carry ages, so a delay makes the records in them look newer.
        delay_ms = 150
        worlds = [World(options=Options(f"e{n}", f"10.0.0.{n}")) for n in (1, 2)]
        spent = SpendingReport(7, retries=Map({"model": 3}))
        silent = PeerReported(worlds[0].now_ms, "10.0.0.9", Map(), spending=spent)
        worlds[0].take(silent)
        for _ in range(140):
            reports = [spending_report(world.state, world.now_ms) for world in worlds]
            for number, world in enumerate(worlds):
                world.now_ms += 100
                other = 1 - number
                ended = Map(
                    {
                        process: known._replace(ended_ms=known.ended_ms + delay_ms)
                        for process, known in reports[other].ended.items()
                    }
                )
                spending = reports[other]._replace(ended=ended)
                peer = f"10.0.0.{other + 1}"
                world.take(PeerReported(world.now_ms, peer, Map(), spending=spending))
                world.take(Tick(world.now_ms))
        self.assertEqual([len(world.state.ended) for world in worlds], [0, 0])

    def test_a_process_that_fell_silent_before_it_ended_is_remembered_anew(self):
        world = World(options=Options("e1", "10.0.0.1"))
        start_ms = world.now_ms
        for after_ms, retries in ((0, 5), (9_000, 3)):
            world.now_ms = start_ms + after_ms
            spent = SpendingReport(7, retries=Map({"model": retries}))
            world.take(PeerReported(world.now_ms, "10.0.0.2", Map(), spending=spent))
            world.now_ms += 2_000
            world.take(Tick(world.now_ms))
        world.now_ms = start_ms + 15_000
        world.take(Tick(world.now_ms))
        self.assertEqual(world.state.ended[7].retries, Map({"model": 3}))

    def test_a_peer_that_is_only_silent_spends_once(self):
        world = World(options=Options("e1", "10.0.0.1", budget_slack=9.0))
        spending = SpendingReport(7, retries=Map({"model": 3}))
        world.take(PeerReported(world.now_ms, "10.0.0.2", Map(), spending=spending))
        world.now_ms += 2_000
        world.take(Tick(world.now_ms))
        for _ in range(2):
            world.take(PeerReported(world.now_ms, "10.0.0.2", Map(), spending=spending))
        self.assertEqual(set(world.state.ended), {7})
        other = World(options=Options("e2", "10.0.0.2", budget_slack=9.0))
        other.state = other.state._replace(process=Process(7))
        report = spending_report(world.state, world.now_ms)
        other.take(PeerReported(other.now_ms, "10.0.0.1", Map(), spending=report))
        self.assertEqual(retry_budget(other.state, "model", other.now_ms).retries, 0)


class SpendingReportTests(unittest.TestCase):
    """Reports carry what processes have spent; times are read by the own clock."""

    def test_a_report_keeps_its_times(self):
        ended = Map({8: EndedProcess("10.0.0.3", 9_000, Map({"model": 4}))})
        spending = SpendingReport(7, True, Map({"model": 3}), ended)
        report = Report(Map(), ("10.0.0.2",), spending=spending)
        read = decode_report(encode_report(report, 10_000), 50_000).spending
        self.assertEqual(read.ended[8].ended_ms, 49_000)
        self.assertEqual(read[:3], spending[:3])
        self.assertEqual(read.ended[8].retries, ended[8].retries)

    def test_a_report_of_an_earlier_build_tells_nothing(self):
        data = cbor2.dumps([{}, [], [False, False, 0], [{}, {}, [], {}]])
        self.assertEqual(decode_report(data, 0).spending, SpendingReport())

    def test_malformed_spending_raises_one_error(self):
        head = [{}, [], [False, False, 0], [{}, {}, [], {}]]
        for spending in (
            [],
            [1],
            [1, 2, 3, 4],
            [1, True, {"a": "b"}, {}],
            [1, True, {}, {1: 2}],
        ):
            with self.subTest(spending=spending), self.assertRaises(ReportError):
                decode_report(cbor2.dumps([*head, spending]), 0)

    def test_the_ended_processes_in_a_report_are_bounded(self):
        world = World()
        known = EndedProcess("10.0.0.3", world.now_ms, Map({"model": 4}))
        ended = Map(dict.fromkeys(range(2 * MAX_REPORTED_ENDS), known))
        world.state = world.state._replace(ended=ended)
        report = spending_report(world.state, world.now_ms)
        self.assertEqual(len(report.ended), MAX_REPORTED_ENDS)


if __name__ == "__main__":
    unittest.main()
