"""Test that prompts with a part that crashes upstreams are found and withheld.

Without that, each of these prompts takes out two groups of ranks, as a stream whose
upstream crashed is sent to another one at once.
"""

import unittest
from random import Random

import cbor2
from immutables import Map
from nutmegslip_platform._headers import caller_fields

from nutmegslip_decisions.direct import (
    AttemptFailed,
    Blame,
    Broken,
    Crash,
    Declined,
    Options,
    PartReport,
    PeerReported,
    RefusalKind,
    Refuse,
    RequestEnded,
    ResponseStarted,
    Send,
    Tick,
    UpstreamRemoved,
    part_report,
)
from nutmegslip_decisions.direct._crash_parts import MAX_CHANCE
from nutmegslip_decisions.direct._part_evidence import (
    CRASH_MEMORY_MS,
    INNOCENT_MS,
    MAX_PARTS,
    MAX_REPORTED_PARTS,
    chance_of,
    crashes_in_sequence,
)
from nutmegslip_entry.direct._reports import (
    Report,
    ReportError,
    decode_report,
    encode_report,
)
from nutmegslip_runtime.http1 import HttpRequest
from tests.crash_parts_world import BAD_PART, STABLE_MS, START_MS, Fleet, Load
from tests.direct_world import World, upstream

CRASH = Broken("reset", closed=True)
DATAGRAM_BYTES = 8_192


class SequenceTests(unittest.TestCase):
    """Crashes count only one after the other, and not after a begun answer."""

    def test_crashes_in_sequence(self):
        many_at_once = tuple(Crash(n, 200 + n) for n in range(9))
        in_turn = (Crash(0, 100), Crash(110, 200), Crash(210, 300))
        cases = (
            ("none", (), None, 0),
            ("at once, by one fault", many_at_once, None, 1),
            ("one after the other", in_turn, None, 3),
            ("in any order", in_turn[::-1], None, 3),
            (
                "the same crash from two entries",
                (Crash(0, 100), Crash(9, 101)),
                None,
                1,
            ),
            ("an answer began after the second", in_turn, 250, 0),
            ("and long before the last", (*in_turn, Crash(5_000, 5_100)), 250, 1),
        )
        for name, crashes, begun_ms, count in cases:
            with self.subTest(name):
                self.assertEqual(len(crashes_in_sequence(crashes, begun_ms)), count)


class ChanceTests(unittest.TestCase):
    """A part that many requests have is in many crashes by chance."""

    def test_how_likely_an_innocent_part_is_in_all_crashes(self):
        cases = ((0.02, 3, True), (0.1, 3, True), (0.3, 3, False), (0.3, 6, True))
        for share, count, unlikely in cases:
            with self.subTest(share=share, count=count):
                crashes = (Crash(0, 1, share),) * count
                self.assertEqual(chance_of(crashes) <= MAX_CHANCE, unlikely)

    def test_a_part_of_every_request_is_never_blamed(self):
        world = World(*(upstream(f"m{n}", "model", slots=8) for n in range(4)))
        for number in range(30):
            world.arrive("/verses/1", parts=("everywhere", f"subject{number}"))
            world.now_ms += 100
            if number < 20:
                world.take(ResponseStarted(world.now_ms, world.tickets))
                world.take(RequestEnded(world.now_ms, world.tickets, True))
                world.now_ms += INNOCENT_MS if number == 19 else 0
                continue
            world.take(AttemptFailed(world.now_ms, world.tickets, CRASH))
            world.take(RequestEnded(world.now_ms, world.tickets, False))
        self.assertGreater(world.state.parts.counts["everywhere"], 2)
        self.assertFalse(world.state.parts.blames)


class PartTestCase(unittest.TestCase):
    def setUp(self):
        self.world = World(*(upstream(f"m{n}", "model", slots=8) for n in range(4)))
        for number in range(40):
            self.answer((f"warm-up{number}",))

    def answer(self, parts):
        """Send a request and begin and end its answer."""
        effects = self.world.arrive("/verses/1", parts=parts)
        ticket = self.world.tickets
        self.world.now_ms += 100
        self.world.take(ResponseStarted(self.world.now_ms, ticket))
        self.world.take(RequestEnded(self.world.now_ms, ticket, True))
        return effects

    def crash(self, parts, *, crashes=1):
        """Send a request whose upstreams crash; return the effects of the last one."""
        effects = self.world.arrive("/verses/1", parts=parts)
        ticket = self.world.tickets
        for _ in range(crashes):
            self.world.now_ms += 100
            failed = AttemptFailed(self.world.now_ms, ticket, CRASH)
            effects = self.world.take(failed)
        self.world.take(RequestEnded(self.world.now_ms, ticket, False))
        return effects

    def blame(self, part=BAD_PART):
        """Let upstreams crash until a part is blamed; return when."""
        self.crash(("account", part), crashes=2)
        self.answer(("account",))
        self.crash(("account", part))
        self.assertIn(part, self.world.state.parts.blames)
        return self.world.state.parts.blames[part].since_ms


class OutageTests(unittest.TestCase):
    """Sound parts are blamed while upstreams fail on any request."""

    def _play(self, seed, per_s, subjects, outage_ms, fail_share):
        """Return the parts blamed while attempts fail after 60 ms for a while."""
        rng = Random(seed)
        world = World(*(upstream(f"m{n}", "model", slots=20) for n in range(3)))
        begin_ms, attempts, blamed = world.now_ms + 3_000, [], set()
        while world.now_ms < begin_ms + outage_ms + 3_000:
            world.now_ms += 10
            effects = ()
            if rng.random() < per_s / 100:
                parts = (f"account{rng.randrange(3)}", f"s{rng.randrange(subjects)}")
                effects = world.arrive("/verses/1", parts=parts, wait_ms=8_000)
            due = [a for a in attempts if world.now_ms - a.sent_at_ms >= 60]
            for request in due:
                attempts.remove(request)
                failing = begin_ms <= request.sent_at_ms < begin_ms + outage_ms
                if failing and rng.random() < fail_share:
                    event = AttemptFailed(world.now_ms, request.ticket, CRASH)
                    effects += world.take(event)
                else:
                    world.take(ResponseStarted(world.now_ms, request.ticket))
                    event = RequestEnded(world.now_ms, request.ticket, True)
                    effects += world.take(event)
            attempts += [e.request for e in effects if isinstance(e, Send)]
            blamed |= set(world.state.parts.blames)
        return blamed

    def test_no_part_is_blamed_for_an_outage(self):
        cases = (
            ("all attempts for three seconds", 30, 20, 3_000, 1.0),
            ("all attempts for a second", 30, 20, 1_000, 1.0),
            ("many requests", 100, 20, 3_000, 1.0),
            ("many subjects", 100, 200, 3_000, 1.0),
            ("six in ten", 30, 20, 3_000, 0.6),
            ("three in ten", 30, 20, 3_000, 0.3),
        )
        for name, *load in cases:
            for seed in (1, 2, 3):
                with self.subTest(name, seed=seed):
                    self.assertEqual(self._play(seed, *load), set())


class BlameTests(PartTestCase):
    def test_a_blamed_part_is_refused_at_once_as_not_run(self):
        self.blame()
        (effect,) = self.world.arrive("/verses/1", parts=("account", BAD_PART))
        self.assertIsInstance(effect, Refuse)
        self.assertIs(effect.kind, RefusalKind.CRASHING_PART)
        self.assertEqual((effect.kind.status, effect.ran), (503, False))
        self.assertGreater(effect.retry_after_ms, 5_000)
        self.assertTrue(effect.kind.advice)

    def test_the_caller_and_the_other_parts_are_served(self):
        self.blame()
        for parts in (("account",), ("account", "other"), ()):
            with self.subTest(parts=parts):
                self.assertIsInstance(self.answer(parts)[0], Send)

    def test_what_is_no_evidence(self):
        cases = {
            "a timeout": Broken("no response before the deadline"),
            "a connection closed at once": CRASH,
            "a rejection": Declined(),
            "a rank of its group crashed": Declined(at_fault="m9"),
        }
        for name, failure in cases.items():
            with self.subTest(name):
                for _ in range(4):
                    self.world.arrive("/verses/1", parts=(name,))
                    ticket = self.world.tickets
                    self.world.now_ms += 2 if failure is CRASH else 100
                    self.world.take(AttemptFailed(self.world.now_ms, ticket, failure))
                    self.world.take(RequestEnded(self.world.now_ms, ticket, False))
                    self.answer(())
                self.assertFalse(self.world.state.parts.counts)

    def test_a_stream_that_broke_after_its_first_event_is_no_evidence(self):
        for _ in range(4):
            self.world.arrive("/verses/1", parts=("begun",))
            ticket = self.world.tickets
            self.world.now_ms += INNOCENT_MS + 100
            self.world.take(ResponseStarted(self.world.now_ms, ticket))
            self.world.now_ms += INNOCENT_MS + 100
            self.world.take(
                AttemptFailed(self.world.now_ms, ticket, CRASH, streaming=True)
            )
            self.world.take(RequestEnded(self.world.now_ms, ticket, False))
        self.assertFalse(self.world.state.parts.counts)

    def test_no_part_is_blamed_while_the_whole_service_is_away(self):
        for _ in range(5):
            self.world.now_ms += 20_000
            self.crash(("account", "subject"), crashes=2)
        self.assertFalse(self.world.state.parts.blames)

    def test_memory_is_bounded(self):
        for number in range(MAX_PARTS + 20):
            self.crash((f"part{number}",))
            self.answer(())
            self.answer(())
        self.assertEqual(len(self.world.state.parts.crashes), MAX_PARTS)
        self.world.now_ms += CRASH_MEMORY_MS + 1_000
        self.world.take(Tick(self.world.now_ms))
        self.assertFalse(self.world.state.parts.crashes)
        self.assertFalse(self.world.state.parts.counts)

    def test_a_blame_ends_when_the_part_no_longer_arrives(self):
        self.blame()
        self.world.now_ms += CRASH_MEMORY_MS + 1_000
        self.world.take(Tick(self.world.now_ms))
        self.assertFalse(self.world.state.parts.blames)


class HoldTests(PartTestCase):
    def test_a_suspected_part_is_sent_one_at_a_time(self):
        self.crash(("account", BAD_PART), crashes=2)
        self.answer(("account",))
        self.assertIsInstance(
            self.world.arrive("/verses/1", parts=("account", BAD_PART))[0], Send
        )
        self.assertEqual(self.world.arrive("/verses/1", parts=("x", BAD_PART)), ())

    def test_a_suspected_request_that_met_a_crash_is_not_repeated(self):
        self.crash(("account", BAD_PART), crashes=2)
        (effect,) = self.crash(("account", BAD_PART))
        self.assertEqual((effect.kind, effect.ran), (RefusalKind.BROKEN, True))

    def test_a_held_request_does_not_block_the_queue(self):
        self.test_a_suspected_part_is_sent_one_at_a_time()
        self.assertIsInstance(self.answer(("account",))[0], Send)

    def test_a_held_request_is_sent_when_the_other_one_is_answered(self):
        self.test_a_suspected_part_is_sent_one_at_a_time()
        first = self.world.tickets - 1
        self.world.take(ResponseStarted(self.world.now_ms, first))
        effects = self.world.take(RequestEnded(self.world.now_ms, first, True))
        self.assertEqual([type(effect) for effect in effects], [Send])

    def test_of_two_that_met_a_crash_one_is_repeated_at_a_time(self):
        for _ in range(2):
            self.world.arrive("/verses/1", parts=("account", "subject"))
        self.world.now_ms += 100
        tickets = (self.world.tickets - 1, self.world.tickets)
        effects = [
            self.world.take(AttemptFailed(self.world.now_ms, ticket, CRASH))
            for ticket in tickets
        ]
        self.assertEqual(sum(len(found) for found in effects), 1)

    def test_one_fault_of_hosts_holds_no_request_until_answers_end(self):
        """Guard against requests that wait for others' whole streams after a crash."""
        sent = [
            self.world.arrive("/verses/1", parts=("common", f"own{n}"))[0]
            for n in range(3)
        ]
        begun, unbegun, _ = (effect.request.ticket for effect in sent)
        self.world.now_ms += 100
        self.world.take(ResponseStarted(self.world.now_ms, begun))
        self.world.now_ms += INNOCENT_MS + 100
        self.world.take(AttemptFailed(self.world.now_ms, begun, CRASH, streaming=True))
        self.world.take(UpstreamRemoved(self.world.now_ms, sent[0].upstream.id))
        effects = self.world.take(AttemptFailed(self.world.now_ms, unbegun, CRASH))
        self.assertEqual(self.world.state.parts.counts["common"], 1)
        self.assertEqual([effect.request.ticket for effect in effects], [unbegun])


class PeerTests(PartTestCase):
    """Entries see few crashes each, so they add up what all of them have seen."""

    def report(self, parts, peer="10.0.0.9"):
        self.world.take(PeerReported(self.world.now_ms, peer, Map(), parts))

    def test_crashes_of_peers_count(self):
        self.crash(("account", BAD_PART))
        self.answer(("account",))
        now_ms = self.world.now_ms
        crashes = (Crash(now_ms - 50, now_ms - 40), Crash(now_ms - 30, now_ms - 20))
        self.report(PartReport(crashes=Map({BAD_PART: crashes})))
        self.assertIn(BAD_PART, self.world.state.parts.blames)

    def test_an_answer_at_a_peer_acquits(self):
        since_ms = self.blame()
        self.report(PartReport(begun=Map({BAD_PART: since_ms + 1})))
        self.assertFalse(self.world.state.parts.blames)
        stale = PartReport(blames=Map({BAD_PART: Blame(since_ms, 0, since_ms)}))
        self.report(stale, "10.0.0.8")
        self.assertFalse(self.world.state.parts.blames)

    def test_a_started_entry_learns_a_blame(self):
        now_ms = self.world.now_ms
        self.report(PartReport(blames=Map({BAD_PART: Blame(now_ms, 1, now_ms)})))
        (effect,) = self.world.arrive("/verses/1", parts=(BAD_PART,))
        self.assertIs(effect.kind, RefusalKind.CRASHING_PART)

    def test_probes_are_shared_out(self):
        world = World(
            upstream("m1", "model"), options=Options("e", "10.0.0.5", budget_slack=9.0)
        )
        since_ms = world.now_ms
        blames = Map({BAD_PART: Blame(since_ms, 0, since_ms)})
        sends = []
        for later_ms in range(0, 100_000, 500):
            world.now_ms = since_ms + later_ms
            for peer in ("10.0.0.4", "10.0.0.6"):
                report = PartReport(blames=blames)
                world.take(PeerReported(world.now_ms, peer, Map(), report))
            for effect in world.arrive("/verses/1", parts=(BAD_PART,)):
                if isinstance(effect, Send):
                    sends.append(later_ms)
                    world.take(
                        AttemptFailed(world.now_ms, effect.request.ticket, CRASH)
                    )
        # The second of three entries has the second turn after each delay.
        self.assertEqual(sends, [11_000, 61_000])

    def test_reports_fit_a_datagram_and_keep_their_times(self):
        now_ms = 50_000
        parts = PartReport(
            Map({"a": (Crash(100, 200), Crash(300, 400, 0.25, 0.5))}),
            Map({"b": 49_000}),
            frozenset({"a"}),
            Map({"c": Blame(10_000, 1, 45_000)}),
        )
        report = Report(Map({"u1": 3}), ("10.0.0.2",), parts)
        later = decode_report(encode_report(report, now_ms), now_ms + 7)
        self.assertEqual(later.parts.crashes["a"][1], Crash(307, 407, 0.25, 0.5))
        self.assertEqual(later.parts.begun["b"], 49_007)
        self.assertEqual(later.parts.blames["c"], Blame(10_007, 1, 45_007))
        self.assertEqual(later.in_flight, report.in_flight)
        for number in range(MAX_PARTS):
            self.crash((f"{number:064}",), crashes=2)
            for _ in range(4):
                self.answer(())
        report = Report(Map(), (), part_report(self.world.state))
        self.assertEqual(len(report.parts.crashes), MAX_REPORTED_PARTS)
        self.assertLess(len(encode_report(report, now_ms)), DATAGRAM_BYTES)

    def test_reports_of_an_earlier_build_are_read(self):
        report = decode_report(cbor2.dumps([{"u1": 2}, ["10.0.0.2"]]), 0)
        self.assertEqual(report, Report(Map({"u1": 2}), ("10.0.0.2",)))

    def test_malformed_datagrams_raise_one_error(self):
        cases = (
            b"",
            b"\xff",
            b"\x80",
            b"\x01",
            b"\x82\xa0",
            b"\x82\x01\x80",
            b"\x83\xa0\x80\x01",
            b"\x83\xa0\x80\x84\xa1ax\x01\xa0\x80\xa0",
            b"\x83\xa0\x80\x84\xa0\xa1aa\xf6\x80\xa0",
            b"\x82\xa1aa\xf9\x7e\x00\x80",
            b"\x82\xa1aa\xf9\x7c\x00\x80",
            b"\x81" * 5_000,
        )
        for data in cases:
            with self.subTest(data=data[:12]), self.assertRaises(ReportError):
                decode_report(data, 0)


class HeaderTests(unittest.TestCase):
    def test_shared_parts_are_all_but_the_last(self):
        cases = (
            (b"", ()),
            (b"e4:250", ()),
            (b"5c:800,91:410,e4:250", ("5c", "91")),
            (b" 5c:800 , 91 :410, e4:250", ("5c", "91")),
            (b",,e4:250", ()),
            (b"5c,e4", ("5c",)),
            (b"x" * 500 + b":1,e4:250", ("x" * 64,)),
            (b"\xff\x00:1,e4:250", ("\xff\x00",)),
            (b",".join(b"%d:1" % n for n in range(99)), tuple(map(str, range(16)))),
        )
        for value, shared in cases:
            with self.subTest(value=value[:20]):
                header = (b"X-Nutmegslip-Prompt-Prefix", value)
                request = HttpRequest(headers=[header])
                self.assertEqual(caller_fields(request).shared_parts, shared)

    def test_how_long_a_caller_waits(self):
        """Guard against a number of any length that ends a request with an error."""
        cases = ((b"900", 900), (b"9" * 5_000, None), (b"-1", None), (b"", None))
        for value, timeout_ms in cases:
            with self.subTest(value=value[:9]):
                header = (b"X-Nutmegslip-Deadline-Ms", value)
                request = HttpRequest(headers=[header])
                self.assertEqual(caller_fields(request).timeout_ms, timeout_ms)


class FleetTests(unittest.TestCase):
    """Replay bad prompts at all entries, alone and beside other faults."""

    LOADS = {
        "bad prompts": Load(),
        "many bad prompts": Load(bad_per_s=4.0),
        "beside host crashes": Load(host_crashes_per_s=0.1),
        "beside restarts": Load(restarts_per_s=0.1),
        "reports often lost": Load(report_loss=0.5),
    }

    def test_late_sends_are_bounded_and_sound_prompts_are_served(self):
        for name, load in self.LOADS.items():
            for seed in range(4):
                with self.subTest(name, seed=seed):
                    fleet = Fleet(seed, load)
                    fleet.run()
                    self.assertLessEqual(fleet.late_bad_sends, 3)
                    self.assertEqual(fleet.false_refusals, 0)
                    self.assertEqual(fleet.refused_ran, 0)
                    self._check_sound(fleet)

    def _check_sound(self, fleet):
        crashes = fleet.bad_crashes_ms
        self.assertTrue(crashes)
        settled_ms = crashes[min(len(crashes), 5) - 1] + 2 * STABLE_MS - START_MS
        for number in range(3):
            part = f"account{number}"
            before = fleet.begun_share(part, 0, fleet.load.bad_from_ms)
            after = fleet.begun_share(part, settled_ms, fleet.load.length_ms)
            self.assertGreater(after, before / 2)

    def test_a_part_that_crashes_ranks_at_any_moment_is_found(self):
        """Guard against a moment of the crash that escapes, from connect to end."""
        cases = (("early", (0, 35)), ("after the start", (200, 480)), ("any", (0, 480)))
        for name, crash_ms in cases:
            for seed in (1, 2, 3):
                with self.subTest(name, seed=seed):
                    fleet = Fleet(seed, Load(crash_ms=crash_ms, length_ms=60_000))
                    fleet.run()
                    self.assertGreaterEqual(len(fleet.bad_crashes_ms), 4)
                    self.assertLessEqual(fleet.late_bad_sends, 3)
                    self.assertEqual(fleet.false_refusals, 0)

    def test_host_crashes_alone_blame_no_part(self):
        for seed in range(8):
            with self.subTest(seed=seed):
                fleet = Fleet(seed, Load(bad_per_s=0.0, host_crashes_per_s=0.5))
                fleet.run()
                self.assertEqual(fleet.false_refusals, 0)


if __name__ == "__main__":
    unittest.main()
