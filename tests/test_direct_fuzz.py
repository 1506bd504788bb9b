"""Fuzz entries that send directly; check every effect against a global model."""

import unittest
from collections import Counter, defaultdict
from dataclasses import replace
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
    Declined,
    DeliverFailure,
    Errored,
    GroupRank,
    Hedge,
    HedgeDue,
    ListingRead,
    Measure,
    NotSent,
    Options,
    PaceMeasured,
    PeerReported,
    Refuse,
    RequestEnded,
    RequestKind,
    ResponseStarted,
    Send,
    StoreLost,
    StoreReached,
    StoreRestored,
    Tick,
    UpstreamLeaving,
    UpstreamLimited,
    UpstreamPaused,
    UpstreamPublished,
    UpstreamRemoved,
    ZonesOut,
    demand_report,
    load_report,
    open_share,
    pace_report,
)
from nutmegslip_decisions.direct._demand import entry_share
from nutmegslip_decisions.direct._groups import is_usable
from nutmegslip_decisions.direct._options import LATE_ARRIVAL_MS
from nutmegslip_decisions.direct._restored import REWRITE_MS
from tests.direct_world import ROUTES, World, configuration, upstream

ENTRIES = 2
COLD_BOUND = 20.0 * 1.5 + 5.0
EVACUATION_MS = 5_000
OPTIONS = Options(
    "entry",
    entries=ENTRIES,
    budget_ratio=0.2,
    budget_slack=10.0,
    cold_multiplier=1.5,
    cold_slack=5.0,
    evacuation_ms=EVACUATION_MS,
    hedge_max_share=0.9,
    hedge_after_quantile=0.5,
)
PATHS = ("/lookups/1", "/pushes/1", "/drafts/1", "/verses/1")
FAILURES = (
    NotSent(),
    Declined(),
    Declined(misdirected=True),
    Declined(at_fault="m1"),
    Broken(),
    Errored(),
)
UPSTREAMS = (
    upstream("b1"),
    upstream("b2", zone="b"),
    upstream("m1", "model", slots=30, rank=GroupRank("g", 1, 0, is_open=True)),
    upstream("m2", "model", slots=30, rank=GroupRank("g", 1, 1, is_open=True)),
)


def _count_window(times_ms, from_ms):
    return sum(from_ms <= at_ms < from_ms + 10_000 for at_ms in times_ms)


class Fleet(RuleBasedStateMachine):
    """Entries whose views of each other and of the list may be stale."""

    def __init__(self):
        super().__init__()
        self.worlds = [World(*UPSTREAMS, options=OPTIONS) for _ in range(ENTRIES)]
        self.now_ms = self.worlds[0].now_ms
        self.in_flight = [{} for _ in range(ENTRIES)]
        self.sends = Counter()
        self.misdirected = Counter()
        self.may_have_run = set()
        self.answered = set()
        self.cold_sends = defaultdict(list)
        self.arrived_ms = defaultdict(list)
        self.entry_arrivals = defaultdict(list)
        self.retried_ms = defaultdict(list)
        self.hedged_ms = defaultdict(list)
        self.listed = {item.id: item for item in UPSTREAMS}
        self.out = frozenset()
        self.read_ms = [None] * ENTRIES  # when each last read the store
        self.ordered_ms = {}  # when a zone was last put out, never for sure
        self.restored_ms = 0
        self.births = count(1)
        self.current = dict(self.listed)
        self.leaving = set()
        self.paused = defaultdict(int)
        self.withheld = {}
        self.limited_sends = defaultdict(list)  # by entry and incarnation
        self.last_reports = [None] * ENTRIES
        self.told = {}  # limit, time and sends before, by entry and incarnation

    def _take(self, number, event):
        for effect in self.worlds[number].take(event):
            self._check_effect(number, effect)

    def _check_effect(self, number, effect):
        match effect:
            case Send(request, to) | Hedge(request, to):
                request_key = (number, request.ticket)
                assert request_key not in self.answered, (
                    f"{request_key} sent after its answer"
                )
                assert not to.leaving
                incarnation = (number, to.id, to.born_ms)
                assert incarnation not in self.leaving, f"{to.id} had said it leaves"
                assert self.paused[incarnation] <= self.now_ms, f"{to.id} is paused"
                self.limited_sends[incarnation].append(self.now_ms)
                assert self.withheld.get(incarnation, 0) <= self.now_ms, (
                    f"{to.id} was removed before the store was restored"
                )
                if to.zone in self.worlds[number].state.zones_out:
                    self._check_last_resort(number, to)
                assert to.rank is None or to.rank.is_open
                assert request.deadline_ms > self.now_ms
                if request_key in self.may_have_run:
                    assert request.route.kind is not RequestKind.NON_IDEMPOTENT
                running = self._attempts(number, request.ticket)
                if isinstance(effect, Hedge):
                    self.hedged_ms[number, request.service].append(self.now_ms)
                    assert len(running) == 1
                    assert not self.worlds[number].state.waiting.get(request.service)
                    assert request.route.kind is not RequestKind.NON_IDEMPOTENT
                    assert to.rank is None, "the only group has the first attempt"
                else:
                    assert not running
                if self.sends[request_key] or isinstance(effect, Hedge):
                    self.retried_ms[request.service].append(self.now_ms)
                self.sends[request_key] += 1
                counted = self.sends[request_key] - self.misdirected[request_key]
                assert counted <= request.route.attempts
                assert to.id not in request.tried - {to.id}
                self.in_flight[number][request.ticket, to.id] = request
                if request.service == "model":
                    self.cold_sends[to.id].append(self.now_ms)
            case CancelAttempt(ticket, upstream_id):
                del self.in_flight[number][ticket, upstream_id]
            case Refuse(ticket, _, ran, retry_after_ms):
                request_key = (number, ticket)
                assert not self._attempts(number, ticket)
                assert request_key not in self.answered, f"{request_key} answered twice"
                if request_key in self.may_have_run:
                    assert ran, (
                        f"{request_key} may have run but was reported as not run"
                    )
                elif not ran and self.worlds[number].state.configuration:
                    assert retry_after_ms > 0
                self.answered.add(request_key)
            case DeliverFailure(ticket):
                assert not self._attempts(number, ticket)
                self.answered.add((number, ticket))

    def _check_last_resort(self, number, to):
        """Check that a zone out of service is in its time, and nothing else serves."""
        state = self.worlds[number].state
        ordered_ms = self.ordered_ms[to.zone]
        assert self.now_ms < ordered_ms + EVACUATION_MS - LATE_ARRIVAL_MS, (
            f"{to.id} got a request {self.now_ms - ordered_ms} ms after the order"
        )
        for other in state.upstreams.values():
            stats = state.stats_of(other.id)
            assert (
                other.service != to.service
                or other.zone in state.zones_out
                or other.leaving
                or other.id in state.withheld
                or not is_usable(state, other, self.now_ms)
                or max(stats.avoid_until_ms, stats.paused_until_ms) > self.now_ms
            ), f"{to.id} got a request that {other.id} can take"

    @rule(number=st.integers(0, ENTRIES - 1), path=st.sampled_from(PATHS))
    def arrive(self, number, path):
        world = self.worlds[number]
        world.now_ms = self.now_ms
        service = "model" if "verses" in path else "board"
        self.arrived_ms[service].append(self.now_ms)
        self.entry_arrivals[number, service].append(self.now_ms)
        for effect in world.arrive(path, request_id=f"{number}-{world.tickets + 1}"):
            self._check_effect(number, effect)

    @rule(number=st.integers(0, ENTRIES - 1), count=st.integers(2, 25))
    def burst(self, number, count):
        for _ in range(count):
            self.arrive(number, "/verses/1")

    @rule(number=st.integers(0, ENTRIES - 1), count=st.integers(1, 3))
    def arrive_slow(self, number, count):
        """Requests arrive whose answers take most of their time."""
        for _ in range(count):
            self.arrive(number, "/lookups/1")
        self.wait(600)
        for ticket, _ in sorted(self.in_flight[number]):
            self._take(number, HedgeDue(self.now_ms, ticket))

    @rule(
        number=st.integers(0, ENTRIES - 1),
        failure=st.sampled_from(FAILURES),
        pick=st.integers(0, 99),
    )
    def fail(self, number, failure, pick):
        request = self._pick(number, pick)
        if request is None:
            return
        if isinstance(failure, Broken | Errored):
            self.may_have_run.add((number, request.ticket))
        if isinstance(failure, NotSent):
            # Such a send reaches no upstream and counts towards no limit.
            self.sends[(number, request.ticket)] -= 1
        if isinstance(failure, Declined) and failure.misdirected:
            # It did not run, and another upstream has the address.
            self.misdirected[(number, request.ticket)] += 1
        failed = AttemptFailed(
            self.now_ms, request.ticket, failure, upstream=request.upstream
        )
        self._take(number, failed)

    @rule(number=st.integers(0, ENTRIES - 1), pick=st.integers(0, 99))
    def begin(self, number, pick):
        if self.in_flight[number]:
            attempts = sorted(self.in_flight[number])
            attempt = attempts[pick % len(attempts)]
            self._take(number, ResponseStarted(self.now_ms, *attempt))
            assert len(self._attempts(number, attempt[0])) == 1

    @rule(number=st.integers(0, ENTRIES - 1), pick=st.integers(0, 99))
    def hedge_when_due(self, number, pick):
        if self.in_flight[number]:
            attempts = sorted(self.in_flight[number])
            ticket, _ = attempts[pick % len(attempts)]
            self._take(number, HedgeDue(self.now_ms, ticket))

    @rule(
        number=st.integers(0, ENTRIES - 1),
        answered=st.booleans(),
        pick=st.integers(0, 99),
    )
    def end(self, number, answered, pick):
        request = self._pick(number, pick)
        if request is not None:
            self.answered.add((number, request.ticket))
            for attempt in self._attempts(number, request.ticket):
                del self.in_flight[number][request.ticket, attempt.upstream]
            kept_until_ms = self.now_ms + 8_500 if answered else 0
            ended = RequestEnded(self.now_ms, request.ticket, answered, kept_until_ms)
            self._take(number, ended)

    @rule(step_ms=st.sampled_from((1, 40, 300, 1_100, 5_000)))
    def wait(self, step_ms):
        self.now_ms += step_ms
        for number in range(ENTRIES):
            self._take(number, Tick(self.now_ms))

    @rule(late=st.booleans())
    def report(self, late):
        """Report to each other; a late report is delivered once more, and last."""
        for number in range(ENTRIES):
            state = self.worlds[1 - number].state
            event = PeerReported(
                self.now_ms,
                "other",
                Map(load_report(state)),
                paces=pace_report(state, self.now_ms),
                demand=demand_report(state, self.now_ms),
            )
            last, self.last_reports[number] = self.last_reports[number], event
            self._take(number, event)
            if late and last is not None:
                self._take(number, replace(last, now_ms=self.now_ms))

    @rule(name=st.sampled_from(sorted(i.id for i in UPSTREAMS)), kind=st.integers(0, 3))
    def change(self, name, kind):
        old = self.current[name]
        new = (
            old,
            old._replace(leaving=True),
            old._replace(born_ms=next(self.births)),
            old._replace(rank=old.rank and old.rank._replace(is_open=False)),
        )[kind]
        if kind == 2:
            self.current[name] = new
        self.listed[name] = new
        for number in range(ENTRIES):
            incarnation = (number, name, new.born_ms)
            self.withheld.pop(incarnation, None)
            if new.leaving:
                self.leaving.add(incarnation)
            self._take(number, UpstreamPublished(self.now_ms, new))

    @rule(
        number=st.integers(0, ENTRIES - 1),
        name=st.sampled_from(sorted(i.id for i in UPSTREAMS)),
        pause_ms=st.sampled_from((None, None, 0, 200, 3_000)),
    )
    def notice(self, number, name, pause_ms):
        """An answer says that its upstream leaves, or wants a pause."""
        known = self.worlds[number].state.upstreams.get(name)
        if known is None:
            return
        incarnation = (number, name, known.born_ms)
        if pause_ms is None:
            self.leaving.add(incarnation)
            self._take(number, UpstreamLeaving(self.now_ms, known))
        else:
            until_ms = max(self.paused[incarnation], self.now_ms + pause_ms)
            self.paused[incarnation] = until_ms
            self._take(number, UpstreamPaused(self.now_ms, known, pause_ms))

    @rule(
        number=st.integers(0, ENTRIES - 1),
        name=st.sampled_from(sorted(i.id for i in UPSTREAMS)),
        per_s=st.sampled_from((None, 0.0, 0.5, 2.0, 30.0)),
        is_late=st.booleans(),
    )
    def name_limit(self, number, name, per_s, is_late):
        """An answer names the limit of its upstream, or none."""
        known = self.worlds[number].state.upstreams.get(name)
        if known is None:
            return
        sent_ms = None if is_late else self.now_ms
        self._take(number, UpstreamLimited(self.now_ms, known, per_s, sent_ms))
        incarnation = (number, name, known.born_ms)
        if per_s is not None:
            before = len(self.limited_sends[incarnation])
            self.told[incarnation] = (per_s, self.now_ms, before)
        elif not is_late:
            self.told.pop(incarnation, None)

    @rule(
        data=st.data(),
        zones=st.sampled_from((frozenset(), frozenset({"a"}))),
    )
    def restore_the_store(self, data, zones):
        """List any mix of current, removed and replaced incarnations again."""
        older = st.sampled_from(
            [replace for name in self.current for replace in self._incarnations(name)]
        )
        copy = {item.id: item for item in data.draw(st.lists(older, max_size=5))}
        for number in range(ENTRIES):
            state = self.worlds[number].state
            for item in copy.values():
                departed = state.departures.get(item.id)
                if item.id in state.upstreams or departed is None:
                    continue
                if departed.born_ms == item.born_ms:
                    until_ms = self.now_ms + REWRITE_MS
                    self.withheld[(number, item.id, item.born_ms)] = until_ms
            self._take(number, StoreRestored(self.now_ms, 2))
            self._take(number, ListingRead(self.now_ms, tuple(copy.values())))
            out = self.worlds[number].state.zones_out
            self._take(number, ZonesOut(self.now_ms, zones))
            assert self.worlds[number].state.zones_out >= out
        self.listed = copy
        self.out, self.restored_ms = zones, self.now_ms
        self.read_ms = [self.now_ms] * ENTRIES
        self.ordered_ms = {zone: self.ordered_ms.get(zone, 0) for zone in "ab"}

    def _incarnations(self, name):
        first = next(item for item in UPSTREAMS if item.id == name)
        return first, self.current[name]

    @rule(name=st.sampled_from(sorted(i.id for i in UPSTREAMS)))
    def remove(self, name):
        self.listed.pop(name, None)
        for number in range(ENTRIES):
            self._take(number, UpstreamRemoved(self.now_ms, name))

    @rule(lost=st.booleans())
    def lose_or_reach_the_store(self, lost):
        for number in range(ENTRIES):
            event = StoreLost if lost else StoreReached
            self._take(number, event(self.now_ms))
            if not lost:
                listed = tuple(self.listed.values())
                self._take(number, ListingRead(self.now_ms, listed))

    @rule(zones=st.sampled_from((frozenset(), frozenset({"a"}), frozenset({"b"}))))
    def take_zones_out(self, zones):
        self.order_zones(zones)
        for number in range(ENTRIES):
            self.read_zones(number)

    @rule(zones=st.sampled_from((frozenset(), frozenset({"a"}), frozenset({"b"}))))
    def order_zones(self, zones):
        """Put zones out; what a restore has lost was ordered before."""
        for zone in zones - self.out:
            is_repeated = self.now_ms < self.restored_ms + REWRITE_MS
            earlier_ms = self.ordered_ms.get(zone, 0)
            self.ordered_ms[zone] = earlier_ms if is_repeated else self.now_ms
        self.out = zones

    @rule(number=st.integers(0, ENTRIES - 1))
    def read_zones(self, number):
        event = ZonesOut(self.now_ms, self.out, self.read_ms[number])
        self.read_ms[number] = self.now_ms
        self._take(number, event)

    @rule(number=st.integers(0, ENTRIES - 1))
    def lose_the_position(self, number):
        """The entry lists the store again without knowing how old it is."""
        self.read_ms[number] = None

    @rule(version=st.integers(1, 9))
    def publish(self, version):
        for number in range(ENTRIES):
            before = self.worlds[number].state.configuration.version
            routes = [r._replace(priority=r.priority * (version % 2)) for r in ROUTES]
            routes[0] = routes[0]._replace(priority=0)
            published = configuration(version, routes=tuple(routes))
            event = ConfigurationPublished(self.now_ms, published)
            self._take(number, event)
            after = self.worlds[number].state.configuration.version
            assert after == max(before, version)

    @rule(number=st.integers(0, ENTRIES - 1), gap_ms=st.floats(10, 500))
    def pace(self, number, gap_ms):
        self._take(number, PaceMeasured(self.now_ms, "model", "g", gap_ms))

    def _pick(self, number, pick):
        attempts = sorted(self.in_flight[number])
        return (
            self.in_flight[number].pop(attempts[pick % len(attempts)])
            if attempts
            else None
        )

    def _attempts(self, number, ticket):
        """Return the attempts of a request that are in flight."""
        found = self.in_flight[number].items()
        return [request for (known, _), request in found if known == ticket]

    @invariant()
    def cold_bound_holds(self):
        for sent in self.cold_sends.values():
            recent = sum(at > self.now_ms - 1_000 for at in sent)
            assert recent <= COLD_BOUND, f"{recent} sends in a second"

    @invariant()
    def open_shares_are_shares(self):
        for world in self.worlds:
            assert 0 < open_share(world.state, "model", "g", self.now_ms) <= 1

    @invariant()
    def named_limits_hold(self):
        """From the naming on an entry sends its share, and one request at once."""
        for incarnation, (per_s, told_ms, before) in self.told.items():
            sent = len(self.limited_sends[incarnation]) - before
            share = max(per_s / ENTRIES, 0.02)
            allowed = 1 + share * (self.now_ms - told_ms) / 1_000
            assert sent <= allowed, f"{sent} sends, {allowed} allowed"

    @invariant()
    def budget_holds(self):
        for service, retried_ms in self.retried_ms.items():
            for from_ms in retried_ms:
                retries = _count_window(retried_ms, from_ms)
                arrivals = max(
                    _count_window(self.arrived_ms[service], from_ms - shift_ms)
                    for shift_ms in (0, 5_000, 10_000)
                )
                assert retries <= 0.2 * arrivals + 10.0, f"{retries} retries"
            spans = 1 + (self.now_ms - 1_000_000) // 10_000
            arrivals = len(self.arrived_ms[service])
            assert len(retried_ms) <= 0.2 * arrivals + 10.0 + 10.0 * spans

    @invariant()
    def hedges_stay_within_their_share(self):
        for key, hedged_ms in self.hedged_ms.items():
            assert len(hedged_ms) <= OPTIONS.hedge_max_share * len(
                self.entry_arrivals[key]
            )
            for from_ms in hedged_ms:
                hedges = _count_window(hedged_ms, from_ms)
                earned = _count_window(self.entry_arrivals[key], from_ms - 10_000)
                earned += _count_window(self.entry_arrivals[key], from_ms)
                assert hedges <= OPTIONS.hedge_max_share * earned

    @invariant()
    def every_request_is_queued_or_in_flight(self):
        for number, world in enumerate(self.worlds):
            waiting = {t for queue in world.state.waiting.values() for t in queue}
            known = set(world.state.requests)
            tickets = {ticket for ticket, _ in self.in_flight[number]}
            assert not waiting & tickets
            assert waiting | tickets == known
            taken = Counter(upstream_id for _, upstream_id in self.in_flight[number])
            assert load_report(world.state) == taken

    @invariant()
    def demand_is_counted_once(self):
        for number, world in enumerate(self.worlds):
            counted = Counter()
            for (_, measure, _), amount in world.state.demand.in_flight.items():
                assert amount > 0
                counted[measure] += amount
            assert counted[Measure.USED] == len(self.in_flight[number])
            assert counted[Measure.HELD] == len(self.in_flight[number])
            assert all(amount > 0 for amount in world.state.peer_demand.values())
            for service in world.state.by_service:
                assert 0 < entry_share(world.state, service, self.now_ms) <= 1


FleetTests = Fleet.TestCase
FleetTests.settings = settings(
    max_examples=60,
    stateful_step_count=60,
    suppress_health_check=list(HealthCheck),
)

if __name__ == "__main__":
    unittest.main()
