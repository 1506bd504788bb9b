"""A fleet of entries before two lock-stepped groups, with prompts that crash ranks."""

from collections import Counter
from random import Random
from typing import NamedTuple

from nutmegslip_decisions.direct import (
    AttemptFailed,
    Broken,
    Declined,
    GroupRank,
    Options,
    RefusalKind,
    Refuse,
    RequestEnded,
    ResponseStarted,
    Send,
    Tick,
    UpstreamPublished,
)
from tests.direct_world import World, crash_report, upstream

STEP_MS = 10
BEGIN_MS, ANSWER_MS = 150, 500  # from the sending of a request
STALL_MS, BACK_MS, LISTED_MS = 1_500, 3_000, 1_000  # from the crash of a rank
REPORT_MS, TICK_MS = 100, 50
STABLE_MS = 3_000  # the platform's stability window
CRASHES_UNTIL_BOUND = 5
MAX_LATE_SENDS = 3
GROUPS, RANKS = 2, 4
BAD_PART = "bad"
START_MS = 1_000_000


class Attempt(NamedTuple):
    """A request at a rank."""

    entry: int
    request: object
    upstream: object
    sent_ms: int
    crash_ms: int
    begun: bool = False


class Load(NamedTuple):
    """Rates for each entry and second; ``bad_from_ms`` is when bad prompts begin.

    ``crash_ms`` is how long after it was sent such a prompt crashes its rank.
    """

    sound_per_s: float = 10.0
    bad_per_s: float = 0.7
    host_crashes_per_s: float = 0.0
    restarts_per_s: float = 0.0
    report_loss: float = 0.1
    bad_from_ms: int = 5_000
    crash_ms: tuple[int, int] = (BEGIN_MS, BEGIN_MS)
    length_ms: int = 40_000


class Fleet:
    """Entries and ranks; ``run`` plays a load and records what reached the ranks."""

    def __init__(self, seed: int, load: Load, entries: int = 3) -> None:
        self.random = Random(seed)
        self.load = load
        self.now_ms = START_MS
        self.ranks = {
            f"m{group}{rank}": upstream(
                f"m{group}{rank}",
                "model",
                slots=4,
                rank=GroupRank(f"g{group}", 1, rank, is_open=True, size=RANKS),
                born_ms=1,
            )
            for group in range(GROUPS)
            for rank in range(RANKS)
        }
        self.entries = [self._new_entry(number) for number in range(entries)]
        self.attempts: list[Attempt] = []
        self.due: list[tuple[int, object]] = []
        self.broken_groups: set[str] = set()
        self.crashed: set[str] = set()
        self.bad_crashes_ms: list[int] = []
        self.bad_sends_ms: list[int] = []
        self.begun_first = Counter()
        self.sound_arrivals = Counter()
        self.false_refusals = 0
        self.refused_ran = 0
        self.may_have_run: set[tuple[int, int, int]] = set()

    def run(self) -> None:
        """Play the load to its end."""
        while self.now_ms < START_MS + self.load.length_ms:
            self.now_ms += STEP_MS
            for world in self.entries:
                world.now_ms = self.now_ms
            for action in [a for at_ms, a in self.due if at_ms <= self.now_ms]:
                action()
            self.due = [(at, a) for at, a in self.due if at > self.now_ms]
            self._serve()
            for number, world in enumerate(self.entries):
                self._arrivals(number)
                if not self.now_ms % TICK_MS:
                    self._take(number, Tick(self.now_ms))
                if not (self.now_ms + 20 * number) % REPORT_MS:
                    self._report(number, world)
            self._faults()

    @property
    def late_bad_sends(self) -> int:
        """Return the sends of bad prompts that the bound counts, from all entries."""
        if len(self.bad_crashes_ms) < CRASHES_UNTIL_BOUND:
            return 0
        bound_ms = self.bad_crashes_ms[CRASHES_UNTIL_BOUND - 1] + STABLE_MS
        return sum(sent_ms > bound_ms for sent_ms in self.bad_sends_ms)

    def begun_share(self, part: str, from_ms: int, to_ms: int) -> float:
        """Return the share of a part's sound requests that begin at the first try."""
        buckets = range(from_ms // 1_000, to_ms // 1_000)
        arrived = sum(self.sound_arrivals[(part, at)] for at in buckets)
        begun = sum(self.begun_first[(part, at)] for at in buckets)
        return begun / max(arrived, 1)

    def _new_entry(self, number: int) -> World:
        options = Options(
            f"e{number}", f"10.0.0.{number}", entries=3, budget_slack=200.0
        )
        world = World(*self.ranks.values(), options=options)
        world.now_ms = self.now_ms
        world.incarnation = self.random.random()
        return world

    def _arrivals(self, number: int) -> None:
        step_s = STEP_MS / 1_000
        if self.random.random() < self.load.sound_per_s * step_s:
            account = f"account{self.random.randrange(3)}"
            bucket = (account, (self.now_ms - START_MS) // 1_000)
            self.sound_arrivals[bucket] += 1
            subject = f"subject{self.random.randrange(40)}"
            self._arrive(number, (account, subject))
        bad = self.now_ms >= START_MS + self.load.bad_from_ms
        if bad and self.random.random() < self.load.bad_per_s * step_s:
            account = f"account{self.random.randrange(3)}"
            self._arrive(number, (account, BAD_PART))

    def _arrive(self, number: int, parts: tuple[str, ...]) -> None:
        world = self.entries[number]
        name = f"{number}-{world.incarnation}-{world.tickets}"
        effects = world.arrive("/verses/1", parts=parts, request_id=name, wait_ms=8_000)
        self._perform(number, effects)

    def _take(self, number: int, event: object) -> None:
        self._perform(number, self.entries[number].take(event))

    def _perform(self, number: int, effects: tuple) -> None:
        for effect in effects:
            match effect:
                case Send(request, to):
                    crash_ms = self.now_ms + self._crash_delay_ms()
                    sent = Attempt(number, request, to, self.now_ms, crash_ms)
                    self.attempts.append(sent)
                    if BAD_PART in request.parts:
                        self.bad_sends_ms.append(self.now_ms)
                    if to.group in self.broken_groups:
                        self._later(STALL_MS, self._decline, sent, to.id)
                case Refuse(ticket, kind, ran):
                    self._check_refusal(number, ticket, kind, ran)

    def _check_refusal(self, number: int, ticket: int, kind: object, ran: bool) -> None:
        key = (number, self.entries[number].incarnation, ticket)
        self.refused_ran += key in self.may_have_run and not ran
        world = self.entries[number]
        if kind is RefusalKind.CRASHING_PART:
            blamed = set(world.state.parts.blames)
            self.false_refusals += blamed != {BAD_PART}

    def _serve(self) -> None:
        for attempt in list(self.attempts):
            age_ms = self.now_ms - attempt.sent_ms
            if attempt not in self.attempts or attempt.upstream.group in (
                self.broken_groups
            ):
                continue
            is_bad = BAD_PART in attempt.request.parts
            if is_bad and attempt.crash_ms <= self.now_ms:
                self.bad_crashes_ms.append(self.now_ms)
                self._crash(attempt.upstream.id)
            elif age_ms >= BEGIN_MS and not attempt.begun:
                self._begin(attempt)
            elif age_ms >= ANSWER_MS:
                self.attempts.remove(attempt)
                ended = RequestEnded(self.now_ms, attempt.request.ticket, True)
                self._take(attempt.entry, ended)

    def _crash_delay_ms(self) -> int:
        low, high = self.load.crash_ms
        return low if low == high else self.random.randint(low, high)

    def _begin(self, attempt: Attempt) -> None:
        index = self.attempts.index(attempt)
        self.attempts[index] = attempt._replace(begun=True)
        request = attempt.request
        if request.sends == 1 and request.parts:
            arrived_s = (request.arrived_ms - START_MS) // 1_000
            self.begun_first[(request.parts[0], arrived_s)] += 1
        self._take(attempt.entry, ResponseStarted(self.now_ms, request.ticket))

    def _crash(self, name: str) -> None:
        """Crash a rank: its attempts break at once, those of its group later."""
        group = self.ranks[name].group
        self.broken_groups.add(group)
        self.crashed.add(name)
        for attempt in list(self.attempts):
            if attempt.upstream.id == name:
                self._fail(attempt, Broken("reset", closed=True))
            elif attempt.upstream.group == group:
                self._later(STALL_MS, self._decline, attempt, name)
        self._later(LISTED_MS, self._publish, group, False)
        self._later(BACK_MS, self._publish, group, True)

    def _later(self, delay_ms: int, action, *arguments: object) -> None:
        self.due.append((self.now_ms + delay_ms, lambda: action(*arguments)))

    def _decline(self, attempt: Attempt, at_fault: str) -> None:
        for current in list(self.attempts):
            if current._replace(begun=False) == attempt._replace(begun=False):
                failure = Broken("cut") if current.begun else Declined(False, at_fault)
                self._fail(current, failure)

    def _fail(self, attempt: Attempt, failure: object) -> None:
        self.attempts.remove(attempt)
        if isinstance(failure, Broken):
            incarnation = self.entries[attempt.entry].incarnation
            key = (attempt.entry, incarnation, attempt.request.ticket)
            self.may_have_run.add(key)
        event = AttemptFailed(
            self.now_ms, attempt.request.ticket, failure, streaming=attempt.begun
        )
        self._take(attempt.entry, event)

    def _publish(self, group: str, is_open: bool) -> None:
        if is_open:
            self.broken_groups.discard(group)
        for name, rank in self.ranks.items():
            if rank.group != group:
                continue
            epoch = rank.rank.epoch + is_open
            reborn = is_open and name in self.crashed
            self.crashed -= {name} if reborn else set()
            self.ranks[name] = rank._replace(
                rank=rank.rank._replace(epoch=epoch, is_open=is_open),
                born_ms=rank.born_ms + reborn,
            )
            for number in range(len(self.entries)):
                event = UpstreamPublished(self.now_ms, self.ranks[name])
                self._take(number, event)

    def _report(self, number: int, world: World) -> None:
        for other in range(len(self.entries)):
            if other == number or self.random.random() < self.load.report_loss:
                continue
            self._take(other, crash_report(self.now_ms, number, world))

    def _faults(self) -> None:
        step_s = STEP_MS / 1_000
        if self.random.random() < self.load.host_crashes_per_s * step_s:
            sound = [n for n, r in self.ranks.items() if not self._is_broken(r)]
            if sound:
                self._crash(self.random.choice(sound))
        if self.random.random() < self.load.restarts_per_s * step_s:
            number = self.random.randrange(len(self.entries))
            self.attempts = [a for a in self.attempts if a.entry != number]
            self.entries[number] = self._new_entry(number)

    def _is_broken(self, rank: object) -> bool:
        return rank.group in self.broken_groups
