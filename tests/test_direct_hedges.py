"""Test second attempts of slow requests: when they are sent, which answer counts."""

import heapq
import random
import unittest
from collections import Counter
from itertools import count

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from immutables import Map

from nutmegslip_decisions.direct import (
    AttemptFailed,
    Broken,
    CancelAttempt,
    ConfigurationPublished,
    Crash,
    Declined,
    DeliverFailure,
    Errored,
    GroupRank,
    Hedge,
    HedgeDue,
    ListingRead,
    NotSent,
    Options,
    PaceReport,
    PartReport,
    PeerReported,
    Refuse,
    RequestEnded,
    RequestKind,
    ResponseStarted,
    Send,
    Tick,
    ZonesOut,
    load_report,
    open_share,
)
from nutmegslip_decisions.direct._state import GroupSuspicion
from tests.direct_world import ROUTES, World, configuration, upstream

MAX_SHARE = 0.1
USUAL_MS = 40
DUE_MS = 2 * USUAL_MS + 1
OPTIONS = Options(
    "entry-1",
    budget_ratio=0.2,
    budget_slack=100.0,
    hedge_max_share=MAX_SHARE,
    hedge_after_quantile=0.9,
)


def _rank(group: str, number: int):
    rank = GroupRank(group, 1, number, is_open=True)
    return upstream(f"{group}{number}", "model", slots=10, rank=rank)


class HedgeCase(unittest.TestCase):
    """An entry that has measured how long answers usually take."""

    def setUp(self):
        self.world = self._measured(*(upstream(f"u{n}", slots=10) for n in range(3)))

    def _measured(self, *upstreams, path="/lookups/1", options=OPTIONS):
        world = World(*upstreams, options=options)
        for _ in range(30):
            (sent,) = world.arrive(path)
            world.now_ms += USUAL_MS
            self._answer(world, sent.request.ticket)
        return world

    def _answer(self, world, ticket):
        started = world.take(ResponseStarted(world.now_ms, ticket))
        world.take(RequestEnded(world.now_ms, ticket, answered=True))
        return started

    def _due(self, world=None, path="/lookups/1", **fields):
        """Send a request, let its second attempt be due; return both effects."""
        world = world or self.world
        (sent,) = world.arrive(path, **fields)
        world.now_ms += DUE_MS
        return sent, world.take(HedgeDue(world.now_ms, sent.request.ticket))

    def _hedged(self, world=None, path="/lookups/1"):
        sent, (hedge,) = self._due(world, path)
        return sent, hedge

    def assert_none(self, world=None, path="/lookups/1", **fields):
        """Assert that a slow request gets no second attempt."""
        _, effects = self._due(world, path, **fields)
        self.assertEqual([e for e in effects if isinstance(e, Hedge)], [])


class DueTests(HedgeCase):
    def test_a_slow_request_is_sent_to_another_upstream(self):
        (sent,) = self.world.arrive()
        self.assertEqual(sent.request.hedge_ms, self.world.now_ms + DUE_MS)
        early = HedgeDue(self.world.now_ms + DUE_MS - 1, sent.request.ticket)
        self.assertEqual(self.world.take(early), ())
        (hedge,) = self.world.take(HedgeDue(early.now_ms + 1, sent.request.ticket))
        self.assertNotEqual(hedge.upstream.id, sent.upstream.id)
        self.assertEqual(hedge.request.upstream, hedge.upstream.id)
        self.assertEqual(hedge.request.tried, {sent.upstream.id, hedge.upstream.id})
        again = HedgeDue(early.now_ms + 900, sent.request.ticket)
        self.assertEqual(self.world.take(again), ())

    def test_without_measurements_a_second_attempt_can_still_be_on_time(self):
        world = World(upstream("u1"), upstream("u2"), options=OPTIONS)
        (sent,) = world.arrive()
        self.assertEqual(sent.request.hedge_ms, world.now_ms + 2 * 50 + 1)

    def test_a_second_attempt_can_be_on_time_also_if_many_answers_are_slow(self):
        for number in range(90):
            (sent,) = self.world.arrive()
            self.world.now_ms += 200 if number % 3 == 0 else 30
            self._answer(self.world, sent.request.ticket)
        (sent,) = self.world.arrive()
        due_ms = self.world.now_ms + 150 - 2 * 30 + 1
        self.assertEqual(sent.request.hedge_ms, due_ms)

    def test_what_must_not_run_twice_or_has_one_attempt_is_never_due(self):
        for path in ("/pushes/1", "/drafts/1", "/open/1"):
            with self.subTest(path=path):
                (sent,) = self.world.arrive(path)
                self.assertIsNone(sent.request.hedge_ms)

    def test_nothing_is_due_where_the_operator_sets_no_limit(self):
        off = OPTIONS._replace(hedge_max_share=0.0)
        world = self._measured(upstream("u1"), upstream("u2"), options=off)
        (sent,) = world.arrive()
        self.assertIsNone(sent.request.hedge_ms)
        self.assertEqual(world.state.hedges, Map())

    def test_a_stream_is_due_only_before_its_first_event(self):
        world = self._measured(*(_rank(g, 0) for g in "gh"), path="/verses/1")
        routes = tuple(route._replace(attempts=3) for route in ROUTES)
        world.take(
            ConfigurationPublished(world.now_ms, configuration(2, routes=routes))
        )
        (sent,) = world.arrive("/verses/1")
        ticket = sent.request.ticket
        world.take(ResponseStarted(world.now_ms + 10, ticket))
        self.assertEqual(world.take(HedgeDue(world.now_ms + 900, ticket)), ())
        broken = AttemptFailed(world.now_ms + 20, ticket, Broken(), streaming=True)
        (resumed,) = world.take(broken)
        self.assertIsNone(resumed.request.hedge_ms)


class WithheldTests(HedgeCase):
    """Guard against hedges that take from callers, from retries, or from upstreams."""

    def test_no_hedge_while_nothing_is_free(self):
        world = self._measured(upstream("u1", slots=10), upstream("u2", slots=1))
        world.take(PeerReported(world.now_ms, "other", Map({"u2": 1})))
        self.assert_none(world)

    def test_no_hedge_ahead_of_a_request_that_waits(self):
        (sent,) = self.world.arrive()
        full = Map({f"u{n}": 10 for n in range(3)})
        self.world.take(PeerReported(self.world.now_ms, "other", full))
        self.assertEqual(self.world.arrive("/drafts/1"), ())
        free = self.world.state._replace(peer_in_flight=Map())
        self.world.state = free  # the next event would send the waiting request
        due = HedgeDue(self.world.now_ms + DUE_MS, sent.request.ticket)
        self.assertEqual(self.world.take(due), ())

    def test_no_hedge_under_overload(self):
        busy = Map({f"u{n}": 7 for n in range(3)})
        self.world.take(PeerReported(self.world.now_ms, "other", busy))
        self.assert_none()

    def test_no_hedge_in_the_same_lock_step_group(self):
        alone = self._measured(*(_rank("g", n) for n in range(3)), path="/verses/1")
        self.assert_none(alone, "/verses/1")
        two = self._measured(
            *(_rank(group, n) for group in "gh" for n in range(3)), path="/verses/1"
        )
        sent, hedge = self._hedged(two, "/verses/1")
        self.assertNotEqual(sent.upstream.group, hedge.upstream.group)

    def test_no_hedge_into_a_group_that_is_too_slow_already(self):
        world = self._measured(*(_rank(g, 0) for g in "gh"), path="/verses/1")
        pace = PaceReport(per_stream_ms=50.0, gap_ms=110.0)
        paces = Map({"model": Map({"g": pace, "h": pace})})
        (sent,) = world.arrive("/verses/1")
        world.take(PeerReported(world.now_ms, "other", Map(), paces=paces))
        self.assertLess(open_share(world.state, "model", "g", world.now_ms), 1)
        due = HedgeDue(world.now_ms + DUE_MS, sent.request.ticket)
        self.assertEqual(world.take(due), ())

    def test_an_upstream_that_stays_silent_is_avoided_while_hedges_answer(self):
        world = self._measured(*(upstream(f"u{n}") for n in range(3)))
        silent = Counter()
        for _ in range(60):
            world.now_ms += 500
            (sent,) = world.arrive()
            silent[sent.upstream.id == "u0"] += 1
            if sent.upstream.id != "u0":
                world.take(RequestEnded(world.now_ms, sent.request.ticket, True))
                continue
            world.now_ms += DUE_MS
            ticket = sent.request.ticket
            hedges = world.take(HedgeDue(world.now_ms, ticket))
            for hedge in hedges:
                world.take(ResponseStarted(world.now_ms, ticket, hedge.upstream.id))
            if not hedges:
                world.take(AttemptFailed(world.now_ms, ticket, Broken()))
            world.take(RequestEnded(world.now_ms, ticket, True))
        # Each avoidance is twice as long as the one before, up to 8 s.
        self.assertLessEqual(silent[True], 8)

    def test_no_hedge_into_a_group_that_has_just_failed(self):
        world = self._measured(*(_rank(g, 0) for g in "gh"), path="/verses/1")
        (sent,) = world.arrive("/verses/1")
        (other,) = {"g0", "h0"} - {sent.upstream.id}
        suspicion = GroupSuspicion(1, world.now_ms)
        suspicions = Map({other[0]: suspicion})
        world.state = world.state._replace(suspicions=suspicions)
        due = HedgeDue(world.now_ms + DUE_MS, sent.request.ticket)
        self.assertEqual(world.take(due), ())

    def test_no_hedge_once_half_of_the_retry_budget_is_spent(self):
        tight = OPTIONS._replace(budget_slack=0.0, budget_ratio=0.1)
        self.world.state = self.world.state._replace(options=tight)
        self.world.arrive()
        (sent,) = self.world.arrive()
        failed = AttemptFailed(self.world.now_ms, sent.request.ticket, Broken())
        self.assertIsInstance(self.world.take(failed)[0], Send)
        self.assert_none()

    def test_a_hedge_counts_as_a_retry(self):
        before = self.world.state.loads["board"].retries.count(self.world.now_ms)
        self._hedged()
        after = self.world.state.loads["board"].retries.count(self.world.now_ms)
        self.assertEqual(after, before + 1)

    def test_no_hedge_to_an_evacuated_zone(self):
        near, far = upstream("u1"), upstream("u2", zone="b")
        world = self._measured(near, far)
        world.take(ZonesOut(world.now_ms, frozenset({"b"})))
        self.assert_none(world)

    def test_no_hedge_beyond_the_limit_of_cold_upstreams(self):
        cold = OPTIONS._replace(cold_multiplier=0.1, cold_slack=1.0)
        world = self._measured(*(_rank(g, 0) for g in "gh"), path="/verses/1")
        world.state = world.state._replace(options=cold)
        world.now_ms += 1_100
        for _ in range(5):  # of the three that each may get in a second
            world.arrive("/verses/1")
        self.assert_none(world, "/verses/1")

    def test_no_hedge_of_a_request_that_may_crash_upstreams(self):
        now_ms = self.world.now_ms
        crash = Crash(now_ms - 300, now_ms - 200, 0.1, 0.0)
        report = PartReport(crashes=Map({"p": (crash,)}))
        self.world.take(PeerReported(now_ms, "other", Map(), report))
        self.assert_none(parts=("p",))
        self.assertIsInstance(self._hedged()[1], Hedge)

    def test_no_hedge_that_could_not_answer_before_the_deadline(self):
        self.assert_none(wait_ms=DUE_MS + 20)

    def test_a_withheld_hedge_is_due_again_later(self):
        sent, _ = self._due(wait_ms=DUE_MS + 20)
        later = self.world.state.requests[sent.request.ticket].hedge_ms
        self.assertEqual(later, self.world.now_ms + DUE_MS)

    def test_no_hedge_to_an_upstream_that_has_just_failed(self):
        world = self._measured(upstream("u1", slots=10), upstream("u2", slots=10))
        (sent,) = world.arrive()
        (other,) = {"u1", "u2"} - {sent.upstream.id}
        failing = world.state.stats_of(other)._replace(
            avoid_until_ms=world.now_ms + 900
        )
        upstream_stats = world.state.upstream_stats.set(other, failing)
        world.state = world.state._replace(upstream_stats=upstream_stats)
        due = HedgeDue(world.now_ms + DUE_MS, sent.request.ticket)
        self.assertEqual(world.take(due), ())


class LimitTests(HedgeCase):
    """Guard against hedges beyond the operator's limit when everything is slow."""

    def test_hedges_stay_within_their_share_of_the_requests(self):
        world = self.world
        arrivals, hedges = 30, 0
        for number in range(200):
            if number % 4 == 0:
                world.now_ms += 100
            (sent,) = world.arrive()
            arrivals += 1
            due = HedgeDue(world.now_ms + DUE_MS, sent.request.ticket)
            for effect in world.take(due):
                hedges += isinstance(effect, Hedge)
                self.assertLessEqual(hedges, MAX_SHARE * arrivals)
            world.take(RequestEnded(world.now_ms + DUE_MS, sent.request.ticket, True))
        self.assertGreater(hedges, 15)

    def test_a_new_limit_applies_at_once(self):
        (sent,) = self.world.arrive()
        off = OPTIONS._replace(hedge_max_share=0.0)
        self.world.state = self.world.state._replace(options=off)
        due = HedgeDue(self.world.now_ms + DUE_MS, sent.request.ticket)
        self.assertEqual(self.world.take(due), ())


class OutcomeTests(HedgeCase):
    """Guard against two answers, a lost one, or a slot that is never freed."""

    def _start(self, upstream_id, ticket):
        return self.world.take(ResponseStarted(self.world.now_ms, ticket, upstream_id))

    def _fail(self, upstream_id, ticket, failure):
        now_ms = self.world.now_ms
        return self.world.take(
            AttemptFailed(now_ms, ticket, failure, upstream=upstream_id)
        )

    def _in_flight(self):
        return load_report(self.world.state)

    def test_the_first_answer_cancels_the_other_attempt(self):
        for winner in (0, 1):
            with self.subTest(winner=winner):
                self.setUp()
                sent, hedge = self._hedged()
                ticket, both = sent.request.ticket, (sent.upstream, hedge.upstream)
                won, lost = both[winner].id, both[1 - winner].id
                self.assertEqual(self._in_flight(), {won: 1, lost: 1})
                self.assertEqual(
                    self._start(won, ticket), (CancelAttempt(ticket, lost),)
                )
                self.assertEqual(self._in_flight(), {won: 1})
                answered = self.world.state
                self.assertEqual(self._start(lost, ticket), ())
                self.assertEqual(self._fail(lost, ticket, Broken()), ())
                self.assertEqual(self.world.state, answered)
                self.world.take(RequestEnded(self.world.now_ms, ticket, answered=True))
                self.assertEqual(self._in_flight(), {})

    def test_the_answer_of_a_hedge_counts_from_the_first_attempt(self):
        """Guard against hedges that lower the quantile, and so cause more of them."""
        sent, hedge = self._hedged()
        self.world.now_ms += 9
        self._start(hedge.upstream.id, sent.request.ticket)
        measured = self.world.state.hedges["board"].starts[False]
        self.assertEqual(measured[-1], DUE_MS + 9)

    def test_the_failure_of_one_attempt_leaves_the_other(self):
        for failed in (0, 1):
            with self.subTest(failed=failed):
                self.setUp()
                sent, hedge = self._hedged()
                ticket, both = sent.request.ticket, (sent.upstream, hedge.upstream)
                self.assertEqual(self._fail(both[failed].id, ticket, Broken()), ())
                other = both[1 - failed].id
                self.assertEqual(self._in_flight(), {other: 1})
                self.assertEqual(self._start(other, ticket), ())
                self.world.take(RequestEnded(self.world.now_ms, ticket, answered=True))
                self.assertEqual(self._in_flight(), {})

    def test_the_last_failure_decides_as_without_a_hedge(self):
        cases = (
            (Broken(), Errored(), DeliverFailure(31)),
            (Errored(), Broken(), True),
            (Declined(), Declined(), False),
            (Broken(), Declined(), True),
        )
        for first, last, expected in cases:
            with self.subTest(first=first, last=last):
                self.setUp()
                sent, hedge = self._hedged()
                ticket = sent.request.ticket
                self._fail(sent.upstream.id, ticket, first)
                (effect,) = self._fail(hedge.upstream.id, ticket, last)
                if isinstance(effect, Refuse):
                    effect = effect.ran
                self.assertEqual(effect, expected)
                self.assertEqual(self._in_flight(), {})

    def test_an_attempt_that_reached_no_upstream_may_be_made_up_for(self):
        sent, hedge = self._hedged()
        self._fail(sent.upstream.id, sent.request.ticket, NotSent())
        (again,) = self._fail(hedge.upstream.id, sent.request.ticket, Broken())
        self.assertIsInstance(again, Send)
        self.assertNotIn(again.upstream.id, (sent.upstream.id, hedge.upstream.id))

    def test_a_caller_that_leaves_frees_both_slots(self):
        sent, _ = self._hedged()
        ended = RequestEnded(self.world.now_ms, sent.request.ticket, answered=False)
        self.world.take(ended)
        self.assertEqual(self._in_flight(), {})

    def test_a_freed_slot_goes_to_a_request_that_waits(self):
        sent, hedge = self._hedged()
        full = Map({"u0": 9, "u1": 9, "u2": 9})
        self.world.take(PeerReported(self.world.now_ms, "other", full))
        self.world.arrive("/drafts/1")
        self.assertEqual(self.world.arrive("/drafts/1"), ())
        cancelled, freed = self._start(hedge.upstream.id, sent.request.ticket)
        self.assertIsInstance(cancelled, CancelAttempt)
        self.assertEqual(freed.upstream.id, sent.upstream.id)


class SlowUpstreamTests(unittest.TestCase):
    """Replay the load in which two of twelve upstreams are slow for part of it."""

    UPSTREAMS = tuple(upstream(f"u{n}", slots=6) for n in range(12))
    INTERVAL_MS = 12
    REQUESTS = 2_000

    def _replay(self, max_share):
        """Return the sorted times to an answer, and the count of second attempts."""
        options = OPTIONS._replace(hedge_max_share=max_share, hedge_after_quantile=0.95)
        world, draw = World(*self.UPSTREAMS, options=options), random.Random(5)
        start_ms, order = world.now_ms, count()
        arrivals = ((n * self.INTERVAL_MS, n, 0) for n in range(self.REQUESTS))
        events = [
            (start_ms + at_ms, next(order), "arrive", ()) for at_ms, *_ in arrivals
        ]
        arrived, times, hedges, tickets = {}, [], 0, set()
        while events:
            world.now_ms, _, what, (*ticket,) = heapq.heappop(events)
            if what == "arrive":
                effects = world.arrive(wait_ms=800)
                arrived[world.tickets] = world.now_ms
            elif ticket[0] in tickets:
                continue  # its other attempt was answered
            elif what == "due":
                effects = world.take(HedgeDue(world.now_ms, *ticket))
            else:
                effects = world.take(ResponseStarted(world.now_ms, *ticket))
                ended = RequestEnded(world.now_ms, ticket[0], answered=True)
                effects = (*effects, *world.take(ended))
                tickets.add(ticket[0])
                times.append(world.now_ms - arrived[ticket[0]])
            for effect in effects:
                if not isinstance(effect, Send | Hedge):
                    continue
                hedges += isinstance(effect, Hedge)
                request, to = effect.request, effect.upstream.id
                took_ms = draw.randint(40, 80)
                if to in ("u3", "u7") and draw.random() < 0.3:
                    took_ms *= 6
                key = (request.ticket, to)
                answer_ms = world.now_ms + took_ms
                heapq.heappush(events, (answer_ms, next(order), "answer", key))
                due_ms = request.hedge_ms
                if due_ms is not None:
                    due = (due_ms, next(order), "due", (request.ticket,))
                    heapq.heappush(events, due)
        return sorted(times), hedges

    def test_the_slowest_answers_come_earlier_within_the_limit(self):
        without, none = self._replay(0.0)
        hedged, hedges = self._replay(0.1)
        self.assertEqual((len(without), len(hedged), none), (2_000, 2_000, 0))
        position = int(0.99 * self.REQUESTS)
        self.assertGreater(without[position], 350)
        self.assertLess(hedged[position], 250)
        self.assertLessEqual(hedges, 0.1 * self.REQUESTS)


class Races(RuleBasedStateMachine):
    """Requests with one or two attempts in flight, in any order of their outcomes."""

    def __init__(self):
        super().__init__()
        routes = tuple(route._replace(attempts=3) for route in ROUTES)
        options = OPTIONS._replace(hedge_max_share=0.9)
        self.world = World(*(upstream(f"u{n}", slots=4) for n in range(4)))
        self.world.state = self.world.state._replace(options=options)
        self.world.take(
            ConfigurationPublished(self.world.now_ms, configuration(2, routes=routes))
        )
        for _ in range(20):
            (sent,) = self.world.arrive()
            ended = RequestEnded(self.world.now_ms, sent.request.ticket, answered=True)
            self.world.take(ended)
        self.world.now_ms += 1_000
        self.running = {}  # ids of the upstreams, by ticket
        self.sends = {}
        self.answered = set()

    def _apply(self, effects):
        for effect in effects:
            match effect:
                case Send(request, to):
                    assert not self.running.get(request.ticket)
                    self._count(request, to)
                case Hedge(request, to):
                    assert len(self.running[request.ticket]) == 1
                    assert request.ticket not in self.answered
                    assert request.route.kind is not RequestKind.NON_IDEMPOTENT
                    self._count(request, to)
                case CancelAttempt(ticket, upstream_id):
                    self.running[ticket].remove(upstream_id)
                    assert len(self.running[ticket]) == 1
                case Refuse(ticket) | DeliverFailure(ticket):
                    assert not self.running.pop(ticket, None)

    def _count(self, request, to):
        self.running.setdefault(request.ticket, set()).add(to.id)
        tried = self.sends.setdefault(request.ticket, [])
        assert to.id not in tried, f"{to.id} gets the request twice"
        tried.append(to.id)

    def _pick(self, pick):
        pairs = sorted((t, u) for t, found in self.running.items() for u in found)
        return pairs[pick % len(pairs)] if pairs else None

    @rule(path=st.sampled_from(("/lookups/1", "/pushes/1")), step_ms=st.integers(0, 60))
    def arrive(self, path, step_ms):
        self.world.now_ms += step_ms
        self._apply(self.world.arrive(path))

    @rule(
        winner=st.integers(0, 1),
        loser_fails=st.booleans(),
        failure=st.sampled_from((NotSent(), Declined(), Broken(), Errored())),
    )
    def race(self, winner, loser_fails, failure):
        """A slow request arrives; one of its attempts is answered, or fails first."""
        self.arrive("/lookups/1", 0)
        self.world.now_ms += 150
        ticket = self.world.tickets
        self._apply(self.world.take(HedgeDue(self.world.now_ms, ticket)))
        attempts = sorted(self.running.get(ticket, ()))
        if len(attempts) < 2:
            return
        if loser_fails:
            self._fail(ticket, attempts[1 - winner], failure)
        self._begin(ticket, attempts[winner])

    @rule(pick=st.integers(0, 99), step_ms=st.sampled_from((1, 150, 400)))
    def due(self, pick, step_ms):
        self.world.now_ms += step_ms
        if picked := self._pick(pick):
            self._apply(self.world.take(HedgeDue(self.world.now_ms, picked[0])))

    @rule(pick=st.integers(0, 99))
    def begin(self, pick):
        if picked := self._pick(pick):
            self._begin(*picked)

    def _begin(self, ticket, upstream_id):
        begun = ResponseStarted(self.world.now_ms, ticket, upstream_id)
        self._apply(self.world.take(begun))
        self.answered.add(ticket)
        assert self.running[ticket] == {upstream_id}

    @rule(
        pick=st.integers(0, 99),
        failure=st.sampled_from((NotSent(), Declined(), Broken(), Errored())),
    )
    def fail(self, pick, failure):
        if picked := self._pick(pick):
            self._fail(*picked, failure)

    def _fail(self, ticket, upstream_id, failure):
        self.running[ticket].remove(upstream_id)
        self.answered.discard(ticket)
        now_ms = self.world.now_ms
        failed = AttemptFailed(now_ms, ticket, failure, upstream=upstream_id)
        self._apply(self.world.take(failed))

    @rule(pick=st.integers(0, 99), answered=st.booleans())
    def end(self, pick, answered):
        if picked := self._pick(pick):
            del self.running[picked[0]]
            ended = RequestEnded(self.world.now_ms, picked[0], answered)
            self._apply(self.world.take(ended))

    @rule(step_ms=st.sampled_from((1, 300, 2_000)))
    def wait(self, step_ms):
        self.world.now_ms += step_ms
        self._apply(self.world.take(Tick(self.world.now_ms)))

    @rule()
    def list_again(self):
        listed = tuple(self.world.state.upstreams.values())
        self._apply(self.world.take(ListingRead(self.world.now_ms, listed)))

    @invariant()
    def each_attempt_is_counted_once(self):
        expected: dict[str, int] = {}
        for upstreams in self.running.values():
            for upstream_id in upstreams:
                expected[upstream_id] = expected.get(upstream_id, 0) + 1
        assert load_report(self.world.state) == expected

    @invariant()
    def no_request_takes_more_attempts_than_allowed(self):
        for ticket, request in self.world.state.requests.items():
            assert request.sends <= request.route.attempts, ticket


RaceTests = Races.TestCase
RaceTests.settings = settings(
    max_examples=80,
    stateful_step_count=50,
    suppress_health_check=list(HealthCheck),
)

if __name__ == "__main__":
    unittest.main()
