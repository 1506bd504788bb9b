"""Fuzz admission at several entries against a simple oracle."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from immutables import Map

from nutmegslip_decisions.limits import (
    Admit,
    HeadroomChanged,
    LimitsChanged,
    LimitsEvent,
    LimitsOptions,
    LimitsState,
    MessageReceived,
    Refuse,
    RequestDone,
    RequestOffered,
    RequestReturned,
    Send,
    Tick,
    reduce,
)
from nutmegslip_decisions.limits._queue import FairQueue, Queued, pop, push
from nutmegslip_decisions.limits._shares import acquire, new_share, request_share
from nutmegslip_decisions.model import (
    Account,
    Catalogue,
    Limits,
    RequestClass,
    Workload,
    WorkloadKind,
    rendezvous_order,
)

ENTRIES = ("e0", "e1", "e2")
RATE, BURST, CONCURRENT = 10.0, 5, 4
VALID_MS, WAIT_MS, TICK_MS = 1_000, 300, 50
CATALOGUE = Catalogue(
    1,
    Map({"w": Workload("w", "o", WorkloadKind.MODEL, RequestClass.INTERACTIVE)}),
    Map(
        {
            "rated": Account("rated", (), Limits(RATE, BURST)),
            "bounded": Account("bounded", (), Limits(concurrent=CONCURRENT)),
            "both": Account("both", (), Limits(RATE, BURST, CONCURRENT)),
            "free": Account("free", ()),
        }
    ),
)
ACCOUNTS = ["rated", "bounded", "both"]


def started(name: str, now_ms: int, entries: tuple[str, ...] = ENTRIES) -> LimitsState:
    state, _ = reduce(LimitsState(name), LimitsChanged(now_ms, CATALOGUE, entries))
    return reduce(state, HeadroomChanged(now_ms, "w", 8))[0]


class LimitsMachine(RuleBasedStateMachine):
    """Three entries on a network that delays, drops and duplicates messages."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 1_000
        self.states = {name: started(name, self.now_ms) for name in ENTRIES}
        self.network: list[tuple[int, str, str, object]] = []
        self.open: dict[str, tuple[str, str, int]] = {}
        self.in_flight: dict[str, tuple[str, str]] = {}
        self.refused: set[str] = set()
        self.admitted: list[tuple[int, str]] = []
        self.count = self.kills = 0
        self.delay_ms, self.faults, self.ample = 0, "none", False

    @initialize(
        delay_ms=st.sampled_from([0, 1, 90]),
        faults=st.sampled_from(["all", "repeats", "none"]),
        ample=st.sampled_from([True, True, False]),
    )
    def start(self, delay_ms: int, faults: str, ample: bool) -> None:
        self.delay_ms, self.faults, self.ample = delay_ms, faults, ample
        for entry in ENTRIES:
            self.apply(entry, HeadroomChanged(self.now_ms, "w", self.headroom))

    @property
    def headroom(self) -> int:
        return 1_000 if self.ample else 4

    @rule(
        entries=st.sampled_from([ENTRIES, *((name,) for name in ENTRIES)]),
        account=st.sampled_from(ACCOUNTS),
        wait_ms=st.sampled_from([3_000, 500, 100]),
        times=st.sampled_from([12, 4, 1]),
    )
    def offer(
        self, entries: tuple[str, ...], account: str, wait_ms: int, times: int
    ) -> None:
        for entry in entries * times:
            self.count += 1
            name = f"r{self.count}"
            deadline_ms = self.now_ms + wait_ms
            self.open[name] = (entry, account, deadline_ms)
            event = RequestOffered(
                self.now_ms, name, "w", RequestClass.INTERACTIVE, account, deadline_ms
            )
            self.apply(entry, event)

    @precondition(lambda self: self.in_flight)
    @rule(start=st.integers(0, 99), count=st.integers(1, 6))
    def end(self, start: int, count: int) -> None:
        first = start % len(self.in_flight)
        for name in sorted(self.in_flight)[first : first + count]:
            entry, _ = self.in_flight.pop(name)
            self.apply(entry, RequestDone(self.now_ms, name))

    @precondition(lambda self: self.in_flight and not self.ample)
    @rule(index=st.integers(0, 99))
    def return_request(self, index: int) -> None:
        name = sorted(self.in_flight)[index % len(self.in_flight)]
        entry, account = self.in_flight.pop(name)
        self.open[name] = (entry, account, self.now_ms + WAIT_MS + TICK_MS)
        self.apply(entry, RequestReturned(self.now_ms, name))

    @precondition(lambda self: self.open)
    @rule(index=st.integers(0, 99))
    def disconnect(self, index: int) -> None:
        name = sorted(self.open)[index % len(self.open)]
        entry, _, _ = self.open.pop(name)
        self.apply(entry, RequestDone(self.now_ms, name))

    @precondition(lambda self: not self.ample)
    @rule(entry=st.sampled_from(ENTRIES), free=st.integers(0, 6))
    def change_headroom(self, entry: str, free: int) -> None:
        self.apply(entry, HeadroomChanged(self.now_ms, "w", free))

    @rule(ticks=st.sampled_from([1, 2, 5, 25]))
    def advance(self, ticks: int) -> None:
        for _ in range(ticks):
            self.now_ms += TICK_MS
            self.deliver()
            for entry in ENTRIES:
                self.apply(entry, Tick(self.now_ms))
            self.deliver()

    @precondition(lambda self: self.faults != "none" and self.network)
    @rule(index=st.integers(0, 99), late_ms=st.sampled_from([100, 300, 900]))
    def repeat_message(self, index: int, late_ms: int) -> None:
        due_ms, *rest = self.network[index % len(self.network)]
        self.network.append((due_ms + late_ms, *rest))

    @precondition(lambda self: self.faults == "all" and self.network)
    @rule(index=st.integers(0, 99))
    def drop_message(self, index: int) -> None:
        self.network.pop(index % len(self.network))

    @precondition(lambda self: self.faults == "all")
    @rule(entry=st.sampled_from(ENTRIES))
    def kill(self, entry: str) -> None:
        self.kills += 1
        self.states[entry] = started(entry, self.now_ms)
        self.apply(entry, HeadroomChanged(self.now_ms, "w", self.headroom))
        self.open = {n: o for n, o in self.open.items() if o[0] != entry}
        self.in_flight = {n: h for n, h in self.in_flight.items() if h[0] != entry}

    @invariant()
    def every_request_is_answered_by_its_deadline(self) -> None:
        late = [n for n, (_, _, end_ms) in self.open.items() if end_ms <= self.now_ms]
        assert not late, late

    @invariant()
    def concurrency_stays_within_its_bound(self) -> None:
        # With lost messages or killed homes, entries also use their even part.
        homes_reachable = self.faults != "all"
        bound = CONCURRENT if homes_reachable else 2 * max(CONCURRENT, len(ENTRIES))
        for account in ("bounded", "both"):
            held = sum(a == account for _, a in self.in_flight.values())
            assert held <= bound, (account, held)

    @invariant()
    def rate_stays_within_its_bound(self) -> None:
        for account in ("rated", "both"):
            times = [at_ms for at_ms, name in self.admitted if name == account]
            for index, start_ms in enumerate(times):
                bound = self.rate_bound(self.now_ms - start_ms)
                assert len(times) - index <= bound, (account, times, bound)

    def rate_bound(self, window_ms: int) -> float:
        queued_ms = 0 if self.ample else WAIT_MS
        bound = BURST + RATE * (window_ms + VALID_MS + queued_ms) / 1_000
        if self.faults != "all":
            return bound
        spare = RATE * window_ms / 1_000 + max(BURST, len(ENTRIES))
        return bound + spare + self.kills * (BURST + len(ENTRIES))

    def deliver(self) -> None:
        due = [m for m in self.network if m[0] <= self.now_ms]
        self.network = [m for m in self.network if m[0] > self.now_ms]
        for _, sender, target, message in due:
            self.apply(target, MessageReceived(self.now_ms, sender, message))

    def apply(self, entry: str, event: LimitsEvent) -> None:
        self.states[entry], effects = reduce(self.states[entry], event)
        for effect in effects:
            match effect:
                case Send(host, message):
                    due_ms = self.now_ms + self.delay_ms
                    self.network.append((due_ms, entry, host, message))
                case Admit(name):
                    assert name not in self.refused
                    _, account, end_ms = self.open.pop(name)
                    assert self.now_ms < end_ms, (name, end_ms)
                    self.in_flight[name] = (entry, account)
                    self.admitted.append((self.now_ms, account))
                case Refuse(name, refusal):
                    _, _, end_ms = self.open.pop(name)
                    assert self.now_ms < end_ms, (name, end_ms)
                    self.refused.add(name)
                    assert ";" in refusal.message


LimitsMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=30, deadline=None
)
LimitsFuzz = LimitsMachine.TestCase


class ShareTests(unittest.TestCase):
    def test_an_account_below_its_limit_is_not_refused(self):
        for entries in (3, 55):
            with self.subTest(entries=entries):
                names = tuple(f"e{index}" for index in range(entries))
                states = {n: started(n, 0, names) for n in names}
                for turn in range(100):
                    # Five requests a second, each through a different entry.
                    now_ms, name = turn * 200, names[turn * 7 % entries]
                    offered = offer(now_ms, f"r{turn}", "rated")
                    self.assertEqual(run(states, name, offered), [Admit(f"r{turn}")])
                    run(states, name, RequestDone(now_ms, f"r{turn}"))

    def test_an_unresponsive_home_delays_a_request_by_its_timeout_only(self):
        for entry in ENTRIES:
            state, effects = reduce(started(entry, 0), offer(0, "r", "rated"))
            if effects == (Admit("r"),):
                continue
            _, effects = reduce(state, Tick(200))
            self.assertEqual(effects, (Admit("r"),))

    def test_tokens_are_not_used_after_their_deadline(self):
        limits = CATALOGUE.accounts["rated"].limits
        share = new_share(0)._replace(tokens=1, tokens_deadline_ms=100)
        for now_ms, allowed in ((99, True), (100, False)):
            self.assertIs(acquire(share, limits, 3, now_ms)[1], allowed)

    def test_a_partitioned_entry_stays_within_its_even_part(self):
        # Ten seconds at a third of the rate and a third of the burst.
        cases = [("rated", 30, 10 * RATE / 3 + BURST / 3), ("bounded", 1, 1)]
        for account, least, most in cases:
            state, admitted = started(not_home(account), 0), 0
            state, _ = reduce(state, HeadroomChanged(0, "w", 1_000))
            for now_ms in range(0, 10_000, TICK_MS):
                offered = offer(now_ms, f"r{now_ms}", account)
                for event in (offered, Tick(now_ms)):
                    state, effects = reduce(state, event)
                    admitted += sum(isinstance(e, Admit) for e in effects)
            self.assertTrue(least <= admitted <= most, (account, admitted))

    def test_a_repeated_message_changes_nothing(self):
        entry = not_home("rated")
        state, (sent,) = reduce(started(entry, 0), offer(0, "r1", "rated"))
        asked = MessageReceived(1, entry, sent.message)
        home, (answer,) = reduce(started(sent.host, 0), asked)
        self.assertEqual(reduce(home, asked)[1], ())
        granted = MessageReceived(2, sent.host, answer.message)
        state, effects = reduce(state, granted)
        self.assertEqual(effects, (Admit("r1"),))
        state, _ = reduce(state, offer(3, "r2", "rated"))
        self.assertEqual(reduce(state, granted)[1], ())

    def test_slots_not_declared_are_not_used_while_asking(self):
        held = new_share(0)._replace(in_flight=2, slots=3, slots_deadline_ms=1_000)
        updated, request = request_share(held, "account:bounded", LimitsOptions(), 500)
        self.assertEqual(request.in_hand, 2)
        limits = CATALOGUE.accounts["bounded"].limits
        self.assertFalse(acquire(updated, limits, 3, 501)[1])

    def test_a_refused_request_returns_its_token_within_its_lifetime(self):
        for ends_ms, left in ((50, 1), (1_500, 0)):
            state = started("e0", 0, ("e0",))
            state, _ = reduce(state, HeadroomChanged(0, "w", 0))
            state, _ = reduce(state, offer(0, "r", "rated"))
            state, _ = reduce(state, RequestDone(ends_ms, "r"))
            self.assertEqual(state.shares["account:rated"].tokens, left)


def offer(now_ms: int, name: str, account: str) -> RequestOffered:
    deadline_ms = now_ms + 3_000
    return RequestOffered(
        now_ms, name, "w", RequestClass.INTERACTIVE, account, deadline_ms
    )


def not_home(account: str) -> str:
    """Return an entry that is not the home of the account's limits."""
    return rendezvous_order(f"account:{account}", ENTRIES)[1]


def run(states: dict[str, LimitsState], entry: str, event: LimitsEvent) -> list:
    """Apply an event and all resulting messages; return the decisions."""
    decisions, todo = [], [(entry, event)]
    while todo:
        name, event = todo.pop()
        states[name], effects = reduce(states[name], event)
        sends = [e for e in effects if isinstance(e, Send)]
        decisions += [e for e in effects if not isinstance(e, Send)]
        todo += [
            (e.host, MessageReceived(event.now_ms, name, e.message)) for e in sends
        ]
    return decisions


class FairQueueTests(unittest.TestCase):
    @given(
        st.lists(st.integers(1, 4), min_size=2, max_size=5),
        st.integers(0, 30),
        st.integers(1, 60),
    )
    def test_a_small_account_is_served_after_one_turn_of_each(
        self, weights: list[int], served: int, depth: int
    ):
        def queued(account: str, weight: int) -> Queued:
            return Queued(account, RequestClass.STANDARD, account, weight, 0)

        queue = FairQueue()
        for index, weight in enumerate(weights):
            for turn in range(depth):
                queue = push(
                    queue,
                    queued(f"large{index}", weight)._replace(
                        request_id=f"{index}.{turn}"
                    ),
                )
        for _ in range(min(served, queue.length)):
            queue, _ = pop(queue)
        queue = push(queue, queued("small", 1))
        before = 0
        while pop(queue)[1].account != "small":
            queue, _ = pop(queue)
            before += 1
        # An account of weight w gets w turns for each turn of the small account.
        self.assertLessEqual(before, sum(weights) + len(weights))


class SmallAccountTests(unittest.TestCase):
    def test_a_flood_does_not_refuse_a_small_account(self):
        state = reduce(started("e0", 0), HeadroomChanged(0, "w", 0))[0]
        state, answers, now_ms = state, {}, 0
        for step in range(400):
            now_ms = step * 10
            names = [f"flood{step}.{i}" for i in range(5)]
            names += [f"free{step}"] if step % 10 == 0 else []
            events = [
                RequestOffered(
                    now_ms,
                    name,
                    "w",
                    RequestClass.INTERACTIVE,
                    "free" if name.startswith("free") else "flood",
                    now_ms + 2_000,
                )
                for name in names
            ]
            # One request ends every 20 ms: a tenth of what is offered.
            events += [HeadroomChanged(now_ms, "w", 1)] if step % 2 == 0 else []
            for event in [*events, Tick(now_ms)]:
                state, effects = reduce(state, event)
                for effect in effects:
                    if isinstance(effect, Admit):
                        state, _ = reduce(state, RequestDone(now_ms, effect.request_id))
                        state, _ = reduce(state, HeadroomChanged(now_ms, "w", 0))
                    answers[effect.request_id] = effect
        small = [a for name, a in answers.items() if name.startswith("free")]
        self.assertEqual([a for a in small if isinstance(a, Refuse)], [])
        self.assertGreaterEqual(len(small), 39)
